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
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

const (
	// sweepInterval is the pause between sweeps of the flow table; the traffic goroutine also wakes this often.
	sweepInterval = 200 * time.Millisecond
	// packetBuffer is the size asked for the socket's receive buffer, in bytes.
	packetBuffer = 1 << 20
)

// plan is what the control goroutine tells the traffic goroutine.
type plan struct {
	views []*registry.View // in this order
	fleet *affinity.Fleet  // nil: as before
}

// traffic reads callers' packets and forwards them.
type traffic struct {
	host        *Host
	conn        *net.UDPConn
	router      *affinity.Router
	logger      log.Logger
	lines       lineBudget
	noticeLines lineBudget
	checker     *checker
	queries     chan query
	lastPacket  atomic.Int64
	view        *registry.View
	sweptAt     time.Duration
	packet      affinity.Packet
	out         []byte
}

func newTraffic(h *Host, conn *net.UDPConn) *traffic {
	self := h.self()
	c := affinity.Config{MaxFlows: h.config.Limits.MaxFlows, IdleTimeout: h.config.Limits.FlowIdle}
	router := affinity.NewRouter(c, self)
	router.SetFleet(affinity.Fleet{Self: self, Starting: true})
	return &traffic{
		host:        h,
		conn:        conn,
		router:      router,
		logger:      log.With(h.logger, "part", "flow"),
		checker:     newChecker(func() { interrupt(conn) }),
		queries:     make(chan query, maxQueries),
		lines:       lineBudget{perSecond: h.config.Limits.FlowLinesPerS},
		noticeLines: lineBudget{perSecond: h.config.Limits.FlowLinesPerS},
	}
}

// interrupt ends the wait of the traffic goroutine for a packet.
func interrupt(conn *net.UDPConn) {
	if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		packetErrors.Inc()
	}
}

// run waits for the first view, so that packets of a start wait in the socket, then takes one packet at a time.
func (t *traffic) run(ctx context.Context) error {
	if err := t.conn.SetReadBuffer(packetBuffer); err != nil {
		level.Warn(t.logger).Log("msg", "receive buffer keeps its size", "err", err)
	}
	if !t.awaitPlan(ctx) {
		return nil
	}
	headroom := t.host.codec.Headroom()
	buffer := make([]byte, headroom+t.host.codec.MaxPacket()+1)
	var deadline time.Duration
	for {
		now := t.host.now()
		t.upkeep(now)
		if now >= deadline-sweepInterval/2 {
			deadline = now + sweepInterval
			if err := t.conn.SetReadDeadline(t.host.started.Add(deadline)); err != nil {
				return stopError(ctx, errors.Wrap(err, "packet socket"))
			}
		}
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer[headroom:])
		switch {
		case err == nil:
			t.take(buffer[:headroom+n], from)
		case errors.Is(err, os.ErrDeadlineExceeded):
			deadline = 0
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			packetErrors.Inc()
			t.line(func() { level.Warn(t.logger).Log("msg", "packet socket", "err", err) })
		}
	}
}

// awaitPlan waits for the first plan, and answers operators meanwhile. It returns false when the host stops.
func (t *traffic) awaitPlan(ctx context.Context) bool {
	for {
		select {
		case p := <-t.host.plans:
			t.adopt(p)
			return true
		case q := <-t.queries:
			q(t.router, t.host.now())
		case <-ctx.Done():
			return false
		}
	}
}

// stopError returns the error of a goroutine that ended, or nil when the host is stopping.
func stopError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// upkeep takes the newest plan, results of checks and operators' questions, and does what is due by time.
func (t *traffic) upkeep(now time.Duration) {
	select {
	case q := <-t.queries:
		q(t.router, now)
	default:
	}
	for _, result := range t.checker.take() {
		countCheck(result.outcome)
		t.router.HandleCheckResult(result.id, result.outcome, now)
	}
	t.sendOrders(now)
	if t.host.plan.Swap(false) {
		select {
		case p := <-t.host.plans:
			t.adopt(p)
		default:
		}
	}
	if now-t.sweptAt >= sweepInterval {
		t.sweptAt = now
		t.router.Sweep(now)
		t.sendOrders(now)
		loads := t.router.Loads(now)
		t.host.loads.Store(&loads)
	}
}

func (t *traffic) adopt(p plan) {
	if p.fleet != nil {
		t.router.SetFleet(*p.fleet)
	}
	for _, v := range p.views {
		t.view = v
		t.router.SetView(v, t.host.now())
	}
}

// take decides about one packet, which stands after the headroom of b.
func (t *traffic) take(b []byte, from netip.AddrPort) {
	now := t.host.now()
	t.lastPacket.Store(int64(now))
	headroom := t.host.codec.Headroom()
	if err := t.host.codec.Decode(b[headroom:], &t.packet); err != nil {
		packetsMalformed.Inc()
		t.line(func() { level.Warn(t.logger).Log("msg", "datagram dropped", "from", from, "err", err) })
		return
	}
	v := t.router.Decide(&t.packet, now)
	countVerdict(v)
	if v.OpeningLatency > 0 {
		openingTime.Update(v.OpeningLatency.Seconds())
	}
	switch v.Action {
	case affinity.Forward:
		t.host.codec.SetReceiver(b, v.Identity, v.Token)
		t.send(b, v.Addr)
	case affinity.Reject:
		t.reset(t.packet.Key(), t.packet.Ack)
	}
	if v.Reason != affinity.KnownFlow {
		t.logVerdict(&v, now)
	}
	t.sendOrders(now)
}

// logNotices writes what the router has come to believe of backend servers. These lines have a budget of their own, as
// the flows of a lost backend server can use up that of the others.
func (t *traffic) logNotices() {
	for _, n := range t.router.TakeHealthChanges() {
		countNotice(n)
		t.noticeLines.do(t.host.now(), func() {
			level.Info(t.logger).Log("msg", "backend server "+n.Health.String(), "server", n.ServerID, "cause", n.Cause,
				"flows", n.Flows, "since_sign", n.SinceAnswer, "for", n.For)
		})
	}
}

// sendOrders resets the flows of backend servers that were found lost, then writes why.
func (t *traffic) sendOrders(now time.Duration) {
	orders := t.router.TakeResets()
	for _, o := range orders {
		t.reset(o.Key, o.Seq)
	}
	for _, c := range t.router.TakeChecks() {
		t.checker.start(c)
	}
	t.logNotices()
	for _, o := range orders {
		countOrder(o)
		t.line(func() {
			level.Info(t.logger).Log("msg", "flow reset", "caller", o.Key.Caller, "service_address", o.Key.Service,
				"reason", o.Reason, "server", o.ServerID, "revision", t.view.Revision, "age_ms", t.host.ageMs(now))
		})
	}
}

// reset sends a reset to a caller, at the port that callers take packets on.
func (t *traffic) reset(flow affinity.FlowKey, seq uint32) {
	t.out = t.host.codec.AppendReset(t.out[:0], flow, seq)
	t.send(t.out, netip.AddrPortFrom(flow.Caller.Addr(), t.host.config.Packets.Port()))
}

func (t *traffic) send(b []byte, to netip.AddrPort) {
	if _, err := t.conn.WriteToUDPAddrPort(b, to); err != nil {
		packetErrors.Inc()
		t.line(func() { level.Warn(t.logger).Log("msg", "packet not sent", "to", to, "err", err) })
	}
}

// logVerdict writes what was decided about a packet, and from what.
func (t *traffic) logVerdict(v *affinity.Verdict, now time.Duration) {
	p := &t.packet
	t.line(func() {
		fields := []any{"msg", actionText[v.Action], "caller", p.Caller, "service_address", p.Service, "seq", p.Seq,
			"reason", v.Reason, "server", v.ServerID, "config_version", t.view.Config.Version, "revision", t.view.Revision,
			"age_ms", t.host.ageMs(now)}
		if p.Opening {
			fields = append(fields, "copy", p.Copy)
		} else {
			fields = append(fields, "token", p.Token)
		}
		if v.Reason == affinity.NewFlow || v.Reason == affinity.OpeningCopy {
			fields = append(fields, "preference", v.Preference, "flows", v.Flows)
		}
		level.Info(t.logger).Log(fields...)
	})
}

var actionText = [...]string{affinity.Drop: "packet dropped", affinity.Forward: "flow forwarded", affinity.Reject: "flow rejected"}

// line writes a log line about a flow if the budget of the present second has one left.
func (t *traffic) line(write func()) { t.lines.do(t.host.now(), write) }

// lineBudget bounds log lines a second. Lines beyond it are counted.
type lineBudget struct {
	perSecond int
	since     time.Duration
	taken     int
}

func (b *lineBudget) do(now time.Duration, write func()) {
	if now-b.since >= time.Second {
		b.since, b.taken = now, 0
	}
	if b.taken >= b.perSecond {
		linesSuppressed.Inc()
		return
	}
	b.taken++
	write()
}
