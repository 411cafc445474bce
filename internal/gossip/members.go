package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// aliveFor is how long after its last message a host counts as alive.
	aliveFor = 1200 * time.Millisecond
	// readerAliveFor is how long after the reader was heard another host takes its place.
	readerAliveFor = 2 * time.Second
	// memberRetention is the least time for which a host that is silent is kept and written to.
	memberRetention = 2 * time.Minute
	// memberRetentionPerHost lengthens it with the fleet: a host of a large fleet hears about 24 others a second, and
	// none of them may be forgotten between two of its messages, of which one comes four times in this span on average.
	memberRetentionPerHost = 160 * time.Millisecond
	// knownSpan is how long the number of hosts that others know is believed, up to twice as long.
	knownSpan = 30 * time.Second
	// unreachableAfter is the silence of all hosts of a data centre after which it counts as out of reach.
	unreachableAfter = 900 * time.Millisecond
	// unreachableAfterSampled is the same in a large fleet, where a host hears each of seven data centres twice a second
	// on average, and now and then nothing for most of a second.
	unreachableAfterSampled = 1800 * time.Millisecond
	// smallFleet is the number of hosts up to which each message goes to all of them.
	smallFleet = 12
	// fanOut is the number of receivers of a message in a larger fleet; half of them are in the own data centre.
	fanOut = 6
	// farSpread is the number of hosts of each other data centre that get a change from the host that read it.
	farSpread = 2
	// maxIntroductions bounds the answers with names in a round of messages: about 230 KB a second at a seed while a thousand hosts start.
	maxIntroductions = 64
	// farPatience is how long a host of a large fleet is behind before it fetches from another data centre: a bit longer
	// than a round of messages.
	farPatience = 300 * time.Millisecond
	// maxMembers bounds the hosts that are remembered: more than the 5,700 of the largest fleet planned, as the number of
	// hosts divides what each may send to cold backend servers.
	maxMembers = 8192
)

// member is another host.
type member struct {
	Host
	heardAt time.Duration // negative: named by others, not heard yet
	addedAt time.Duration
	leaving bool
	loads   []Load
}

// Members is what a host knows of the others. It belongs to the control goroutine.
type Members struct {
	self    Host
	seeds   []netip.AddrPort
	members map[netip.AddrPort]*member
	heard   map[string]time.Duration // last message from each data centre
	told    map[uint32]time.Duration // the same as other hosts of the own data centre tell it, by digest
	reader  netip.AddrPort           // host that reads the store, as far as this host knows
	readAt  time.Duration            // when the reader was last heard, by this host or another one
	known   [2]int                   // the largest number of hosts that a sender knew, in the present span and the one before
	knownAt time.Duration            // start of the present span
	random  *rand.Rand

	introductions int // answers with names in the present round
	lastHeard     time.Duration
	sweptAt       time.Duration
	lists         memberLists
	generation    uint64 // of the known hosts and their data centres
}

// memberLists are the known hosts in the forms in which they are used, made anew when they change.
type memberLists struct {
	generation uint64
	all        []Host
	near, far  []netip.AddrPort
	byPlace    map[string]int // number of hosts
}

// NewMembers returns the members known at a start: none, beside the addresses of the seeds.
func NewMembers(self Host, seeds []netip.AddrPort, random *rand.Rand) *Members {
	return &Members{self: self, seeds: seeds, members: map[netip.AddrPort]*member{}, heard: map[string]time.Duration{}, told: map[uint32]time.Duration{}, random: random, readAt: -readerAliveFor, lastHeard: -aliveFor}
}

// SetSeeds replaces the seeds.
func (m *Members) SetSeeds(seeds []netip.AddrPort) { m.seeds = seeds }

// Hear takes the sender of a message and the hosts that it names. It reports whether the sender is new.
func (m *Members) Hear(msg *Message, now time.Duration) bool {
	for _, h := range msg.Hosts {
		m.add(h, now)
	}
	known := m.members[msg.From.Addr]
	isNew := known == nil || known.heardAt < 0
	m.add(msg.From, now)
	if known = m.members[msg.From.Addr]; known == nil {
		return false
	}
	if known.DataCentre != msg.From.DataCentre {
		known.DataCentre = msg.From.DataCentre
		m.generation++
	}
	known.heardAt, known.leaving = now, msg.Leaving
	if !msg.Leaving {
		m.lastHeard = now
	}
	if len(msg.Loads) > 0 {
		known.loads = msg.Loads
	}
	m.hearReader(msg, now)
	m.turnKnown(now)
	m.known[0] = max(m.known[0], msg.Known)
	m.heard[msg.From.DataCentre] = now
	m.hearAges(msg, now)
	return isNew
}

func (m *Members) add(h Host, now time.Duration) {
	if h.Addr == m.self.Addr || !h.Addr.IsValid() || m.members[h.Addr] != nil || len(m.members) >= maxMembers {
		return
	}
	m.members[h.Addr] = &member{Host: h, heardAt: -1, addedAt: now}
	m.generation++
}

// Sweep forgets hosts that have been silent for long. It looks at them once a second at most.
func (m *Members) Sweep(now time.Duration) {
	if now-m.sweptAt < time.Second {
		return
	}
	m.sweptAt = now
	retention := max(memberRetention, time.Duration(len(m.members))*memberRetentionPerHost)
	for addr, h := range m.members {
		if now-max(h.heardAt, h.addedAt) > retention {
			delete(m.members, addr)
			m.generation++
		}
	}
}

// Generation changes with the known hosts and their data centres.
func (m *Members) Generation() uint64 { return m.generation }

// current returns the lists of the known hosts.
func (m *Members) current() *memberLists {
	l := &m.lists
	if l.byPlace != nil && l.generation == m.generation {
		return l
	}
	*l = memberLists{generation: m.generation, all: make([]Host, 0, len(m.members)), byPlace: map[string]int{}}
	for addr, h := range m.members {
		l.all = append(l.all, h.Host)
		l.byPlace[h.DataCentre]++
		if h.DataCentre == m.self.DataCentre {
			l.near = append(l.near, addr)
		} else {
			l.far = append(l.far, addr)
		}
	}
	return l
}

// Known returns the number of hosts that this one has heard of, itself included.
func (m *Members) Known() int { return len(m.members) + 1 }

// Introduce returns hosts to name in an answer to a sender that knows less than three quarters of the fleet, as after its
// start; else none. The answers of a round are bounded.
func (m *Members) Introduce(msg *Message, now time.Duration) []Host {
	if 4*msg.Known >= 3*m.Size(now) || m.introductions >= maxIntroductions {
		return nil
	}
	m.introductions++
	return m.Sample(maxHosts)
}

// Size returns the number of hosts in the fleet. A host that has just started knows few of them and takes the number that
// others know.
func (m *Members) Size(now time.Duration) int {
	m.turnKnown(now)
	return max(m.Known(), m.known[0], m.known[1])
}

// turnKnown starts a new span for the numbers that others know, so that those of a fleet that has shrunk are forgotten.
func (m *Members) turnKnown(now time.Duration) {
	if now-m.knownAt < knownSpan {
		return
	}
	if now-m.knownAt >= 2*knownSpan {
		m.known[0] = 0
	}
	m.known[0], m.known[1], m.knownAt = 0, m.known[0], now
}

// Reader reports whether this host reads the store for the others, and the host that does with the time since it was
// heard. The first of the live hosts reads; who it is travels with the messages, so that a large fleet, in which each
// host hears only some, has one reader as well.
func (m *Members) Reader(now time.Duration) (own bool, reader netip.AddrPort, age time.Duration) {
	if m.reader != m.self.Addr && now-m.readAt < readerAliveFor && readerRank(m.reader) < readerRank(m.self.Addr) {
		return false, m.reader, now - m.readAt
	}
	m.reader, m.readAt = m.self.Addr, now
	return true, m.self.Addr, 0
}

// hearReader takes the reader that a message names, unless it has said that it leaves.
func (m *Members) hearReader(msg *Message, now time.Duration) {
	if msg.Leaving && m.reader == msg.From.Addr {
		m.readAt = now - readerAliveFor
	}
	if named := m.members[msg.Reader]; !msg.Reader.IsValid() || named != nil && named.leaving {
		return
	}
	at := now - time.Duration(msg.ReaderMs)*time.Millisecond
	if msg.Reader == m.reader {
		m.readAt = max(m.readAt, at)
		return
	}
	stale := now-m.readAt >= readerAliveFor
	if now-at < readerAliveFor && (stale || readerRank(msg.Reader) < readerRank(m.reader)) {
		m.reader, m.readAt = msg.Reader, at
	}
}

func readerRank(addr netip.AddrPort) uint64 { return xxhash.Sum64String(addr.String()) }

func (h *member) alive(now time.Duration) bool {
	return h.heardAt >= 0 && !h.leaving && now-h.heardAt < aliveFor
}

// hearAges takes when another host of the own data centre last heard from each data centre. Only what a host has heard
// itself is told, so that times can't travel in circles.
func (m *Members) hearAges(msg *Message, now time.Duration) {
	if msg.From.DataCentre != m.self.DataCentre || len(m.told)+len(msg.Heard) > 2*maxDataCentres {
		return
	}
	for _, h := range msg.Heard {
		at := now - time.Duration(h.AgeMs)*time.Millisecond
		m.told[h.DataCentre] = max(m.told[h.DataCentre], at)
	}
}

// HeardAges returns when this host last heard from each other data centre, for hosts of its own one. In a small fleet each
// host hears all others itself.
func (m *Members) HeardAges(now time.Duration) []Heard {
	if !m.sampled() {
		return nil
	}
	var heard []Heard
	for dataCentre, at := range m.heard {
		if dataCentre != m.self.DataCentre && len(heard) < maxDataCentres {
			heard = append(heard, Heard{DataCentre: digest(dataCentre), AgeMs: (now - at).Milliseconds()})
		}
	}
	return heard
}

func digest(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Receivers returns where the next message goes, by hosts of the own data centre and others: everywhere in a small fleet,
// to a random part of a large one, and to the seeds while nobody has been heard.
func (m *Members) Receivers(now time.Duration) (near, far []netip.AddrPort) {
	m.introductions = 0
	l := m.current()
	near, far = l.near, l.far
	if m.sampled() {
		near, far = m.sample(near, fanOut/2), m.sample(far, fanOut/2)
	}
	if !m.Heard(now) {
		far = append(slices.Clip(far), m.unheardSeeds()...)
	}
	return slices.Clip(near), slices.Clip(far)
}

// Spread returns where changes go that this host has just learned, from the store or from another host. In a large fleet
// they cross to each other data centre only from the host that read them, and spread there from host to host.
func (m *Members) Spread(from netip.AddrPort, now time.Duration) (near, far []netip.AddrPort) {
	if !m.sampled() {
		return m.Receivers(now)
	}
	byPlace := map[string][]netip.AddrPort{}
	for addr, h := range m.members {
		byPlace[h.DataCentre] = append(byPlace[h.DataCentre], addr)
	}
	near = m.sample(byPlace[m.self.DataCentre], fanOut/2)
	if from.IsValid() {
		return near, nil
	}
	for dataCentre, addrs := range byPlace {
		if dataCentre != m.self.DataCentre {
			far = append(far, m.sample(addrs, farSpread)...)
		}
	}
	return near, far
}

// FetchesFrom reports whether this host, which has been behind for a while, takes what it misses from the sender of a
// message. In a large fleet hosts of the own data centre come first, as changes that cross for each host cost most.
func (m *Members) FetchesFrom(sender Host, behindFor time.Duration) bool {
	return !m.sampled() || sender.DataCentre == m.self.DataCentre || behindFor >= farPatience
}

// sampled reports whether the hosts of the fleet send messages to some of the others only. A host that has just started
// knows few of them, and believes those that know more.
func (m *Members) sampled() bool { return max(len(m.members), m.known[0]-1, m.known[1]-1) > smallFleet }

func (m *Members) unheardSeeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range m.seeds {
		if s != m.self.Addr && m.members[s] == nil {
			out = append(out, s)
		}
	}
	return out
}

// Heard reports whether a host that does not leave has been heard lately.
func (m *Members) Heard(now time.Duration) bool { return now-m.lastHeard < aliveFor }

// sample returns n of the addresses at random. It reorders its argument.
func (m *Members) sample(addrs []netip.AddrPort, n int) []netip.AddrPort {
	n = min(n, len(addrs))
	for i := range n {
		j := i + m.random.IntN(len(addrs)-i)
		addrs[i], addrs[j] = addrs[j], addrs[i]
	}
	return addrs[:n:n]
}

// Sample returns up to n hosts at random to name in a message, those that were heard first.
func (m *Members) Sample(n int) []Host {
	heard, named := reservoir{size: n}, reservoir{size: n}
	for _, h := range m.members {
		if h.heardAt >= 0 {
			heard.take(h.Host, m.random)
		} else {
			named.take(h.Host, m.random)
		}
	}
	hosts := append(heard.hosts, named.hosts...)
	return hosts[:min(n, len(hosts))]
}

// reservoir picks size of the hosts that it is given, each with the same chance.
type reservoir struct {
	size  int
	hosts []Host
	seen  int
}

func (r *reservoir) take(h Host, random *rand.Rand) {
	r.seen++
	if len(r.hosts) < r.size {
		r.hosts = append(r.hosts, h)
		return
	}
	if i := random.IntN(r.seen); i < r.size {
		r.hosts[i] = h
	}
}

// All returns the known hosts. The slice is not changed later.
func (m *Members) All() []Host { return m.current().all }

// Loads returns the loads that live hosts report, with the number of flows scaled to all hosts of their data centre.
func (m *Members) Loads(now time.Duration) []Load {
	heard := map[string]int{}
	var alive []*member
	for _, h := range m.members {
		if h.alive(now) {
			alive = append(alive, h)
			heard[h.DataCentre]++
		}
	}
	known := m.current().byPlace
	var loads []Load
	for _, h := range alive {
		for _, l := range h.loads {
			l.Flows = l.Flows * known[h.DataCentre] / heard[h.DataCentre]
			loads = append(loads, l)
		}
	}
	return loads
}

// Unreachable returns the other data centres whose hosts were heard before and are silent now, also to the other hosts of
// the own data centre as far as they tell. A host of a large fleet often hears nothing of a data centre for a second.
// One that knows less than half of the fleet, as after its start, can't tell.
func (m *Members) Unreachable(now time.Duration) map[string]bool {
	limit := unreachableAfter
	if m.sampled() {
		limit = unreachableAfterSampled
	}
	out := map[string]bool{}
	if 2*m.Known() < m.Size(now) {
		return out
	}
	for dataCentre, at := range m.heard {
		last := max(at, m.told[digest(dataCentre)])
		if dataCentre != m.self.DataCentre && now-last > limit {
			out[dataCentre] = true
		}
	}
	return out
}
