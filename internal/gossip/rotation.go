package gossip

import "time"

// yieldTimeout is the time after its last message for which a host of a small fleet counts as alive in ShouldYield. It is
// three rounds of messages, and shorter than aliveTimeout because callers' packets are lost meanwhile.
const yieldTimeout = 750 * time.Millisecond

// hostCount counts the hosts of a data centre that are not leaving.
type hostCount struct{ known, alive int }

// mostAlive reports whether at least half of the hosts are alive.
func (c hostCount) mostAlive() bool { return c.known > 0 && 2*c.alive >= c.known }

// ShouldYield reports whether this host should tell the routers that it takes no packets. The routers use all hosts of a
// data centre, dead ones included, while fewer than half of them take packets, and those of the nearest other data centre
// while none does. If most hosts of the own data centre are silent, a packet therefore reaches a host that is alive only
// after the rest have yielded. The result is false unless a data centre exists in which most hosts are alive.
//
// It is false in a fleet of more than maxFullMesh other hosts as well: there, a host receives messages from a sample of the
// others and can't tell which are alive.
func (m *Members) ShouldYield(now time.Duration) bool {
	if m.sampled() {
		return false
	}
	counts := map[string]hostCount{m.self.DataCentre: {known: 1, alive: 1}}
	for _, h := range m.members {
		if h.leaving || h.lastMessageAt < 0 {
			continue
		}
		c := counts[h.DataCentre]
		c.known++
		if now-h.lastMessageAt < yieldTimeout {
			c.alive++
		}
		counts[h.DataCentre] = c
	}
	if counts[m.self.DataCentre].mostAlive() {
		return false
	}
	for _, c := range counts {
		if c.mostAlive() {
			return true
		}
	}
	return false
}
