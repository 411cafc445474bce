package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// aliveFor is how long after its last message a host counts as alive.
	aliveFor = 1200 * time.Millisecond
	// memberRetention is the least time for which a host that is silent is kept and written to.
	memberRetention = 2 * time.Minute
	// memberRetentionPerHost lengthens it with the fleet: a host of a large fleet hears about 24 others a second, and
	// none of them may be forgotten between two of its messages, of which one comes four times in this span on average.
	memberRetentionPerHost = 160 * time.Millisecond
	// knownSpan is how long the number of hosts that others know is believed, up to twice as long.
	knownSpan = 30 * time.Second
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

	introductions int // answers with names since introducedAt
	introducedAt  time.Duration
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

// Receive takes the sender of a message and the hosts that it names. It reports whether the sender is new.
func (m *Members) Receive(msg *Message, now time.Duration) bool {
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
	m.known[0] = max(m.known[0], msg.NumKnown)
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

// NumKnown returns the number of hosts that this one has heard of, itself included.
func (m *Members) NumKnown() int { return len(m.members) + 1 }

// Size returns the number of hosts in the fleet. A host that has just started knows few of them and takes the number that
// others know.
func (m *Members) Size(now time.Duration) int {
	m.turnKnown(now)
	return max(m.NumKnown(), m.known[0], m.known[1])
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

func (h *member) alive(now time.Duration) bool {
	return h.heardAt >= 0 && !h.leaving && now-h.heardAt < aliveFor
}

// Joined reports whether this host has heard from another one since its start, or has no seed but itself.
func (m *Members) Joined() bool {
	return m.lastHeard >= 0 || !slices.ContainsFunc(m.seeds, func(s netip.AddrPort) bool { return s != m.self.Addr })
}

// PeerAlive reports whether a host that does not leave has been heard lately.
func (m *Members) PeerAlive(now time.Duration) bool { return now-m.lastHeard < aliveFor }

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
