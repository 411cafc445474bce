package affinity

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

const (
	// suspicionPeriod is how long a backend server that left an opening packet unanswered gets no new flows.
	suspicionPeriod = 1500 * time.Millisecond
	// trialWait is how long a suspect may take to answer the one new flow that it is tried with.
	trialWait = 300 * time.Millisecond
	// maxSuspicion bounds the suspicion after repeated failures.
	maxSuspicion = 4 * time.Second
	// silentPeriod is how long the verdict holds without new evidence.
	silentPeriod = 3 * time.Second
	// goneSettled is how long the entry of a backend server that was not draining must be away, as the store confirms,
	// before its flows are reset, since an entry may lapse and return.
	goneSettled = 2500 * time.Millisecond
	// goneRetention is how long a backend server that went is remembered, so that its flows can be told.
	goneRetention = time.Minute
)

// server is what the host knows and has observed of a backend server. It outlives views.
type server struct {
	registry.Server
	notices *notices
	token   uint32
	place   PlaceDigest // of its service and data centre
	present bool
	goneAt  time.Duration // when it left the view
	drained bool          // it was draining when it left
	flows   int           // open flows that this host remembers

	resetsDue   bool // its flows are to be reset
	resetReason Reason

	lastSign     time.Duration // last packet of a caller that proves an answer
	suspectUntil time.Duration
	suspicion    time.Duration // length of the present suspicion
	onTrial      bool          // the next unanswered opening packet renews the suspicion
	silentUntil  time.Duration // while set, its flows are reset
	doubtCause   Cause         // evidence for the present suspicion or silence
	check        check

	coldWindow time.Duration // start of the present window of cold admission
	coldTaken  int
}

// leave notes that the server's entry is no longer there.
func (s *server) leave(now time.Duration) {
	s.present, s.goneAt, s.drained = false, now, s.Draining
}

// answered clears all evidence against the server.
func (s *server) answered(now time.Duration) {
	if s.suspectUntil != 0 || s.silentUntil != 0 {
		s.notices.add(s, Answers, PacketAcknowledged, now, 0)
	}
	s.lastSign = now
	s.forgive()
}

// forgive forgets all doubts, as after a restart of the server.
func (s *server) forgive() {
	s.suspectUntil, s.suspicion, s.onTrial, s.silentUntil = 0, 0, false, 0
}

// suspect keeps new flows away for a while, longer each time that a trial fails.
func (s *server) suspect(cause Cause, now time.Duration) {
	if s.suspectUntil > now && !s.onTrial {
		return
	}
	s.suspicion = min(max(2*s.suspicion, suspicionPeriod), maxSuspicion)
	s.suspectUntil = now + s.suspicion
	s.onTrial = false
	s.doubtCause = cause
	s.notices.add(s, Suspect, cause, now, s.suspicion)
}

// doubtful reports whether packets of this host's callers have lately gone unanswered.
func (s *server) doubtful(now time.Duration) bool { return s.suspectUntil > now || s.silentUntil > now }

// opened notes a new flow. A server whose suspicion has ended is tried with one flow first.
func (s *server) opened(now time.Duration) {
	if s.suspectUntil != 0 {
		s.onTrial = true
		s.suspectUntil = now + trialWait
	}
}
