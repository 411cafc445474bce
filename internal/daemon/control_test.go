package daemon

import (
	"testing"
	"time"
)

// Guards against a graceful shutdown that ends before the answer of the last
// command has been sent, because only commands in progress were waited for.
func TestShutdownWaitsForAnswers(t *testing.T) {
	c := newBenchControl(t, 3, nil)
	quiet := c.d.settings.Shutdown.QuietFor.Std()
	now := c.d.started.Add(time.Second)
	c.leave(now)
	c.runCalls[1] = runCall{}
	now = now.Add(2 * quiet)
	if c.left(now) {
		t.Fatal("left with a command in progress")
	}
	delete(c.runCalls, 1)
	if c.left(now.Add(quiet / 2)) {
		t.Fatal("left while the answer of the last command may be on its way")
	}
	if !c.left(now.Add(quiet)) {
		t.Fatal("did not leave after the quiet time")
	}
}
