package affinity

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Answers a data centre of the largest deployment planned that is lost: a seventh of 40,000 servers leave in one partial
// view. Guards against a time that grows with the square of their number, during which no packet is forwarded.
func TestManyServersLeaveAtOnce(t *testing.T) {
	const servers, lost = 40_000, 5_700
	w := newWorld(t)
	for i := range servers {
		w.server([]string{"meter", "bill"}[i%2], "a")
	}
	w.view.Config.Services = slices.Clone(w.view.Config.Services)
	w.show()
	// Services are small at that size: one server in each of two lists stands for them.
	for _, sv := range w.router.services {
		sv.servers = sv.servers[:1]
	}
	gone := &registry.View{Revision: 2, Config: w.view.Config, Partial: true, OutDataCentres: w.view.OutDataCentres}
	for _, s := range w.view.Servers[:lost] {
		gone.Removed = append(gone.Removed, s.ID)
	}
	flows := map[FlowKey]bool{}
	for i := range 9000 {
		c := w.caller(meterAddr)
		c.token = uint32(i%lost + 1)
		flows[c.key] = true
		if v := c.request(); v.Action != Forward {
			t.Fatal(v.Reason)
		}
	}
	start := time.Now()
	w.router.SetView(gone, w.now)
	if took := time.Since(start); took > 100*time.Millisecond {
		t.Errorf("%d servers that leave take %v, want 100ms at most", lost, took)
	}
	w.now += goneSettled
	w.confirm()
	start = time.Now()
	w.router.Sweep(w.now)
	orders := w.router.TakeResets()
	if took := time.Since(start); took > 100*time.Millisecond {
		t.Errorf("the resets of %d flows at %d servers take %v, want 100ms at most", len(flows), lost, took)
	}
	for _, o := range orders {
		delete(flows, o.Key)
	}
	if len(flows) > 0 {
		t.Errorf("%d flows of lost servers are not reset", len(flows))
	}
}
