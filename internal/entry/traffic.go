package entry

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/overload"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
	"github.com/nutmeglatch/nutmeglatch/internal/withdrawal"
)

const (
	// sweepInterval is the interval between sweeps of the flow table. The traffic goroutine also wakes at this interval.
	sweepInterval = 200 * time.Millisecond
	// packetBuffer is the requested size of the socket's receive buffer, in bytes.
	packetBuffer = 1 << 20
)

// pendingUpdate holds new inputs of the router, sent from the control goroutine to the traffic goroutine.
type pendingUpdate struct {
	views     []*registry.View // to be applied in this order
	fleet     *affinity.Fleet  // nil: unchanged
	sharers   *overload.Fleet  // set with fleet
	admission *overload.Config // nil: unchanged
}

// traffic reads callers' packets and forwards them.
type traffic struct {
	host          *Host
	conn          *net.UDPConn
	router        *affinity.Router
	logger        log.Logger
	flowLimiter   logLimiter // log lines about flows
	healthLimiter logLimiter // log lines about the health of backend servers
	checks        *healthChecks
	queries       chan query
	lastPacket    atomic.Int64 // arrival of the last packet, in nanoseconds of Host.now
	view          *registry.View
	sweptAt       time.Duration
	tally         *withdrawal.Tally
	packet        affinity.Packet
	held          map[affinity.FlowKey][]byte // opening packets of flows that wait for room, after the headroom
	stopping      bool                        // no flow waits for room any more
	out           []byte                      // buffer for resets
}

func newTraffic(h *Host, conn *net.UDPConn) *traffic {
	self := h.self()
	c := affinity.Config{MaxFlows: h.config.Limits.MaxFlows, IdleTimeout: h.config.Limits.FlowIdle, Admission: h.config.Limits.Admission}
	router := affinity.NewRouter(c, self)
	router.SetFleet(affinity.Fleet{Self: self, Starting: true})
	t := &traffic{
		host:          h,
		conn:          conn,
		router:        router,
		logger:        log.With(h.logger, "part", "flow"),
		queries:       make(chan query, maxQueries),
		tally:         withdrawal.NewTally(),
		held:          map[affinity.FlowKey][]byte{},
		flowLimiter:   logLimiter{perSecond: h.config.Limits.FlowLinesPerS},
		healthLimiter: logLimiter{perSecond: h.config.Limits.FlowLinesPerS},
	}
	wake := func() { interrupt(conn) }
	h.checkInbox.wake = wake
	t.checks = newHealthChecks(t, wake)
	return t
}

// interrupt wakes the traffic goroutine while it waits for a packet, by a read deadline in the past.
func interrupt(conn *net.UDPConn) {
	if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		packetErrors.Inc()
	}
}

// run handles packets until ctx ends. It waits for the first update before that, so that packets that arrive during the
// start stay in the socket's buffer.
func (t *traffic) run(ctx context.Context) error {
	if err := t.conn.SetReadBuffer(packetBuffer); err != nil {
		level.Warn(t.logger).Log("msg", "receive buffer of the packet socket not resized", "err", err)
	}
	if !t.awaitUpdate(ctx) {
		return nil
	}
	headroom := t.host.codec.Headroom()
	buffer := make([]byte, headroom+t.host.codec.MaxPacket()+1)
	var deadline time.Duration
	for {
		now := t.host.now()
		t.runPending(now)
		if next := t.wakeAt(now); next < deadline || next > deadline && now >= deadline-sweepInterval/2 {
			deadline = next
			if err := t.conn.SetReadDeadline(t.host.started.Add(deadline)); err != nil {
				return stopError(ctx, errors.Wrap(err, "packet socket"))
			}
		}
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer[headroom:])
		switch {
		case err == nil:
			t.handlePacket(buffer[:headroom+n], from)
		case errors.Is(err, os.ErrDeadlineExceeded):
			deadline = 0
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			packetErrors.Inc()
			t.logLimited(func() { level.Warn(t.logger).Log("msg", "read from packet socket failed", "err", err) })
		}
	}
}

// awaitUpdate waits for the first update and runs operators' queries meanwhile. It returns false if ctx ends first.
func (t *traffic) awaitUpdate(ctx context.Context) bool {
	for {
		select {
		case u := <-t.host.updates:
			t.applyUpdate(u)
			return true
		case q := <-t.queries:
			q(t.router, t.host.now())
		case <-ctx.Done():
			return false
		}
	}
}

// stopError returns err, or nil if it was caused by the stop of the host.
func stopError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// runPending runs an operator's query, handles messages about checks and their results, applies a pending update and sweeps
// the flow table when that is due.
func (t *traffic) runPending(now time.Duration) {
	select {
	case q := <-t.queries:
		q(t.router, now)
	default:
	}
	if t.host.leaving.Load() && !t.stopping {
		t.stopping = true
		t.router.Admission().Stop()
	}
	t.flushRouter(now)
	if t.host.pendingUpdate.Swap(false) {
		select {
		case u := <-t.host.updates:
			t.applyUpdate(u)
			t.flushRouter(now)
		default:
		}
	}
	if now-t.sweptAt >= sweepInterval {
		if now-t.sweptAt > affinity.HostPauseThreshold {
			t.tally.Reset()
		}
		t.sweptAt = now
		t.router.Sweep(now)
		t.checks.state.Sweep(now)
		t.flushRouter(now)
		loads := t.router.Loads(now)
		t.host.loads.Store(&loads)
		t.host.served.Store(t.tally.Snapshot(t.router.Availability(now), now))
		t.publishDemand(now)
		reports := t.router.WorkReports()
		t.host.workReports.Store(&reports)
		t.logSlow()
	}
}

func (t *traffic) applyUpdate(u pendingUpdate) {
	if u.fleet != nil {
		t.router.SetFleet(*u.fleet)
		t.checks.setPeers(u.fleet)
		t.router.Admission().SetFleet(*u.sharers)
	}
	for _, v := range u.views {
		t.view = v
		t.router.SetView(v, t.host.now())
	}
	if u.admission != nil {
		t.router.Admission().SetConfig(*u.admission)
		t.router.Admission().SetServices(overload.ServicesOf(t.view.Config))
	}
}

// handlePacket forwards, rejects or drops the packet that follows the headroom in b.
func (t *traffic) handlePacket(b []byte, from netip.AddrPort) {
	now := t.host.now()
	t.lastPacket.Store(int64(now))
	headroom := t.host.codec.Headroom()
	if err := t.host.codec.Decode(b[headroom:], &t.packet); err != nil {
		packetsMalformed.Inc()
		t.logLimited(func() { level.Warn(t.logger).Log("msg", "datagram dropped", "from", from, "err", err) })
		return
	}
	t.decide(b, now)
	t.flushRouter(now)
}

// decide decides about the packet in t.packet, which follows the headroom in b.
func (t *traffic) decide(b []byte, now time.Duration) {
	v := t.router.Decide(&t.packet, now)
	countVerdict(v)
	t.countDemand(&v, now)
	countWait(&v)
	if v.OpeningLatency > 0 {
		openingTime.Update(v.OpeningLatency.Seconds())
	}
	switch v.Action {
	case affinity.Forward:
		t.host.codec.SetReceiver(b, v.Identity, v.Token)
		t.send(b, v.Addr)
	case affinity.Reject:
		t.reset(t.packet.Key(), t.packet.Ack)
	case affinity.Hold:
		t.hold(b)
	}
	if v.Reason != affinity.KnownFlow && v.Action != affinity.Hold {
		t.logVerdict(&v, now)
	}
}

// handleHealthChanges logs changes in the assumed health of backend servers, and tells other hosts of starts. These lines have
// a limiter of their own because the lines about the flows of a lost backend server can use up the one for flows.
func (t *traffic) handleHealthChanges(now time.Duration) {
	for _, c := range t.router.TakeHealthChanges() {
		countHealthChange(c)
		t.checks.tellRestart(&c, now)
		t.healthLimiter.do(t.host.now(), func() {
			level.Info(t.logger).Log("msg", "backend server "+c.Health.String(), "server", c.ServerID, "cause", c.Cause,
				"flows", c.Flows, "since_sign", c.SinceAnswer, "for", c.For)
		})
	}
}

// flushRouter starts the checks that the router requests, sends the resets that it has queued for flows of lost backend
// servers, and logs the health changes and the resets.
func (t *traffic) flushRouter(now time.Duration) {
	t.checks.run(now)
	t.offerDue(now)
	resets := t.router.TakeResets()
	for _, r := range resets {
		t.reset(r.Key, r.Seq)
	}
	t.handleHealthChanges(now)
	for _, r := range resets {
		countReset(r)
		t.logLimited(func() {
			level.Info(t.logger).Log("msg", "flow reset", "caller", r.Key.Caller, "service_address", r.Key.Service,
				"reason", r.Reason, "server", r.ServerID, "revision", t.view.Version(), "age_ms", t.host.ageMs(now))
		})
	}
}

// reset sends a reset of a flow to its caller, at the port on which callers receive packets.
func (t *traffic) reset(flow affinity.FlowKey, seq uint32) {
	t.out = t.host.codec.AppendReset(t.out[:0], flow, seq)
	t.send(t.out, netip.AddrPortFrom(flow.Caller.Addr(), t.host.config.Packets.Port()))
}

func (t *traffic) send(b []byte, to netip.AddrPort) {
	if _, err := t.conn.WriteToUDPAddrPort(b, to); err != nil {
		packetErrors.Inc()
		t.logLimited(func() { level.Warn(t.logger).Log("msg", "packet not sent", "to", to, "err", err) })
	}
}

// logVerdict logs the decision about the packet in t.packet and the state that it is based on.
func (t *traffic) logVerdict(v *affinity.Verdict, now time.Duration) {
	p := &t.packet
	t.logLimited(func() {
		fields := []any{"msg", actionText[v.Action], "caller", p.Caller, "service_address", p.Service, "seq", p.Seq,
			"reason", v.Reason, "server", v.ServerID, "config_version", t.view.Config.Version, "revision", t.view.Version(),
			"age_ms", t.host.ageMs(now)}
		if p.Opening {
			fields = append(fields, "copy", p.Copy)
		} else {
			fields = append(fields, "token", p.Token)
		}
		if v.Reason == affinity.NewFlow || v.Reason == affinity.OpeningCopy {
			fields = append(fields, "preference", v.Preference, "flows", v.Flows)
			if v.ExpectedWork > 0 {
				fields = append(fields, "expected_work", round(v.ExpectedWork))
			}
		}
		if d := v.Admission; d.Waited > 0 || d.Outcome != overload.Admit {
			fields = append(fields, "priority", d.Priority, "waited", d.Waited)
		}
		level.Info(t.logger).Log(fields...)
	})
}

var actionText = [...]string{affinity.Drop: "packet dropped", affinity.Forward: "flow forwarded", affinity.Reject: "flow rejected",
	affinity.Hold: "flow waits for room"}

// logLimited calls write, which logs a line about a flow, unless the limit of the current second is reached.
func (t *traffic) logLimited(write func()) { t.flowLimiter.do(t.host.now(), write) }

// logLimiter limits the number of log lines a second. Suppressed lines are counted.
type logLimiter struct {
	perSecond   int
	windowStart time.Duration
	written     int // in the current window of a second
}

// do calls write, or counts a suppressed line if the limit of the current second is reached.
func (l *logLimiter) do(now time.Duration, write func()) {
	if now-l.windowStart >= time.Second {
		l.windowStart, l.written = now, 0
	}
	if l.written >= l.perSecond {
		linesSuppressed.Inc()
		return
	}
	l.written++
	write()
}
