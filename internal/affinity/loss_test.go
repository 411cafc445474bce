package affinity

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// The largest planned deployment loses a data centre: a seventh of 40,000 servers is removed in one partial view. Guards
// against processing time that grows with the square of their number, during which no packet is forwarded.
func TestRemovalOfManyServersIsFast(t *testing.T) {
	const servers, lost = 40_000, 5_700
	h := newHarness(t)
	for i := range servers {
		h.server([]string{"meter", "bill"}[i%2], "a")
	}
	h.view.Config.Services = slices.Clone(h.view.Config.Services)
	h.applyView()
	partial := &registry.View{Revision: 2, Config: h.view.Config, Partial: true, OutDataCentres: h.view.OutDataCentres}
	for _, s := range h.view.Servers[:lost] {
		partial.Removed = append(partial.Removed, s.ID)
	}
	flows := map[FlowKey]bool{}
	for i := range 9000 {
		c := h.caller(meterAddr)
		c.token = uint32(i%lost + 1)
		flows[c.key] = true
		if v := c.request(); v.Action != Forward {
			t.Fatal(v.Reason)
		}
	}
	start := time.Now()
	h.router.SetView(partial, h.now)
	if took := time.Since(start); took > 100*time.Millisecond {
		t.Errorf("the removal of %d servers takes %v, want 100ms at most", lost, took)
	}
	h.now += removalGrace
	h.confirmRegistry()
	start = time.Now()
	h.router.Sweep(h.now)
	resets := h.router.TakeResets()
	if took := time.Since(start); took > 100*time.Millisecond {
		t.Errorf("the resets of %d flows at %d servers take %v, want 100ms at most", len(flows), lost, took)
	}
	for _, o := range resets {
		delete(flows, o.Key)
	}
	if len(flows) > 0 {
		t.Errorf("%d flows of lost servers are not reset", len(flows))
	}
}
