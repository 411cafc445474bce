package healthcheck

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

const (
	// decisiveChecks is the number of hosts whose checks must fail for a backend server to be silent. The fault may be that of one
	// host or of its link.
	decisiveChecks = 2
	// evidenceLifetime is how long findings and other evidence count.
	evidenceLifetime = 2 * time.Second
)

// record is the evidence about an instance of a backend server.
type record struct {
	doubtedAt    time.Duration // last unanswered packets of this host's callers
	askedAt      time.Duration // last time this host had it checked
	attempts     int           // number of times in a row that the checkers left this host without a conclusion
	acceptedAt   time.Duration // end of the latest accepted check of a host of the own data centre
	waiting      []netip.AddrPort
	unfavourable []Finding // the latest of each checker
	own          *Finding  // the last result of this host's own checks; nil: none
	refused      []Finding // the latest refused check of each checker of any data centre
	touchedAt    time.Duration
}

// concluded reports whether the checks that this host asked for show whether the backend server answers.
func (r *record) concluded(now time.Duration) bool {
	return r.acceptedAt >= r.askedAt || r.failedChecks(now) >= decisiveChecks
}

// failedChecks returns the number of hosts whose latest check failed, is not outdated, and began after the end of the latest
// accepted check of a host of the own data centre.
func (r *record) failedChecks(now time.Duration) int {
	n := 0
	for k := range r.unfavourable {
		if f := &r.unfavourable[k]; !f.Expired(now) && f.At > r.acceptedAt {
			n++
		}
	}
	return n
}

// add stores a finding in place of an earlier one of the same checker. It reports whether it says something new.
func (r *record) add(f Finding) bool {
	at := slices.IndexFunc(r.unfavourable, func(o Finding) bool { return o.Checker == f.Checker })
	switch {
	case f.Outcome == affinity.Unchecked:
		return false
	case !f.unfavourable():
		r.acceptedAt = max(r.acceptedAt, f.At)
		if at >= 0 {
			r.unfavourable = slices.Delete(r.unfavourable, at, at+1)
		}
		return at >= 0
	case at < 0:
		r.unfavourable = append(r.unfavourable, f)
		return true
	}
	isNew := f.At-r.unfavourable[at].At >= answerTimeout
	if f.At > r.unfavourable[at].At {
		r.unfavourable[at] = f
	}
	return isNew
}

// Refutes reports whether an accepted check contradicts failed ones that this host knows and that no other check has contradicted.
// It is then to be passed on, as those were.
func (s *State) Refutes(f Finding, now time.Duration) bool {
	r := s.records[f.Instance]
	if r == nil || f.Outcome != affinity.Accepts {
		return false
	}
	return slices.ContainsFunc(r.unfavourable, func(o Finding) bool {
		return !o.Expired(now) && o.At > r.acceptedAt && o.At <= f.At
	})
}

// Assess returns what the evidence about an instance amounts to. A backend server is silent if the checks of decisiveChecks hosts
// failed, and all of these began after the end of the latest accepted one; the check of a single host makes it suspect. A host that has no other one to ask, or got
// no conclusion from them, decides alone, by a check made since. Unanswered packets of callers do not count, because the callers of
// a busy backend server repeat their data too.
func (s *State) Assess(i affinity.Instance, now time.Duration) affinity.Assessment {
	a := affinity.Assessment{Since: now}
	r := s.records[i]
	if r == nil {
		return a
	}
	// The starts of this host's failed check and of the first one, of those since the latest accepted check.
	ownFailedAt, firstFailedAt := never, now
	for n := range r.unfavourable {
		f := &r.unfavourable[n]
		if f.Expired(now) {
			continue
		}
		a.Health, a.Cause = affinity.Suspect, affinity.CauseOf(f.Outcome)
		a.Since, a.Latest = min(a.Since, f.At), max(a.Latest, f.At)
		if f.At <= r.acceptedAt {
			continue
		}
		firstFailedAt = min(firstFailedAt, f.At)
		if f.Checker == s.self.digest {
			ownFailedAt = f.At
		}
	}
	a.AcceptedAt = r.acceptedAt
	a.OwnEvidence = ownFailedAt != never || now-r.doubtedAt < evidenceLifetime
	alone := len(s.hosts) == 1 || r.attempts >= maxAttempts && ownFailedAt >= r.askedAt
	if r.failedChecks(now) >= decisiveChecks || ownFailedAt != never && alone {
		a.Health, a.Since = affinity.Silent, firstFailedAt
	}
	return a
}
