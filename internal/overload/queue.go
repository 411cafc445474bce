package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

// openingTime is how long an admitted flow without a request counts as a running one. Callers send their request a few
// round trips after the opening packet.
const openingTime = 250 * time.Millisecond

// service is the state of one service.
type service struct {
	name       string
	digest     uint32
	slots      int
	routes     map[string]*route
	classes    []*class // by priority, the most urgent first
	numWaiting int
	active     bool          // in State.active
	updatedAt  time.Duration // last call of update
	binding
}

// class holds the routes of one priority.
type class struct {
	service  *service
	index    int // in service.classes
	priority int
	routes   []*route
	turn     float64 // position of the route that had the last turn
	peak     peak
}

// route is the state of one route to a service.
type route struct {
	name     string
	class    *class
	wait     time.Duration // longest wait of a flow
	weight   float64
	turn     float64 // number of turns so far over the weight
	queue    []*waiter
	openings []time.Duration // when flows were admitted whose first request has not started
	meter    work.Meter      // running and answered requests
	times    answerTimes
}

// ended states how a wait ended.
type ended uint8

const (
	waits    ended = iota
	released       // the flow got room
	expired        // the wait was too long
	requeued       // admission no longer applies to the flow's route
)

// waiter is a waiting flow.
type waiter struct {
	flow         Flow
	service      *service
	route        *route
	since, until time.Duration
	ended        ended
}

// setRoutes replaces the routes of a service. A route that stays keeps its state and its queue.
func (s *State) setRoutes(sv *service, list []Route) {
	before := sv.routes
	sv.routes, sv.classes = map[string]*route{}, nil
	for _, r := range list {
		if sv.routes[r.Name] != nil {
			continue
		}
		rt := before[r.Name]
		if rt == nil {
			rt = &route{name: r.Name}
			rt.meter.OnFirst = rt.endOpening
			rt.meter.OnEnd = func(took, now time.Duration) { s.requestEnded(rt, took, now) }
		}
		rt.wait, rt.weight = waitFor(r.Target), cmp.Or(s.config.Weights[r.Name], 1)
		rt.class = sv.classOf(r.Priority)
		rt.class.routes = append(rt.class.routes, rt)
		sv.routes[r.Name] = rt
	}
	slices.SortFunc(sv.classes, func(a, b *class) int { return cmp.Compare(a.priority, b.priority) })
	for i, c := range sv.classes {
		c.index = i
	}
}

func (sv *service) classOf(priority int) *class {
	for _, c := range sv.classes {
		if c.priority == priority {
			return c
		}
	}
	c := &class{service: sv, priority: priority}
	sv.classes = append(sv.classes, c)
	return c
}

// waitFor returns the longest wait of a flow whose route has a target latency.
func waitFor(target time.Duration) time.Duration {
	if target == 0 {
		return defaultWait
	}
	return min(target/waitDivisor, maxWait)
}

// numWaitingUpTo returns the number of waiting flows that precede a new one of the class.
func (c *class) numWaitingUpTo() int {
	n := 0
	for _, before := range c.service.classes[:c.index+1] {
		for _, rt := range before.routes {
			n += len(rt.queue)
		}
	}
	return n
}

// enqueue makes a flow wait.
func (s *State) enqueue(sv *service, rt *route, f Flow, now time.Duration) {
	if len(rt.queue) == 0 {
		rt.turn = max(rt.turn, rt.class.turn)
	}
	w := &waiter{flow: f, service: sv, route: rt, since: now, until: now + rt.wait}
	rt.queue = append(rt.queue, w)
	s.waiting[f] = w
	sv.numWaiting++
	sv.waitedAt = now
}

// next returns the waiting flow of the class whose turn it is, or nil.
func (c *class) next() *waiter {
	var first *route
	for _, rt := range c.routes {
		if len(rt.queue) > 0 && (first == nil || rt.turn < first.turn) {
			first = rt
		}
	}
	if first == nil {
		return nil
	}
	return first.queue[0]
}

// end ends the wait of a flow.
func (s *State) end(w *waiter, how ended) {
	rt := w.route
	i := slices.Index(rt.queue, w)
	rt.queue = slices.Delete(rt.queue, i, i+1)
	w.service.numWaiting--
	w.ended = how
	if how == released {
		rt.class.turn = rt.turn
		rt.turn += 1 / rt.weight
	}
	s.due = append(s.due, w.flow)
}

// endOfTime is later than any time.
const endOfTime = time.Duration(math.MaxInt64)

// firstEnd returns the earliest end of a wait at the service.
func (sv *service) firstEnd() time.Duration {
	first := endOfTime
	for _, rt := range sv.routes {
		if len(rt.queue) > 0 {
			first = min(first, rt.queue[0].until)
		}
	}
	return first
}

// expire ends the waits of a service that are over.
func (s *State) expire(sv *service, now time.Duration) {
	for _, c := range sv.classes {
		for _, rt := range c.routes {
			for len(rt.queue) > 0 && rt.queue[0].until <= now {
				s.end(rt.queue[0], expired)
			}
		}
	}
}

// release gives room that is free to waiting flows, the most urgent first.
func (s *State) release(sv *service, now time.Duration) {
	for _, c := range sv.classes {
		for w := c.next(); w != nil && (!sv.binds || s.hasRoom(c, now)); w = c.next() {
			s.end(w, released)
			w.route.recordAdmission(now)
		}
	}
}

// recordAdmission counts an admitted flow as running until its first request starts.
func (rt *route) recordAdmission(now time.Duration) { rt.openings = append(rt.openings, now) }

// endOpening records the first request of an admitted flow.
func (rt *route) endOpening() {
	if len(rt.openings) > 0 {
		rt.openings = slices.Delete(rt.openings, 0, 1)
	}
}

// numOpenings returns the number of admitted flows whose first request has not started.
func (rt *route) numOpenings(now time.Duration) int {
	for len(rt.openings) > 0 && now-rt.openings[0] >= openingTime {
		rt.endOpening()
	}
	return len(rt.openings)
}
