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

// world drives a Router with a clock of its own.
type world struct {
	t      testing.TB
	router *Router
	now    time.Duration
	view   registry.View
	port   uint16
	nextID uint64
	// storeAway keeps the registry from being confirmed.
	storeAway bool
}

func newWorld(t testing.TB) *world {
	w := &world{
		t:      t,
		router: NewRouter(Config{MaxFlows: 10_000, IdleTimeout: 15 * time.Second}, selfHost),
		now:    time.Second,
		port:   1024,
	}
	w.view = registry.View{
		OutDataCentres:    map[string]bool{},
		RestoredColdUntil: map[string]time.Duration{},
		Config: &registry.Config{
			Version: 1,
			Routes: []registry.Route{
				{Name: "meter", Addr: meterAddr, Targets: []registry.Target{{Service: "meter", Weight: 1}}},
				{Name: "bill", Addr: billAddr, Targets: []registry.Target{{Service: "bill", Weight: 1}}},
			},
			Services: []registry.Service{{Name: "meter", ColdPeriod: 2 * time.Second}, {Name: "bill"}},
		},
	}
	return w
}

// server adds a backend server and returns its id. Call show to put it in force.
func (w *world) server(service, dataCentre string, change ...func(*registry.Server)) string {
	w.nextID++
	n := w.nextID
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
	w.view.Servers = append(w.view.Servers, s)
	return s.ID
}

func (w *world) change(id string, change func(*registry.Server)) {
	for i := range w.view.Servers {
		if w.view.Servers[i].ID == id {
			entry := *w.view.Servers[i].BackendServer
			w.view.Servers[i].BackendServer = &entry
			change(&w.view.Servers[i])
		}
	}
	w.show()
}

func (w *world) remove(id string) {
	var kept []registry.Server
	for _, s := range w.view.Servers {
		if s.ID != id {
			kept = append(kept, s)
		}
	}
	w.view.Servers = kept
	w.show()
}

// show puts the present view in force.
func (w *world) show() {
	v := w.view
	v.Servers = append([]registry.Server(nil), w.view.Servers...)
	w.router.SetView(&v, w.now)
	w.confirm()
}

// confirm tells the router that the registry is the store's contents, or that the store is away.
func (w *world) confirm() {
	if w.storeAway {
		w.router.fleet.StoreUnavailableAt = w.now
		return
	}
	w.router.fleet.ConfirmedAt = w.now
}

// wait lets time pass in steps that the router does not take for a pause.
func (w *world) wait(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		w.now += min(d, step)
		w.confirm()
		w.router.Sweep(w.now)
	}
}

// check answers the checks that are due, with Accepts for servers that are not lost. It returns their number.
func (w *world) check(lost map[string]CheckOutcome) int {
	orders := append([]CheckRequest(nil), w.router.TakeChecks()...)
	for _, o := range orders {
		outcome := Accepts
		if l, ok := lost[o.ServerID]; ok {
			outcome = l
		}
		w.router.HandleCheckResult(o.ServerID, outcome, w.now)
	}
	return len(orders)
}

// caller is one flow of a caller.
type caller struct {
	w     *world
	key   FlowKey
	seq   uint32
	ack   uint32
	token uint32
}

func (w *world) caller(service netip.AddrPort) *caller {
	w.port++
	ip := netip.AddrFrom4([4]byte{100, 64, byte(w.port >> 8), byte(w.port)})
	return &caller{w: w, key: FlowKey{Caller: netip.AddrPortFrom(ip, w.port), Service: service}, seq: 1000, ack: 5000}
}

// again returns a new flow from the same caller.
func (c *caller) again() *caller {
	next := c.w.caller(c.key.Service)
	next.key.Caller = netip.AddrPortFrom(c.key.Caller.Addr(), next.key.Caller.Port())
	return next
}

func (c *caller) packet() Packet {
	return Packet{Caller: c.key.Caller, Service: c.key.Service, Token: c.token, Seq: c.seq, Ack: c.ack}
}

// open sends an opening packet, the copy-th of its kind.
func (c *caller) open(copies uint32) Verdict {
	p := c.packet()
	p.Opening, p.Copy, p.Ack, p.Token = true, copies, copies, 0
	v := c.w.router.Decide(&p, c.w.now)
	if v.Action == Forward {
		c.token = v.Token
	}
	return v
}

// request sends the caller's present data; sent again before answered, it is a repeat.
func (c *caller) request() Verdict {
	p := c.packet()
	p.Length = 100
	return c.w.router.Decide(&p, c.w.now)
}

// answered notes that the backend server has answered what was sent.
func (c *caller) answered() {
	c.seq += 100
	c.ack += 500
}

// connect opens a flow and completes its handshake.
func (c *caller) connect() Verdict {
	c.w.t.Helper()
	v := c.open(0)
	if v.Action != Forward {
		c.w.t.Fatalf("opening packet: %v %v, want forwarded", v.Action, v.Reason)
	}
	c.seq++
	c.ack++
	p := c.packet()
	if later := c.w.router.Decide(&p, c.w.now); later.ServerID != v.ServerID {
		c.w.t.Fatalf("handshake went to %q, the opening packet to %q", later.ServerID, v.ServerID)
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
