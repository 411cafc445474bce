package configsync

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Delta turns one version of a value into the next: its parts one after the
// other are the new content.
type Delta struct {
	Base  uint64 `json:"base"`  // digest of the content that it applies to
	Parts []Part `json:"parts"` // of the new content
}

// Part is either text of its own or a range of the base.
type Part struct {
	Text   []byte `json:"text,omitempty"`
	Offset int    `json:"offset,omitempty"`
	Length int    `json:"length,omitempty"`
}

// deltaFrom returns the difference of an announced value from the version
// before, or nil when it is not much smaller than the value.
func deltaFrom(old, e *entry) *Delta {
	if !e.announced() {
		return nil
	}
	if d := newDelta(old.Raw, e.Raw); d.size() < noticeBytes {
		return d
	}
	return nil
}

// newDelta compares two contents line by line, which suits the lists that
// change in few lines.
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
	next := 0 // end of the last range of the base
	for rest := content; len(rest) > 0; {
		line := firstLine(rest)
		rest = rest[len(line):]
		offset, known := next, bytes.Equal(firstLine(base[next:]), line)
		if !known {
			offset, known = offsets[string(line)]
		}
		if !known {
			d.text(line)
			continue
		}
		d.copied(offset, len(line))
		next = offset + len(line)
	}
	return d
}

// firstLine returns the first line with its end.
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

func (d *Delta) text(line []byte) {
	if last := d.last(); len(last.Text) > 0 {
		last.Text = append(last.Text, line...)
		return
	}
	d.Parts = append(d.Parts, Part{Text: bytes.Clone(line)})
}

func (d *Delta) copied(offset, length int) {
	if last := d.last(); last.Length > 0 && last.Offset+last.Length == offset {
		last.Length += length
		return
	}
	d.Parts = append(d.Parts, Part{Offset: offset, Length: length})
}

// partOverhead bounds the encoding of a part beside its text.
const partOverhead = 48

// size bounds the encoded size.
func (d *Delta) size() int {
	size := valueOverhead
	for _, p := range d.Parts {
		size += partOverhead + (len(p.Text)+2)/3*4
	}
	return size
}

// apply returns the new content. It rejects another base and ranges outside
// of it, and content above the platform's limit.
func (d *Delta) apply(base []byte) ([]byte, error) {
	if digest := document.Digest(base); digest != d.Base {
		return nil, errors.Newf("delta of content %016x; allowed: of %016x, which is in effect", d.Base, digest)
	}
	var content []byte
	for _, p := range d.Parts {
		if p.Offset < 0 || p.Length < 0 || p.Offset > len(base) || p.Length > len(base)-p.Offset {
			return nil, errors.Newf("delta with range %d+%d; allowed: within %d bytes", p.Offset, p.Length, len(base))
		}
		content = append(append(content, p.Text...), base[p.Offset:p.Offset+p.Length]...)
		if len(content) > document.MaxValueBytes {
			return nil, errors.Newf("delta of more than %d bytes", document.MaxValueBytes)
		}
	}
	return content, nil
}
