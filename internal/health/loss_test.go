package health

import (
	"math/rand"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/peer"
)

// inFlight is a datagram that has been sent but not delivered.
type inFlight struct {
	at     time.Time
	m      Message
	answer bool
}

// Guards against an owner that keeps outdated reports after datagrams were lost,
// duplicated or reordered, and against more than five reports per change.
func TestMessagesSurviveLoss(t *testing.T) {
	for seed := range int64(40) {
		rng := rand.New(rand.NewSource(seed))
		a, c := newState("host-a", 3, nil), newState("host-c", 3, nil)
		var net []inFlight
		send := func(now time.Time, m Message, answer bool) {
			for range 1 + rng.Intn(2) { // duplicates
				if rng.Float64() < 0.3 {
					continue
				}
				delay := time.Duration(rng.Intn(600)) * time.Millisecond
				net = append(net, inFlight{now.Add(delay), m, answer})
			}
		}
		receive := func(now time.Time, d inFlight) {
			if d.answer {
				a.Delivered(d.m)
				return
			}
			if c.Receive(now, "host-a", d.m).Accepted && d.m.WantAck {
				answer := d.m.Acknowledgement()
				answer.To = "host-c"
				send(now, answer, true)
			}
		}
		instance, sent := uint64(1), 0
		for now := at(0); now.Before(at(60)); now = now.Add(100 * time.Millisecond) {
			if rng.Intn(20) == 0 && now.Before(at(45)) {
				instance++
				a.Report(now, addr(1), report(0, func(r *LoadReport) { r.Instance, r.Draining = instance, instance%2 == 0 }))
			}
			rest := net
			net = nil
			for _, d := range rest {
				if d.at.After(now) {
					net = append(net, d)
					continue
				}
				before := c.Verdicts(now)[addr(1)].Instance
				receive(now, d)
				if after := c.Verdicts(now)[addr(1)].Instance; after < before {
					t.Fatalf("seed %d: instance %d after %d", seed, after, before)
				}
			}
			for _, m := range a.Messages(now) {
				if m.To == "host-c" {
					send(now, m, false)
					sent++
				}
			}
		}
		want, got := a.Verdicts(at(60))[addr(1)], c.Verdicts(at(60))[addr(1)]
		if got.Instance != want.Instance || got.Draining != want.Draining || sent > 5*int(instance)+10 {
			t.Errorf("seed %d: %+v after %d reports, want %+v", seed, got, sent, want)
		}
	}
}

// Guards against reports that are lost because they are too large for a datagram.
func TestLargeReportsAreCalls(t *testing.T) {
	for servers, call := range map[int]bool{10: false, 160: true} {
		a := newState("host-a", servers, nil)
		for i := range servers {
			a.Report(at(0), addr(i+1), report(time.Hour, func(r *LoadReport) { r.Instance = 1764824465123 }))
		}
		messages := a.Messages(at(0))
		if len(messages) != 2 {
			t.Errorf("%d backend servers: %d reports, want 2", servers, len(messages))
		}
		for _, m := range messages {
			if fits := len(m.AppendContent(nil)) <= peer.MaxReport; m.Call != call || fits == call {
				t.Errorf("%d backend servers: call %v, fits in a datagram %v", servers, m.Call, fits)
			}
		}
	}
}

// Guards against a host that receives no reports because it does not support
// report datagrams or because all of them are lost.
func TestUnansweredReportsBecomeCalls(t *testing.T) {
	a := newState("host-a", 1, nil)
	a.Report(at(0), addr(1), report(time.Hour, nil))
	datagrams := 0
	for now := at(0); now.Before(at(10)); now = now.Add(100 * time.Millisecond) {
		for _, m := range a.Messages(now) {
			if m.To == "host-c" && m.Call {
				if datagrams != maxDatagrams || now.After(at(5)) {
					t.Errorf("call after %d datagrams and %v", datagrams, now.Sub(start))
				}
				return
			}
			datagrams += boolToInt(m.To == "host-c")
		}
	}
	t.Errorf("no call after %d datagrams", datagrams)
}
