package gossip

import (
	"slices"
	"time"
)

// sharerRounds is the number of messages that a live host of a large fleet is expected to have sent to this one within the
// time after which it no longer counts as one that shares a data centre's part.
const sharerRounds = 4

// messagesPerSecond is the number of messages that a host of a large fleet receives from its own data centre: each host
// sends three in a round of 250 ms. With another interval between rounds, silent hosts count for longer or shorter.
const messagesPerSecond = 12

// Demand is what the hosts of a data centre request, and how many hosts they are.
type Demand struct {
	Hosts    int            // without this host
	Known    bool           // some live host has reported its demand
	Services map[uint32]int // running and waiting requests by digest of the service
}

// Demand returns the demand by data centre, as reported by live hosts and scaled to all hosts of their data centre.
func (m *Members) Demand(now time.Duration) map[string]Demand {
	demands := make(map[string]Demand, len(m.current().byDataCentre))
	reporters := map[string]int{}
	for _, h := range m.members {
		d := demands[h.DataCentre]
		if m.shares(h, now) {
			d.Hosts++
		}
		if h.alive(now) && len(h.demand) > 0 {
			reporters[h.DataCentre]++
			if d.Services == nil {
				d.Known, d.Services = true, map[uint32]int{}
			}
			for _, s := range h.demand {
				d.Services[s.Service] += s.Running + s.Waiting
			}
		}
		demands[h.DataCentre] = d
	}
	for dataCentre, d := range demands {
		for service, n := range d.Services {
			d.Services[service] = n * max(d.Hosts, reporters[dataCentre]) / reporters[dataCentre]
		}
	}
	return demands
}

// updateDemand records the demand in a message: all of it, or only what has changed for full services.
func (h *member) updateDemand(msg *Message) {
	if len(msg.Hosts) > 0 || h.demand == nil {
		h.demand = msg.Demand
		return
	}
	for _, d := range msg.Demand {
		i := slices.IndexFunc(h.demand, func(known ServiceDemand) bool { return known.Service == d.Service })
		switch {
		case i >= 0:
			h.demand[i] = d
		case len(h.demand) < maxDemands:
			h.demand = append(h.demand, d)
		}
	}
}

// shares reports whether a host shares the part of its data centre. A silent host of the own data centre counts for some
// seconds in a large fleet, in which not every host is heard all the time. While all of them are silent, this host is cut off
// and all that it knows count, as they may still use their shares.
func (m *Members) shares(h *member, now time.Duration) bool {
	hosts := m.current().byDataCentre[h.DataCentre]
	if h.DataCentre == m.self.DataCentre && now-m.lastContactOf(h.DataCentre) >= aliveTimeout {
		return true
	}
	limit := aliveTimeout
	if m.sampled() {
		limit += time.Duration(sharerRounds*hosts) * time.Second / messagesPerSecond
	}
	return !h.leaving && h.lastMessageAt >= 0 && now-h.lastMessageAt < limit
}

// lastContactOf returns the time of the last message from a data centre; negative if there was none.
func (m *Members) lastContactOf(dataCentre string) time.Duration {
	if at, ok := m.lastContact[dataCentre]; ok {
		return at
	}
	return -aliveTimeout
}
