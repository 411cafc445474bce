package route

import (
	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// FromPeer decides about a packet that another entry host forwarded.
func (r *Router) FromPeer(s *Snapshot, h *packet.ForwardHeader, info *packet.Info, now Time) Action {
	if !s.Serving {
		return drop(ReasonNotServing)
	}
	key := info.Key
	if h.Kind == packet.KindReset {
		key = key.Reverse()
	}
	addr := destination(key)
	svc := s.Services.Get(addr)
	if svc == nil {
		return drop(ReasonNoService)
	}
	if (addr == svc.CommandAddr) != (h.Kind == packet.KindCommand) {
		return drop(ReasonBadKind)
	}
	q := newQuery(s, svc, info, key, now)
	q.reply = h.Kind == packet.KindReset
	secondary := h.Choice.Flags&packet.FlagSecondary != 0
	switch h.Kind {
	case packet.KindLookup:
		if secondary {
			return r.secondaryLookup(&q, h)
		}
		return r.primaryLookup(&q, h)
	case packet.KindCommand:
		return q.command(h)
	case packet.KindReset:
		return r.ownerReset(&q, h)
	case packet.KindAnswer:
		return r.accept(&q, h)
	}
	if !h.Choice.Addr.IsValid() {
		return drop(ReasonBadKind)
	}
	switch h.Kind {
	case packet.KindPropose:
		return r.propose(&q, h)
	case packet.KindRefresh:
		if q.isOrigin(h) && !secondary {
			return q.send(h) // the primary could not store it
		}
		return r.refresh(&q, h, secondary)
	case packet.KindConflict:
		return r.conflict(&q, h)
	}
	return drop(ReasonBadKind)
}

// primaryLookup answers as the primary. A host that is not the primary in its
// own view, which may be newer than the sender's, answers what it knows and
// otherwise forwards to the primary, once.
func (r *Router) primaryLookup(q *query, h *packet.ForwardHeader) Action {
	primary := q.primary()
	if primary == q.s.SelfIndex || h.Sender != h.Origin || !q.available(primary) || q.s.Hosts[primary].Peer == h.Origin {
		return r.primary(q, h)
	}
	e, b, _ := r.lookup(q)
	if b != nil && e.State >= flow.Settled && !q.revives(&e) && !q.closes() {
		return q.answer(h, &e, b)
	}
	return q.forwardTo(h, primary, packet.KindLookup, packet.Choice{})
}

// secondaryLookup answers the primary's question about a flow that it does
// not know. The answer passes the primary, so that it stores the choice too.
func (r *Router) secondaryLookup(q *query, h *packet.ForwardHeader) Action {
	e, b, reason := r.lookup(q)
	if q.endedWith(&e, reason) {
		return ended(q.info, reason)
	}
	if b == nil || e.State == flow.Guess {
		return r.noChoice(q, h)
	}
	if q.resumes(&e) {
		e = r.reopen(q, e, e.Epoch)
	}
	if h.Sender != h.Origin {
		return q.forward(h, h.Sender, packet.KindAnswer, q.agreed(&e))
	}
	return q.answer(h, &e, b)
}

// propose decides as the secondary owner: the stronger of its own entry and
// the proposal wins, and its own on a tie. The answer to a proposal that is
// already stored, or that moves a reopened flow, passes the primary, whose
// entry settles by it. The primary does not settle its entry by time: it may have asked a host that is gone.
func (r *Router) propose(q *query, h *packet.ForwardHeader) Action {
	b, _ := q.checkChoice(&h.Choice)
	if _, own, _ := r.lookup(q); b == nil && own == nil {
		// The proposer's documents are newer or older. The arrival host checks the choice itself.
		return q.send(h)
	}
	var e flow.Entry
	result := flow.Kept
	if b != nil {
		e, result = r.put(q, q.chosen(&h.Choice, b, stateOf(&h.Choice)))
	} else {
		e, _ = r.Table.Peek(q.key, q.hash)
	}
	b, reason := q.check(&e)
	if b == nil {
		return drop(reason)
	}
	if e.AddrPort() != h.Choice.Addr && h.Sender != q.s.SelfPeer {
		return q.forward(h, h.Sender, packet.KindConflict, q.choice(&e, 0))
	}
	moved := h.Choice.Flags&packet.FlagProven != 0
	if (result == flow.Kept || moved) && h.Sender != h.Origin && h.Sender != q.s.SelfPeer {
		return q.forward(h, h.Sender, packet.KindAnswer, q.agreed(&e))
	}
	return q.answer(h, &e, b)
}

// conflict stores the secondary owner's entry instead of this host's proposal
// and returns the packet to the arrival host.
func (r *Router) conflict(q *query, h *packet.ForwardHeader) Action {
	b, _ := q.checkChoice(&h.Choice)
	// The own proposal must not settle, even if it is of a later connection or
	// this host's documents are older than the secondary's.
	e, ok := r.Table.Peek(q.key, q.hash)
	if ok && (e.State <= flow.Tentative || b == nil && e.State <= stateOf(&h.Choice)) {
		r.Table.DeleteIf(q.key, q.hash, e)
	}
	if b == nil {
		return q.send(h)
	}
	return r.store(q, h, b, stateOf(&h.Choice))
}

// accept handles the owners' answer, at the arrival host or at a primary that
// it passes.
func (r *Router) accept(q *query, h *packet.ForwardHeader) Action {
	if !h.Choice.Addr.IsValid() {
		return r.noChoice(q, h)
	}
	b, reason := q.checkChoice(&h.Choice)
	if b == nil {
		return q.unusable(h, reason)
	}
	return r.store(q, h, b, max(flow.Settled, stateOf(&h.Choice)))
}

// store keeps a choice that the owners made and passes the packet on with the
// entry that this host then holds.
func (r *Router) store(q *query, h *packet.ForwardHeader, chosen *Backend, state flow.State) Action {
	e := r.replace(q, q.chosen(&h.Choice, chosen, state))
	b, reason := q.check(&e)
	if b == nil {
		return drop(reason)
	}
	return q.answer(h, &e, b)
}

// send passes a packet on by the choice in its header, which this host does
// not store.
func (q *query) send(h *packet.ForwardHeader) Action {
	if !q.isOrigin(h) {
		c := h.Choice
		c.Flags &^= packet.FlagTentative | packet.FlagSecondary
		return q.forward(h, h.Origin, packet.KindAnswer, c)
	}
	b, reason := q.checkChoice(&h.Choice)
	if b == nil {
		return q.unusable(h, reason)
	}
	return toBackend(b)
}

// unusable handles a choice that fails the check here. A choice that is
// unknown here may be newer than this host's documents, so that the caller is
// not reset; a retransmission finds newer documents.
func (q *query) unusable(h *packet.ForwardHeader, reason Reason) Action {
	if !q.isOrigin(h) {
		return q.forward(h, h.Origin, packet.KindAnswer, h.Choice)
	}
	if q.opens() || reason == ReasonBackendRemoved || reason == ReasonAddressReassigned {
		return drop(ReasonUnknownBackend)
	}
	return ended(q.info, reason)
}

// refresh stores the choice of an established flow as an owner. A SYN may open
// a new connection, of which the sender's entry says nothing: unless the flow
// is known here, it is admitted again. A cached choice yields to an own entry,
// and one of an earlier connection to that of a later one.
func (r *Router) refresh(q *query, h *packet.ForwardHeader, secondary bool) Action {
	b, _ := q.checkChoice(&h.Choice)
	if b == nil {
		return q.forward(h, h.Origin, packet.KindRefresh, h.Choice)
	}
	chosen := q.chosen(&h.Choice, b, stateOf(&h.Choice))
	own, ownBackend, _ := r.lookup(q) // removes an entry that is not valid any more
	known := ownBackend != nil && own.State != flow.Guess
	differs := own.AddrPort() != h.Choice.Addr
	older := known && chosen.Older(&own)
	switch {
	case !secondary && q.info.SYN() && !known:
		return r.admit(q, h, b)
	case !secondary && known && (older || q.yields(h, &chosen, &own) && (differs || q.revives(&own))):
		return r.primary(q, h)
	case older && q.storedBefore(h):
		return q.forward(h, h.Sender, packet.KindConflict, q.agreed(&own))
	case secondary && known && differs && !q.info.SYN() && q.yields(h, &chosen, &own):
		return q.answer(h, &own, ownBackend)
	}
	return r.storeRefreshed(q, h, chosen, secondary)
}

// yields reports whether a refreshed choice has no precedence over an own entry.
func (q *query) yields(h *packet.ForwardHeader, chosen, own *flow.Entry) bool {
	if q.info.SYN() {
		return true
	}
	cached := own.Closing && own.AddrPort() != h.Choice.Addr || h.Choice.Flags&packet.FlagCached != 0
	return cached && !own.Older(chosen)
}

// storedBefore reports whether the primary has stored the choice that this
// host, as the secondary, is asked to store.
func (q *query) storedBefore(h *packet.ForwardHeader) bool {
	secondary := h.Choice.Flags&packet.FlagSecondary != 0
	return secondary && h.Sender != h.Origin && h.Sender != q.s.SelfPeer
}

// storeRefreshed stores a refreshed choice unless a stronger entry exists, and
// passes the packet to the other owner or back to the arrival host.
func (r *Router) storeRefreshed(q *query, h *packet.ForwardHeader, chosen flow.Entry, secondary bool) Action {
	e, _ := r.put(q, chosen)
	b, reason := q.check(&e)
	if b == nil {
		return drop(reason)
	}
	if e.AddrPort() != h.Choice.Addr && q.storedBefore(h) {
		return q.forward(h, h.Sender, packet.KindConflict, q.choice(&e, 0))
	}
	arbiter, present := q.arbiter()
	if secondary || !present || q.s.Hosts[arbiter].Peer == h.Origin {
		return q.answer(h, &e, b)
	}
	flags := packet.FlagSecondary | h.Choice.Flags&packet.FlagCached
	return q.forwardTo(h, arbiter, packet.KindRefresh, q.choice(&e, flags))
}
