package gossip

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxFullMesh is the largest number of other hosts to which each message is sent. In a larger fleet messages go to a
	// random sample.
	maxFullMesh = 12
	// fanOut is the number of receivers of a message in a larger fleet, half of them in the own data centre.
	fanOut = 6
	// remoteFanOut is the number of hosts in each other data centre to which the host that read a change from the store
	// sends it.
	remoteFanOut = 2
	// remoteFetchDelay is the time for which a host of a large fleet must be behind before it fetches from another data
	// centre. It is slightly longer than a round of messages.
	remoteFetchDelay = 300 * time.Millisecond
)

// Receivers returns the receivers of the next message, separately for the own and for other data centres: all hosts of a
// small fleet, or a random sample of a large one. While no live host is known, remote also includes the seeds.
func (m *Members) Receivers(now time.Duration) (local, remote []netip.AddrPort) {
	l := m.current()
	local, remote = l.local, l.remote
	if m.sampled() {
		local, remote = m.sample(local, fanOut/2), m.sampleRemote(fanOut/2)
	}
	if !m.PeerAlive(now) {
		remote = append(slices.Clip(remote), m.unknownSeeds()...)
	}
	return slices.Clip(local), slices.Clip(remote)
}

// ChangeReceivers returns the receivers of changes that this host has just received from another host or, if from is not
// valid, read from the store. In a large fleet only the host that read the changes sends them to other data centres; hosts
// there forward them within their data centre.
func (m *Members) ChangeReceivers(from netip.AddrPort, now time.Duration) (local, remote []netip.AddrPort) {
	if !m.sampled() {
		return m.Receivers(now)
	}
	byDataCentre := map[string][]netip.AddrPort{}
	for addr, h := range m.members {
		byDataCentre[h.DataCentre] = append(byDataCentre[h.DataCentre], addr)
	}
	local = m.sample(byDataCentre[m.self.DataCentre], fanOut/2)
	if from.IsValid() {
		return local, nil
	}
	for dataCentre, addrs := range byDataCentre {
		if dataCentre != m.self.DataCentre {
			remote = append(remote, m.sample(addrs, remoteFanOut)...)
		}
	}
	return local, remote
}

// ShouldFetchFrom reports whether this host, which has been behind for a given time, should fetch the missing changes from
// the sender of a message. In a large fleet it prefers senders of its own data centre, because fetches by every host
// across data centres are the most expensive traffic.
func (m *Members) ShouldFetchFrom(sender Host, behindFor time.Duration) bool {
	return !m.sampled() || sender.DataCentre == m.self.DataCentre || behindFor >= remoteFetchDelay
}

// sampled reports whether the fleet is so large that hosts send messages only to a sample of the others. Numbers of hosts
// reported by others count too, as a host that has just started knows only a few hosts.
func (m *Members) sampled() bool {
	return max(len(m.members), m.known[0]-1, m.known[1]-1) > maxFullMesh
}

// unknownSeeds returns the seeds from which no message has been received and that no message has listed.
func (m *Members) unknownSeeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range m.seeds {
		if s != m.self.Addr && m.members[s] == nil {
			out = append(out, s)
		}
	}
	return out
}

// VoteReceivers returns the receivers of a changed vote: random hosts of the own data centre, or all in a small fleet.
func (m *Members) VoteReceivers() []netip.AddrPort {
	local := m.current().local
	if m.sampled() {
		local = m.sample(local, fanOut/2)
	}
	return slices.Clip(local)
}

// goldenRatio is the fraction of the distance between two positions by which sampleRemote advances. Successive positions are
// then spread evenly and never repeat.
const goldenRatio = 0.618034

// sampleRemote returns up to n random hosts of other data centres. It spreads them over the data centres in proportion to
// their numbers of hosts, and over successive calls. With independent samples, by chance no host of a small data centre would
// send to a given other one for several rounds, which would look like a partition.
func (m *Members) sampleRemote(n int) []netip.AddrPort {
	l := m.current()
	total := len(l.remote)
	if total <= n {
		return l.remote
	}
	stride := float64(total) / float64(n)
	if m.remotePosition == 0 {
		m.remotePosition = m.random.Float64() * stride
	}
	m.remotePosition = math.Mod(m.remotePosition+stride*goldenRatio, float64(total))
	out := make([]netip.AddrPort, 0, n)
	for i := range n {
		group := l.remoteGroup(int(math.Mod(m.remotePosition+float64(i)*stride, float64(total))))
		first := m.random.IntN(len(group))
		for j := range group {
			if addr := group[(first+j)%len(group)]; !slices.Contains(out, addr) {
				out = append(out, addr)
				break
			}
		}
	}
	return out
}

// remoteGroup returns the hosts of the data centre that contains the host at a position in the order of the data centres.
func (l *memberLists) remoteGroup(position int) []netip.AddrPort {
	for _, group := range l.remoteGroups {
		if position < len(group) {
			return group
		}
		position -= len(group)
	}
	return l.remoteGroups[len(l.remoteGroups)-1]
}

// sample returns up to n random addresses. It reorders its argument.
func (m *Members) sample(addrs []netip.AddrPort, n int) []netip.AddrPort {
	n = min(n, len(addrs))
	for i := range n {
		j := i + m.random.IntN(len(addrs)-i)
		addrs[i], addrs[j] = addrs[j], addrs[i]
	}
	return addrs[:n:n]
}
