package gossip

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// smallFleet is the number of hosts up to which each message goes to all of them.
	smallFleet = 12
	// fanOut is the number of receivers of a message in a larger fleet; half of them are in the own data centre.
	fanOut = 6
	// farSpread is the number of hosts of each other data centre that get a change from the host that read it.
	farSpread = 2
	// farPatience is how long a host of a large fleet is behind before it fetches from another data centre: a bit longer
	// than a round of messages.
	farPatience = 300 * time.Millisecond
)

// Receivers returns where the next message goes, by hosts of the own data centre and others: everywhere in a small fleet,
// to a random part of a large one, and to the seeds while nobody has been heard.
func (m *Members) Receivers(now time.Duration) (near, far []netip.AddrPort) {
	l := m.current()
	near, far = l.near, l.far
	if m.sampled() {
		near, far = m.sample(near, fanOut/2), m.sample(far, fanOut/2)
	}
	if !m.PeerAlive(now) {
		far = append(slices.Clip(far), m.unheardSeeds()...)
	}
	return slices.Clip(near), slices.Clip(far)
}

// ChangeReceivers returns where changes go that this host has just learned, from the store or from another host. In a large fleet
// they cross to each other data centre only from the host that read them, and spread there from host to host.
func (m *Members) ChangeReceivers(from netip.AddrPort, now time.Duration) (near, far []netip.AddrPort) {
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

// ShouldFetchFrom reports whether this host, which has been behind for a while, takes what it misses from the sender of a
// message. In a large fleet hosts of the own data centre come first, as changes that cross for each host cost most.
func (m *Members) ShouldFetchFrom(sender Host, behindFor time.Duration) bool {
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

// sample returns n of the addresses at random. It reorders its argument.
func (m *Members) sample(addrs []netip.AddrPort, n int) []netip.AddrPort {
	n = min(n, len(addrs))
	for i := range n {
		j := i + m.random.IntN(len(addrs)-i)
		addrs[i], addrs[j] = addrs[j], addrs[i]
	}
	return addrs[:n:n]
}
