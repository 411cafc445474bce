package route

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// fleet passes the actions of several routers to each other. Each host has
// its own table and snapshot, which may lag behind the others'.
type fleet struct {
	t        testing.TB
	hosts    []Host
	services []ServiceConfig
	nodes    map[string]*node
	now      Time
	key      [16]byte
	hops     int // forwards between hosts so far
}

type node struct {
	builder *Builder
	snap    *Snapshot
	router  *Router
	down    bool
}

func newFleet(t testing.TB, hosts, backends int) *fleet {
	f := &fleet{t: t, nodes: make(map[string]*node), now: Time(time.Hour)}
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

// start runs a host with an empty table and the newest snapshot.
func (f *fleet) start(id string) {
	f.nodes[id] = &node{router: &Router{Table: flow.NewTable(1 << 20)}}
	f.update(id)
}

// update publishes the fleet's present state to hosts, or to all.
func (f *fleet) update(ids ...string) {
	if len(ids) == 0 {
		for id := range f.nodes {
			ids = append(ids, id)
		}
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

// outcome is where a packet ended and by which host.
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

// arrive delivers a caller's packet to a host and follows it.
func (f *fleet) arrive(id string, raw []byte) outcome {
	n := f.nodes[id]
	return f.follow(id, raw, n.router.FromFabric(n.snap, parse(f.t, raw), f.now))
}

// reply delivers a backend server's packet to a host and follows it.
func (f *fleet) reply(id string, from netip.AddrPort, raw []byte) outcome {
	n := f.nodes[id]
	return f.follow(id, raw, n.router.FromBackend(n.snap, from, parse(f.t, raw), f.now))
}

func (f *fleet) follow(id string, raw []byte, a Action) outcome {
	for a.Kind == ToPeer {
		f.hops++
		datagram := packet.AppendForward(nil, &f.key, &a.Header, raw)
		var h packet.ForwardHeader
		inner, err := packet.ParseForward(datagram, &f.key, &h)
		if err != nil {
			f.t.Fatal(err)
		}
		id = f.at(a.Peer)
		n := f.nodes[id]
		if n == nil || n.down {
			return outcome{Action{Kind: Drop}, id}
		}
		a = n.router.FromPeer(n.snap, &h, parse(f.t, inner), f.now)
	}
	return outcome{a, id}
}

func (f *fleet) at(peer netip.AddrPort) string {
	for i := range 1 << 12 {
		if h := testHost(i); h.Peer == peer {
			return h.ID
		}
	}
	return ""
}

func callerKey(i int, proto uint8) packet.Key {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 16), 2}), uint16(1024+i&0xffff))
	return packet.NewKey(caller, netip.MustParseAddrPort("198.51.100.10:7001"), proto)
}

func tcp(k packet.Key, flags uint8) []byte {
	return packet.AppendTCP(nil, k, flags, 1, 1, nil)
}

// Guards against a first packet, a lookup from every other host and a reply
// that do not agree on the backend server.
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
