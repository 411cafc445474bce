package gossip

import "time"

const (
	// maxBootstrapAnswers is the number of answers with host addresses that a host sends within bootstrapWindow. It limits
	// the traffic of a seed to about 230 KB/s while a thousand hosts start.
	maxBootstrapAnswers = 64
	// bootstrapWindow is the time over which these answers are counted.
	bootstrapWindow = 250 * time.Millisecond
)

// BootstrapHosts returns the hosts to list in the answer to a message. It returns none if the sender already knows three
// quarters of the fleet, or if maxBootstrapAnswers have been sent in the current window.
func (m *Members) BootstrapHosts(msg *Message, now time.Duration) []Host {
	if now-m.bootstrapWindowStart >= bootstrapWindow {
		m.bootstrapAnswers, m.bootstrapWindowStart = 0, now
	}
	if 4*msg.NumKnown >= 3*m.Size(now) || m.bootstrapAnswers >= maxBootstrapAnswers {
		return nil
	}
	m.bootstrapAnswers++
	return m.Sample(maxHosts)
}

// Sample returns up to n hosts to list in a message, preferring those from which a message has been received. It takes the
// first matches in the iteration order of the map, which starts at a random position, so that its cost does not grow with
// the fleet.
func (m *Members) Sample(n int) []Host {
	contacted, others := make([]Host, 0, n), make([]Host, 0, n)
	for _, h := range m.members {
		switch {
		case h.lastMessageAt >= 0:
			contacted = append(contacted, h.Host)
		case len(others) < n:
			others = append(others, h.Host)
		}
		if len(contacted) == n {
			return contacted
		}
	}
	return append(contacted, others[:min(n-len(contacted), len(others))]...)
}
