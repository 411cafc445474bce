package route

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mix is the finalizer of SplitMix64, a bijection that spreads every bit.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// addrWords returns an address as two integers. An IPv4 address gives the same
// result as its IPv4-mapped IPv6 address.
func addrWords(a netip.Addr) (hi, lo uint64) {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])
}

// rankedHost is a host in the rendezvous order of a service.
type rankedHost struct {
	host      int
	placeInDC int // number of higher-ranked hosts in the same data centre
	score     uint64
}

// OwnerGroup returns the indexes of the hosts that own the flows of a service:
// the highest-ranked hosts of each data centre in turn, until there are size
// of them. Leaving hosts and free entries are skipped. When a host leaves, at
// most one other host replaces it, from the same data centre if that has more.
func OwnerGroup(service string, hosts []Host, size int) []int {
	all := make([]int, len(hosts))
	for i := range all {
		all[i] = i
	}
	return ownerGroup(service, "", hosts, all, size)
}

// ownerGroup selects the owner group from candidates, which are indexes into
// hosts. Unless region is empty, hosts in other regions are skipped.
func ownerGroup(service, region string, hosts []Host, candidates []int, size int) []int {
	seed := xxhash.Sum64String(service)
	order := make([]rankedHost, 0, len(candidates))
	for _, i := range candidates {
		h := &hosts[i]
		if h.ID == "" || h.Leaving || region != "" && h.Region != region {
			continue
		}
		order = append(order, rankedHost{host: i, score: mix(seed ^ xxhash.Sum64String(h.ID))})
	}
	slices.SortFunc(order, func(a, b rankedHost) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(hosts[a.host].ID, hosts[b.host].ID)
	})
	nextPlace := make(map[string]int)
	for i := range order {
		dc := hosts[order[i].host].DataCentre
		order[i].placeInDC = nextPlace[dc]
		nextPlace[dc]++
	}
	// Which data centres provide one member more depends on their names only, not
	// on their hosts. A host that leaves is therefore replaced from its own data
	// centre, and every bucket keeps at least one of its owners.
	dcRank := func(r rankedHost) uint64 { return mix(seed ^ xxhash.Sum64String(hosts[r.host].DataCentre)) }
	slices.SortStableFunc(order, func(a, b rankedHost) int {
		return cmp.Or(cmp.Compare(a.placeInDC, b.placeInDC), cmp.Compare(dcRank(b), dcRank(a)))
	})
	order = order[:min(size, len(order))]
	group := make([]int, len(order))
	for i, r := range order {
		group[i] = r.host
	}
	slices.Sort(group)
	return group
}

// Leaving returns the leaving hosts of a service's region that would be in its
// owner group if none were leaving. There are at most size of them, even when
// all hosts of a data centre leave.
func (s *Service) Leaving(hosts []Host, size int) []uint16 {
	var candidates []Host
	var indexes []uint16
	for i := range hosts {
		if h := hosts[i]; h.ID != "" && h.Leaving && h.Region == s.Region {
			h.Leaving = false
			candidates, indexes = append(candidates, h), append(indexes, uint16(i))
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	leaving := len(candidates)
	for _, i := range s.group {
		candidates = append(candidates, hosts[i])
	}
	var list []uint16
	for _, i := range OwnerGroup(s.Name, candidates, size) {
		if i < leaving {
			list = append(list, indexes[i])
		}
	}
	return list
}

// BuildOwners returns the primary and secondary owner of each bucket of a
// service: the highest-ranked host of the group, and the highest-ranked host
// in another data centre where there is one. When one owner leaves, or one
// host joins, or one replaces another one of its data centre, every bucket
// keeps at least one of its owners.
func BuildOwners(service string, group []int, hosts []Host) [Buckets][2]uint16 {
	var owners [Buckets][2]uint16
	seed := xxhash.Sum64String(service)
	members := newMembers(group, hosts)
	for bucket := range owners {
		bucketSeed := mix(seed ^ uint64(bucket))
		for i := range members {
			members[i].score = mix(bucketSeed ^ members[i].hash)
		}
		owners[bucket] = bestPair(members)
	}
	return owners
}

// member is a host of an owner group while buckets are assigned to owners.
type member struct {
	hash, score uint64
	host        uint16
	dc          int
}

// newMembers returns the members of a group in the order of their IDs, which
// breaks ties between equal scores. It numbers the data centres, so that
// comparing them is cheap.
func newMembers(group []int, hosts []Host) []member {
	byID := slices.Clone(group)
	slices.SortFunc(byID, func(a, b int) int { return cmp.Compare(hosts[a].ID, hosts[b].ID) })
	numbers := make(map[string]int)
	members := make([]member, len(byID))
	for i, h := range byID {
		dc, ok := numbers[hosts[h].DataCentre]
		if !ok {
			dc = len(numbers)
			numbers[hosts[h].DataCentre] = dc
		}
		members[i] = member{hash: xxhash.Sum64String(hosts[h].ID), host: uint16(h), dc: dc}
	}
	return members
}

// bestPair returns the member with the highest score, and the one with the
// highest score in another data centre, or in the same one if there is no other.
func bestPair(members []member) [2]uint16 {
	var first, second, otherDC *member
	for i := range members {
		m := &members[i]
		switch {
		case first == nil || m.score > first.score:
			if first != nil && first.dc != m.dc {
				otherDC = first
			}
			first, second = m, first
			continue
		case second == nil || m.score > second.score:
			second = m
		}
		if m.dc != first.dc && (otherDC == nil || m.score > otherDC.score) {
			otherDC = m
		}
	}
	if otherDC != nil {
		second = otherDC
	}
	return [2]uint16{first.index(), second.index()}
}

func (m *member) index() uint16 {
	if m == nil {
		return NoHost
	}
	return m.host
}

// buildEpochs returns the owner epoch of each bucket, a hash of the IDs and
// boots of its owners. The boots are included because an owner that restarted
// between two views has an empty table, as a new owner has.
func buildEpochs(owners *[Buckets][2]uint16, group []int, hosts []Host) [Buckets]uint16 {
	hashes := map[uint16]uint64{NoHost: 0}
	for _, h := range group {
		hashes[uint16(h)] = mix(xxhash.Sum64String(hosts[h].ID) ^ hosts[h].Boot)
	}
	var epochs [Buckets]uint16
	for bucket, pair := range owners {
		epochs[bucket] = max(1, uint16(mix(mix(hashes[pair[0]])^hashes[pair[1]])))
	}
	return epochs
}
