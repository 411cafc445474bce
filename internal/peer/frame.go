package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const frameHeaderBytes = 4

// writeChunk is the number of bytes that must be written within the write
// timeout. The deadline is renewed for each chunk, so that it does not interrupt
// a large message over a slow path.
const writeChunk = 64 << 10

var errFrameSize = errors.New("message exceeds the size limit")

// readFrame reads a message preceded by its length in 4 bytes. Memory use grows
// with the bytes received, not with the announced length.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > int64(limit) {
		return nil, errFrameSize
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, size); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func writeFrame(w io.Writer, b []byte) error {
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderBytes+len(b)), uint32(len(b)))
	_, err := w.Write(append(frame, b...))
	return err
}

// stream reads and writes JSON-RPC objects as frames over a connection. Every
// read and write has a deadline, since a connection may stop delivering data.
type stream struct {
	conn         net.Conn
	ready        chan struct{} // closed when the owner is ready to receive objects
	limit        int
	readTimeout  time.Duration
	writeTimeout time.Duration
	written      atomic.Bool  // whether a write was attempted since the flag was cleared
	lastRead     atomic.Int64 // Unix time in nanoseconds
	failed       atomic.Pointer[error]
}

func newStream(conn net.Conn, cfg *Config) *stream {
	return &stream{
		conn:         conn,
		ready:        make(chan struct{}),
		limit:        cfg.MaxMessage,
		readTimeout:  2 * (cfg.Heartbeat + cfg.HeartbeatTimeout),
		writeTimeout: cfg.HeartbeatTimeout,
	}
}

// Read reads from the connection with the read deadline.
func (s *stream) Read(b []byte) (int, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(s.readTimeout)); err != nil {
		return 0, err
	}
	n, err := s.conn.Read(b)
	if n > 0 {
		s.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	<-s.ready
	b, err := readFrame(s, s.limit)
	if err == nil {
		err = json.Unmarshal(b, v)
	}
	if err != nil {
		s.failed.CompareAndSwap(nil, &err)
	}
	return err
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(b) > s.limit {
		return errFrameSize
	}
	s.written.Store(true)
	if err := writeFrame(chunkWriter{s}, b); err != nil {
		// A partial frame cannot be followed by another one.
		s.conn.Close()
		return err
	}
	return nil
}

// chunkWriter writes with a deadline per chunk.
type chunkWriter struct{ stream *stream }

func (w chunkWriter) Write(b []byte) (int, error) {
	written := 0
	for chunk := range slices.Chunk(b, writeChunk) {
		if err := w.stream.conn.SetWriteDeadline(time.Now().Add(w.stream.writeTimeout)); err != nil {
			return written, err
		}
		n, err := w.stream.conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// failure returns the reason for which reading ended, as a counter label.
func (s *stream) failure() string {
	err := s.failed.Load()
	var netErr net.Error
	switch {
	case err == nil:
		return "closed"
	case errors.Is(*err, errFrameSize):
		return "message_too_large"
	case errors.Is(*err, io.EOF), errors.Is(*err, net.ErrClosed):
		return "closed"
	case errors.As(*err, &netErr) && netErr.Timeout():
		return "silent"
	case errors.As(*err, &netErr), errors.Is(*err, io.ErrUnexpectedEOF):
		return "broken"
	default:
		return "malformed_message"
	}
}
