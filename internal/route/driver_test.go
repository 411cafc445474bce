package route

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// fleet simulates entry hosts whose routers forward packets to each other. Each
// host has its own table and its own snapshot, which may be older than the others'.
type fleet struct {
	t         testing.TB
	hosts     []Host
	services  []ServiceConfig
	nodes     map[string]*node
	now       Time
	key       [16]byte
	hops      int // forwards between hosts so far
	rng       *rand.Rand
	serving   map[packet.Key]netip.AddrPort // the backend server that holds each open flow
	duplicate bool                          // some forwarded packets are delivered a second time, later
	delayed   []datagram
}

type datagram struct {
	to  netip.AddrPort
	raw []byte
}

type node struct {
	builder *Builder
	snap    *Snapshot
	router  *Router
	down    bool
}

func newFleet(t testing.TB, hosts, backends int) *fleet {
	f := &fleet{t: t, nodes: make(map[string]*node), now: Time(time.Hour), rng: rand.New(rand.NewPCG(1, 2)), serving: make(map[packet.Key]netip.AddrPort)}
	for i := range hosts {
		f.hosts = append(f.hosts, testHost(i))
	}
	f.services = []ServiceConfig{testService("gridwatch", 10, packet.ProtoTCP, backends)}
	for _, h := range f.hosts {
		f.start(h.ID)
	}
	return f
}

func testHost(i int) Host {
	return Host{
		ID:         fmt.Sprintf("entry-%d", i),
		DataCentre: fmt.Sprintf("dc-%d", i%3),
		Region:     "ga-north",
		Peer:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 6081),
	}
}

func testService(name string, number byte, proto uint8, backends int) ServiceConfig {
	addr := netip.AddrFrom4([4]byte{198, 51, 100, number})
	c := ServiceConfig{
		Name: name, Region: "ga-north", FlowIdle: 10 * time.Minute,
		Addr:        ServiceAddr{Addr: addr, Port: 7001, Proto: proto},
		CommandAddr: ServiceAddr{Addr: addr, Port: 7002, Proto: packet.ProtoUDP},
	}
	for i := range backends {
		c.Backends = append(c.Backends, testBackend(number, i))
	}
	return c
}

func testBackend(number byte, i int) BackendConfig {
	return BackendConfig{
		Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, number, byte(i >> 8), byte(i)}), 6080),
		DataCentre: fmt.Sprintf("dc-%d", i%3), Instance: 1, Weight: 1, Stable: true,
	}
}

// start starts a host with an empty table and the newest snapshot.
func (f *fleet) start(id string) {
	f.nodes[id] = &node{router: &Router{Table: flow.NewTable(1 << 20)}}
	f.update(id)
}

// kill stops a host and removes it from the list. The other hosts' snapshots
// keep it until they are updated.
func (f *fleet) kill(id string) {
	f.nodes[id].down = true
	f.hosts = slices.DeleteFunc(slices.Clone(f.hosts), func(h Host) bool { return h.ID == id })
}

// randomHost returns a random host that receives packets from the fabric.
func (f *fleet) randomHost() string {
	for {
		id := testHost(f.rng.IntN(len(f.nodes))).ID
		if !f.nodes[id].down {
			return id
		}
	}
}

// update publishes the fleet's current state to the given hosts, or to all hosts
// if none is given.
func (f *fleet) update(ids ...string) {
	if len(ids) == 0 {
		ids = slices.Sorted(maps.Keys(f.nodes))
	}
	for _, id := range ids {
		n := f.nodes[id]
		dc := ""
		for _, h := range f.hosts {
			if h.ID == id {
				dc = h.DataCentre
			}
		}
		if n.builder == nil {
			n.builder = NewBuilder(id, dc, 8)
		}
		n.builder.SetServing(true)
		n.builder.SetHosts(f.hosts)
		for _, c := range f.services {
			n.builder.SetService(c)
		}
		n.snap = n.builder.Snapshot()
	}
}

// outcome is the final action on a packet and the host that decided on it.
type outcome struct {
	Action
	host string
}

func (o outcome) String() string {
	if o.Backend != nil {
		return fmt.Sprintf("%v %v by %s", o.Kind, o.Backend.Addr, o.host)
	}
	return fmt.Sprintf("%v (%v) by %s", o.Kind, o.Reason, o.host)
}

func parse(t testing.TB, raw []byte) *packet.Info {
	var p packet.Parser
	info := new(packet.Info)
	if err := p.Parse(raw, info); err != nil {
		t.Fatal(err)
	}
	return info
}

// arrive delivers a caller's packet to a host and returns its outcome.
func (f *fleet) arrive(id string, raw []byte) outcome {
	n := f.nodes[id]
	return f.follow(id, raw, n.router.FromFabric(n.snap, parse(f.t, raw), f.now))
}

// reply delivers a backend server's packet to a host and returns its outcome.
func (f *fleet) reply(id string, from netip.AddrPort, raw []byte) outcome {
	n := f.nodes[id]
	return f.follow(id, raw, n.router.FromBackend(n.snap, from, parse(f.t, raw), f.now))
}

// follow carries out a host's action on a packet, and those of the hosts that it
// is forwarded to, until one does not forward it.
func (f *fleet) follow(id string, raw []byte, a Action) outcome {
	for a.Kind == ToPeer {
		f.hops++
		d := datagram{a.Peer, packet.AppendForward(nil, &f.key, &a.Header, raw)}
		if f.duplicate && f.rng.IntN(3) == 0 {
			f.delayed = append(f.delayed, d)
		}
		id, a = f.receive(d)
	}
	return outcome{a, id}
}

// receive delivers a forwarded packet, and returns the receiver and its action.
func (f *fleet) receive(d datagram) (string, Action) {
	id := f.hostAt(d.to)
	n := f.nodes[id]
	if n == nil || n.down {
		return id, Action{Kind: Drop}
	}
	var h packet.ForwardHeader
	inner, err := packet.ParseForward(d.raw, &f.key, &h)
	if err != nil {
		f.t.Fatal(err)
	}
	return id, n.router.FromPeer(n.snap, &h, parse(f.t, inner), f.now)
}

// result is what became of a caller's packet.
type result int

const (
	lost      result = iota // dropped, or its host is down: the caller retransmits it
	delivered               // received by the backend server that serves the flow
	broken                  // the caller was reset
)

// send sends a caller's packet through a host. The backend server that receives
// it replies, or resets a TCP flow that it does not serve, through the host that
// sent it the packet.
func (f *fleet) send(id string, k packet.Key, flags uint8) result {
	raw := packet.AppendUDP(nil, k, nil)
	if k.Proto == packet.ProtoTCP {
		raw = tcp(k, flags)
	}
	got := f.simulateBackend(k, raw, f.arrive(id, raw))
	if len(f.delayed) > 0 && f.rng.IntN(2) == 0 {
		i := f.rng.IntN(len(f.delayed))
		d := f.delayed[i]
		f.delayed = slices.Delete(f.delayed, i, i+1)
		inner := d.raw[packet.ForwardHeaderLen:]
		host, a := f.receive(d)
		if key := parse(f.t, inner).Key; f.simulateBackend(key, inner, f.follow(host, inner, a)) == broken {
			f.t.Errorf("a repeated packet broke flow %v", key)
		}
	}
	return got
}

// simulateBackend acts as the backend server that an outcome names, and returns
// what became of the packet.
func (f *fleet) simulateBackend(k packet.Key, raw []byte, got outcome) result {
	switch got.Kind {
	case ResetCaller:
		return broken
	case ToBackend:
	default:
		return lost
	}
	if !f.inService(k, got.Backend.Addr) {
		f.t.Fatalf("a packet for %v reached %v of another service", k.Destination(), got.Backend.Addr)
	}
	opens := k.Proto == packet.ProtoUDP || parse(f.t, raw).SYN()
	holder, open := f.serving[k]
	if !open && opens {
		holder, f.serving[k] = got.Backend.Addr, got.Backend.Addr
	}
	if holder == got.Backend.Addr {
		f.reply(got.host, holder, replyTo(k, packet.FlagACK))
		return delivered
	}
	if k.Proto == packet.ProtoUDP || f.reply(got.host, got.Backend.Addr, replyTo(k, packet.FlagRST)).Kind == ToCaller {
		return broken
	}
	return lost
}

// inService reports whether an address belongs to the flow's service by the
// newest documents.
func (f *fleet) inService(k packet.Key, addr netip.AddrPort) bool {
	for _, c := range f.services {
		if c.Addr == destination(k) {
			return slices.ContainsFunc(c.Backends, func(b BackendConfig) bool { return b.Addr == addr })
		}
	}
	return false
}

func replyTo(k packet.Key, flags uint8) []byte {
	if k.Proto == packet.ProtoUDP {
		return packet.AppendUDP(nil, k.Reverse(), nil)
	}
	return tcp(k.Reverse(), flags)
}

// hostAt returns the host that testHost gives a peer address.
func (f *fleet) hostAt(peer netip.AddrPort) string {
	b := peer.Addr().As4()
	return testHost(int(b[2])<<8 | int(b[3])).ID
}

func callerKey(i int, proto uint8) packet.Key {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 16), 2}), uint16(1024+i&0x7fff))
	return packet.NewKey(caller, netip.MustParseAddrPort("198.51.100.10:7001"), proto)
}

func tcp(k packet.Key, flags uint8) []byte {
	return packet.AppendTCP(nil, k, flags, 1, 1, nil)
}

// Guards against hosts that disagree on the backend server of a flow: the first
// packet, later packets through every host, and a reply.
func TestEveryHostAgreesOnTheBackend(t *testing.T) {
	f := newFleet(t, 7, 14)
	for i := range 200 {
		k := callerKey(i, packet.ProtoTCP)
		first := f.arrive(f.hosts[i%7].ID, tcp(k, packet.FlagSYN))
		if first.Kind != ToBackend {
			t.Fatalf("first packet: %v", first)
		}
		for _, h := range f.hosts {
			got := f.arrive(h.ID, tcp(k, packet.FlagACK))
			if got.Kind != ToBackend || got.Backend.Addr != first.Backend.Addr || got.host != h.ID {
				t.Fatalf("flow %d from %s: %v, first %v", i, h.ID, got, first)
			}
		}
		if got := f.reply(f.hosts[0].ID, first.Backend.Addr, tcp(k.Reverse(), packet.FlagACK)); got.Kind != ToCaller {
			t.Fatalf("reply: %v", got)
		}
	}
}
