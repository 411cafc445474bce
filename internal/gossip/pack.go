package gossip

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// compressAbove is the size in bytes from which packed updates are compressed. For smaller ones the compressor's memory of
// about 1 MB costs more than the saved bytes.
const compressAbove = 64 << 10

// Packing formats. The format is the first byte of packed updates.
const (
	packedPlain byte = iota
	packedDeflate
)

// packer packs copies for other hosts. It caches the last full copy, because many hosts request one at the same time after
// they have restarted together.
type packer struct {
	mu       sync.Mutex
	revision uint64 // of the cached copy; 0: none
	cached   []byte
}

// pack returns the wire form of a copy.
func (p *packer) pack(c *Copy) (*packedCopy, error) {
	packed := &packedCopy{Copy: *c}
	if !c.Full {
		var err error
		packed.Packed, err = pack(c.Updates)
		return packed, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Cached && p.revision != c.Revision {
		return nil, errors.Newf("the copy of revision %d is no longer at hand", c.Revision)
	}
	if !c.Cached && p.revision != c.Revision {
		b, err := pack(c.Updates)
		if err != nil {
			return nil, err
		}
		p.cached, p.revision = b, c.Revision
	}
	packed.Packed = p.cached
	return packed, nil
}

// cachedRevision returns the revision of the cached copy, or 0 if there is none.
func (p *packer) cachedRevision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

func pack(updates []registry.Update) ([]byte, error) {
	plain, err := cbor.Marshal(updates)
	if err != nil {
		return nil, errors.Wrap(err, "pack updates")
	}
	if len(plain) < compressAbove {
		return append([]byte{packedPlain}, plain...), nil
	}
	out := bytes.NewBuffer([]byte{packedDeflate})
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress updates")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress updates")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress updates")
	}
	return out.Bytes(), nil
}

// unpack decodes and validates packed updates.
func unpack(b []byte) ([]registry.Update, error) {
	if len(b) == 0 {
		return nil, errors.Wrap(ErrMalformed, "empty packed updates")
	}
	body := b[1:]
	switch b[0] {
	case packedPlain:
	case packedDeflate:
		var err error
		if body, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxTransferBytes)); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "decompress updates"), ErrMalformed)
		}
	default:
		return nil, errors.Wrapf(ErrMalformed, "unknown packing format %d", b[0])
	}
	mode, err := decoder()
	if err != nil {
		return nil, errors.Wrap(err, "create CBOR decoder")
	}
	var updates []registry.Update
	if err := mode.Unmarshal(body, &updates); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode updates"), ErrMalformed)
	}
	for i := range updates {
		if err := validateUpdate(&updates[i]); err != nil {
			return nil, err
		}
	}
	return updates, nil
}
