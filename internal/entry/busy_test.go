package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/healthcheck"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Behaviour of callers and backend servers in a busyFleet.
const (
	busyRepeatAfter = 200 * time.Millisecond // callers repeat a request that has not been acknowledged
	busyAnswerAfter = 600 * time.Millisecond // busy backend servers acknowledge a request only with its answer
)

// busyFlow is an open flow whose caller sends a request, repeats it, gets the answer and sends the next one.
type busyFlow struct {
	packet affinity.Packet // its next packet
	host   int
	server int
	sentAt time.Duration // 0: no request is running
	repeat bool          // the running request has been repeated
}

// busyFleet is a fleet with three hosts in data centre a. All backend servers are sound but busy, and each host of that data
// centre has an open flow to each of them, except the late hosts, which have no flow.
type busyFleet struct {
	*simFleet
	t       *testing.T
	flows   []*busyFlow
	late    map[int]bool // hosts whose process runs late: their checks end without an answer
	results []lateResult
}

type lateResult struct {
	at   time.Duration
	host int
	checkResult
}

func newBusyFleet(t *testing.T, servers int, late ...int) *busyFleet {
	f := &busyFleet{simFleet: newSimFleet(9, 3*servers, 0, 0), t: t, late: map[int]bool{}}
	f.now = time.Second
	for _, s := range f.servers {
		s.endAt = time.Hour
	}
	for n, h := range f.hosts {
		h.start = func(r affinity.CheckRequest) { f.check(n, r) }
	}
	for _, n := range late {
		f.late[n] = true
	}
	for host := 0; host < len(f.hosts); host += 3 { // of data centre a
		for n := range servers {
			if !f.late[host] {
				f.open(host, n)
			}
		}
	}
	return f
}

// open opens a flow at a host. The token of its packets identifies a backend server of data centre a.
func (f *busyFleet) open(host, n int) {
	f.port++
	server := 3 * n
	token := (&registry.BackendServer{Identity: uint64(server + 1)}).Token()
	flow := &busyFlow{host: host, server: server, packet: affinity.Packet{
		Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(host), byte(n)}), 1024+f.port), Service: simService, Token: token, Seq: 1000, Ack: 5000,
	}}
	f.decide(flow)
	f.flows = append(f.flows, flow)
}

func (f *busyFleet) decide(flow *busyFlow) {
	v := f.hosts[flow.host].traffic.router.Decide(&flow.packet, f.now)
	if v.Action != affinity.Forward {
		f.t.Errorf("at %v: host %d: packet of an open flow to a sound backend server: action %d, %v", f.now, flow.host, v.Action, v.Reason)
	}
}

// check ends at once with an accepted connection, or at a late host at the time limit without an answer.
func (f *busyFleet) check(host int, r affinity.CheckRequest) {
	result := checkResult{request: r, outcome: affinity.Accepts}
	at := f.now + simStep
	if f.late[host] {
		result.outcome = affinity.NoAnswer
		at = f.now + checkTimeout
	}
	f.results = append(f.results, lateResult{at: at, host: host, checkResult: result})
}

// request sends a request on a flow that has none running.
func (f *busyFleet) request(flow *busyFlow) {
	flow.packet.Length = 100
	flow.sentAt, flow.repeat = f.now, false
	f.decide(flow)
}

// advance continues the running requests and delivers messages and results of checks.
func (f *busyFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.run(simStep, 0)
		for _, flow := range f.flows {
			switch running := f.now - flow.sentAt; {
			case flow.sentAt == 0:
			case running >= busyAnswerAfter:
				flow.sentAt = 0
				flow.packet.Seq, flow.packet.Ack, flow.packet.Length = flow.packet.Seq+100, flow.packet.Ack+500, 0
				f.decide(flow)
			case running >= busyRepeatAfter && !flow.repeat:
				flow.repeat = true
				f.decide(flow)
			}
		}
		f.deliverResults()
		f.expectNoReset()
	}
}

func (f *busyFleet) deliverResults() {
	var waiting []lateResult
	for _, r := range f.results {
		if r.at > f.now {
			waiting = append(waiting, r)
			continue
		}
		f.hosts[r.host].checker.add(r.checkResult)
	}
	f.results = waiting
}

func (f *busyFleet) expectNoReset() {
	for n, h := range f.hosts {
		for _, reset := range h.traffic.router.TakeResets() {
			f.t.Errorf("at %v: host %d resets an open flow of sound backend server %s, %v", f.now, n, reset.ServerID, reset.Reason)
		}
	}
}

// Guards against open flows of a busy but sound backend server that are reset because a single host, whose process runs late,
// found it silent: under load the callers of all hosts repeat their data (incident 29).
func TestOneHostsCheckResetsNoFlow(t *testing.T) {
	f := newBusyFleet(t, 6, 3)
	f.advance(4 * time.Second) // the last answers that the hosts saw are long ago
	for range 3 {
		for _, flow := range f.flows {
			f.request(flow)
		}
		f.advance(time.Second)
	}
}

// Guards against open flows that are reset by a host that saw an answer of the backend server while the checks of two other
// hosts, whose processes run late, were running (incident 29).
func TestAnswerDuringOtherHostsChecks(t *testing.T) {
	f := newBusyFleet(t, 1, 3, 6)
	f.advance(4 * time.Second)
	checkAt, answerAt := f.now, f.now+checkTimeout-50*time.Millisecond
	instance := affinity.Instance{Identity: 1, StartedMs: 9}
	for _, checker := range []int{3, 6} {
		m := &healthcheck.Message{Asks: []affinity.Instance{instance}}
		f.hosts[checker].receive(checkMessage{from: f.hosts[0].traffic.host.config.Peer, message: m}, f.now)
	}
	first := f.flows[0]
	first.sentAt, first.repeat = answerAt-busyAnswerAfter, true
	f.hosts[0].doubt(instance, f.now)
	f.advance(time.Second)
	if since, ok := f.hosts[0].traffic.router.SinceAnswer(instance, f.now); !ok || f.now-since < checkAt {
		t.Fatal("host 0 saw no answer during the checks")
	}
}

// Guards against findings that seem younger than they are because the host that passes them on runs late, so that receivers
// prefer them to their own later observations, and against outdated ones that make a whole message invalid (incident 29).
func TestFindingsOfALateSender(t *testing.T) {
	const delay = 400 * time.Millisecond
	for _, tt := range []struct {
		name   string
		age    time.Duration // of the finding when the sender takes it up
		passed bool
	}{
		{"recent", 250 * time.Millisecond, true},
		{"outdated when it is sent", 1900 * time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newSimFleet(9, 1, 0, 0)
			f.now = 5 * time.Second
			sender, began := f.hosts[3], f.now-tt.age
			var sent [][]byte
			sender.transmit = func(b []byte, _ netip.AddrPort) error {
				sent = append(sent, b)
				return nil
			}
			sender.enqueue(findingAbout(f, 0, 6, affinity.NoAnswer, began))
			takenUpAt := f.now
			f.now += delay
			sender.passOn(takenUpAt)
			if (len(sent) > 0) != tt.passed {
				t.Fatalf("%d messages, want some: %v", len(sent), tt.passed)
			}
			for _, b := range sent {
				m, err := healthcheck.Decode(b, f.now)
				if err != nil {
					t.Fatal(err)
				}
				if got := m.Findings[0].At; got != began {
					t.Errorf("the check seems to have begun %v after it did", got-began)
				}
			}
		})
	}
}
