package entry

import (
	"bufio"
	"io"
)

const (
	// logQueue is the maximum number of log lines that wait to be written.
	logQueue = 1024
	// logBuffer is the size of the write buffer, in bytes.
	logBuffer = 32 << 10
)

// LogQueue writes log lines asynchronously, so that a slow reader of the log never blocks the host. Lines that arrive while
// the queue is full are dropped and counted.
type LogQueue struct {
	lines chan []byte
	done  chan struct{}
}

// NewLogQueue returns a queue that writes to w.
func NewLogQueue(w io.Writer) *LogQueue {
	q := &LogQueue{lines: make(chan []byte, logQueue), done: make(chan struct{})}
	go q.run(bufio.NewWriterSize(w, logBuffer))
	return q
}

// Write queues a line. It never fails.
func (q *LogQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		linesLost.Inc()
	}
	return len(line), nil
}

// Close writes the queued lines and returns. Write must not be called afterwards.
func (q *LogQueue) Close() {
	close(q.lines)
	<-q.done
}

// run writes the queued lines, with one flush for all lines that are queued at the time.
func (q *LogQueue) run(w *bufio.Writer) {
	defer close(q.done)
	for line := range q.lines {
		write(w, line)
		for range len(q.lines) {
			write(w, <-q.lines)
		}
		if err := w.Flush(); err != nil {
			linesLost.Inc()
		}
	}
}

func write(w *bufio.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		linesLost.Inc()
	}
}
