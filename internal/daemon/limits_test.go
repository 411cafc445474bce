package daemon

import (
	"testing"

	"github.com/nutmeglatch/nutmeglatch/internal/admission"
)

// Guards against a service whose owners, observers or admitting host do not
// judge it because the control loop left it out.
func TestConcernedServices(t *testing.T) {
	c := newBenchControl(t, 100, benchDocuments(60, 1))
	snap := c.d.snapshot.Load()
	self := c.d.settings.HostID
	owned, observed, others := 0, 0, 0
	for name, doc := range c.config.Current().Services {
		owner := snap.ByName.Get(name).InGroup(snap.SelfIndex)
		ranked := false
		for _, dc := range doc.DataCentres {
			for i := range dc.BackendServers {
				addr := dc.BackendServers[i].AddrPort()
				id, _ := admission.AdmittingHost(addr, dc.Name, c.limits.ranking)
				for _, o := range c.limits.ranking.Observers(addr, dc.Name) {
					ranked = ranked || o == self || id == self
				}
			}
		}
		addr := doc.DataCentres[0].BackendServers[0].AddrPort()
		_, judged := c.limits.verdicts[addr]
		weight := snap.Backends.Get(addr).Weight
		if judged != (owner || ranked) || (weight > 0) != owner {
			t.Errorf("%s: owner %v, observer %v: judged %v, weight %v", name, owner, ranked, judged, weight)
		}
		switch {
		case owner:
			owned++
		case ranked:
			observed++
		default:
			others++
		}
	}
	if owned == 0 || observed == 0 || others == 0 {
		t.Errorf("%d owned, %d observed, %d others; want some of each", owned, observed, others)
	}
}

// Guards against budgets that stay open after this host has left an owner
// group.
func TestBudgetsEndWithOwnership(t *testing.T) {
	c := newBenchControl(t, 7, benchDocuments(10, 1))
	b := c.d.snapshot.Load().ByName.Get("s0000").Backends[0]
	c.limits.backends[b.Addr].budget.Set(5)
	c.limits.setBackends(nil)
	if b.Admit.Take() || c.limits.closed.budget.Take() {
		t.Error("a budget admits a flow after its service was given up")
	}
}
