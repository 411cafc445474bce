package affinity

import (
	"testing"
	"time"
)

// Guards against a command that is given up because its backend server pauses: the caller must not repeat it, and would
// never get the answer that the server gives later. Requests that may be repeated and flows without a request are reset, so
// that their callers go elsewhere, as are all flows of a server that has ended.
func TestSilentServerKeepsRunningCommands(t *testing.T) {
	for _, tt := range []struct {
		name     string
		outcome  CheckOutcome
		route    string
		awaiting bool // the caller has sent a request and has got no answer
		reset    bool
	}{
		{"command at work, server paused", NoAnswer, "bill", true, false},
		{"command at work, server ended", Refuses, "bill", true, true},
		{"no command at work, server paused", NoAnswer, "bill", false, true},
		{"repeatable request, server paused", NoAnswer, "meter", true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			id := h.server(tt.route, "a")
			h.applyView()
			addr := meterAddr
			if tt.route == "bill" {
				addr = billAddr
			}
			c := h.caller(addr)
			c.connect()
			h.advance(100 * time.Millisecond)
			c.request()
			if !tt.awaiting {
				h.advance(100 * time.Millisecond)
				c.answered()
				p := c.packet()
				h.router.Decide(&p, h.now)
			}
			h.advance(500 * time.Millisecond)
			h.silence(h.router.servers[id].instance(), CauseOf(tt.outcome))
			if n := len(h.router.TakeResets()); n != 0 != tt.reset {
				t.Fatalf("%d flows reset, want any: %v", n, tt.reset)
			}
			if tt.reset {
				return
			}
			expect(t, c.request(), Forward, KnownFlow) // the retransmission reaches the server when it goes on
			h.advance(200 * time.Millisecond)
			c.answered()
			expect(t, c.request(), Forward, KnownFlow)
			if h.router.servers[id].silentUntil != 0 {
				t.Error("the server is still silent after its answer")
			}
		})
	}
}

// Guards against a command that is given up because its caller's packets came through another host, so that this one does
// not know of it.
func TestCommandOfAnotherHostIsKept(t *testing.T) {
	h := newHarness(t)
	id := h.server("bill", "a")
	h.applyView()
	c := h.caller(billAddr)
	c.token = h.router.servers[id].token
	p := c.packet()
	expect(t, h.router.Decide(&p, h.now), Forward, KnownFlow)
	h.advance(time.Second)
	h.silence(h.router.servers[id].instance(), ConnectionUnanswered)
	if n := len(h.router.TakeResets()); n != 0 {
		t.Errorf("%d flows reset", n)
	}
}
