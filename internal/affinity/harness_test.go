package affinity

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Addresses of the tests' routes.
var (
	meterAddr = netip.MustParseAddrPort("198.18.0.1:443")
	billAddr  = netip.MustParseAddrPort("198.18.0.2:443")
	selfHost  = Host{Addr: netip.MustParseAddrPort("10.0.0.1:7000"), DataCentre: "a"}
)

// harness drives a Router with a simulated clock.
type harness struct {
	t      testing.TB
	router *Router
	now    time.Duration
	view   registry.View
	port   uint16
	nextID uint64
	// storeUnavailable simulates a store that cannot be read, so that the registry is not confirmed.
	storeUnavailable bool
}

func newHarness(t testing.TB) *harness {
	h := &harness{
		t:      t,
		router: NewRouter(Config{MaxFlows: 10_000, IdleTimeout: 15 * time.Second}, selfHost),
		now:    time.Second,
		port:   1024,
	}
	h.view = registry.View{
		OutDataCentres:    map[string]bool{},
		RestoredColdUntil: map[string]time.Duration{},
		Config: &registry.Config{
			Version: 1,
			Routes: []registry.Route{
				{Name: "meter", Addr: meterAddr, Targets: []registry.Target{{Service: "meter", Weight: 1}}, Idempotent: true},
				{Name: "bill", Addr: billAddr, Targets: []registry.Target{{Service: "bill", Weight: 1}}},
			},
			Services: []registry.Service{{Name: "meter", ColdPeriod: 2 * time.Second}, {Name: "bill"}},
		},
	}
	return h
}

// server adds a backend server to the view and returns its ID. It takes effect with the next call of applyView.
func (h *harness) server(service, dataCentre string, change ...func(*registry.Server)) string {
	h.nextID++
	n := h.nextID
	s := registry.Server{
		BackendServer: &registry.BackendServer{
			ID:         fmt.Sprintf("s%d", n),
			Identity:   n,
			Service:    service,
			Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 8000),
			DataCentre: dataCentre,
			Slots:      2,
		},
		Created: n,
	}
	for _, c := range change {
		c(&s)
	}
	h.view.Servers = append(h.view.Servers, s)
	return s.ID
}

func (h *harness) change(id string, change func(*registry.Server)) {
	for i := range h.view.Servers {
		if h.view.Servers[i].ID == id {
			entry := *h.view.Servers[i].BackendServer
			h.view.Servers[i].BackendServer = &entry
			change(&h.view.Servers[i])
		}
	}
	h.applyView()
}

func (h *harness) remove(id string) {
	var kept []registry.Server
	for _, s := range h.view.Servers {
		if s.ID != id {
			kept = append(kept, s)
		}
	}
	h.view.Servers = kept
	h.applyView()
}

// applyView passes the present view to the router.
func (h *harness) applyView() {
	v := h.view
	v.Servers = append([]registry.Server(nil), h.view.Servers...)
	h.router.SetView(&v, h.now)
	h.confirmRegistry()
}

// confirmRegistry sets the time at which the store last confirmed the registry, or at which it was last unavailable.
func (h *harness) confirmRegistry() {
	if h.storeUnavailable {
		h.router.fleet.StoreOutageAt = h.now
		return
	}
	h.router.fleet.ConfirmedAt = h.now
}

// advance moves the clock in steps that are shorter than HostPauseThreshold.
func (h *harness) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		h.now += min(d, step)
		h.confirmRegistry()
		h.router.Sweep(h.now)
	}
}

// check performs all requested checks: the given outcome for lost servers, Accepts for all others. A lost server counts as
// silent, as if the checks of several hosts had failed. It returns the number of checks.
func (h *harness) check(lost map[string]CheckOutcome) int {
	checks := 0
	for _, i := range append([]Instance(nil), h.router.TakeChecks()...) {
		request, ok := h.router.StartCheck(i, h.now)
		if !ok {
			continue
		}
		checks++
		outcome := Accepts
		if l, ok := lost[request.ServerID]; ok {
			outcome = l
		}
		h.endCheck(request, outcome)
	}
	return checks
}

// endCheck reports the outcome of a check. An unfavourable one counts as if another host had found the same.
func (h *harness) endCheck(c CheckRequest, outcome CheckOutcome) {
	if o := h.router.HandleCheckResult(c, outcome); o == Refuses || o == NoAnswer {
		h.silence(c.Instance, CauseOf(o))
	}
}

// silence makes a server silent, as if the checks of several hosts had just failed.
func (h *harness) silence(i Instance, c Cause) {
	h.router.SetHealth(i, Assessment{Health: Silent, Cause: c, Since: h.now, Latest: h.now, OwnEvidence: true}, h.now)
}

// caller is one flow of a caller.
type caller struct {
	h     *harness
	key   FlowKey
	seq   uint32
	ack   uint32
	token uint32
}

func (h *harness) caller(service netip.AddrPort) *caller {
	h.port++
	ip := netip.AddrFrom4([4]byte{100, 64, byte(h.port >> 8), byte(h.port)})
	return &caller{h: h, key: FlowKey{Caller: netip.AddrPortFrom(ip, h.port), Service: service}, seq: 1000, ack: 5000}
}

// retry returns a new flow from the same address of the caller, with another port.
func (c *caller) retry() *caller {
	next := c.h.caller(c.key.Service)
	next.key.Caller = netip.AddrPortFrom(c.key.Caller.Addr(), next.key.Caller.Port())
	return next
}

func (c *caller) packet() Packet {
	return Packet{Caller: c.key.Caller, Service: c.key.Service, Token: c.token, Seq: c.seq, Ack: c.ack}
}

// open sends an opening packet that was transmitted the given number of times before.
func (c *caller) open(copies uint32) Verdict {
	p := c.packet()
	p.Opening, p.Copy, p.Ack, p.Token = true, copies, copies, 0
	v := c.h.router.Decide(&p, c.h.now)
	if v.Action == Forward {
		c.token = v.Token
	}
	return v
}

// request sends the caller's present data. A second call without a call of answered between is a retransmission.
func (c *caller) request() Verdict {
	p := c.packet()
	p.Length = 100
	return c.h.router.Decide(&p, c.h.now)
}

// answered advances the caller as if the backend server had acknowledged and answered its last request.
func (c *caller) answered() {
	c.seq += 100
	c.ack += 500
}

// connect opens a flow and completes its handshake.
func (c *caller) connect() Verdict {
	c.h.t.Helper()
	v := c.open(0)
	if v.Action != Forward {
		c.h.t.Fatalf("opening packet: %v %v, want forwarded", v.Action, v.Reason)
	}
	c.seq++
	c.ack++
	p := c.packet()
	if later := c.h.router.Decide(&p, c.h.now); later.ServerID != v.ServerID {
		c.h.t.Fatalf("handshake went to %q, the opening packet to %q", later.ServerID, v.ServerID)
	}
	return v
}

func expect(t *testing.T, v Verdict, action Action, reason Reason) {
	t.Helper()
	if v.Action != action || v.Reason != reason {
		t.Fatalf("got action %d reason %v, want action %d reason %v", v.Action, v.Reason, action, reason)
	}
}

func addrOfHost(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000)
}
