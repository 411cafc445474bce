package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// Guards against a volume of log lines that grows with the number of flows.
func TestLogLimiter(t *testing.T) {
	b := logLimiter{perSecond: 3}
	written := 0
	for i := range 40 {
		b.do(time.Second+time.Duration(i)*100*time.Millisecond, func() { written++ })
	}
	if written != 12 {
		t.Fatalf("%d lines in 4 s, want 3 a second", written)
	}
}

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	b       bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.b.Write(p)
}

// Guards against a host that blocks when the reader of its log is slow, and against lines that are dropped while the queue has
// room.
func TestLogQueueNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
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
		t.Fatal("Write blocks while the reader of the log is blocked")
	}
	close(w.release)
	q.Close()
	written := strings.Count(w.b.String(), "line\n")
	if lost := int(linesLost.Get() - before); written+lost != 2*logQueue || written < logQueue {
		t.Fatalf("%d lines written, %d counted as lost, of %d", written, lost, 2*logQueue)
	}
}
