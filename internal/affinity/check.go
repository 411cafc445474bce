package affinity

import (
	"net/netip"
	"time"
)

const (
	// checkPause is the least time between two checks of a backend server.
	checkPause = 500 * time.Millisecond
	// referenceAge is the age of a backend server's last sign of life up to which it can be the reference of a check.
	referenceAge = 5 * time.Second
)

// CheckRequest asks whether a backend server accepts connections. Callers' packets alone cannot tell a lost backend server
// from a busy one, which acknowledges a request only with its answer.
type CheckRequest struct {
	ServerID string
	Addr     netip.AddrPort
	// Reference is the address of a backend server that has lately given a sign of life. When it does not answer at once,
	// the host's own link or processor explains a missing answer.
	Reference netip.AddrPort
}

// CheckOutcome is what a check found.
type CheckOutcome uint8

// Outcomes of a check.
const (
	Unchecked CheckOutcome = iota // the check could not be made
	Accepts
	Refuses  // nothing listens there any more
	NoAnswer // nothing came back
)

var outcomeNames = [...]string{"unchecked", "accepts", "refuses", "no_answer"}

// String returns the name of the outcome in logs and metrics.
func (o CheckOutcome) String() string { return outcomeNames[o] }

// check holds the state of the checks of a server.
type check struct {
	running   bool
	startedAt time.Duration
}

// wantCheck asks for a check of a server that left packets unanswered. Draining servers may accept no connections while
// they serve their flows.
func (r *Router) wantCheck(s *server, now time.Duration) {
	if s.check.running || s.Draining || s.drained || s.check.startedAt != 0 && now-s.check.startedAt < checkPause {
		return
	}
	reference := r.reference(s, now)
	if reference == nil {
		return
	}
	s.check = check{running: true, startedAt: now}
	r.checks = append(r.checks, CheckRequest{ServerID: s.ID, Addr: s.Addr, Reference: reference.Addr})
}

// reference returns another server that has lately given a sign of life, or nil.
func (r *Router) reference(s *server, now time.Duration) *server {
	for _, other := range r.signs {
		if other != nil && other != s && other.present && now-other.lastSign <= referenceAge {
			return other
		}
	}
	return nil
}

// noteSign remembers which two servers gave the last signs of life.
func (r *Router) noteSign(s *server) {
	if r.signs[0] != s {
		r.signs[0], r.signs[1] = s, r.signs[0]
	}
}

// TakeChecks returns the checks that are due, and forgets them. The slice is valid until the next call of the Router.
func (r *Router) TakeChecks() []CheckRequest {
	checks := r.checks
	r.checks = r.checks[:0]
	return checks
}

// HandleCheckResult takes what a check found. A server that does not accept connections is silent if nothing else has proved since
// that it lives; its flows are reset.
func (r *Router) HandleCheckResult(id string, outcome CheckOutcome, now time.Duration) {
	s := r.servers[id]
	if s == nil || !s.check.running {
		return
	}
	s.check.running = false
	switch {
	case outcome == Accepts || outcome == Unchecked || s.lastSign >= s.check.startedAt || s.Draining || s.drained:
	default:
		s.silentUntil, s.doubtCause = now+silentPeriod, causeOf(outcome)
		r.notices.add(s, Silent, s.doubtCause, now, silentPeriod)
		r.orderResets(s, BackendServerSilent)
	}
}

func causeOf(outcome CheckOutcome) Cause {
	if outcome == Refuses {
		return ConnectionRefused
	}
	return ConnectionUnanswered
}
