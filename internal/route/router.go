package route

import (
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

const (
	// maxHops allows the longest path: arrival host, host of an older view,
	// primary, secondary, primary, arrival host.
	maxHops = 6

	// refreshInterval limits refreshes of one flow, so that a lost refresh
	// delays one packet and not every packet of the flow.
	refreshInterval = 200 // milliseconds

	// maxAge bounds the ages of connections, which wrap after 49 days.
	maxAge = 1 << 30 // milliseconds

	// keepaliveParts is how many times within FlowIdle an entry in use is
	// refreshed, so that the owners do not remove it as idle.
	keepaliveParts = 3
)

// Router decides where packets go. It is safe for concurrent use.
type Router struct {
	Table       *flow.Table
	PreferLocal bool // new flows prefer the primary owner's data centre
}

// query is one packet with everything that decisions about it need.
type query struct {
	s      *Snapshot
	svc    *Service
	info   *packet.Info
	key    packet.Key // of the direction from the caller
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

// available reports whether another host can be asked.
func (q *query) available(host uint16) bool {
	return host != NoHost && host != q.s.SelfIndex && !q.s.Hosts[host].Suspect
}

func (q *query) suspect(host uint16) bool {
	return host != NoHost && q.s.Hosts[host].Suspect
}

// replicated is the epoch of an entry that the owners have just stored. While
// an owner is suspect, the second copy may be missing.
func (q *query) replicated() uint16 {
	if q.suspect(q.primary()) || q.suspect(q.secondary()) {
		return 0
	}
	return q.epoch()
}

// conn identifies the connection that the packet opens, 0 for any other packet.
// Sequence number 0 counts as 1.
func (q *query) conn() uint32 {
	switch {
	case q.info.SYN():
		return max(1, q.info.Seq)
	case q.reply && q.info.AcceptsSYN():
		return max(1, q.info.Ack-1)
	}
	return 0
}

// opens reports whether the packet may start a flow.
func (q *query) opens() bool {
	return q.key.Proto != packet.ProtoTCP || q.info.SYN()
}

// origin is the header of a packet that arrived here.
func (q *query) origin() packet.ForwardHeader {
	return packet.ForwardHeader{Hops: maxHops + 1, Origin: q.s.SelfPeer, Sender: q.s.SelfPeer}
}

func (q *query) isOrigin(h *packet.ForwardHeader) bool { return h.Origin == q.s.SelfPeer }

// forward sends a packet on, with the origin of h.
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

// check returns the backend server of an entry if the flow may use it.
func (q *query) check(e *flow.Entry) (*Backend, Reason) {
	return q.usable(e.AddrPort(), e.Instance, e.Opened)
}

// checkChoice returns the backend server of a choice if the flow may use it.
func (q *query) checkChoice(c *packet.Choice) (*Backend, Reason) {
	return q.usable(c.Addr, c.Instance, q.opened(c))
}

// opened is when the connection of a choice was admitted, by this host's clock.
func (q *query) opened(c *packet.Choice) uint32 { return q.now.milliseconds() - c.Age }

// usable returns the backend server at an address if a flow that was opened at
// a process with an instance, and at a time, may use it.
func (q *query) usable(addr netip.AddrPort, instance uint64, opened uint32) (*Backend, Reason) {
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

// startedBefore reports whether the process had surely started at a time of
// flow.Entry.Opened. A flow that was opened later belongs to it, even if the
// process was not known yet.
func (b *Backend) startedBefore(opened uint32) bool {
	return b.StartedBy != 0 && int32(opened-b.StartedBy.milliseconds()) > 0
}

// lookup returns the flow's entry and its backend server after checking them
// against the snapshot. An entry that fails is removed and the reason returned.
// The caller's FIN or reset marks the entry as closing.
func (r *Router) lookup(q *query) (flow.Entry, *Backend, Reason) {
	e, ok := r.Table.Get(q.key, q.hash, q.now.seconds())
	if !ok {
		return e, nil, ReasonNone
	}
	reason := ReasonServiceChanged
	var b *Backend
	if e.Service == q.svc.Index {
		b, reason = q.check(&e)
	}
	if b == nil {
		r.Table.DeleteIf(q.key, q.hash, e)
		return e, nil, reason
	}
	old := int32(q.now.milliseconds()-e.Opened) > maxAge
	if e.Instance < b.Instance || old {
		learned := e
		learned.Instance = max(e.Instance, b.Instance)
		if old {
			learned.Opened = q.now.milliseconds() - maxAge
		}
		r.Table.Update(q.key, q.hash, e, learned)
		e = learned
	}
	if !e.Closing && q.closes() {
		e = r.close(q, e)
	}
	return e, b, ReasonNone
}

// endedWith reports whether the flow ended with its backend server, as an entry
// that failed the check says. An entry that no reply has proven may stem from
// an attempt that the caller gave up; its flow may live elsewhere.
func (q *query) endedWith(e *flow.Entry, reason Reason) bool {
	return reason != ReasonNone && e.State == flow.Proven && !q.opens()
}

// entry returns a new entry for a backend server.
func (q *query) entry(addr netip.AddrPort, instance uint64, state flow.State) flow.Entry {
	return flow.Entry{
		Addr: addr.Addr().As16(), Port: addr.Port(), Instance: instance,
		Service: q.svc.Index, LastSeen: q.now.seconds(), RefreshedAt: q.now.milliseconds(), State: state,
		Closing: q.info.Closes(), End: q.end(),
		Conn: q.conn(), Opened: q.now.milliseconds(),
	}
}

// chosen returns the entry for a choice in a header, whose backend server is b.
func (q *query) chosen(c *packet.Choice, b *Backend, state flow.State) flow.Entry {
	e := q.entry(c.Addr, max(c.Instance, b.Instance), state)
	e.Epoch = q.replicated()
	e.Conn, e.Opened = c.Conn, q.opened(c)
	if c.Flags&packet.FlagClosing != 0 && q.key.Proto == packet.ProtoTCP {
		e.Closing = true
	}
	return e
}

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

// agreed is the choice of an answer: the owners agreed on it.
func (q *query) agreed(e *flow.Entry) packet.Choice {
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

// refreshDue reports whether the owners should be told of an entry in use.
func (q *query) refreshDue(e *flow.Entry) bool {
	age := q.now.milliseconds() - e.RefreshedAt
	if e.Epoch != q.epoch() && age >= refreshInterval {
		return true
	}
	idle := uint32(q.svc.FlowIdle / time.Millisecond)
	return idle != 0 && age >= idle/keepaliveParts
}
