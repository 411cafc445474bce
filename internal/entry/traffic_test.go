package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// Guards against logs that grow with the load.
func TestLineBudget(t *testing.T) {
	b := lineBudget{perSecond: 3}
	written := 0
	for i := range 40 {
		b.do(time.Second+time.Duration(i)*100*time.Millisecond, func() { written++ })
	}
	if written != 12 {
		t.Fatalf("%d lines in 4 s, want 3 a second", written)
	}
}

// blocked is a writer that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	b       bytes.Buffer
}

func (w *blocked) Write(p []byte) (int, error) {
	<-w.release
	return w.b.Write(p)
}

// Guards against a host that waits for whoever reads its log, and against lines that are lost without need.
func TestLogQueueNeverBlocks(t *testing.T) {
	w := &blocked{release: make(chan struct{})}
	q := NewLogQueue(w)
	before := linesLost.Get()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * logQueue {
			if _, err := q.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a writer waits for the reader of the log")
	}
	close(w.release)
	q.Close()
	written := strings.Count(w.b.String(), "line\n")
	if lost := int(linesLost.Get() - before); written+lost != 2*logQueue || written < logQueue {
		t.Fatalf("%d lines written, %d counted as lost, of %d", written, lost, 2*logQueue)
	}
}
