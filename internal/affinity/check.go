package affinity

import (
	"net/netip"
	"time"
)

const (
	// minCheckInterval is the minimum time between two checks of the same backend server.
	minCheckInterval = 500 * time.Millisecond
	// maxReferenceAge is the maximum time since a backend server's last observed answer for it to be the reference of a
	// check.
	maxReferenceAge = 5 * time.Second
)

// CheckRequest asks the user of the Router to test whether a backend server accepts connections. Callers' packets alone
// cannot distinguish a failed backend server from a busy one, which acknowledges a request only with its response.
type CheckRequest struct {
	ServerID string
	Addr     netip.AddrPort
	// Reference is the address of another backend server, one that has answered recently. If it does not answer promptly
	// either, a missing answer is attributed to this host's own link or processor.
	Reference netip.AddrPort
}

// CheckOutcome is the result of a check.
type CheckOutcome uint8

// Outcomes of a check.
const (
	Unchecked CheckOutcome = iota // the check could not be performed or is inconclusive
	Accepts
	Refuses  // connection refused: no process listens at the address
	NoAnswer // no response within the time limit of the check
)

var outcomeNames = [...]string{"unchecked", "accepts", "refuses", "no_answer"}

// String returns the name that logs and metrics use for the outcome.
func (o CheckOutcome) String() string { return outcomeNames[o] }

// check is the state of the latest check of a server.
type check struct {
	running   bool
	startedAt time.Duration
}

// requestCheck queues a check of a server that left packets unanswered. Draining servers are not checked, because they
// may refuse new connections while they still serve their flows.
func (r *Router) requestCheck(s *server, now time.Duration) {
	if s.check.running || s.Draining || s.drained || s.check.startedAt != 0 && now-s.check.startedAt < minCheckInterval {
		return
	}
	reference := r.reference(s, now)
	if reference == nil {
		return
	}
	s.check = check{running: true, startedAt: now}
	r.checks = append(r.checks, CheckRequest{ServerID: s.ID, Addr: s.Addr, Reference: reference.Addr})
}

// reference returns a server other than s that has answered recently, or nil.
func (r *Router) reference(s *server, now time.Duration) *server {
	for _, other := range r.lastAnswering {
		if other != nil && other != s && other.present && now-other.lastAnswerAt <= maxReferenceAge {
			return other
		}
	}
	return nil
}

// recordAnswer records an observed answer. It keeps the two servers that answered most recently, so that a check of one of
// them has a reference.
func (r *Router) recordAnswer(s *server, now time.Duration) {
	if now < r.evidenceSince {
		return
	}
	s.answered(now)
	if r.lastAnswering[0] != s {
		r.lastAnswering[0], r.lastAnswering[1] = s, r.lastAnswering[0]
	}
}

// TakeChecks returns the queued checks and empties the queue. The slice is valid until the next call of a Router method.
func (r *Router) TakeChecks() []CheckRequest {
	checks := r.checks
	r.checks = r.checks[:0]
	return checks
}

// HandleCheckResult processes the result of a check. A server that did not accept the connection becomes Silent and its
// flows are reset, unless it drains, a caller's packet has acknowledged an answer from it since the check started, or this
// host was paused meanwhile.
func (r *Router) HandleCheckResult(id string, outcome CheckOutcome, now time.Duration) {
	s := r.servers[id]
	if s == nil || !s.check.running {
		return
	}
	s.check.running = false
	switch {
	case outcome == Accepts || outcome == Unchecked || s.lastAnswerAt >= s.check.startedAt || s.Draining || s.drained:
	case s.check.startedAt < r.evidenceSince && outcome == NoAnswer:
	default:
		s.silentUntil, s.healthCause = now+silentPeriod, causeOf(outcome)
		r.healthChanges.add(s, Silent, s.healthCause, now, silentPeriod)
		r.scheduleResets(s, BackendServerSilent)
	}
}

func causeOf(outcome CheckOutcome) Cause {
	if outcome == Refuses {
		return ConnectionRefused
	}
	return ConnectionUnanswered
}
