package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Conditions of the comparison, those of section 4 of the design page.
const (
	comparedHosts   = 7
	minBackends     = 14
	maxBackends     = 24
	meanFlowLife    = 40 * time.Second
	maxViewLag      = 2500 * time.Millisecond
	backendInterval = 6 * time.Second
	hostInterval    = 8 * time.Second
	hostDownFor     = time.Second
	comparedStep    = 100 * time.Millisecond
	packetInterval  = time.Second // between packets of one flow
)

// method is a way to keep the packets of a flow at one backend server.
type method struct {
	name           string
	plain          func(t *flow.Table) decide // baselines A and B, nil for the router
	owners         int
	recoverGuesses bool
}

var methods = []method{
	{name: "A", plain: func(*flow.Table) decide { return rendezvous }},
	{name: "B", plain: hashAndTable},
	{name: "C", owners: 1},
	{name: "D", owners: 2},
	{name: "E", owners: 2, recoverGuesses: true},
}

// trial is one run of a method.
type trial struct {
	*fleet
	m            method
	restartHosts bool            // hosts stop and start again
	active       int             // backend servers that take new flows
	updates      map[string]Time // when the next snapshot is published to each host
	returnAt     map[string]Time // when each stopped host starts again
	flows        []openFlow
	opened       int
	brokenCount  int
	packets      int
	centres      int             // data centres of hosts and backend servers, 3 when 0
	out          map[string]bool // data centres out of service
	brokenFlows  []packet.Key    // flows that broke since measures.count last ran
}

// placeHost sets the data centre of a host, and marks the host as leaving when
// that data centre is out of service.
func (x *trial) placeHost(h *Host, i int) {
	if x.centres > 0 {
		h.DataCentre = fmt.Sprintf("dc-%d", i%x.centres)
	}
	h.Leaving = x.out[h.DataCentre]
}

type openFlow struct {
	k    packet.Key
	ends Time
	next Time
}

func newTrial(t testing.TB, m method, hostsChange bool, seed uint64) *trial {
	f := newFleet(t, comparedHosts, maxBackends)
	f.rng = rand.New(rand.NewPCG(seed, 0))
	x := &trial{fleet: f, m: m, restartHosts: hostsChange, active: (minBackends + maxBackends) / 2, updates: make(map[string]Time), returnAt: make(map[string]Time)}
	x.setActive()
	for _, h := range f.hosts {
		x.publish(h.ID)
	}
	return x
}

// setActive lets the first x.active backend servers receive new flows and drains
// the others.
func (x *trial) setActive() {
	for i := range x.services[0].Backends {
		x.services[0].Backends[i].Draining = i >= x.active
	}
}

// publish gives a host the newest snapshot, with as many owners per bucket as the
// method has.
func (x *trial) publish(id string) {
	x.update(id)
	if x.m.owners != 1 {
		return
	}
	s := x.nodes[id].snap.ByName.Get("gridwatch")
	for i := range s.table.pairs {
		s.table.pairs[i].hosts[1] = NoHost
	}
}

// schedulePublish schedules the publication of the fleet's state to every host, each
// after a random delay of less than maxViewLag.
func (x *trial) schedulePublish() {
	for i := range comparedHosts {
		x.updates[testHost(i).ID] = x.now + Time(x.rng.Int64N(int64(maxViewLag)))
	}
}

func due(now Time, interval time.Duration) bool { return now%Time(interval) == 0 }

// events applies the changes that are due.
func (x *trial) events() {
	if due(x.now, backendInterval) {
		x.active += 2*x.rng.IntN(2) - 1
		x.active = min(max(x.active, minBackends), maxBackends)
		x.setActive()
		x.schedulePublish()
	}
	if x.restartHosts && due(x.now, hostInterval) {
		id := x.randomHost()
		x.kill(id)
		x.returnAt[id] = x.now + Time(hostDownFor)
		x.schedulePublish()
	}
	for i := range comparedHosts {
		h := testHost(i)
		if at, stopped := x.returnAt[h.ID]; stopped && at <= x.now {
			delete(x.returnAt, h.ID)
			h.Boot = uint64(x.now)
			x.placeHost(&h, i)
			x.hosts = append(x.hosts, h)
			x.start(h.ID)
			x.publish(h.ID)
			x.schedulePublish()
		}
		if at, pending := x.updates[h.ID]; pending && at <= x.now && !x.nodes[h.ID].down {
			delete(x.updates, h.ID)
			x.publish(h.ID)
		}
	}
}

// deliver sends one packet by the method and returns what became of it.
func (x *trial) deliver(k packet.Key, flags uint8) result {
	x.packets++
	id := x.randomHost()
	if x.m.plain == nil && x.m.recoverGuesses {
		return x.send(id, k, flags)
	}
	raw := tcp(k, flags)
	n := x.nodes[id]
	var got outcome
	if x.m.plain != nil {
		got = outcome{x.m.plain(n.router.Table)(n.snap, parse(x.t, raw), x.now), id}
	} else {
		got = x.arrive(id, raw)
	}
	if got.Kind != ToBackend {
		return lost
	}
	holder, open := x.serving[k]
	if !open && flags == packet.FlagSYN {
		holder, x.serving[k] = got.Backend.Addr, got.Backend.Addr
	}
	if holder != got.Backend.Addr {
		return broken
	}
	if x.m.plain == nil {
		x.reply(got.host, holder, replyTo(k, packet.FlagACK))
	}
	return delivered
}

// run opens rate flows per second for the given time. It returns the percentage
// of broken flows and the forwards per packet.
func (x *trial) run(length time.Duration, rate int) (brokenPercent, hops float64) {
	end := x.now + Time(length)
	perStep := rate * int(comparedStep) / int(time.Second)
	for ; x.now < end; x.now += Time(comparedStep) {
		x.events()
		x.add(perStep)
		x.step()
	}
	return 100 * float64(x.brokenCount) / float64(x.opened), float64(x.hops) / float64(x.packets)
}

// add adds n new flows with exponentially distributed lifetimes.
func (x *trial) add(n int) {
	for range n {
		k := packet.NewKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(x.opened >> 8), byte(x.opened)}), uint16(x.opened>>16+1024)), netip.MustParseAddrPort("198.51.100.10:7001"), packet.ProtoTCP)
		x.opened++
		life := -math.Log(1-x.rng.Float64()) * float64(meanFlowLife)
		x.flows = append(x.flows, openFlow{k: k, ends: x.now + Time(life), next: x.now})
	}
}

// step sends the packets that are due and removes finished and broken flows.
func (x *trial) step() {
	kept := x.flows[:0]
	for _, o := range x.flows {
		if o.ends <= x.now {
			delete(x.serving, o.k)
			continue
		}
		if o.next <= x.now {
			flags := packet.FlagACK
			if _, open := x.serving[o.k]; !open {
				flags = packet.FlagSYN
			}
			o.next += Time(packetInterval)
			if x.deliver(o.k, flags) == broken {
				x.brokenCount++
				x.brokenFlows = append(x.brokenFlows, o.k)
				delete(x.serving, o.k)
				continue
			}
		}
		kept = append(kept, o)
	}
	x.flows = kept
}

// Guards against a method that breaks more flows than the simpler one before it,
// and against any broken flow with the shipped method E. The run is shorter and
// has fewer flows than the comparison on the design page.
func TestMethods(t *testing.T) {
	var last float64
	for i, m := range methods {
		percent, hops := newTrial(t, m, true, 1).run(24*time.Second, 100)
		t.Logf("%s: %.3f%% broken, %.2f forwards per packet (seed 1, 24 s, 100 flows/s)", m.name, percent, hops)
		if i > 0 && percent > last {
			t.Errorf("%s breaks more flows than the method before it", m.name)
		}
		if m.name == "E" && percent != 0 {
			t.Errorf("E broke %v%% of the flows", percent)
		}
		last = percent
	}
}

// BenchmarkMethods runs the comparison with the flow rate and duration of the
// design page.
func BenchmarkMethods(b *testing.B) {
	for _, hostsChange := range []bool{false, true} {
		for _, m := range methods {
			for _, seed := range []uint64{1, 2} {
				b.Run(fmt.Sprintf("hosts-change=%v/%s/seed=%d", hostsChange, m.name, seed), func(b *testing.B) {
					for b.Loop() {
						percent, hops := newTrial(b, m, hostsChange, seed).run(120*time.Second, 1000)
						b.ReportMetric(percent, "broken-%")
						b.ReportMetric(hops, "forwards/packet")
					}
				})
			}
		}
	}
}
