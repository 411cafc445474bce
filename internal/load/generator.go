package load

import (
	"container/heap"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

const (
	socketBuffer = 8 << 20 // bytes
	maxDatagram  = 65507   // largest UDP payload over IPv4

	initialRTO = 250 * time.Millisecond
	maxRTO     = time.Second
	// maxSleep limits the time between two checks of the context.
	maxSleep = 10 * time.Millisecond

	// Sources of flows: ports of consecutive addresses, starting at 10.0.0.0.
	firstPort    = 10_000
	portsPerAddr = 50_000
	firstSource  = 10 << 24

	// A request holds a byte that is 1 in the first request of a flow, and its
	// number. An answer holds the instance of the backend server, followed by the
	// request. Lengths in bytes.
	requestHeader = 1 + 8
	minPayload    = requestHeader
	maxPayload    = 1400
	answerHeader  = 8

	maxLatency        = time.Minute
	significantDigits = 3 // of latencies
)

// phase is the stage that a flow has reached.
type phase uint8

const (
	opening phase = iota // waits for the answer to the SYN
	waiting              // waits for the answer to a request
	idle                 // the last request was answered
	closed
)

// flowState is the state of one flow, shared by the sender and the receiver.
type flowState struct {
	mu          sync.Mutex
	phase       phase
	resent      bool   // the packet in progress was retransmitted
	cause       string // why the flow broke, empty if it did not
	instance    uint64 // backend server process that serves the flow, 0 if unknown
	seq, ack    uint32
	request     uint64    // number of the current request
	sent        time.Time // first transmission of the packet in progress
	nextRequest time.Time // start of the next request
	endsAt      time.Time
	rto         time.Duration
}

// event is the next time at which the sender must act on a flow.
type event struct {
	at   time.Time
	flow int
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// generator is the state of one Run. The sender runs in Run's goroutine and the
// receiver in another.
type generator struct {
	cfg  Config
	conn *net.UDPConn
	rnd  *rand.Rand

	mu     sync.RWMutex
	flows  []*flowState
	events eventQueue
	buf    []byte
	body   []byte

	sent, resent         int64
	open, peak           int
	answers, stray       atomic.Int64
	openTime, answerTime *hdrhistogram.Histogram // written by the receiver
}

func newGenerator(cfg Config, conn *net.UDPConn) *generator {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	return &generator{
		cfg: cfg, conn: conn, rnd: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		body: make([]byte, cfg.Payload), openTime: histogram(), answerTime: histogram(),
	}
}

// key returns the flow key of the i-th flow.
func (g *generator) key(i int) packet.Key {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(firstSource+i/portsPerAddr))
	source := netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(firstPort+i%portsPerAddr))
	return packet.NewKey(source, g.cfg.Service, g.cfg.Proto)
}

// index returns the number of the flow with a source address, the inverse of key.
func index(source netip.AddrPort) int {
	ip := source.Addr().As4()
	return (int(binary.BigEndian.Uint32(ip[:]))-firstSource)*portsPerAddr + int(source.Port()) - firstPort
}

func (g *generator) flow(i int) *flowState {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if i < 0 || i >= len(g.flows) {
		return nil
	}
	return g.flows[i]
}

// send opens flows at the configured rate and runs them until all have ended or
// the context ends.
func (g *generator) send(ctx context.Context) {
	start := time.Now()
	gap := time.Second / time.Duration(g.cfg.FlowsPerSecond)
	total := int(g.cfg.For / gap)
	for next := 0; ctx.Err() == nil && (next < total || len(g.events) > 0); {
		now := time.Now()
		for ; next < total && !start.Add(time.Duration(next)*gap).After(now); next++ {
			g.openFlow(next, now)
		}
		for len(g.events) > 0 && !g.events[0].at.After(now) {
			e := heap.Pop(&g.events).(event)
			g.step(e.flow, now)
		}
		g.sleep(start.Add(time.Duration(next)*gap), next < total)
	}
}

// sleep waits until the next flow or event is due, at most maxSleep.
func (g *generator) sleep(nextFlow time.Time, more bool) {
	until := time.Now().Add(maxSleep)
	if more && nextFlow.Before(until) {
		until = nextFlow
	}
	if len(g.events) > 0 && g.events[0].at.Before(until) {
		until = g.events[0].at
	}
	time.Sleep(time.Until(until))
}

func (g *generator) openFlow(i int, now time.Time) {
	f := &flowState{seq: 1, sent: now, endsAt: now.Add(g.cfg.Hold), rto: initialRTO}
	g.mu.Lock()
	g.flows = append(g.flows, f)
	g.mu.Unlock()
	g.open++
	g.peak = max(g.peak, g.open)
	f.mu.Lock()
	defer f.mu.Unlock()
	if g.cfg.Proto == packet.ProtoUDP {
		g.startRequest(i, f, now)
		return
	}
	g.transmit(i, f)
	g.schedule(i, now.Add(f.rto))
}

// step handles an event of a flow: it sends the next request, retransmits the
// packet in progress, or ends the flow.
func (g *generator) step(i int, now time.Time) {
	f := g.flow(i)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.cause != "":
		g.end(f)
	case f.phase == idle && now.Before(f.nextRequest):
		g.schedule(i, f.nextRequest)
	case f.phase == idle && now.Before(f.endsAt):
		g.startRequest(i, f, now)
	case f.phase == idle:
		g.close(i, f)
	case now.Sub(f.sent) >= g.cfg.GiveUp:
		f.cause = causeTimeout
		g.end(f)
	default:
		f.resent = true
		f.rto = min(2*f.rto, maxRTO)
		g.resent++
		g.transmit(i, f)
		g.schedule(i, now.Add(f.rto))
	}
}

func (g *generator) startRequest(i int, f *flowState, now time.Time) {
	f.request++
	f.phase, f.resent, f.sent, f.rto = waiting, false, now, initialRTO
	f.nextRequest = now.Add(g.cfg.Interval)
	g.transmit(i, f)
	g.schedule(i, now.Add(min(f.rto, g.cfg.Interval)))
}

func (g *generator) schedule(i int, at time.Time) { heap.Push(&g.events, event{at, i}) }

// end marks a flow as ended. A flow that never opened keeps the phase opening,
// which the report counts as not opened.
func (g *generator) end(f *flowState) {
	if f.phase != opening {
		f.phase = closed
	}
	g.open--
}

func (g *generator) close(i int, f *flowState) {
	if g.cfg.Proto == packet.ProtoTCP {
		g.write(packet.AppendTCP(g.buf[:0], g.key(i), packet.FlagFIN|packet.FlagACK, f.seq, f.ack, nil))
	}
	g.end(f)
}

// transmit sends the packet in progress: the SYN or the current request.
func (g *generator) transmit(i int, f *flowState) {
	k := g.key(i)
	if f.phase == opening {
		g.write(packet.AppendTCP(g.buf[:0], k, packet.FlagSYN, f.seq-1, 0, nil))
		return
	}
	g.body[0] = 0
	if f.request == 1 {
		g.body[0] = 1
	}
	binary.BigEndian.PutUint64(g.body[1:], f.request)
	if g.cfg.Proto == packet.ProtoUDP {
		g.write(packet.AppendUDP(g.buf[:0], k, g.body))
		return
	}
	g.write(packet.AppendTCP(g.buf[:0], k, packet.FlagACK, f.seq, f.ack, g.body))
}

func (g *generator) write(inner []byte) {
	g.buf = inner
	g.sent++
	_, _ = g.conn.WriteToUDPAddrPort(inner, g.cfg.Hosts[g.rnd.IntN(len(g.cfg.Hosts))])
}

// receive dispatches answers to their flows until the socket is closed.
func (g *generator) receive() {
	var parser packet.Parser
	var info packet.Info
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if parser.Parse(buf[:n], &info) != nil {
			g.stray.Add(1)
			continue
		}
		if !g.handlePacket(&info, buf[info.PayloadOffset:info.PayloadOffset+info.PayloadLen], time.Now()) {
			g.stray.Add(1)
		}
	}
}

// handlePacket updates the flow that a packet belongs to. It returns false for a
// packet that the flow does not expect, or that belongs to no flow.
func (g *generator) handlePacket(info *packet.Info, payload []byte, now time.Time) bool {
	caller := info.Key.Destination()
	if !caller.Addr().Is4() {
		return false
	}
	f := g.flow(index(caller))
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.phase == closed || f.cause != "":
		return false
	case info.RST():
		f.cause = causeReset
	case f.phase == opening:
		return g.handleSYNACK(f, info, now)
	case f.phase == waiting && isAnswer(payload, f.request):
		g.handleAnswer(f, payload, now)
	default:
		return false
	}
	return true
}

// handleSYNACK handles the answer to the SYN. The sender starts the first request
// at the next event of the flow. It returns false if the packet is not a SYN-ACK.
func (g *generator) handleSYNACK(f *flowState, info *packet.Info, now time.Time) bool {
	if info.TCPFlags&(packet.FlagSYN|packet.FlagACK) != packet.FlagSYN|packet.FlagACK {
		return false
	}
	f.phase, f.ack = idle, info.Seq+1
	if !f.resent {
		_ = g.openTime.RecordValue(now.Sub(f.sent).Microseconds())
	}
	return true
}

func isAnswer(payload []byte, request uint64) bool {
	return len(payload) >= answerHeader+requestHeader && binary.BigEndian.Uint64(payload[answerHeader+1:]) == request
}

func (g *generator) handleAnswer(f *flowState, payload []byte, now time.Time) {
	g.answers.Add(1)
	f.phase = idle
	f.seq += uint32(g.cfg.Payload)
	if !f.resent {
		_ = g.answerTime.RecordValue(now.Sub(f.sent).Microseconds())
	}
	instance := binary.BigEndian.Uint64(payload)
	if f.instance == 0 {
		f.instance = instance
	}
	if f.instance != instance {
		f.cause = causeMoved
	}
}

// report returns the report of a run. It must be called after the receiver has
// ended.
func (g *generator) report(elapsed time.Duration) *Report {
	r := &Report{
		DurationMS: elapsed.Milliseconds(), Flows: len(g.flows), BrokenByCause: map[string]int{}, PeakOpen: g.peak,
		Sent: g.sent, Answers: g.answers.Load(), Retransmitted: g.resent, Stray: g.stray.Load(),
		OpenMicros: latencyOf(g.openTime), AnswerMicros: latencyOf(g.answerTime),
	}
	for _, f := range g.flows {
		switch {
		case f.phase == opening:
			r.NotOpened++
		case f.cause != "":
			r.Broken++
			r.BrokenByCause[f.cause]++
		case f.phase == closed:
			r.Completed++
		}
	}
	r.FlowsPerSecond = float64(r.Flows-r.NotOpened) / min(elapsed, g.cfg.For).Seconds()
	return r
}
