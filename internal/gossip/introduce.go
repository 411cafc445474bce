package gossip

import (
	"math/rand/v2"
	"time"
)

const (
	// maxIntroductions bounds the answers with names in introductionSpan: about 230 KB a second at a seed while a thousand
	// hosts start.
	maxIntroductions = 64
	introductionSpan = 250 * time.Millisecond
)

// Introduce returns hosts to name in an answer to a sender that knows less than three quarters of the fleet, as after its
// start; else none. The answers are bounded.
func (m *Members) Introduce(msg *Message, now time.Duration) []Host {
	if now-m.introducedAt >= introductionSpan {
		m.introductions, m.introducedAt = 0, now
	}
	if 4*msg.Known >= 3*m.Size(now) || m.introductions >= maxIntroductions {
		return nil
	}
	m.introductions++
	return m.Sample(maxHosts)
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
