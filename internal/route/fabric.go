package route

import (
	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// FromFabric decides about a caller's packet that arrived at this host from the
// fabric.
func (r *Router) FromFabric(s *Snapshot, info *packet.Info, now Time) Action {
	if !s.Serving {
		return drop(ReasonNotServing)
	}
	addr := destination(info.Key)
	svc := s.Services.Get(addr)
	if svc == nil {
		return drop(ReasonNoService)
	}
	q := newQuery(s, svc, info, info.Key, now)
	h := q.originHeader()
	if addr == svc.CommandAddr {
		return q.forwardCommand(&h)
	}
	e, b, reason := r.lookup(&q)
	if q.flowEnded(&e, reason) {
		return resetOrDrop(info, reason)
	}
	if b == nil || e.State == flow.Guess || q.reopens(&e) {
		return r.forwardLookup(&q, &h)
	}
	return r.useEntry(&q, &h, &e, b)
}

// useEntry sends a packet to the backend server of this host's entry, by way of
// the owners when their entries must be refreshed.
func (r *Router) useEntry(q *query, h *packet.ForwardHeader, e *flow.Entry, b *Backend) Action {
	self := q.s.SelfIndex
	owner := self == q.primary() || self == q.secondary()
	if e.State == flow.Tentative && self == q.primary() {
		return r.primary(q, h)
	}
	if e.Closing {
		return r.refreshClosing(q, h, e, b)
	}
	reopened := q.info.SYN() && !owner
	if !reopened && !q.refreshDue(e) {
		return toBackend(b)
	}
	other, flags := q.otherOwner()
	if !owner && e.Epoch == q.epoch() && q.key.Proto == packet.ProtoTCP {
		flags |= packet.FlagCached
	}
	refreshed := *e
	refreshed.RefreshedAt = q.now.milliseconds()
	if !q.available(other) {
		if other == NoHost {
			refreshed.Epoch = q.epoch()
		}
		r.Table.Update(q.key, q.hash, *e, refreshed)
		return toBackend(b)
	}
	// The owners may admit the new connection to another backend server. Their
	// answer then replaces this entry, because it is marked as closing.
	refreshed.Closing = reopened
	r.Table.Update(q.key, q.hash, *e, refreshed)
	return q.forwardTo(h, other, packet.KindRefresh, q.choice(e, flags))
}

// forwardLookup forwards a packet without an entry to its primary owner, or to
// the secondary when the primary is not available. It decides as the primary
// when this host is the primary or no owner is available.
func (r *Router) forwardLookup(q *query, h *packet.ForwardHeader) Action {
	for _, owner := range q.svc.owned(q.bucket).hosts {
		if owner == q.s.SelfIndex {
			break
		}
		if q.available(owner) {
			return q.forwardTo(h, owner, packet.KindLookup, packet.Choice{})
		}
	}
	return r.primary(q, h)
}

// arbiter returns the secondary owner, which decides about proposals of new
// flows, and whether it is another host that is available.
func (q *query) arbiter() (uint16, bool) {
	other := q.secondary()
	return other, q.available(other)
}

// suspectOwner returns the other owner of a UDP flow without an entry if that
// owner is suspect. It is asked nevertheless, because a packet of a flow that
// only it has an entry of looks like a first packet. Admitting the flow again
// would break it, while a lost packet is retransmitted.
func (q *query) suspectOwner() (uint16, bool) {
	for _, owner := range q.svc.owned(q.bucket).hosts {
		if owner != q.s.SelfIndex && q.isSuspect(owner) {
			return owner, q.key.Proto == packet.ProtoUDP
		}
	}
	return NoHost, false
}

// primary decides as the primary owner.
func (r *Router) primary(q *query, h *packet.ForwardHeader) Action {
	e, b, reason := r.lookup(q)
	if q.flowEnded(&e, reason) {
		return resetOrDrop(q.info, reason)
	}
	arbiter, present := q.arbiter()
	if b != nil && e.State != flow.Guess {
		if e.Closing && q.info.SYN() {
			return r.admit(q, h, b)
		}
		resumed := q.resumes(&e)
		if resumed {
			e = r.reopen(q, e, q.replicatedEpoch())
		}
		if e.State == flow.Tentative && present {
			return q.forwardTo(h, arbiter, packet.KindPropose, q.choice(&e, packet.FlagSecondary))
		}
		if present && (resumed || q.closes()) && q.s.Hosts[arbiter].Peer != h.Origin {
			return q.forwardTo(h, arbiter, packet.KindRefresh, q.choice(&e, packet.FlagSecondary))
		}
		return q.answer(h, &e, b)
	}
	if q.opens() {
		return r.admit(q, h, nil)
	}
	if present {
		return q.forwardTo(h, arbiter, packet.KindLookup, packet.Choice{Flags: packet.FlagSecondary})
	}
	return r.handleUnknownFlow(q, h)
}

// chooseBackend returns the backend server for a new flow. If the one that
// served the same addresses and ports before admits flows, it is chosen again,
// because cached entries of other hosts may still name it.
func (r *Router) chooseBackend(q *query, previous *Backend) (*Backend, Refusal) {
	if previous != nil && previous.mayAdmit() && previous.NewFlowBudget.take() {
		return previous, Admitted
	}
	prefer := ""
	if r.PreferLocal {
		prefer = q.s.SelfDC
	}
	return Choose(q.svc, q.hash, prefer)
}

// admit chooses a backend server for a new flow and proposes it to the
// secondary owner.
func (r *Router) admit(q *query, h *packet.ForwardHeader, previous *Backend) Action {
	b, refusal := r.chooseBackend(q, previous)
	if b == nil {
		return drop(refusal.reason())
	}
	e := q.newEntry(b.Addr, b.Instance, flow.Tentative)
	if owner, ok := q.suspectOwner(); ok {
		return q.forwardTo(h, owner, packet.KindPropose, q.choice(&e, packet.FlagSecondary))
	}
	e.Epoch = q.replicatedEpoch()
	e, result := r.Table.Reopen(q.key, q.hash, e)
	if result == flow.Full {
		return drop(ReasonTableFull)
	}
	if result == flow.Kept {
		var reason Reason
		if b, reason = q.checkEntry(&e); b == nil {
			return drop(reason)
		}
	}
	if arbiter, present := q.arbiter(); present {
		c := q.choice(&e, packet.FlagSecondary)
		if previous != nil && b != previous && result == flow.Stored {
			// Takes precedence over cached entries that are proven for the
			// previous backend server.
			c.Flags = c.Flags&^packet.FlagTentative | packet.FlagProven
		}
		return q.forwardTo(h, arbiter, packet.KindPropose, c)
	}
	return q.answer(h, &e, b)
}

// answer returns a packet with its choice to the arrival host, or sends it to
// the backend server when this host is the arrival host.
func (q *query) answer(h *packet.ForwardHeader, e *flow.Entry, b *Backend) Action {
	if q.isOrigin(h) {
		return toBackend(b)
	}
	return q.forward(h, h.Origin, packet.KindAnswer, q.agreedChoice(e))
}

// handleUnknownFlow handles a packet of a flow that no owner has an entry of.
func (r *Router) handleUnknownFlow(q *query, h *packet.ForwardHeader) Action {
	if !q.isOrigin(h) {
		return q.forward(h, h.Origin, packet.KindAnswer, packet.Choice{})
	}
	return r.forwardByGuess(q)
}

// forwardByGuess sends a TCP packet to the backend server that most probably
// serves its flow. When that one answers with a reset, the next one is tried.
func (r *Router) forwardByGuess(q *query) Action {
	if q.opens() {
		return drop(ReasonNoChoice)
	}
	e, b, _ := r.lookup(q)
	if b != nil {
		if q.resumes(&e) {
			r.reopen(q, e, 0)
		}
		return toBackend(b)
	}
	b = firstGuess(q.svc, q.hash)
	if b == nil {
		return drop(ReasonNoCandidate)
	}
	e, result := r.Table.Put(q.key, q.hash, q.newEntry(b.Addr, b.Instance, flow.Guess))
	if result == flow.Kept {
		var reason Reason
		if b, reason = q.checkEntry(&e); b == nil {
			return drop(reason)
		}
	}
	return toBackend(b)
}

// forwardCommand forwards a command to the primary owner of its bucket.
func (q *query) forwardCommand(h *packet.ForwardHeader) Action {
	primary := q.primary()
	if primary == q.s.SelfIndex && primary != NoHost {
		return Action{Kind: ToCommand}
	}
	if primary == NoHost || h.Sender != h.Origin {
		return drop(ReasonNotOwner)
	}
	return q.forwardTo(h, primary, packet.KindCommand, packet.Choice{})
}
