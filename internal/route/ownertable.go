package route

import "slices"

// ownerPair is the primary and secondary owner of a bucket, and its owner
// epoch, which is a hash of their IDs and boots.
type ownerPair struct {
	hosts [2]uint16
	epoch uint16
}

// ownerTable holds the owners of the buckets of a service. Every entry host
// needs the tables of all services, because it receives packets of all of them,
// so a table is compact: a group of 8 hosts has at most 56 pairs for 256
// buckets. A table is immutable.
type ownerTable struct {
	index [Buckets]uint8 // into pairs
	pairs []ownerPair    // the distinct pairs, at most one per bucket
}

func newOwnerTable(owners *[Buckets][2]uint16, epochs *[Buckets]uint16) ownerTable {
	var t ownerTable
	var pairs [Buckets]ownerPair
	found := pairs[:0]
	for bucket := range owners {
		p := ownerPair{hosts: owners[bucket], epoch: epochs[bucket]}
		i := slices.Index(found, p)
		if i < 0 {
			i = len(found)
			found = append(found, p)
		}
		t.index[bucket] = uint8(i)
	}
	t.pairs = slices.Clone(found)
	return t
}

// owned returns the owners and the owner epoch of a bucket.
func (s *Service) owned(bucket int) *ownerPair { return &s.table.pairs[s.table.index[bucket]] }

// Owners returns the primary and secondary owner of each bucket.
func (s *Service) Owners() (owners [Buckets][2]uint16) {
	for bucket := range owners {
		owners[bucket] = s.owned(bucket).hosts
	}
	return owners
}

// Epochs returns the owner epoch of each bucket, which is never 0.
func (s *Service) Epochs() (epochs [Buckets]uint16) {
	for bucket := range epochs {
		epochs[bucket] = s.owned(bucket).epoch
	}
	return epochs
}
