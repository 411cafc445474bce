package command

import (
	"net/netip"
	"time"
)

// minWait is the shortest expected wait for a slot; 0 means that the command may
// not wait.
const minWait = time.Millisecond

// candidateSet holds the candidates of a request. Each is first asked to run the
// command immediately. When none of them has a free slot, the command waits at
// the candidate with the shortest expected wait.
type candidateSet struct {
	list          []candidateState
	asked         int  // candidates before this index have been asked
	lastAsked     int  // index of the candidate that was asked last
	searchStopped bool // candidates that have not been asked yet are skipped
}

type candidateState struct {
	Candidate
	wait       time.Duration // expected wait for a slot, 0 if the command may not wait there
	redirected bool          // Host has been replaced by the present admitting host
}

func newCandidateSet(candidates []Candidate) candidateSet {
	list := make([]candidateState, min(maxCandidates, len(candidates)))
	for i := range list {
		list[i].Candidate = candidates[i]
	}
	return candidateSet{list: list}
}

// hasUnasked reports whether there are candidates that may still be asked for
// the first time.
func (s *candidateSet) hasUnasked() bool { return !s.searchStopped && s.asked < len(s.list) }

// setWait records the expected wait at the candidate that was asked last.
func (s *candidateSet) setWait(wait time.Duration) { s.list[s.lastAsked].wait = wait }

// redirect makes the candidate that was asked last available again at its
// present admitting host. It does so once per candidate, since the hosts may
// disagree about which of them is the admitting host.
func (s *candidateSet) redirect(host func(netip.AddrPort) string) {
	c := &s.list[s.lastAsked]
	if host == nil || c.redirected {
		return
	}
	if to := host(c.Backend); to != "" && to != c.Host {
		c.Host, c.wait, c.redirected = to, minWait, true
	}
}

// attemptsLeft returns how many more times a candidate can be asked.
func (s *candidateSet) attemptsLeft() (n int) {
	if s.hasUnasked() {
		n = len(s.list) - s.asked
	}
	for i := range s.list {
		if s.list[i].wait > 0 {
			n++
		}
	}
	return n
}

// next returns the next candidate to ask and whether the command may wait for a
// slot there. ok is false when no candidate is left.
func (s *candidateSet) next() (c Candidate, wait, ok bool) {
	if s.hasUnasked() {
		wait = s.attemptsLeft() == 1
		s.lastAsked = s.asked
		s.asked++
		return s.list[s.lastAsked].Candidate, wait, true
	}
	best := -1
	for i := range s.list {
		if s.list[i].wait > 0 && (best < 0 || s.list[i].wait < s.list[best].wait) {
			best = i
		}
	}
	if best < 0 {
		return Candidate{}, false, false
	}
	s.list[best].wait, s.lastAsked = 0, best
	return s.list[best].Candidate, true, true
}
