package affinity

import (
	"testing"
	"time"
)

// Answers a store that loses the entries of live servers and can't be read for seconds (incident 3f67: 1,105 flows of 23
// servers were ended half a second before their entries came back). Guards against resets while nobody can tell whether a server is
// gone.
func TestFlowsStayWhileTheStoreCannotBeRead(t *testing.T) {
	w := newWorld(t)
	lapsed := w.server("meter", "a")
	w.show()
	c := w.caller(meterAddr)
	c.connect()
	w.storeAway = true
	w.remove(lapsed)
	for range 2 * goneRetention / time.Second {
		w.wait(time.Second)
		c.answered()
		if v := c.request(); v.Action != Forward || v.ServerID != lapsed {
			t.Fatalf("at %v: %v to %q, want the server whose entry lapsed", w.now, v.Reason, v.ServerID)
		}
		if orders := w.router.TakeResets(); len(orders) > 0 {
			t.Fatalf("at %v: flow reset, %v", w.now, orders[0].Reason)
		}
	}
	w.storeAway = false
	w.wait(goneSettled + 200*time.Millisecond)
	if v := c.request(); v.Action != Reject || v.Reason != BackendServerGone {
		t.Fatalf("%v %v once the store has confirmed that the entry is gone", v.Action, v.Reason)
	}
}

// Guards against resets by a host that has started while the store can't be read, and has a copy without the server.
func TestUnknownTokensWaitForTheStore(t *testing.T) {
	w := newWorld(t)
	w.server("meter", "a")
	w.show()
	w.storeAway = true
	c := w.caller(meterAddr)
	c.token = 0x7777
	for range 20 {
		w.wait(time.Second)
		if v := c.request(); v.Action != Drop {
			t.Fatalf("at %v: %v, want the packet dropped", w.now, v.Reason)
		}
	}
	w.storeAway = false
	w.wait(unknownTokenPatience + 200*time.Millisecond)
	if v := c.request(); v.Reason != TokenNeverListed {
		t.Fatalf("%v once the store has confirmed that no server has the token", v.Reason)
	}
}

// Guards against flows that hang at a crashed server because its entry went and the store can't confirm it.
func TestServerThatWentIsChecked(t *testing.T) {
	w := newWorld(t)
	crashed, well := w.server("meter", "a"), w.server("bill", "a")
	w.show()
	c, other := w.caller(meterAddr), w.caller(billAddr)
	c.connect()
	other.connect()
	w.storeAway = true
	w.remove(crashed)
	c.request()
	w.wait(200 * time.Millisecond)
	other.answered()
	other.request()
	c.request()
	if n := w.check(map[string]CheckOutcome{crashed: Refuses}); n != 1 {
		t.Fatalf("%d checks, want that of %s, not of %s", n, crashed, well)
	}
	if orders := w.router.TakeResets(); len(orders) != 1 || orders[0].Reason != BackendServerSilent {
		t.Fatalf("resets %+v, want that of the flow at the crashed server", orders)
	}
}
