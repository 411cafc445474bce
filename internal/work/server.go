package work

import (
	"math"
	"time"
)

const (
	// overdueRequests is the number of requests that one without an answer in time counts as: the server has needed more
	// than timeoutFactor times the usual time for it, and has probably not got to it yet.
	overdueRequests = timeoutFactor
	// overdueHalfLife is the time in which an overdue request's weight halves. Its caller may have given up.
	overdueHalfLife = time.Second
	// tolerance is the number of requests by which estimates of the work at servers differ without a difference between them.
	tolerance = 0.25
	// maxRemotePerSlot bounds, in requests per slot, what other hosts' reports add to the work at a server. All receivers
	// act on the same reports: without a bound they would avoid a server together and fill the others.
	maxRemotePerSlot = 0.5
	// priorCallers is the weight of the assumption that a server has the usual speed, in callers.
	priorCallers = 4
	// priorPerHost is added to priorCallers for each other host whose reports count: hosts report servers that differ, so a
	// host without a report is evidence of the usual speed.
	priorPerHost = 0.2
	// deferBelowSpeed is the speed below which a server gets fewer new flows than the others. Estimates of servers of the
	// usual speed vary by less.
	deferBelowSpeed = 0.8
	// minSpeed bounds the time for which a slow server gets no new flows.
	minSpeed = 0.1
	// slowSpeed and recoveredSpeed are the speeds below and above which a server is reported as slow and no longer so.
	slowSpeed, recoveredSpeed = 0.5, 0.7
)

// Listener is told when the estimates of a server have changed.
type Listener interface {
	WorkChanged()
	// Name names the server in reports, and Token identifies it in messages.
	Name() string
	Token() uint32
}

// Server is what a host knows of the requests at a backend server.
type Server struct {
	service    *Service
	listener   Listener
	active     bool // in the tracker's list
	running    int
	load       int64         // work expected from its open flows, in nanoseconds at the usual speed
	overdue    float64       // requests without an answer in time, as of overdueAt
	overdueAt  time.Duration // last update of overdue
	speed      *speed        // nil: no samples
	log        float64       // logarithm of the relative time of requests, as of the last update
	weight     float64       // of log, in callers
	latest     time.Duration // time of the latest sample
	remote     Remote
	deferUntil float64 // choice in the server's pool up to which it gets fewer new flows
	slow       bool    // reported as slow
}

// State is what a host knows of a server, for operators.
type State struct {
	Running int           // requests in progress through this host
	Work    float64       // requests that the server has to do, as far as this host knows
	Speed   float64       // relative to the usual speed
	Samples int           // number of callers behind Speed at this and other hosts
	Age     time.Duration // of this host's latest sample; negative: none
}

// State returns the present estimates.
func (s *Server) State(now time.Duration) State {
	state := State{Running: s.running, Work: s.localWork() + s.remote.Work, Speed: s.Speed(), Samples: int(math.Round(s.weight + s.remote.Weight)), Age: -1}
	if s.latest > 0 {
		state.Age = now - s.latest
	}
	return state
}

// Running returns the number of requests in progress.
func (s *Server) Running() int { return s.running }

// SetService sets the service that the requests of the server count for; nil: none.
func (s *Server) SetService(sv *Service, l Listener) {
	s.listener = l
	if s.service == sv {
		return
	}
	if s.service != nil {
		s.service.running -= s.running
		s.service.servers--
	}
	s.service = sv
	if sv != nil {
		sv.running += s.running
		sv.servers++
	}
}

// Restarted discards what is known of the speed and the overdue requests of the server's earlier start.
func (s *Server) Restarted() {
	s.speed, s.log, s.weight, s.latest, s.overdue, s.remote, s.deferUntil, s.slow = nil, 0, 0, 0, 0, Remote{}, 0, false
	s.changed()
}

// Speed returns the estimated speed relative to the usual one.
func (s *Server) Speed() float64 {
	hosts := 0.0
	if s.service != nil {
		hosts = float64(s.service.tracker.reporters)
	}
	sum := s.log*s.weight + s.remote.Log*s.remote.Weight
	return math.Exp(-sum / (s.weight + s.remote.Weight + priorCallers + priorPerHost*hosts))
}

// localWork returns the work that this host expects at the server, in requests of the usual cost of its service.
func (s *Server) localWork() float64 {
	if s.service == nil || s.load == 0 {
		return s.overdue
	}
	return float64(s.load)/float64(max(s.service.cost.value(), 1)) + s.overdue
}

// Expected returns the expected work per slot, in requests including a new one. It is 1 while a slot is likely to be free, so
// that the order of idle servers depends on other things. choices is the number of choices in the server's pool.
//
// The speed is no divisor: where each host sends a few flows only, all hosts would choose the fast servers together. Instead,
// a slow server is deferred after each new flow.
func (s *Server) Expected(slots int, choices uint64) float64 {
	n := float64(slots)
	requests := s.localWork() + min(s.remote.Work, maxRemotePerSlot*n)
	if float64(choices) < s.deferUntil {
		requests += n
	} else {
		s.deferUntil = 0
	}
	return max((requests+1-tolerance)/n, 1)
}

// Chosen records that the server has been chosen for a new flow, with the number of choices and of servers of its pool. A
// server of the usual speed comes to its turn again after as many choices as there are servers, and one of half the speed
// after twice as many. The end of the deferral takes effect with the next update.
func (s *Server) Chosen(choices uint64, servers int) {
	if speed := s.Speed(); speed < deferBelowSpeed {
		s.deferUntil = float64(choices) + float64(servers)/max(speed, minSpeed)
		s.changed()
	}
}

// addSample adds the relative time of a request.
func (s *Server) addSample(caller uint32, ratio float64, now time.Duration) {
	if s.speed == nil {
		s.speed = &speed{}
	}
	s.speed.add(caller, ratio, now)
	s.activate()
}

// addOverdue records a request that has not been answered in time.
func (s *Server) addOverdue(now time.Duration) {
	s.decay(now)
	s.overdue += overdueRequests
	s.changed()
}

func (s *Server) decay(now time.Duration) {
	s.overdue *= math.Exp2(-float64(now-s.overdueAt) / float64(overdueHalfLife))
	s.overdueAt = now
	if s.overdue < tolerance {
		s.overdue = 0
	}
}

// update updates the estimates that depend on the time.
func (s *Server) update(now time.Duration) {
	s.decay(now)
	if s.speed == nil {
		return
	}
	if s.log, s.weight, s.latest = s.speed.mean(now); s.weight == 0 {
		s.speed = nil
	}
}

// addRunning changes the number of running requests.
func (s *Server) addRunning(n int) {
	s.running += n
	if s.service != nil {
		s.service.running += n
	}
}

// SetRemote sets what other hosts know.
func (s *Server) SetRemote(r Remote) {
	if s.remote != r {
		s.remote = r
		s.changed()
	}
}

// changed tells the listener about a change.
func (s *Server) changed() {
	s.activate()
	if s.listener != nil {
		s.listener.WorkChanged()
	}
}

// activate adds the server to those that are updated regularly.
func (s *Server) activate() {
	if !s.active && s.service != nil {
		s.active = true
		t := s.service.tracker
		t.active = append(t.active, s)
	}
}

// neutral reports whether the server has nothing that must be updated.
func (s *Server) neutral() bool {
	return s.load == 0 && s.overdue == 0 && s.speed == nil && s.remote == Remote{} && s.deferUntil == 0
}
