package affinity

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
	"github.com/nutmeglatch/nutmeglatch/internal/restart"
	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

const (
	// suspicionPeriod is how long a backend server that left an opening packet unanswered is avoided for new flows.
	suspicionPeriod = 1500 * time.Millisecond
	// trialTimeout is the time that a suspect backend server has to answer its trial flow. Until then it gets no other new
	// flow, except as a last resort.
	trialTimeout = 300 * time.Millisecond
	// maxSuspicion is the longest suspicion after repeated failures.
	maxSuspicion = 4 * time.Second
	// silentPeriod is how long a backend server stays Silent without new evidence.
	silentPeriod = 3 * time.Second
	// removalGrace is how long the store must have confirmed that the entry of a backend server is missing before its flows
	// are reset, since an entry may lapse and return. It does not apply to a server that was draining.
	removalGrace = 2500 * time.Millisecond
	// removedServerRetention is how long a backend server whose entry was removed is kept, so that its flows can be reset.
	removedServerRetention = time.Minute
)

// neverReset is the resetAsOf of a server whose flows have not been reset.
const neverReset = -time.Hour

// server is the entry of a backend server together with what this host has observed of it. It is kept across views.
type server struct {
	registry.Server
	healthChanges *healthChanges
	token         uint32
	place         PlaceDigest   // of its service and data centre
	present       bool          // its entry is in the view
	removedAt     time.Duration // when it left the view
	drained       bool          // it was draining when it left the view, or another server has taken over its address

	// The order in the pool's heap depends on these fields. They are together so that a comparison reads few cache lines.
	flows      int     // open flows that this host tracks; changed by addFlows
	readySlots int     // slots when it became ready
	turn       uint64  // when it was chosen last, in choices of the Router; lower than all choices: never
	expected   float64 // expected time of a new flow; 0: does not count

	pool                            *pool // nil: in no service
	index, readyIndex, specialIndex int   // in the lists of the pool; noIndex: not there
	changed                         bool  // in the pool's list of changed servers

	resetsDue   bool // its flows are to be reset
	resetReason Reason
	// resetAsOf is the confirmation of the registry as of which flows were last reset since the server left the view. Flows that
	// come later wait for another one.
	resetAsOf time.Duration

	// evidenceSince is when its start or address last changed; evidence from before is about another process.
	evidenceSince time.Duration
	lastAnswerAt  time.Duration // time of the last caller's packet that acknowledged new data of the server
	suspectUntil  time.Duration // 0: not suspect
	suspicion     time.Duration // length of the present suspicion
	onTrial       bool          // it got its trial flow; the next unanswered opening packet renews the suspicion
	silentUntil   time.Duration // until then, its flows are reset; 0: not silent
	healthCause   Cause         // evidence for the present suspicion or silence
	check         check

	checkRequestedAt time.Duration // last request of this host for a check

	process        restart.Process // starts that its entry does not report
	contestedUntil time.Duration   // end of a cold period that one other host's word began against this host's evidence

	coldFlows restart.RateLimiter // of new flows while it is cold

	work work.Server // requests that this host has seen
}

// instance returns the present instance of the server.
func (s *server) instance() Instance {
	return Instance{Identity: s.Identity, StartedMs: s.StartedMs}
}

// addFlows changes the number of flows.
func (s *server) addFlows(n int) {
	s.flows += n
	if s.pool != nil {
		s.pool.flowsChanged(s, n)
	}
}

// markChanged records that the server may have become ready, or no longer is.
func (s *server) markChanged() {
	if s.pool != nil {
		s.pool.markChanged(s)
	}
}

// markRemoved records that the server's entry has left the view, or that another server has taken over its address. drained states
// that its flows can be reset at once.
func (s *server) markRemoved(drained bool, now time.Duration) {
	s.markChanged()
	s.present, s.removedAt, s.drained, s.resetAsOf = false, now, drained, neverReset
}

// answered records an observed answer, which clears all evidence against the server.
func (s *server) answered(now time.Duration) {
	if s.suspectUntil != 0 || s.silentUntil != 0 {
		s.healthChanges.add(s, Answers, PacketAcknowledged, now, 0)
	}
	s.lastAnswerAt = now
	s.clearSuspicion()
	if s.pool != nil {
		s.pool.answered(s)
	}
}

// provenAt returns the time after which packets left unanswered are evidence against the server.
func (s *server) provenAt() time.Duration { return max(s.lastAnswerAt, s.evidenceSince) }

// clearSuspicion makes the server neither suspect nor silent, as after its restart.
func (s *server) clearSuspicion() {
	if s.suspectUntil != 0 || s.silentUntil != 0 {
		s.markChanged()
	}
	s.suspectUntil, s.suspicion, s.onTrial, s.silentUntil = 0, 0, false, 0
}

// suspect marks the server as suspect, so that new flows avoid it for a period that starts at suspicionPeriod and doubles,
// up to maxSuspicion, each time a trial fails.
func (s *server) suspect(cause Cause, now time.Duration) {
	if s.suspectUntil > now && !s.onTrial {
		return
	}
	s.markChanged()
	s.suspicion = min(max(2*s.suspicion, suspicionPeriod), maxSuspicion)
	s.suspectUntil = now + s.suspicion
	s.onTrial = false
	s.healthCause = cause
	s.healthChanges.add(s, Suspect, cause, now, s.suspicion)
}

// suspectOrSilent reports whether new flows avoid the server because it left packets of this host's callers or a check
// unanswered, or refused a check.
func (s *server) suspectOrSilent(now time.Duration) bool {
	return s.suspectUntil > now || s.silentUntil > now
}

// cold reports whether the server gets new flows only at the rate of a cold one, by its entry or by an inferred start.
func (s *server) cold(now time.Duration) bool { return s.ColdUntil > now || s.process.Cold(now) }

// contested reports whether the server is cold by one other host's word, against the evidence of this host.
func (s *server) contested(now time.Duration) bool { return s.contestedUntil > now }

// opened records a new flow. While a suspicion has not been cleared, the flow is the server's trial flow: further new flows
// avoid the server until it answers or trialTimeout has passed.
func (s *server) opened(now time.Duration) {
	if s.suspectUntil != 0 {
		s.markChanged()
		s.onTrial = true
		s.suspectUntil = now + trialTimeout
	}
}
