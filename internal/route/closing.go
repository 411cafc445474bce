package route

import (
	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// lateDataWindow is the distance before the end of a closing flow within which
// data counts as delayed or retransmitted: one full TCP window of the maximum
// size that common stacks use.
const lateDataWindow = 1 << 20 // bytes

// closes reports whether the packet is a FIN or reset from the caller.
func (q *query) closes() bool { return !q.reply && q.info.Closes() }

// endSeq returns the caller's sequence number after its data: for a reply, the
// acknowledged one.
func (q *query) endSeq() uint32 {
	if q.reply {
		return q.info.Ack
	}
	return q.info.End()
}

// resumes reports whether the packet shows that a closing flow continues: it
// has data beyond the end that the FIN announced. Data from before the FIN that
// arrives late does not count, because it would keep the flow charged until it
// is idle. When the entry was last refreshed more than ClosingIdleSeconds ago,
// any data counts.
func (q *query) resumes(e *flow.Entry) bool {
	if !e.Closing || q.reply || q.info.PayloadLen == 0 || q.info.Closes() {
		return false
	}
	late := e.End-q.info.End() < lateDataWindow
	age := q.now.milliseconds() - e.RefreshedAt
	return !late || age > flow.ClosingIdleSeconds*1000
}

// reopens reports whether the packet turns a closing flow into an open one: it
// opens a new connection, or it shows that the FIN was not the caller's.
func (q *query) reopens(e *flow.Entry) bool {
	return e.Closing && (q.info.SYN() || q.resumes(e))
}

// close marks an entry as closing. RefreshedAt is backdated, so that the next
// packet that closes the flow is forwarded to the owners without delay.
func (r *Router) close(q *query, e flow.Entry) flow.Entry {
	closing := e
	closing.Closing, closing.End = true, q.endSeq()
	closing.RefreshedAt = q.now.milliseconds() - refreshInterval
	if r.Table.Update(q.key, q.hash, e, closing) {
		return closing
	}
	return e
}

// reopen marks an entry as open. With epoch 0, the next packet of the flow after
// refreshInterval refreshes the entry at the owners.
func (r *Router) reopen(q *query, e flow.Entry, epoch uint16) flow.Entry {
	open := e
	open.Closing, open.End = false, 0
	open.RefreshedAt, open.Epoch = q.now.milliseconds(), epoch
	if r.Table.Update(q.key, q.hash, e, open) {
		return open
	}
	return e
}

// putOrReopen stores a choice as an owner. With a packet that reopens the flow,
// the choice also replaces a closing entry.
func (r *Router) putOrReopen(q *query, e flow.Entry) (flow.Entry, flow.PutResult) {
	if old, ok := r.Table.Peek(q.key, q.hash); ok && q.reopens(&old) {
		return r.Table.Reopen(q.key, q.hash, e)
	}
	return r.Table.Put(q.key, q.hash, e)
}

// storeAgreed stores a choice that the owners agreed on. It also replaces an
// entry of the same state.
func (r *Router) storeAgreed(q *query, e flow.Entry) flow.Entry {
	held, result := r.putOrReopen(q, e)
	if result == flow.Kept {
		held, _ = r.Table.Replace(q.key, q.hash, e)
	}
	return held
}

// closingRefreshInterval is the interval at which a closing entry in use is
// refreshed at the owners. A flow that ends at once never reaches it; a long
// half-closed download needs its entries at the owners as an open flow does.
const closingRefreshInterval = flow.ClosingIdleSeconds * 1000 / refreshesPerIdleTime // milliseconds

// refreshClosing sends a packet of a closing flow to its backend server, by way
// of the owners when a refresh is due. A packet that closes the flow informs the
// owners at most every refreshInterval: the caller retransmits one that is lost.
// Other packets refresh the entry every closingRefreshInterval.
func (r *Router) refreshClosing(q *query, h *packet.ForwardHeader, e *flow.Entry, b *Backend) Action {
	other, flags := q.otherOwner()
	interval := uint32(closingRefreshInterval)
	if q.closes() {
		interval = refreshInterval
	}
	if q.now.milliseconds()-e.RefreshedAt < interval || !q.available(other) {
		return toBackend(b)
	}
	if flags == 0 {
		flags = packet.FlagCached
	}
	refreshed := *e
	refreshed.RefreshedAt = q.now.milliseconds()
	r.Table.Update(q.key, q.hash, *e, refreshed)
	return q.forwardTo(h, other, packet.KindRefresh, q.choice(e, flags))
}

// otherOwner returns the owner that this host sends its entry's choice to, and
// the flags to send it with.
func (q *query) otherOwner() (uint16, packet.ChoiceFlags) {
	if q.primary() == q.s.SelfIndex {
		return q.secondary(), packet.FlagSecondary
	}
	return q.primary(), 0
}

// closeByBackend marks the flow's entry as closing after its backend server b
// sent a FIN or reset.
func (r *Router) closeByBackend(q *query, b *Backend) {
	e, ok := r.Table.Peek(q.key, q.hash)
	if ok && !e.Closing && e.State != flow.Guess && e.AddrPort() == b.Addr {
		r.close(q, e)
	}
}
