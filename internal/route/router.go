package route

import (
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

const (
	// maxHops limits how often a packet is forwarded. It allows the longest path:
	// arrival host, primary of an outdated view, primary, secondary, primary,
	// arrival host.
	maxHops = 6

	// refreshInterval is the minimum time between two refreshes of a flow, so
	// that a lost refresh delays one packet and not every packet of the flow.
	refreshInterval = 200 // milliseconds

	// maxConnAge is the highest age of a connection that is recorded, because
	// ages in milliseconds wrap after 49 days.
	maxConnAge = 1 << 30 // milliseconds

	// refreshesPerIdleTime is how many times within FlowIdle an entry in use is
	// refreshed, so that the owners do not remove it as idle.
	refreshesPerIdleTime = 3
)

// Router decides where packets go. It is safe for concurrent use.
type Router struct {
	Table       *flow.Table
	PreferLocal bool // new flows prefer backend servers in the primary owner's data centre
}

// query is a request for a decision: one packet and the values that the
// decision depends on.
type query struct {
	s      *Snapshot
	svc    *Service
	info   *packet.Info
	key    packet.Key // in the direction from the caller
	hash   uint64
	bucket int
	now    Time
	reply  bool // the packet comes from a backend server
}

func newQuery(s *Snapshot, svc *Service, info *packet.Info, key packet.Key, now Time) query {
	hash := key.Hash()
	return query{s: s, svc: svc, info: info, key: key, hash: hash, bucket: bucketOf(hash), now: now}
}

func (q *query) primary() uint16   { return q.svc.owned(q.bucket).hosts[0] }
func (q *query) secondary() uint16 { return q.svc.owned(q.bucket).hosts[1] }
func (q *query) epoch() uint16     { return q.svc.owned(q.bucket).epoch }

// available reports whether host is another host than this one and not suspect,
// so that packets can be forwarded to it.
func (q *query) available(host uint16) bool {
	return host != NoHost && host != q.s.SelfIndex && !q.s.Hosts[host].Suspect
}

func (q *query) isSuspect(host uint16) bool {
	return host != NoHost && q.s.Hosts[host].Suspect
}

// replicatedEpoch returns the epoch for an entry that the owners have just
// stored. It is 0 while an owner is suspect, because the second copy may be
// missing.
func (q *query) replicatedEpoch() uint16 {
	if q.isSuspect(q.primary()) || q.isSuspect(q.secondary()) {
		return 0
	}
	return q.epoch()
}

// conn returns the caller's initial sequence number if the packet opens or
// accepts a connection, and 0 for any other packet. Sequence number 0 counts as 1.
func (q *query) conn() uint32 {
	switch {
	case q.info.SYN():
		return max(1, q.info.Seq)
	case q.reply && q.info.SYNACK():
		return max(1, q.info.Ack-1)
	}
	return 0
}

// opens reports whether the packet may start a flow.
func (q *query) opens() bool {
	return q.key.Proto != packet.ProtoTCP || q.info.SYN()
}

// originHeader returns the header of a packet whose arrival host is this one.
func (q *query) originHeader() packet.ForwardHeader {
	return packet.ForwardHeader{Hops: maxHops + 1, Origin: q.s.SelfPeer, Sender: q.s.SelfPeer}
}

// isOrigin reports whether this host is the packet's arrival host.
func (q *query) isOrigin(h *packet.ForwardHeader) bool { return h.Origin == q.s.SelfPeer }

// forward forwards a packet to a peer with the origin of h, and counts the hop.
func (q *query) forward(h *packet.ForwardHeader, to netip.AddrPort, kind packet.Kind, c packet.Choice) Action {
	if h.Hops <= 1 {
		return drop(ReasonHopLimit)
	}
	if !h.Origin.IsValid() {
		return drop(ReasonNotListed)
	}
	return Action{
		Kind: ToPeer,
		Peer: to,
		Header: packet.ForwardHeader{
			Kind: kind, Hops: h.Hops - 1, Origin: h.Origin, Sender: q.s.SelfPeer, Choice: c,
		},
	}
}

func (q *query) forwardTo(h *packet.ForwardHeader, host uint16, kind packet.Kind, c packet.Choice) Action {
	return q.forward(h, q.s.Hosts[host].Peer, kind, c)
}

// checkEntry returns the backend server of an entry if the flow may use it, or
// the reason why not.
func (q *query) checkEntry(e *flow.Entry) (*Backend, Reason) {
	return q.usableBackend(e.AddrPort(), e.Instance, e.Opened)
}

// checkChoice returns the backend server of a choice if the flow may use it, or
// the reason why not.
func (q *query) checkChoice(c *packet.Choice) (*Backend, Reason) {
	return q.usableBackend(c.Addr, c.Instance, q.opened(c))
}

// opened returns the time in milliseconds, by this host's clock, when the
// connection of a choice was admitted.
func (q *query) opened(c *packet.Choice) uint32 { return q.now.milliseconds() - c.Age }

// usableBackend returns the backend server at addr if it may serve a flow that
// was opened at the given time to a process with the given instance, or the
// reason why not.
func (q *query) usableBackend(addr netip.AddrPort, instance uint64, opened uint32) (*Backend, Reason) {
	b := q.s.Backends.Get(addr)
	switch {
	case b == nil:
		return nil, ReasonBackendRemoved
	case b.Service.Index != q.svc.Index:
		return nil, ReasonAddressReassigned
	case b.DataCentreOut:
		return nil, ReasonDataCentreOut
	case b.Unusable:
		return nil, ReasonBackendUnusable
	case instance != 0 && instance < b.Instance && !b.startedBefore(opened):
		return nil, ReasonInstanceReplaced
	}
	return b, ReasonNone
}

// startedBefore reports whether the process is certain to have started before
// opened, a time as in flow.Entry.Opened. A flow that was opened later belongs to
// the process, even if this host had not learned of its start yet.
func (b *Backend) startedBefore(opened uint32) bool {
	return b.StartedBy != 0 && int32(opened-b.StartedBy.milliseconds()) > 0
}

// lookup returns the flow's entry and its backend server after checking them
// against the snapshot. An entry that fails is removed, and the reason returned.
// The caller's FIN or reset marks the entry as closing.
func (r *Router) lookup(q *query) (flow.Entry, *Backend, Reason) {
	e, ok := r.Table.Get(q.key, q.hash, q.now.seconds())
	if !ok {
		return e, nil, ReasonNone
	}
	reason := ReasonServiceChanged
	var b *Backend
	if e.Service == q.svc.Index {
		b, reason = q.checkEntry(&e)
	}
	if b == nil {
		r.Table.DeleteIf(q.key, q.hash, e)
		return e, nil, reason
	}
	old := int32(q.now.milliseconds()-e.Opened) > maxConnAge
	if e.Instance < b.Instance || old {
		updated := e
		updated.Instance = max(e.Instance, b.Instance)
		if old {
			updated.Opened = q.now.milliseconds() - maxConnAge
		}
		r.Table.Update(q.key, q.hash, e, updated)
		e = updated
	}
	if !e.Closing && q.closes() {
		e = r.close(q, e)
	}
	return e, b, ReasonNone
}

// flowEnded reports whether a flow has ended with its backend server, because
// its entry failed the check for the given reason. An entry that no reply has
// proven does not count: it may be from a connection attempt that the caller
// abandoned, and another backend server may serve the flow.
func (q *query) flowEnded(e *flow.Entry, reason Reason) bool {
	return reason != ReasonNone && e.State == flow.Proven && !q.opens()
}

// newEntry returns an entry for a backend server, stored and used now.
func (q *query) newEntry(addr netip.AddrPort, instance uint64, state flow.State) flow.Entry {
	return flow.Entry{
		Addr: addr.Addr().As16(), Port: addr.Port(), Instance: instance,
		Service: q.svc.Index, LastSeen: q.now.seconds(), RefreshedAt: q.now.milliseconds(), State: state,
		Closing: q.info.Closes(), End: q.endSeq(),
		Conn: q.conn(), Opened: q.now.milliseconds(),
	}
}

// chosen returns the entry for a choice in a header, whose backend server is b.
func (q *query) chosen(c *packet.Choice, b *Backend, state flow.State) flow.Entry {
	e := q.newEntry(c.Addr, max(c.Instance, b.Instance), state)
	e.Epoch = q.replicatedEpoch()
	e.Conn, e.Opened = c.Conn, q.opened(c)
	if c.Flags&packet.FlagClosing != 0 && q.key.Proto == packet.ProtoTCP {
		e.Closing = true
	}
	return e
}

// choice returns the choice that carries an entry to another host.
func (q *query) choice(e *flow.Entry, flags packet.ChoiceFlags) packet.Choice {
	switch e.State {
	case flow.Proven:
		flags |= packet.FlagProven
	case flow.Tentative:
		flags |= packet.FlagTentative
	}
	if e.Closing {
		flags |= packet.FlagClosing
	}
	return packet.Choice{
		Addr: e.AddrPort(), Instance: e.Instance, Flags: flags,
		Conn: e.Conn, Age: q.now.milliseconds() - e.Opened,
	}
}

// agreedChoice returns the choice of an answer. It is not tentative, because the
// owners have agreed on it.
func (q *query) agreedChoice(e *flow.Entry) packet.Choice {
	c := q.choice(e, 0)
	c.Flags &^= packet.FlagTentative
	return c
}

func stateOf(c *packet.Choice) flow.State {
	switch {
	case c.Flags&packet.FlagProven != 0:
		return flow.Proven
	case c.Flags&packet.FlagTentative != 0:
		return flow.Tentative
	}
	return flow.Settled
}

// refreshDue reports whether an entry in use must be refreshed at the owners:
// the owners have changed, or they might soon remove it as idle.
func (q *query) refreshDue(e *flow.Entry) bool {
	age := q.now.milliseconds() - e.RefreshedAt
	if e.Epoch != q.epoch() && age >= refreshInterval {
		return true
	}
	idle := uint32(q.svc.FlowIdle / time.Millisecond)
	return idle != 0 && age >= idle/refreshesPerIdleTime
}
