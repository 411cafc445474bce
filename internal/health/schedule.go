package health

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Intervals of polls of one load URL.
const (
	fastPoll = time.Second
	slowPoll = 3 * time.Second
	// newFor is how long a backend server counts as newly observed.
	newFor = 10 * time.Second
	// fastTargets is the number of observed backend servers up to which all
	// are polled at the fast interval. One poll costs about 550 bytes in both
	// directions; only hosts that observe more need the slow interval to stay
	// within the control budget.
	fastTargets = 8
)

// schedule is the state of the polls of one backend server by this host.
type schedule struct {
	observedAt time.Time // this host became an observer; zero while it is none
	polled     time.Time // start of the newest poll; zero for none
	failed     bool      // the newest poll failed
}

// setObserved records whether this host is a ranked observer.
func (p *schedule) setObserved(now time.Time, observed bool) {
	switch {
	case !observed:
		*p = schedule{}
	case p.observedAt.IsZero():
		p.observedAt = now
	}
}

// DueTargets returns the load URLs to poll now and records that their polls
// start. uncertain reports whether the command slots of a backend server that
// this host admits commands to are uncertain; a load report settles them.
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
		b.polls.polled = now
		due = append(due, t)
	}
	return due
}

// RecordPollFailure records a poll without a usable load report.
func (s *State) RecordPollFailure(addr netip.AddrPort) {
	if b := s.backends[addr]; b != nil {
		b.polls.failed = true
	}
}

// needsFastPolls reports whether the state of a backend server may be about to
// change: it is cold, shedding, draining, suspect, of another service, of
// unknown instance, or newly observed.
func (s *State) needsFastPolls(now time.Time, b *backend) bool {
	l, ev, v := &b.load, &b.evidence, s.judge(now, b)
	switch {
	case now.Sub(b.polls.observedAt) < newFor:
		return true
	case b.polls.failed || now.Sub(l.at) > s.cfg.ReportStaleAfter:
		return true
	case !l.known || l.instance != b.instance:
		return true
	case v.Draining || v.Shedding || v.Foreign:
		return true
	case ev.silent || ev.unanswered > 0 || now.Before(ev.badUntil):
		return true
	}
	return now.Sub(v.ColdSince) < b.ramp
}

// pollDue reports whether the next poll of a backend server is due.
func (s *State) pollDue(now time.Time, b *backend, interval time.Duration) bool {
	if b.polls.polled.IsZero() {
		return true
	}
	// Durations since pollBase do not depend on steps of the wall clock.
	next := nextPoll(b.polls.polled.Sub(s.pollBase), interval, pollPhase(b.addr))
	return now.Sub(s.pollBase) >= next
}

// nextPoll returns the first time after the last poll that differs from phase
// by a multiple of interval, so that a late poll does not delay later ones.
func nextPoll(last, interval, phase time.Duration) time.Duration {
	next := last.Truncate(interval) + phase%interval
	if next <= last {
		next += interval
	}
	return next
}

// pollPhase spreads the polls of a host over the slow interval.
func pollPhase(addr netip.AddrPort) time.Duration {
	return time.Duration(xxhash.Sum64String(addr.String()) % uint64(slowPoll))
}
