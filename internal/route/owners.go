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

// words returns an address as two integers; IPv4 equals IPv4-mapped.
func words(a netip.Addr) (hi, lo uint64) {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])
}

// ranked is a host in the rendezvous order of something.
type ranked struct {
	host  int
	place int // number of better hosts in the same data centre
	score uint64
}

// OwnerGroup returns the indexes of the hosts that own the flows of a service:
// the highest-ranked hosts of each data centre in turn, until there are size
// of them. Leaving and free entries are passed over. When a host leaves, at
// most one other host takes its place.
func OwnerGroup(service string, hosts []Host, size int) []int {
	all := make([]int, len(hosts))
	for i := range all {
		all[i] = i
	}
	return ownerGroup(service, "", hosts, all, size)
}

// ownerGroup considers only the candidates that are in region, when it is not
// empty.
func ownerGroup(service, region string, hosts []Host, candidates []int, size int) []int {
	seed := xxhash.Sum64String(service)
	order := make([]ranked, 0, len(candidates))
	for _, i := range candidates {
		h := &hosts[i]
		if h.ID == "" || h.Leaving || region != "" && h.Region != region {
			continue
		}
		order = append(order, ranked{host: i, score: mix(seed ^ xxhash.Sum64String(h.ID))})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(hosts[a.host].ID, hosts[b.host].ID))
	})
	better := make(map[string]int)
	for i := range order {
		dc := hosts[order[i].host].DataCentre
		order[i].place = better[dc]
		better[dc]++
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.place, b.place) })
	order = order[:min(size, len(order))]
	group := make([]int, len(order))
	for i, r := range order {
		group[i] = r.host
	}
	slices.Sort(group)
	return group
}

// BuildOwners returns the primary and secondary owner of each bucket of a
// service: the highest-ranked host of the group, and the highest-ranked host
// in another data centre where there is one. When one owner leaves, or one
// host joins, at least one owner of every bucket stays.
func BuildOwners(service string, group []int, hosts []Host) [Buckets][2]uint16 {
	var owners [Buckets][2]uint16
	seed := xxhash.Sum64String(service)
	ids := make([]uint64, len(group))
	for i, h := range group {
		ids[i] = xxhash.Sum64String(hosts[h].ID)
	}
	scores := make([]uint64, len(group))
	for bucket := range owners {
		for i, id := range ids {
			scores[i] = mix(mix(seed^uint64(bucket)) ^ id)
		}
		primary := best(group, scores, hosts, func(int) bool { return true })
		secondary := NoHost
		if primary != NoHost {
			dc := hosts[primary].DataCentre
			secondary = best(group, scores, hosts, func(h int) bool { return hosts[h].DataCentre != dc })
			if secondary == NoHost {
				secondary = best(group, scores, hosts, func(h int) bool { return h != primary })
			}
		}
		owners[bucket] = [2]uint16{uint16(primary), uint16(secondary)}
	}
	return owners
}

func best(group []int, scores []uint64, hosts []Host, eligible func(host int) bool) int {
	found := -1
	for i, h := range group {
		if !eligible(h) {
			continue
		}
		if found < 0 || scores[i] > scores[found] || scores[i] == scores[found] && hosts[h].ID < hosts[group[found]].ID {
			found = i
		}
	}
	if found < 0 {
		return NoHost
	}
	return group[found]
}

// buildEpochs returns the owner epoch of each bucket.
func buildEpochs(owners *[Buckets][2]uint16, hosts []Host) [Buckets]uint16 {
	var epochs [Buckets]uint16
	for bucket, pair := range owners {
		h := mix(mix(hostHash(pair[0], hosts)) ^ hostHash(pair[1], hosts))
		epochs[bucket] = max(1, uint16(h))
	}
	return epochs
}

func hostHash(index uint16, hosts []Host) uint64 {
	if index == NoHost {
		return 0
	}
	return xxhash.Sum64String(hosts[index].ID)
}
