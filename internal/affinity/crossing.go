package affinity

import (
	"slices"
	"time"
)

const (
	// crossingRatio is how many times as many flows per slot the own data centre must have as the others before new flows
	// cross. Flows that cross are lost when a data centre is cut off, so unequal data centres alone are no reason.
	crossingRatio = 3
	// crossingMinimum is the flows per slot below which the own data centre is never too busy.
	crossingMinimum = 4
	// maxLoads is the number of places that a host reports, the busiest first.
	maxLoads = 16
)

// supply sums what one data centre, or several, can take and have.
type supply struct{ slots, flows int }

func (s *supply) perSlot() float64 { return float64(s.flows) / float64(s.slots) }

// crosses reports whether new flows of a service go to other data centres although the own one can take them, because
// it has lost most of its backend servers or has most of the callers.
func (r *Router) crosses(sv *service, now time.Duration) bool {
	var own, others supply
	seen := map[string]bool{}
	for _, s := range sv.servers {
		side := &others
		switch r.preferenceOf(s, now) {
		case preferOwn:
			side = &own
		case preferOther:
		default:
			continue
		}
		side.slots += s.Slots
		side.flows += s.flows
		if !seen[s.DataCentre] {
			seen[s.DataCentre] = true
			side.flows += r.fleet.Flows[s.place]
		}
	}
	if own.slots == 0 || others.slots == 0 || own.perSlot() < crossingMinimum {
		return false
	}
	return own.perSlot() > crossingRatio*others.perSlot()
}

// Loads returns the flows that this host remembers, by place, as counted a short while ago. The slice is not changed later.
func (r *Router) Loads(now time.Duration) []Load {
	if !r.loadsPace.due(now, len(r.servers)) {
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
