package admission

import "time"

// setView starts a handover when the bucket counts change. A smaller share takes
// effect at once, a larger one when every member has confirmed the view.
func (s *State) setView(now time.Time, g *group, v *view, lost int) {
	own := v.buckets(s.self)
	if !g.awaitSweep {
		g.priorLimits = g.limits()
	}
	if lost > 0 || own < g.view.buckets(s.self) {
		g.awaitSweep, g.freshSweep = true, false
	}
	if g.view != nil && g.view.epoch == v.epoch {
		return
	}
	g.skippedView = !g.complete
	if g.complete {
		g.base, g.minBuckets = g.view, g.view.buckets(s.self)
	}
	g.minBuckets = min(g.minBuckets, own)
	g.view, g.complete, g.changedAt = v, false, now
	for _, b := range g.order {
		b.shareLevel = -1
		b.retainUnconfirmed(now)
		if !g.awaitSweep {
			s.moveCharges(now, b, 0)
		}
	}
	g.movedFinal = !g.awaitSweep
	s.setMembers(now, g)
	s.advance(now, g)
}

// setMembers starts the exchange of reports with the members of the new view.
// The charges of hosts that left are retained by the hosts that gained their
// buckets.
func (s *State) setMembers(now time.Time, g *group) {
	old := g.members
	g.members = make(map[string]*member, len(g.view.hosts))
	for i := range g.view.hosts {
		id := g.view.hosts[i].id
		if id == s.self {
			continue
		}
		p := old[id]
		if p == nil {
			p = newMember()
		}
		p.restart()
		g.members[id] = p
		delete(old, id)
	}
	for id, p := range old {
		s.retainDeparted(now, g, p)
		for _, b := range g.order {
			delete(b.lent, id) // its charges include the flows on its loans
		}
	}
}

// retainDeparted retains this host's part of the charges that a departed host
// reported last.
func (s *State) retainDeparted(now time.Time, g *group, p *member) {
	for _, b := range g.order {
		s.retainPart(now, b, p.rows[b.addr].charged)
	}
}

// retainMoved retains this host's part of the charges that a member handed over.
// base is the epoch of the member's last confirmed view. If it differs from that
// of this host, or if an unconfirmed view in between may have handed charges
// over, the two hosts may compute different parts; this host then retains the
// whole charge if it gained buckets.
func (s *State) retainMoved(now time.Time, g *group, p *member, base uint32) {
	gains := g.view.buckets(s.self) > g.minBuckets
	whole := gains && (g.base.digest() != base || g.skippedView)
	for _, b := range g.order {
		if whole {
			b.retain(now, p.rows[b.addr].moved)
			continue
		}
		s.retainPart(now, b, p.rows[b.addr].moved)
	}
}

// retainPart retains this host's part of flows that other hosts no longer count,
// in proportion to its gain in the view.
func (s *State) retainPart(now time.Time, b *backend, flows int) {
	if flows == 0 {
		return
	}
	level, _ := s.level(now, b)
	num, den := b.group.view.gain(b.group.base, s.self, b.key, level)
	if num > 0 {
		b.retain(now, ceilDiv(flows*num, den))
	}
}

// advance completes the handover when every member has confirmed the view.
// A member that has not confirmed it after HandoverTimeout counts as departed.
func (s *State) advance(now time.Time, g *group) {
	if g.complete || g.awaitSweep {
		return
	}
	timedOut := now.Sub(g.changedAt) >= s.cfg.HandoverTimeout
	for _, p := range g.members {
		if !p.confirmed && !timedOut {
			return
		}
	}
	for _, p := range g.members {
		if !p.confirmed && !p.movedApplied {
			countHandover(handoverTimeout)
			s.retainDeparted(now, g, p)
		}
		p.confirmed, p.movedApplied = true, true
	}
	countHandover(handoverComplete)
	g.base, g.minBuckets, g.complete = g.view, g.view.buckets(s.self), true
	for _, b := range g.order {
		b.moved, b.shareLevel = 0, -1
	}
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
