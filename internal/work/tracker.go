package work

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Tracker holds the services whose requests are counted, and updates the estimates of their servers. The zero value is ready
// for use.
type Tracker struct {
	services  map[string]*Service
	active    []*Server // servers with anything to update
	reporters int       // other hosts whose reports count
	slow      []SlowServer
	reports   []Report
}

// Service counts the requests of all backend servers of a service.
type Service struct {
	tracker     *Tracker
	running     int
	servers     int
	completions window
	cost        average // of the requests of all routes
	work        float64 // sum of this host's work at all servers as of the last update, in requests
}

// mean returns the mean of this host's work at a server.
func (sv *Service) mean() float64 { return sv.work / float64(max(sv.servers, 1)) }

// Service returns the service of a name, and creates it if necessary.
func (t *Tracker) Service(name string) *Service {
	sv := t.services[name]
	if sv == nil {
		if t.services == nil {
			t.services = map[string]*Service{}
		}
		sv = &Service{tracker: t}
		t.services[name] = sv
	}
	return sv
}

// Retain discards the services that keep rejects.
func (t *Tracker) Retain(keep func(name string) bool) {
	maps.DeleteFunc(t.services, func(name string, _ *Service) bool { return !keep(name) })
}

// Running returns the number of requests in progress at the backend servers of a service.
func (t *Tracker) Running(name string) int {
	if sv := t.services[name]; sv != nil {
		return sv.running
	}
	return 0
}

// Completions returns the number of requests of a service that were answered within the last second.
func (t *Tracker) Completions(name string, now time.Duration) int {
	if sv := t.services[name]; sv != nil {
		return sv.completions.sum(now)
	}
	return 0
}

// NumActive returns the number of servers that Update looks at.
func (t *Tracker) NumActive() int { return len(t.active) }

// Update updates the estimates that depend on the time.
func (t *Tracker) Update(now time.Duration) {
	for _, sv := range t.services {
		sv.work = 0
	}
	kept := t.active[:0]
	for _, s := range t.active {
		if s.service == nil {
			s.active = false
			continue
		}
		s.update(now)
		s.service.work += s.localWork()
		t.checkSlow(s)
		if s.active = !s.neutral(); s.active {
			kept = append(kept, s)
		}
	}
	clear(t.active[len(kept):])
	t.active = kept
	for _, s := range kept {
		s.changed()
	}
	t.selectReports(now)
}

// SlowServer reports that a server has become slow.
type SlowServer struct {
	ServerID string
	State
}

// maxSlowServers bounds the list of servers that have become slow; further ones are left out.
const maxSlowServers = 64

// checkSlow records that a server has become slow, or no longer is.
func (t *Tracker) checkSlow(s *Server) {
	speed := s.Speed()
	if s.slow && speed > recoveredSpeed {
		s.slow = false
	}
	if s.slow || speed >= slowSpeed {
		return
	}
	s.slow = true
	if len(t.slow) < maxSlowServers {
		t.slow = append(t.slow, SlowServer{ServerID: s.listener.Name(), State: s.State(s.latest)})
	}
}

// TakeSlow returns the servers that have become slow and empties the list. The slice is valid until the next call of Update.
func (t *Tracker) TakeSlow() []SlowServer {
	slow := t.slow
	t.slow = t.slow[:0]
	return slow
}

const (
	// MaxReports is the maximum number of servers in a host's report.
	MaxReports = 4
	// reportedExcess is the number of requests above the mean from which the work at a server is reported. A single request
	// in progress says nothing; one without an answer in time counts as overdueRequests.
	reportedExcess = 1.5
	// reportedLog is the logarithm of the relative time of requests, times the square root of its weight, from which a
	// speed is reported. It is the spread of the work of equal requests.
	reportedLog = 0.5
)

// selectReports selects the servers that differ most from the rest.
func (t *Tracker) selectReports(now time.Duration) {
	type candidate struct {
		Report
		difference float64
	}
	var candidates []candidate
	for _, s := range t.active {
		c := candidate{Report: Report{Token: s.listener.Token()}}
		if excess := s.localWork() - s.service.mean(); excess > reportedExcess {
			c.Work, c.difference = excess, excess
		}
		if x := math.Abs(s.log) * math.Sqrt(s.weight); x > reportedLog {
			c.Log, c.Weight = s.log, s.weight
			c.difference += x
		}
		if c.difference > 0 {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.difference, a.difference), cmp.Compare(a.Token, b.Token))
	})
	t.reports = make([]Report, 0, MaxReports)
	for _, c := range candidates[:min(len(candidates), MaxReports)] {
		t.reports = append(t.reports, c.Report)
	}
}

// Reports returns the servers that differ most from the rest, as of the last update. The slice is not modified later.
func (t *Tracker) Reports() []Report { return t.reports }

// SetReporters sets the number of other hosts whose reports count.
func (t *Tracker) SetReporters(n int) { t.reporters = n }
