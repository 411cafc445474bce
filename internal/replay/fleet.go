package replay

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Ports of the simulated network.
const (
	guePort     = 6080
	peerPort    = 7946
	flowPort    = 7001
	commandPort = 7002
)

// fabricReturn is the address to which entry hosts send packets for callers.
var fabricReturn = netip.MustParseAddrPort("10.9.0.1:6080")

// epoch is the simulated time at which a trace starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is the state of one replay.
type fleet struct {
	trace    *Trace
	clock    *clock
	network  network
	platform platformState
	result   Result
	parser   packet.Parser

	hosts         map[string]*host
	hostOrder     []*host
	hostByAddr    map[netip.AddrPort]*host
	backends      map[netip.AddrPort]*server // by GUE address
	backendByName map[string]*server
	backendOrder  []*server
	documents     map[string]*document.Service
	services      map[string]*Service
	dataCentres   document.DataCentres
	hostList      document.HostList
	outSince      map[string]time.Time // when data centres that are now out were taken out
	lastTakenOut  map[string]time.Time // like outSince, kept after a data centre is back in service
	callers       map[netip.AddrPort]caller
	commands      map[int]*command
	allFlows      []*flow
	homes         []string // data centres nearest to callers: those with entry hosts
}

// caller receives the packets that entry hosts send to a caller.
type caller interface {
	receive(info *packet.Info, payload []byte)
}

func newFleet(t *Trace) *fleet {
	f := &fleet{
		trace: t, clock: newClock(epoch),
		platform:      platformState{state: "up", history: map[string][]published{}},
		hosts:         map[string]*host{},
		hostByAddr:    map[netip.AddrPort]*host{},
		backends:      map[netip.AddrPort]*server{},
		backendByName: map[string]*server{},
		documents:     map[string]*document.Service{},
		services:      map[string]*Service{},
		outSince:      map[string]time.Time{},
		lastTakenOut:  map[string]time.Time{},
		callers:       map[netip.AddrPort]caller{},
		commands:      map[int]*command{},
	}
	f.network = network{f: f, cut: map[string]bool{}, silent: map[[2]string]bool{}, sent: map[string]uint64{}}
	f.addHosts()
	f.addServices()
	f.publishDataCentres()
	f.publish(document.HostsKey, &f.hostList.Version, &f.hostList)
	return f
}

func (f *fleet) addHosts() {
	for i, e := range f.trace.EntryHosts {
		addr := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
		h := &host{f: f, id: e.ID, dataCentre: e.DataCentre, gue: netip.AddrPortFrom(addr, guePort), peer: netip.AddrPortFrom(addr, peerPort), highestVersions: map[string]uint64{}}
		f.hosts[h.id] = h
		f.hostOrder = append(f.hostOrder, h)
		f.hostByAddr[h.gue], f.hostByAddr[h.peer] = h, h
		if !slices.Contains(f.homes, h.dataCentre) {
			f.homes = append(f.homes, h.dataCentre)
		}
		if !e.Absent {
			f.setListed(h, "live")
			f.clock.after(0, h.id, h.start)
		}
	}
}

func (f *fleet) addServices() {
	for i := range f.trace.Services {
		s := &f.trace.Services[i]
		f.services[s.Name] = s
		doc := &document.Service{
			Name: s.Name, Team: "replay", Address: netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)}), Port: flowPort,
			Protocol: document.Protocol(s.Protocol), Region: f.trace.Region, FlowIdle: Duration(10 * time.Minute),
		}
		if s.Deadline > 0 {
			doc.Commands = &document.Commands{Address: doc.Address, Port: commandPort, Deadline: s.Deadline, IdempotentMethods: s.IdempotentMethods}
		}
		f.documents[s.Name] = doc
		for j := range s.Backends {
			cfg := &s.Backends[j]
			b := newServer(f, s.Name, cfg, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i + 1), byte(j + 1)}), guePort))
			f.backends[b.addr], f.backendByName[cfg.Name] = b, b
			f.backendOrder = append(f.backendOrder, b)
		}
		f.publishService(s.Name)
	}
}

// send delivers a datagram from an entry host or a backend server in data centre
// dc. Datagrams to unknown addresses are dropped.
func (f *fleet) send(from, to netip.AddrPort, dc string, b []byte) {
	if h := f.hostByAddr[to]; h != nil {
		f.network.datagram(from, to, dc, h.dataCentre, func() {
			process := h.process
			h.receive(func() {
				if h.process == process {
					h.datagram(b, from, to)
				}
			})
		})
		return
	}
	if s := f.backends[to]; s != nil {
		f.network.datagram(from, to, dc, s.dataCentre, func() { s.receive(b, from) })
		return
	}
	if to == fabricReturn {
		f.network.datagram(from, to, dc, "", func() { f.toCaller(b) })
	}
}

func (h *host) datagram(b []byte, from, to netip.AddrPort) {
	if to == h.peer {
		h.daemon.HandlePeer(b, from)
		return
	}
	h.daemon.HandleGUE(b, from)
}

func (f *fleet) toCaller(b []byte) {
	var info packet.Info
	if f.parser.Parse(b, &info) != nil {
		return
	}
	if c := f.callers[info.Key.Destination()]; c != nil {
		c.receive(&info, b[info.PayloadOffset:info.PayloadOffset+info.PayloadLen])
	}
}

// spray sends the n-th packet of a caller to an entry host, as the fabric does:
// the host is chosen by a hash among those reachable from home. Hosts that ended
// or began to stop remain candidates for fabricLag.
func (f *fleet) spray(from netip.AddrPort, home string, n uint64, b []byte) {
	var live []*host
	for _, h := range f.hostOrder {
		usable := h.running() && !h.stopping || !h.ended.IsZero() && f.clock.now.Sub(h.ended) < fabricLag
		if usable && f.network.reaches(home, h.dataCentre) {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return
	}
	d := xxhash.NewWithSeed(f.trace.Seed + n)
	_, _ = d.WriteString(from.String())
	h := live[d.Sum64()%uint64(len(live))]
	f.network.datagram(from, h.gue, "", h.dataCentre, func() {
		process := h.process
		h.receive(func() {
			if h.process == process {
				h.daemon.HandleGUE(b, from)
			}
		})
	})
}

// callerAddr returns an address that no other caller of the trace uses.
func (f *fleet) callerAddr() netip.AddrPort {
	n := len(f.callers) + 1
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(n % 250)}), uint16(10000+n/250))
}

func (f *fleet) home(n int) string { return f.homes[n%len(f.homes)] }

// lane returns the name of the clock lane of the n-th sender of a kind.
func lane(kind string, n int) string { return kind + strconv.Itoa(n) }

func (f *fleet) killHost(e *Event) {
	if h := f.hosts[e.Host]; h.running() {
		h.end()
	}
}

func (f *fleet) startHost(e *Event) {
	if h := f.hosts[e.Host]; !h.running() {
		h.start()
	}
}

func (f *fleet) stopHost(e *Event) {
	h := f.hosts[e.Host]
	if !h.running() {
		return
	}
	h.stopping, h.ended = true, f.clock.now
	f.result.Stops++
	h.daemon.Shutdown()
}

func (f *fleet) pauseHost(e *Event) { f.hosts[e.Host].paused = true }

func (f *fleet) resumeHost(e *Event) { f.hosts[e.Host].resume() }

func (f *fleet) lagHost(e *Event) { f.hosts[e.Host].lag = e.Delay.Std() }

// silenceConnections makes the peer connections between two hosts deliver
// nothing. Datagrams still arrive.
func (f *fleet) silenceConnections(e *Event) {
	f.network.silent[[2]string{e.Host, e.Peer}] = true
	f.network.silent[[2]string{e.Peer, e.Host}] = true
}

// partition separates a data centre from those that are not partitioned. All
// partitioned data centres reach each other.
func (f *fleet) partition(e *Event) {
	f.network.cut[e.DataCentre] = true
	f.network.cutSince = f.clock.now
}

// heal ends all partitions and the silence of connections.
func (f *fleet) heal(*Event) {
	f.network.cutBeforeHeal, f.network.cut = f.network.cut, map[string]bool{}
	f.network.silent = map[[2]string]bool{}
	f.network.healedAt = f.clock.now
}

func (f *fleet) setNetwork(e *Event) {
	n := &f.network
	n.loss, n.dup, n.reorder, n.delay = e.Loss, e.Duplicate, e.Reorder, e.Delay.Std()
}
