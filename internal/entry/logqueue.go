package entry

import (
	"bufio"
	"io"
)

const (
	// logQueue bounds the log lines that wait to be written.
	logQueue = 1024
	// logBuffer is the size of the writes, in bytes.
	logBuffer = 32 << 10
)

// LogQueue writes log lines without ever blocking their source. A line that finds the queue full is lost and counted.
type LogQueue struct {
	lines chan []byte
	done  chan struct{}
}

// NewLogQueue starts writing to w.
func NewLogQueue(w io.Writer) *LogQueue {
	q := &LogQueue{lines: make(chan []byte, logQueue), done: make(chan struct{})}
	go q.run(bufio.NewWriterSize(w, logBuffer))
	return q
}

// Write queues one line.
func (q *LogQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		linesLost.Inc()
	}
	return len(line), nil
}

// Close writes what is queued. Nothing may be written afterwards.
func (q *LogQueue) Close() {
	close(q.lines)
	<-q.done
}

// run writes the lines that wait together.
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
