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

// compressAbove is the size in bytes from which packed updates are compressed. Below it the compressor's own memory, about
// a megabyte, costs more than the bytes.
const compressAbove = 64 << 10

// First bytes of packed updates.
const (
	packedPlain byte = iota
	packedDeflate
)

// packer packs copies for other hosts. After a restart of many hosts all of them ask for everything at once, so the last
// full copy is kept.
type packer struct {
	mu       sync.Mutex
	revision uint64 // of the kept copy; 0: none
	kept     []byte
}

// pack returns a copy in the form in which it travels.
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
		p.kept, p.revision = b, c.Revision
	}
	packed.Packed = p.kept
	return packed, nil
}

// keptRevision returns the revision of the kept copy, or 0.
func (p *packer) keptRevision() uint64 {
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

// unpack checks and decodes packed updates.
func unpack(b []byte) ([]registry.Update, error) {
	if len(b) == 0 {
		return nil, errors.Wrap(ErrMalformed, "no updates")
	}
	body := b[1:]
	switch b[0] {
	case packedPlain:
	case packedDeflate:
		var err error
		if body, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxTransfer)); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "expand updates"), ErrMalformed)
		}
	default:
		return nil, errors.Wrapf(ErrMalformed, "updates packed as %d", b[0])
	}
	mode, err := decoder()
	if err != nil {
		return nil, errors.Wrap(err, "limits of messages")
	}
	var updates []registry.Update
	if err := mode.Unmarshal(body, &updates); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode updates"), ErrMalformed)
	}
	for i := range updates {
		if err := check(&updates[i]); err != nil {
			return nil, err
		}
	}
	return updates, nil
}
