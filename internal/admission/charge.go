package admission

import (
	"net/netip"
	"time"
)

// RecordAdmitted records the flows that this host admitted since the last call. The
// caller empties the budgets first, so that none is admitted between the two.
// Without this call every granted flow counts as admitted until the next
// Charged.
func (s *State) RecordAdmitted(now time.Time, counts map[netip.AddrPort]int) {
	for addr, n := range counts {
		if s.backends[addr] == nil {
			countDropped(dropUnknownBackend)
			continue
		}
		s.backends[addr].since += max(n, 0)
	}
	for _, b := range s.backends {
		b.granted, b.unreported = 0, 0
	}
}

// StartSweep announces a sweep whose result a later Charged reports. Flows
// admitted after it count in addition to that result. A caller that never
// calls it vouches that its sweeps are atomic.
func (s *State) StartSweep(now time.Time) {
	s.sweeping = true
	for _, g := range s.groups {
		g.freshSweep = true
	}
	for _, b := range s.backends {
		b.mark = b.since
	}
}

// RecordCharged records the number of flow table entries per backend server whose
// bucket's primary is this host. Backend servers that are missing have none.
func (s *State) RecordCharged(now time.Time, counts map[netip.AddrPort]int) {
	for _, g := range s.groups {
		if s.sweeping && !g.freshSweep {
			continue // the buckets changed during the sweep
		}
		moving := g.awaitSweep
		g.awaitSweep = false
		for _, b := range g.order {
			s.setCharged(now, b, max(counts[b.addr], 0), moving)
		}
		g.handedOver = g.handedOver || moving
		s.advance(now, g)
	}
}

func (s *State) setCharged(now time.Time, b *backend, n int, moving bool) {
	before := b.counted()
	b.charged = n
	b.unreported = 0
	if s.sweeping {
		b.since -= b.mark
	} else {
		b.since = 0
	}
	b.mark = 0
	lost := max(before-(b.counted()-b.granted), 0)
	switch {
	case moving && b.group.handedOver:
		b.retain(now, lost) // members have seen what this view hands over
	case moving:
		s.moveCharges(now, b, lost)
	}
	b.replaceRetained(n - before)
}

// counted is the number of flows that the last sweep found or that may have
// been admitted since.
func (b *backend) counted() int {
	return b.charged + b.since + b.unreported + b.granted
}

// occupied is the part of the allowance that this host cannot admit to.
func (b *backend) occupied(now time.Time) int {
	return b.counted() + b.retainedFlows(now) + b.lentFlows()
}

// moveCharges hands charges over after a change of the buckets. lost is the
// number of flows that are not counted here any more. As much of them as this
// host's part falls goes to the hosts that gained the buckets, and the rest
// stays charged here. What exceeds the new part and the loans goes to them in
// any case: they leave that much of their own parts unused.
func (s *State) moveCharges(now time.Time, b *backend, lost int) {
	level, _ := s.level(now, b)
	share := b.group.view.apportion(s.self, b.key, level)
	drop := max(b.group.prior.part(s.self, b.key, level)-share, 0)
	excess := b.occupied(now) + lost - share - b.heldLoans()
	b.moved = max(min(lost, drop), excess, 0)
	b.retain(now, lost-b.moved)
}

// keepMoved takes back the charges that an unconfirmed view handed over.
// Members that accepted them keep them too.
func (b *backend) keepMoved(now time.Time) {
	b.retain(now, b.moved)
	b.moved = 0
}

func (b *backend) retain(now time.Time, flows int) {
	if flows > 0 {
		b.retained = append(b.retained, retention{flows: flows, until: now.Add(b.group.flowIdle)})
	}
}

// retainedFlows sums the retained charges and drops those of idle flows.
func (b *backend) retainedFlows(now time.Time) int {
	sum, kept := 0, b.retained[:0]
	for _, r := range b.retained {
		if r.flows > 0 && now.Before(r.until) {
			kept = append(kept, r)
			sum += r.flows
		}
	}
	b.retained = kept
	return sum
}

// replaceRetained removes retained charges for flows that are counted now and
// were not admitted here: refreshes brought their entries.
func (b *backend) replaceRetained(flows int) {
	for i := range b.retained {
		if flows <= 0 {
			return
		}
		n := min(flows, b.retained[i].flows)
		b.retained[i].flows -= n
		flows -= n
	}
}
