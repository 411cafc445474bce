package entry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/healthcheck"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Times of the simulated fleet.
const (
	simStep       = 5 * time.Millisecond // also the delay of all packets and messages
	simEndAt      = 2 * time.Second      // when the servers end
	simColdPeriod = 2 * time.Second
	simTries      = 3 // of a caller
)

var simService = netip.MustParseAddrPort("198.18.0.1:443")

// simServer is a simulated backend server, which ends once and starts again under its id.
type simServer struct {
	endAt, backAt time.Duration
	taken         []time.Duration // arrivals of opening packets since it is back
}

func (s *simServer) up(now time.Duration) bool { return now < s.endAt || now >= s.backAt }

// simFlow is a caller's attempt.
type simFlow struct {
	caller netip.AddrPort
	tries  int
	host   int
	token  uint32
	server int // that took its opening packet; -1: it was refused
}

// simFleet is a fleet of hosts with a simulated clock and network, whose store reports nothing.
type simFleet struct {
	now      time.Duration
	hosts    []*healthChecks
	index    map[netip.AddrPort]int
	servers  []*simServer
	messages []func() // to be delivered with the next step
	random   *rand.Rand
	loss     float64 // part of the messages between hosts that are lost
	idle     int     // host without callers until the servers are back; -1: none
	port     uint16
}

func newSimFleet(hosts, servers int, coldRate float64, downTime time.Duration) *simFleet {
	f := &simFleet{index: map[netip.AddrPort]int{}, random: rand.New(rand.NewPCG(uint64(hosts), 7)), idle: -1}
	view := &registry.View{Revision: 1, OutDataCentres: map[string]bool{}, Config: &registry.Config{
		Version:  1,
		Routes:   []registry.Route{{Addr: simService, Targets: []registry.Target{{Service: "meter", Weight: 1}}, Idempotent: true}},
		Services: []registry.Service{{Name: "meter", ColdPeriod: simColdPeriod, ColdRate: coldRate}},
	}}
	for n := range servers {
		f.servers = append(f.servers, &simServer{endAt: simEndAt, backAt: simEndAt + downTime})
		view.Servers = append(view.Servers, registry.Server{Created: uint64(n + 1), BackendServer: &registry.BackendServer{
			ID: fmt.Sprintf("s%d", n), Identity: uint64(n + 1), Service: "meter", Slots: 2, DataCentre: simDataCentre(n), StartedMs: 9,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(n >> 8), byte(n)}), 80),
		}})
	}
	var all []affinity.Host
	for n := range hosts {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
		f.index[addr] = n
		all = append(all, affinity.Host{Addr: addr, DataCentre: simDataCentre(n)})
	}
	for n := range hosts {
		host := New(Config{Peer: all[n].Addr, DataCentre: all[n].DataCentre, Limits: DefaultLimits(3 * time.Second)}, nil, nil, log.NewNopLogger())
		t := newTraffic(host, nil)
		host.checkInbox.wake = func() {}
		t.checks.start = func(r affinity.CheckRequest) { f.check(n, r) }
		t.checks.clock = func() time.Duration { return f.now }
		t.checks.transmit = func(b []byte, to netip.AddrPort) error { return f.transmit(n, b, f.index[to]) }
		fleet := &affinity.Fleet{Self: all[n], Hosts: slices.Delete(slices.Clone(all), n, n+1), Size: hosts, ConfirmedAt: time.Second}
		t.router.SetFleet(*fleet)
		t.checks.setPeers(fleet)
		t.router.SetView(view, 0)
		f.hosts = append(f.hosts, t.checks)
	}
	return f
}

func simDataCentre(n int) string { return string(rune('a' + n%3)) }

func (f *simFleet) later(do func()) { f.messages = append(f.messages, do) }

func (f *simFleet) check(host int, r affinity.CheckRequest) {
	outcome := affinity.Refuses
	if f.servers[r.Instance.Identity-1].up(f.now) {
		outcome = affinity.Accepts
	}
	f.later(func() { f.hosts[host].checker.add(checkResult{request: r, outcome: outcome}) })
}

func (f *simFleet) transmit(from int, b []byte, to int) error {
	if f.random.Float64() < f.loss {
		return nil
	}
	f.later(func() {
		m, err := healthcheck.Decode(b, f.now)
		if err != nil {
			panic(err)
		}
		addr := f.hosts[from].traffic.host.config.Peer
		f.hosts[to].traffic.host.checkInbox.put(checkMessage{from: addr, message: m})
	})
	return nil
}

// open sends a caller's opening packet to a random host.
func (f *simFleet) open(caller netip.Addr, tries int) {
	f.port++
	flow := simFlow{caller: netip.AddrPortFrom(caller, 1024+f.port%60000), tries: tries + 1, server: -1, host: f.random.IntN(len(f.hosts))}
	if flow.host == f.idle && f.now < f.servers[0].backAt {
		return
	}
	p := affinity.Packet{Caller: flow.caller, Service: simService, Opening: true, Seq: 1}
	v := f.hosts[flow.host].traffic.router.Decide(&p, f.now)
	if v.Action == affinity.Forward && f.servers[v.Identity-1].up(f.now) {
		flow.server, flow.token = int(v.Identity-1), v.Token
		if s := f.servers[flow.server]; f.now >= s.backAt {
			s.taken = append(s.taken, f.now)
		}
	}
	f.later(func() { f.answered(flow) })
}

// answered continues a flow: its caller closes it, or opens another one if it was refused.
func (f *simFleet) answered(flow simFlow) {
	if flow.server < 0 {
		if flow.tries < simTries {
			f.open(flow.caller.Addr(), flow.tries)
		}
		return
	}
	p := affinity.Packet{Caller: flow.caller, Service: simService, Token: flow.token, Seq: 2, Ack: 2, Closing: true}
	f.hosts[flow.host].traffic.router.Decide(&p, f.now)
}

// run simulates a time with a number of callers' requests a second.
func (f *simFleet) run(d time.Duration, perSecond float64) {
	for end := f.now + d; f.now < end; f.now += simStep {
		due := f.messages
		f.messages = nil
		for _, do := range due {
			do()
		}
		for n := f.random.ExpFloat64(); n < perSecond*simStep.Seconds(); n += f.random.ExpFloat64() {
			f.open(netip.AddrFrom4([4]byte{100, 64, byte(f.random.IntN(250)), byte(f.random.IntN(250))}), 0)
		}
		for _, h := range f.hosts {
			if f.now%sweepInterval == 0 {
				h.traffic.router.Sweep(f.now)
				h.state.Sweep(f.now)
			}
			h.run(f.now)
			h.traffic.handleHealthChanges(f.now)
		}
	}
}

// mostInASecond returns the greatest number of opening packets that a server took in any second of its cold period.
func (s *simServer) mostInASecond() int {
	most := 0
	for i, at := range s.taken {
		n := 0
		for _, later := range s.taken[i:] {
			if later < s.backAt+simColdPeriod && later-at < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// All backend servers end and are back under their entries of before, cold, while the store reports nothing.
// Guards against more new flows to a cold server than it bears, summed over all hosts, also when some of them saw nothing of
// its end, and against servers that stay cold.
func TestRestartsThatTheStoreDoesNotReport(t *testing.T) {
	for _, tt := range []struct {
		name           string
		hosts, servers int
		coldRate       float64
		downTime       time.Duration
		loss           float64
		idle           int // host without callers until the servers are back; -1: none
	}{
		{"6 hosts, rate 0", 6, 14, 0, 1600 * time.Millisecond, 0, -1},
		{"6 hosts, rate 2", 6, 14, 2, 1600 * time.Millisecond, 0, -1},
		{"6 hosts, short end", 6, 14, 0, 600 * time.Millisecond, 0, -1},
		{"6 hosts, lossy links", 6, 14, 0, 1600 * time.Millisecond, 0.05, -1},
		{"6 hosts, one without callers", 6, 14, 0, 1600 * time.Millisecond, 0, 3},
		{"65 hosts, rate 2", 65, 30, 2, 1600 * time.Millisecond, 0, -1},
		{"65 hosts, rate 130", 65, 30, 130, 1600 * time.Millisecond, 0.05, -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newSimFleet(tt.hosts, tt.servers, tt.coldRate, tt.downTime)
			f.loss, f.idle = tt.loss, tt.idle
			f.run(simEndAt+tt.downTime+simColdPeriod, 600)
			allowed, most := int(1.5*tt.coldRate+5), 0
			for n, s := range f.servers {
				if got := s.mostInASecond(); got > allowed {
					t.Errorf("server %d took %d new flows in a second while it was cold, allowed %d", n, got, allowed)
				} else {
					most = max(most, got)
				}
			}
			t.Logf("at most %d new flows in a second, allowed %d", most, allowed)
			f.run(2*time.Second, 600)
			for _, s := range f.servers {
				s.taken = nil
			}
			f.run(time.Second, 600)
			for n, s := range f.servers {
				if len(s.taken) < 5 {
					t.Errorf("server %d took %d new flows in a second, 4 s after it was back", n, len(s.taken))
				}
			}
		})
	}
}

// A host that runs late handles an accepted check late. Its connection was made before the process ended, which the refused
// check of another host shows meanwhile. Guards against a start that is inferred from an answer of the old process and told to
// all hosts: they would give the next process more new flows than a cold one bears.
func TestLateAcceptIsNoStart(t *testing.T) {
	for _, late := range []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		f := newSimFleet(9, 6, 0, time.Second)
		h, startedAt := f.hosts[0], time.Second
		refused := findingAbout(f, 0, 3, affinity.Refuses, startedAt+50*time.Millisecond)
		var request affinity.CheckRequest
		h.start = func(r affinity.CheckRequest) { request = r }
		h.check(refused.Instance, startedAt)
		refuser := f.hosts[3].traffic.host.config.Peer
		h.receive(checkMessage{from: refuser, message: &healthcheck.Message{Findings: []healthcheck.Finding{refused}}}, refused.At+simStep)
		h.news = nil
		h.checker.add(checkResult{request: request, outcome: affinity.Accepts})
		h.run(startedAt + checkTimeout + late)
		if _, ended := h.traffic.router.Ended(refused.Instance); !ended || len(h.news) > 0 {
			t.Errorf("late by %v: ended %v, news %+v; the connection was made 50 ms before the refused one", late, ended, h.news)
		}
	}
}
