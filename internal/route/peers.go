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
		return q.forwardCommand(h)
	case packet.KindReset:
		return r.handleReset(&q, h)
	case packet.KindAnswer:
		return r.handleAnswer(&q, h)
	}
	if !h.Choice.Addr.IsValid() {
		return drop(ReasonBadKind)
	}
	switch h.Kind {
	case packet.KindPropose:
		return r.handlePropose(&q, h)
	case packet.KindRefresh:
		if q.isOrigin(h) && !secondary {
			return q.sendUnstored(h) // returned by a primary that could not store the choice
		}
		return r.handleRefresh(&q, h, secondary)
	case packet.KindConflict:
		return r.handleConflict(&q, h)
	}
	return drop(ReasonBadKind)
}

// primaryLookup handles a lookup that was sent to this host as the primary. If
// another host is the primary in this host's view, which may be newer than the
// sender's, it answers from its own entry or else forwards the packet to that
// primary, once.
func (r *Router) primaryLookup(q *query, h *packet.ForwardHeader) Action {
	primary := q.primary()
	if primary == q.s.SelfIndex || h.Sender != h.Origin || !q.available(primary) || q.s.Hosts[primary].Peer == h.Origin {
		return r.primary(q, h)
	}
	e, b, _ := r.lookup(q)
	if b != nil && e.State >= flow.Settled && !q.reopens(&e) && !q.closes() {
		return q.answer(h, &e, b)
	}
	return q.forwardTo(h, primary, packet.KindLookup, packet.Choice{})
}

// secondaryLookup handles a lookup of a flow that the primary has no entry of.
// The answer goes through the primary, so that it stores the choice too.
func (r *Router) secondaryLookup(q *query, h *packet.ForwardHeader) Action {
	e, b, reason := r.lookup(q)
	if q.flowEnded(&e, reason) {
		return resetOrDrop(q.info, reason)
	}
	if b == nil || e.State == flow.Guess {
		return r.handleUnknownFlow(q, h)
	}
	if q.resumes(&e) {
		e = r.reopen(q, e, e.Epoch)
	}
	if h.Sender != h.Origin {
		return q.forward(h, h.Sender, packet.KindAnswer, q.agreedChoice(&e))
	}
	return q.answer(h, &e, b)
}

// handlePropose decides as the secondary owner: the stronger of its own entry
// and the proposal takes precedence, and its own on a tie. The answer to a
// proposal that is already stored, or that moves a reopened flow, goes through
// the primary and settles the primary's entry. The primary does not settle its
// entry after a time, because the proposal may have gone to a dead host.
func (r *Router) handlePropose(q *query, h *packet.ForwardHeader) Action {
	b, _ := q.checkChoice(&h.Choice)
	if _, own, _ := r.lookup(q); b == nil && own == nil {
		// The proposer's documents are newer or older than this host's. The arrival
		// host checks the choice itself.
		return q.sendUnstored(h)
	}
	var e flow.Entry
	result := flow.Kept
	if b != nil {
		e, result = r.putOrReopen(q, q.chosen(&h.Choice, b, stateOf(&h.Choice)))
	} else {
		e, _ = r.Table.Peek(q.key, q.hash)
	}
	b, reason := q.checkEntry(&e)
	if b == nil {
		return drop(reason)
	}
	if e.AddrPort() != h.Choice.Addr && h.Sender != q.s.SelfPeer {
		return q.forward(h, h.Sender, packet.KindConflict, q.choice(&e, 0))
	}
	moved := h.Choice.Flags&packet.FlagProven != 0
	if (result == flow.Kept || moved) && h.Sender != h.Origin && h.Sender != q.s.SelfPeer {
		return q.forward(h, h.Sender, packet.KindAnswer, q.agreedChoice(&e))
	}
	return q.answer(h, &e, b)
}

// handleConflict stores the secondary owner's entry instead of this host's proposal
// and returns the packet to the arrival host.
func (r *Router) handleConflict(q *query, h *packet.ForwardHeader) Action {
	b, _ := q.checkChoice(&h.Choice)
	// This host's proposal must not settle, even if it belongs to a later
	// connection or this host's documents are older than the secondary's.
	e, ok := r.Table.Peek(q.key, q.hash)
	if ok && (e.State <= flow.Tentative || b == nil && e.State <= stateOf(&h.Choice)) {
		r.Table.DeleteIf(q.key, q.hash, e)
	}
	if b == nil {
		return q.sendUnstored(h)
	}
	return r.storeChoice(q, h, b, stateOf(&h.Choice))
}

// handleAnswer handles the owners' answer at the arrival host, or at the primary
// on its way there.
func (r *Router) handleAnswer(q *query, h *packet.ForwardHeader) Action {
	if !h.Choice.Addr.IsValid() {
		return r.handleUnknownFlow(q, h)
	}
	b, reason := q.checkChoice(&h.Choice)
	if b == nil {
		return q.handleUnusable(h, reason)
	}
	return r.storeChoice(q, h, b, max(flow.Settled, stateOf(&h.Choice)))
}

// storeChoice stores a choice that the owners agreed on and forwards the packet
// with the entry that this host holds afterwards.
func (r *Router) storeChoice(q *query, h *packet.ForwardHeader, chosen *Backend, state flow.State) Action {
	e := r.storeAgreed(q, q.chosen(&h.Choice, chosen, state))
	b, reason := q.checkEntry(&e)
	if b == nil {
		return drop(reason)
	}
	return q.answer(h, &e, b)
}

// sendUnstored forwards a packet according to the choice in its header, which
// this host does not store.
func (q *query) sendUnstored(h *packet.ForwardHeader) Action {
	if !q.isOrigin(h) {
		c := h.Choice
		c.Flags &^= packet.FlagTentative | packet.FlagSecondary
		return q.forward(h, h.Origin, packet.KindAnswer, c)
	}
	b, reason := q.checkChoice(&h.Choice)
	if b == nil {
		return q.handleUnusable(h, reason)
	}
	return toBackend(b)
}

// handleUnusable handles a choice that fails this host's check. If its backend
// server is unknown, the choice may be newer than this host's documents, so the
// caller is not reset: a retransmission will find newer documents.
func (q *query) handleUnusable(h *packet.ForwardHeader, reason Reason) Action {
	if !q.isOrigin(h) {
		return q.forward(h, h.Origin, packet.KindAnswer, h.Choice)
	}
	if q.opens() || reason == ReasonBackendRemoved || reason == ReasonAddressReassigned {
		return drop(ReasonUnknownBackend)
	}
	return resetOrDrop(q.info, reason)
}

// handleRefresh stores the choice of an established flow as an owner. A SYN may
// open a new connection, which the sender's entry does not cover: unless this
// host has an entry of the flow, the flow is admitted again. A cached choice
// yields to this host's entry, and a choice of an earlier connection yields to
// an entry of a later one.
func (r *Router) handleRefresh(q *query, h *packet.ForwardHeader, secondary bool) Action {
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
	case !secondary && known && (older || q.yields(h, &chosen, &own) && (differs || q.reopens(&own))):
		return r.primary(q, h)
	case older && q.storedByPrimary(h):
		return q.forward(h, h.Sender, packet.KindConflict, q.agreedChoice(&own))
	case secondary && known && differs && !q.info.SYN() && q.yields(h, &chosen, &own):
		return q.answer(h, &own, ownBackend)
	}
	return r.storeRefreshed(q, h, chosen, secondary)
}

// yields reports whether a refreshed choice does not take precedence over this
// host's own entry.
func (q *query) yields(h *packet.ForwardHeader, chosen, own *flow.Entry) bool {
	if q.info.SYN() {
		return true
	}
	cached := own.Closing && own.AddrPort() != h.Choice.Addr || h.Choice.Flags&packet.FlagCached != 0
	return cached && !own.Older(chosen)
}

// storedByPrimary reports whether the primary has stored the choice that this
// host, as the secondary, is asked to store.
func (q *query) storedByPrimary(h *packet.ForwardHeader) bool {
	secondary := h.Choice.Flags&packet.FlagSecondary != 0
	return secondary && h.Sender != h.Origin && h.Sender != q.s.SelfPeer
}

// storeRefreshed stores a refreshed choice unless a stronger entry exists, and
// passes the packet to the other owner or back to the arrival host.
func (r *Router) storeRefreshed(q *query, h *packet.ForwardHeader, chosen flow.Entry, secondary bool) Action {
	e, _ := r.putOrReopen(q, chosen)
	b, reason := q.checkEntry(&e)
	if b == nil {
		return drop(reason)
	}
	if e.AddrPort() != h.Choice.Addr && q.storedByPrimary(h) {
		return q.forward(h, h.Sender, packet.KindConflict, q.choice(&e, 0))
	}
	arbiter, present := q.arbiter()
	if secondary || !present || q.s.Hosts[arbiter].Peer == h.Origin {
		return q.answer(h, &e, b)
	}
	flags := packet.FlagSecondary | h.Choice.Flags&packet.FlagCached
	return q.forwardTo(h, arbiter, packet.KindRefresh, q.choice(&e, flags))
}
