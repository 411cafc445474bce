package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// unreachableAfter is the time without a message from any host of a data centre after which it counts as unreachable.
	unreachableAfter = 900 * time.Millisecond
	// unreachableAfterSampled is the same in a large fleet. With seven data centres, a host there receives on average two
	// messages a second from each, and occasionally none for most of a second.
	unreachableAfterSampled = 1800 * time.Millisecond
)

// mergeContactAges records the contact times reported by another host of the own data centre. Hosts report only contacts of
// their own, never reported ones, so that a time can't circulate between hosts.
func (m *Members) mergeContactAges(msg *Message, now time.Duration) {
	if msg.From.DataCentre != m.self.DataCentre || len(m.reportedContact)+len(msg.LastContact) > 2*maxDataCentres {
		return
	}
	for _, h := range msg.LastContact {
		at := now - time.Duration(h.AgeMs)*time.Millisecond
		m.reportedContact[h.DataCentre] = max(m.reportedContact[h.DataCentre], at)
	}
}

// ContactAges returns the time since this host last received a message from each other data centre, to be sent to hosts of
// its own data centre. It returns nil in a small fleet, where each host receives messages from all others.
func (m *Members) ContactAges(now time.Duration) []LastContact {
	if !m.sampled() {
		return nil
	}
	var lastContact []LastContact
	for dataCentre, at := range m.lastContact {
		if dataCentre != m.self.DataCentre && len(lastContact) < maxDataCentres {
			lastContact = append(lastContact, LastContact{DataCentre: digest(dataCentre), AgeMs: (now - at).Milliseconds()})
		}
	}
	return lastContact
}

func digest(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Unreachable returns the other data centres from which messages were received before, but neither this host nor a host
// of its own data centre that reports contact times has received one recently. A single host of a large fleet often
// receives nothing from a data centre for a second. The result is empty while this host knows less than half of the
// fleet, as after its start, because its own evidence is insufficient then.
func (m *Members) Unreachable(now time.Duration) map[string]bool {
	limit := unreachableAfter
	if m.sampled() {
		limit = unreachableAfterSampled
	}
	out := map[string]bool{}
	if 2*m.NumKnown() < m.Size(now) {
		return out
	}
	for dataCentre, at := range m.lastContact {
		last := max(at, m.reportedContact[digest(dataCentre)])
		if dataCentre != m.self.DataCentre && now-last > limit {
			out[dataCentre] = true
		}
	}
	return out
}
