package configsync

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// partCount is the number of parts that the keys are divided into. Each part
// has a partial digest.
const partCount = 256

// Version identifies an accepted version of a value without its content.
type Version struct {
	Key         string `json:"key"`
	Version     uint64 `json:"version"`
	Digest      uint64 `json:"digest"`
	Unconfirmed bool   `json:"unconfirmed,omitempty"`
}

// index holds digests of the accepted versions and is updated with each change. A
// partial digest is the exclusive or of the digests of its versions, so the
// order of changes does not matter.
type index struct {
	total    uint64
	partials [partCount]uint64
	keys     [partCount][]string // sorted
}

// partOf returns the part that key belongs to.
func partOf(key string) uint8 { return uint8(xxhash.Sum64String(key)) }

// versionDigest returns a digest of the key, the version and the content of a value.
func versionDigest(v Value) uint64 {
	b := make([]byte, 16, 16+maxKeyBytes)
	binary.BigEndian.PutUint64(b[0:], v.Version)
	binary.BigEndian.PutUint64(b[8:], v.Digest)
	return xxhash.Sum64(append(b, v.Key...))
}

func (x *index) add(v Value) {
	part := partOf(v.Key)
	x.toggle(part, v)
	if i, found := slices.BinarySearch(x.keys[part], v.Key); !found {
		x.keys[part] = slices.Insert(x.keys[part], i, v.Key)
	}
}

func (x *index) remove(v Value) { x.toggle(partOf(v.Key), v) }

func (x *index) toggle(part uint8, v Value) {
	d := versionDigest(v)
	x.total ^= d
	x.partials[part] ^= d
}

// Summary returns a digest of all accepted versions. Probes carry it.
func (s *State) Summary() uint64 { return s.index.total }

// PartialDigests returns 256 digests, one for each part of the accepted versions.
func (s *State) PartialDigests() [256]uint64 { return s.index.partials }

// Versions returns the accepted versions of the given parts.
func (s *State) Versions(parts []uint8) []Version {
	var versions []Version
	for _, p := range parts {
		for _, key := range s.index.keys[p] {
			v := s.export(s.values[key])
			versions = append(versions, Version{v.Key, v.Version, v.Digest, v.Unconfirmed})
		}
	}
	sortByPriority(versions, func(v Version) string { return v.Key })
	return versions
}

// DifferentParts returns the parts in which two sets of partial digests differ.
func DifferentParts(a, b [256]uint64) []uint8 {
	var parts []uint8
	for i := range a {
		if a[i] != b[i] {
			parts = append(parts, uint8(i))
		}
	}
	return parts
}

// priority returns the order in which keys are sent, 0 first: data centre state,
// because packets to a data centre that is taken out of service must stop
// soonest, then host lists, then services.
func priority(key string) int {
	if key == document.DataCentresKey {
		return 0
	}
	if _, ok := document.HostListKey(key); ok {
		return 1
	}
	return 2
}

func sortByPriority[T any](list []T, key func(T) string) {
	slices.SortFunc(list, func(a, b T) int {
		if d := priority(key(a)) - priority(key(b)); d != 0 {
			return d
		}
		return strings.Compare(key(a), key(b))
	})
}
