package affinity

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// silentWorld returns a world in which three flows of one of four backend servers have repeated their data, with a busy
// flow elsewhere, the flows of that server, and its id.
func silentWorld(t *testing.T) (w *world, onSilent []*caller, silent string) {
	t.Helper()
	w = newWorld(t)
	for range 4 {
		w.server("meter", "a")
	}
	w.show()
	var busy *caller
	for range 40 {
		c := w.caller(meterAddr)
		if id := c.connect().ServerID; silent == "" || id == silent {
			silent = id
			onSilent = append(onSilent, c)
		} else {
			busy = c
		}
	}
	w.check(nil)
	w.wait(time.Second)
	w.check(nil)
	for _, c := range onSilent[:3] {
		expect(t, c.request(), Forward, KnownFlow)
	}
	w.wait(200 * time.Millisecond)
	busy.request()
	busy.answered()
	busy.request()
	for _, c := range onSilent[:3] {
		expect(t, c.request(), Forward, KnownFlow)
	}
	return w, onSilent, silent
}

// Answers backend servers that fall silent while their entries still stand. Guards against flows that wait until their
// callers give up, and against more than one wait for each.
func TestSilentServerIsFoundByACheck(t *testing.T) {
	for _, outcome := range []CheckOutcome{NoAnswer, Refuses} {
		t.Run(outcome.String(), func(t *testing.T) {
			w, onSilent, silent := silentWorld(t)
			w.router.TakeResets()
			if n := w.check(map[string]CheckOutcome{silent: outcome}); n != 1 {
				t.Fatalf("%d checks, want one of the server whose flows repeat their data", n)
			}
			orders := w.router.TakeResets()
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
				if v := w.caller(meterAddr).open(0); v.ServerID == silent {
					t.Fatal("a new flow went to the silent backend server")
				}
			}
		})
	}
}

// Guards against resets of flows whose backend server is only busy: it acknowledges a request with its answer, and with
// few flows on a host nothing else shows that it lives (grown qbph-lahore scale-1, 232 flows reset).
func TestBusyServerIsNotSilent(t *testing.T) {
	for _, outcome := range []CheckOutcome{Accepts, Unchecked} {
		t.Run(outcome.String(), func(t *testing.T) {
			w, onSilent, silent := silentWorld(t)
			for range 30 {
				w.check(map[string]CheckOutcome{silent: outcome})
				w.wait(100 * time.Millisecond)
				for _, c := range onSilent[:3] {
					expect(t, c.request(), Forward, KnownFlow)
				}
			}
			if n := len(w.router.TakeResets()); n != 0 {
				t.Fatalf("%d flows were reset", n)
			}
		})
	}
}

// Guards against a verdict that an answer has overtaken.
func TestAnswerDuringACheck(t *testing.T) {
	w, onSilent, silent := silentWorld(t)
	onSilent[0].answered()
	onSilent[0].request()
	w.check(map[string]CheckOutcome{silent: NoAnswer})
	expect(t, onSilent[1].request(), Forward, KnownFlow)
	if n := len(w.router.TakeResets()); n != 0 {
		t.Fatalf("%d flows of a backend server that has just answered were reset", n)
	}
}

// Guards against checks without a reference, and against the doubtful server as its own reference.
func TestCheckHasAReference(t *testing.T) {
	w, _, silent := silentWorld(t)
	orders := w.router.TakeChecks()
	if len(orders) != 1 || orders[0].ServerID != silent || !orders[0].Reference.IsValid() || orders[0].Reference == orders[0].Addr {
		t.Fatalf("checks %+v, want one of %s with another server's address", orders, silent)
	}
	w = newWorld(t)
	w.server("meter", "a")
	w.show()
	c := w.caller(meterAddr)
	c.open(0)
	w.wait(200 * time.Millisecond)
	c.open(1)
	if orders := w.router.TakeChecks(); len(orders) != 0 {
		t.Fatalf("checks %+v although no other server has given a sign of life", orders)
	}
}

// Guards against checks of servers that drain, which may accept no connections while they serve their flows.
func TestDrainingServerIsNotChecked(t *testing.T) {
	w, onSilent, silent := silentWorld(t)
	w.check(nil)
	w.change(silent, func(s *registry.Server) { s.Draining = true })
	w.wait(checkPause)
	onSilent[0].request()
	if n := len(w.router.TakeChecks()); n != 0 {
		t.Fatalf("%d checks of a draining server", n)
	}
}

// Guards against checks without bound when callers repeat themselves.
func TestChecksAreSpaced(t *testing.T) {
	w, onSilent, _ := silentWorld(t)
	n := w.check(nil)
	for range 19 {
		w.wait(100 * time.Millisecond)
		for _, c := range onSilent[:3] {
			c.request()
		}
		n += w.check(nil)
	}
	if limit := 1 + int(1900*time.Millisecond/checkPause); n > limit {
		t.Fatalf("%d checks in 1.9 s, want at most %d", n, limit)
	}
}

// Guards against evidence from a flow that had left this host and returned, whose answers went through another host
// (phmu-edge scale-1, seed 826445643608, and quiet-1, seed 970218075411), and from before a pause of the host itself.
func TestOldPacketsProveNothing(t *testing.T) {
	for name, pass := range map[string]func(*world){
		"flow was elsewhere": func(w *world) { w.wait(5 * time.Second) },
		"host paused":        func(w *world) { w.now += 1500 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			w, onSilent, silent := silentWorld(t)
			w.check(nil)
			onSilent[0].answered()
			for _, c := range onSilent {
				c.request()
			}
			var busy *caller
			for busy == nil || busy.connect().ServerID == silent {
				busy = w.caller(meterAddr)
			}
			pass(w)
			busy.request()
			busy.answered()
			busy.request() // a sign of life of another server, so that a check has a reference
			for _, c := range onSilent {
				expect(t, c.request(), Forward, KnownFlow)
			}
			if n := len(w.router.TakeChecks()); n != 0 {
				t.Fatalf("%d checks because of packets that prove nothing", n)
			}
		})
	}
}
