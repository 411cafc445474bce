package affinity

import (
	"testing"
	"time"
)

// pause stops the host for a time. Packets that arrive meanwhile are handled when it is over.
func (h *harness) pause(d time.Duration) { h.now += d }

// Guards against a host that was frozen for seconds and then handles the packets that have waited in its socket's buffer:
// callers' retransmissions and further tries in them are no evidence that the backend servers fail.
func TestBacklogAfterAPauseIsNoEvidence(t *testing.T) {
	h := newHarness(t)
	for range 4 {
		h.server("meter", "a")
	}
	h.applyView()
	open := h.caller(meterAddr)
	open.connect()
	h.advance(time.Second)
	h.pause(5 * time.Second)
	for range 8 {
		c := h.caller(meterAddr)
		c.open(0)
		c.open(1)
		c.open(2)
		c.retry().open(0)
	}
	open.request()
	open.request()
	h.advance(BacklogTime)
	for _, change := range h.router.TakeHealthChanges() {
		t.Errorf("backend server %s is %v, %v, by packets older than the pause", change.ServerID, change.Health, change.Cause)
	}
	if n := len(h.router.TakeChecks()); n != 0 {
		t.Errorf("%d checks of backend servers by packets older than the pause", n)
	}
	if h.router.recentAnswerers[0] != nil && h.router.recentAnswerers[0].lastAnswerAt > h.now-BacklogTime {
		t.Error("an acknowledgement older than the pause counts as an answer of the present")
	}

	c := h.caller(meterAddr)
	server := c.open(0).ServerID
	h.advance(200 * time.Millisecond)
	if changes := h.router.TakeHealthChanges(); len(changes) != 1 || changes[0].ServerID != server || changes[0].Health != Suspect {
		t.Errorf("changes %+v after an unanswered opening packet, want %s suspect: a pause must not hide later failures", changes, server)
	}
}

// Guards against an average answer time that includes a pause of this host, so that failures go unnoticed for a second.
func TestPauseIsNoAnswerTime(t *testing.T) {
	h := newHarness(t)
	h.server("meter", "a")
	h.applyView()
	c := h.caller(meterAddr)
	c.open(0)
	before := h.router.openings.wait()
	h.pause(5 * time.Second)
	c.seq, c.ack = c.seq+1, c.ack+1
	p := c.packet()
	h.router.Decide(&p, h.now)
	if after := h.router.openings.wait(); after != before {
		t.Errorf("an answer counts as missing after %v, before the pause after %v", after, before)
	}
}

// Guards against flows that are reset because a check could not complete while this host was paused.
func TestCheckDuringAPauseIsInconclusive(t *testing.T) {
	for _, tt := range []struct {
		outcome CheckOutcome
		silent  bool
	}{{NoAnswer, false}, {Refuses, true}} {
		h := newHarness(t)
		h.server("meter", "a")
		h.server("meter", "a")
		h.applyView()
		reference := h.caller(meterAddr)
		reference.connect()
		c := h.caller(meterAddr)
		server := c.open(0).ServerID
		h.advance(200 * time.Millisecond)
		checks := h.router.TakeChecks()
		if len(checks) != 1 {
			t.Fatalf("%d checks, want 1", len(checks))
		}
		check, ok := h.router.StartCheck(checks[0], h.now)
		if !ok {
			t.Fatal("the check was not started")
		}
		h.pause(5 * time.Second)
		h.router.Sweep(h.now)
		h.endCheck(check, tt.outcome)
		if silent := h.router.servers[server].silentUntil > h.now; silent != tt.silent {
			t.Errorf("outcome %d of a check during a pause: silent %v, want %v", tt.outcome, silent, tt.silent)
		}
	}
}
