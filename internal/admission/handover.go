package admission

import "time"

// setView starts a handover when the bucket counts change. Own losses take
// effect at once; own gains wait until every member has confirmed the view.
func (s *State) setView(now time.Time, g *group, v *view, lost int) {
	mine := v.buckets(s.self)
	if !g.awaitSweep {
		g.prior = g.limits()
	}
	if lost > 0 || mine < g.view.buckets(s.self) {
		g.awaitSweep, g.freshSweep = true, false
	}
	if g.view != nil && g.view.epoch == v.epoch {
		return
	}
	g.skipped = !g.complete
	if g.complete {
		g.base, g.least = g.view, g.view.buckets(s.self)
	}
	g.least = min(g.least, mine)
	g.view, g.complete, g.changed = v, false, now
	for _, b := range g.order {
		b.shareLevel = -1
		b.keepMoved(now)
		if !g.awaitSweep {
			s.moveCharges(now, b, 0)
		}
	}
	g.handedOver = !g.awaitSweep
	s.setPeers(now, g)
	s.advance(now, g)
}

// setPeers starts the exchange with the members of the new view. What hosts
// that are gone had charged stays charged at those that took their buckets.
func (s *State) setPeers(now time.Time, g *group) {
	old := g.peers
	g.peers = make(map[string]*member, len(g.view.hosts))
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
		g.peers[id] = p
		delete(old, id)
	}
	for id, p := range old {
		s.retainGone(now, g, p)
		for _, b := range g.order {
			delete(b.lent, id) // its charges include the flows on loans
		}
	}
}

// retainGone charges this host's part of the last reported charges of a host
// that cannot report them any more.
func (s *State) retainGone(now time.Time, g *group, p *member) {
	for _, b := range g.order {
		s.retainPart(now, b, p.rows[b.addr].charged)
	}
}

// retainMoved charges this host's part of what a member handed over. The parts
// cannot be compared when the two hosts do not start from the same confirmed
// view, or when a view in between may have handed charges over; this host then
// retains the whole charge if it gains buckets.
func (s *State) retainMoved(now time.Time, g *group, p *member, base uint32) {
	gains := g.view.buckets(s.self) > g.least
	whole := gains && (g.base.digest() != base || g.skipped)
	for _, b := range g.order {
		if whole {
			b.retain(now, p.rows[b.addr].moved)
			continue
		}
		s.retainPart(now, b, p.rows[b.addr].moved)
	}
}

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
// A member that stays silent for HandoverTimeout counts as gone.
func (s *State) advance(now time.Time, g *group) {
	if g.complete || g.awaitSweep {
		return
	}
	held := now.Sub(g.changed) >= s.cfg.HandoverTimeout
	for _, p := range g.peers {
		if !p.confirmed && !held {
			return
		}
	}
	for _, p := range g.peers {
		if !p.confirmed && !p.movedSeen {
			countHandover(handoverTimeout)
			s.retainGone(now, g, p)
		}
		p.confirmed, p.movedSeen = true, true
	}
	countHandover(handoverComplete)
	g.base, g.least, g.complete = g.view, g.view.buckets(s.self), true
	for _, b := range g.order {
		b.moved, b.shareLevel = 0, -1
	}
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
