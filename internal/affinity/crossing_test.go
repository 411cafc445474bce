package affinity

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// crossingWorld returns three data centres with a host each, and near and far backend servers in a, and in b and c.
func crossingWorld(t *testing.T, near, far int) []*world {
	t.Helper()
	var hosts []*world
	for _, dataCentre := range []string{"a", "b", "c"} {
		w := newWorld(t)
		for range near {
			w.server("meter", "a")
		}
		for range far {
			w.server("meter", "b")
			w.server("meter", "c")
		}
		w.show()
		w.router.fleet.Self.DataCentre = dataCentre
		hosts = append(hosts, w)
	}
	return hosts
}

// openEverywhere opens flows at all hosts in turn, which tell each other their loads.
func openEverywhere(hosts []*world, rounds int) {
	const turn = 10 * time.Millisecond
	for range rounds {
		for i, w := range hosts {
			for _, h := range hosts {
				h.now += turn
			}
			flows := map[PlaceDigest]int{}
			for j, other := range hosts {
				if j == i {
					continue
				}
				for _, l := range other.router.Loads(other.now) {
					flows[l.Place] += l.Flows
				}
			}
			fleet := w.router.fleet
			fleet.Flows = flows
			w.router.SetFleet(fleet)
			for range 5 {
				w.caller(meterAddr).connect()
			}
		}
	}
}

// perSlot returns the flows per slot at the backend servers of each data centre.
func perSlot(hosts []*world) map[string]float64 {
	flows, slots := map[string]int{}, map[string]int{}
	for i, w := range hosts {
		for _, s := range w.router.servers {
			flows[s.DataCentre] += s.flows
			if i == 0 {
				slots[s.DataCentre] += s.Slots
			}
		}
	}
	out := map[string]float64{}
	for dataCentre := range slots {
		out[dataCentre] = float64(flows[dataCentre]) / float64(slots[dataCentre])
	}
	return out
}

// Answers a data centre that has lost most of its backend servers while the others have many. Guards against callers
// that queue at the few that are left.
func TestFlowsCrossWhenTheirDataCentreIsTooBusy(t *testing.T) {
	hosts := crossingWorld(t, 1, 6)
	openEverywhere(hosts, 60)
	load := perSlot(hosts)
	others := (load["b"] + load["c"]) / 2
	// One round of five flows may come before the loads are told.
	if limit := crossingRatio*others + 5; load["a"] > limit {
		t.Errorf("%.1f flows per slot in the data centre with one backend server, %.1f in the others, want at most %.1f", load["a"], others, limit)
	}
}

// Guards against flows that cross between data centres which are only unequal: a cut would break them.
func TestFlowsStayInUnequalDataCentres(t *testing.T) {
	hosts := crossingWorld(t, 2, 4)
	openEverywhere(hosts, 60)
	for _, w := range hosts {
		for _, s := range w.router.servers {
			if s.flows > 0 && s.DataCentre != w.router.fleet.Self.DataCentre {
				t.Fatalf("%d flows cross from %s to %s", s.flows, w.router.fleet.Self.DataCentre, s.DataCentre)
			}
		}
	}
}

// Guards against flows that cross to backend servers which must not get any.
func TestFlowsCrossOnlyToServersThatCanTakeThem(t *testing.T) {
	hosts := crossingWorld(t, 1, 0)
	w := hosts[0]
	w.server("meter", "b", func(s *registry.Server) { s.Draining = true })
	w.view.OutDataCentres["c"] = true
	w.server("meter", "c")
	w.show()
	openEverywhere(hosts[:1], 20)
	if load := perSlot(hosts[:1]); load["b"] != 0 || load["c"] != 0 {
		t.Fatalf("flows per slot %v, want none in b and c", load)
	}
}
