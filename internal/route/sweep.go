package route

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

const (
	// defaultFlowIdle applies to entries of services that are gone.
	defaultFlowIdle = time.Minute

	// A sweep of a table that is filled above 7/8 removes cached entries until
	// 3/4 is filled. The room between the two lasts from one sweep to the next.
	evictAbove, evictTo, evictParts = 7, 6, 8

	// maxCachedAge bounds the ages that eviction tells apart, in seconds.
	maxCachedAge = 600
)

// SweepResult is what a sweep found.
type SweepResult struct {
	Charged map[netip.AddrPort]int // open flows of this host's buckets, by backend server
	Evicted int                    // cached entries removed to make room
}

// sweep is one pass over the flow table.
type sweep struct {
	s        *Snapshot
	services []*Service // by index, nil for a service that is gone
	charged  map[netip.AddrPort]int
}

// Sweep removes idle entries, and counts the open flows of the buckets whose
// primary owner this host is. When the table fills, it also removes the cached
// entries that were not used for longest: a full table refuses new flows,
// while a cached entry can be had from the owners again.
func Sweep(s *Snapshot, t *flow.Table, now Time) SweepResult {
	w := sweep{s: s, services: servicesByIndex(s), charged: make(map[netip.AddrPort]int)}
	t.Sweep(now.seconds(), w.idleLimit, w.count)
	limit := t.Max() / evictParts
	if t.Len() <= limit*evictAbove {
		return SweepResult{Charged: w.charged}
	}
	return SweepResult{Charged: w.charged, Evicted: w.evict(t, now.seconds(), t.Len()-limit*evictTo)}
}

func servicesByIndex(s *Snapshot) []*Service {
	var services []*Service
	for _, svc := range s.ByName.All() {
		for int(svc.Index) >= len(services) {
			services = append(services, nil)
		}
		services[svc.Index] = svc
	}
	return services
}

func (w *sweep) service(e *flow.Entry) *Service {
	if int(e.Service) >= len(w.services) {
		return nil
	}
	return w.services[e.Service]
}

func (w *sweep) idleLimit(_ packet.Key, e flow.Entry) uint32 {
	if svc := w.service(&e); svc != nil {
		return uint32(svc.FlowIdle / time.Second)
	}
	return uint32(defaultFlowIdle / time.Second)
}

func (w *sweep) count(k packet.Key, e flow.Entry) {
	if !e.Charged() {
		return
	}
	if svc := w.s.Services.Get(destination(k)); svc != nil && svc.Primary(k) == w.s.SelfIndex {
		w.charged[e.AddrPort()]++
	}
}

// evict removes about n cached entries, those unused for longest first. It
// leaves entries that were used within the last second: they would come back
// with the next packet.
func (w *sweep) evict(t *flow.Table, now uint32, n int) int {
	var ages [maxCachedAge + 1]int
	t.Sweep(now, w.idleLimit, func(k packet.Key, e flow.Entry) {
		if w.replaceable(k, &e) {
			ages[age(now, &e)]++
		}
	})
	oldest := uint32(maxCachedAge)
	for found := ages[oldest]; found < n && oldest > 2; found += ages[oldest] {
		oldest--
	}
	return t.Sweep(now, func(k packet.Key, e flow.Entry) uint32 {
		if age(now, &e) >= oldest && w.replaceable(k, &e) {
			return 0
		}
		return w.idleLimit(k, e)
	}, func(packet.Key, flow.Entry) {})
}

func age(now uint32, e *flow.Entry) uint32 {
	if e.LastSeen >= now {
		return 0
	}
	return min(now-e.LastSeen, maxCachedAge)
}

// replaceable reports whether this host only caches an entry that the present
// owners of its bucket hold. An entry with an older owner epoch may be the last
// one of its flow, as may one that this host keeps while an owner is suspect.
func (w *sweep) replaceable(k packet.Key, e *flow.Entry) bool {
	svc := w.service(e)
	if svc == nil || e.State < flow.Settled || e.Epoch == 0 {
		return false
	}
	owners := svc.owned(bucketOf(k.Hash()))
	return e.Epoch == owners.epoch && !slices.Contains(owners.hosts[:], w.s.SelfIndex)
}
