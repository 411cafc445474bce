package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// requestsPerSlot is the number of requests that may run for each slot of a service. Backend servers queue about four requests
	// for each slot, and the hosts' choices differ, so that queues seldom fill at 2.5.
	requestsPerSlot = 2.5
	// minLimit is the smallest limit of a host. The queues of the backend servers absorb what hosts exceed a small room by.
	minLimit = 4
	// limitDeviations is the number of standard deviations that a host's limit exceeds its part by. Callers reach hosts at random, so
	// that a host with a part of 6 would often lack room while others have some.
	limitDeviations = 2
	// meanTime is the time over which the running requests are averaged for the reserve. The momentary peak at a host that
	// runs a handful of urgent requests is about twice its mean, so that others would get next to nothing.
	meanTime = 200 * time.Millisecond
	// peakWindow is the time over which the largest mean is kept, for one to two windows.
	peakWindow = 250 * time.Millisecond
)

// Fleet is what is known of the other hosts.
type Fleet struct {
	Hosts  int        // hosts of the own data centre that share its part, including this one
	Own    Reported   // by the other hosts of the own data centre
	Others []Reported // by the hosts of each other data centre that is reachable
}

// Reported is the demand that the hosts of a data centre report.
type Reported struct {
	Known  bool           // some host has reported its demand
	Demand map[uint32]int // running and waiting requests by Digest of the service
}

// limit returns this host's limit for a service: an equal share of its data centre's part of the room. It returns
// math.MaxInt if no backend server is ready: which flows lapsed, suspect and cold ones get is decided with their choice.
func (s *State) limit(sv *service) int {
	if sv.slots == 0 {
		return math.MaxInt
	}
	part := ownPart(requestsPerSlot*float64(sv.slots), sv.digest, s.fleet.Others)
	part /= float64(max(s.fleet.Hosts, 1))
	return max(int(part+limitDeviations*math.Sqrt(part)), minLimit)
}

// ownPart returns the part of the room that max-min fair division gives to the own data centre when its demand is
// unlimited. A data centre that has not reported its demand gets an equal part.
func ownPart(room float64, service uint32, others []Reported) float64 {
	var demands []float64
	for _, o := range others {
		if o.Known {
			demands = append(demands, float64(o.Demand[service]))
		}
	}
	slices.Sort(demands)
	sharers := float64(len(others) + 1)
	for _, d := range demands {
		if d > room/sharers {
			break
		}
		room -= d
		sharers--
	}
	return room / sharers
}

// hasRoom reports whether a flow of a class may be admitted. The most urgent class may use the whole limit, whatever the
// others use: the requests on their open flows are not subject to admission. Other classes may use what the more urgent
// ones are not likely to need, and always the floor.
func (s *State) hasRoom(c *class, now time.Duration) bool {
	limit := s.limit(c.service)
	used := c.running(now)
	if c.index > 0 && float64(used) < max(1, s.config.Floor*float64(limit)) {
		return true
	}
	for _, urgent := range c.service.classes[:c.index] {
		used += max(urgent.running(now), urgent.peak.value())
	}
	return used < limit
}

// running returns the running requests of a class, including admitted flows whose first request has not started.
func (c *class) running(now time.Duration) int {
	n := 0
	for _, rt := range c.routes {
		n += rt.meter.Running() + rt.numOpenings(now)
	}
	return n
}

// running returns the running requests of a service.
func (sv *service) running(now time.Duration) int {
	n := 0
	for _, c := range sv.classes {
		n += c.running(now)
	}
	return n
}

// expectedWait returns the expected wait of a flow behind ahead others of its class or more urgent ones, by the requests
// that this host saw completed in the last second. Without any it returns 0, so that the flow waits.
func (c *class) expectedWait(ahead int, now time.Duration) time.Duration {
	completed := 0
	for _, before := range c.service.classes[:c.index+1] {
		for _, rt := range before.routes {
			completed += rt.meter.Completions(now)
		}
	}
	if completed == 0 {
		return 0
	}
	return time.Duration(ahead+1) * time.Second / time.Duration(completed)
}

// peak is the largest mean of the running requests in the current window and the one before.
type peak struct {
	mean              float64
	current, previous float64
	at, since         time.Duration
}

func (p *peak) add(n int, now time.Duration) {
	p.mean += (float64(n) - p.mean) * min(float64(now-p.at)/float64(meanTime), 1)
	p.at = now
	if now-p.since >= peakWindow {
		p.previous = p.current
		if now-p.since >= 2*peakWindow {
			p.previous = 0
		}
		p.current, p.since = 0, now
	}
	p.current = max(p.current, p.mean)
}

func (p *peak) value() int { return int(math.Ceil(max(p.current, p.previous))) }
