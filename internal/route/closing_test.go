package route

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// sweep removes idle entries at every host, and returns the flows that
// primary owners are charged with and the entries that are left.
func (f *fleet) sweep() (charged, entries int) {
	for _, n := range f.nodes {
		svc := n.snap.ByName.Get("gridwatch")
		idle := func(flow.Entry) uint32 { return uint32(svc.FlowIdle / time.Second) }
		n.router.Table.Sweep(f.now.seconds(), idle, func(k packet.Key, e flow.Entry) {
			if e.Charged() && svc.Primary(k) == n.snap.SelfIndex {
				charged++
			}
		})
		entries += n.router.Table.Len()
	}
	return charged, entries
}

// finished sends a whole flow of n packets, the last of them with a FIN.
func (f *fleet) finished(k packet.Key, n int) {
	flags := packet.FlagSYN
	for i := range n {
		if i == n-1 {
			flags = packet.FlagFIN | packet.FlagACK
		}
		if got := f.send(f.up(), k, flags); got != delivered {
			f.t.Fatalf("packet %d of %v: %v", i, k, got)
		}
		flags = packet.FlagACK
	}
	delete(f.serving, k)
}

// Guards against flows that stay charged and in the owners' tables after
// they have ended.
func TestFinishedFlowsAreNotCharged(t *testing.T) {
	const flows = 1000
	f := newFleet(t, 2, 4) // both hosts own every bucket
	for i := range flows {
		f.finished(callerKey(i, packet.ProtoTCP), 10)
	}
	if charged, _ := f.sweep(); charged != 0 {
		t.Errorf("%d of %d finished flows are charged", charged, flows)
	}
	f.now += Time(time.Minute)
	if _, entries := f.sweep(); entries != 0 {
		t.Errorf("%d entries a minute after %d flows finished", entries, flows)
	}
}

// BenchmarkShortFlow reports the forwards of flows of 10 packets.
func BenchmarkShortFlow(b *testing.B) {
	for b.Loop() {
		f := newFleet(b, 7, 14)
		const flows = 2000
		for i := range flows {
			f.finished(callerKey(i, packet.ProtoTCP), 10)
		}
		charged, _ := f.sweep()
		f.now += Time(time.Minute)
		_, entries := f.sweep()
		b.ReportMetric(float64(f.hops)/flows, "forwards/flow")
		b.ReportMetric(float64(charged)/flows, "charged/flow")
		b.ReportMetric(float64(entries)/flows, "entries/flow")
	}
}
