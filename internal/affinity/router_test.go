package affinity

import (
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Guards against a flow that leaves its backend server when another host, which has never seen it, takes over.
func TestLaterPacketsFollowTheirToken(t *testing.T) {
	w := newWorld(t)
	for range 5 {
		w.server("meter", "a")
	}
	w.show()
	c := w.caller(meterAddr)
	chosen := c.connect().ServerID
	other := newWorld(t)
	other.view = w.view
	other.show()
	c.w = other
	for range 3 {
		v := c.request()
		expect(t, v, Forward, KnownFlow)
		if v.ServerID != chosen || v.Identity == 0 {
			t.Fatalf("packet went to %q (identity %d), the flow lives on %q", v.ServerID, v.Identity, chosen)
		}
		c.answered()
	}
}

// Guards against new flows for an address without a route, and against resets of open flows whose route is only newer
// than this host's configuration.
func TestUnknownRoute(t *testing.T) {
	w := newWorld(t)
	id := w.server("meter", "a")
	w.show()
	c := w.caller(netip.MustParseAddrPort("198.18.0.9:443"))
	expect(t, c.open(0), Reject, UnknownRoute)
	expect(t, c.request(), Drop, NoToken)
	c.token = 1
	if v := c.request(); v.Action != Forward || v.ServerID != id {
		t.Fatalf("later packet of a route not known yet: %+v, want forwarded to %s", v, id)
	}
}

// Guards against flows that outlive their route.
func TestRemovedRoute(t *testing.T) {
	w := newWorld(t)
	w.server("meter", "a")
	w.show()
	c := w.caller(meterAddr)
	c.connect()
	config := *w.view.Config
	config.Version, config.Routes = 2, config.Routes[1:]
	w.view.Config = &config
	w.show()
	expect(t, c.request(), Reject, RemovedRoute)
	expect(t, w.caller(meterAddr).open(0), Reject, RemovedRoute)
}

// Guards against open flows that are dropped when their route changes to another service, also by a host that has
// never seen the earlier configuration (phmu-edge trouble-2).
func TestFlowStaysWhenItsRouteMoves(t *testing.T) {
	w := newWorld(t)
	id := w.server("meter", "a")
	w.server("bill", "a")
	w.show()
	c := w.caller(meterAddr)
	c.connect()
	fresh := newWorld(t)
	fresh.view = w.view
	config := *w.view.Config
	config.Version = 2
	config.Routes = []registry.Route{{Name: "meter", Addr: meterAddr, Targets: []registry.Target{{Service: "bill", Weight: 1}}}}
	fresh.view.Config = &config
	fresh.show()
	c.w = fresh
	if v := c.request(); v.Action != Forward || v.ServerID != id {
		t.Fatalf("open flow after its route moved: %+v, want forwarded to %s", v, id)
	}
	if v := fresh.caller(meterAddr).open(0); v.ServerID == id {
		t.Fatal("a new flow went to the service of the earlier configuration")
	}
}

// Guards against a token on an opening packet that selects the backend server.
func TestOpeningPacketIgnoresItsToken(t *testing.T) {
	w := newWorld(t)
	w.server("bill", "a")
	meter := w.server("meter", "a")
	w.show()
	c := w.caller(meterAddr)
	p := c.packet()
	p.Opening, p.Token = true, 1 // the token of the other service's backend server
	if v := w.router.Decide(&p, w.now); v.ServerID != meter {
		t.Fatalf("opening packet with a foreign token went to %q, want %q", v.ServerID, meter)
	}
}

// Guards against ambiguous tokens: flows of the backend server that was registered first keep it, the other one gets no
// new flows while both are there.
func TestTokenCollision(t *testing.T) {
	w := newWorld(t)
	first := w.server("meter", "a")
	second := w.server("meter", "a", func(s *registry.Server) { s.Identity = 1 | 7<<32 })
	w.show()
	for range 10 {
		c := w.caller(meterAddr)
		if v := c.connect(); v.ServerID != first {
			t.Fatalf("new flow went to %q, whose token %q had before", v.ServerID, first)
		}
	}
	w.remove(first)
	if v := w.caller(meterAddr).connect(); v.ServerID != second {
		t.Fatalf("new flow went to %q, want %q, which has the token alone now", v.ServerID, second)
	}
}

// Guards against resets of flows whose backend server has just been registered, and against callers that wait for one
// that no longer exists.
func TestUnknownToken(t *testing.T) {
	w := newWorld(t)
	w.server("meter", "a")
	w.show()
	c := w.caller(meterAddr)
	c.token = 99
	expect(t, c.request(), Drop, UnknownToken)
	w.wait(unknownTokenPatience - 200*time.Millisecond)
	w.show()
	expect(t, c.request(), Drop, UnknownToken)
	w.wait(300 * time.Millisecond)
	expect(t, c.request(), Reject, TokenNeverListed)
	w.server("meter", "a", func(s *registry.Server) { s.Identity = 99 })
	w.show()
	expect(t, c.request(), Forward, KnownFlow)
}

// Guards against forged tokens that fill the memory.
func TestUnknownTokensAreBounded(t *testing.T) {
	w := newWorld(t)
	w.server("meter", "a")
	w.show()
	c := w.caller(meterAddr)
	for token := range uint32(3 * maxUnknownTokens) {
		c.token = 1000 + token
		c.request()
	}
	if len(w.router.unknown) > maxUnknownTokens {
		t.Fatalf("%d unknown tokens are remembered, allowed %d", len(w.router.unknown), maxUnknownTokens)
	}
}

// Guards against flows that wait for a backend server that has left, and against resets of flows whose backend server's
// entry was only away for a moment.
func TestFlowsOfServerThatWent(t *testing.T) {
	for _, test := range []struct {
		name     string
		draining bool
		after    time.Duration
		action   Action
	}{
		{"drained", true, 0, Reject},
		{"entry away for a moment", false, goneSettled - 300*time.Millisecond, Forward},
		{"entry away for good", false, goneSettled + 100*time.Millisecond, Reject},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			id := w.server("meter", "a")
			w.show()
			c := w.caller(meterAddr)
			c.connect()
			w.change(id, func(s *registry.Server) { s.Draining = test.draining })
			w.remove(id)
			w.server("meter", "a")
			w.show()
			for range test.after / (100 * time.Millisecond) {
				w.now += 100 * time.Millisecond
				w.confirm()
			}
			if v := c.request(); v.Action != test.action {
				t.Fatalf("%v after the entry went: action %d (%v), want %d", test.after, v.Action, v.Reason, test.action)
			}
			if v := w.caller(meterAddr).open(0); v.ServerID == id {
				t.Fatal("a new flow went to the backend server whose entry is away")
			}
		})
	}
}

// Guards against packets for a backend server whose address was given to another one.
func TestAddressGivenToAnotherServer(t *testing.T) {
	w := newWorld(t)
	old := w.server("meter", "a")
	w.server("meter", "a")
	w.show()
	var c *caller
	for c == nil || c.token != 1 {
		c = w.caller(meterAddr)
		c.connect()
	}
	addr := w.view.Servers[0].Addr
	w.server("bill", "a", func(s *registry.Server) { s.Addr = addr })
	w.show()
	expect(t, c.request(), Reject, BackendServerGone)
	for range 10 {
		if v := w.caller(meterAddr).open(0); v.ServerID == old {
			t.Fatal("a new flow went to the address that another service has now")
		}
	}
}

// Guards against an entry of a service that no configuration names taking an address away.
func TestEntryOfUnknownServiceIsIgnored(t *testing.T) {
	w := newWorld(t)
	id := w.server("meter", "a")
	addr := w.view.Servers[0].Addr
	w.server("nobody", "a", func(s *registry.Server) { s.Addr = addr })
	w.show()
	if v := w.caller(meterAddr).open(0); v.ServerID != id {
		t.Fatalf("new flow went to %q, want %q", v.ServerID, id)
	}
}

// Guards against new flows where none may go.
func TestServersThatGetNoNewFlows(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*world, string)
	}{
		{"draining", func(w *world, id string) { w.change(id, func(s *registry.Server) { s.Draining = true }) }},
		{"data centre taken out", func(w *world, _ string) { w.view.OutDataCentres["a"] = true; w.show() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			id := w.server("meter", "a")
			w.show()
			c := w.caller(meterAddr)
			c.connect()
			test.change(w, id)
			expect(t, w.caller(meterAddr).open(0), Reject, NoBackendServer)
			expect(t, c.request(), Forward, KnownFlow)
			other := w.server("meter", "b")
			w.show()
			if v := w.caller(meterAddr).open(0); v.ServerID != other {
				t.Fatalf("new flow went to %q, want %q", v.ServerID, other)
			}
		})
	}
}

// Guards against flows that cross data centres without need, and against refusals while another one can serve.
func TestOwnDataCentreFirst(t *testing.T) {
	w := newWorld(t)
	near := w.server("meter", "a")
	far := w.server("meter", "b")
	w.show()
	w.router.SetFleet(Fleet{Self: selfHost, Flows: map[PlaceDigest]int{Place{"meter", "b"}.Digest(): 20}})
	for range 20 {
		if v := w.caller(meterAddr).connect(); v.ServerID != near {
			t.Fatalf("new flow went to %q in another data centre", v.ServerID)
		}
	}
	w.remove(near)
	if v := w.caller(meterAddr).connect(); v.ServerID != far {
		t.Fatalf("new flow went to %q, want %q", v.ServerID, far)
	}
}

// Guards against weights that are not kept.
func TestWeights(t *testing.T) {
	w := newWorld(t)
	w.server("meter", "a")
	bill := w.server("bill", "a")
	w.view.Config.Routes[0].Targets = []registry.Target{{Service: "meter", Weight: 90}, {Service: "bill", Weight: 10}}
	w.show()
	const flows = 4000
	n := 0
	for range flows {
		if w.caller(meterAddr).open(0).ServerID == bill {
			n++
		}
		w.now += time.Millisecond
	}
	if n < flows*7/100 || n > flows*13/100 {
		t.Fatalf("%d of %d new flows went to the service with a weight of 10%%", n, flows)
	}
}

// Guards against a flow table that grows without bound and against flows that are not carried when it is full.
func TestFullFlowTable(t *testing.T) {
	w := newWorld(t)
	w.router.table.limit = 10
	w.server("meter", "a")
	w.show()
	for range 30 {
		c := w.caller(meterAddr)
		c.connect()
		expect(t, c.request(), Forward, KnownFlow)
	}
	if n := len(w.router.table.flows); n > 10 {
		t.Fatalf("%d flows are remembered, allowed 10", n)
	}
}

// Guards against counts of flows that drift from the flows remembered.
func TestFlowCounts(t *testing.T) {
	w := newWorld(t)
	for range 4 {
		w.server("meter", "a")
	}
	w.show()
	var open []*caller
	for range 40 {
		c := w.caller(meterAddr)
		c.connect()
		open = append(open, c)
	}
	for _, s := range w.router.servers {
		if s.flows != 10 {
			t.Fatalf("backend server %s has %d flows, want 10 of 40 on each of 4", s.ID, s.flows)
		}
	}
	for _, c := range open {
		p := c.packet()
		p.Closing = true
		w.router.Decide(&p, w.now)
	}
	w.wait(closedMemory + 300*time.Millisecond)
	for _, s := range w.router.servers {
		if s.flows != 0 {
			t.Fatalf("backend server %s has %d flows after all were closed", s.ID, s.flows)
		}
	}
}

// Guards against new flows that leave the regions of their route, and against flows that cross regions without need.
func TestRegions(t *testing.T) {
	w := newWorld(t)
	w.router.SetFleet(Fleet{Self: Host{Addr: selfHost.Addr, DataCentre: "a", Region: "r1"}})
	in := func(region string) func(*registry.Server) { return func(s *registry.Server) { s.Region = region } }
	abroad := w.server("meter", "x", in("r2"))
	w.show()
	if v := w.caller(meterAddr).connect(); v.ServerID != abroad {
		t.Fatalf("new flow went to %q, want the only backend server", v.ServerID)
	}
	home := w.server("meter", "b", in("r1"))
	w.show()
	for range 10 {
		if v := w.caller(meterAddr).connect(); v.ServerID != home {
			t.Fatalf("new flow went to another region")
		}
	}
	w.remove(home)
	config := *w.view.Config
	config.Version = 2
	config.Routes = append([]registry.Route(nil), config.Routes...)
	config.Routes[0].Regions = []string{"r1"}
	w.view.Config = &config
	w.show()
	expect(t, w.caller(meterAddr).open(0), Reject, NoBackendServer)
}

// Guards against a process that ends because of a route whose services are not known or have no weight.
func TestRouteWithoutTargets(t *testing.T) {
	for name, targets := range map[string][]registry.Target{
		"none":            nil,
		"unknown service": {{Service: "nobody", Weight: 1}},
		"no weight":       {{Service: "meter", Weight: 0}, {Service: "bill", Weight: 0}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.server("meter", "a")
			w.view.Config.Routes[0].Targets = targets
			w.show()
			expect(t, w.caller(meterAddr).open(0), Reject, NoBackendServer)
		})
	}
}
