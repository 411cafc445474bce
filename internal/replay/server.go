package replay

import (
	"encoding/binary"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// TCP flags of inner packets.
const (
	flagFIN = 0x01
	flagSYN = 0x02
	flagRST = 0x04
	flagPSH = 0x08
	flagACK = 0x10
)

// fabricReplies is the number of replies of which, on average, one goes through the
// fabric, which delivers it to an arbitrary entry host instead of the one that
// sent the packet.
const fabricReplies = 8

// shedCode is the JSON-RPC error code of a command that was not started.
const shedCode = -32001

// server is a fake backend server.
type server struct {
	f          *fleet
	cfg        *Backend
	service    string // service of the process on the address
	dataCentre string
	addr       netip.AddrPort

	running      bool
	listed       bool // whether the document of its service lists it
	draining     bool
	leavingSince time.Time // start of draining or removal; zero if it may receive new work
	instance     uint64
	started      time.Time
	warm         bool // has the full allowance from the start
	shedAt       time.Time
	conns        map[packet.Key]bool
	busy         map[int]int // number of the run, by the ID of the command in progress
	runs         int
	sent         uint64

	answerMode string
	delay      time.Duration
	heldBack   *heldAnswer
	reportMode string
	lastReport health.LoadReport
}

// heldAnswer is an answer that is held back until another one can be swapped
// with it.
type heldAnswer struct {
	key  packet.Key
	body []byte
	to   netip.AddrPort
}

func newServer(f *fleet, service string, cfg *Backend, addr netip.AddrPort) *server {
	return &server{
		f: f, cfg: cfg, service: service, dataCentre: cfg.DataCentre, addr: addr,
		running: !cfg.Absent, listed: !cfg.Absent, instance: 1, started: f.clock.now, warm: !cfg.Cold,
		conns: map[packet.Key]bool{}, busy: map[int]int{}, answerMode: "normal", reportMode: "normal",
	}
}

// receive handles a packet that an entry host sent.
func (s *server) receive(b []byte, from netip.AddrPort) {
	var info packet.Info
	if !s.running || s.f.parser.Parse(b, &info) != nil {
		return
	}
	now, r := s.f.clock.now, &s.f.result
	if since, out := s.f.outSince[s.dataCentre]; out && now.Sub(since) > s.f.trace.Outcomes.outAfter() {
		r.PacketsAfterOut++
	}
	doc := s.f.documents[s.service]
	payload := b[info.PayloadOffset : info.PayloadOffset+info.PayloadLen]
	dst := info.Key.Destination()
	switch {
	case dst.Addr() != doc.Address:
		r.WrongServicePackets++
	case dst.Port() == commandPort:
		s.command(payload, &info, from)
	case info.Key.Proto == packet.ProtoTCP:
		s.tcp(b, payload, &info, from)
	default:
		s.udp(payload, &info, from)
	}
}

// reply sends a packet to an entry host. One of fabricReplies packets goes to an
// arbitrary running entry host instead, as if it had passed through the fabric.
func (s *server) reply(inner []byte, to netip.AddrPort) {
	s.sent++
	h := xxhash.NewWithSeed(s.f.trace.Seed + s.sent)
	_, _ = h.WriteString(s.cfg.Name)
	if sum := h.Sum64(); sum%fabricReplies == 0 {
		via := s.f.hostOrder[sum/fabricReplies%uint64(len(s.f.hostOrder))]
		if via.running() && s.f.network.reaches(s.dataCentre, via.dataCentre) {
			to = via.gue
		}
	}
	s.f.send(s.addr, to, s.dataCentre, inner)
}

func (s *server) tcp(b, payload []byte, info *packet.Info, from netip.AddrPort) {
	back := info.Key.Reverse()
	switch {
	case info.TCPFlags&flagRST != 0:
		delete(s.conns, info.Key)
	case info.TCPFlags&flagSYN != 0:
		s.open(info.Key)
		s.reply(packet.AppendTCP(nil, back, flagSYN|flagACK, uint32(s.instance), info.Seq+1, nil), from)
	case info.TCPFlags&flagFIN != 0:
		delete(s.conns, info.Key)
		s.reply(packet.AppendTCP(nil, back, flagFIN|flagACK, info.Ack, info.Seq+1, nil), from)
	case !s.conns[info.Key]:
		if reset, err := packet.AppendReset(nil, b); err == nil {
			s.reply(reset, from)
		}
	case len(payload) > 0:
		s.reply(packet.AppendTCP(nil, back, flagACK|flagPSH, info.Ack, info.Seq+uint32(len(payload)), s.echo(payload)), from)
	}
}

// udp answers a datagram. A datagram whose first byte is 1 may open a flow; any
// other datagram of an unknown flow is answered with instance 0.
func (s *server) udp(payload []byte, info *packet.Info, from netip.AddrPort) {
	if !s.conns[info.Key] && (len(payload) == 0 || payload[0] != 1) {
		s.reply(packet.AppendUDP(nil, info.Key.Reverse(), append(make([]byte, 8), payload...)), from)
		return
	}
	s.open(info.Key)
	s.reply(packet.AppendUDP(nil, info.Key.Reverse(), s.echo(payload)), from)
}

// echo returns the instance followed by the payload.
func (s *server) echo(payload []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, s.instance), payload...)
}

func (s *server) open(k packet.Key) {
	if s.conns[k] {
		return
	}
	s.conns[k] = true
	s.newWork()
	over := len(s.conns) - s.allowance(s.cfg.ColdConnections, s.cfg.Connections)
	s.f.result.ConnectionsOver = max(s.f.result.ConnectionsOver, over)
	if c, ok := s.f.callers[k.Source()].(*flow); ok && c.server == nil {
		c.server, c.instance = s, s.instance
	}
}

func (s *server) newWork() {
	if !s.leavingSince.IsZero() && s.f.clock.now.Sub(s.leavingSince) > s.f.trace.Outcomes.leavingAfter() {
		s.f.result.NewWorkAfterLeaving++
	}
}

// allowance returns the current limit, which rises linearly from cold to full
// during the ramp.
func (s *server) allowance(cold, full int) int {
	up, ramp := s.f.clock.now.Sub(s.started), s.cfg.Ramp.Std()
	if s.warm || up >= ramp {
		return full
	}
	return cold + int(int64(full-cold)*int64(up)/int64(ramp))
}

// report returns the answer of the load URL, false for none.
func (s *server) report() (health.LoadReport, bool) {
	if !s.running || s.reportMode == "none" {
		return health.LoadReport{}, false
	}
	if s.reportMode == "stale" {
		return s.lastReport, true
	}
	up := s.f.clock.now.Sub(s.started)
	if s.warm {
		up += time.Hour
	}
	s.lastReport = health.LoadReport{
		Service: s.service, Instance: s.instance, UptimeMillis: up.Milliseconds(), Connections: len(s.conns),
		SlotsBusy: len(s.busy), Draining: s.draining,
		Shedding: !s.shedAt.IsZero() && s.f.clock.now.Sub(s.shedAt) < time.Second,
	}
	return s.lastReport, true
}

type rpcRequest struct {
	ID     int             `json:"id"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
}

type rpcError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

type rpcResponse struct {
	Version string          `json:"jsonrpc"`
	ID      int             `json:"id"`
	Result  json.RawMessage `json:"result,omitempty"`
	Error   *rpcError       `json:"error,omitempty"`
}

func (r rpcResponse) encode() []byte {
	r.Version = "2.0"
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: the parameters are JSON of this package's callers
	}
	return b
}

func (s *server) command(payload []byte, info *packet.Info, from netip.AddrPort) {
	var req rpcRequest
	if json.Unmarshal(payload, &req) != nil {
		return
	}
	if req.Method == "$/cancelRequest" {
		var p struct {
			ID int `json:"id"`
		}
		if json.Unmarshal(req.Params, &p) == nil {
			delete(s.busy, p.ID)
		}
		return
	}
	key := info.Key.Reverse()
	allowed := s.allowance(s.cfg.ColdSlots, s.cfg.Slots)
	s.f.result.SlotsOver = max(s.f.result.SlotsOver, len(s.busy)+1-allowed)
	if len(s.busy) >= allowed {
		s.shedAt = s.f.clock.now
		s.f.result.Sheds++
		s.reply(packet.AppendUDP(nil, key, rpcResponse{ID: req.ID, Error: &rpcError{shedCode, "all slots are busy"}}.encode()), from)
		return
	}
	s.newWork()
	s.f.recordStart(req.ID)
	s.runs++
	run, instance := s.runs, s.instance
	s.busy[req.ID] = run
	s.f.clock.after(s.cfg.CommandTime.Std(), s.cfg.Name, func() {
		if !s.running || s.instance != instance || s.busy[req.ID] != run {
			return
		}
		delete(s.busy, req.ID)
		s.answer(heldAnswer{key, rpcResponse{ID: req.ID, Result: req.Params}.encode(), from})
	})
}

// answer sends the answer to a command, subject to the answer mode that an event
// has set.
func (s *server) answer(a heldAnswer) {
	send := func(delay time.Duration, a heldAnswer) {
		s.f.clock.after(delay, s.cfg.Name, func() { s.reply(packet.AppendUDP(nil, a.key, a.body), a.to) })
	}
	switch {
	case s.answerMode == "late":
		send(s.delay, a)
	case s.answerMode == "duplicated":
		send(0, a)
		send(s.delay, a)
	case s.answerMode == "crossed" && s.heldBack == nil:
		s.heldBack = &a
	case s.answerMode == "crossed":
		a.body, s.heldBack.body = s.heldBack.body, a.body
		send(0, a)
		send(0, *s.heldBack)
		s.heldBack = nil
	default:
		send(0, a)
	}
}

// restart replaces the process of a backend server on the same address.
func (f *fleet) restart(e *Event) { f.backendByName[e.Backend].startProcess() }

// startProcess starts a new, cold process without flows or commands.
func (s *server) startProcess() {
	s.instance++
	s.running, s.warm, s.started = true, false, s.f.clock.now
	s.conns, s.busy, s.heldBack = map[packet.Key]bool{}, map[int]int{}, nil
}

// endProcess ends the process without notice. The server stays listed.
func (f *fleet) endProcess(e *Event) {
	s := f.backendByName[e.Backend]
	s.running = false
	s.instance++
}

// resetToCold returns a running process to its cold allowance.
func (f *fleet) resetToCold(e *Event) {
	s := f.backendByName[e.Backend]
	s.warm, s.started = false, f.clock.now
}

func (f *fleet) join(e *Event) {
	s := f.backendByName[e.Backend]
	s.startProcess()
	s.listed, s.draining, s.leavingSince = true, false, time.Time{}
	f.publishService(s.service)
}

func (f *fleet) drain(e *Event) {
	s := f.backendByName[e.Backend]
	s.draining, s.leavingSince = true, f.clock.now
	f.publishService(s.service)
}

func (f *fleet) remove(e *Event) {
	s := f.backendByName[e.Backend]
	s.listed, s.leavingSince = false, f.clock.now
	f.publishService(s.service)
}

// reassign replaces the process of a backend server with one of another service
// on the same address.
func (f *fleet) reassign(e *Event) {
	s := f.backendByName[e.Backend]
	old := s.service
	s.service = e.Service
	s.startProcess()
	s.listed, s.draining, s.leavingSince = true, false, time.Time{}
	f.publishService(old)
	f.publishService(s.service)
}

func (f *fleet) setAnswerMode(e *Event) {
	s := f.backendByName[e.Backend]
	s.answerMode, s.delay = e.State, e.Delay.Std()
}

func (f *fleet) setReportMode(e *Event) { f.backendByName[e.Backend].reportMode = e.State }
