package affinity

import (
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

// pool holds the backend servers of a service in a data centre, so that the choice of one for a new flow costs the same at
// any number of servers.
type pool struct {
	dataCentre string
	region     string
	digest     PlaceDigest
	servers    []*server          // all of them
	ready      work.Heap[*server] // the eligible ones, whatever the state of the data centre
	special    []*server          // all others, in any order
	changed    []*server          // may have to move between ready and special
	nextChange time.Duration
	readySlots int
	readyFlows int
	byWork     bool      // expected work counts for the order of ready
	choices    uint64    // number of choices so far
	recent     []*server // servers that answered most recently, the latest first; up to recentAnswers
}

// recentAnswers is the number of servers that a pool remembers because they have answered. A caller's further try needs one
// that is ready and did not fail.
const recentAnswers = 16

// noIndex is the index of a server that is not in a list.
const noIndex = -1

// add adds a server to the pool.
func (p *pool) add(s *server) {
	s.pool, s.index, s.readyIndex, s.specialIndex = p, len(p.servers), noIndex, len(p.special)
	p.servers = append(p.servers, s)
	p.special = append(p.special, s)
	p.markChanged(s)
}

// remove removes a server from the pool.
func (p *pool) remove(s *server) {
	if s.readyIndex != noIndex {
		p.removeReady(s)
	} else {
		p.removeSpecial(s)
	}
	last := p.servers[len(p.servers)-1]
	p.servers[s.index], last.index = last, s.index
	p.servers = p.servers[:len(p.servers)-1]
	s.pool, s.changed = nil, false
}

// markChanged records that a server may have to move between ready and special.
func (p *pool) markChanged(s *server) {
	if !s.changed {
		s.changed = true
		p.changed = append(p.changed, s)
	}
}

// refresh moves the servers whose state has changed since the last call, also by the passing of time.
func (p *pool) refresh(now time.Duration) {
	for _, s := range p.changed {
		s.changed = false
		if s.pool == p {
			p.classify(s, now)
		}
	}
	p.changed = p.changed[:0]
	if now < p.nextChange {
		return
	}
	p.nextChange = endOfTime
	for i := len(p.special) - 1; i >= 0; i-- {
		p.classify(p.special[i], now)
	}
}

// endOfTime is later than any time.
const endOfTime = time.Duration(1<<63 - 1)

// classify puts a server where it belongs.
func (p *pool) classify(s *server, now time.Duration) {
	ready := s.eligibility(now) == eligible
	switch {
	case ready && s.readyIndex == noIndex:
		p.removeSpecial(s)
		p.pushReady(s)
	case !ready && s.readyIndex != noIndex:
		p.removeReady(s)
		s.specialIndex = len(p.special)
		p.special = append(p.special, s)
	}
	if !ready {
		p.nextChange = min(p.nextChange, s.readyAgainAt(now))
	}
}

// readyAgainAt returns the earliest time after now at which a server may be ready without another event.
func (s *server) readyAgainAt(now time.Duration) time.Duration {
	at := endOfTime
	for _, until := range [...]time.Duration{s.ColdUntil, s.process.ColdUntil(), s.suspectUntil, s.silentUntil} {
		if until > now {
			at = min(at, until)
		}
	}
	return at
}

func (p *pool) removeSpecial(s *server) {
	last := p.special[len(p.special)-1]
	p.special[s.specialIndex], last.specialIndex = last, s.specialIndex
	p.special = p.special[:len(p.special)-1]
	s.specialIndex = noIndex
}

func (p *pool) pushReady(s *server) {
	p.readySlots += s.Slots
	p.readyFlows += s.flows
	s.readySlots = s.Slots
	s.updateExpected()
	p.ready.Push(s)
}

func (p *pool) removeReady(s *server) {
	p.readySlots -= s.readySlots
	p.readyFlows -= s.flows
	p.ready.Remove(s.readyIndex)
	s.readyIndex = noIndex
}

// flowsChanged restores the order of the heap after the number of a server's flows has changed by n.
func (p *pool) flowsChanged(s *server, n int) {
	if s.readyIndex != noIndex {
		p.readyFlows += n
		p.ready.Fix(s.readyIndex)
	}
}

// Before reports whether s gets a new flow before other: it has less expected work, where that counts, or fewer flows per
// slot, or as many and its last turn is longer ago.
func (s *server) Before(other *server) bool {
	if s.expected != other.expected {
		return s.expected < other.expected
	}
	a, b := (s.flows+1)*other.readySlots, (other.flows+1)*s.readySlots
	return a < b || a == b && s.turn < other.turn
}

// SetHeapIndex implements work.Element.
func (s *server) SetHeapIndex(i int) { s.readyIndex = i }

// leastLoaded returns the ready server that comes first and has not failed, or nil.
func (p *pool) leastLoaded(f failed) *server {
	s, _ := p.ready.First(0, f.has)
	return s
}

// updateExpected updates the expected time of a new flow at a server.
func (s *server) updateExpected() {
	s.expected = 0
	if s.pool.byWork {
		s.expected = s.work.Expected(s.readySlots, s.pool.choices)
	}
}

// WorkChanged implements work.Listener.
func (s *server) WorkChanged() {
	if s.pool != nil && s.pool.byWork && s.readyIndex != noIndex {
		s.updateExpected()
		s.pool.ready.Fix(s.readyIndex)
	}
}

// Name implements work.Listener.
func (s *server) Name() string { return s.ID }

// setByWork sets whether the expected work counts.
func (p *pool) setByWork(byWork bool) {
	if p.byWork == byWork {
		return
	}
	p.byWork = byWork
	for _, s := range p.ready {
		s.updateExpected()
	}
	p.ready.Init()
}

// answered records that a server of the pool has answered.
func (p *pool) answered(s *server) {
	if len(p.recent) > 0 && p.recent[0] == s {
		return
	}
	at := slices.Index(p.recent, s)
	if at < 0 {
		if len(p.recent) < recentAnswers {
			p.recent = append(p.recent, nil)
		}
		at = len(p.recent) - 1
	}
	copy(p.recent[1:at+1], p.recent[:at])
	p.recent[0] = s
}

// answeredLast returns the ready server that answered last, within recentAnswerWindow, and has not failed, or nil.
func (p *pool) answeredLast(f failed, now time.Duration) *server {
	for _, s := range p.recent {
		if now-s.lastAnswerAt > recentAnswerWindow {
			return nil
		}
		if s.pool == p && s.readyIndex != noIndex && !f.has(s) {
			return s
		}
	}
	return nil
}

// recordChoice records that a server has been chosen.
func (p *pool) recordChoice(s *server, turn uint64) {
	s.turn = turn
	p.choices++
	if s.readyIndex != noIndex {
		s.work.Chosen(p.choices, len(p.ready))
		p.ready.Fix(s.readyIndex)
	}
}
