package route

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// decide is the function by which a method decides about a caller's packet.
type decide func(s *Snapshot, info *packet.Info, now Time) Action

// rendezvous is baseline A: the hash alone decides.
func rendezvous(s *Snapshot, info *packet.Info, _ Time) Action {
	svc := s.Services.Get(destination(info.Key))
	if svc == nil {
		return drop(ReasonNoService)
	}
	b, refusal := Choose(svc, info.Key.Hash(), "")
	if b == nil {
		return drop(refusal.reason())
	}
	return toBackend(b)
}

// hashAndTable is baseline B: each host stores the first decision of the hash
// and keeps to it.
func hashAndTable(t *flow.Table) decide {
	return func(s *Snapshot, info *packet.Info, now Time) Action {
		svc := s.Services.Get(destination(info.Key))
		if svc == nil {
			return drop(ReasonNoService)
		}
		hash := info.Key.Hash()
		if e, ok := t.Get(info.Key, hash, now.seconds()); ok {
			if b := s.Backends.Get(e.AddrPort()); b != nil && !b.DataCentreOut {
				return toBackend(b)
			}
		}
		a := rendezvous(s, info, now)
		if a.Kind == ToBackend {
			to := a.Backend.Addr
			t.Replace(info.Key, hash, flow.Entry{Addr: to.Addr().As16(), Port: to.Port(), LastSeen: now.seconds(), State: flow.Settled})
		}
		return a
	}
}

// BenchmarkPacket measures parsing and the decision at the arrival host for
// packets of many flows in turn. In the case miss, the packet is forwarded; in
// the case first-packet, this host is the primary owner.
func BenchmarkPacket(b *testing.B) {
	const flows = 1 << 14
	for _, c := range []struct {
		name  string
		flags uint8
		open  bool // entries exist
		owned bool // this host is the primary owner
		port  uint16
	}{
		{"local-hit", packet.FlagACK, true, false, 7001},
		{"miss", packet.FlagACK, false, false, 7001},
		{"first-packet", packet.FlagSYN, false, true, 7001},
		{"foreign", packet.FlagACK, false, false, 7009},
	} {
		f := newFleet(b, 7, 14)
		snap := f.nodes["entry-0"].snap
		svc := snap.ByName.Get("gridwatch")
		var keys []packet.Key
		var raw [][]byte
		for i := 0; len(raw) < flows; i++ {
			k := packet.NewKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), uint16(i>>16+1024)), netip.AddrPortFrom(svc.Addr.Addr, c.port), packet.ProtoTCP)
			if (svc.Primary(k) == snap.SelfIndex) == c.owned {
				keys = append(keys, k)
				raw = append(raw, tcp(k, c.flags))
			}
		}
		fill := func(t *flow.Table) {
			for i, k := range keys {
				to := svc.Backends[i%14]
				t.Replace(k, k.Hash(), flow.Entry{Addr: to.Addr.Addr().As16(), Port: 6080, Instance: 1, Service: svc.Index, State: flow.Proven, RefreshedAt: f.now.milliseconds(), Epoch: svc.owned(bucketOf(k.Hash())).epoch})
			}
		}
		tableB := flow.NewTable(1 << 20)
		routerE := &Router{Table: flow.NewTable(1 << 20)}
		for _, m := range []struct {
			name   string
			decide decide
			table  *flow.Table
		}{
			{"A-rendezvous", rendezvous, nil},
			{"B-hash-and-table", hashAndTable(tableB), tableB},
			{"E-router", routerE.FromFabric, routerE.Table},
		} {
			b.Run(c.name+"/"+m.name, func(b *testing.B) {
				if c.open && m.table != nil {
					fill(m.table)
				}
				var p packet.Parser
				var info packet.Info
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					n := i % flows
					if !c.open && m.table != nil && c.port == 7001 {
						m.table.Delete(keys[n], keys[n].Hash())
					}
					_ = p.Parse(raw[n], &info)
					sink = m.decide(snap, &info, f.now)
				}
			})
		}
	}
}

var sink Action

// Guards against allocation on the paths that every packet takes.
func TestDecisionsDoNotAllocate(t *testing.T) {
	x := newRoleFleet(t)
	n := x.nodes[x.arrival]
	x.storeEntry(x.arrival, 1, flow.Proven)
	known, unknown := parse(t, tcp(x.k, packet.FlagACK)), parse(t, tcp(callerKey(9, packet.ProtoTCP), packet.FlagACK))
	reply := parse(t, replyTo(x.k, packet.FlagACK))
	h := packet.ForwardHeader{Kind: packet.KindRefresh, Hops: 3, Origin: testHost(9).Peer, Choice: packet.Choice{Addr: x.backend(1), Instance: 1}}
	for name, do := range map[string]func(){
		"hit":     func() { sink = n.router.FromFabric(n.snap, known, x.now) },
		"miss":    func() { sink = n.router.FromFabric(n.snap, unknown, x.now) },
		"reply":   func() { sink = n.router.FromBackend(n.snap, x.backend(1), reply, x.now) },
		"refresh": func() { sink = n.router.FromPeer(n.snap, &h, known, x.now) },
	} {
		if allocs := testing.AllocsPerRun(100, do); allocs != 0 {
			t.Errorf("%s: %v allocations", name, allocs)
		}
	}
}

// BenchmarkMemoryPerFlow reports the heap that open flows occupy.
func BenchmarkMemoryPerFlow(b *testing.B) {
	for _, flows := range []int{100_000, 1_000_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			for b.Loop() {
				before := liveHeap()
				t := flow.NewTable(flows)
				for i := range flows {
					k := callerKey(0, packet.ProtoTCP)
					k.SrcPort, k.Src[13], k.Src[14] = uint16(i), byte(i>>16), byte(i>>24)
					t.Put(k, k.Hash(), flow.Entry{Port: 1})
				}
				b.ReportMetric(float64(liveHeap()-before)/float64(t.Len()), "B/flow")
			}
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func numberedService(i, backends int) ServiceConfig {
	c := testService(fmt.Sprintf("service-%d", i), 1, packet.ProtoTCP, backends)
	c.Addr.Addr = netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)})
	c.CommandAddr = ServiceAddr{}
	for n := range c.Backends {
		c.Backends[n].Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), byte(n)}), 6080)
	}
	return c
}

// BenchmarkSnapshotChange measures a snapshot after a change of one service
// among others.
func BenchmarkSnapshotChange(b *testing.B) {
	for _, size := range []struct{ services, backends int }{{1, 14}, {167, 6}, {6900, 6}} {
		builder := NewBuilder("entry-0", "dc-0", 8)
		builder.SetHosts(testHosts(7))
		for i := range size.services {
			builder.SetService(numberedService(i, size.backends))
		}
		builder.Snapshot()
		c := numberedService(0, size.backends)
		b.Run(fmt.Sprintf("endpoints=%d", size.services*size.backends), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.FlowIdle = time.Duration(i)
				builder.SetService(c)
				builder.Snapshot()
			}
		})
	}
}

// BenchmarkMembershipChange measures a host that leaves and joins again: two
// changes per operation.
func BenchmarkMembershipChange(b *testing.B) {
	for _, hosts := range []int{7, 100, 1900} {
		for _, services := range []int{10, 1000, 6900} {
			all := testHosts(hosts)
			builder := NewBuilder("entry-0", "dc-0", 8)
			builder.SetHosts(all)
			for i := range services {
				builder.SetService(numberedService(i, 6))
			}
			b.Run(fmt.Sprintf("hosts=%d/services=%d", hosts, services), func(b *testing.B) {
				for i := 0; b.Loop(); i++ {
					builder.SetHosts(without(all, 1+i%(hosts-1)))
					builder.Snapshot()
					builder.SetHosts(all)
					builder.Snapshot()
				}
			})
		}
	}
}
