package standin

import (
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
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

// echoHeaderLen is the length of the instance that precedes echoed payloads.
const echoHeaderLen = 8

// loadReportHistory is the number of load reports kept to serve delayed reports.
const loadReportHistory = 256

// BackendConfig configures a backend server stand-in.
type BackendConfig struct {
	Addr        netip.AddrPort // receives encapsulated packets
	LoadAddr    string         // HTTP address of the load endpoint; empty for none
	Service     string
	DataCentre  string
	FlowAddr    netip.AddrPort // the service's address for flows
	CommandAddr netip.AddrPort // the service's address for commands; zero for none
	Connections int            // limit of open flows
	Slots       int            // limit of commands in progress
	Cold        document.Cold
	WarmStart   bool          // has the full allowance from the start
	CommandTime time.Duration // time to run a command
	ReportLag   time.Duration // minimum age of the load reports that are served
	Instance    uint64        // identifies the process
}

// BackendStats holds the counters of a backend server.
type BackendStats struct {
	Instance              uint64
	Packets               int64
	WrongServicePackets   int64
	FlowsOpened           int64
	Connections           int
	MaxConnections        int
	MaxOverConnections    int // largest excess of connections over the allowance at the time
	MaxOverSlots          int // largest excess of commands in progress over the allowance
	Sheds                 int64
	UnknownFlowResets     int64
	PacketsAfterTakeout   int64
	NewWorkAfterLeaving   int64
	Cancellations         int64
	CommandsRun           int64
	CommandsRunAfterLimit int64 // started after their deadline; not recorded at present
}

// CommandID identifies a command by its caller and its JSON-RPC request ID.
type CommandID struct {
	Caller netip.AddrPort
	ID     string
}

type backendConn struct {
	from netip.AddrPort
	last time.Time
}

type timedReport struct {
	at     time.Time
	report loadReport
}

// loadReport is the answer of the load endpoint.
type loadReport struct {
	Service     string `json:"service"`
	Instance    uint64 `json:"instance"`
	UptimeMS    int64  `json:"uptime_ms"`
	Connections int    `json:"connections"`
	SlotsBusy   int    `json:"slots_busy"`
	Draining    bool   `json:"draining"`
	Shedding    bool   `json:"shedding"`
}

// Backend is a backend server stand-in. It answers requests on TCP and UDP flows
// with its instance number followed by the payload, and runs commands.
type Backend struct {
	cfg  BackendConfig
	conn *net.UDPConn
	http *http.Server

	mu                sync.Mutex
	started           time.Time
	warm              bool
	conns             map[packet.Key]backendConn
	busy              map[CommandID]*time.Timer
	runs              map[CommandID]int
	hosts             []netip.AddrPort
	draining          bool
	silent            bool
	countPacketsAfter time.Time
	countNewWorkAfter time.Time
	shedAt            time.Time
	reports           []timedReport
	stats             BackendStats
}

// NewBackend starts a backend server that runs until Close.
func NewBackend(cfg BackendConfig) (*Backend, error) {
	conn, err := listenUDP(cfg.Addr)
	if err != nil {
		return nil, err
	}
	b := &Backend{
		cfg:     cfg,
		conn:    conn,
		started: time.Now(),
		warm:    cfg.WarmStart,
		conns:   map[packet.Key]backendConn{},
		busy:    map[CommandID]*time.Timer{},
		runs:    map[CommandID]int{},
	}
	b.stats.Instance = cfg.Instance
	if cfg.LoadAddr != "" {
		if err := b.serveLoad(); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	go b.run()
	return b, nil
}

// Addr returns the address that receives encapsulated packets.
func (b *Backend) Addr() netip.AddrPort { return b.cfg.Addr }

// DataCentre returns the data centre of the backend server.
func (b *Backend) DataCentre() string { return b.cfg.DataCentre }

// Close stops the backend server.
func (b *Backend) Close() {
	_ = b.conn.Close()
	if b.http != nil {
		_ = b.http.Close()
	}
}

// Restart replaces the process on the same address: its flows and commands in
// progress are dropped, the instance changes and the server is cold. The record
// of started commands is kept.
func (b *Backend) Restart(instance uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started, b.warm = time.Now(), false
	b.stats.Instance = instance
	b.conns = map[packet.Key]backendConn{}
	for id, t := range b.busy {
		t.Stop()
		delete(b.busy, id)
	}
}

// SetDraining sets the draining flag of the load report.
func (b *Backend) SetDraining(v bool) { b.locked(func() { b.draining = v }) }

// SetSilent makes the backend server drop every packet.
func (b *Backend) SetSilent(v bool) { b.locked(func() { b.silent = v }) }

// CountPacketsAfter counts the packets received after a time; zero stops counting.
func (b *Backend) CountPacketsAfter(at time.Time) { b.locked(func() { b.countPacketsAfter = at }) }

// CountNewWorkAfter counts the flows and commands that start after a time; zero
// stops counting.
func (b *Backend) CountNewWorkAfter(at time.Time) { b.locked(func() { b.countNewWorkAfter = at }) }

// SetEntryHosts records the entry hosts to which the fabric could carry answers.
// At present every answer goes to the entry host that sent the packet.
func (b *Backend) SetEntryHosts(hosts []netip.AddrPort) { b.locked(func() { b.hosts = hosts }) }

func (b *Backend) locked(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// Stats returns a copy of the counters.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Connections = len(b.conns)
	return s
}

// Runs returns the number of times that each command was started.
func (b *Backend) Runs() map[CommandID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[CommandID]int, len(b.runs))
	for id, n := range b.runs {
		out[id] = n
	}
	return out
}

func (b *Backend) run() {
	var parser packet.Parser
	var info packet.Info
	buf := make([]byte, maxDatagram)
	out := make([]byte, 0, maxDatagram)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if err := parser.Parse(buf[:n], &info); err != nil {
			continue
		}
		out = b.handle(out[:0], buf[:n], unmap(from), &info, time.Now())
		if len(out) > 0 {
			b.send(out, unmap(from))
		}
	}
}

func (b *Backend) send(inner []byte, to netip.AddrPort) {
	_, _ = b.conn.WriteToUDPAddrPort(inner, to)
}

// handle returns the answer to a packet, empty for none.
func (b *Backend) handle(out, inner []byte, from netip.AddrPort, info *packet.Info, now time.Time) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent {
		return out
	}
	b.stats.Packets++
	if !b.countPacketsAfter.IsZero() && now.After(b.countPacketsAfter) {
		b.stats.PacketsAfterTakeout++
	}
	payload := inner[info.PayloadOffset : info.PayloadOffset+info.PayloadLen]
	switch dst := info.Key.Destination(); {
	case dst == b.cfg.FlowAddr && info.Key.Proto == packet.ProtoTCP:
		return b.handleTCP(out, inner, payload, from, info, now)
	case dst == b.cfg.FlowAddr && info.Key.Proto == packet.ProtoUDP:
		return b.handleUDP(out, payload, from, info, now)
	case dst == b.cfg.CommandAddr && info.Key.Proto == packet.ProtoUDP:
		return b.handleCommand(out, payload, from, info, now)
	default:
		b.stats.WrongServicePackets++
		return out
	}
}

func (b *Backend) handleTCP(out, inner, payload []byte, from netip.AddrPort, info *packet.Info, now time.Time) []byte {
	reply := info.Key.Reverse()
	_, known := b.conns[info.Key]
	switch {
	case info.TCPFlags&flagRST != 0:
		delete(b.conns, info.Key)
		return out
	case info.TCPFlags&flagSYN != 0:
		if !known {
			b.open(info.Key, from, now)
		}
		return packet.AppendTCP(out, reply, flagSYN|flagACK, uint32(b.stats.Instance), info.Seq+1, nil)
	case info.TCPFlags&flagFIN != 0:
		delete(b.conns, info.Key)
		return packet.AppendTCP(out, reply, flagFIN|flagACK, info.Ack, info.Seq+1, nil)
	case !known:
		b.stats.UnknownFlowResets++
		answer, err := packet.AppendReset(out, inner)
		if err != nil {
			return out
		}
		return answer
	case len(payload) == 0:
		return out
	}
	b.conns[info.Key] = backendConn{from: from, last: now}
	return packet.AppendTCP(out, reply, flagACK|flagPSH, info.Ack, info.Seq+uint32(len(payload)), b.echo(payload))
}

// handleUDP answers a datagram. The first byte of the payload is 1 in the first
// datagram of a flow; any other datagram of an unknown flow is answered with
// instance 0.
func (b *Backend) handleUDP(out, payload []byte, from netip.AddrPort, info *packet.Info, now time.Time) []byte {
	_, known := b.conns[info.Key]
	first := len(payload) > 0 && payload[0] == 1
	if !known && !first {
		b.stats.UnknownFlowResets++
		return packet.AppendUDP(out, info.Key.Reverse(), append(make([]byte, echoHeaderLen), payload...))
	}
	if !known {
		b.open(info.Key, from, now)
	}
	return packet.AppendUDP(out, info.Key.Reverse(), b.echo(payload))
}

// echo returns the instance followed by the payload.
func (b *Backend) echo(payload []byte) []byte {
	body := binary.BigEndian.AppendUint64(make([]byte, 0, echoHeaderLen+len(payload)), b.stats.Instance)
	return append(body, payload...)
}

func (b *Backend) open(k packet.Key, from netip.AddrPort, now time.Time) {
	b.conns[k] = backendConn{from: from, last: now}
	b.stats.FlowsOpened++
	if !b.countNewWorkAfter.IsZero() && now.After(b.countNewWorkAfter) {
		b.stats.NewWorkAfterLeaving++
	}
	b.stats.MaxConnections = max(b.stats.MaxConnections, len(b.conns))
	allowed := b.allowance(now, b.cfg.Cold.Connections, b.cfg.Connections)
	b.stats.MaxOverConnections = max(b.stats.MaxOverConnections, len(b.conns)-allowed)
}

// allowance returns the current limit, which rises linearly from cold to full
// during the ramp.
func (b *Backend) allowance(now time.Time, cold, full int) int {
	up, ramp := now.Sub(b.started), b.cfg.Cold.Ramp.Std()
	if b.warm || up >= ramp || cold >= full {
		return full
	}
	return cold + int(int64(full-cold)*int64(up)/int64(ramp))
}

func (b *Backend) serveLoad() error {
	l, err := net.Listen("tcp", b.cfg.LoadAddr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(b.report(time.Now()))
	})
	b.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.http.Serve(l) }()
	return nil
}

// report records the current load and returns the newest report that is at
// least ReportLag old.
func (b *Backend) report(now time.Time) loadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports = append(b.reports, timedReport{at: now, report: loadReport{
		Service:     b.cfg.Service,
		Instance:    b.stats.Instance,
		UptimeMS:    now.Sub(b.started).Milliseconds(),
		Connections: len(b.conns),
		SlotsBusy:   len(b.busy),
		Draining:    b.draining,
		Shedding:    !b.shedAt.IsZero() && now.Sub(b.shedAt) < time.Second,
	}})
	if len(b.reports) > loadReportHistory {
		b.reports = b.reports[len(b.reports)-loadReportHistory:]
	}
	for i := len(b.reports) - 1; i > 0; i-- {
		if now.Sub(b.reports[i].at) >= b.cfg.ReportLag {
			return b.reports[i].report
		}
	}
	return b.reports[0].report
}

// Service returns the name of the service that the backend server belongs to.
func (b *Backend) Service() string { return b.cfg.Service }
