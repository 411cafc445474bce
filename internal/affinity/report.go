package affinity

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

const (
	// maxAvoided is the maximum number of avoided backend servers in a report. A host of a large fleet knows tens of
	// thousands of backend servers.
	maxAvoided = 64
	// maxCandidates is the maximum number of backend servers of a service in an explanation.
	maxCandidates = 8
)

// Report is the state of a Router, for operators.
type Report struct {
	Flows   int // tracked by this host
	Routes  int
	Places  []PlaceReport
	Avoided []ServerReport // servers that get no new flows, or only as a last resort; the first maxAvoided by ID
}

// PlaceReport sums up the backend servers of a service in a data centre.
type PlaceReport struct {
	Place
	Servers    int
	Avoided    int
	Slots      int
	Flows      int // tracked by this host
	OtherFlows int // reported by the other hosts
}

// ServerReport is a Router's assessment of a backend server.
type ServerReport struct {
	ID          string
	Place       Place
	Eligibility string // "eligible", or the reason why it gets no new flows or only as a last resort
	Preference  Preference
	Flows       int
	Slots       int
	Cause       string        // evidence that it is suspect or silent; "" if it is neither
	For         time.Duration // how long it stays suspect, silent or cold without new evidence
	SinceAnswer time.Duration // time since the last observed answer; negative: none observed
	Work        work.State
}

// Report returns the present state. It does not modify the Router.
func (r *Router) Report(now time.Duration) Report {
	report := Report{Flows: len(r.table.flows)}
	for _, rt := range r.routes {
		if rt.present {
			report.Routes++
		}
	}
	places := map[Place]*PlaceReport{}
	var avoided []*server
	for _, s := range r.servers {
		if !s.present {
			continue
		}
		at := Place{s.Service, s.DataCentre}
		place := places[at]
		if place == nil {
			place = &PlaceReport{Place: at, OtherFlows: r.fleet.Flows[at.Digest()]}
			places[at] = place
		}
		place.Servers++
		place.Slots += s.Slots
		place.Flows += s.flows
		if r.eligibilityOf(s, now) != eligible {
			place.Avoided++
			avoided = append(avoided, s)
		}
	}
	slices.SortFunc(avoided, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range avoided[:min(len(avoided), maxAvoided)] {
		report.Avoided = append(report.Avoided, r.reportOf(s, now))
	}
	for _, place := range places {
		report.Places = append(report.Places, *place)
	}
	slices.SortFunc(report.Places, func(a, b PlaceReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return report
}

func (r *Router) reportOf(s *server, now time.Duration) ServerReport {
	report := ServerReport{
		ID:          s.ID,
		Place:       Place{s.Service, s.DataCentre},
		Eligibility: r.eligibilityOf(s, now).String(),
		Preference:  r.preferenceOf(s, now),
		Flows:       s.flows,
		Slots:       s.Slots,
		SinceAnswer: -1,
		Work:        s.work.State(now),
	}
	if s.lastAnswerAt > 0 {
		report.SinceAnswer = now - s.lastAnswerAt
	}
	switch {
	case s.suspectOrSilent(now):
		report.Cause = s.healthCause.String()
		report.For = max(s.suspectUntil, s.silentUntil) - now
	case r.eligibilityOf(s, now) == coldStart:
		report.For = max(s.ColdUntil, s.process.ColdUntil(), r.view.RestoredColdUntil[s.DataCentre], now) - now
	}
	return report
}

// Explanation states where the packets of a flow go and why.
type Explanation struct {
	RouteKnown   bool // the route is in force, or was removed recently
	RouteRemoved bool
	Targets      []TargetExplanation // for a new flow, in the order in which they are tried
	Remembered   *FlowExplanation    // kept state of the flow; nil: this host has seen no packet of it recently
	Named        *ServerReport       // backend server that the token identifies, or nil
}

// TargetExplanation lists how the backend servers of a service rank for a new flow.
type TargetExplanation struct {
	Service    string
	Weight     uint32
	Spillover  bool           // new flows go to other data centres because the own one is overloaded
	Servers    int            // backend servers of the service
	Candidates []ServerReport // the first maxCandidates, best first
}

// FlowExplanation is the state that this host keeps of a flow.
type FlowExplanation struct {
	ServerReport
	Open       bool // the caller has acknowledged the backend server's answer to the opening packet
	Closed     bool
	Age        time.Duration // time since this host first saw it
	LastPacket time.Duration // time since its last packet through this host
}

// Explain states where the packets of a flow would go. Token 0 stands for an opening packet. Explain does not modify the
// Router.
func (r *Router) Explain(key FlowKey, token uint32, now time.Duration) Explanation {
	var e Explanation
	if f := r.table.flows[key]; f != nil {
		e.Remembered = &FlowExplanation{
			ServerReport: r.reportOf(f.server, now), Open: f.open, Closed: f.closed, Age: now - f.openedAt, LastPacket: now - f.lastAt,
		}
	}
	if s := r.byToken[token]; s != nil && token != 0 {
		named := r.reportOf(s, now)
		e.Named = &named
	}
	rt := r.routes[key.Service]
	if rt == nil {
		return e
	}
	e.RouteKnown, e.RouteRemoved = true, !rt.present
	if !rt.present || len(rt.targets) == 0 {
		return e
	}
	first := r.pickTarget(rt, key)
	for i := range rt.targets {
		e.Targets = append(e.Targets, r.explainTarget(rt, &rt.targets[(first+i)%len(rt.targets)], now))
	}
	return e
}

func (r *Router) explainTarget(rt *route, t *target, now time.Duration) TargetExplanation {
	for _, p := range t.service.pools {
		p.refresh(now)
	}
	e := TargetExplanation{
		Service: t.service.name, Weight: t.weight, Spillover: r.spillsOver(t.service, now), Servers: t.service.numServers(),
	}
	candidates := make([]choice, 0, maxCandidates+1)
	for _, p := range t.service.pools {
		if !rt.allows(p) {
			continue
		}
		for _, s := range p.servers {
			if preference, order := r.rankFor(s, e.Spillover, failed{}, now); preference != preferNone {
				candidates = insertCandidate(candidates, choice{s, preference, order})
			}
		}
	}
	for _, c := range candidates {
		report := r.reportOf(c.server, now)
		report.Preference = c.preference
		e.Candidates = append(e.Candidates, report)
	}
	return e
}

// insertCandidate inserts a candidate into a list in the order of the choice, of which it keeps the first maxCandidates.
func insertCandidate(list []choice, c choice) []choice {
	at, _ := slices.BinarySearchFunc(list, c, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.preference, b.preference), a.order.compare(b.order),
			cmp.Compare(a.server.turn, b.server.turn), cmp.Compare(a.server.ID, b.server.ID))
	})
	if at == maxCandidates {
		return list
	}
	list = slices.Insert(list, at, c)
	return list[:min(len(list), maxCandidates)]
}
