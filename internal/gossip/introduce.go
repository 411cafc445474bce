package gossip

import "time"

const (
	// maxIntroductions bounds the answers with names in introductionSpan: about 230 KB a second at a seed while a thousand
	// hosts start.
	maxIntroductions = 64
	introductionSpan = 250 * time.Millisecond
)

// BootstrapHosts returns hosts to name in an answer to a sender that knows less than three quarters of the fleet, as after its
// start; else none. The answers are bounded.
func (m *Members) BootstrapHosts(msg *Message, now time.Duration) []Host {
	if now-m.introducedAt >= introductionSpan {
		m.introductions, m.introducedAt = 0, now
	}
	if 4*msg.NumKnown >= 3*m.Size(now) || m.introductions >= maxIntroductions {
		return nil
	}
	m.introductions++
	return m.Sample(maxHosts)
}

// Sample returns up to n hosts to name in a message, those that were heard first. It takes neighbours in the map, whose
// iteration begins at a random place, so that its time does not grow with the fleet.
func (m *Members) Sample(n int) []Host {
	heard, named := make([]Host, 0, n), make([]Host, 0, n)
	for _, h := range m.members {
		switch {
		case h.heardAt >= 0:
			heard = append(heard, h.Host)
		case len(named) < n:
			named = append(named, h.Host)
		}
		if len(heard) == n {
			return heard
		}
	}
	return append(heard, named[:min(n-len(heard), len(named))]...)
}
