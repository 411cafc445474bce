package route

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

const (
	// defaultFlowIdle is the idle time of entries whose service was removed.
	defaultFlowIdle = time.Minute

	// A sweep of a table that is more than 7/8 full evicts cached entries until
	// it is 3/4 full. The difference suffices until the next sweep.
	evictAbove, evictTo, evictParts = 7, 6, 8

	// maxCachedAge is the highest age in seconds that eviction distinguishes.
	// Entries that were unused for longer count as this old.
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
	services []*Service // by index, nil for a removed service
	charged  map[netip.AddrPort]int
}

// Sweep removes idle entries, and counts the open flows of the buckets whose
// primary owner this host is. When the table is nearly full, it also evicts the
// least recently used cached entries: a full table refuses new flows, while a
// cached entry can be looked up at the owners again.
func Sweep(s *Snapshot, t *flow.Table, now Time) SweepResult {
	w := sweep{s: s, services: servicesByIndex(s), charged: make(map[netip.AddrPort]int)}
	t.Sweep(now.seconds(), w.idleLimit, w.countCharged)
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

func (w *sweep) countCharged(k packet.Key, e flow.Entry) {
	if !e.Charged() {
		return
	}
	if svc := w.s.Services.Get(destination(k)); svc != nil && svc.Primary(k) == w.s.SelfIndex {
		w.charged[e.AddrPort()]++
	}
}

// evict removes about n cached entries, the least recently used first. It keeps
// entries that were used within the last second, because the next packet would
// bring them back.
func (w *sweep) evict(t *flow.Table, now uint32, n int) int {
	var ages [maxCachedAge + 1]int
	t.Sweep(now, w.idleLimit, func(k packet.Key, e flow.Entry) {
		if w.evictable(k, &e) {
			ages[entryAge(now, &e)]++
		}
	})
	oldest := uint32(maxCachedAge)
	for found := ages[oldest]; found < n && oldest > 2; found += ages[oldest] {
		oldest--
	}
	return t.Sweep(now, func(k packet.Key, e flow.Entry) uint32 {
		if entryAge(now, &e) >= oldest && w.evictable(k, &e) {
			return 0
		}
		return w.idleLimit(k, e)
	}, func(packet.Key, flow.Entry) {})
}

// entryAge returns the seconds since an entry was used, at most maxCachedAge.
func entryAge(now uint32, e *flow.Entry) uint32 {
	if e.LastSeen >= now {
		return 0
	}
	return min(now-e.LastSeen, maxCachedAge)
}

// evictable reports whether an entry is a cached copy that the current owners of
// its bucket hold as well. An entry with an older owner epoch may be the last
// one of its flow, as may one that was stored while an owner was suspect.
func (w *sweep) evictable(k packet.Key, e *flow.Entry) bool {
	svc := w.service(e)
	if svc == nil || e.State < flow.Settled || e.Epoch == 0 {
		return false
	}
	owners := svc.owned(bucketOf(k.Hash()))
	return e.Epoch == owners.epoch && !slices.Contains(owners.hosts[:], w.s.SelfIndex)
}
