package replay

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/daemon"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
)

// One-way network delays.
const (
	delayWithin  = 300 * time.Microsecond  // within a data centre
	delayBetween = 1400 * time.Microsecond // between data centres
	delayCaller  = time.Millisecond        // to and from callers
)

// closeDelay is the time from the start of a partition until missed
// heartbeats have closed the peer connections across it.
const closeDelay = 4 * time.Second

// network carries datagrams and calls between the parts of the simulation.
type network struct {
	f             *fleet
	cut           map[string]bool // data centres that are partitioned from the others
	cutSince      time.Time
	healedAt      time.Time
	cutBeforeHeal map[string]bool    // value of cut before the partition healed at healedAt
	silent        map[[2]string]bool // connections between entry hosts that deliver nothing
	loss          int                // percent of datagrams
	dup           int                // percent of datagrams
	reorder       int                // percent of datagrams
	delay         time.Duration      // extra delay of reordered and duplicate datagrams
	sent          map[string]uint64  // number of datagrams by lane
}

// reaches reports whether two data centres are connected.
func (n *network) reaches(a, b string) bool { return a == b || n.cut[a] == n.cut[b] }

// separated reports whether two data centres are partitioned from each other
// now, or were when the last partition healed, if that was after since.
func (n *network) separated(a, b string, since time.Time) bool {
	return !n.reaches(a, b) || n.healedAt.After(since) && n.cutBeforeHeal[a] != n.cutBeforeHeal[b]
}

// chance reports, with a probability in percent, whether the fault named by
// what applies to the current datagram of a lane. The result depends only on
// the seed, the lane, the fault and the number of the datagram in the lane.
func (n *network) chance(percent int, lane, what string) bool {
	if percent == 0 {
		return false
	}
	h := xxhash.NewWithSeed(n.f.trace.Seed)
	_, _ = h.WriteString(lane + what + strconv.FormatUint(n.sent[lane], 10))
	return h.Sum64()%100 < uint64(percent)
}

// datagram schedules the delivery of a datagram between two data centres,
// subject to the configured faults. An empty data centre stands for the callers,
// which reach every data centre.
func (n *network) datagram(from, to netip.AddrPort, dc, toDC string, deliver func()) {
	if dc != "" && toDC != "" && !n.reaches(dc, toDC) {
		return
	}
	lane := from.String() + ">" + to.String()
	n.sent[lane]++
	delay := delayCaller
	switch {
	case dc == toDC:
		delay = delayWithin
	case dc != "" && toDC != "":
		delay = delayBetween
	}
	if n.chance(n.loss, lane, "loss") {
		return
	}
	if n.chance(n.reorder, lane, "reorder") {
		delay += n.delay
	}
	n.f.clock.after(delay, lane, deliver)
	if n.chance(n.dup, lane, "duplicate") {
		n.f.clock.after(delay+n.delay, lane, deliver)
	}
}

// socket is a UDP socket of an entry host.
type socket struct {
	h    *host
	addr netip.AddrPort
}

func (s *socket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (s *socket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if s.h.running() {
		s.h.f.send(s.addr, to, s.h.dataCentre, slices.Clone(b))
	}
	return len(b), nil
}

func (s *socket) Close() error { return nil }

// sockets implements daemon.Network.
type sockets struct{ h *host }

func (s sockets) ListenUDP(addr netip.AddrPort) (daemon.PacketConn, error) {
	return &socket{s.h, addr}, nil
}
func (sockets) Listen(netip.AddrPort) (net.Listener, error) { return nil, net.ErrClosed }
func (sockets) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	return nil, net.ErrClosed
}

// environment implements daemon.Environment for one process of an entry host,
// identified by its number.
type environment struct {
	h       *host
	process int
}

type deadlineKey struct{}

func (e environment) Now() time.Time { return e.h.f.clock.now }

// ended reports whether the process has ended. Its routines must not run then.
func (e environment) ended() bool { return e.h.process != e.process }

func (e environment) Go(f func()) {
	if !e.ended() {
		e.h.f.clock.spawn(e.h.id, f, e.ended)
	}
}

func (e environment) WithTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithValue(ctx, deadlineKey{}, e.Now().Add(timeout)), func() {}
}

// Call suspends the calling routine until the call has ended.
func (e environment) Call(ctx context.Context, id, method string, params, result any) error {
	body, err := json.Marshal(params)
	if err != nil {
		return err
	}
	r := e.h.f.clock.routine
	if e.ended() {
		return peer.ErrOutcomeUnknown
	}
	c := &call{from: e.h, to: e.h.f.hosts[id], method: method, params: body, result: result, routine: r, err: peer.ErrOutcomeUnknown}
	c.deadline, _ = ctx.Value(deadlineKey{}).(time.Time)
	if c.to == nil || !e.h.daemon.IsListed(id) {
		return peer.ErrNotSent
	}
	r.wait(c.send)
	return c.err
}

// call is an RPC between two entry hosts.
type call struct {
	from, to *host
	method   string
	params   json.RawMessage
	result   any
	deadline time.Time
	routine  *routine
	ended    bool
	err      error
}

func (c *call) lane(direction string) string { return c.from.id + direction + c.to.id }

func (c *call) blocked() bool {
	n := &c.from.f.network
	return !n.reaches(c.from.dataCentre, c.to.dataCentre) || n.silent[[2]string{c.from.id, c.to.id}]
}

// delay returns the one-way latency. Calls that carry control state also incur
// the lag of the called host, in each direction.
func (c *call) delay() time.Duration {
	d := delayBetween
	if c.from.dataCentre == c.to.dataCentre {
		d = delayWithin
	}
	if strings.HasPrefix(c.method, "config.") || strings.HasPrefix(c.method, "health.") || strings.HasPrefix(c.method, "admission.") {
		d += c.to.lag
	}
	return d
}

func (c *call) send() {
	f := c.from.f
	f.clock.after(c.deadline.Sub(f.clock.now), c.lane("!"), func() {
		if f.network.cutSince.Add(closeDelay).Before(f.clock.now) && !f.network.reaches(c.from.dataCentre, c.to.dataCentre) {
			c.err = peer.ErrNotSent
		}
		c.end()
	})
	refused := c.to.daemon == nil
	if c.blocked() {
		return
	}
	target := c.to.process
	f.clock.after(c.delay(), c.lane("="), func() {
		if refused || c.to.process != target {
			if refused {
				c.err = peer.ErrNotSent
			}
			f.clock.after(c.delay(), c.lane("-"), c.end)
			return
		}
		c.to.receive(c.handle)
	})
}

func (c *call) handle() {
	if !c.to.daemon.IsListed(c.from.id) {
		c.answer(nil, &peer.RemoteError{Code: peer.CodeUnlisted, Message: "not on the host list"})
		return
	}
	c.to.daemon.Call(c.from.id, c.method, c.params, c.answer)
}

func (c *call) answer(v any, err error) {
	if c.blocked() {
		return
	}
	body, marshalErr := json.Marshal(v)
	c.from.f.clock.after(c.delay(), c.lane("-"), func() {
		switch {
		case c.ended:
			return
		case err != nil:
			c.err = err
			if _, ok := err.(*peer.RemoteError); !ok {
				c.err = &peer.RemoteError{Code: peer.CodeHandler, Message: err.Error()}
			}
		case marshalErr == nil:
			c.err = c.decode(body)
		}
		c.end()
	})
}

func (c *call) decode(body []byte) error {
	if c.result == nil || reflect.ValueOf(c.result).IsNil() {
		return nil
	}
	return json.Unmarshal(body, c.result)
}

// end resumes the calling routine, after a pause of its host if there is one.
func (c *call) end() {
	if c.ended {
		return
	}
	c.ended = true
	process := c.from.process
	c.from.receive(func() {
		if c.from.process == process {
			c.from.f.clock.resume(c.routine)
		}
	})
}
