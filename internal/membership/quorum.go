package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// MaxVoters is the maximum number of voters of a service. With three data
// centres, each has three of them, so that a quorum survives the loss of one.
const MaxVoters = 9

// maxVoterProbes bounds the probes of voters that one Tick starts in addition to
// the regular probe.
const maxVoterProbes = 2

// Voters returns the voters of a service: the highest-ranked hosts of each data
// centre by rendezvous hash, the same number from each as far as possible. The
// choice depends only on the list, so that both sides of a partition have the
// same voters.
func Voters(service string, listed []document.Host) []string {
	byDC := make(map[string][]rankedHost)
	for i := range listed {
		h := &listed[i]
		if h.State != document.HostLeaving {
			byDC[h.DataCentre] = append(byDC[h.DataCentre], rankedHost{h.ID, voterRank(service, h.ID)})
		}
	}
	var names []string
	for name, hosts := range byDC {
		names = append(names, name)
		slices.SortFunc(hosts, compareRank)
	}
	slices.SortFunc(names, func(a, b string) int {
		return compareRank(rankedHost{a, voterRank(service, a)}, rankedHost{b, voterRank(service, b)})
	})
	var voters []string
	for n := 0; len(voters) < MaxVoters; n++ {
		before := len(voters)
		for _, name := range names {
			if hosts := byDC[name]; n < len(hosts) && len(voters) < MaxVoters {
				voters = append(voters, hosts[n].id)
			}
		}
		if len(voters) == before {
			break
		}
	}
	return voters
}

type rankedHost struct {
	id   string
	rank uint64
}

func compareRank(a, b rankedHost) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.id, b.id))
}

func voterRank(service, id string) uint64 {
	return xxhash.Sum64String("voter\x00" + service + "\x00" + id)
}

// threshold returns the number of voters that a quorum needs: two thirds. Two
// sets of 6 out of 9 voters have a common voter even if the lists of two hosts
// differ in two voters.
func threshold(voters int) int { return (2*voters + 2) / 3 }

// quorum is the evidence about the voters of one service.
type quorum struct {
	owners []string
	voters []string
	since  time.Time // answers to probes sent earlier do not count
}

// SetQuorum sets the owner group and the voters of a service of which this host
// owns buckets. It removes the service if owners is empty.
func (s *State) SetQuorum(now time.Time, service string, owners, voters []string) {
	if len(owners) == 0 {
		delete(s.quorums, service)
		return
	}
	q := s.quorums[service]
	if q == nil {
		q = &quorum{since: now}
		s.quorums[service] = q
	}
	q.owners, q.voters = slices.Clone(owners), slices.Clone(voters)
}

// Quorum reports whether enough voters of a service have answered a probe that
// this host sent after the latest suspicion of an owner of the service arose.
//
// A command may run without one of its previous owners only after that owner
// was suspected. Answers to probes sent after the loss that caused the
// suspicion come from this side of a partition, and the voters of two sides
// that both have a quorum would have to overlap. So only one side can have a
// quorum, whatever the size of the fleet. The number of probes depends only on
// the number of voters, while probing a majority of all hosts would take
// minutes.
func (s *State) Quorum(service string) bool {
	q := s.quorums[service]
	if q == nil || s.superseded {
		return false
	}
	answered := 0
	for _, id := range q.voters {
		if s.answeredSince(id, q.since) {
			answered++
		}
	}
	return len(q.voters) > 0 && answered >= threshold(len(q.voters))
}

// answeredSince reports whether a host is alive and has answered a probe sent
// at or after since. It is always true of this host.
func (s *State) answeredSince(id string, since time.Time) bool {
	if id == s.cfg.Self.ID {
		return true
	}
	m := s.members[id]
	return m != nil && m.status == Alive && m.boot != 0 && !m.answered.Before(since)
}

// restartQuorums discards the voters' answers received so far as evidence for
// each service that has the suspected host as an owner.
func (s *State) restartQuorums(now time.Time, id string) {
	for _, q := range s.quorums {
		if slices.Contains(q.owners, id) {
			q.since = evidenceStart(now, s.cfg.ProbeTimeout)
		}
	}
}

// probeVoters probes live voters whose answer is missing for a quorum.
func (s *State) probeVoters(now time.Time, out []Outcome) []Outcome {
	started := 0
	for _, service := range slices.Sorted(maps.Keys(s.quorums)) {
		q := s.quorums[service]
		for _, id := range q.voters {
			m := s.members[id]
			if m == nil || m.status != Alive || s.answeredSince(id, q.since) || s.probePending(id) {
				continue
			}
			if started == maxVoterProbes {
				return out
			}
			started++
			out = append(out, s.startProbe(now, id, probe{}))
		}
	}
	return out
}

// probePending reports whether this host has started a probe of the host for
// itself that has no answer yet.
func (s *State) probePending(id string) bool {
	for _, p := range s.probes {
		if p.target == id && p.relayFor == nil {
			return true
		}
	}
	return false
}
