package command

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

var (
	backendOne = netip.MustParseAddrPort("127.0.10.1:6080")
	backendTwo = netip.MustParseAddrPort("127.0.10.2:6080")
	testFlow   = packet.NewKey(testCaller, testTarget, packet.ProtoUDP)
)

const (
	testAnswer = `{"jsonrpc":"2.0","id":1,"result":true}`
	testShed   = `{"jsonrpc":"2.0","id":1,"error":{"code":-32001,"message":"shed"}}`
)

func testRun(change func(*RunRequest)) RunRequest {
	m := RunRequest{
		ClaimKey: ClaimKey{testService, testCaller, "1"}, ClaimOwner: ClaimOwner{"a", 1}, Digest: 5,
		Target: testTarget, Backend: backendOne, Attempt: 1, Method: "shutoff", DeadlineMS: 4000,
	}
	if change != nil {
		change(&m)
	}
	return m
}

// runnerStep is one event at a Runner: a run, a reply or a call of Expire.
type runnerStep struct {
	at    time.Duration
	run   *RunRequest
	from  netip.AddrPort
	flow  packet.Key
	reply string
	want  []string
}

func runStep(at time.Duration, change func(*RunRequest), want ...string) runnerStep {
	m := testRun(change)
	return runnerStep{at: at, run: &m, want: want}
}

func replyStep(at time.Duration, from netip.AddrPort, body string, want ...string) runnerStep {
	return runnerStep{at: at, from: from, flow: testFlow, reply: body, want: want}
}

func timeStep(at time.Duration, want ...string) runnerStep { return runnerStep{at: at, want: want} }

func onBackendTwo(m *RunRequest) { m.Backend, m.Attempt = backendTwo, 2 }

func describe(out []Outcome) []string {
	var list []string
	for _, o := range out {
		switch o := o.(type) {
		case SendBackend:
			list = append(list, "send")
		case Cancel:
			list = append(list, "cancel")
		case ForwardReply:
			list = append(list, "forward")
		case Finish:
			names := []string{"", "answered", "not run ", "unknown ", "mismatch "}
			list = append(list, names[o.Reply.Outcome]+string(o.Reply.Reason))
		}
	}
	return list
}

// TestRunner guards against replies that are matched to the wrong run, commands
// that run twice on one admitting host, and slots that are not released.
func TestRunner(t *testing.T) {
	otherFlow := packet.NewKey(netip.MustParseAddrPort("203.0.113.6:4000"), testTarget, packet.ProtoUDP)
	tests := []struct {
		name  string
		steps []runnerStep
	}{
		{"answered", []runnerStep{runStep(0, nil, "send"), replyStep(ms, backendOne, testAnswer, "answered")}},
		{"shed, then another backend server", []runnerStep{
			runStep(0, nil, "send"), replyStep(ms, backendOne, testShed, "not run shed"),
			runStep(2*ms, nil, "not run backend_server_tried"),
			runStep(3*ms, onBackendTwo, "send"), replyStep(4*ms, backendOne, testShed),
			replyStep(5*ms, backendTwo, testAnswer, "answered"),
		}},
		{"repeated run message", []runnerStep{
			runStep(0, nil, "send"), runStep(ms, nil), replyStep(2*ms, backendOne, testAnswer, "answered", "answered"),
			runStep(3*ms, nil, "unknown already_seen"),
		}},
		{"run of another owner", []runnerStep{
			runStep(0, nil, "send"), replyStep(ms, backendOne, testAnswer, "answered"),
			runStep(20*time.Second, func(m *RunRequest) { m.Origin = "b"; onBackendTwo(m) }, "unknown already_seen"),
		}},
		{"run of another owner while it runs", []runnerStep{
			runStep(0, nil, "send"), runStep(ms, func(m *RunRequest) { m.Origin = "b"; onBackendTwo(m) }),
			replyStep(2*ms, backendOne, testAnswer, "answered", "answered"),
		}},
		{"other content", []runnerStep{
			runStep(0, nil, "send"), replyStep(ms, backendOne, testAnswer, "answered"),
			runStep(2*ms, func(m *RunRequest) { m.Digest = 6 }, "mismatch digest_mismatch"),
		}},
		{"deadline has passed", []runnerStep{runStep(0, func(m *RunRequest) { m.DeadlineMS = 0 }, "not run deadline")}},
		{"message delayed beyond the deadline", []runnerStep{
			runStep(10*time.Second, func(m *RunRequest) { m.Expires = testStart.Add(4 * time.Second).UnixMilli() }, "not run deadline"),
		}},
		{"late answer", []runnerStep{
			runStep(0, nil, "send"), timeStep(4*time.Second, "cancel", "unknown no_answer"),
			replyStep(4*time.Second+ms, backendOne, testAnswer), timeStep(5 * time.Second),
			runStep(6*time.Second, nil, "unknown already_seen"),
		}},
		{"no answer", []runnerStep{
			runStep(0, nil, "send"), timeStep(4*time.Second, "cancel", "unknown no_answer"), timeStep(5 * time.Second),
		}},
		{"mismatched answers", []runnerStep{
			runStep(0, nil, "send"),
			replyStep(ms, backendTwo, testAnswer),
			{at: ms, from: backendOne, flow: otherFlow, reply: testAnswer},
			replyStep(ms, backendOne, `{"jsonrpc":"2.0","id":2,"result":true}`),
			replyStep(ms, backendOne, `{"jsonrpc":"2.0","id":"1","result":true}`),
			replyStep(ms, backendOne, testAnswer[:20]),
			replyStep(ms, backendOne, `{"jsonrpc":"2.0","id":1,"result":1,"error":{"code":1}}`),
			replyStep(2*ms, backendOne, testAnswer, "answered"),
			replyStep(3*ms, backendOne, testAnswer),
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			slots := &freeSlots{}
			r := NewRunner(Config{Self: "c"}, slots)
			for i, step := range tc.steps {
				now := testStart.Add(step.at)
				var out []Outcome
				switch {
				case step.run != nil:
					out = r.Run(now, uint64(i+1), *step.run, true)
				case step.reply != "":
					out = r.Reply(now, step.from, step.flow, []byte(step.reply), false)
				default:
					out = r.Expire(now)
				}
				if got := describe(out); !reflect.DeepEqual(got, step.want) {
					t.Errorf("step %d: %q, want %q", i, got, step.want)
				}
			}
			if slots.taken != 0 || r.InProgress() != 0 {
				t.Errorf("%d slots taken, %d in progress", slots.taken, r.InProgress())
			}
		})
	}
}

// TestRunnerForwardsReplyOnce guards against replies that are forwarded between
// hosts in a loop.
func TestRunnerForwardsReplyOnce(t *testing.T) {
	r := NewRunner(Config{Self: "c"}, &freeSlots{})
	if got := describe(r.Reply(testStart, backendOne, testFlow, []byte(testAnswer), true)); !reflect.DeepEqual(got, []string{"forward"}) {
		t.Errorf("unmatched reply: %q, want forward", got)
	}
	if got := r.Reply(testStart, backendOne, testFlow, []byte(testAnswer), false); got != nil {
		t.Errorf("forwarded reply: %v, want no outcome", got)
	}
}
