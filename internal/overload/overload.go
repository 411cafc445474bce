// Package overload decides which new flows get room at the backend servers of a service while it has too little.
//
// Each service has a concurrency limit at each host. The limit binds only while there is evidence that the service is full.
// A flow without room waits for a short time, by priority and route, or is rejected at once when its wait would be too
// long. The package does no I/O and reads no clock; its types are not safe for concurrent use.
package overload

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

const (
	// maxWait bounds the wait of a flow. Three attempts of a caller, each after such a wait, end within a second.
	maxWait = 250 * time.Millisecond
	// defaultWait is the longest wait of a flow whose route states no target latency.
	defaultWait = 100 * time.Millisecond
	// waitDivisor is the part of a route's target latency that a flow may wait: a caller has three attempts, and the request
	// still has to be served.
	waitDivisor = 4
	// rejectWaitFactor is the multiple of its longest wait that a flow's expected wait must exceed for it to be rejected at once. A
	// caller that is rejected at once uses its three attempts within some milliseconds, while room changes within a hundred.
	rejectWaitFactor = 2
	// maxWaiting is the maximum number of flows that wait for room at a service, and maxWaitingTotal at all services. The
	// host keeps an opening packet for each.
	maxWaiting      = 256
	maxWaitingTotal = 4096
	// updateInterval is the interval at which the state of a service with waiting flows moves on without an event.
	updateInterval = 50 * time.Millisecond
)

// Config holds the settings.
type Config struct {
	Enabled bool
	Floor   float64            // part of the limit that each less urgent priority may always use
	Weights map[string]float64 // turns of the routes of one priority, by route name; absent: 1
}

// Route describes a route to a service.
type Route struct {
	Name     string
	Priority int           // 0 is the most urgent
	Target   time.Duration // target latency; 0: none
}

// Service lists the routes that lead to a service.
type Service struct {
	Name   string
	Routes []Route
}

// Flow identifies a flow by the addresses of its two ends.
type Flow struct{ Caller, Service netip.AddrPort }

// Opening is a request for a new flow.
type Opening struct {
	Flow    Flow
	Service string
	Route   string
	Slots   int // of the service's backend servers that may get new flows and are reachable
}

// Outcome is a decision about a new flow.
type Outcome uint8

// Outcomes.
const (
	Admit         Outcome = iota
	Hold                  // the flow waits until it is due
	NoRoom                // rejected: its wait would be too long
	WaitedTooLong         // rejected: it got no room within its wait
	QueueFull             // rejected: too many flows wait
	Stopping              // rejected: it has no room, and the host is about to stop
)

// Decision is the outcome for a new flow.
type Decision struct {
	Outcome  Outcome
	Priority int
	Waited   time.Duration
}

// State holds the limits and the waiting flows of all services for which admission is switched on.
type State struct {
	config   Config
	fleet    Fleet
	services map[string]*service
	active   []*service // those whose limit binds or that have waiting flows
	waiting  map[Flow]*waiter
	due      []Flow           // flows whose wait has ended since the last call of Due
	decided  map[Flow]*waiter // flows that Due has returned, until its next call
	changes  []Change
	stopping bool // the host is about to stop: no flow is held
}

// New returns a State without services, which admits every flow.
func New(c Config) *State {
	return &State{
		config: c, services: map[string]*service{}, waiting: map[Flow]*waiter{}, decided: map[Flow]*waiter{},
	}
}

// Digest identifies a service in reports to other hosts.
func Digest(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// SetFleet replaces what is known of the other hosts.
func (s *State) SetFleet(f Fleet) { s.fleet = f }

// SetConfig replaces the settings. The weights, and whether admission is enabled, apply with the next call of SetServices.
func (s *State) SetConfig(c Config) { s.config = c }

// ServicesOf returns the services of a configuration with the routes that lead to them.
func ServicesOf(c *registry.Config) []Service {
	list := make([]Service, len(c.Services))
	index := make(map[string]int, len(c.Services))
	for i := range c.Services {
		list[i].Name, index[c.Services[i].Name] = c.Services[i].Name, i
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, t := range r.Targets {
			if at, ok := index[t.Service]; ok && t.Weight > 0 {
				list[at].Routes = append(list[at].Routes, Route{Name: r.Name, Priority: r.Priority, Target: r.TargetLatency})
			}
		}
	}
	return list
}

// SetServices replaces the services and their routes. Flows that wait for a service or route that is no longer subject to
// admission are due, so that they are decided anew.
func (s *State) SetServices(list []Service) {
	before := s.services
	s.services = map[string]*service{}
	for i := range list {
		if !s.config.Enabled || !list[i].limited() {
			continue
		}
		sv := before[list[i].Name]
		if sv == nil {
			sv = &service{name: list[i].Name, digest: Digest(list[i].Name), routes: map[string]*route{}}
		}
		s.setRoutes(sv, list[i].Routes)
		s.services[sv.name] = sv
	}
	for _, w := range s.waiting {
		sv := s.services[w.service.name]
		if w.ended == waits && (sv != w.service || sv.routes[w.route.name] != w.route) {
			s.end(w, requeued)
		}
	}
	for name, sv := range before {
		if s.services[name] == nil && sv.binds {
			s.changes = append(s.changes, Change{Service: name, Evidence: "not_limited"})
		}
	}
}

// HasTarget reports whether a route to the service states a target latency.
func (s *Service) HasTarget() bool {
	return slices.ContainsFunc(s.Routes, func(r Route) bool { return r.Target > 0 })
}

// limited reports whether admission applies to a service: its routes state at least two priorities, or a target latency.
func (s *Service) limited() bool {
	return s.HasTarget() || slices.ContainsFunc(s.Routes, func(r Route) bool { return r.Priority != s.Routes[0].Priority })
}

// Offer decides about a new flow. A copy of the opening packet of a waiting flow joins it. A flow that Due has returned must
// be offered again before the next call of Due.
func (s *State) Offer(o Opening, now time.Duration) Decision {
	if w := s.waiting[o.Flow]; w != nil {
		return Decision{Outcome: Hold, Priority: w.route.class.priority, Waited: now - w.since}
	}
	if w := s.decided[o.Flow]; w != nil && w.ended != requeued {
		return s.resume(w, now)
	}
	sv := s.services[o.Service]
	if sv == nil || sv.routes[o.Route] == nil {
		return Decision{}
	}
	rt := sv.routes[o.Route]
	sv.slots = o.Slots
	s.update(sv, now)
	d := Decision{Outcome: s.outcome(rt, now), Priority: rt.class.priority}
	switch d.Outcome {
	case Admit:
		rt.recordAdmission(now)
	case Hold:
		s.enqueue(sv, rt, o.Flow, now)
	}
	return d
}

// outcome returns the outcome for a new flow of a route. It does not modify the state.
func (s *State) outcome(rt *route, now time.Duration) Outcome {
	sv := rt.class.service
	ahead := rt.class.numWaitingUpTo()
	switch {
	case !sv.binds || ahead == 0 && s.hasRoom(rt.class, now):
		return Admit
	case s.stopping:
		return Stopping
	case sv.numWaiting >= maxWaiting || len(s.waiting) >= maxWaitingTotal:
		return QueueFull
	case rt.class.expectedWait(ahead, now) > rejectWaitFactor*rt.wait:
		return NoRoom
	}
	return Hold
}

// Preview returns the outcome for a new flow of a route to a service by the present state, which it does not modify.
func (s *State) Preview(service, route string, now time.Duration) Outcome {
	sv := s.services[service]
	if sv == nil || sv.routes[route] == nil {
		return Admit
	}
	return s.outcome(sv.routes[route], now)
}

// resume returns the decision about a flow whose wait has ended.
func (s *State) resume(w *waiter, now time.Duration) Decision {
	delete(s.decided, w.flow)
	d := Decision{Outcome: Admit, Priority: w.route.class.priority, Waited: now - w.since}
	if w.ended == expired {
		d.Outcome = WaitedTooLong
	}
	return d
}

// Meter returns the meter that the flows of a route to a service count for, or nil if admission does not apply to it.
func (s *State) Meter(service, route string) *work.Meter {
	sv := s.services[service]
	if sv == nil || sv.routes[route] == nil {
		return nil
	}
	return &sv.routes[route].meter
}

// requestEnded takes the time of a request that has ended as evidence, and gives room that became free to waiting flows.
func (s *State) requestEnded(rt *route, took, now time.Duration) {
	sv := rt.class.service
	if s.services[sv.name] != sv {
		return
	}
	if took > 0 {
		rt.times.add(took, now, sv.learns(now))
		if rt.times.slow() {
			sv.recordEvidence(SlowAnswers, now)
		}
	}
	s.update(sv, now)
}

// OpeningUnanswered records that a backend server of a service left a caller's opening packet unanswered although it
// answers others.
func (s *State) OpeningUnanswered(service string, now time.Duration) {
	if sv := s.services[service]; sv != nil {
		sv.recordEvidence(UnansweredOpening, now)
	}
}

// DiscardEvidence discards the evidence so far, because this host was paused.
func (s *State) DiscardEvidence() {
	for _, sv := range s.services {
		sv.evidenceAt = 0
		for _, rt := range sv.routes {
			rt.times.recent = rt.times.usual
		}
	}
}

// Stop releases all waiting flows. From now on no flow waits.
func (s *State) Stop() {
	s.stopping = true
	for _, w := range s.waiting {
		if w.ended == waits {
			s.end(w, released)
		}
	}
}

// Due ends the waits that are over and returns the flows that must be offered again. The slice is valid until the next call.
func (s *State) Due(now time.Duration) []Flow {
	for i := len(s.active) - 1; i >= 0; i-- {
		sv := s.active[i]
		if now-sv.updatedAt >= updateInterval || sv.numWaiting > 0 && now >= sv.firstEnd() {
			s.update(sv, now)
		}
		if !sv.binds && sv.numWaiting == 0 {
			sv.active = false
			s.active = slices.Delete(s.active, i, i+1)
		}
	}
	clear(s.decided)
	due := s.due
	s.due = nil
	for _, f := range due {
		s.decided[f] = s.waiting[f]
		delete(s.waiting, f)
	}
	return due
}

// NextDeadline returns the earliest end of a wait, and whether any flow waits.
func (s *State) NextDeadline() (time.Duration, bool) {
	if len(s.waiting) == 0 {
		return 0, false
	}
	if len(s.due) > 0 {
		return 0, true
	}
	first := endOfTime
	for _, sv := range s.active {
		first = min(first, sv.firstEnd())
	}
	return first, true
}
