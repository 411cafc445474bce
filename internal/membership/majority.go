package membership

import (
	"math/bits"
	"slices"
	"time"
)

// Bounds of the two forms of the majority rule, see Majority.
const (
	verifyHosts     = 64 // up to this many hosts, each must have answered
	recentResults   = 8  // with more hosts, number of latest probes considered
	recentFailLimit = 1  // maximum number of failed probes among those
	// maxVerifyProbes is the number of pending probes at which probeUnverified
	// starts no more.
	maxVerifyProbes = 8
)

// majority is the evidence that Majority uses in addition to the states of the
// hosts.
type majority struct {
	since  time.Time // answers to probes sent earlier do not count
	failed uint8     // bitmap of the latest probes of hosts that are not dead; 1: no answer
}

func (m *majority) recordProbe(answered bool) {
	m.failed <<= 1
	if !answered {
		m.failed |= 1
	}
}

// restart discards the answers received so far as evidence after a suspicion.
func (m *majority) restart(now time.Time, probeTimeout time.Duration) {
	m.since = evidenceStart(now, probeTimeout)
}

// evidenceStart returns the time from which probes must have been sent for their
// answers to count after a suspicion that arises now. The probe that caused the
// suspicion was sent three probe timeouts ago and its answer was due two probe
// timeouts ago. If the cause is a partition, it had started by then, so probes
// sent after that time were answered by hosts on this side.
func evidenceStart(now time.Time, probeTimeout time.Duration) time.Time {
	return now.Add(-2 * probeTimeout)
}

// MajorityIsVerified reports whether Majority counts only hosts that have
// answered since the latest suspicion arose.
func (s *State) MajorityIsVerified() bool { return len(s.members) < verifyHosts }

// Majority reports whether more than half of the listed hosts that are neither
// leaving nor in an excluded data centre are known to be alive. Suspect hosts
// and unconfirmed hosts do not count as alive. Majority is false if no host is
// left to count.
//
// A partition is detected host by host, so by the states alone the smaller side
// could still see a majority when it has already declared some hosts dead. With
// up to 64 hosts, a host therefore counts only if it has answered a probe that
// this host sent after the latest suspicion arose, which takes up to 6.4 s at 64
// hosts. With more hosts that would take too long. There, at most 1 of the
// latest 8 probes may have failed, which does not exclude two majorities while a
// partition is being detected. In such fleets commands depend on Quorum, and
// Majority is only reported.
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

// probeUnverified probes each newly confirmed host once, out of turn, so that
// planned starts and stops of hosts do not interrupt the majority. The regular
// probes would need a whole round to reach the host.
func (s *State) probeUnverified(now time.Time, out []Outcome) []Outcome {
	if !s.MajorityIsVerified() {
		return out
	}
	for _, id := range s.ids {
		m := s.members[id]
		if m == nil || !m.unverified() {
			continue
		}
		if s.pendingProbes() >= maxVerifyProbes {
			break
		}
		m.verifyProbeSent = true
		out = append(out, s.startProbe(now, id, probe{}))
	}
	return out
}

// pendingProbes returns the number of probes that this host started for itself
// and that have no answer yet.
func (s *State) pendingProbes() int {
	n := 0
	for _, p := range s.probes {
		if p.relayFor == nil {
			n++
		}
	}
	return n
}

// unverified reports whether a host is alive and confirmed, but neither has
// answered a probe nor been probed by probeUnverified.
func (m *member) unverified() bool {
	if m.verifyProbeSent || !m.answered.IsZero() {
		return false
	}
	e := m.export()
	return e.Status == Alive && e.Confirmed()
}
