package affinity

import (
	"encoding/binary"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/overload"
	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

const (
	// openingRetention is how long retransmissions of an opening packet are recognised. Callers give up after 1.4 s.
	openingRetention = 2 * time.Second
	// closedRetention is how long a flow that its caller closed is kept, for packets that are still in transit.
	closedRetention = time.Second
)

// neverSent is the sentAt of a flow whose last data was forwarded by another host.
const neverSent = -time.Hour

// flow is the state that the host keeps of a flow whose packets it has forwarded.
type flow struct {
	server   *server
	previous *server       // backend server that left an earlier transmission of the opening packet unanswered
	opening  uint32        // sequence number of the opening packet
	next     uint32        // sequence number that follows the caller's last data
	sentAt   time.Duration // when this host first forwarded that data
	ack      uint32        // last acknowledgement number of the caller
	ackAt    time.Duration // when this host first saw it
	open     bool          // the caller has acknowledged the backend server's answer to the opening packet
	closed   bool
	waited   bool // for room, before it was forwarded
	lastAt   time.Duration
	openedAt time.Duration
	work     work.Flow // its running request; attached while the flow is in the table
}

// openingLatency returns the time since the opening packet was last forwarded if the flow is not open yet, that is, if the
// present packet is the caller's first after the answer to its opening packet. Otherwise it returns 0.
func (f *flow) openingLatency(now time.Duration) time.Duration {
	if f.open {
		return 0
	}
	return now - f.sentAt
}

// mayAwaitAnswer reports whether the caller may have sent a request that has not been answered. Data that another host has
// forwarded is unknown to this one.
func (f *flow) mayAwaitAnswer() bool { return f.sentAt == neverSent || f.sentAt >= f.ackAt }

// flowTable keeps up to limit flows. Packets of flows beyond the limit are forwarded without keeping state.
type flowTable struct {
	flows       map[FlowKey]*flow
	limit       int
	admission   *overload.State
	idle        time.Duration // time without packets after which an open flow is removed
	scanLimiter scanLimiter   // spaces sweeps
}

// add adds a flow of a route, unless the table is full.
func (t *flowTable) add(key FlowKey, f *flow, rt *route, now time.Duration) {
	if len(t.flows) >= t.limit {
		return
	}
	if rt != nil {
		f.work.Attach(&f.server.work, &rt.work, callerOf(key), !f.open, now)
		f.work.SetMeter(t.admission.Meter(f.server.Service, rt.name))
	}
	f.server.addFlows(1)
	t.flows[key] = f
}

// callerOf identifies the caller of a flow for samples. Flows of one address count as one caller.
func callerOf(key FlowKey) uint32 {
	a := key.Caller.Addr().As16()
	return binary.BigEndian.Uint32(a[8:]) ^ binary.BigEndian.Uint32(a[12:])
}

func (t *flowTable) remove(key FlowKey, f *flow, now time.Duration) {
	f.work.Detach(now)
	f.server.addFlows(-1)
	delete(t.flows, key)
}

// reassign moves the flow to another backend server.
func (f *flow) reassign(to *server) {
	f.work.Move(&to.work)
	f.server.addFlows(-1)
	to.addFlows(1)
	f.server = to
}

// sweep removes expired flows. In a large table it runs less often, so that removal may be some seconds late.
func (t *flowTable) sweep(now time.Duration) {
	if !t.scanLimiter.due(now, len(t.flows)) {
		return
	}
	for key, f := range t.flows {
		if now-f.lastAt > t.lifetime(f) {
			t.remove(key, f, now)
		}
	}
}

// lifetime returns how long a flow is kept after its last packet.
func (t *flowTable) lifetime(f *flow) time.Duration {
	switch {
	case f.closed:
		return closedRetention
	case !f.open:
		return openingRetention
	}
	return t.idle
}

// newer reports whether sequence number a follows b, modulo 2^32.
func newer(a, b uint32) bool { return int32(a-b) > 0 }
