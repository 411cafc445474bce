package configsync

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Pack compresses the content of a value that peers fetch. Host lists repeat
// their field names for every host, so that their packed form is a tenth of
// them or less. Values that are pushed stay as they are: they are small.
func (v Value) Pack() Value {
	if len(v.Raw) <= noticeBytes {
		return v
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return v
	}
	if _, err := w.Write(v.Raw); err != nil || w.Close() != nil || b.Len() >= len(v.Raw) {
		return v
	}
	v.Raw, v.Packed = nil, b.Bytes()
	return v
}

// Unpack restores a value that a peer may have packed, or sent as the
// difference from the content base. Packed content above the platform's limit
// is cut to one byte above it, so that the parser rejects it.
func (v Value) Unpack(base []byte) (Value, error) {
	if len(v.Packed) == 0 && v.Delta == nil {
		return v, nil
	}
	if len(v.Raw) > 0 || len(v.Packed) > 0 && v.Delta != nil {
		return Value{}, errors.Newf("value of %q has several contents; allowed: raw, packed or delta", truncate(v.Key, maxKeyBytes))
	}
	if v.Delta != nil {
		return v.applyDelta(base)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(v.Packed)), document.MaxValueBytes+1))
	if err != nil {
		return Value{}, errors.Wrapf(err, "packed value of %q", truncate(v.Key, maxKeyBytes))
	}
	v.Raw, v.Packed = raw, nil
	return v, nil
}

func (v Value) applyDelta(base []byte) (Value, error) {
	raw, err := v.Delta.apply(base)
	if err != nil {
		return Value{}, errors.Wrapf(err, "value of %q", truncate(v.Key, maxKeyBytes))
	}
	if digest := document.Digest(raw); digest != v.Digest {
		return Value{}, errors.Newf("delta of %q gives content %016x; allowed: %016x", truncate(v.Key, maxKeyBytes), digest, v.Digest)
	}
	v.Raw, v.Delta = raw, nil
	return v, nil
}
