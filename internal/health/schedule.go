package health

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Poll intervals of one load URL.
const (
	fastPoll = time.Second
	slowPoll = 3 * time.Second
	// newlyObservedFor is how long a backend server counts as newly observed after
	// this host became its observer.
	newlyObservedFor = 10 * time.Second
	// fastTargets is the largest number of observed backend servers at which all
	// are polled at the fast interval. One poll costs about 550 bytes in both
	// directions together. Hosts with more targets need the slow interval to stay
	// within the budget for control traffic.
	fastTargets = 8
)

// schedule is the state of this host's polls of one backend server.
type schedule struct {
	observedAt time.Time // when this host became an observer; zero while it is not
	lastPoll   time.Time // start of the newest poll; zero for none
	lastFailed bool      // the newest poll failed
}

// setObserved records whether this host is a ranked observer. The schedule is
// reset when it is not.
func (p *schedule) setObserved(now time.Time, observed bool) {
	switch {
	case !observed:
		*p = schedule{}
	case p.observedAt.IsZero():
		p.observedAt = now
	}
}

// DueTargets returns the load URLs to poll now and records the start of their
// polls. uncertain reports whether this host admits commands to a backend server
// without knowing which of its slots are in use. A load report resolves this, so
// such backend servers are polled at the fast interval.
func (s *State) DueTargets(now time.Time, uncertain func(netip.AddrPort) bool) []Target {
	if s.pollBase.IsZero() {
		s.pollBase = now
	}
	var due []Target
	for _, t := range s.targets {
		b := s.backends[t.Backend]
		interval := slowPoll
		if len(s.targets) <= fastTargets || s.needsFastPolls(now, b) || uncertain(b.addr) {
			interval = fastPoll
		}
		if !s.pollDue(now, b, interval) {
			continue
		}
		b.polls.lastPoll = now
		due = append(due, t)
	}
	return due
}

// RecordPollFailure records that the newest poll returned no usable load report.
func (s *State) RecordPollFailure(addr netip.AddrPort) {
	if b := s.backends[addr]; b != nil {
		b.polls.lastFailed = true
	}
}

// needsFastPolls reports whether the state of a backend server is likely to change
// soon: it is cold, shedding, draining, suspect, newly observed, of another
// service or of unknown instance, or its last poll failed.
func (s *State) needsFastPolls(now time.Time, b *backend) bool {
	l, ev, v := &b.load, &b.evidence, s.evaluate(now, b)
	switch {
	case now.Sub(b.polls.observedAt) < newlyObservedFor:
		return true
	case b.polls.lastFailed || now.Sub(l.at) > s.cfg.ReportStaleAfter:
		return true
	case !l.known || l.instance != b.instance:
		return true
	case v.Draining || v.Shedding || v.Foreign:
		return true
	case ev.silent || ev.unanswered > 0 || now.Before(ev.unhealthyUntil):
		return true
	}
	return now.Sub(v.ColdSince) < b.ramp
}

// pollDue reports whether the next poll of a backend server is due.
func (s *State) pollDue(now time.Time, b *backend, interval time.Duration) bool {
	if b.polls.lastPoll.IsZero() {
		return true
	}
	// Durations since pollBase do not depend on steps of the wall clock.
	next := nextPoll(b.polls.lastPoll.Sub(s.pollBase), interval, pollPhase(b.addr))
	return now.Sub(s.pollBase) >= next
}

// nextPoll returns the time of the next poll: the start of the interval of the last
// poll plus phase modulo interval, or one interval later if that is not after the
// last poll. A late poll therefore does not delay later ones.
func nextPoll(last, interval, phase time.Duration) time.Duration {
	next := last.Truncate(interval) + phase%interval
	if next <= last {
		next += interval
	}
	return next
}

// pollPhase returns an offset within the slow interval that depends on the
// address, so that the polls of a host are spread over time.
func pollPhase(addr netip.AddrPort) time.Duration {
	return time.Duration(xxhash.Sum64String(addr.String()) % uint64(slowPoll))
}
