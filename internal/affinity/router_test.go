package affinity

import (
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Guards against a flow that moves to another backend server when its packets reach a host that has never seen it.
func TestLaterPacketsFollowTheirToken(t *testing.T) {
	h := newHarness(t)
	for range 5 {
		h.server("meter", "a")
	}
	h.applyView()
	c := h.caller(meterAddr)
	chosen := c.connect().ServerID
	other := newHarness(t)
	other.view = h.view
	other.applyView()
	c.h = other
	for range 3 {
		v := c.request()
		expect(t, v, Forward, KnownFlow)
		if v.ServerID != chosen || v.Identity == 0 {
			t.Fatalf("packet went to %q (identity %d), the flow belongs to %q", v.ServerID, v.Identity, chosen)
		}
		c.answered()
	}
}

// Guards against new flows to an address without a route, and against resets of open flows whose route is newer than this
// host's configuration.
func TestUnknownRoute(t *testing.T) {
	h := newHarness(t)
	id := h.server("meter", "a")
	h.applyView()
	c := h.caller(netip.MustParseAddrPort("198.18.0.9:443"))
	expect(t, c.open(0), Reject, UnknownRoute)
	expect(t, c.request(), Drop, NoToken)
	c.token = 1
	if v := c.request(); v.Action != Forward || v.ServerID != id {
		t.Fatalf("later packet of a route not received yet: %+v, want forwarded to %s", v, id)
	}
}

// Guards against flows that continue after their route was removed.
func TestRemovedRoute(t *testing.T) {
	h := newHarness(t)
	h.server("meter", "a")
	h.applyView()
	c := h.caller(meterAddr)
	c.connect()
	config := *h.view.Config
	config.Version, config.Routes = 2, config.Routes[1:]
	h.view.Config = &config
	h.applyView()
	expect(t, c.request(), Reject, RemovedRoute)
	expect(t, h.caller(meterAddr).open(0), Reject, RemovedRoute)
}

// Guards against open flows that are dropped when their route changes to another service, including by a host that has
// never had the earlier configuration (phmu-edge trouble-2).
func TestFlowStaysWhenRouteChanges(t *testing.T) {
	h := newHarness(t)
	id := h.server("meter", "a")
	h.server("bill", "a")
	h.applyView()
	c := h.caller(meterAddr)
	c.connect()
	fresh := newHarness(t)
	fresh.view = h.view
	config := *h.view.Config
	config.Version = 2
	config.Routes = []registry.Route{{Name: "meter", Addr: meterAddr, Targets: []registry.Target{{Service: "bill", Weight: 1}}}}
	fresh.view.Config = &config
	fresh.applyView()
	c.h = fresh
	if v := c.request(); v.Action != Forward || v.ServerID != id {
		t.Fatalf("open flow after its route changed: %+v, want forwarded to %s", v, id)
	}
	if v := fresh.caller(meterAddr).open(0); v.ServerID == id {
		t.Fatal("a new flow went to the service of the earlier configuration")
	}
}

// Guards against a backend server selected by the token of an opening packet, which a caller can forge.
func TestOpeningPacketIgnoresItsToken(t *testing.T) {
	h := newHarness(t)
	h.server("bill", "a")
	meter := h.server("meter", "a")
	h.applyView()
	c := h.caller(meterAddr)
	p := c.packet()
	p.Opening, p.Token = true, 1 // the token of the other service's backend server
	if v := h.router.Decide(&p, h.now); v.ServerID != meter {
		t.Fatalf("opening packet with a foreign token went to %q, want %q", v.ServerID, meter)
	}
}

// Guards against ambiguous tokens: a token shared by two backend servers belongs to the one registered first, and the other
// one gets no new flows while both are registered.
func TestTokenCollision(t *testing.T) {
	h := newHarness(t)
	first := h.server("meter", "a")
	second := h.server("meter", "a", func(s *registry.Server) { s.Identity = 1 | 7<<32 })
	h.applyView()
	for range 10 {
		c := h.caller(meterAddr)
		if v := c.connect(); v.ServerID != first {
			t.Fatalf("new flow went to %q, whose token belongs to %q", v.ServerID, first)
		}
	}
	h.remove(first)
	if v := h.caller(meterAddr).connect(); v.ServerID != second {
		t.Fatalf("new flow went to %q, want %q, now the only owner of the token", v.ServerID, second)
	}
}

// Guards against resets of flows whose backend server has just been registered, and against callers that wait for a server
// that no longer exists.
func TestUnknownToken(t *testing.T) {
	h := newHarness(t)
	h.server("meter", "a")
	h.applyView()
	c := h.caller(meterAddr)
	c.token = 99
	expect(t, c.request(), Drop, UnknownToken)
	h.advance(unknownTokenGrace - 200*time.Millisecond)
	h.applyView()
	expect(t, c.request(), Drop, UnknownToken)
	h.advance(300 * time.Millisecond)
	expect(t, c.request(), Reject, TokenNeverListed)
	h.server("meter", "a", func(s *registry.Server) { s.Identity = 99 })
	h.applyView()
	expect(t, c.request(), Forward, KnownFlow)
}

// Guards against forged tokens that exhaust memory.
func TestUnknownTokensAreBounded(t *testing.T) {
	h := newHarness(t)
	h.server("meter", "a")
	h.applyView()
	c := h.caller(meterAddr)
	for token := range uint32(3 * maxUnknownTokens) {
		c.token = 1000 + token
		c.request()
	}
	if len(h.router.unknownTokens) > maxUnknownTokens {
		t.Fatalf("%d unknown tokens are kept, allowed %d", len(h.router.unknownTokens), maxUnknownTokens)
	}
}

// Guards against flows that wait for a backend server that was removed, and against resets of flows whose backend server's
// entry was missing only briefly.
func TestFlowsOfRemovedServer(t *testing.T) {
	for _, test := range []struct {
		name     string
		draining bool
		after    time.Duration
		action   Action
	}{
		{"drained", true, 0, Reject},
		{"entry missing briefly", false, removalGrace - 300*time.Millisecond, Forward},
		{"entry missing for good", false, removalGrace + 100*time.Millisecond, Reject},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			id := h.server("meter", "a")
			h.applyView()
			c := h.caller(meterAddr)
			c.connect()
			h.change(id, func(s *registry.Server) { s.Draining = test.draining })
			h.remove(id)
			h.server("meter", "a")
			h.applyView()
			for range test.after / (100 * time.Millisecond) {
				h.now += 100 * time.Millisecond
				h.confirmRegistry()
			}
			if v := c.request(); v.Action != test.action {
				t.Fatalf("%v after the entry was removed: action %d (%v), want %d", test.after, v.Action, v.Reason, test.action)
			}
			if v := h.caller(meterAddr).open(0); v.ServerID == id {
				t.Fatal("a new flow went to the backend server whose entry is missing")
			}
		})
	}
}

// Guards against packets sent to the address of a backend server after another one has taken over the address.
func TestAddressReassignedToAnotherServer(t *testing.T) {
	h := newHarness(t)
	old := h.server("meter", "a")
	h.server("meter", "a")
	h.applyView()
	var c *caller
	for c == nil || c.token != 1 {
		c = h.caller(meterAddr)
		c.connect()
	}
	addr := h.view.Servers[0].Addr
	h.server("bill", "a", func(s *registry.Server) { s.Addr = addr })
	h.applyView()
	expect(t, c.request(), Reject, BackendServerGone)
	for range 10 {
		if v := h.caller(meterAddr).open(0); v.ServerID == old {
			t.Fatal("a new flow went to the address that another service has now")
		}
	}
}

// Guards against an entry of a service that is not in the configuration, which must not take over the address of another
// entry.
func TestEntryOfUnknownServiceIsIgnored(t *testing.T) {
	h := newHarness(t)
	id := h.server("meter", "a")
	addr := h.view.Servers[0].Addr
	h.server("nobody", "a", func(s *registry.Server) { s.Addr = addr })
	h.applyView()
	if v := h.caller(meterAddr).open(0); v.ServerID != id {
		t.Fatalf("new flow went to %q, want %q", v.ServerID, id)
	}
}

// Guards against new flows to draining backend servers and to data centres that are taken out.
func TestServersThatGetNoNewFlows(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*harness, string)
	}{
		{"draining", func(h *harness, id string) { h.change(id, func(s *registry.Server) { s.Draining = true }) }},
		{"data centre taken out", func(h *harness, _ string) { h.view.OutDataCentres["a"] = true; h.applyView() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			id := h.server("meter", "a")
			h.applyView()
			c := h.caller(meterAddr)
			c.connect()
			test.change(h, id)
			expect(t, h.caller(meterAddr).open(0), Reject, NoBackendServer)
			expect(t, c.request(), Forward, KnownFlow)
			other := h.server("meter", "b")
			h.applyView()
			if v := h.caller(meterAddr).open(0); v.ServerID != other {
				t.Fatalf("new flow went to %q, want %q", v.ServerID, other)
			}
		})
	}
}

// Guards against needless flows to another data centre, and against rejected flows while another data centre can serve.
func TestOwnDataCentreFirst(t *testing.T) {
	h := newHarness(t)
	near := h.server("meter", "a")
	far := h.server("meter", "b")
	h.applyView()
	h.router.SetFleet(Fleet{Self: selfHost, Flows: map[PlaceDigest]int{Place{"meter", "b"}.Digest(): 20}})
	for range 20 {
		if v := h.caller(meterAddr).connect(); v.ServerID != near {
			t.Fatalf("new flow went to %q in another data centre", v.ServerID)
		}
	}
	h.remove(near)
	if v := h.caller(meterAddr).connect(); v.ServerID != far {
		t.Fatalf("new flow went to %q, want %q", v.ServerID, far)
	}
}

// Guards against new flows that are not distributed by the weights of the route.
func TestWeights(t *testing.T) {
	h := newHarness(t)
	h.server("meter", "a")
	bill := h.server("bill", "a")
	h.view.Config.Routes[0].Targets = []registry.Target{{Service: "meter", Weight: 90}, {Service: "bill", Weight: 10}}
	h.applyView()
	const flows = 4000
	n := 0
	for range flows {
		if h.caller(meterAddr).open(0).ServerID == bill {
			n++
		}
		h.now += time.Millisecond
	}
	if n < flows*7/100 || n > flows*13/100 {
		t.Fatalf("%d of %d new flows went to the service with a weight of 10%%", n, flows)
	}
}

// Guards against a flow table that grows without bound, and against flows that are not forwarded when it is full.
func TestFullFlowTable(t *testing.T) {
	h := newHarness(t)
	h.router.table.limit = 10
	h.server("meter", "a")
	h.applyView()
	for range 30 {
		c := h.caller(meterAddr)
		c.connect()
		expect(t, c.request(), Forward, KnownFlow)
	}
	if n := len(h.router.table.flows); n > 10 {
		t.Fatalf("%d flows are tracked, allowed 10", n)
	}
}

// Guards against flow counts of backend servers that drift from the flows in the table.
func TestFlowCounts(t *testing.T) {
	h := newHarness(t)
	for range 4 {
		h.server("meter", "a")
	}
	h.applyView()
	var open []*caller
	for range 40 {
		c := h.caller(meterAddr)
		c.connect()
		open = append(open, c)
	}
	for _, s := range h.router.servers {
		if s.flows != 10 {
			t.Fatalf("backend server %s has %d flows, want 10 of 40 on each of 4", s.ID, s.flows)
		}
	}
	for _, c := range open {
		p := c.packet()
		p.Closing = true
		h.router.Decide(&p, h.now)
	}
	h.advance(closedRetention + 300*time.Millisecond)
	for _, s := range h.router.servers {
		if s.flows != 0 {
			t.Fatalf("backend server %s has %d flows after all were closed", s.ID, s.flows)
		}
	}
}

// Guards against new flows to regions that their route does not allow, and against needless flows to another region.
func TestRegions(t *testing.T) {
	h := newHarness(t)
	h.router.SetFleet(Fleet{Self: Host{Addr: selfHost.Addr, DataCentre: "a", Region: "r1"}})
	in := func(region string) func(*registry.Server) { return func(s *registry.Server) { s.Region = region } }
	otherRegion := h.server("meter", "x", in("r2"))
	h.applyView()
	if v := h.caller(meterAddr).connect(); v.ServerID != otherRegion {
		t.Fatalf("new flow went to %q, want the only backend server", v.ServerID)
	}
	ownRegion := h.server("meter", "b", in("r1"))
	h.applyView()
	for range 10 {
		if v := h.caller(meterAddr).connect(); v.ServerID != ownRegion {
			t.Fatalf("new flow went to another region")
		}
	}
	h.remove(ownRegion)
	config := *h.view.Config
	config.Version = 2
	config.Routes = append([]registry.Route(nil), config.Routes...)
	config.Routes[0].Regions = []string{"r1"}
	h.view.Config = &config
	h.applyView()
	expect(t, h.caller(meterAddr).open(0), Reject, NoBackendServer)
}

// Guards against a crash on a route without targets, or whose services are unknown or have no weight.
func TestRouteWithoutTargets(t *testing.T) {
	for name, targets := range map[string][]registry.Target{
		"none":            nil,
		"unknown service": {{Service: "nobody", Weight: 1}},
		"no weight":       {{Service: "meter", Weight: 0}, {Service: "bill", Weight: 0}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.server("meter", "a")
			h.view.Config.Routes[0].Targets = targets
			h.applyView()
			expect(t, h.caller(meterAddr).open(0), Reject, NoBackendServer)
		})
	}
}

// Guards against a reset of a caller's flow because of a packet of its earlier flow from the same port, which arrives late: the
// earlier flow's backend server is lost, and the reset must not carry the present flow's sequence number.
func TestLatePacketOnAReusedPort(t *testing.T) {
	h := newHarness(t)
	h.server("meter", "a")
	h.server("meter", "a")
	h.applyView()
	earlier := h.caller(meterAddr)
	earlier.ack = 0x1000_0000
	lost := earlier.connect().ServerID
	present := &caller{h: h, key: earlier.key, seq: 0x5000_0000, ack: 0x6000_0000}
	h.advance(100 * time.Millisecond)
	if server := present.connect().ServerID; server == lost {
		t.Fatalf("both flows are at %s", lost)
	}
	present.request()
	expect(t, earlier.request(), Forward, KnownFlow)
	h.silence(h.router.servers[lost].instance(), ConnectionRefused)
	for _, r := range h.router.TakeResets() {
		if r.Seq != earlier.ack {
			t.Errorf("reset with sequence number %x, want that of the earlier flow, %x", r.Seq, earlier.ack)
		}
	}
	expect(t, present.request(), Forward, KnownFlow)
}

// A backend server whose entry was gone is registered again. Another host knows it already and opens a flow there, whose next
// packets come to this host before it has heard of the server. Guards against resets by a host that is a message behind: what
// the store confirmed before the flow was opened says nothing about its server.
func TestFlowOpenedAfterTheServerCameBack(t *testing.T) {
	for _, draining := range []bool{false, true} {
		h := newHarness(t)
		id := h.server("meter", "a")
		h.server("meter", "a")
		h.applyView()
		known := h.caller(meterAddr)
		for known.token != 1 {
			known = h.caller(meterAddr)
			known.connect()
		}
		h.change(id, func(s *registry.Server) { s.Draining = draining })
		returned := h.view.Servers[0]
		h.remove(id)
		h.advance(removalGrace + 200*time.Millisecond)
		expect(t, known.request(), Reject, BackendServerGone)
		moved := h.caller(meterAddr)
		moved.token = known.token
		h.now += 50 * time.Millisecond // since the last confirmation
		expect(t, moved.request(), Drop, UnknownToken)
		h.now += 150 * time.Millisecond
		h.router.Sweep(h.now)
		if resets := h.router.TakeResets(); len(resets) > 0 {
			t.Errorf("draining %v: flow %v reset by a confirmation from before it was opened", draining, resets[0].Key)
		}
		expect(t, moved.request(), Drop, UnknownToken)
		returned.Draining = false
		h.view.Servers = append(h.view.Servers, returned)
		h.applyView()
		expect(t, moved.request(), Forward, KnownFlow)
	}
}

// Guards against flows that wait for a backend server that is gone for good, when they come to this host after it is gone.
func TestFlowThatMovesAfterItsServerHasGone(t *testing.T) {
	h := newHarness(t)
	id := h.server("meter", "a")
	h.applyView()
	c := h.caller(meterAddr)
	c.token = 1
	h.remove(id)
	h.advance(removalGrace + 200*time.Millisecond)
	h.now += 50 * time.Millisecond
	expect(t, c.request(), Drop, UnknownToken)
	h.advance(100 * time.Millisecond)
	expect(t, c.request(), Reject, BackendServerGone)
}

// This host started while a backend server was away, and callers' packets with its token came here. The server comes back, and
// another host opens a flow there before this one has heard of it. Guards against resets of that flow by what the store confirmed
// about the token before the flow was opened.
func TestUnknownTokenOfANewFlow(t *testing.T) {
	h := newHarness(t)
	h.server("meter", "a")
	h.applyView()
	old, c := h.caller(meterAddr), h.caller(meterAddr)
	old.token, c.token = 99, 99
	expect(t, old.request(), Drop, UnknownToken)
	h.advance(unknownTokenGrace + 200*time.Millisecond)
	expect(t, old.request(), Reject, TokenNeverListed)
	h.now += 50 * time.Millisecond // since the last confirmation
	expect(t, c.request(), Drop, UnknownToken)
	h.now += 150 * time.Millisecond
	expect(t, c.request(), Drop, UnknownToken)
	h.advance(100 * time.Millisecond)
	expect(t, c.request(), Reject, TokenNeverListed) // the server is away still
}

// Guards against packets of forged flows that exhaust memory, or that keep flows of lost backend servers from being reset for
// longer than they are remembered.
func TestUnknownFlowsAreBounded(t *testing.T) {
	h := newHarness(t)
	h.server("meter", "a")
	h.applyView()
	for range maxUnknownFlows + 10 {
		c := h.caller(meterAddr)
		c.token = 99
		c.request()
	}
	if n := len(h.router.unknownFlows); n > maxUnknownFlows {
		t.Fatalf("%d flows of unknown tokens are kept, allowed %d", n, maxUnknownFlows)
	}
	h.advance(unknownFlowRetention + time.Second)
	c := h.caller(meterAddr)
	c.token = 99
	c.request()
	h.advance(100 * time.Millisecond)
	expect(t, c.request(), Reject, TokenNeverListed)
}
