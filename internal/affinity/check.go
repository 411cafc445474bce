package affinity

import (
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

const (
	// minCheckInterval is the minimum time between two checks of the same backend server.
	minCheckInterval = 500 * time.Millisecond
	// maxReferenceAge is the maximum time since a backend server's last observed answer for it to be the reference of a
	// check.
	maxReferenceAge = 5 * time.Second
)

// Instance identifies one start of a backend server.
type Instance struct {
	Identity  uint64
	StartedMs int64 // 0: unknown
}

// CheckRequest asks the user of the Router to test whether a backend server accepts connections. Callers' packets alone
// cannot distinguish a failed backend server from a busy one, which acknowledges a request only with its response.
type CheckRequest struct {
	ServerID string
	Instance Instance
	Addr     netip.AddrPort
	// Reference is the address of another backend server, one that has answered recently. If it does not answer promptly
	// either, or if it is not valid since no server has answered recently, a missing answer is attributed to this host's own
	// link or processor.
	Reference netip.AddrPort
	StartedAt time.Duration // identifies the check among those of the server
}

// CheckOutcome is the result of a check.
type CheckOutcome uint8

// Outcomes of a check.
const (
	Unchecked CheckOutcome = iota // the check could not be performed or is inconclusive
	Accepts
	Refuses  // connection refused: no process listens at the address
	NoAnswer // no response within the time limit of the check
	// AcceptsAgain is Accepts by a new process: an earlier check was refused. It is told to other hosts only.
	AcceptsAgain
)

var outcomeNames = [...]string{"unchecked", "accepts", "refuses", "no_answer", "accepts_again"}

// String returns the name that logs and metrics use for the outcome.
func (o CheckOutcome) String() string { return outcomeNames[o] }

// maxCheckTime is the time after which the result of a check is no longer awaited.
const maxCheckTime = 2 * time.Second

// check is the state of the latest check of a server.
type check struct {
	running   bool
	startedAt time.Duration
}

// awaited reports whether the result of the check is still to come.
func (c *check) awaited(now time.Duration) bool { return c.running && now-c.startedAt < maxCheckTime }

// requestCheck queues a request for a check of a server that left packets unanswered.
func (r *Router) requestCheck(s *server, now time.Duration) {
	if s.Draining || s.drained || s.checkRequestedAt != 0 && now-s.checkRequestedAt < minCheckInterval {
		return
	}
	s.checkRequestedAt = now
	r.checks = append(r.checks, s.instance())
}

// StartCheck returns the check of a backend server, which the user of the Router must perform. It returns false if the
// server is unknown or has just been checked, or if it drains: it may refuse new connections then while it still serves its
// flows.
func (r *Router) StartCheck(i Instance, now time.Duration) (CheckRequest, bool) {
	s := r.serverOf(i)
	if s == nil || s.check.awaited(now) || s.Draining || s.check.startedAt != 0 && now-s.check.startedAt < minCheckInterval {
		return CheckRequest{}, false
	}
	s.check = check{running: true, startedAt: now}
	request := CheckRequest{ServerID: s.ID, Instance: i, Addr: s.Addr, StartedAt: now}
	if reference := r.reference(s, now); reference != nil {
		request.Reference = reference.Addr
	}
	return request, true
}

// Checking reports whether the result of a check of an instance is awaited.
func (r *Router) Checking(i Instance, now time.Duration) bool {
	s := r.serverOf(i)
	return s != nil && s.check.awaited(now)
}

// SinceAnswer returns the time since the last answer of an instance that this host has observed, if there is one.
func (r *Router) SinceAnswer(i Instance, now time.Duration) (time.Duration, bool) {
	if s := r.serverOf(i); s != nil && s.lastAnswerAt > 0 {
		return now - s.lastAnswerAt, true
	}
	return 0, false
}

// ServerID returns the ID of a backend server for logs, or "" if it is unknown.
func (r *Router) ServerID(i Instance) string {
	if s := r.serverOf(i); s != nil {
		return s.ID
	}
	return ""
}

// serverOf returns the server of an instance, or nil if it is unknown, has been restarted or has left its address to another
// one. The server may have lost its entry while the store was unavailable.
func (r *Router) serverOf(i Instance) *server {
	s := r.byToken[(&registry.BackendServer{Identity: i.Identity}).Token()]
	if s == nil || s.drained || s.instance() != i {
		return nil
	}
	return s
}

// reference returns a server other than s that has answered recently, or nil. It prefers one of the same data centre: the way to
// another one may be the fault.
func (r *Router) reference(s *server, now time.Duration) *server {
	sameDataCentre := r.silenceOf(s.DataCentre).answerers
	for _, other := range []*server{sameDataCentre[0], sameDataCentre[1], r.recentAnswerers[0], r.recentAnswerers[1]} {
		if other != nil && other != s && other.present && now-other.lastAnswerAt <= maxReferenceAge {
			return other
		}
	}
	return nil
}

// recordAnswer records an observed answer. It keeps the two servers that answered most recently, also of each data centre, so
// that a check of one of them has a reference.
func (r *Router) recordAnswer(s *server, now time.Duration) {
	if now < r.evidenceSince {
		return
	}
	s.answered(now)
	r.recentAnswerers.add(s)
	r.silenceOf(s.DataCentre).answerers.add(s)
}

// recentAnswerers holds the two servers that answered most recently, the latest first.
type recentAnswerers [2]*server

func (l *recentAnswerers) add(s *server) {
	if l[0] != s {
		l[0], l[1] = s, l[0]
	}
}

// TakeChecks returns the backend servers that are to be checked and empties the list. The slice is valid until the next call
// of a Router method.
func (r *Router) TakeChecks() []Instance {
	checks := r.checks
	r.checks = r.checks[:0]
	return checks
}

// HandleCheckResult ends a check and returns what its outcome says: Accepts if it got no answer but a caller's packet has
// acknowledged an answer of the server since the check started, and Unchecked if it was refused nevertheless, as by a server
// that has begun to drain, if this host was paused meanwhile, if a later check has been started, or if the server has gone, was
// restarted or drains.
func (r *Router) HandleCheckResult(request CheckRequest, outcome CheckOutcome) CheckOutcome {
	s := r.serverOf(request.Instance)
	if s == nil || !s.check.running || s.check.startedAt != request.StartedAt {
		return Unchecked
	}
	s.check.running = false
	switch {
	case s.Draining:
		return Unchecked
	case outcome == Accepts || outcome == Unchecked:
		return outcome
	case s.lastAnswerAt >= s.check.startedAt && outcome == NoAnswer:
		return Accepts
	case s.lastAnswerAt >= s.check.startedAt:
		return Unchecked
	case s.check.startedAt < r.evidenceSince && outcome == NoAnswer:
		return Unchecked
	}
	return outcome
}

// maxAvoidedDivisor bounds what other hosts' findings can do: servers are avoided by them while at most one in
// maxAvoidedDivisor of the service is suspect or silent.
const maxAvoidedDivisor = 2

// Assessment is what the evidence of this and other hosts amounts to about a backend server.
type Assessment struct {
	Health Health // Answers: nothing speaks against it
	Cause  Cause
	Since  time.Duration // time of the oldest evidence that counts; an answer after it outweighs the assessment
	Latest time.Duration // time of the latest evidence, from which the state lasts
	// OwnEvidence is set if this host's callers or its own check contributed. Otherwise only other hosts did.
	OwnEvidence bool
	// AcceptedAt is the end of the latest accepted check by a host of the own data centre.
	AcceptedAt time.Duration
}

// SetHealth puts an assessment in force: Suspect, or Silent, which also resets the server's flows. Draining servers are left
// alone, and without evidence of this host's own so is a server once too many of its service are avoided. An accepted check ends
// a silence with older evidence. It reports whether the state has changed.
func (r *Router) SetHealth(i Instance, a Assessment, now time.Duration) bool {
	s := r.serverOf(i)
	if s == nil || s.Draining {
		return false
	}
	if a.Health != Silent && s.silentUntil > now && a.AcceptedAt > s.silentUntil-silentPeriod {
		s.markChanged()
		s.silentUntil = 0
		r.healthChanges.add(s, Answers, ConnectionAccepted, now, 0)
		return true
	}
	if s.provenAt() >= a.Since || a.Health == Answers {
		return false
	}
	if !a.OwnEvidence && !s.suspectOrSilent(now) && r.tooMany(s.Service, (*server).suspectOrSilent, now) {
		return false
	}
	if a.Health == Suspect {
		wasSuspect := s.suspectOrSilent(now)
		if !wasSuspect {
			s.suspect(a.Cause, now)
		}
		return !wasSuspect
	}
	until := a.Latest + silentPeriod
	wasSilent := s.silentUntil > now
	if until <= now || wasSilent && until <= s.silentUntil {
		return false
	}
	s.markChanged()
	s.silentUntil, s.healthCause = until, a.Cause
	if wasSilent {
		return false
	}
	r.scheduleResets(s, BackendServerSilent)
	r.healthChanges.add(s, Silent, s.healthCause, now, until-now)
	return true
}

// tooMany reports whether one more avoided server would exceed the share that maxAvoidedDivisor allows.
func (r *Router) tooMany(service string, avoids func(*server, time.Duration) bool, now time.Duration) bool {
	sv := r.services[service]
	if sv == nil {
		return true
	}
	avoided, servers := 1, 0
	for _, p := range sv.pools {
		p.refresh(now)
		servers += len(p.servers)
		for _, s := range p.special {
			if avoids(s, now) {
				avoided++
			}
		}
	}
	return avoided*maxAvoidedDivisor > servers
}

// CauseOf returns the cause that an unfavourable outcome of a check is.
func CauseOf(outcome CheckOutcome) Cause {
	if outcome == Refuses {
		return ConnectionRefused
	}
	return ConnectionUnanswered
}
