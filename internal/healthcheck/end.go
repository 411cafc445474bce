package healthcheck

import (
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

// maxRefused is the maximum number of checkers whose refused checks of a backend server are kept.
const maxRefused = 4

// ReachesAll reports whether the finding is to be told to the hosts of all data centres: it may show that the process of a
// backend server has ended, or that a new one answers.
func (f *Finding) ReachesAll() bool {
	return f.Outcome == affinity.Refuses || f.Outcome == affinity.AcceptsAgain
}

// Expired reports whether the finding is too old to be passed on. Receivers would refuse the whole datagram.
func (f *Finding) Expired(now time.Duration) bool { return Expired(f.At, now) }

// Expired reports whether evidence from a time on is outdated.
func Expired(at, now time.Duration) bool { return now-at >= evidenceLifetime }

// addEnd records a refused check. An accepted one outweighs those before it.
func (r *record) addEnd(f Finding) {
	switch f.Outcome {
	case affinity.Refuses:
		r.refused = slices.DeleteFunc(r.refused, func(o Finding) bool { return o.Checker == f.Checker && o.At <= f.At })
		if len(r.refused) < maxRefused {
			r.refused = append(r.refused, f)
		}
	case affinity.Accepts, affinity.AcceptsAgain:
		r.refused = slices.DeleteFunc(r.refused, func(o Finding) bool { return o.At <= f.At })
	}
}

// End is what refused checks say about an instance.
type End struct {
	At   time.Duration // of the latest one
	Sure bool          // this host's own evidence, or the checks of two hosts, speak for it
}

// End returns what the refused checks of all hosts say about an instance. It returns false if there are none.
func (s *State) End(i affinity.Instance, now time.Duration) (End, bool) {
	r := s.records[i]
	if r == nil {
		return End{}, false
	}
	var e End
	n := 0
	for _, f := range r.refused {
		if now-f.At >= evidenceLifetime {
			continue
		}
		n++
		e.At = max(e.At, f.At)
		e.Sure = e.Sure || f.Checker == s.self.digest
	}
	e.Sure = e.Sure || n > 1 || now-r.doubtedAt < evidenceLifetime
	return e, n > 0
}

// Probe returns what to do to learn whether an ended backend server is back. The hosts that rank first in the data centre that
// is to check it do so. Others ask only when they have not heard of it for recordRetention.
func (s *State) Probe(i affinity.Instance, near bool, now time.Duration) Plan {
	first := s.ranked(i, checkersPerServer)
	if near && slices.ContainsFunc(first, func(h host) bool { return h.digest == s.self.digest }) {
		return Plan{CheckSelf: true}
	}
	if s.records[i] != nil {
		return Plan{}
	}
	s.record(i, now)
	return s.plan(i, 0)
}
