package membership

import (
	"math/bits"
	"slices"
	"time"
)

// Bounds of the two forms of the majority rule, see Majority.
const (
	verifyHosts     = 64 // up to this many hosts, each must have answered
	recentResults   = 8  // latest probes considered above that
	recentFailLimit = 1  // of those, probes that may have failed
	// maxVerifyProbes bounds the probes without an answer of hosts that have
	// not answered yet.
	maxVerifyProbes = 8
)

// majority is the evidence that Majority uses beside the states of the hosts.
type majority struct {
	since  time.Time // start of the latest trouble
	failed uint8     // the latest probes of hosts not dead, 1 for no answer
}

func (m *majority) record(answered bool) {
	m.failed <<= 1
	if !answered {
		m.failed |= 1
	}
}

// trouble starts a new check of who answers.
func (m *majority) trouble(now time.Time, probeTimeout time.Duration) {
	m.since = troubleStart(now, probeTimeout)
}

// troubleStart returns the time from which answers count after a suspicion that
// arises now. The probe whose loss caused it was sent three probe timeouts
// earlier, and a partition had started when its answer was due, so answers to
// probes sent after that time came from this side.
func troubleStart(now time.Time, probeTimeout time.Duration) time.Time {
	return now.Add(-2 * probeTimeout)
}

// MajorityIsVerified reports whether Majority counts only hosts that have
// answered since the latest suspicion arose.
func (s *State) MajorityIsVerified() bool { return len(s.members) < verifyHosts }

// Majority reports whether more than half of the listed hosts that are neither
// leaving nor in an excluded data centre are known to be alive. Suspect hosts
// and hosts of which nothing has been heard do not count as alive. It is false
// when no host counts.
//
// A partition is noticed host by host, so the states alone would let the smaller
// side see a majority while it already has declared some hosts dead. Up to 64
// hosts, a host counts only if it has answered a probe that this host sent after
// the latest suspicion arose, which takes up to 6.4 s at 64 hosts. With more
// hosts that would take too long; then at most 1 of the latest 8 probes may have
// failed, which does not exclude two majorities while a partition is found.
// Commands of such fleets depend on Quorum, and Majority is only reported.
func (s *State) Majority(excluded []string) bool {
	total, alive := 0, 0
	strict := s.MajorityIsVerified()
	for _, m := range s.members {
		e := m.export()
		if e.Status == Leaving || slices.Contains(excluded, m.host.DataCentre) {
			continue
		}
		total++
		if e.Status == Alive && e.Confirmed() && (!strict || !m.answered.Before(s.majority.since)) {
			alive++
		}
	}
	if s.self != nil && !slices.Contains(excluded, s.self.DataCentre) && s.selfMember().Status == Alive {
		total++
		alive++
	}
	if !strict && bits.OnesCount8(s.majority.failed) > recentFailLimit {
		return false
	}
	return 2*alive > total && !s.superseded
}

// verify probes each host once when it has first been heard of, so that a fleet
// in which hosts start and stop as planned sees a majority without
// interruption. Probes in turn would need a round for that.
func (s *State) verify(now time.Time, out []Outcome) []Outcome {
	if !s.MajorityIsVerified() {
		return out
	}
	for _, id := range s.ids {
		m := s.members[id]
		if m == nil || !m.unverified() {
			continue
		}
		if s.probesWaiting() >= maxVerifyProbes {
			break
		}
		m.asked = true
		out = append(out, s.startProbe(now, id, probe{}))
	}
	return out
}

// probesWaiting returns the number of this host's own probes without an answer.
func (s *State) probesWaiting() int {
	n := 0
	for _, p := range s.probes {
		if p.relayFor == nil {
			n++
		}
	}
	return n
}

// unverified reports whether a host has been heard of, but not yet asked.
func (m *member) unverified() bool {
	if m.asked || !m.answered.IsZero() {
		return false
	}
	e := m.export()
	return e.Status == Alive && e.Confirmed()
}
