package route

import (
	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// lateWindow is how far before the end of a closing flow data may lie that the
// network delivered late or the caller sent again: one full TCP window of the
// size that common stacks limit themselves to.
const lateWindow = 1 << 20 // bytes

// closes reports whether the packet is the caller's last, or its last one with
// data.
func (q *query) closes() bool { return !q.reply && q.info.Closes() }

// end is the sequence number that the caller's data ends at.
func (q *query) end() uint32 {
	if q.reply {
		return q.info.Ack
	}
	return q.info.End()
}

// resumes reports whether the packet shows that a closing flow goes on: it has
// data that the FIN did not count. Data from before the FIN that arrives late
// does not, or the flow would stay charged until it is idle.
func (q *query) resumes(e *flow.Entry) bool {
	if !e.Closing || q.reply || q.info.PayloadLen == 0 || q.info.Closes() {
		return false
	}
	late := e.End-q.info.End() < lateWindow
	age := q.now.milliseconds() - e.RefreshedAt
	return !late || age > flow.ClosingIdleSeconds*1000
}

// revives reports whether the packet makes a closing flow an open one, by a
// new connection or because the FIN was not the caller's.
func (q *query) revives(e *flow.Entry) bool {
	return e.Closing && (q.info.SYN() || q.resumes(e))
}

// close marks an entry as closing. The next packet that closes the flow may
// travel to the owners at once.
func (r *Router) close(q *query, e flow.Entry) flow.Entry {
	closing := e
	closing.Closing, closing.End = true, q.end()
	closing.RefreshedAt = q.now.milliseconds() - refreshInterval
	if r.Table.Update(q.key, q.hash, e, closing) {
		return closing
	}
	return e
}

// reopen marks an entry as open. Without an epoch, the next packet of the flow
// tells the owners.
func (r *Router) reopen(q *query, e flow.Entry, epoch uint16) flow.Entry {
	open := e
	open.Closing, open.End = false, 0
	open.RefreshedAt, open.Epoch = q.now.milliseconds(), epoch
	if r.Table.Update(q.key, q.hash, e, open) {
		return open
	}
	return e
}

// put stores a choice as an owner. With a packet that revives the flow, it
// replaces a closing entry.
func (r *Router) put(q *query, e flow.Entry) (flow.Entry, flow.PutResult) {
	if old, ok := r.Table.Peek(q.key, q.hash); ok && q.revives(&old) {
		return r.Table.Reopen(q.key, q.hash, e)
	}
	return r.Table.Put(q.key, q.hash, e)
}

// replace stores a choice that the owners made.
func (r *Router) replace(q *query, e flow.Entry) flow.Entry {
	held, result := r.put(q, e)
	if result == flow.Kept {
		held, _ = r.Table.Replace(q.key, q.hash, e)
	}
	return held
}

// closingKeepalive is the interval at which a closing entry in use is kept at
// the owners. A flow that ends at once never reaches it; a half-closed download
// that lasts needs the owners as much as an open flow does.
const closingKeepalive = flow.ClosingIdleSeconds * 1000 / keepaliveParts // milliseconds

// closing tells the owners of the end of a flow with the packet that ends it,
// at most every refreshInterval: the caller repeats a packet that was lost.
func (r *Router) closing(q *query, h *packet.ForwardHeader, e *flow.Entry, b *Backend) Action {
	other, flags := q.otherOwner()
	interval := uint32(closingKeepalive)
	if q.closes() {
		interval = refreshInterval
	}
	if q.now.milliseconds()-e.RefreshedAt < interval || !q.available(other) {
		return toBackend(b)
	}
	if flags == 0 {
		flags = packet.FlagCached
	}
	told := *e
	told.RefreshedAt = q.now.milliseconds()
	r.Table.Update(q.key, q.hash, *e, told)
	return q.forwardTo(h, other, packet.KindRefresh, q.choice(e, flags))
}

// otherOwner returns the owner that a choice held here is sent to, and the
// flags to send it with.
func (q *query) otherOwner() (uint16, packet.ChoiceFlags) {
	if q.primary() == q.s.SelfIndex {
		return q.secondary(), packet.FlagSecondary
	}
	return q.primary(), 0
}

// closesFrom marks the entry of a flow whose backend server sent a FIN or
// reset.
func (r *Router) closesFrom(q *query, b *Backend) {
	e, ok := r.Table.Peek(q.key, q.hash)
	if ok && !e.Closing && e.State != flow.Guess && e.AddrPort() == b.Addr {
		r.close(q, e)
	}
}
