package command

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

// faultCase is a sequence of events on hosts a, b and c. a and b have been the
// owners for longer than the retention period, and c admits the commands of both
// backend servers.
type faultCase struct {
	name        string
	script      []step
	wantLast    string // last answer to request "1", as sim.lastAnswer describes it
	runs        int    // runs of request "1"
	wantAnswers int    // number of answers to request "1"
}

// step is one event of a fault case. Steps that are not wrapped in at run at the
// start.
type step func(*sim)

const ms = time.Millisecond

var ab, bc, ac = Owners{"a", "b"}, Owners{"b", "c"}, Owners{"a", "c"}

func script(steps ...step) []step { return steps }

func at(d time.Duration, steps ...step) step {
	return func(s *sim) {
		s.at(s.now.Add(d), nil, func() {
			for _, run := range steps {
				run(s)
			}
		})
	}
}

func candidates(s *sim) []Candidate {
	return []Candidate{{s.backend(1), "c"}, {s.backend(2), "c"}}
}

func requestOne(host, method string) step {
	return func(s *sim) { s.request(host, "1", method, candidates(s)...) }
}

// status sends an idempotent command for a backend server whose admitting host is
// admits.
func status(host, admits string) step {
	return func(s *sim) { s.request(host, "1", "status", Candidate{s.backend(1), admits}) }
}

func command(host string) step { return requestOne(host, "shutoff") }

// commandWithDeadline passes a command with its own deadline_ms to host a without
// network delay.
func commandWithDeadline(deadline string) step {
	return func(s *sim) {
		req, _ := ParseRequest([]byte(`{"jsonrpc":"2.0","id":"1","method":"shutoff","deadline_ms":` + deadline + `}`))
		s.perform(s.hosts["a"], s.hosts["a"].state.Request(s.now, testInput(candidates(s)), req))
	}
}

func server(n int, b simBackend) step { return func(s *sim) { s.setBackend(n, b) } }

// dropMessages drops the first n messages of a kind.
func dropMessages(kind string, n int) step {
	return func(s *sim) {
		s.fault = func(k, _, _ string) simFault {
			lost := k == kind && n > 0
			if lost {
				n--
			}
			return simFault{lost: lost}
		}
	}
}

func delayMessages(kind string, d time.Duration) step {
	return func(s *sim) {
		s.fault = func(k, _, _ string) simFault {
			if k == kind {
				return simFault{delay: d}
			}
			return simFault{}
		}
	}
}

// isolate separates host id from the other hosts.
func isolate(id string) step {
	return func(s *sim) {
		s.fault = func(_, from, to string) simFault {
			return simFault{lost: from != "" && to != "" && from != to && (from == id || to == id)}
		}
	}
}

func kill(id string) step { return func(s *sim) { s.hosts[id].dead = true } }

func restart(id string) step { return func(s *sim) { s.restart(id) } }

func startHost(id string) step {
	return func(s *sim) {
		s.hosts[id] = &simHost{id: id}
		s.restart(id)
	}
}

func pause(id string, d time.Duration) step {
	return func(s *sim) { s.hosts[id].paused = s.now.Add(d) }
}

func leave(id string) step {
	return func(s *sim) {
		s.hosts[id].state.Leave()
		s.perform(s.hosts[id], s.hosts[id].runner.Leave(s.now))
	}
}

func maxClaims(id string, n int) step {
	return func(s *sim) { s.hosts[id].state.table.maxClaims = n }
}

// queuedCommand sends a command while no slot is free at its admitting hosts c
// and b.
func queuedCommand(s *sim) {
	for _, id := range []string{"b", "c"} {
		s.hosts[id].runner.slots = &freeSlots{taken: 1, limit: 1}
	}
	s.request("a", "1", "shutoff", Candidate{s.backend(1), "c"}, Candidate{s.backend(2), "b"})
}

// admittedBy sets the admitting host that the owner a finds for all backend
// servers.
func admittedBy(to string) step {
	return func(s *sim) { s.hosts["a"].state.cfg.AdmittingHost = func(netip.AddrPort) string { return to } }
}

func freeSlotsAt(id string) step { return func(s *sim) { s.hosts[id].runner.slots = &freeSlots{} } }

func occupySlots(s *sim) { s.hosts["c"].runner.slots = &freeSlots{taken: 1, limit: 1} }

func setViews(o Owners, hosts ...string) step {
	return func(s *sim) {
		for _, id := range hosts {
			s.setView(id, o, true)
		}
	}
}

func minority(id string, o Owners) step { return func(s *sim) { s.setView(id, o, false) } }

// forwardResults makes the admitting host id detect the death of another host and
// forward its results.
func forwardResults(id, dead string) step {
	return func(s *sim) {
		h := s.hosts[id]
		h.process[dead]++
		s.perform(h, h.state.ForwardResults(s.now,
			h.results.TakeOrphaned(s.now, func(host string) uint64 { return h.process[host] })))
	}
}

// majorityGrace lets host id count as complete while its majority is verified
// again.
func majorityGrace(id string) step {
	return func(s *sim) { s.hosts[id].state.SetMajorityGrace(2 * time.Second) }
}

// declaredDead makes host id learn that others had declared it dead.
func declaredDead(id string) step {
	return func(s *sim) { s.hosts[id].state.SetConditions(s.now, Conditions{}) }
}

var (
	shedOnce      = simBackend{shedFirst: 1}
	slowRun       = simBackend{runTime: time.Second}
	slowShed      = simBackend{runTime: time.Second, shedFirst: 1}
	largeAnswer   = simBackend{answer: strings.Repeat("x", MaxAnswerBytes)}
	takeover      = setViews(bc, "b", "c")
	plannedChange = setViews(bc, "a", "b", "c")
	sec           = time.Second
)

var faultCases = []faultCase{
	{"answered", script(command("a")), "answer", 1, 1},
	{"secondary forwards to the primary", script(command("b")), "answer", 1, 1},
	{"all backend servers shed", script(server(1, shedOnce), server(2, shedOnce), command("a")), "-32001 shed", 0, 1},
	{"retry after shedding", script(server(1, shedOnce), command("a")), "answer", 1, 1},
	{"duplicate after the answer not run",
		script(server(1, shedOnce), server(2, shedOnce), command("a"), at(sec, command("a"))), "-32001 shed", 0, 2},
	{"no slot", script(occupySlots, command("a")), "-32001 no_slot", 0, 1},
	{"request to the backend server lost", script(dropMessages("backend", 1), command("a")), "-32002 no_answer", 0, 1},
	{"answer of the backend server lost", script(dropMessages("reply", 1), command("a")), "-32002 no_answer", 1, 1},
	{"idempotent answer lost", script(dropMessages("reply", 1), requestOne("a", "status")), "answer", 2, 1},
	{"idempotent answer lost, then shed, is not answered not run",
		script(server(2, shedOnce), dropMessages("reply", 1), requestOne("a", "status")), "-32002 shed", 1, 1},
	{"run message lost", script(dropMessages(MethodRun, 1), command("a")), "-32002 no_answer", 0, 1},
	{"claim message lost once", script(dropMessages(MethodClaim, 1), command("a")), "answer", 1, 1},
	{"claim never stored", script(dropMessages(MethodClaim, 100), command("a")), "-32002 claim_not_stored", 0, 1},
	{"deadline passes while waiting for the claim",
		script(delayMessages(MethodClaim, 100*ms), commandWithDeadline("150")), "-32002 claim_not_stored", 0, 1},
	{"claim stored too late to start", script(commandWithDeadline("120")), "-32001 deadline", 0, 1},
	{"repeat while pending",
		script(server(1, simBackend{runTime: 2 * sec}), command("a"), at(sec, command("a"))), "answer", 1, 1},
	{"repeat after the answer", script(command("a"), at(sec, command("a"))), "answer", 1, 2},
	{"repeats restart the retention period",
		script(command("a"), at(25*sec, command("a")), at(50*sec, kill("a"), takeover), at(51*sec, command("b"))),
		"answer", 1, 3},
	{"answered, primary dies, repeat at the secondary",
		script(command("a"), at(sec, kill("a"), takeover), at(2*sec, command("b"))), "answer", 1, 2},
	{"primary dies while the command runs",
		script(server(1, slowRun), command("a"), at(500*ms, kill("a"), takeover), at(2*sec, command("b"))),
		"-32002 no_answer", 1, 1},
	{"primary dies while the command runs, and the admitting host forwards the answer",
		script(server(1, slowRun), command("a"), at(500*ms, kill("a")),
			at(1800*ms, takeover, command("b"), forwardResults("c", "a"))),
		"answer", 1, 1},
	{"answer arrives after the death of the primary was detected",
		script(server(1, simBackend{runTime: 3 * sec}), command("a"), at(500*ms, kill("a")),
			at(1800*ms, takeover, command("b"), forwardResults("c", "a")), at(4*sec, forwardResults("c", ""))), "answer", 1, 1},
	{"shed run of a dead primary is not forwarded",
		script(server(1, slowShed), command("a"), at(500*ms, kill("a")),
			at(1800*ms, takeover, command("b"), forwardResults("c", "a"))),
		"-32002 no_answer", 0, 1},
	{"planned change while the command runs",
		script(server(1, slowRun), command("a"), at(500*ms, leave("a"), plannedChange), at(600*ms, command("b"))),
		"answer", 1, 2},
	{"new owner's claim table is full while the command runs",
		script(server(1, slowRun), maxClaims("c", 0), command("a"), at(500*ms, kill("b"), setViews(ac, "a", "c"))),
		"answer", 1, 1},
	{"retry by an owner that is leaving",
		script(server(1, slowShed), command("a"), at(500*ms, leave("a"), plannedChange)), "answer", 1, 1},
	{"retry waits until the new owner has stored the claim",
		script(server(1, slowShed), command("a"), at(500*ms, kill("b"), setViews(ac, "a")), at(1500*ms, setViews(ac, "c"))),
		"answer", 1, 1},
	{"retry while the new owner refuses the claim",
		script(server(1, slowShed), command("a"), at(500*ms, kill("b"), setViews(ac, "a"))), "-32002 claim_not_stored", 0, 1},
	{"request at a host that is leaving", script(leave("a"), plannedChange, command("a")), "answer", 1, 1},
	{"repeat at a host that joined",
		script(command("a"), at(sec, kill("a"), takeover), at(10*sec, restart("a"), setViews(ab, "a", "b", "c")),
			at(10*sec+ms, command("a"))), "answer", 1, 2},
	{"claims transferred to new owners survive two changes",
		script(command("a"), at(sec, kill("a"), takeover),
			at(10*sec, kill("b"), restart("a"), setViews(Owners{"c", "a"}, "a", "c")), at(11*sec, command("c"))), "answer", 1, 2},
	{"both owners replaced at once",
		script(kill("a"), kill("b"), startHost("d"), setViews(Owners{"c", "d"}, "c", "d"), at(sec, command("c"))),
		"-32002 claims_incomplete", 0, 1},
	{"undetected restart",
		script(command("a"), at(sec, restart("a"), setViews(ab, "a")), at(2*sec, command("a"))), "answer", 1, 2},
	{"owner pauses after the claim and resumes after the takeover",
		script(at(0, command("a")), at(2*ms, pause("a", 3*sec)), at(2*sec, takeover), at(2500*ms, command("b"))),
		"-32002 not_serving", 0, 2},
	{"owner pauses after the run was sent and resumes after the takeover",
		script(server(1, slowRun), at(0, command("a")), at(10*ms, pause("a", 3*sec)), at(2*sec, takeover),
			at(2500*ms, command("b"))), "answer", 1, 2},
	{"owner pauses before the claim and resumes after the takeover with a stale view",
		script(pause("a", 3*sec), command("a"), at(2*sec, takeover), at(2200*ms, command("b")),
			at(3100*ms, setViews(ab, "a")), at(3200*ms, command("a"))), "-32002 claim_not_stored", 1, 3},
	{"queued for a slot", script(queuedCommand, at(sec, freeSlotsAt("c"))), "answer", 1, 1},
	{"repeat while queued", script(queuedCommand, at(500*ms, queuedCommand), at(sec, freeSlotsAt("c"))), "answer", 1, 1},
	{"admitting host leaves while the command is queued",
		script(queuedCommand, at(sec, leave("c")), at(2*sec, freeSlotsAt("b"))), "answer", 1, 1},
	{"only admitting host leaves while the command is queued",
		script(occupySlots, status("a", "c"), at(sec, admittedBy("b"), leave("c"))), "answer", 1, 1},
	{"hosts disagree about the admitting host",
		script(leave("b"), leave("c"), admittedBy("b"), status("a", "c")), "-32002 leaving", 0, 1},
	{"admitting host pauses while the command is queued",
		script(queuedCommand, at(sec, pause("c", 2*sec)), at(2*sec, freeSlotsAt("b"), freeSlotsAt("c"))), "answer", 1, 1},
	{"admitting host dies while the command is queued", script(queuedCommand, at(sec, kill("c"))), "-32002 no_answer", 0, 1},
	{"owner dies while the command is queued",
		script(queuedCommand, at(sec, kill("a"), takeover), at(2*sec, freeSlotsAt("c"), command("b"))),
		"-32002 no_answer", 1, 1},
	{"owner pauses while the command is queued",
		script(queuedCommand, at(sec, pause("a", 2*sec)), at(2*sec, freeSlotsAt("c"))), "answer", 1, 1},
	{"majority lost", script(minority("a", ab), command("a")), "-32002 no_majority", 0, 1},
	{"majority lost while waiting for the claim",
		script(command("a"), at(2*ms, minority("a", ab))), "-32002 no_majority", 0, 1},
	{"majority verified again while the command waits",
		script(setViews(ab, "a"), majorityGrace("a"), minority("a", ab), command("a"), at(300*ms, setViews(ab, "a"))),
		"answer", 1, 1},
	{"majority lost and verified again while waiting for the claim",
		script(setViews(ab, "a"), majorityGrace("a"), command("a"), at(2*ms, minority("a", ab)),
			at(300*ms, setViews(ab, "a"))), "answer", 1, 1},
	{"majority not verified again",
		script(setViews(ab, "a"), majorityGrace("a"), minority("a", ab), command("a")), "-32002 no_majority", 0, 1},
	{"declared dead while the majority is verified again",
		script(setViews(ab, "a"), majorityGrace("a"), minority("a", ab), command("a"), at(300*ms, declaredDead("a"))),
		"-32002 not_serving", 0, 1},
	{"other owner dies before it stores the claim",
		script(kill("b"), command("a"), at(1800*ms, setViews(ac, "a", "c"))), "answer", 1, 1},
	{"admitting host is leaving", script(leave("c"), command("a")), "-32001 leaving", 0, 1},
	{"minority side of a partition",
		script(isolate("a"), minority("a", Owners{"a", ""}), command("a"), at(sec, takeover, command("b"))), "answer", 1, 2},
	{"idempotent on both sides of a partition, no slot on the second side",
		script(isolate("a"), minority("a", Owners{"a", ""}), takeover, occupySlots, status("a", "a"),
			at(sec, status("b", "c"))),
		"-32002 no_slot", 1, 2},
	{"owners on both sides of an undetected partition",
		script(isolate("a"), command("a"), at(500*ms, takeover, command("b"))), "-32002 claim_not_stored", 1, 2},
	{"two primaries that both see a majority",
		script(takeover, command("a"), at(500*ms, command("b"))), "-32002 claim_not_stored", 1, 2},
	{"answer larger than a datagram", script(server(1, largeAnswer), command("a")), "-32002 answer_too_large", 1, 1},
	{"request id reused with other content",
		script(command("a"), at(sec, requestOne("a", "restore"))), "-32003 digest_mismatch", 1, 2},
	{"request id reused at a host that joined",
		script(command("a"), at(sec, restart("a"), setViews(ab, "a")), at(2*sec, requestOne("a", "restore"))),
		"-32003 digest_mismatch", 1, 2},
	{"claim table of the other owner is full", script(maxClaims("b", 0), command("a")), "-32002 claims_full", 0, 1},
}

// TestDrain guards against a graceful shutdown that does not wait for commands in
// progress.
func TestDrain(t *testing.T) {
	s := newSim(t, "a", "b", "c")
	t0 := s.warmUp(ab)
	for _, run := range script(server(1, slowRun), command("a"), at(400*ms, leave("a"), leave("c"), plannedChange)) {
		run(s)
	}
	s.runTo(t0 + 500*ms)
	if owner, admitting := s.hosts["a"].state.InProgress(), s.hosts["c"].runner.InProgress(); owner != 1 || admitting != 1 {
		t.Errorf("%d commands in progress at the owner and %d at the admitting host, want 1", owner, admitting)
	}
	s.runTo(t0 + 2*time.Second)
	if owner, admitting := s.hosts["a"].state.InProgress(), s.hosts["c"].runner.InProgress(); owner != 0 || admitting != 0 {
		t.Errorf("%d commands in progress at the owner and %d at the admitting host, want 0", owner, admitting)
	}
	if s.lastAnswer("1") != "answer" {
		t.Errorf("last answer %q, want \"answer\"", s.lastAnswer("1"))
	}
}

// TestFaults guards against the following failures after a single fault: a
// non-idempotent command runs twice, a command that ran is answered "not run",
// or a caller gets no answer or a wrong one.
func TestFaults(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, "a", "b", "c")
			t0 := s.warmUp(ab)
			for _, run := range tc.script {
				run(s)
			}
			s.runTo(t0 + 70*time.Second)
			if got := s.lastAnswer("1"); got != tc.wantLast {
				t.Errorf("last answer %q, want %q (%v)", got, tc.wantLast, s.answers["1"])
			}
			if got := s.runs("1"); got != tc.runs {
				t.Errorf("ran %d times, want %d", got, tc.runs)
			}
			if got := len(s.answers["1"]); got != tc.wantAnswers {
				t.Errorf("%d answers, want %d: %v", got, tc.wantAnswers, s.answers["1"])
			}
		})
	}
}
