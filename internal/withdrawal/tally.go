package withdrawal

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant with which counted demand loses weight.
	demandWindow = 2 * time.Second
	// unservedWeight is the weight of a new flow that finds no usable backend server. Its caller makes up to three attempts
	// for a request, each with a new flow.
	unservedWeight = 1. / 3
	// negligible is the weighted number of requests below which a counter is removed.
	negligible = 0.01

	// minUnanswered is the number of opening packets to a data centre without any answer from it that counts as evidence.
	minUnanswered = 4
	// unansweredAfter is how long the first of them must have been unanswered. Callers repeat opening packets after 200 ms.
	unansweredAfter = 300 * time.Millisecond
	// unansweredRetention is how long the evidence holds after the last opening packet.
	unansweredRetention = time.Second
)

// Tally counts the demand of a host's callers. The goroutine that handles packets owns it.
type Tally struct {
	demand     map[Demand]float64 // by service and data centre
	unanswered map[string]*unanswered
	decayedAt  time.Duration
}

// unanswered counts the opening packets to a data centre since the last answer of one of its backend servers.
type unanswered struct {
	openings      int
	first, latest time.Duration
}

// Snapshot is the content of a Tally at a time. It is not modified later.
type Snapshot struct {
	Demand     []Demand
	Places     []Place
	Unanswered []string // data centres of which no backend server answers opening packets
}

// NewTally returns an empty Tally.
func NewTally() *Tally {
	return &Tally{demand: map[Demand]float64{}, unanswered: map[string]*unanswered{}}
}

// NewFlow counts a new flow to a service. served states that a usable backend server was found.
func (t *Tally) NewFlow(service string, served bool) {
	weight := 1.0
	if !served {
		weight = unservedWeight
	}
	t.demand[Demand{Service: service}] += weight
}

// Request counts a request on an open flow to a backend server.
func (t *Tally) Request(service, dataCentre string) {
	t.demand[Demand{Service: service, DataCentre: dataCentre}]++
}

// Opening records an opening packet to a backend server of a data centre, also a retransmitted one.
func (t *Tally) Opening(dataCentre string, now time.Duration) {
	u := t.unanswered[dataCentre]
	if u == nil {
		u = &unanswered{first: now}
		t.unanswered[dataCentre] = u
	}
	u.openings++
	u.latest = now
}

// Answer records evidence of an answer from a backend server of a data centre.
func (t *Tally) Answer(dataCentre string) { delete(t.unanswered, dataCentre) }

// Reset discards evidence that a pause of this host makes worthless.
func (t *Tally) Reset() { clear(t.unanswered) }

// Snapshot ages the counts and returns them together with the backend servers that the host knows.
func (t *Tally) Snapshot(places []Place, now time.Duration) *Snapshot {
	s := &Snapshot{Places: places}
	factor := math.Exp(-float64(now-t.decayedAt) / float64(demandWindow))
	t.decayedAt = now
	for key, requests := range t.demand {
		requests *= factor
		if requests < negligible {
			delete(t.demand, key)
			continue
		}
		t.demand[key] = requests
		key.Requests = requests
		s.Demand = append(s.Demand, key)
	}
	for dataCentre, u := range t.unanswered {
		switch {
		case now-u.latest > unansweredRetention:
			delete(t.unanswered, dataCentre)
		case u.openings >= minUnanswered && now-u.first >= unansweredAfter:
			s.Unanswered = append(s.Unanswered, dataCentre)
		}
	}
	return s
}
