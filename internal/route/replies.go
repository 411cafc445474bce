package route

import (
	"net/netip"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// FromBackend decides about a packet from the backend server at GUE address
// from, on its way to the caller.
func (r *Router) FromBackend(s *Snapshot, from netip.AddrPort, info *packet.Info, now Time) Action {
	if !s.Serving {
		return drop(ReasonNotServing)
	}
	key := info.Key.Reverse()
	addr := destination(key)
	svc := s.Services.Get(addr)
	if svc == nil {
		return drop(ReasonNoService)
	}
	b := s.Backends.Get(from)
	if b == nil {
		return drop(ReasonUnknownBackend)
	}
	if b.Service.Index != svc.Index {
		return drop(ReasonForeignBackend)
	}
	if addr == svc.CommandAddr {
		return Action{Kind: ToCommand, Backend: b}
	}
	q := newQuery(s, svc, info, key, now)
	q.reply = true
	if info.RST() {
		return r.backendReset(&q, b)
	}
	if !b.DataCentreOut && !b.Unusable {
		r.markProven(&q, b)
	}
	if info.Closes() {
		r.closeByBackend(&q, b)
	}
	return Action{Kind: ToCaller, Backend: b}
}

// markProven records that a backend server replied to a flow and thus serves it.
func (r *Router) markProven(q *query, b *Backend) {
	old, ok := r.Table.Get(q.key, q.hash, q.now.seconds())
	same := ok && old.Service == q.svc.Index && old.AddrPort() == b.Addr && old.Instance >= b.Instance
	if same && old.State == flow.Proven {
		return
	}
	e := q.newEntry(b.Addr, b.Instance, flow.Proven)
	e.RefreshedAt -= refreshInterval // makes the next packet refresh the owners' entries
	if same && old.State != flow.Guess {
		e.Epoch, e.RefreshedAt, e.Instance = old.Epoch, old.RefreshedAt, old.Instance
		e.Conn, e.Opened = old.Conn, old.Opened
	}
	if ok && !same {
		r.lookup(q) // removes an entry that is not valid any more
	}
	r.Table.Put(q.key, q.hash, e)
}

// backendReset handles a reset from a backend server. Only the flow's own
// backend server may end the flow. A guessed backend server that sends a reset
// does not serve the flow: it is excluded, and the next one is tried.
func (r *Router) backendReset(q *query, b *Backend) Action {
	e, ok := r.Table.Peek(q.key, q.hash)
	if !ok {
		primary := q.primary()
		if !q.available(primary) {
			return drop(ReasonUnknownFlowReset)
		}
		h := q.originHeader()
		return q.forwardTo(&h, primary, packet.KindReset, packet.Choice{Addr: b.Addr, Instance: b.Instance})
	}
	if e.AddrPort() != b.Addr {
		return drop(ReasonOtherBackendReset)
	}
	if e.State != flow.Guess {
		return r.ownBackendReset(q, e, b)
	}
	next := nextGuess(q.svc, q.hash, b, int(e.Excluded)+1)
	if next == nil {
		r.Table.DeleteIf(q.key, q.hash, e)
		return Action{Kind: ToCaller, Backend: b}
	}
	other := q.newEntry(next.Addr, next.Instance, flow.Guess)
	other.Excluded = e.Excluded + 1
	other.Closing = false // the reset did not end the flow
	r.Table.Update(q.key, q.hash, e, other)
	return drop(ReasonGuessReset)
}

// ownBackendReset handles a reset from the backend server that this host's entry
// names. The entry may be left from an earlier connection with the same
// addresses and ports, so the primary decides, and it learns that way that the
// flow has ended. If the flow was already closing, the reset removes the entry,
// and further packets are looked up at the owners.
func (r *Router) ownBackendReset(q *query, e flow.Entry, b *Backend) Action {
	if e.Closing {
		r.Table.DeleteIf(q.key, q.hash, e)
	} else {
		r.close(q, e)
	}
	primary := q.primary()
	if !q.available(primary) {
		return Action{Kind: ToCaller, Backend: b}
	}
	h := q.originHeader()
	return q.forwardTo(&h, primary, packet.KindReset, packet.Choice{Addr: b.Addr, Instance: b.Instance, Flags: packet.FlagProven})
}

// handleReset sends a reset on to the caller if the owner's entry names the
// backend server that sent it, or if no owner has an entry of the flow and the
// entry of the forwarding host names it.
func (r *Router) handleReset(q *query, h *packet.ForwardHeader) Action {
	if !q.info.RST() {
		return drop(ReasonBadKind)
	}
	e, ok := r.Table.Peek(q.key, q.hash)
	known := ok && e.State != flow.Guess
	arbiter, present := q.arbiter()
	switch {
	case !known && h.Choice.Flags&packet.FlagProven == 0:
		return drop(ReasonUnknownFlowReset)
	case !known && present && h.Choice.Flags&packet.FlagSecondary == 0 && q.s.Hosts[arbiter].Peer != h.Origin:
		h.Choice.Flags |= packet.FlagSecondary
		return q.forwardTo(h, arbiter, packet.KindReset, h.Choice)
	case known && e.AddrPort() != h.Choice.Addr:
		return drop(ReasonOtherBackendReset)
	}
	b, reason := q.checkChoice(&h.Choice)
	if b == nil {
		return drop(reason)
	}
	r.closeByBackend(q, b)
	return Action{Kind: ToCaller, Backend: b}
}
