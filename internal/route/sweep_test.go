package route

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// cachePressure is a fleet whose fabric spreads the packets of each flow over all
// hosts, so that every host caches every flow, and whose tables are too small for
// all flows.
type cachePressure struct {
	*fleet
	open    []packet.Key
	started int
	refused int
	resets  int
}

func newCachePressure(t *testing.T, maxEntries int) *cachePressure {
	p := &cachePressure{fleet: newFleet(t, 7, 14)}
	for _, n := range p.nodes {
		n.router.Table = flow.NewTable(maxEntries)
	}
	return p
}

// simulateSecond opens flows, sends a packet of a quarter of the open ones and
// sweeps the tables. It returns the number of evicted entries.
func (p *cachePressure) simulateSecond(opened int) (evicted int) {
	for range opened {
		k := callerKey(p.started, packet.ProtoTCP)
		p.started++
		if p.send(p.randomHost(), k, packet.FlagSYN) != delivered {
			p.refused++
			continue
		}
		p.open = append(p.open, k)
	}
	kept := p.open[:0]
	for i, k := range p.open {
		if (i+p.started)%4 == 0 && p.send(p.randomHost(), k, packet.FlagACK) == broken {
			p.resets++
			continue
		}
		kept = append(kept, k)
	}
	p.open = kept
	p.now += Time(time.Second)
	for _, n := range p.nodes {
		if !n.down {
			evicted += Sweep(n.snap, n.router.Table, p.now).Evicted
		}
	}
	return evicted
}

// Guards against cached entries that fill the flow table, so that new flows are
// refused although each host owns only two of seven buckets.
func TestCachedEntriesDoNotRefuseNewFlows(t *testing.T) {
	const flows, perSecond = 2000, 50
	p := newCachePressure(t, flows*6/10) // each host owns 2/7 of the flows
	evicted := 0
	for range flows / perSecond {
		evicted += p.simulateSecond(perSecond)
	}
	if p.refused > 0 || p.resets > 0 {
		t.Errorf("%d of %d flows refused, %d broken", p.refused, flows, p.resets)
	}
	if evicted == 0 {
		t.Error("no cached entry was evicted, so the test covers no eviction")
	}
	// Two hosts die one after the other: the flows must not break.
	for range 2 {
		p.kill(p.randomHost())
		p.update()
		for range 8 {
			p.simulateSecond(0)
		}
	}
	if p.resets > 0 {
		t.Errorf("%d flows broken after two hosts died", p.resets)
	}
}

// Guards against the eviction of entries that only this host holds.
func TestEvictionKeepsUnreplicatedEntries(t *testing.T) {
	f := newFleet(t, 7, 14)
	n := f.nodes[f.hosts[0].ID]
	n.router.Table = flow.NewTable(1000)
	svc := n.snap.ByName.Get("gridwatch")
	states := []flow.State{flow.Guess, flow.Tentative, flow.Settled, flow.Proven}
	var kept []packet.Key
	for i := range 1000 {
		k := callerKey(i, packet.ProtoTCP)
		owners := svc.owned(bucketOf(k.Hash()))
		owned := slices.Contains(owners.hosts[:], n.snap.SelfIndex)
		e := flow.Entry{
			Addr: svc.Backends[0].Addr.Addr().As16(), Port: svc.Backends[0].Addr.Port(), Service: svc.Index,
			State: states[i%len(states)], Epoch: owners.epoch, LastSeen: f.now.seconds() - 5,
		}
		if i%3 == 0 {
			e.Epoch++ // not replicated under the present owners
		}
		n.router.Table.Put(k, k.Hash(), e)
		if owned || i%3 == 0 || e.State < flow.Settled {
			kept = append(kept, k)
		}
	}
	if got := Sweep(n.snap, n.router.Table, f.now).Evicted; got == 0 {
		t.Fatal("nothing was evicted from a full table")
	}
	for _, k := range kept {
		if _, ok := n.router.Table.Peek(k, k.Hash()); !ok {
			t.Errorf("entry of %v was evicted", k)
		}
	}
}

// BenchmarkSweepFull measures a sweep that evicts from a full table of cached
// entries, per entry.
func BenchmarkSweepFull(b *testing.B) {
	const entries = 105_000
	f := newFleet(b, 7, 14)
	n := f.nodes[f.hosts[0].ID]
	svc := n.snap.ByName.Get("gridwatch")
	for b.Loop() {
		b.StopTimer()
		t := flow.NewTable(entries)
		for i := range entries {
			k := callerKey(i>>15<<16|i&0x7fff, packet.ProtoTCP) // callerKey ignores bit 15
			t.Put(k, k.Hash(), flow.Entry{
				Service: svc.Index, State: flow.Settled, Epoch: svc.owned(bucketOf(k.Hash())).epoch, LastSeen: f.now.seconds() - uint32(i%300),
			})
		}
		b.StartTimer()
		if Sweep(n.snap, t, f.now).Evicted == 0 {
			b.Fatal("nothing was evicted")
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/entries, "ns/entry")
}
