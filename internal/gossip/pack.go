package gossip

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"sync"
	"time"

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

const (
	// partUpdates is the number of updates in a part of a copy. It bounds the time to pack one: a host with a twentieth of a
	// processor takes a fifth of a second.
	partUpdates = 2000
	// maxParts is the maximum number of parts of a copy.
	maxParts = maxElements/partUpdates + 1
)

// parts are the parts of a copy, each of which is packed when it is first requested. A whole copy of the largest deployment
// takes so long to pack that the requesting host would give up before the first byte.
type parts struct {
	mu      sync.Mutex
	updates [][]registry.Update // by part; nil after it was packed
	packed  [][]byte            // by part; nil until then
}

func newParts(updates []registry.Update) *parts {
	p := &parts{updates: slices.Collect(slices.Chunk(updates, partUpdates))}
	if len(p.updates) == 0 {
		p.updates = [][]registry.Update{nil}
	}
	p.packed = make([][]byte, len(p.updates))
	return p
}

func (p *parts) num() int { return len(p.packed) }

// pack returns the packed form of part n.
func (p *parts) pack(n int) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed[n] == nil {
		b, err := pack(p.updates[n])
		if err != nil {
			return nil, err
		}
		p.packed[n], p.updates[n] = b, nil
	}
	return p.packed[n], nil
}

// packer keeps the parts of the last full copy, because many hosts request one at the same time after they have restarted
// together.
type packer struct {
	mu       sync.Mutex
	version  registry.Version // of the cached copy; zero: none
	holding  bool             // see Copy.Holding
	packedAt time.Time
	cached   *parts
}

// partsOf returns the parts of a copy.
func (p *packer) partsOf(c *Copy) (*parts, error) {
	if !c.Full {
		return newParts(c.Updates), nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.version == c.Version() && p.holding == c.Holding
	if c.Cached && !current {
		return nil, errors.Newf("the copy of version %v is no longer at hand", c.Version())
	}
	if !current {
		p.cached, p.version, p.holding, p.packedAt = newParts(c.Updates), c.Version(), c.Holding, time.Now()
	}
	if c.Holding {
		c.PackedMs = time.Since(p.packedAt).Milliseconds()
	}
	return p.cached, nil
}

// cachedVersion returns the version of the cached copy, or zero if there is none, and whether it contains knowledge of an older
// era.
func (p *packer) cachedVersion() (registry.Version, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version, p.holding
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
