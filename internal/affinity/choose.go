package affinity

import (
	"hash/maphash"
	"slices"
	"time"
)

// Preference orders backend servers for a new flow; a lower one is taken first.
type Preference uint8

const (
	preferCrossing    Preference = iota // another data centre, as the own one is too busy
	preferOwn                           // own data centre
	preferOther                         // another data centre
	preferOtherRegion                   // another region
	preferUnproven                      // has given no sign of life lately, which counts only after a failure
	preferLapsed                        // its entry is away and may come back
	preferSuspect                       // has left packets unanswered, or its data centre is out of reach
	preferCold                          // bears little as yet
	preferNone
)

var preferenceNames = [...]string{
	"crossing", "own_data_centre", "other_data_centre", "other_region", "unproven", "lapsed", "suspect", "cold", "none",
}

// String returns the name of the preference in logs.
func (p Preference) String() string { return preferenceNames[p] }

// provenWithin is the age of a backend server's last sign of life up to which a caller's further try goes there.
const provenWithin = 300 * time.Millisecond

// failed lists the backend servers that have already failed a caller's flow.
type failed [2]*server

func (f failed) any() bool { return f != failed{} }

func (f failed) has(s *server) bool { return f[0] == s || f[1] == s }

// choose returns the backend server for a new flow, or nil. After a failure it passes over the servers that failed, and
// takes the one that proved last that it lives, as any other may have crashed with them.
func (r *Router) choose(rt *route, key FlowKey, now time.Duration, f failed) *server {
	if len(rt.targets) == 0 {
		return nil
	}
	first := r.pickTarget(rt, key)
	for i := range rt.targets {
		target := &rt.targets[(first+i)%len(rt.targets)]
		if s := r.chooseOf(rt, target, now, f); s != nil {
			return s
		}
	}
	return nil
}

// pickTarget returns the index of the target that a flow's hash selects by weight, so that copies agree.
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

func (r *Router) chooseOf(rt *route, t *target, now time.Duration, f failed) *server {
	var best *server
	bestPreference, bestOrder := preferNone, 0.0
	r.turn++
	crosses := r.crosses(t.service, now)
	for i := range t.service.servers {
		s := t.service.servers[(i+int(r.turn))%len(t.service.servers)]
		if f.has(s) || !rt.allows(s) {
			continue
		}
		p, order := r.rankFor(s, crosses, f, now)
		if p < bestPreference || p == bestPreference && order < bestOrder {
			best, bestPreference, bestOrder = s, p, order
		}
	}
	if bestPreference == preferNone {
		return nil
	}
	if bestPreference == preferCold && !r.admitCold(best, t.service, now) {
		return nil
	}
	r.lastChoice = bestPreference
	return best
}

// allows reports whether new flows of the route may go to the region of a server.
func (rt *route) allows(s *server) bool {
	return len(rt.regions) == 0 || slices.Contains(rt.regions, s.Region)
}

// rankFor returns how a server ranks for a new flow: by preference, then by order, of which the lowest is taken. After a
// failure only servers that have lately given a sign of life count in full, the last sign first.
func (r *Router) rankFor(s *server, crosses bool, f failed, now time.Duration) (Preference, float64) {
	p := r.preferenceOf(s, now)
	if f.any() && p < preferUnproven && now-s.lastSign > provenWithin {
		p = preferUnproven
	}
	if crosses && p == preferOther {
		p = preferCrossing
	}
	if f.any() && p < preferUnproven {
		return p, float64(now - s.lastSign)
	}
	return p, float64(s.flows+1) / float64(s.Slots)
}

func (r *Router) preferenceOf(s *server, now time.Duration) Preference {
	switch r.standingOf(s, now) {
	case entryGone, entryDraining, dataCentreOut, doubtedAndUnreachable:
		return preferNone
	case entryLapsed:
		return preferLapsed
	case coldStart:
		return preferCold
	case doubted, dataCentreUnreachable:
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
	// coldWindow is the span for which cold admission is counted.
	coldWindow = time.Second
	// coldHostsFloor is the least number of hosts that a stated rate is divided by, for hosts that do not see each other.
	coldHostsFloor = 8
	// coldSenders is how many hosts of its data centre send to a cold backend server whose rate is too small to divide.
	coldSenders = 2
)

// admitCold takes one of the few flows that this host may send to a cold backend server. Hosts do not coordinate: each
// takes its part of the stated rate, and where that is less than one flow a second only the hosts ranked first send. One
// that may not know the others yet sends nothing.
func (r *Router) admitCold(s *server, sv *service, now time.Duration) bool {
	if r.fleet.Starting {
		return false
	}
	if now-s.coldWindow >= coldWindow {
		s.coldWindow, s.coldTaken = now, 0
	}
	hosts := max(r.fleet.size(), coldHostsFloor)
	allowed := int(sv.coldRate / float64(hosts))
	if allowed == 0 && r.fleet.ranked(s.ID, s.DataCentre, coldSenders) {
		allowed = 1
	}
	if s.coldTaken >= allowed {
		return false
	}
	s.coldTaken++
	return true
}
