package affinity

import (
	"slices"
	"time"
)

const (
	// spilloverRatio is the ratio of flows per slot, own data centre to the others, above which new flows spill over. Flows
	// to another data centre are lost when a data centre is cut off, so a moderate imbalance does not justify spillover.
	spilloverRatio = 3
	// minSpilloverLoad is the number of flows per slot below which the own data centre never spills over.
	minSpilloverLoad = 4
	// fullSpilloverRatio and minFullSpilloverLoad take the place of both while the service has too little room: flows are
	// rejected then, so that slots of other data centres must not stay free.
	fullSpilloverRatio   = 1.25
	minFullSpilloverLoad = 2
	// maxLoads is the maximum number of places whose load a host reports, the busiest first.
	maxLoads = 16
)

// slotUsage is the sum of slots and open flows of one or more data centres.
type slotUsage struct{ slots, flows int }

func (s *slotUsage) perSlot() float64 { return float64(s.flows) / float64(s.slots) }

// spillsOver reports whether new flows of a service go to other data centres although the own one could accept them. This
// happens when the own data centre has lost most of its backend servers or receives most of the callers.
func (r *Router) spillsOver(sv *service, now time.Duration) bool {
	var own, others slotUsage
	for _, p := range sv.pools {
		if len(p.ready) == 0 {
			continue
		}
		side := &others
		switch r.preferenceOf(p.ready[0], now) {
		case preferOwn:
			side = &own
		case preferOther:
		default:
			continue
		}
		side.slots += p.readySlots
		side.flows += p.readyFlows + r.fleet.Flows[p.digest]
	}
	least, ratio := float64(minSpilloverLoad), float64(spilloverRatio)
	if r.admission.Binds(sv.name) {
		least, ratio = minFullSpilloverLoad, fullSpilloverRatio
	}
	return own.slots > 0 && others.slots > 0 && own.perSlot() >= least && own.perSlot() > ratio*others.perSlot()
}

// Loads returns the number of flows that this host tracks, by place. The counts are refreshed at the intervals of a
// scanLimiter, so they may be slightly out of date. The slice is not modified later.
func (r *Router) Loads(now time.Duration) []Load {
	if !r.loadsLimiter.due(now, len(r.servers)) {
		return r.loads
	}
	flows := map[PlaceDigest]int{}
	for _, s := range r.servers {
		if s.flows > 0 {
			flows[s.place] += s.flows
		}
	}
	loads := make([]Load, 0, len(flows))
	for place, n := range flows {
		loads = append(loads, Load{Place: place, Flows: n})
	}
	slices.SortFunc(loads, func(a, b Load) int { return b.Flows - a.Flows })
	r.loads = loads[:min(len(loads), maxLoads)]
	return r.loads
}
