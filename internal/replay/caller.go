package replay

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Retransmission by callers: the timeout doubles up to maxRetransmitAfter. A
// request without an answer breaks the flow 18.8 s after its first transmission.
// The fabric keeps sending to paused entry hosts, so several transmissions in a
// row may be lost although all other hosts work.
const (
	retransmitAfter    = 400 * time.Millisecond
	maxRetransmitAfter = 3200 * time.Millisecond
	maxTransmissions   = 8
)

// flow simulates the caller of one flow. It sends a request, waits for the
// answer, and sends the next request after an interval.
type flow struct {
	f              *fleet
	n              int
	key            packet.Key
	home           string // data centre nearest to the caller
	interval       time.Duration
	endsAt         time.Time
	startedAt      time.Time
	opened         bool
	finished       bool
	request        int       // number of the request in progress; 0 is the SYN of a TCP flow
	requestStarted time.Time // first transmission of the request in progress
	answered       bool
	packets        uint64  // sent
	server         *server // backend server that opened the flow
	instance       uint64
}

func (f *fleet) startFlows(e *Event) { f.spread(e, func() { f.startFlow(e) }) }

// spread calls start e.Count times, evenly distributed over e.Over.
func (f *fleet) spread(e *Event, start func()) {
	for i := range e.Count {
		delay := e.Over.Std() * time.Duration(i) / time.Duration(e.Count)
		f.clock.after(delay, e.Action+" "+e.Service, start)
	}
}

func (f *fleet) startFlow(e *Event) {
	doc, addr := f.documents[e.Service], f.callerAddr()
	c := &flow{f: f, n: len(f.allFlows), home: f.home(len(f.allFlows)), interval: e.Interval.Std(), startedAt: f.clock.now, endsAt: f.clock.now.Add(e.Life.Std())}
	c.key = flowKey(addr, doc.Address, doc.Port, packet.ProtoTCP)
	if f.services[e.Service].Protocol == "udp" {
		c.key.Proto = packet.ProtoUDP
	}
	f.callers[addr] = c
	f.allFlows = append(f.allFlows, c)
	f.result.Flows++
	c.sendRequest()
}

func flowKey(from netip.AddrPort, to netip.Addr, port uint16, proto uint8) packet.Key {
	return packet.Key{Src: from.Addr().As16(), SrcPort: from.Port(), Dst: to.As16(), DstPort: port, Proto: proto}
}

func (c *flow) isTCP() bool { return c.key.Proto == packet.ProtoTCP }

// sendRequest starts the request in progress.
func (c *flow) sendRequest() {
	c.answered, c.requestStarted = false, c.f.clock.now
	c.f.result.Requests++
	c.transmit(c.request, 1, retransmitAfter)
}

// transmit sends the packet of a request and schedules its retransmission. times
// is the number of the transmission, starting at 1; beyond maxTransmissions, the
// flow ends. It has no effect once the request is answered.
func (c *flow) transmit(request, times int, wait time.Duration) {
	if c.finished || c.answered || c.request != request {
		return
	}
	if times > maxTransmissions {
		c.endEarly()
		return
	}
	c.send()
	c.f.clock.after(wait, lane("flow", c.n), func() { c.transmit(request, times+1, min(2*wait, maxRetransmitAfter)) })
}

func (c *flow) send() {
	c.packets++
	c.f.spray(c.key.Source(), c.home, c.packets, c.packet())
}

// payload returns the number of the request in eight bytes. The first byte is 1
// until the flow is open.
func (c *flow) payload() []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(c.request))
	if !c.opened {
		b[0] = 1
	}
	return b
}

func (c *flow) seq() uint32 { return 1 + 8*uint32(c.request-1) }

func (c *flow) packet() []byte {
	switch {
	case !c.isTCP():
		return packet.AppendUDP(nil, c.key, c.payload())
	case !c.opened:
		return packet.AppendTCP(nil, c.key, flagSYN, 0, 0, nil)
	}
	return packet.AppendTCP(nil, c.key, flagACK|flagPSH, c.seq(), 1, c.payload())
}

func (c *flow) receive(info *packet.Info, payload []byte) {
	if c.finished {
		return
	}
	switch {
	case c.isTCP() && info.TCPFlags&flagRST != 0:
		c.endEarly()
	case c.isTCP() && info.TCPFlags&flagSYN != 0:
		if !c.opened {
			c.opened = true
			c.handleAnswer()
		}
	case c.isTCP() && (!c.opened || info.Ack != c.seq()+8), c.answered:
	case len(payload) != 16 || !bytes.Equal(payload[9:], c.payload()[1:]):
		if c.isTCP() {
			c.f.result.WrongAnswers++
		}
	case !c.isTCP() && binary.BigEndian.Uint64(payload) == 0:
		c.endEarly()
	default:
		c.opened = true
		c.handleAnswer()
	}
}

// handleAnswer schedules the next request, or the end of the flow, after the
// interval.
func (c *flow) handleAnswer() {
	c.answered = true
	c.f.result.Answered++
	c.f.clock.after(c.interval, lane("flow", c.n), func() {
		if c.finished {
			return
		}
		if !c.f.clock.now.Before(c.endsAt) {
			c.finish()
			return
		}
		c.request++
		c.sendRequest()
	})
}

func (c *flow) finish() {
	c.finished = true
	c.f.result.FlowsCompleted++
	if c.isTCP() {
		c.packets++
		c.f.spray(c.key.Source(), c.home, c.packets, packet.AppendTCP(nil, c.key, flagFIN|flagACK, c.seq()+8, 1, nil))
	}
	if c.server != nil {
		delete(c.server.conns, c.key)
	}
}

// endEarly ends a flow before its planned end and counts the cause. A flow that was
// never open counts as refused.
func (c *flow) endEarly() {
	c.finished = true
	if c.server != nil {
		delete(c.server.conns, c.key)
	}
	b, f := &c.f.result.Broken, c.f
	switch {
	case !c.opened || c.server == nil:
		f.result.FlowsRefused++
	case f.lastTakenOut[c.server.dataCentre].After(c.startedAt):
		b.DataCentreOut++
	case c.server.instance != c.instance || !c.server.listed:
		b.BackendEnded++
	case f.network.separated(c.home, c.server.dataCentre, c.requestStarted):
		b.Partition++
	default:
		b.Unexpected++
		f.result.note(fmt.Sprintf("%v: flow %d to %s broke after request %d", f.clock.now.Sub(epoch), c.n, c.server.cfg.Name, c.request))
	}
}

// command simulates the caller of one command. It sends the request and repeats
// it as often as the event states.
type command struct {
	f          *fleet
	n          int
	key        packet.Key
	home       string
	idempotent bool
	body       []byte
	packets    uint64
	starts     int    // number of times that backend servers started it
	outcome    string // first answer, or the first after unknown: answered, not_run, unknown or refused
}

func (f *fleet) startCommands(e *Event) { f.spread(e, func() { f.startCommand(e) }) }

func (f *fleet) startCommand(e *Event) {
	doc, addr, n := f.documents[e.Service], f.callerAddr(), len(f.commands)+1
	c := &command{
		f: f, n: n, home: f.home(n), key: flowKey(addr, doc.Address, commandPort, packet.ProtoUDP),
		idempotent: slices.Contains(f.services[e.Service].IdempotentMethods, e.Method),
		body:       fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"n":%d}}`, n, e.Method, n),
	}
	f.callers[addr], f.commands[n] = c, c
	f.result.Commands++
	c.send(e.Repeats, e.Interval.Std())
}

func (c *command) send(repeats int, interval time.Duration) {
	c.packets++
	c.f.spray(c.key.Source(), c.home, c.packets, packet.AppendUDP(nil, c.key, c.body))
	if repeats > 0 {
		c.f.clock.after(interval, lane("command", c.n), func() { c.send(repeats-1, interval) })
	}
}

// receive checks an answer. A repeated request may be answered again with the
// same answer.
func (c *command) receive(_ *packet.Info, payload []byte) {
	var r struct {
		ID     int       `json:"id"`
		Error  *rpcError `json:"error"`
		Result *struct {
			N int `json:"n"`
		} `json:"result"`
	}
	if err := json.Unmarshal(payload, &r); err != nil || r.ID != c.n || r.Result != nil && r.Result.N != c.n {
		c.f.result.WrongAnswers++
		return
	}
	outcome := "refused"
	switch {
	case r.Result != nil:
		outcome = "answered"
	case r.Error != nil && r.Error.Code == shedCode:
		outcome = "not_run"
	case r.Error != nil && r.Error.Code == shedCode-1:
		outcome = "unknown"
	}
	if c.outcome == "" || c.outcome == "unknown" {
		c.outcome = outcome
	}
}

// recordStart records that a backend server has started a command.
func (f *fleet) recordStart(n int) {
	if c := f.commands[n]; c != nil {
		c.starts++
	}
}
