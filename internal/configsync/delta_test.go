package configsync

import (
	"bytes"
	"testing"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// TestDelta guards against a delta as large as the whole list after a change of
// one host, and against a delta that is applied to content other than its base.
func TestDelta(t *testing.T) {
	base := benchHostListOf(5700, 0, 7)
	host := []byte("state: live")
	changed := bytes.Replace(bytes.Replace(base, host, []byte("state: leaving"), 1), []byte("version: 1"), []byte("version: 2"), 1)
	d := newDelta(base, changed)
	if got, err := d.apply(base); err != nil || !bytes.Equal(got, changed) || d.size() > 1024 {
		t.Errorf("%d bytes, error %v", d.size(), err)
	}
	if _, err := d.apply(changed); err == nil {
		t.Error("a delta was applied to other content")
	}
}

// FuzzDelta guards against a delta that does not restore the content, and against
// a panic or wrong content for ranges that a peer forged.
func FuzzDelta(f *testing.F) {
	f.Add([]byte("a\nb\nc"), []byte("a\nc\nb\nb\n"), 0, 1)
	f.Add([]byte("a\na\n"), []byte(""), -1, 9)
	f.Fuzz(func(t *testing.T, base, content []byte, offset, length int) {
		if got, err := newDelta(base, content).apply(base); err != nil || !bytes.Equal(got, content) {
			t.Errorf("got %q, error %v", got, err)
		}
		forged := Delta{Base: document.Digest(base), Parts: []Part{{Offset: offset, Length: length, Text: content}}}
		if got, err := forged.apply(base); err == nil && len(got) != len(content)+length {
			t.Errorf("range %d+%d gives %q", offset, length, got)
		}
	})
}
