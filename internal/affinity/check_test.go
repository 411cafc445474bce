package affinity

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// newSilentHarness returns a harness with four backend servers, the flows of one of them, which does not answer, and its ID.
// Three of those flows have retransmitted their data, and a flow of another server has just been answered.
func newSilentHarness(t *testing.T) (h *harness, onSilent []*caller, silent string) {
	t.Helper()
	h = newHarness(t)
	for range 4 {
		h.server("meter", "a")
	}
	h.applyView()
	var busy *caller
	for range 40 {
		c := h.caller(meterAddr)
		if id := c.connect().ServerID; silent == "" || id == silent {
			silent = id
			onSilent = append(onSilent, c)
		} else {
			busy = c
		}
	}
	h.check(nil)
	h.advance(time.Second)
	h.check(nil)
	for _, c := range onSilent[:3] {
		expect(t, c.request(), Forward, KnownFlow)
	}
	h.advance(200 * time.Millisecond)
	busy.request()
	busy.answered()
	busy.request()
	for _, c := range onSilent[:3] {
		expect(t, c.request(), Forward, KnownFlow)
	}
	return h, onSilent, silent
}

// A backend server stops answering while its registry entry still exists. Guards against flows that wait at it until their
// callers give up, and against callers that wait more than once.
func TestCheckDetectsSilentServer(t *testing.T) {
	for _, outcome := range []CheckOutcome{NoAnswer, Refuses} {
		t.Run(outcome.String(), func(t *testing.T) {
			h, onSilent, silent := newSilentHarness(t)
			h.router.TakeResets()
			if n := h.check(map[string]CheckOutcome{silent: outcome}); n != 1 {
				t.Fatalf("%d checks, want one of the server whose flows repeat their data", n)
			}
			orders := h.router.TakeResets()
			if len(orders) != len(onSilent) {
				t.Fatalf("%d of %d flows are reset when their backend server is found silent", len(orders), len(onSilent))
			}
			for _, o := range orders {
				if o.Seq != 5001 {
					t.Fatalf("reset carries sequence number %d, the caller has acknowledged 5001", o.Seq)
				}
			}
			expect(t, onSilent[5].request(), Reject, BackendServerSilent)
			for range 20 {
				if v := h.caller(meterAddr).open(0); v.ServerID == silent {
					t.Fatal("a new flow went to the silent backend server")
				}
			}
		})
	}
}

// Guards against resets of flows whose backend server is only busy: it acknowledges a request together with its response,
// and with few flows on a host no other packet shows that it is alive (grown qbph-lahore scale-1, 232 flows reset).
func TestBusyServerIsNotSilent(t *testing.T) {
	for _, outcome := range []CheckOutcome{Accepts, Unchecked} {
		t.Run(outcome.String(), func(t *testing.T) {
			h, onSilent, silent := newSilentHarness(t)
			for range 30 {
				h.check(map[string]CheckOutcome{silent: outcome})
				h.advance(100 * time.Millisecond)
				for _, c := range onSilent[:3] {
					expect(t, c.request(), Forward, KnownFlow)
				}
			}
			if n := len(h.router.TakeResets()); n != 0 {
				t.Fatalf("%d flows were reset", n)
			}
		})
	}
}

// Guards against a failed check that overrides an answer observed while the check was running.
func TestAnswerOverridesPendingCheck(t *testing.T) {
	h, onSilent, silent := newSilentHarness(t)
	onSilent[0].answered()
	onSilent[0].request()
	h.check(map[string]CheckOutcome{silent: NoAnswer})
	expect(t, onSilent[1].request(), Forward, KnownFlow)
	if n := len(h.router.TakeResets()); n != 0 {
		t.Fatalf("%d flows of a backend server that has just answered were reset", n)
	}
}

// Guards against the checked server as its own reference, against a server without a recent answer as the reference, and against
// servers that are not checked for lack of one, so that a refused connection shows nobody that the process has ended.
func TestReferenceOfACheck(t *testing.T) {
	h, _, silent := newSilentHarness(t)
	requests := h.router.TakeChecks()
	if len(requests) != 1 {
		t.Fatalf("%d checks, want 1", len(requests))
	}
	request, ok := h.router.StartCheck(requests[0], h.now)
	if !ok || request.ServerID != silent || !request.Reference.IsValid() || request.Reference == request.Addr {
		t.Fatalf("check %+v, want one of %s with another server's address", request, silent)
	}
	h = newHarness(t)
	h.server("meter", "a")
	h.applyView()
	c := h.caller(meterAddr)
	c.open(0)
	h.advance(200 * time.Millisecond)
	c.open(1)
	requests = h.router.TakeChecks()
	if len(requests) != 1 {
		t.Fatalf("%d checks, want 1", len(requests))
	}
	if request, ok := h.router.StartCheck(requests[0], h.now); !ok || request.Reference.IsValid() {
		t.Fatalf("check %+v, started %v, want one without a reference: no answer of another server has been seen", request, ok)
	}
}

// Guards against a reference that is reached over other links than the checked server: the way to another data centre, which all
// checkers share, may lose packets while the servers of the own data centre answer at once, so that two hosts find a sound server
// silent.
func TestReferenceIsInTheSameDataCentre(t *testing.T) {
	for _, tt := range []struct {
		name string
		age  time.Duration // of the last answer from the checked server's data centre
		want string        // data centre of the reference
	}{{"answered recently", time.Second, "b"}, {"has not answered for long", maxReferenceAge + time.Second, "a"}} {
		h := newHarness(t)
		checked, near, far := h.server("meter", "b"), h.server("meter", "b"), h.server("meter", "a")
		h.applyView()
		h.router.recordAnswer(h.router.servers[near], h.now)
		h.advance(tt.age)
		h.router.recordAnswer(h.router.servers[far], h.now)
		request, ok := h.router.StartCheck(h.router.servers[checked].instance(), h.now)
		if !ok {
			t.Fatal("no check was started")
		}
		want := h.router.servers[map[string]string{"a": far, "b": near}[tt.want]].Addr
		if request.Reference != want {
			t.Errorf("%s: reference %v, want %v, in data centre %s", tt.name, request.Reference, want, tt.want)
		}
	}
}

// Guards against checks of draining servers, which may refuse new connections while they still serve their flows.
func TestDrainingServerIsNotChecked(t *testing.T) {
	h, onSilent, silent := newSilentHarness(t)
	h.check(nil)
	h.change(silent, func(s *registry.Server) { s.Draining = true })
	h.advance(minCheckInterval)
	onSilent[0].request()
	if n := len(h.router.TakeChecks()); n != 0 {
		t.Fatalf("%d checks of a draining server", n)
	}
}

// Guards against an unbounded number of checks when callers retransmit.
func TestChecksAreRateLimited(t *testing.T) {
	h, onSilent, _ := newSilentHarness(t)
	n := h.check(nil)
	for range 19 {
		h.advance(100 * time.Millisecond)
		for _, c := range onSilent[:3] {
			c.request()
		}
		n += h.check(nil)
	}
	if limit := 1 + int(1900*time.Millisecond/minCheckInterval); n > limit {
		t.Fatalf("%d checks in 1.9 s, want at most %d", n, limit)
	}
}

// Guards against retransmissions taken as evidence against a backend server when they are none: those of a flow that moved
// to another host and back, whose answers the other host forwarded (phmu-edge scale-1, seed 826445643608, and quiet-1,
// seed 970218075411), and those of packets sent before a pause of this host.
func TestStaleEvidenceIsIgnored(t *testing.T) {
	for name, pass := range map[string]func(*harness){
		"flow was at another host": func(h *harness) { h.advance(5 * time.Second) },
		"host paused":              func(h *harness) { h.now += 1500 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			h, onSilent, silent := newSilentHarness(t)
			h.check(nil)
			onSilent[0].answered()
			for _, c := range onSilent {
				c.request()
			}
			var busy *caller
			for busy == nil || busy.connect().ServerID == silent {
				busy = h.caller(meterAddr)
			}
			pass(h)
			busy.request()
			busy.answered()
			busy.request() // an answer of another server, so that a check has a reference
			for _, c := range onSilent {
				expect(t, c.request(), Forward, KnownFlow)
			}
			if n := len(h.router.TakeChecks()); n != 0 {
				t.Fatalf("%d checks because of packets that are no evidence", n)
			}
		})
	}
}

// Guards against checks of live backend servers because callers open several flows at once: a second opening packet of a
// caller may mean that the first one was refused, but only the answer that stays away shows it.
func TestConcurrentFlowsOfACallerNeedNoCheck(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		h.server("meter", "a")
	}
	h.applyView()
	h.caller(meterAddr).connect()
	first := h.caller(meterAddr)
	refused := first.open(0).ServerID
	h.now += 2 * time.Millisecond
	second := first.retry()
	second.open(0)
	if n := len(h.router.TakeChecks()); n != 0 {
		t.Errorf("%d checks although the first flow may still be answered", n)
	}
	if !h.router.servers[refused].suspectOrSilent(h.now) {
		t.Error("the server is not suspect although it may have refused the flow")
	}
	h.advance(minOpeningWait + 100*time.Millisecond)
	checks := map[Instance]bool{}
	for _, i := range h.router.TakeChecks() {
		checks[i] = true
	}
	if !checks[h.router.servers[refused].instance()] {
		t.Errorf("checks %v, want one of %s, whose answer stayed away", checks, refused)
	}
}

// Guards against a backend server that is never checked again because it was restarted, or changed otherwise, while a check
// was running, against results about its earlier start, and against those about a server that has begun to drain meanwhile.
func TestServerChangesDuringACheck(t *testing.T) {
	for name, tt := range map[string]struct {
		change    func(*registry.Server)
		undo      func(*registry.Server)
		wantAgain time.Duration // after which another check can start
	}{
		"restarted": {func(s *registry.Server) { s.StartedMs = 9 }, func(*registry.Server) {}, 0},
		"drains":    {func(s *registry.Server) { s.Draining = true }, func(s *registry.Server) { s.Draining = false }, minCheckInterval},
	} {
		t.Run(name, func(t *testing.T) {
			h, _, silent := newSilentHarness(t)
			i := h.router.servers[silent].instance()
			check, ok := h.router.StartCheck(i, h.now)
			if !ok {
				t.Fatal("the check was not started")
			}
			h.change(silent, tt.change)
			if o := h.router.HandleCheckResult(check, Refuses); o != Unchecked {
				t.Errorf("outcome %v, want unchecked", o)
			}
			h.change(silent, tt.undo)
			h.advance(tt.wantAgain)
			if _, ok := h.router.StartCheck(h.router.servers[silent].instance(), h.now); !ok {
				t.Error("the server can't be checked again")
			}
		})
	}
	h, _, silent := newSilentHarness(t)
	i := h.router.servers[silent].instance()
	h.router.StartCheck(i, h.now)
	h.advance(maxCheckTime)
	if _, ok := h.router.StartCheck(i, h.now); !ok {
		t.Error("a check without a result prevents further ones")
	}
}
