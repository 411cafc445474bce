package peer

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// ErrMalformedReport is returned for the content of a report datagram that is
// truncated or has a number of more than 64 bits.
var ErrMalformedReport = errors.New("report content is truncated or has an oversized number")

// AppendText appends a string with its length to the content of a report
// datagram.
func AppendText(dst []byte, s string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(s))), s...)
}

// AppendNumbers appends numbers to the content of a report datagram as varints,
// which are short for small numbers.
func AppendNumbers(dst []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		dst = binary.AppendUvarint(dst, n)
	}
	return dst
}

// ReportReader reads the content of a report datagram. Reads after a failed one
// return zero values.
type ReportReader struct {
	rest []byte
	err  error
}

// NewReportReader returns a ReportReader for the content raw.
func NewReportReader(raw []byte) *ReportReader { return &ReportReader{rest: raw} }

// Number reads one number.
func (c *ReportReader) Number() uint64 {
	v, n := binary.Uvarint(c.rest)
	if n <= 0 {
		c.rest, c.err = nil, ErrMalformedReport
		return 0
	}
	c.rest = c.rest[n:]
	return v
}

// Text reads one string.
func (c *ReportReader) Text() string {
	n := c.Number()
	if n > uint64(len(c.rest)) {
		c.rest, c.err = nil, ErrMalformedReport
		return ""
	}
	s := string(c.rest[:n])
	c.rest = c.rest[n:]
	return s
}

// More reports whether there is content left to read.
func (c *ReportReader) More() bool { return len(c.rest) > 0 }

// Err returns the error of the first read that failed, if any.
func (c *ReportReader) Err() error { return c.err }
