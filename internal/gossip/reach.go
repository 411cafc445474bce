package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// unreachableAfter is the silence of all hosts of a data centre after which it counts as out of reach.
	unreachableAfter = 900 * time.Millisecond
	// unreachableAfterSampled is the same in a large fleet, where a host hears each of seven data centres twice a second
	// on average, and now and then nothing for most of a second.
	unreachableAfterSampled = 1800 * time.Millisecond
)

// hearAges takes when another host of the own data centre last heard from each data centre. Only what a host has heard
// itself is told, so that times can't travel in circles.
func (m *Members) hearAges(msg *Message, now time.Duration) {
	if msg.From.DataCentre != m.self.DataCentre || len(m.told)+len(msg.LastContact) > 2*maxDataCentres {
		return
	}
	for _, h := range msg.LastContact {
		at := now - time.Duration(h.AgeMs)*time.Millisecond
		m.told[h.DataCentre] = max(m.told[h.DataCentre], at)
	}
}

// ContactAges returns when this host last heard from each other data centre, for hosts of its own one. In a small fleet each
// host hears all others itself.
func (m *Members) ContactAges(now time.Duration) []LastContact {
	if !m.sampled() {
		return nil
	}
	var heard []LastContact
	for dataCentre, at := range m.heard {
		if dataCentre != m.self.DataCentre && len(heard) < maxDataCentres {
			heard = append(heard, LastContact{DataCentre: digest(dataCentre), AgeMs: (now - at).Milliseconds()})
		}
	}
	return heard
}

func digest(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Unreachable returns the other data centres whose hosts were heard before and are silent now, also to the other hosts of
// the own data centre as far as they tell. A host of a large fleet often hears nothing of a data centre for a second.
// One that knows less than half of the fleet, as after its start, can't tell.
func (m *Members) Unreachable(now time.Duration) map[string]bool {
	limit := unreachableAfter
	if m.sampled() {
		limit = unreachableAfterSampled
	}
	out := map[string]bool{}
	if 2*m.NumKnown() < m.Size(now) {
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
