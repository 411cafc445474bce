package gossip

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// aliveTimeout is the time after its last message for which a host counts as alive.
	aliveTimeout = 1200 * time.Millisecond
	// memberRetention is the minimum time for which a silent host is remembered and still receives messages.
	memberRetention = 2 * time.Minute
	// memberRetentionPerHost extends the retention with the size of the fleet. In a large fleet a host receives about 24
	// messages a second, so that on average four messages of a given host arrive within the retention. A live host must
	// not be removed between two of its messages.
	memberRetentionPerHost = 160 * time.Millisecond
	// knownWindow is the window over which the numbers of known hosts reported by other hosts are tracked. A number is
	// used for one to two windows.
	knownWindow = 30 * time.Second
	// maxMembers bounds the number of remembered hosts. It is above the 5,700 hosts of the largest planned fleet, because
	// the rate at which each host may send to cold backend servers is divided by the number of hosts.
	maxMembers = 8192
)

// member is the state kept about another host.
type member struct {
	Host
	lastMessageAt time.Duration // negative until the first message
	addedAt       time.Duration
	leaving       bool
	loads         []Load
	digest        uint32        // of its address
	withdraw      bool          // its vote as of its last message
	vote          bool          // its latest vote, also by the messages of others
	voteAt        time.Duration // when that was sent; negative: no vote is known
	demand        []ServiceDemand
}

// Members tracks the other entry hosts. It is not safe for concurrent use: the control goroutine owns it.
type Members struct {
	self              Host
	seeds             []netip.AddrPort
	members           map[netip.AddrPort]*member
	lastContact       map[string]time.Duration // time of the last message from each data centre
	firstHandContact  map[uint32]time.Duration // the same, reported by other hosts of the own data centre; by digest
	secondHandContact map[uint32]time.Duration // the same, reported to other hosts of the own data centre; by digest
	unanswered        map[string]bool          // data centres whose backend servers answer no opening packets
	remotePosition    float64                  // see sampleRemote
	askedAt           time.Duration            // last time at which AskForContacts returned true
	reader            netip.AddrPort           // host that currently reads the store, as far as this host knows
	readerSeenAt      time.Duration            // time of the reader's last message to this host or to one that reported it
	readerHeartbeats  readerHeartbeats
	heartbeatOffset   uint16        // added to the numbers of this host, see ownHeartbeat
	known             [2]int        // largest NumKnown of received messages in the current and the previous window
	knownSince        time.Duration // start of the current window
	random            *rand.Rand

	bootstrapAnswers     int // answers with host addresses since bootstrapWindowStart
	bootstrapWindowStart time.Duration
	lastPeerMessageAt    time.Duration // time of the last message from a host that is not leaving
	sweptAt              time.Duration
	lists                memberLists
	generation           uint64 // incremented when the known hosts or their data centres change
}

// memberLists holds lists derived from the known hosts. They are rebuilt when the generation changes.
type memberLists struct {
	generation    uint64
	all           []Host
	local, remote []netip.AddrPort // hosts of the own data centre and of others
	localMembers  []*member
	remoteGroups  [][]netip.AddrPort // remote by data centre
	byDataCentre  map[string]int     // number of hosts
	byDigest      map[uint32]*member // hosts of the own data centre; nil: not built yet
}

// NewMembers returns Members without any known host. Messages also go to the seeds while no live host is known.
func NewMembers(self Host, seeds []netip.AddrPort, random *rand.Rand) *Members {
	return &Members{
		self: self, seeds: seeds, members: map[netip.AddrPort]*member{},
		lastContact: map[string]time.Duration{}, firstHandContact: map[uint32]time.Duration{},
		secondHandContact: map[uint32]time.Duration{}, readerHeartbeats: readerHeartbeats{},
		random: random, readerSeenAt: -readerTimeout, lastPeerMessageAt: -aliveTimeout,
	}
}

func (m *Members) SetSeeds(seeds []netip.AddrPort) { m.seeds = seeds }

// Receive processes a message: it adds the sender and the hosts listed in the message. It reports whether this is the
// first message from the sender.
func (m *Members) Receive(msg *Message, now time.Duration) bool {
	for _, h := range msg.Hosts {
		m.add(h, now)
	}
	known := m.members[msg.From.Addr]
	isNew := known == nil || known.lastMessageAt < 0
	m.add(msg.From, now)
	if known = m.members[msg.From.Addr]; known == nil {
		return false
	}
	if known.DataCentre != msg.From.DataCentre {
		known.DataCentre = msg.From.DataCentre
		m.generation++
	}
	known.lastMessageAt, known.leaving = now, msg.Leaving
	if !msg.Leaving {
		m.lastPeerMessageAt = now
	}
	known.withdraw, known.vote, known.voteAt = msg.Withdraw, msg.Withdraw, now
	if len(msg.Loads) > 0 {
		known.loads = msg.Loads
	}
	if len(msg.Demand) > 0 {
		known.updateDemand(msg)
	}
	m.updateReader(msg, now)
	m.rotateKnown(now)
	m.known[0] = max(m.known[0], msg.NumKnown)
	m.lastContact[msg.From.DataCentre] = now
	m.mergeContactAges(msg, now)
	m.mergeVotes(msg, now)
	return isNew
}

func (m *Members) add(h Host, now time.Duration) {
	if h.Addr == m.self.Addr || !h.Addr.IsValid() || m.members[h.Addr] != nil || len(m.members) >= maxMembers {
		return
	}
	m.members[h.Addr] = &member{Host: h, lastMessageAt: -1, addedAt: now, digest: digest(h.Addr.String()), voteAt: -1}
	m.generation++
}

// Sweep removes hosts that have been silent for longer than the retention. It checks them at most once a second.
func (m *Members) Sweep(now time.Duration) {
	if now-m.sweptAt < time.Second {
		return
	}
	m.sweptAt = now
	retention := max(memberRetention, time.Duration(len(m.members))*memberRetentionPerHost)
	maps.DeleteFunc(m.readerHeartbeats, func(_ netip.AddrPort, s readerHeartbeat) bool { return now-s.heardAt > memberRetention })
	for addr, h := range m.members {
		if now-max(h.lastMessageAt, h.addedAt) > retention {
			delete(m.members, addr)
			m.generation++
		}
	}
}

// Generation returns a number that changes whenever the known hosts or their data centres change.
func (m *Members) Generation() uint64 { return m.generation }

// current returns the lists of the known hosts, rebuilding them if they are outdated.
func (m *Members) current() *memberLists {
	l := &m.lists
	if l.byDataCentre != nil && l.generation == m.generation {
		return l
	}
	groups := map[string][]netip.AddrPort{}
	*l = memberLists{generation: m.generation, all: make([]Host, 0, len(m.members)), byDataCentre: map[string]int{}}
	for addr, h := range m.members {
		l.all = append(l.all, h.Host)
		l.byDataCentre[h.DataCentre]++
		if h.DataCentre == m.self.DataCentre {
			l.local = append(l.local, addr)
			l.localMembers = append(l.localMembers, h)
		} else {
			l.remote = append(l.remote, addr)
			groups[h.DataCentre] = append(groups[h.DataCentre], addr)
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(groups)) {
		l.remoteGroups = append(l.remoteGroups, groups[dataCentre])
	}
	return l
}

// NumKnown returns the number of hosts known to this host, including itself.
func (m *Members) NumKnown() int { return len(m.members) + 1 }

// NumLocal returns the number of other hosts of the own data centre that are known to this host.
func (m *Members) NumLocal() int { return len(m.current().local) }

// Size returns the estimated number of hosts in the fleet: the largest of the number known to this host and the numbers
// reported by others, as a host that has just started knows only a few hosts.
func (m *Members) Size(now time.Duration) int {
	m.rotateKnown(now)
	return max(m.NumKnown(), m.known[0], m.known[1])
}

// rotateKnown starts a new window when the current one is over, so that the numbers of a fleet that has since shrunk expire.
func (m *Members) rotateKnown(now time.Duration) {
	if now-m.knownSince < knownWindow {
		return
	}
	if now-m.knownSince >= 2*knownWindow {
		m.known[0] = 0
	}
	m.known[0], m.known[1], m.knownSince = 0, m.known[0], now
}

func (h *member) alive(now time.Duration) bool {
	return h.lastMessageAt >= 0 && !h.leaving && now-h.lastMessageAt < aliveTimeout
}

// Joined reports whether this host has received a message from a host that is not leaving since its start, or has no seed
// other than itself.
func (m *Members) Joined() bool {
	return m.lastPeerMessageAt >= 0 || !slices.ContainsFunc(m.seeds, func(s netip.AddrPort) bool { return s != m.self.Addr })
}

// PeerAlive reports whether a host that is not leaving has sent a message within aliveTimeout.
func (m *Members) PeerAlive(now time.Duration) bool { return now-m.lastPeerMessageAt < aliveTimeout }

// All returns the known hosts. The returned slice is never modified afterwards.
func (m *Members) All() []Host { return m.current().all }

// Loads returns the loads reported by live hosts. Flow counts are scaled by the ratio of known to live hosts of the
// reporter's data centre.
func (m *Members) Loads(now time.Duration) []Load {
	numAlive := map[string]int{}
	var alive []*member
	for _, h := range m.members {
		if h.alive(now) {
			alive = append(alive, h)
			numAlive[h.DataCentre]++
		}
	}
	numKnown := m.current().byDataCentre
	var loads []Load
	for _, h := range alive {
		for _, l := range h.loads {
			l.Flows = l.Flows * numKnown[h.DataCentre] / numAlive[h.DataCentre]
			loads = append(loads, l)
		}
	}
	return loads
}
