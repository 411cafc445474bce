package configsync

import (
	"bytes"
	"testing"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// TestPack guards against content that packing changes, and against packed
// content that takes more memory than the largest allowed value.
func TestPack(t *testing.T) {
	for _, size := range []int{0, 10, announceThresholdBytes, announceThresholdBytes + 1, document.MaxValueBytes, 8 * document.MaxValueBytes} {
		raw := bytes.Repeat([]byte("x"), size)
		packed := Value{Key: "hosts", Version: 1, Raw: raw}.Pack()
		if len(packed.Raw)+len(packed.Packed) > announceThresholdBytes+size/50 {
			t.Errorf("%d bytes: packed into %d", size, len(packed.Raw)+len(packed.Packed))
		}
		v, err := packed.Unpack(nil)
		if want := raw[:min(size, document.MaxValueBytes+1)]; err != nil || !bytes.Equal(v.Raw, want) || v.Version != 1 {
			t.Errorf("%d bytes: %d bytes after unpacking, error %v", size, len(v.Raw), err)
		}
	}
	if _, err := (Value{Raw: []byte("a"), Packed: []byte("b")}).Unpack(nil); err == nil {
		t.Error("a value with raw and packed content was accepted")
	}
}

// FuzzUnpack guards against packed content that causes a panic or is unpacked to
// more than the limit.
func FuzzUnpack(f *testing.F) {
	f.Add(Value{Raw: bytes.Repeat([]byte("x"), announceThresholdBytes+1)}.Pack().Packed)
	f.Fuzz(func(t *testing.T, packed []byte) {
		v, err := Value{Key: "hosts", Packed: packed}.Unpack(nil)
		if len(v.Raw) > document.MaxValueBytes+1 || err != nil && v.Key != "" {
			t.Errorf("%d bytes, error %v", len(v.Raw), err)
		}
	})
}
