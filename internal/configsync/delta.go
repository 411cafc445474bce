package configsync

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Delta encodes a version of a value as the difference from an earlier version,
// its base: the concatenated parts are the new content.
type Delta struct {
	Base  uint64 `json:"base"`  // digest of the base
	Parts []Part `json:"parts"` // of the new content, in order
}

// Part is either new text or a range of bytes of the base.
type Part struct {
	Text   []byte `json:"text,omitempty"`
	Offset int    `json:"offset,omitempty"`
	Length int    `json:"length,omitempty"`
}

// deltaFrom returns the delta of e from the previous version old. It returns nil
// if e is not announced or the delta is not below announceThresholdBytes.
func deltaFrom(old, e *entry) *Delta {
	if !e.announced() {
		return nil
	}
	if d := newDelta(old.Raw, e.Raw); d.size() < announceThresholdBytes {
		return d
	}
	return nil
}

// newDelta compares two contents line by line, because a change of a list
// affects few of its lines.
func newDelta(base, content []byte) *Delta {
	d := &Delta{Base: document.Digest(base)}
	offsets := map[string]int{}
	for offset := 0; offset < len(base); {
		line := firstLine(base[offset:])
		if _, known := offsets[string(line)]; !known {
			offsets[string(line)] = offset
		}
		offset += len(line)
	}
	next := 0 // end of the last range copied from the base
	for rest := content; len(rest) > 0; {
		line := firstLine(rest)
		rest = rest[len(line):]
		offset, known := next, bytes.Equal(firstLine(base[next:]), line)
		if !known {
			offset, known = offsets[string(line)]
		}
		if !known {
			d.appendText(line)
			continue
		}
		d.appendRange(offset, len(line))
		next = offset + len(line)
	}
	return d
}

// firstLine returns the first line of b, including its newline.
func firstLine(b []byte) []byte {
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return b[:i+1]
	}
	return b
}

func (d *Delta) last() *Part {
	if len(d.Parts) == 0 {
		return &Part{}
	}
	return &d.Parts[len(d.Parts)-1]
}

func (d *Delta) appendText(line []byte) {
	if last := d.last(); len(last.Text) > 0 {
		last.Text = append(last.Text, line...)
		return
	}
	d.Parts = append(d.Parts, Part{Text: bytes.Clone(line)})
}

func (d *Delta) appendRange(offset, length int) {
	if last := d.last(); last.Length > 0 && last.Offset+last.Length == offset {
		last.Length += length
		return
	}
	d.Parts = append(d.Parts, Part{Offset: offset, Length: length})
}

// partOverhead bounds the encoded size of a part without its text, in bytes.
const partOverhead = 48

// size returns an upper bound of the encoded size in bytes.
func (d *Delta) size() int {
	size := valueOverhead
	for _, p := range d.Parts {
		size += partOverhead + (len(p.Text)+2)/3*4
	}
	return size
}

// apply returns the new content. It returns an error if the delta has another
// base or a range outside of it, or if the content exceeds the platform's limit.
func (d *Delta) apply(base []byte) ([]byte, error) {
	if digest := document.Digest(base); digest != d.Base {
		return nil, errors.Newf("delta has base digest %016x; allowed: %016x, of the content in effect", d.Base, digest)
	}
	var content []byte
	for _, p := range d.Parts {
		if p.Offset < 0 || p.Length < 0 || p.Offset > len(base) || p.Length > len(base)-p.Offset {
			return nil, errors.Newf("delta has a range %d+%d outside of its base; allowed: within %d bytes", p.Offset, p.Length, len(base))
		}
		content = append(append(content, p.Text...), base[p.Offset:p.Offset+p.Length]...)
		if len(content) > document.MaxValueBytes {
			return nil, errors.Newf("delta gives content of more than %d bytes", document.MaxValueBytes)
		}
	}
	return content, nil
}
