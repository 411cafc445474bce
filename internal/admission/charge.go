package admission

import (
	"net/netip"
	"time"
)

// RecordAdmitted records the flows that this host admitted since the last call,
// by backend server. The caller first takes back the unused budgets, so that no
// flow is admitted between the count and this call. Without this call, the whole
// budget counts as admitted until the next call of RecordCharged.
func (s *State) RecordAdmitted(now time.Time, counts map[netip.AddrPort]int) {
	for addr, n := range counts {
		if s.backends[addr] == nil {
			countDropped(dropUnknownBackend)
			continue
		}
		s.backends[addr].admittedSinceSweep += max(n, 0)
	}
	for _, b := range s.backends {
		b.granted, b.unreported = 0, 0
	}
}

// StartSweep marks the start of a sweep of the flow table. The result is passed
// to RecordCharged later. Flows admitted after StartSweep are added to that
// result. A caller may omit all calls only if its sweeps are atomic.
func (s *State) StartSweep(now time.Time) {
	s.sweeping = true
	for _, g := range s.groups {
		g.freshSweep = true
	}
	for _, b := range s.backends {
		b.admittedBeforeSweep = b.admittedSinceSweep
	}
}

// RecordCharged records the result of a sweep: for each backend server, the
// number of flow table entries in buckets that this host is primary owner of.
// Backend servers that are not in counts have none.
func (s *State) RecordCharged(now time.Time, counts map[netip.AddrPort]int) {
	for _, g := range s.groups {
		if s.sweeping && !g.freshSweep {
			continue // the buckets changed after the sweep started
		}
		moving := g.awaitSweep
		g.awaitSweep = false
		for _, b := range g.order {
			s.setCharged(now, b, max(counts[b.addr], 0), moving)
		}
		g.movedFinal = g.movedFinal || moving
		s.advance(now, g)
	}
}

func (s *State) setCharged(now time.Time, b *backend, n int, moving bool) {
	before := b.counted()
	b.charged = n
	b.unreported = 0
	if s.sweeping {
		b.admittedSinceSweep -= b.admittedBeforeSweep
	} else {
		b.admittedSinceSweep = 0
	}
	b.admittedBeforeSweep = 0
	lost := max(before-(b.counted()-b.granted), 0)
	switch {
	case moving && b.group.movedFinal:
		b.retain(now, lost) // moved is final for this view
	case moving:
		s.moveCharges(now, b, lost)
	}
	b.reduceRetained(n - before)
}

// counted returns the number of flows that the last sweep found plus those that
// may have been admitted since.
func (b *backend) counted() int {
	return b.charged + b.admittedSinceSweep + b.unreported + b.granted
}

// occupied returns the part of the allowance that is not available to new flows
// of this host: its counted flows, retained charges and loans to others.
func (b *backend) occupied(now time.Time) int {
	return b.counted() + b.retainedFlows(now) + b.lentFlows()
}

// moveCharges hands charges over to other hosts after a change of the buckets.
// lost is the number of flows that are no longer counted at this host. Of these,
// at most the decrease of this host's share moves to the hosts that gained the
// buckets; the rest stays charged here. Charges in excess of the new share and
// the loans always move: the gaining hosts leave that much of their own shares
// unused.
func (s *State) moveCharges(now time.Time, b *backend, lost int) {
	level, _ := s.level(now, b)
	share := b.group.view.apportion(s.self, b.key, level)
	drop := max(b.group.priorLimits.part(s.self, b.key, level)-share, 0)
	excess := b.occupied(now) + lost - share - b.heldLoans()
	b.moved = max(min(lost, drop), excess, 0)
	b.retain(now, lost-b.moved)
}

// retainUnconfirmed charges this host again with the flows that it handed over
// in a view that was not confirmed. Members that already accepted those charges
// keep them as well, so that they are counted twice rather than not at all.
func (b *backend) retainUnconfirmed(now time.Time) {
	b.retain(now, b.moved)
	b.moved = 0
}

// retain keeps flows charged that are not counted. The charge expires after the
// service's flow_idle, when those flows have ended or were refreshed.
func (b *backend) retain(now time.Time, flows int) {
	if flows > 0 {
		b.retained = append(b.retained, retention{flows: flows, until: now.Add(b.group.flowIdle)})
	}
}

// retainedFlows returns the sum of the retained charges and removes expired ones.
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

// reduceRetained reduces the retained charges by flows that are now counted but
// were not admitted by this host: refreshes created their flow table entries.
func (b *backend) reduceRetained(flows int) {
	for i := range b.retained {
		if flows <= 0 {
			return
		}
		n := min(flows, b.retained[i].flows)
		b.retained[i].flows -= n
		flows -= n
	}
}
