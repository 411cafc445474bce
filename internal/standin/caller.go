package standin

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Parameters of the caller's protocol stack.
const (
	initialRTO   = 250 * time.Millisecond
	maxRTO       = time.Second
	inboxPackets = 16 // answers queued for a flow
)

// Caller sends the inner packets of many flows to the fabric over one socket and
// dispatches the answers to the flows.
type Caller struct {
	conn   *net.UDPConn
	fabric netip.AddrPort

	mu    sync.Mutex
	inbox map[packet.Key]chan answer // by flow key of the answers
	stray int64                      // answers without a flow, or beyond its queue
}

// answer is a packet received for a flow.
type answer struct {
	flags   uint8
	seq     uint32
	payload []byte
}

// NewCaller starts a caller that listens on an address and sends to the fabric.
func NewCaller(listen string, fabric netip.AddrPort) (*Caller, error) {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	conn, err := listenUDP(addr)
	if err != nil {
		return nil, err
	}
	c := &Caller{conn: conn, fabric: fabric, inbox: map[packet.Key]chan answer{}}
	go c.run()
	return c, nil
}

// Close stops the caller.
func (c *Caller) Close() { _ = c.conn.Close() }

// Stray returns the number of packets that matched no flow or exceeded the queue
// of a flow.
func (c *Caller) Stray() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stray
}

func (c *Caller) run() {
	var parser packet.Parser
	var info packet.Info
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if err := parser.Parse(buf[:n], &info); err != nil {
			continue
		}
		payload := buf[info.PayloadOffset : info.PayloadOffset+info.PayloadLen]
		c.deliver(info.Key, answer{flags: info.TCPFlags, seq: info.Seq, payload: append([]byte(nil), payload...)})
	}
}

func (c *Caller) deliver(k packet.Key, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch, ok := c.inbox[k]
	if !ok {
		c.stray++
		return
	}
	select {
	case ch <- a:
	default:
		c.stray++
	}
}

func (c *Caller) register(k packet.Key) chan answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan answer, inboxPackets)
	c.inbox[k.Reverse()] = ch
	return ch
}

func (c *Caller) unregister(k packet.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inbox, k.Reverse())
}

func (c *Caller) send(inner []byte) {
	_, _ = c.conn.WriteToUDPAddrPort(inner, c.fabric)
}

// Cause is the reason why a flow ended.
type Cause string

// Reasons why a flow ended.
const (
	CauseNone      Cause = ""           // finished as planned
	CauseNotOpened Cause = "not_opened" // never established
	CauseReset     Cause = "reset"
	CauseTimeout   Cause = "timeout"
	CauseMoved     Cause = "moved" // another backend server process answered
)

// FlowConfig configures a flow.
type FlowConfig struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Proto       uint8           // packet.ProtoTCP or packet.ProtoUDP
	Interval    time.Duration   // between requests
	Duration    time.Duration   // after which the flow is closed
	Stop        <-chan struct{} // closed to end the flow after one more answered request; nil for never
	Timeout     time.Duration   // limit for each answer, after which the flow is broken
	Payload     int             // bytes per request
}

// FlowResult is the result of a flow.
type FlowResult struct {
	Config           FlowConfig
	Cause            Cause
	Instance         uint64 // backend server process that served the flow
	AcceptedInstance uint32 // low 32 bits of the instance that accepted a TCP flow
	Opened           time.Time
	Ended            time.Time
	Answers          int
}

// Broken reports whether an established flow ended early.
func (r *FlowResult) Broken() bool { return r.Cause != CauseNone && r.Cause != CauseNotOpened }

// flowRun is the state of a flow in progress.
type flowRun struct {
	c      *Caller
	cfg    FlowConfig
	key    packet.Key
	inbox  chan answer
	seq    uint32
	ack    uint32
	result FlowResult
}

// RunFlow opens a flow, sends requests until its duration has passed, Stop is
// closed or the context ends, and closes the flow.
func (c *Caller) RunFlow(ctx context.Context, cfg FlowConfig) FlowResult {
	f := &flowRun{c: c, cfg: cfg, key: packet.NewKey(cfg.Source, cfg.Destination, cfg.Proto), seq: 1}
	f.inbox = c.register(f.key)
	defer c.unregister(f.key)
	f.result.Config = cfg
	f.result.Cause = f.run(ctx)
	f.result.Ended = time.Now()
	return f.result
}

func (f *flowRun) run(ctx context.Context) Cause {
	if cause := f.open(ctx); cause != CauseNone {
		return CauseNotOpened
	}
	f.result.Opened = time.Now()
	end := time.After(f.cfg.Duration)
	tick := time.NewTicker(f.cfg.Interval)
	defer tick.Stop()
	for n := uint64(1); ; n++ {
		if cause := f.exchange(ctx, n); cause != CauseNone {
			return cause
		}
		f.result.Answers++
		select {
		case <-ctx.Done():
			f.close()
			return CauseNone
		case <-end:
			f.close()
			return CauseNone
		case <-f.cfg.Stop:
			return f.finish(ctx, n+1)
		case <-tick.C:
		}
	}
}

// finish sends a last request, which shows that the flow still works when Stop
// is closed, and closes the flow.
func (f *flowRun) finish(ctx context.Context, n uint64) Cause {
	cause := f.exchange(ctx, n)
	if cause == CauseNone {
		f.result.Answers++
		f.close()
	}
	return cause
}

func (f *flowRun) open(ctx context.Context) Cause {
	if f.cfg.Proto == packet.ProtoUDP {
		return CauseNone
	}
	a, cause := f.roundTrip(ctx, packet.AppendTCP(nil, f.key, flagSYN, 0, 0, nil), func(a answer) bool {
		return a.flags&(flagSYN|flagACK) == flagSYN|flagACK
	})
	f.ack = a.seq + 1
	f.result.AcceptedInstance = a.seq
	return cause
}

// exchange sends one request and waits for its answer. The first byte of a
// UDP payload marks the first datagram of a flow.
func (f *flowRun) exchange(ctx context.Context, n uint64) Cause {
	body := make([]byte, max(f.cfg.Payload, 1+8))
	if n == 1 {
		body[0] = 1
	}
	binary.BigEndian.PutUint64(body[1:], n)
	var out []byte
	if f.cfg.Proto == packet.ProtoUDP {
		out = packet.AppendUDP(nil, f.key, body)
	} else {
		out = packet.AppendTCP(nil, f.key, flagACK|flagPSH, f.seq, f.ack, body)
	}
	a, cause := f.roundTrip(ctx, out, func(a answer) bool {
		return len(a.payload) >= echoHeaderLen+9 && binary.BigEndian.Uint64(a.payload[echoHeaderLen+1:]) == n
	})
	if cause != CauseNone || len(a.payload) == 0 {
		return cause
	}
	f.seq += uint32(len(body))
	instance := binary.BigEndian.Uint64(a.payload)
	if f.result.Instance == 0 {
		f.result.Instance = instance
	}
	if instance != f.result.Instance {
		return CauseMoved
	}
	return CauseNone
}

// roundTrip sends a packet and waits for an answer that accept returns true for.
// It retransmits the packet with exponential backoff. A cancelled context ends it
// without a cause, since the flow then ends as planned.
func (f *flowRun) roundTrip(ctx context.Context, out []byte, accept func(answer) bool) (answer, Cause) {
	timeout := time.NewTimer(f.cfg.Timeout)
	defer timeout.Stop()
	for rto := initialRTO; ; rto = min(2*rto, maxRTO) {
		f.c.send(out)
		retransmit := time.NewTimer(rto)
		a, done, cause := f.wait(ctx, retransmit.C, timeout.C, accept)
		retransmit.Stop()
		if done {
			return a, cause
		}
	}
}

// wait returns the accepted answer, or the cause of the end of the flow. The
// second result is false if the packet must be retransmitted.
func (f *flowRun) wait(ctx context.Context, retransmit, timeout <-chan time.Time, accept func(answer) bool) (answer, bool, Cause) {
	for {
		select {
		case <-ctx.Done():
			return answer{}, true, CauseNone
		case <-timeout:
			return answer{}, true, CauseTimeout
		case <-retransmit:
			return answer{}, false, CauseNone
		case a := <-f.inbox:
			if f.cfg.Proto == packet.ProtoTCP && a.flags&flagRST != 0 {
				return a, true, CauseReset
			}
			if accept(a) {
				return a, true, CauseNone
			}
		}
	}
}

func (f *flowRun) close() {
	if f.cfg.Proto == packet.ProtoTCP {
		f.c.send(packet.AppendTCP(nil, f.key, flagFIN|flagACK, f.seq, f.ack, nil))
	}
}
