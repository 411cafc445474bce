package membership

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// maxRelays is the number of pending probes from which requests of other hosts
// for indirect probes are refused.
const maxRelays = 64

// maxSuspectProbes is the number of suspects up to which each is probed again
// until it answers or is declared dead. With more suspects a partition is
// likely, and probing all of them would exceed the traffic limit.
const maxSuspectProbes = 8

// maxLeaveNotices is the number of hosts that are notified directly when this
// host leaves.
const maxLeaveNotices = 8

// State is the membership as one host sees it. It is not safe for concurrent
// use.
type State struct {
	cfg         Config
	rng         *rand.Rand
	incarnation uint64
	leaving     bool
	superseded  bool
	digest      uint64
	seq         uint64
	counters    Counters

	ids      []string             // listed hosts, this one included, sorted
	members  map[string]*member   // listed hosts other than this one
	listed   bool                 // a list has been given
	self     *document.Host       // this host's entry in the list; nil: not listed
	round    []string             // hosts still to be probed in this round
	probes   map[uint64]*probe    // pending probes by sequence number
	suspects map[string]time.Time // time at which each suspect is declared dead
	updates  queue
	majority majority
	quorums  map[string]*quorum // by service

	lastEvent time.Time // time of the latest Tick or Receive
	nextProbe time.Time
}

type member struct {
	host        document.Host
	boot        uint64
	incarnation uint64
	status      Status // Alive, Suspect or Dead
	leaving     bool
	// joined is set if the host was added after the first list. The first update
	// about such a host is forwarded. For the hosts of the first list, forwarding
	// it would send one update per listed host after every restart.
	joined bool
	// answered is the time at which the latest probe that the host answered
	// directly was sent. By the time of the answer, answers read late would count
	// as recent.
	answered        time.Time
	verifyProbeSent bool // see probeUnverified
}

// probe is a pending probe, started by this host for itself or on request.
type probe struct {
	target   string
	sent     time.Time
	deadline time.Time
	indirect bool    // indirect probes have been requested
	relayFor *Sender // host that requested this probe; nil: none
	relaySeq uint64  // sequence number of the request
}

// New returns a State without listed hosts.
func New(cfg Config, now time.Time) *State {
	cfg.setDefaults()
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Boot))
	return &State{
		cfg:       cfg,
		rng:       rng,
		seq:       uint64(rng.Uint32()), // answers to an earlier process must not match
		majority:  majority{since: now},
		members:   make(map[string]*member),
		probes:    make(map[uint64]*probe),
		suspects:  make(map[string]time.Time),
		updates:   queue{byID: make(map[string]*queued)},
		quorums:   make(map[string]*quorum),
		lastEvent: now,
		nextProbe: now,
	}
}

// Counters returns the totals since New.
func (s *State) Counters() Counters { return s.counters }

// SetDigest sets the configuration digest sent in messages.
func (s *State) SetDigest(digest uint64) { s.digest = digest }

// SetListed replaces the list of hosts. Hosts that are still listed keep their
// state.
func (s *State) SetListed(now time.Time, hosts []document.Host) []Outcome {
	if len(hosts) == 0 && (len(s.members) > 0 || s.self != nil) {
		s.counters.EmptyLists++
		return []Outcome{ListRejected{}}
	}
	before := s.Members()
	old := s.members
	s.members = make(map[string]*member, len(hosts))
	s.self = nil
	s.ids = s.ids[:0:0]
	for _, h := range hosts {
		if checkID(h.ID) != nil {
			s.counters.InvalidHostIDs++
			continue
		}
		s.ids = append(s.ids, h.ID)
		if h.ID == s.cfg.Self.ID {
			s.self = &h
			continue
		}
		m := old[h.ID]
		if m == nil {
			m = &member{joined: s.listed}
		}
		m.host = h
		s.members[h.ID] = m
	}
	slices.Sort(s.ids)
	s.ids = slices.Compact(s.ids)
	for id := range old {
		if s.members[id] == nil {
			s.updates.remove(id)
			delete(s.suspects, id)
		}
	}
	s.dropProbesOfUnlisted()
	s.round = nil
	s.listed = len(hosts) > 0
	if !slices.Equal(before, s.Members()) {
		return []Outcome{Changed{}}
	}
	return nil
}

func (s *State) dropProbesOfUnlisted() {
	for seq, p := range s.probes {
		if s.members[p.target] == nil {
			delete(s.probes, seq)
		}
	}
}

// Len returns the number of listed hosts.
func (s *State) Len() int { return len(s.ids) }

// Members returns the listed hosts, sorted by id. This host is included when it
// is listed.
func (s *State) Members() []Member {
	out := make([]Member, len(s.ids))
	for i, id := range s.ids {
		if m := s.members[id]; m != nil {
			out[i] = m.export()
		} else {
			out[i] = s.selfMember()
		}
	}
	return out
}

func (s *State) selfMember() Member {
	m := member{host: *s.self, boot: s.cfg.Boot, incarnation: s.incarnation, leaving: s.leaving}
	return m.export()
}

func (m *member) export() Member {
	status := m.status
	if status != Dead && (m.leaving || m.host.State == document.HostLeaving) {
		status = Leaving
	}
	return Member{Host: m.host, Status: status, Incarnation: m.incarnation, Boot: m.boot}
}

// Updates returns the state of this host and of every confirmed host, for a host
// that has just started. With thousands of hosts, it would take many minutes to
// learn them by a round of probes.
func (s *State) Updates() []Update {
	out := []Update{{ID: s.cfg.Self.ID, Boot: s.cfg.Boot, Incarnation: s.incarnation, Leaving: s.leaving}}
	for _, id := range s.ids {
		if m := s.members[id]; m != nil && m.boot != 0 {
			out = append(out, m.update())
		}
	}
	return out
}

// Merge applies the Updates of another host.
func (s *State) Merge(now time.Time, updates []Update) []Outcome {
	var out []Outcome
	for _, u := range updates {
		out = s.applyUpdate(now, u, out)
	}
	return dedupChanged(s.probeUnverified(now, out))
}

// Leave marks this host as leaving, which is final, and notifies other hosts.
func (s *State) Leave(now time.Time) []Outcome {
	if s.leaving {
		return nil
	}
	s.leaving = true
	s.incarnation++
	out := []Outcome{Changed{}}
	for _, id := range s.pickRandom(maxLeaveNotices, "") {
		out = append(out, s.startProbe(now, id, probe{}))
	}
	return out
}

// NextTick returns the time at which Tick is next due.
func (s *State) NextTick() time.Time {
	next := s.nextProbe
	for _, p := range s.probes {
		if p.deadline.Before(next) {
			next = p.deadline
		}
	}
	for _, t := range s.suspects {
		if t.Before(next) {
			next = t
		}
	}
	return next
}

// Tick processes the timers that are due. Tick or Receive must be called more
// often than every PauseLimit, and before any other method after a wait, so that
// a pause is detected before the members are used.
func (s *State) Tick(now time.Time) []Outcome {
	out := s.advance(now)
	out = s.expireProbes(now, out)
	out = s.expireSuspects(now, out)
	if !now.Before(s.nextProbe) {
		s.nextProbe = s.nextProbe.Add(s.cfg.ProbeInterval)
		if !s.nextProbe.After(now) {
			s.nextProbe = now.Add(s.cfg.ProbeInterval)
		}
		if id, ok := s.nextTarget(); ok {
			out = append(out, s.startProbe(now, id, probe{}))
		}
	}
	return s.probeVoters(now, s.probeUnverified(now, out))
}

// advance records the time of a Tick or Receive and detects a pause.
func (s *State) advance(now time.Time) []Outcome {
	gap := now.Sub(s.lastEvent)
	s.lastEvent = now
	if gap <= s.cfg.PauseLimit {
		return nil
	}
	s.resume(now)
	return []Outcome{Paused{Gap: gap}}
}

// resume discards pending probes and earlier evidence after a pause and restarts
// the deadlines of suspects. Answers may have been lost while this host did not
// read them, so missing ones are no evidence about other hosts.
func (s *State) resume(now time.Time) {
	clear(s.probes)
	for id := range s.suspects {
		s.suspects[id] = now.Add(s.cfg.SuspectFor)
	}
	s.nextProbe = now
	s.majority.since = now
	for _, q := range s.quorums {
		q.since = now
	}
}

// nextTarget returns the next host to probe. Each round visits all other listed
// hosts in random order.
func (s *State) nextTarget() (string, bool) {
	if len(s.round) == 0 {
		s.round = slices.DeleteFunc(slices.Clone(s.ids), func(id string) bool { return id == s.cfg.Self.ID })
		s.rng.Shuffle(len(s.round), func(i, j int) { s.round[i], s.round[j] = s.round[j], s.round[i] })
	}
	if len(s.round) == 0 {
		return "", false
	}
	id := s.round[len(s.round)-1]
	s.round = s.round[:len(s.round)-1]
	return id, true
}

// pickRandom returns up to n random listed hosts other than this host and skip
// that are not dead.
func (s *State) pickRandom(n int, skip string) []string {
	rest := slices.Clone(s.ids)
	var out []string
	for len(rest) > 0 && len(out) < n {
		i := s.rng.IntN(len(rest))
		id := rest[i]
		rest[i] = rest[len(rest)-1]
		rest = rest[:len(rest)-1]
		if m := s.members[id]; m != nil && m.status != Dead && id != skip {
			out = append(out, id)
		}
	}
	return out
}

func (s *State) startProbe(now time.Time, id string, p probe) Send {
	s.seq++
	p.target = id
	p.sent = now
	p.deadline = now.Add(s.cfg.ProbeTimeout)
	s.probes[s.seq] = &p
	return s.newSend(id, s.members[id].host.PeerAddr(), Message{Kind: Probe, Seq: s.seq})
}

// newSend completes a message with this host's state and with updates. If the
// receiver is recorded as not Alive, that update always comes first, so that the
// receiver can refute it in its next message.
func (s *State) newSend(to string, addr netip.AddrPort, m Message) Send {
	m.Incarnation = s.incarnation
	m.Leaving = s.leaving
	m.Digest = s.digest
	if r := s.members[to]; r != nil && r.status != Alive {
		m.Updates = append(m.Updates, r.update())
	}
	if t := s.members[m.Target]; t != nil {
		m.Updates = append(m.Updates, t.update())
	}
	for _, id := range s.updates.take(MaxUpdates-len(m.Updates), s.transmissions(), to) {
		m.Updates = append(m.Updates, s.members[id].update())
	}
	return Send{To: to, Addr: addr, Message: m}
}

// transmissions returns the number of times that an update is piggybacked: three
// times the binary logarithm of the number of hosts.
func (s *State) transmissions() int {
	return 3 * max(1, bits.Len(uint(len(s.members))))
}

func (m *member) update() Update {
	return Update{ID: m.host.ID, Boot: m.boot, Incarnation: m.incarnation, Status: m.status, Leaving: m.leaving}
}

func (s *State) expireProbes(now time.Time, out []Outcome) []Outcome {
	for _, seq := range s.expiredProbes(now) {
		p := s.probes[seq]
		m := s.members[p.target]
		switch {
		case p.relayFor != nil || m.status == Dead:
			delete(s.probes, seq)
		case m.status == Suspect:
			delete(s.probes, seq)
			if len(s.suspects) <= maxSuspectProbes {
				out = append(out, s.startProbe(now, p.target, probe{}))
			}
		case !p.indirect:
			p.indirect = true
			p.deadline = now.Add(2 * s.cfg.ProbeTimeout)
			out = s.requestProbes(seq, p, out)
		default:
			delete(s.probes, seq)
			out = s.suspect(now, m, out)
		}
	}
	return out
}

func (s *State) expiredProbes(now time.Time) []uint64 {
	var seqs []uint64
	for seq, p := range s.probes {
		if !now.Before(p.deadline) {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	return seqs
}

// suspect marks a host that did not answer as suspect and probes it once more.
// The probe carries the suspicion, so that the host can refute it.
func (s *State) suspect(now time.Time, m *member, out []Outcome) []Outcome {
	s.counters.Suspicions++
	s.majority.recordProbe(false)
	u := m.update()
	u.Status = Suspect
	out = s.applyUpdate(now, u, out)
	return append(out, s.startProbe(now, m.host.ID, probe{}))
}

// requestProbes requests indirect probes of the target from random hosts.
func (s *State) requestProbes(seq uint64, p *probe, out []Outcome) []Outcome {
	s.counters.IndirectProbes++
	for _, id := range s.pickRandom(s.cfg.IndirectProbes, p.target) {
		addr := s.members[id].host.PeerAddr()
		out = append(out, s.newSend(id, addr, Message{Kind: Request, Seq: seq, Target: p.target}))
	}
	return out
}

func (s *State) expireSuspects(now time.Time, out []Outcome) []Outcome {
	var ids []string
	for id, deadline := range s.suspects {
		if !now.Before(deadline) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		u := s.members[id].update()
		u.Status = Dead
		out = s.applyUpdate(now, u, out)
	}
	return out
}
