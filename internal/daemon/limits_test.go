package daemon

import (
	"testing"

	"github.com/nutmeglatch/nutmeglatch/internal/admission"
	"github.com/nutmeglatch/nutmeglatch/internal/configsync"
)

// Guards against a service without verdicts at its owners, observers or
// admitting host because the control loop omitted it from the limits.
func TestConcernedServices(t *testing.T) {
	c := newTestControl(t, 100, testDocuments(60, 1))
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
		_, hasVerdict := c.limits.verdicts[addr]
		weight := snap.Backends.Get(addr).Weight
		if hasVerdict != (owner || ranked) || (weight > 0) != owner {
			t.Errorf("%s: owner %v, observer %v: has verdict %v, weight %v", name, owner, ranked, hasVerdict, weight)
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

// Guards against budgets that still admit flows after this host has left an
// owner group.
func TestBudgetsEndWithOwnership(t *testing.T) {
	c := newTestControl(t, 7, testDocuments(10, 1))
	b := c.d.snapshot.Load().ByName.Get("s0000").Backends[0]
	c.limits.backends[b.Addr].budget.Set(5)
	c.limits.setBackends(nil)
	if b.NewFlowBudget.Take() || c.limits.noBudget.budget.Take() {
		t.Error("a budget admits a flow after this host left the owner group of its service")
	}
}

// Guards against a leaving host that reports services it never owned, or that is
// no longer charged with its own flows.
func TestLeavingHostKeepsItsShares(t *testing.T) {
	c := newTestControl(t, 100, testDocuments(60, 1))
	before := c.d.snapshot.Load()
	c.leave(c.clock)
	c.publish(c.clock)
	owned := 0
	for service := range c.config.Current().Services {
		owner := before.ByName.Get(service).InGroup(before.SelfIndex)
		buckets, listed := c.buckets(service)[before.Self]
		_, hasOwners := c.limits.owners[service]
		if listed != owner || buckets != 0 || owner && !hasOwners {
			t.Errorf("%s: listed %v with %d buckets, was in the group %v", service, listed, buckets, owner)
		}
		if owner {
			owned++
		}
	}
	if owned == 0 || owned == 60 {
		t.Errorf("%d services owned, want some", owned)
	}
}

// Guards against owner groups that grow by all hosts of a data centre that is
// taken out.
func TestDataCentreOutKeepsGroupsSmall(t *testing.T) {
	c := newTestControl(t, 100, testDocuments(60, 1))
	r := c.config.OfferParsed(c.clock, configsync.Platform, configsync.Parse("datacentres", []byte("version: 1\nout: [dc-3]\n")))
	c.handleOfferResult(c.clock, "", r)
	c.publish(c.clock)
	size := c.d.settings.Limits.GroupSize
	for service := range c.config.Current().Services {
		if n := len(c.buckets(service)); n < size || n > 2*size {
			t.Errorf("%s: %d hosts keep shares, want %d to %d", service, n, size, 2*size)
		}
	}
}

// buckets returns the bucket counts that the shares of a service get.
func (c *testControl) buckets(service string) map[string]int {
	snap := c.d.snapshot.Load()
	return c.bucketInput(snap, snap.ByName.Get(service), c.config.Current().Services[service]).Buckets
}
