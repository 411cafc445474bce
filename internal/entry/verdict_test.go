package entry

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/healthcheck"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// openFlow is an open flow to backend server 0 of a simFleet, at one host.
type openFlow struct {
	f      *simFleet
	host   int
	packet affinity.Packet
}

func newOpenFlow(f *simFleet, host int) *openFlow {
	token := (&registry.BackendServer{Identity: 1}).Token()
	flow := &openFlow{f: f, host: host, packet: affinity.Packet{
		Caller: netip.MustParseAddrPort("100.64.0.7:1025"), Service: simService, Token: token, Seq: 1000, Ack: 5000,
	}}
	flow.decide()
	return flow
}

func (o *openFlow) decide() affinity.Action {
	return o.f.hosts[o.host].traffic.router.Decide(&o.packet, o.f.now).Action
}

// answered sends a packet that acknowledges an answer of the backend server.
func (o *openFlow) answered() affinity.Action {
	o.packet.Ack += 500
	return o.decide()
}

func (o *openFlow) resets() int { return len(o.f.hosts[o.host].traffic.router.TakeResets()) }

// pass lets time pass in steps that no host takes for a pause.
func pass(f *simFleet, d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.run(simStep, 0)
		for _, h := range f.hosts {
			h.traffic.router.Sweep(f.now)
		}
	}
}

// tell delivers findings of one host to another.
func tell(f *simFleet, from, to int, findings ...healthcheck.Finding) {
	f.hosts[to].receive(checkMessage{from: f.hosts[from].traffic.host.config.Peer, message: &healthcheck.Message{Findings: findings}}, f.now)
}

// A backend server leaves checks of two hosts unanswered and serves again. A host that was paused passes their findings on.
// Guards against findings that get younger while they wait in the socket's buffer of a host that passes them on, so that a host
// that is well resets open flows although it has seen answers since (incident 29).
func TestFindingsPassedOnByAPausedHost(t *testing.T) {
	f := newSimFleet(12, 3, 0, 0)
	for _, s := range f.servers {
		s.endAt = time.Hour
	}
	f.now = 5 * time.Second
	flow := newOpenFlow(f, 0)
	began, sentAt := f.now+100*time.Millisecond, f.now+360*time.Millisecond
	message, err := healthcheck.Encode(&healthcheck.Message{Findings: []healthcheck.Finding{
		findingAbout(f, 0, 3, affinity.NoAnswer, began), findingAbout(f, 0, 6, affinity.NoAnswer, began),
	}}, sentAt)
	if err != nil {
		t.Fatal(err)
	}
	relay := f.hosts[9].traffic.host
	relay.started = time.Now().Add(tickInterval - sentAt)
	relay.control.detectPause()

	pass(f, sentAt+800*time.Millisecond-f.now)
	answerAt := f.now
	flow.answered() // the backend server serves again

	pass(f, sentAt+1500*time.Millisecond-f.now) // the host resumes
	relay.started = time.Now().Add(-f.now)
	relay.control.detectPause()
	relay.control.receiveCheckMessage(message, f.hosts[3].traffic.host.config.Peer)
	f.run(50*time.Millisecond, 0)
	if n := flow.resets(); n != 0 {
		t.Errorf("%d open flows are reset for checks that began %v before an answer that the host saw", n, answerAt-began)
	}
	if flow.decide() != affinity.Forward {
		t.Error("a packet of the open flow is not forwarded")
	}
}

// Guards against a verdict that stands although a later check was accepted: flows that reach the host later are reset for up to
// 3 s (incident 29, 17.632 s).
func TestAcceptedCheckWithdrawsSilence(t *testing.T) {
	for _, own := range []bool{true, false} {
		f := newSimFleet(9, 3, 0, 0)
		f.now = 5 * time.Second
		failed := func(checker int) healthcheck.Finding {
			return findingAbout(f, 0, checker, affinity.NoAnswer, f.now-250*time.Millisecond)
		}
		tell(f, 3, 0, failed(3))
		tell(f, 6, 0, failed(6))
		pass(f, 600*time.Millisecond)
		instance := affinity.Instance{Identity: 1, StartedMs: 9}
		if own {
			h := f.hosts[0]
			request, ok := h.traffic.router.StartCheck(instance, f.now)
			if !ok {
				t.Fatal("no check was started")
			}
			f.now += simStep
			h.checked(checkResult{request: request, outcome: affinity.Accepts}, f.now)
		} else {
			tell(f, 3, 0, findingAbout(f, 0, 3, affinity.Accepts, f.now))
			tell(f, 6, 0, findingAbout(f, 0, 6, affinity.Accepts, f.now))
		}
		pass(f, 100*time.Millisecond)
		if flow := newOpenFlow(f, 0); flow.decide() != affinity.Forward { // the routers have moved it here
			t.Errorf("own check %v: a packet of an open flow is answered by a reset although the latest checks were accepted", own)
		}
	}
}

// Guards against a failed backend server whose flows are kept because an older finding, which an accepted check and an answer
// have refuted, counts towards the time after which answers outweigh the assessment.
func TestRefutedFindingDoesNotProtectAFailedServer(t *testing.T) {
	for _, refuted := range []bool{false, true} {
		f := newSimFleet(12, 3, 0, 0)
		f.now = 5 * time.Second
		flow := newOpenFlow(f, 0)
		if refuted {
			tell(f, 9, 0, findingAbout(f, 0, 9, affinity.NoAnswer, f.now)) // of a late host
			f.now += 10 * time.Millisecond
			tell(f, 6, 0, findingAbout(f, 0, 6, affinity.Accepts, f.now))
		}
		pass(f, 100*time.Millisecond)
		flow.answered() // the last answer before the backend server fails
		began := f.now + 100*time.Millisecond
		pass(f, began+checkTimeout-f.now)
		tell(f, 3, 0, findingAbout(f, 0, 3, affinity.NoAnswer, began))
		tell(f, 6, 0, findingAbout(f, 0, 6, affinity.NoAnswer, began))
		f.run(simStep, 0)
		if flow.decide() != affinity.Reject {
			t.Errorf("refuted finding %v: the flow is kept after two checks that began after the last answer failed", refuted)
		}
	}
}

// Guards against hosts that never get the result of a check because an earlier one, which was no longer awaited, ended meanwhile.
func TestResultOfAnEarlierCheckKeepsThoseWhoAsked(t *testing.T) {
	f := newSimFleet(9, 3, 0, 0)
	f.now = 5 * time.Second
	instance := affinity.Instance{Identity: 1, StartedMs: 9}
	h, asker := f.hosts[3], f.hosts[0].traffic.host.config.Peer
	var requests []affinity.CheckRequest
	h.start = func(r affinity.CheckRequest) { requests = append(requests, r) }
	var outcomes []affinity.CheckOutcome
	h.transmit = func(b []byte, to netip.AddrPort) error {
		m, err := healthcheck.Decode(b, f.now)
		if err != nil {
			t.Fatal(err)
		}
		for _, finding := range m.Findings {
			if to == asker {
				outcomes = append(outcomes, finding.Outcome)
			}
		}
		return nil
	}
	ask := func() {
		h.receive(checkMessage{from: asker, message: &healthcheck.Message{Asks: []affinity.Instance{instance}}}, f.now)
	}
	ask()
	f.now += 2100 * time.Millisecond // the host was paused
	ask()
	if len(requests) != 2 {
		t.Fatalf("%d checks were started, want 2", len(requests))
	}
	f.now += simStep
	h.checked(checkResult{request: requests[0], outcome: affinity.NoAnswer}, f.now)
	f.now += simStep
	h.checked(checkResult{request: requests[1], outcome: affinity.Accepts}, f.now)
	if !slices.Equal(outcomes, []affinity.CheckOutcome{affinity.Accepts}) {
		t.Errorf("the host that asked got %v, want the accepted check only", outcomes)
	}
}

// Guards against hosts that are left without an answer by a check whose result is outdated when it is handled, and against that
// result as evidence.
func TestOutdatedResultIsInconclusive(t *testing.T) {
	f := newSimFleet(9, 3, 0, 0)
	f.now = 5 * time.Second
	instance := affinity.Instance{Identity: 1, StartedMs: 9}
	h := f.hosts[3]
	var request affinity.CheckRequest
	h.start = func(r affinity.CheckRequest) { request = r }
	var outcomes []affinity.CheckOutcome
	h.transmit = func(b []byte, _ netip.AddrPort) error {
		m, err := healthcheck.Decode(b, f.now)
		if err != nil {
			t.Fatal(err)
		}
		for _, finding := range m.Findings {
			outcomes = append(outcomes, finding.Outcome)
		}
		return nil
	}
	h.receive(checkMessage{from: f.hosts[0].traffic.host.config.Peer, message: &healthcheck.Message{Asks: []affinity.Instance{instance}}}, f.now)
	pass(f, 2100*time.Millisecond)
	h.checked(checkResult{request: request, outcome: affinity.NoAnswer}, f.now)
	pass(f, time.Second)
	if !slices.Equal(outcomes, []affinity.CheckOutcome{affinity.Unchecked}) {
		t.Errorf("other hosts got %v, want that the check came to no conclusion", outcomes)
	}
}

// Guards against a host that gives a backend server up alone by a check that it made before it was alone, at the moment when it
// begins the one that is to decide.
func TestDecisionAloneNeedsACheckMadeAlone(t *testing.T) {
	f := newSimFleet(9, 3, 0, 0)
	f.now = 5 * time.Second
	h := f.hosts[0]
	h.start = func(affinity.CheckRequest) {} // still running
	h.transmit = func([]byte, netip.AddrPort) error { return nil }
	instance := affinity.Instance{Identity: 1, StartedMs: 9}
	flow := newOpenFlow(f, 0)
	pass(f, 10*time.Millisecond)
	h.doubt(instance, f.now)
	began := f.now
	pass(f, checkTimeout)
	h.report(instance, affinity.NoAnswer, began, f.now)
	for range 2 { // the other hosts leave it without a conclusion
		pass(f, 500*time.Millisecond)
		h.doubt(instance, f.now)
	}
	if flow.resets() != 0 || flow.decide() != affinity.Forward {
		t.Error("the flow is reset before the deciding check has ended")
	}
}

// Guards against findings that get younger at a host that runs now and then, but too little to empty the buffer of its socket:
// the longest gap is shorter than the time that a message waits.
func TestFindingsWaitLongerThanTheLongestGap(t *testing.T) {
	f := newSimFleet(9, 3, 0, 0)
	relay := f.hosts[3].traffic.host
	sentAt := 5 * time.Second
	began := sentAt - 260*time.Millisecond
	message, err := healthcheck.Encode(&healthcheck.Message{Findings: []healthcheck.Finding{findingAbout(f, 0, 6, affinity.NoAnswer, began)}}, sentAt)
	if err != nil {
		t.Fatal(err)
	}
	const gap, gaps = 400 * time.Millisecond, 3
	for n := range gaps + 1 {
		f.now = sentAt + time.Duration(n)*gap
		relay.started = time.Now().Add(-f.now)
		relay.control.detectPause()
	}
	relay.control.receiveCheckMessage(message, f.hosts[6].traffic.host.config.Peer)
	for _, m := range relay.checkInbox.take() {
		for _, finding := range m.message.Findings {
			if younger := finding.At - began; younger > tickInterval {
				t.Errorf("a check that began %v ago seems %v younger", f.now-began, younger)
			}
		}
	}
}

// Guards against the end of a backend server that a host which runs late takes for a start, because it dates the refused connection
// before the last answer that it saw.
func TestEndHeardByALateHostIsNoStart(t *testing.T) {
	for _, gap := range []time.Duration{tickInterval, 800 * time.Millisecond} {
		f := newSimFleet(9, 12, 5, time.Second)
		for _, s := range f.servers {
			s.endAt = time.Hour
		}
		f.now = 5 * time.Second
		h := f.hosts[0]
		host := h.traffic.host
		p := affinity.Packet{Caller: netip.MustParseAddrPort("100.64.0.9:2000"), Service: simService, Opening: true, Seq: 1}
		v := h.traffic.router.Decide(&p, f.now)
		if v.Action != affinity.Forward {
			t.Fatal("no flow was opened")
		}
		pass(f, 10*time.Millisecond)
		p.Opening, p.Seq, p.Ack, p.Token = false, 2, 2, v.Token
		h.traffic.router.Decide(&p, f.now) // the backend server has answered
		h.traffic.handleHealthChanges(f.now)
		pass(f, 200*time.Millisecond)
		began := f.now // the backend server has ended, and a check of another host is refused
		pass(f, 10*time.Millisecond)
		message, err := healthcheck.Encode(&healthcheck.Message{Findings: []healthcheck.Finding{findingAbout(f, int(v.Identity-1), 3, affinity.Refuses, began)}}, f.now)
		if err != nil {
			t.Fatal(err)
		}
		host.started = time.Now().Add(gap - f.now) // an earlier gap ends now; the message arrives just then
		host.control.detectPause()
		host.started = time.Now().Add(-f.now)
		host.control.detectPause()
		host.control.receiveCheckMessage(message, f.hosts[3].traffic.host.config.Peer)
		h.run(f.now)
		if _, ended := h.traffic.router.Ended(affinity.Instance{Identity: v.Identity, StartedMs: 9}); !ended {
			t.Errorf("gap %v: the backend server does not count as ended", gap)
		}
		for _, c := range h.traffic.router.TakeHealthChanges() {
			if c.Health == affinity.Restarted {
				t.Errorf("gap %v: the end of the backend server counts as a start", gap)
			}
		}
	}
}

// Guards against an accepted check that does not outweigh earlier failed ones because a host that runs late dates it too early.
func TestAcceptHeardByALateHostCounts(t *testing.T) {
	for _, gap := range []time.Duration{tickInterval, 800 * time.Millisecond} {
		f := newSimFleet(12, 3, 0, 0)
		f.now = 5 * time.Second
		h := f.hosts[0]
		host := h.traffic.host
		flow := newOpenFlow(f, 0)
		pass(f, 100*time.Millisecond)
		began := f.now // of two failed checks
		pass(f, 260*time.Millisecond)
		tell(f, 3, 0, findingAbout(f, 0, 3, affinity.NoAnswer, began))
		pass(f, 100*time.Millisecond)
		message, err := healthcheck.Encode(&healthcheck.Message{Findings: []healthcheck.Finding{findingAbout(f, 0, 9, affinity.Accepts, f.now)}}, f.now)
		if err != nil {
			t.Fatal(err)
		}
		host.started = time.Now().Add(gap - f.now)
		host.control.detectPause()
		host.started = time.Now().Add(-f.now)
		host.control.detectPause()
		host.control.receiveCheckMessage(message, f.hosts[9].traffic.host.config.Peer)
		h.run(f.now)
		tell(f, 6, 0, findingAbout(f, 0, 6, affinity.NoAnswer, began)) // of a slow sender
		if flow.decide() != affinity.Forward {
			t.Errorf("gap %v: the flow is reset although a later check was accepted", gap)
		}
	}
}

// Guards against findings that a host which runs late can't date, and yet passes on to others or takes for silence at present: two
// refused checks may be of before the start of the process that answers now.
func TestLateFindingsStayAtTheirReceiver(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := newSimFleet(12, 3, 0, 0)
		f.now = 5 * time.Second
		flow, h := newOpenFlow(f, 0), f.hosts[0]
		pass(f, 100*time.Millisecond)
		for _, checker := range []int{3, 6} {
			finding := findingAbout(f, 0, checker, affinity.Refuses, f.now)
			finding.Late = late
			tell(f, checker, 0, finding)
		}
		if passed := len(h.pending) > 0 || len(h.news) > 0; passed == late {
			t.Errorf("late %v: %d findings and %d news to pass on", late, len(h.pending), len(h.news))
		}
		if got := flow.decide(); (got == affinity.Forward) != late {
			t.Errorf("late %v: action %d for a packet of an open flow", late, got)
		}
	}
}

// Guards against a refuting check that only its own checker knows: the hosts that heard of the failed checks go on resetting flows.
func TestRefutingCheckIsPassedOn(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := newSimFleet(12, 3, 0, 0)
		f.now = 5 * time.Second
		h := f.hosts[0]
		tell(f, 3, 0, findingAbout(f, 0, 3, affinity.NoAnswer, f.now-250*time.Millisecond))
		h.pending = nil
		accepted := findingAbout(f, 0, 6, affinity.Accepts, f.now)
		accepted.Late = late
		tell(f, 6, 0, accepted)
		if passed := len(h.pending) > 0; passed == late {
			t.Errorf("late %v: %d findings to pass on after an accepted check of another host", late, len(h.pending))
		}
	}
	f := newSimFleet(12, 3, 0, 0)
	f.now = 5 * time.Second
	h := f.hosts[0]
	tell(f, 3, 0, findingAbout(f, 0, 3, affinity.NoAnswer, f.now-250*time.Millisecond))
	h.pending = nil
	h.report(affinity.Instance{Identity: 1, StartedMs: 9}, affinity.Accepts, f.now, f.now)
	if len(h.pending) != 1 {
		t.Errorf("%d findings to pass on after this host's accepted check, want 1", len(h.pending))
	}
}
