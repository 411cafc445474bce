package affinity

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// newSpilloverHosts returns the hosts of data centres a, b and c, one each. There are near backend servers in a, and far
// ones in each of b and c.
func newSpilloverHosts(t *testing.T, near, far int) []*harness {
	t.Helper()
	var hosts []*harness
	for _, dataCentre := range []string{"a", "b", "c"} {
		h := newHarness(t)
		for range near {
			h.server("meter", "a")
		}
		for range far {
			h.server("meter", "b")
			h.server("meter", "c")
		}
		h.applyView()
		h.router.fleet.Self.DataCentre = dataCentre
		hosts = append(hosts, h)
	}
	return hosts
}

// openEverywhere opens flows at all hosts in turn. The hosts report their loads to each other.
func openEverywhere(hosts []*harness, rounds int) {
	const interval = 10 * time.Millisecond
	for range rounds {
		for i, h := range hosts {
			for _, each := range hosts {
				each.now += interval
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
			fleet := h.router.fleet
			fleet.Flows = flows
			h.router.SetFleet(fleet)
			for range 5 {
				h.caller(meterAddr).connect()
			}
		}
	}
}

// perSlot returns the flows per slot at the backend servers of each data centre.
func perSlot(hosts []*harness) map[string]float64 {
	flows, slots := map[string]int{}, map[string]int{}
	for i, h := range hosts {
		for _, s := range h.router.servers {
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

// A data centre has lost most of its backend servers while the others have many. Guards against callers that queue at the
// few that are left.
func TestOverloadedDataCentreSpillsOver(t *testing.T) {
	hosts := newSpilloverHosts(t, 1, 6)
	openEverywhere(hosts, 60)
	load := perSlot(hosts)
	others := (load["b"] + load["c"]) / 2
	// One round of five flows may be opened before the loads are reported.
	if limit := spilloverRatio*others + 5; load["a"] > limit {
		t.Errorf("%.1f flows per slot in the data centre with one backend server, %.1f in the others, want at most %.1f", load["a"], others, limit)
	}
}

// Guards against flows to other data centres that only have more backend servers: a network partition would break them.
func TestModerateImbalanceDoesNotSpillOver(t *testing.T) {
	hosts := newSpilloverHosts(t, 2, 4)
	openEverywhere(hosts, 60)
	for _, h := range hosts {
		for _, s := range h.router.servers {
			if s.flows > 0 && s.DataCentre != h.router.fleet.Self.DataCentre {
				t.Fatalf("%d flows spill over from %s to %s", s.flows, h.router.fleet.Self.DataCentre, s.DataCentre)
			}
		}
	}
}

// Guards against spillover to backend servers that must not get new flows.
func TestSpilloverSkipsIneligibleServers(t *testing.T) {
	hosts := newSpilloverHosts(t, 1, 0)
	h := hosts[0]
	h.server("meter", "b", func(s *registry.Server) { s.Draining = true })
	h.view.OutDataCentres["c"] = true
	h.server("meter", "c")
	h.applyView()
	openEverywhere(hosts[:1], 20)
	if load := perSlot(hosts[:1]); load["b"] != 0 || load["c"] != 0 {
		t.Fatalf("flows per slot %v, want none in b and c", load)
	}
}
