package command

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// waitStep is an event at a Runner with one slot.
type waitStep struct {
	at   time.Duration
	do   func(r *Runner, now time.Time) []Outcome
	want []string
}

func queueStep(at time.Duration, id int, change func(*RunRequest), want ...string) waitStep {
	m := testRun(func(m *RunRequest) {
		m.ID, m.Wait = fmt.Sprint(id), true
		if change != nil {
			change(m)
		}
	})
	return waitStep{at, func(r *Runner, now time.Time) []Outcome { return r.Run(now, uint64(at), m, true) }, want}
}

func answerStep(at time.Duration, id int, want ...string) waitStep {
	body := fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"result":true}`, id)
	return waitStep{at, func(r *Runner, now time.Time) []Outcome { return r.Reply(now, backendOne, testFlow, body, false) }, want}
}

func tickStep(at time.Duration, want ...string) waitStep { return waitStep{at, (*Runner).Expire, want} }

func withDeadline(ms int64) func(*RunRequest) {
	return func(m *RunRequest) { m.DeadlineMS = ms }
}

// TestSlotQueue guards against commands that overtake others, are queued twice or
// too long, or start when this host no longer admits them, and against slots that
// stay unused.
func TestSlotQueue(t *testing.T) {
	recheck := func(r *Runner, now time.Time) []Outcome {
		return r.RecheckQueued(now, func(m *RunRequest) bool { return m.ID != "2" })
	}
	otherOwner := func(m *RunRequest) { m.Origin = "b" }
	noWait := func(m *RunRequest) { m.Wait = false }
	secondAttempt := func(m *RunRequest) { m.Attempt = 2 }
	first := queueStep(0, 1, nil, "send")
	tests := []struct {
		name  string
		steps []waitStep
	}{
		{"in order of arrival", []waitStep{
			first, queueStep(1*ms, 2, nil), queueStep(2*ms, 3, nil), answerStep(3*ms, 1, "answered", "send"),
			queueStep(4*ms, 4, nil), answerStep(5*ms, 2, "answered", "send"), answerStep(6*ms, 3, "answered", "send"),
			answerStep(7*ms, 4, "answered"),
		}},
		{"command that must not wait", []waitStep{
			first, queueStep(1*ms, 2, noWait, "not run no_slot"), answerStep(2*ms, 1, "answered"),
		}},
		{"duplicate of a refused run", []waitStep{
			first, queueStep(1*ms, 2, noWait, "not run no_slot"), answerStep(2*ms, 1, "answered"),
			queueStep(3*ms, 2, noWait, "not run backend_server_tried"), queueStep(4*ms, 2, secondAttempt, "send"),
			answerStep(5*ms, 2, "answered"),
		}},
		{"repeated call joins the run", []waitStep{
			first, queueStep(1*ms, 2, nil), queueStep(2*ms, 2, nil), answerStep(3*ms, 1, "answered", "send"),
			answerStep(4*ms, 2, "answered", "answered"),
		}},
		{"call of another owner", []waitStep{
			first, queueStep(1*ms, 2, nil), queueStep(2*ms, 2, otherOwner, "unknown already_seen"),
			answerStep(3*ms, 1, "answered", "send"), answerStep(4*ms, 2, "answered"),
		}},
		{"reply to a command that was not sent", []waitStep{
			first, queueStep(1*ms, 2, nil), answerStep(2*ms, 2), answerStep(3*ms, 1, "answered", "send"),
			answerStep(4*ms, 2, "answered"),
		}},
		{"deadline cannot be met", []waitStep{
			first, queueStep(1*ms, 2, withDeadline(400), "not run no_slot"), answerStep(2*ms, 1, "answered"),
		}},
		{"queued too long", []waitStep{
			first, queueStep(1*ms, 2, withDeadline(1000)), tickStep(700 * ms), tickStep(800*ms, "not run no_slot"),
			queueStep(900*ms, 2, nil, "not run backend_server_tried"), answerStep(sec, 1, "answered"),
		}},
		{"slot of a cancelled command", []waitStep{
			queueStep(0, 1, withDeadline(1000), "send"), queueStep(1*ms, 2, nil), tickStep(sec, "cancel", "unknown no_answer"),
			tickStep(1400 * ms), tickStep(1500*ms, "send"), answerStep(1600*ms, 2, "answered"),
		}},
		{"planned stop", []waitStep{
			first, queueStep(1*ms, 2, nil), {2 * ms, (*Runner).Leave, []string{"not run leaving"}}, answerStep(3*ms, 1, "answered"),
		}},
		{"another host admits", []waitStep{
			first, queueStep(1*ms, 2, nil), queueStep(2*ms, 3, nil), {3 * ms, recheck, []string{"not run not_admitting_host"}},
			answerStep(4*ms, 1, "answered", "send"), answerStep(5*ms, 3, "answered"),
		}},
		{"pause", []waitStep{
			first, tickStep(50 * ms), queueStep(60*ms, 2, nil), answerStep(2*sec, 1, "answered"),
			tickStep(2*sec, "not run not_serving"),
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			slots := &freeSlots{limit: 1}
			r := NewRunner(Config{Self: "c"}, slots)
			for i, step := range tc.steps {
				if got := describe(step.do(r, testStart.Add(step.at))); !reflect.DeepEqual(got, step.want) {
					t.Errorf("step %d: %q, want %q", i, got, step.want)
				}
			}
			if slots.taken != 0 || r.InProgress() != 0 || len(r.waiting) != 0 {
				t.Errorf("%d slots taken, %d in progress, waiting: %v", slots.taken, r.InProgress(), r.waiting)
			}
		})
	}
}

// TestSlotQueueLimits guards against queued commands that use unbounded memory or
// occupy the connections between entry hosts with calls in progress.
func TestSlotQueueLimits(t *testing.T) {
	r := NewRunner(Config{Self: "c"}, &freeSlots{taken: 1, limit: 1})
	r.queueOf(testStart, backendOne).runTime.add(time.Millisecond)
	waiting := make(map[string]int)
	for id := range 100 {
		m := testRun(func(m *RunRequest) { m.ID, m.Wait, m.Origin = fmt.Sprint(id), true, string("abb"[id%3]) })
		if len(r.Run(testStart, uint64(id), m, true)) == 0 {
			waiting[m.Origin]++
		}
	}
	if want := map[string]int{"a": MaxWaiting - MaxWaitingOfOwner, "b": MaxWaitingOfOwner}; !reflect.DeepEqual(waiting, want) {
		t.Errorf("waiting by owner: %v, want %v", waiting, want)
	}
}
