package configsync

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Pack compresses the content of a value for a peer that fetches it. Host lists
// repeat their field names for every host, so that they shrink to a tenth of
// their size or less. Values that are small enough to be pushed are returned
// unchanged.
func (v Value) Pack() Value {
	if len(v.Raw) <= announceThresholdBytes {
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

// Unpack restores a value that a peer may have packed or sent as a delta from
// base. Packed content above the platform's limit is truncated to one byte more
// than the limit, so that the parser rejects it.
func (v Value) Unpack(base []byte) (Value, error) {
	if len(v.Packed) == 0 && v.Delta == nil {
		return v, nil
	}
	if len(v.Raw) > 0 || len(v.Packed) > 0 && v.Delta != nil {
		return Value{}, errors.Newf("value of %q has more than one content; allowed: one of raw, packed and delta", truncate(v.Key, maxKeyBytes))
	}
	if v.Delta != nil {
		return v.applyDelta(base)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(v.Packed)), document.MaxValueBytes+1))
	if err != nil {
		return Value{}, errors.Wrapf(err, "decompress value of %q", truncate(v.Key, maxKeyBytes))
	}
	v.Raw, v.Packed = raw, nil
	return v, nil
}

func (v Value) applyDelta(base []byte) (Value, error) {
	raw, err := v.Delta.apply(base)
	if err != nil {
		return Value{}, errors.Wrapf(err, "apply delta to value of %q", truncate(v.Key, maxKeyBytes))
	}
	if digest := document.Digest(raw); digest != v.Digest {
		return Value{}, errors.Newf("delta of %q gives content with digest %016x; allowed: %016x", truncate(v.Key, maxKeyBytes), digest, v.Digest)
	}
	v.Raw, v.Delta = raw, nil
	return v, nil
}
