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

func askStep(at time.Duration, id int, change func(*RunRequest), want ...string) waitStep {
	m := testRun(func(m *RunRequest) {
		m.ID, m.Wait = fmt.Sprint(id), true
		if change != nil {
			change(m)
		}
	})
	return waitStep{at, func(r *Runner, now time.Time) []Outcome { return r.Run(now, uint64(at), m, true) }, want}
}

func endStep(at time.Duration, id int, want ...string) waitStep {
	body := fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"result":true}`, id)
	return waitStep{at, func(r *Runner, now time.Time) []Outcome { return r.Reply(now, backendOne, testFlow, body, false) }, want}
}

func tickStep(at time.Duration, want ...string) waitStep { return waitStep{at, (*Runner).Expire, want} }

func inTime(ms int64) func(*RunRequest) {
	return func(m *RunRequest) { m.DeadlineMS = ms }
}

// TestWaiting guards against commands that overtake others, wait twice, wait
// too long, or start when this host does not admit them any more, and against
// slots that stay unused.
func TestWaiting(t *testing.T) {
	recheck := func(r *Runner, now time.Time) []Outcome {
		return r.RecheckQueued(now, func(m *RunRequest) bool { return m.ID != "2" })
	}
	otherOwner := func(m *RunRequest) { m.Origin = "b" }
	atOnce := func(m *RunRequest) { m.Wait = false }
	again := func(m *RunRequest) { m.Attempt = 2 }
	first := askStep(0, 1, nil, "send")
	tests := []struct {
		name  string
		steps []waitStep
	}{
		{"in order of arrival", []waitStep{
			first, askStep(1*ms, 2, nil), askStep(2*ms, 3, nil), endStep(3*ms, 1, "answered", "send"),
			askStep(4*ms, 4, nil), endStep(5*ms, 2, "answered", "send"), endStep(6*ms, 3, "answered", "send"), endStep(7*ms, 4, "answered"),
		}},
		{"owner looks for a free slot elsewhere", []waitStep{first, askStep(1*ms, 2, atOnce, "not run no_slot"), endStep(2*ms, 1, "answered")}},
		{"duplicate of a refused run", []waitStep{
			first, askStep(1*ms, 2, atOnce, "not run no_slot"), endStep(2*ms, 1, "answered"),
			askStep(3*ms, 2, atOnce, "not run backend_server_tried"), askStep(4*ms, 2, again, "send"), endStep(5*ms, 2, "answered"),
		}},
		{"repeat joins", []waitStep{
			first, askStep(1*ms, 2, nil), askStep(2*ms, 2, nil), endStep(3*ms, 1, "answered", "send"), endStep(4*ms, 2, "answered", "answered"),
		}},
		{"another owner cannot move it elsewhere", []waitStep{
			first, askStep(1*ms, 2, nil), askStep(2*ms, 2, otherOwner, "unknown already_seen"),
			endStep(3*ms, 1, "answered", "send"), endStep(4*ms, 2, "answered"),
		}},
		{"reply to a command that was not sent", []waitStep{
			first, askStep(1*ms, 2, nil), endStep(2*ms, 2), endStep(3*ms, 1, "answered", "send"), endStep(4*ms, 2, "answered"),
		}},
		{"deadline cannot be met", []waitStep{first, askStep(1*ms, 2, inTime(400), "not run no_slot"), endStep(2*ms, 1, "answered")}},
		{"waits too long", []waitStep{
			first, askStep(1*ms, 2, inTime(1000)), tickStep(700 * ms), tickStep(800*ms, "not run no_slot"),
			askStep(900*ms, 2, nil, "not run backend_server_tried"), endStep(sec, 1, "answered"),
		}},
		{"slot of a cancelled command", []waitStep{
			askStep(0, 1, inTime(1000), "send"), askStep(1*ms, 2, nil), tickStep(sec, "cancel", "unknown no_answer"),
			tickStep(1400 * ms), tickStep(1500*ms, "send"), endStep(1600*ms, 2, "answered"),
		}},
		{"planned stop", []waitStep{first, askStep(1*ms, 2, nil), {2 * ms, (*Runner).Leave, []string{"not run leaving"}}, endStep(3*ms, 1, "answered")}},
		{"another host admits", []waitStep{
			first, askStep(1*ms, 2, nil), askStep(2*ms, 3, nil), {3 * ms, recheck, []string{"not run not_admitting_host"}},
			endStep(4*ms, 1, "answered", "send"), endStep(5*ms, 3, "answered"),
		}},
		{"pause", []waitStep{
			first, tickStep(50 * ms), askStep(60*ms, 2, nil), endStep(2*sec, 1, "answered"), tickStep(2*sec, "not run not_serving"),
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

// TestWaitingIsBounded guards against a queue that fills memory and the
// connections between entry hosts.
func TestWaitingIsBounded(t *testing.T) {
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
