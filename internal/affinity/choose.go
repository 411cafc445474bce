package affinity

import (
	"hash/maphash"
	"slices"
	"time"
)

// Preference ranks backend servers for a new flow; the lowest value is chosen first.
type Preference uint8

const (
	preferSpillover   Preference = iota // another data centre, because the own one is overloaded
	preferOwn                           // own data centre
	preferOther                         // another data centre
	preferOtherRegion                   // another region
	preferUnproven                      // no recent answer observed; used only after a failed attempt of the caller
	preferLapsed                        // its registry entry is missing and may return
	preferSuspect                       // left packets unanswered, or its data centre is unreachable
	preferCold                          // in its cold period; bears only a limited rate of new flows
	preferNone                          // gets no new flows
)

var preferenceNames = [...]string{
	"crossing", "own_data_centre", "other_data_centre", "other_region", "unproven", "lapsed", "suspect", "cold", "none",
}

// String returns the name that logs use for the preference.
func (p Preference) String() string { return preferenceNames[p] }

// LastResort reports whether servers of the preference are not expected to answer.
func (p Preference) LastResort() bool { return p == preferSuspect }

// recentAnswerWindow is the maximum time since a backend server's last observed answer for it to be preferred after a
// failed attempt of the caller.
const recentAnswerWindow = 300 * time.Millisecond

// failed lists the backend servers that left earlier attempts of a caller unanswered.
type failed [2]*server

func (f failed) any() bool { return f != failed{} }

func (f failed) has(s *server) bool { return f[0] == s || f[1] == s }

// choose returns the backend server for a new flow, or nil. After a failure it skips the servers that failed and prefers
// the one that answered most recently, because any other may have crashed together with them.
func (r *Router) choose(rt *route, key FlowKey, now time.Duration, f failed) *server {
	if len(rt.targets) == 0 {
		return nil
	}
	first := r.pickTarget(rt, key)
	for i := range rt.targets {
		target := &rt.targets[(first+i)%len(rt.targets)]
		if s := r.chooseFrom(rt, target, now, f); s != nil {
			return s
		}
	}
	return nil
}

// pickTarget returns the index of the target that the hash of a flow selects by weight. Retransmissions of an opening
// packet to the same host therefore select the same target.
func (r *Router) pickTarget(rt *route, key FlowKey) int {
	if len(rt.targets) == 1 {
		return 0
	}
	point := maphash.Comparable(r.seed, key) % rt.totalWeight
	for i := range rt.targets {
		weight := uint64(rt.targets[i].weight)
		if point < weight {
			return i
		}
		point -= weight
	}
	return 0
}

// choice is the best backend server found so far for a new flow.
type choice struct {
	server     *server
	preference Preference
	order      order
}

// order ranks servers of the same preference, lowest first: by expected work, where it counts, then by flows per slot. After
// a failure it is the time since the last answer.
type order [2]float64

func (o order) compare(other order) int { return slices.Compare(o[:], other[:]) }

// consider replaces the choice by s if s ranks before it.
func (c *choice) consider(s *server, p Preference, o order) {
	if s != nil && (p < c.preference || p == c.preference && o.compare(c.order) < 0) {
		*c = choice{server: s, preference: p, order: o}
	}
}

// chooseFrom returns the best backend server of a target for a new flow, or nil, and records the choice.
func (r *Router) chooseFrom(rt *route, t *target, now time.Duration, f failed) *server {
	best := r.best(rt, t, now, f)
	if best.server == nil {
		return nil
	}
	if best.preference == preferCold && !best.server.coldFlows.Admit(r.coldLimit(best.server, t.service), coldWindow, now) {
		return nil
	}
	r.turns++
	best.server.pool.recordChoice(best.server, r.turns)
	r.lastPreference = best.preference
	return best.server
}

// best returns the best backend server of a target for a new flow, or a choice without one. It does not record the choice.
func (r *Router) best(rt *route, t *target, now time.Duration, f failed) choice {
	for _, p := range t.service.pools {
		p.refresh(now)
	}
	best := choice{preference: preferNone}
	spillsOver := r.spillsOver(t.service, now)
	for _, p := range t.service.pools {
		if rt.allows(p) {
			r.considerReady(p, spillsOver, f, now, &best)
		}
	}
	if best.preference > preferUnproven {
		r.considerSpecial(rt, t.service, f, now, &best)
	}
	return best
}

// considerReady considers the ready servers of a pool that can be the best: the one that answered last, after a failure,
// and the one with the fewest flows.
func (r *Router) considerReady(p *pool, spillsOver bool, f failed, now time.Duration, best *choice) {
	if s := p.leastLoaded(f); s != nil {
		preference, order := r.rankFor(s, spillsOver, f, now)
		best.consider(s, preference, order)
	}
	if !f.any() {
		return
	}
	if s := p.answeredLast(f, now); s != nil {
		preference, order := r.rankFor(s, spillsOver, f, now)
		best.consider(s, preference, order)
	}
}

// considerSpecial considers the servers that are not ready.
func (r *Router) considerSpecial(rt *route, sv *service, f failed, now time.Duration, best *choice) {
	for _, p := range sv.pools {
		if !rt.allows(p) {
			continue
		}
		for _, s := range p.special {
			if f.has(s) {
				continue
			}
			preference, order := r.rankFor(s, false, f, now)
			best.consider(s, preference, order)
		}
	}
}

// allows reports whether the route permits new flows to a pool.
func (rt *route) allows(p *pool) bool {
	return len(rt.regions) == 0 || slices.Contains(rt.regions, p.region)
}

// rankFor returns the rank of a server for a new flow: its preference, then an order within the same preference; the lowest
// is chosen. After a failure, servers without a recent answer are demoted to preferUnproven, and the others are ordered by the time since their last answer.
func (r *Router) rankFor(s *server, spillsOver bool, f failed, now time.Duration) (Preference, order) {
	p := r.preferenceOf(s, now)
	if f.any() && p < preferUnproven && now-s.lastAnswerAt > recentAnswerWindow {
		p = preferUnproven
	}
	if spillsOver && p == preferOther {
		p = preferSpillover
	}
	if f.any() && p < preferUnproven {
		return p, order{float64(now - s.lastAnswerAt)}
	}
	o := order{0, float64(s.flows+1) / float64(s.Slots)}
	switch {
	case s.readyIndex != noIndex:
		o[0] = s.expected
	case p == preferCold && (s.suspectOrSilent(now) || s.process.Ended()):
		o[0] = failedColdOrder
	case s.pool != nil && s.pool.byWork:
		o[0] = 1
	}
	return p, o
}

// failedColdOrder puts cold servers that do not answer after those that may.
const failedColdOrder = 1e9

func (r *Router) preferenceOf(s *server, now time.Duration) Preference {
	switch r.eligibilityOf(s, now) {
	case entryRemoved, entryDraining, entryUnreadable, dataCentreOut, suspectedAndUnreachable:
		return preferNone
	case entryLapsed:
		return preferLapsed
	case coldStart:
		return preferCold
	case suspected, dataCentreUnreachable:
		return preferSuspect
	}
	switch {
	case s.DataCentre == r.fleet.Self.DataCentre:
		return preferOwn
	case s.Region != r.fleet.Self.Region:
		return preferOtherRegion
	}
	return preferOther
}

const (
	// coldWindow is the time in which new flows to a cold backend server are counted.
	coldWindow = time.Second
	// minColdHosts is the minimum number of hosts that a configured cold rate is divided by, since some hosts may not have
	// discovered each other.
	minColdHosts = 8
	// coldSenders is the number of hosts of its data centre that send to a cold backend server when the share of each host
	// is less than one flow per second.
	coldSenders = 2
)

// coldLimit returns the number of new flows that this host may send to a cold backend server in a coldWindow. Hosts do not
// coordinate: each uses its share of the configured rate. Where that share is less than one flow per second, only the hosts
// ranked first send, one flow per second each. A host that may not have discovered the others yet sends nothing.
func (r *Router) coldLimit(s *server, sv *service) int {
	if r.fleet.Starting {
		return 0
	}
	hosts := max(r.fleet.size(), minColdHosts)
	limit := int(sv.coldRate / float64(hosts))
	if limit == 0 && r.fleet.ranked(s.ID, s.DataCentre, coldSenders) {
		limit = 1
	}
	return limit
}
