// Package healthcheck decides which entry hosts check a backend server that leaves packets unanswered, and what the results
// of several hosts mean.
//
// A host whose callers' packets go unanswered asks the checkers of the backend server: two hosts of its own data centre that
// rank first for it. Their findings spread within the data centre. So the number of connections to a backend server in doubt
// does not grow with the fleet, and no host gives a backend server up by its own evidence alone, unless it has no other host
// to ask or got no conclusion from those that it asked. What findings say about silence stays in their data centre, because other data centres reach the backend server over
// other links. A refused connection shows over any link that the process has ended, so those findings go to all data centres.
package healthcheck

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

const (
	// checkersPerServer is the number of hosts of a data centre that check a backend server.
	checkersPerServer = 2
	// answerTimeout is the time that checkers have to answer: a check without an answer whose reference accepts connections at once,
	// and the way there and back.
	answerTimeout = 400 * time.Millisecond
	// reuseTime is how long the result of a check answers further hosts that ask for one, from Finding.At on.
	reuseTime = 500 * time.Millisecond
	// maxAttempts is the number of times that checkers may leave a host without a conclusion before it checks a backend server
	// itself. Each time it asks the hosts that rank next.
	maxAttempts = 2
	// recordRetention is how long a backend server is remembered after the last event.
	recordRetention = 2 * evidenceLifetime
	// maxRecords is the maximum number of backend servers remembered.
	maxRecords = 4096
	// maxWaiting is the maximum number of hosts that get the result of a check.
	maxWaiting = 16
	// never is the time of an event that has not happened.
	never = -time.Hour
)

// Finding is the result of a check by some host.
type Finding struct {
	Instance affinity.Instance
	Outcome  affinity.CheckOutcome
	Checker  uint32 // digest of the checker's address
	// At is the time, on this host's clock, from which on the finding is evidence: the start of a check that failed, since an
	// answer after that contradicts it, and the end of one that was accepted.
	At time.Duration
	// Late is set if the finding may be older than it seems here. It is not passed on, and a refused check shows an end, but not that
	// the backend server is silent at present.
	Late bool
}

// unfavourable reports whether the finding speaks against the backend server.
func (f *Finding) unfavourable() bool {
	return f.Outcome == affinity.Refuses || f.Outcome == affinity.NoAnswer
}

// Plan is the answer to a doubt: what to do to have the backend server checked.
type Plan struct {
	CheckSelf bool
	Ask       []netip.AddrPort // hosts to ask for a check
}

// State is the evidence that a host has about backend servers. It does no I/O and must be used by one goroutine only.
type State struct {
	self    host
	hosts   []host // of the own data centre, this one first
	records map[affinity.Instance]*record
	random  *rand.Rand
}

// host is an entry host of the own data centre.
type host struct {
	addr   netip.AddrPort
	digest uint32
}

// New returns a State without evidence.
func New(self netip.AddrPort, random *rand.Rand) *State {
	s := &State{self: host{addr: self, digest: Digest(self)}, records: map[affinity.Instance]*record{}, random: random}
	s.SetPeers(nil)
	return s
}

// Digest identifies a host in findings.
func Digest(addr netip.AddrPort) uint32 { return uint32(xxhash.Sum64String(addr.String())) }

// SetPeers replaces the other hosts of the own data centre.
func (s *State) SetPeers(peers []netip.AddrPort) {
	s.hosts = append(s.hosts[:0], s.self)
	for _, addr := range peers {
		s.hosts = append(s.hosts, host{addr: addr, digest: Digest(addr)})
	}
}

// SamplePeers returns up to n random other hosts of the own data centre.
func (s *State) SamplePeers(n int) []netip.AddrPort {
	peers := s.hosts[1:]
	n = min(n, len(peers))
	sample := make([]netip.AddrPort, 0, n)
	for k := range n {
		j := k + s.random.IntN(len(peers)-k)
		peers[k], peers[j] = peers[j], peers[k]
		sample = append(sample, peers[k].addr)
	}
	return sample
}

// isLocal reports whether a digest is that of a host of the own data centre.
func (s *State) isLocal(digest uint32) bool {
	return slices.ContainsFunc(s.hosts, func(h host) bool { return h.digest == digest })
}

// IsPeer reports whether an address belongs to another host of the own data centre.
func (s *State) IsPeer(addr netip.AddrPort) bool {
	return slices.ContainsFunc(s.hosts[1:], func(h host) bool { return h.addr == addr })
}

// CheckerAddr returns the address of the host that a finding is of, for logs; not valid if the host is unknown.
func (s *State) CheckerAddr(f *Finding) netip.AddrPort {
	at := slices.IndexFunc(s.hosts, func(h host) bool { return h.digest == f.Checker })
	if at < 0 {
		return netip.AddrPort{}
	}
	return s.hosts[at].addr
}

// record returns the record of an instance, or nil if there are too many.
func (s *State) record(i affinity.Instance, now time.Duration) *record {
	r := s.records[i]
	if r == nil {
		if len(s.records) >= maxRecords {
			return nil
		}
		r = &record{doubtedAt: never, askedAt: never, acceptedAt: never}
		s.records[i] = r
	}
	r.touchedAt = now
	return r
}

// Sweep removes outdated records.
func (s *State) Sweep(now time.Duration) {
	for i, r := range s.records {
		if now-r.touchedAt > recordRetention {
			delete(s.records, i)
		}
	}
}

// Doubt records that packets of this host's callers to a backend server went unanswered.
func (s *State) Doubt(i affinity.Instance, now time.Duration) Plan {
	r := s.record(i, now)
	if r == nil {
		return Plan{}
	}
	r.doubtedAt = now
	switch {
	case r.askedAt == never || r.concluded(now):
		r.attempts = 0
	case now-r.askedAt < answerTimeout:
		return Plan{}
	default:
		r.attempts = min(r.attempts+1, maxAttempts)
	}
	r.askedAt = now
	return s.plan(i, r.attempts)
}

// plan returns the checkers to ask after a number of attempts without a conclusion.
func (s *State) plan(i affinity.Instance, attempts int) Plan {
	if len(s.hosts) == 1 || attempts >= maxAttempts {
		return Plan{CheckSelf: true}
	}
	var p Plan
	ranked := s.ranked(i, (attempts+1)*checkersPerServer)
	for _, h := range ranked[min(len(ranked), attempts*checkersPerServer):] {
		if h.digest == s.self.digest {
			p.CheckSelf = true
		} else {
			p.Ask = append(p.Ask, h.addr)
		}
	}
	p.CheckSelf = p.CheckSelf || len(p.Ask) == 0
	return p
}

// ranked returns the first n hosts for an instance in rendezvous order.
func (s *State) ranked(i affinity.Instance, n int) []host {
	ranked := make([]host, 0, n+1)
	for _, h := range s.hosts {
		at, _ := slices.BinarySearchFunc(ranked, h, func(a, b host) int {
			return cmp.Compare(rank(b, i), rank(a, i))
		})
		if at < n {
			ranked = slices.Insert(ranked, at, h)[:min(len(ranked)+1, n)]
		}
	}
	return ranked
}

// rank returns the rank of a host for an instance; the highest is first.
func rank(h host, i affinity.Instance) uint64 {
	const mix = 0x9e3779b97f4a7c15 // odd multiplier, spreads the bits
	x := (i.Identity ^ uint64(h.digest)<<32 ^ uint64(h.digest)) * mix
	return (x ^ x>>29) * mix
}

// Asked records that another host asks for a check. It returns the finding to answer with, if there is a recent one, and
// whether this host is to check the backend server now.
func (s *State) Asked(from netip.AddrPort, i affinity.Instance, now time.Duration) (answer *Finding, check bool) {
	r := s.record(i, now)
	if r == nil {
		return nil, false
	}
	if r.own != nil && now-r.own.At < reuseTime {
		return r.own, false
	}
	if len(r.waiting) < maxWaiting && !slices.Contains(r.waiting, from) {
		r.waiting = append(r.waiting, from)
	}
	return nil, true
}

// Checked records the result of this host's own check, which is evidence from a time on. It returns the hosts that asked for it.
func (s *State) Checked(i affinity.Instance, o affinity.CheckOutcome, at time.Duration) (Finding, []netip.AddrPort) {
	f := Finding{Instance: i, Outcome: o, Checker: s.self.digest, At: at}
	r := s.record(i, at)
	if r == nil {
		return f, nil
	}
	waiting := r.waiting
	r.waiting = nil
	if o == affinity.Unchecked && r.own != nil && at-r.own.At < reuseTime {
		return *r.own, waiting // a check so soon after the last one was not made, and must not hide what that one found
	}
	r.add(f)
	r.addEnd(f)
	r.own = &f
	return f, waiting
}

// Receive records a finding of another host. It reports whether the finding is new evidence of the own data centre and is to be
// passed on there.
func (s *State) Receive(f Finding, now time.Duration) bool {
	if f.Checker == s.self.digest || f.Expired(now) {
		return false
	}
	r := s.record(f.Instance, now)
	if r == nil {
		return false
	}
	r.addEnd(f)
	if f.Outcome == affinity.Refuses && f.Late || f.ReachesAll() && !s.isLocal(f.Checker) {
		return false // the links of another data centre say nothing about those of this one
	}
	refutes := s.Refutes(f, now)
	isNew := r.add(f) && f.unfavourable()
	return (isNew || refutes) && !f.Late
}
