package command

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

// faultCase runs on hosts a, b and c, where a and b have been the owners for
// longer than the retention and c admits the commands of both backend servers.
type faultCase struct {
	name string
	play []step
	want string // what the caller was told last about request "1"
	ran  int    // runs of request "1"
	told int    // number of answers
}

// step is one event of a fault case. Steps outside of at run at the start.
type step func(*sim)

const ms = time.Millisecond

var ab, bc, ac = Owners{"a", "b"}, Owners{"b", "c"}, Owners{"a", "c"}

func play(steps ...step) []step { return steps }

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

func send1(host, method string) step {
	return func(s *sim) { s.request(host, "1", method, candidates(s)...) }
}

// status sends an idempotent command whose backend server has the admitting host admits.
func status(host, admits string) step {
	return func(s *sim) { s.request(host, "1", "status", Candidate{s.backend(1), admits}) }
}

func command(host string) step { return send1(host, "shutoff") }

// hurried sends a command with a deadline of the caller's own, without a delay.
func hurried(deadline string) step {
	return func(s *sim) {
		req, _ := ParseRequest([]byte(`{"jsonrpc":"2.0","id":"1","method":"shutoff","deadline_ms":` + deadline + `}`))
		s.do(s.hosts["a"], s.hosts["a"].state.Request(s.now, testInput(candidates(s)), req))
	}
}

func server(n int, b simBackend) step { return func(s *sim) { s.setup(n, b) } }

// lose loses the first n messages of a kind.
func lose(kind string, n int) step {
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

func slow(kind string, d time.Duration) step {
	return func(s *sim) {
		s.fault = func(k, _, _ string) simFault {
			if k == kind {
				return simFault{delay: d}
			}
			return simFault{}
		}
	}
}

// cut separates host id from the other hosts.
func cut(id string) step {
	return func(s *sim) {
		s.fault = func(_, from, to string) simFault {
			return simFault{lost: from != "" && to != "" && from != to && (from == id || to == id)}
		}
	}
}

func kill(id string) step { return func(s *sim) { s.hosts[id].dead = true } }

func restart(id string) step { return func(s *sim) { s.restart(id) } }

func join(id string) step {
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
		s.do(s.hosts[id], s.hosts[id].runner.Leave(s.now))
	}
}

func maxClaims(id string, n int) step {
	return func(s *sim) { s.hosts[id].state.table.maxClaims = n }
}

// waits sends a command while no slot is free at its admitting hosts c and b.
func waits(s *sim) {
	for _, id := range []string{"b", "c"} {
		s.hosts[id].runner.slots = &freeSlots{taken: 1, limit: 1}
	}
	s.request("a", "1", "shutoff", Candidate{s.backend(1), "c"}, Candidate{s.backend(2), "b"})
}

// moved tells the owner a which host admits commands now.
func moved(to string) step {
	return func(s *sim) { s.hosts["a"].state.cfg.AdmittingHost = func(netip.AddrPort) string { return to } }
}

func free(id string) step { return func(s *sim) { s.hosts[id].runner.slots = &freeSlots{} } }

func busy(s *sim) { s.hosts["c"].runner.slots = &freeSlots{taken: 1, limit: 1} }

func views(o Owners, hosts ...string) step {
	return func(s *sim) {
		for _, id := range hosts {
			s.setView(id, o, true)
		}
	}
}

func minority(id string, o Owners) step { return func(s *sim) { s.setView(id, o, false) } }

// passOn lets an admitting host notice that another host has died.
func passOn(id, dead string) step {
	return func(s *sim) {
		h := s.hosts[id]
		h.process[dead]++
		s.do(h, h.state.ForwardResults(s.now, h.results.TakeOrphaned(s.now, func(host string) uint64 { return h.process[host] })))
	}
}

// grace lets the host count as complete while its majority is verified again.
func grace(id string) step {
	return func(s *sim) { s.hosts[id].state.SetMajorityGrace(2 * time.Second) }
}

func distrust(id string) step {
	return func(s *sim) { s.hosts[id].state.SetConditions(s.now, Conditions{}) }
}

var (
	shedOnce  = simBackend{sheds: 1}
	takesOne  = simBackend{service: time.Second}
	shedsLate = simBackend{service: time.Second, sheds: 1}
	large     = simBackend{answer: strings.Repeat("x", MaxAnswerBytes)}
	takeover  = views(bc, "b", "c")
	planned   = views(bc, "a", "b", "c")
	sec       = time.Second
)

var faultCases = []faultCase{
	{"answered", play(command("a")), "answer", 1, 1},
	{"secondary forwards to the primary", play(command("b")), "answer", 1, 1},
	{"all backend servers shed", play(server(1, shedOnce), server(2, shedOnce), command("a")), "-32001 shed", 0, 1},
	{"retry after shedding", play(server(1, shedOnce), command("a")), "answer", 1, 1},
	{"duplicate after not run is not run",
		play(server(1, shedOnce), server(2, shedOnce), command("a"), at(sec, command("a"))), "-32001 shed", 0, 2},
	{"no slot", play(busy, command("a")), "-32001 no_slot", 0, 1},
	{"request to the backend server lost", play(lose("backend", 1), command("a")), "-32002 no_answer", 0, 1},
	{"answer of the backend server lost", play(lose("reply", 1), command("a")), "-32002 no_answer", 1, 1},
	{"idempotent answer lost", play(lose("reply", 1), send1("a", "status")), "answer", 2, 1},
	{"idempotent lost, then shed is not called not run",
		play(server(2, shedOnce), lose("reply", 1), send1("a", "status")), "-32002 shed", 1, 1},
	{"run message lost", play(lose(MethodRun, 1), command("a")), "-32002 no_answer", 0, 1},
	{"claim message lost once", play(lose(MethodClaim, 1), command("a")), "answer", 1, 1},
	{"claim never stored", play(lose(MethodClaim, 100), command("a")), "-32002 claim_not_stored", 0, 1},
	{"deadline passes while waiting for the claim",
		play(slow(MethodClaim, 100*ms), hurried("150")), "-32002 claim_not_stored", 0, 1},
	{"claim stored too late to start", play(hurried("120")), "-32001 deadline", 0, 1},
	{"repeat while pending waits",
		play(server(1, simBackend{service: 2 * sec}), command("a"), at(sec, command("a"))), "answer", 1, 1},
	{"repeat after the answer is replayed", play(command("a"), at(sec, command("a"))), "answer", 1, 2},
	{"repeat beyond the retention counts from the last repeat",
		play(command("a"), at(25*sec, command("a")), at(50*sec, kill("a"), takeover), at(51*sec, command("b"))), "answer", 1, 3},
	{"answered, primary dies, repeat at the secondary",
		play(command("a"), at(sec, kill("a"), takeover), at(2*sec, command("b"))), "answer", 1, 2},
	{"primary dies while the command runs",
		play(server(1, takesOne), command("a"), at(500*ms, kill("a"), takeover), at(2*sec, command("b"))),
		"-32002 no_answer", 1, 1},
	{"primary dies while the command runs, and its answer is passed on",
		play(server(1, takesOne), command("a"), at(500*ms, kill("a")), at(1800*ms, takeover, command("b"), passOn("c", "a"))),
		"answer", 1, 1},
	{"the answer arrives after the death of the primary was noticed",
		play(server(1, simBackend{service: 3 * sec}), command("a"), at(500*ms, kill("a")),
			at(1800*ms, takeover, command("b"), passOn("c", "a")), at(4*sec, passOn("c", ""))), "answer", 1, 1},
	{"a shed run of a primary that died is not passed on",
		play(server(1, shedsLate), command("a"), at(500*ms, kill("a")), at(1800*ms, takeover, command("b"), passOn("c", "a"))),
		"-32002 no_answer", 0, 1},
	{"planned change while the command runs",
		play(server(1, takesOne), command("a"), at(500*ms, leave("a"), planned), at(600*ms, command("b"))), "answer", 1, 2},
	{"new owner's claims are full while the command runs",
		play(server(1, takesOne), maxClaims("c", 0), command("a"), at(500*ms, kill("b"), views(ac, "a", "c"))), "answer", 1, 1},
	{"retry of a host that is leaving",
		play(server(1, shedsLate), command("a"), at(500*ms, leave("a"), planned)), "answer", 1, 1},
	{"retry waits until the new owner has stored the claim",
		play(server(1, shedsLate), command("a"), at(500*ms, kill("b"), views(ac, "a")), at(1500*ms, views(ac, "c"))),
		"answer", 1, 1},
	{"retry while the new owner refuses the claim",
		play(server(1, shedsLate), command("a"), at(500*ms, kill("b"), views(ac, "a"))), "-32002 claim_not_stored", 0, 1},
	{"request at a host that is leaving", play(leave("a"), planned, command("a")), "answer", 1, 1},
	{"repeat at a host that joined",
		play(command("a"), at(sec, kill("a"), takeover), at(10*sec, restart("a"), views(ab, "a", "b", "c")),
			at(10*sec+ms, command("a"))), "answer", 1, 2},
	{"claims passed to new owners survive two changes",
		play(command("a"), at(sec, kill("a"), takeover),
			at(10*sec, kill("b"), restart("a"), views(Owners{"c", "a"}, "a", "c")), at(11*sec, command("c"))), "answer", 1, 2},
	{"both owners replaced at once",
		play(kill("a"), kill("b"), join("d"), views(Owners{"c", "d"}, "c", "d"), at(sec, command("c"))),
		"-32002 claims_incomplete", 0, 1},
	{"restart that nobody noticed",
		play(command("a"), at(sec, restart("a"), views(ab, "a")), at(2*sec, command("a"))), "answer", 1, 2},
	{"owner pauses after the claim and wakes after the takeover",
		play(at(0, command("a")), at(2*ms, pause("a", 3*sec)), at(2*sec, takeover), at(2500*ms, command("b"))),
		"-32002 not_serving", 0, 2},
	{"owner pauses after the run was sent and wakes after the takeover",
		play(server(1, takesOne), at(0, command("a")), at(10*ms, pause("a", 3*sec)), at(2*sec, takeover),
			at(2500*ms, command("b"))), "answer", 1, 2},
	{"owner pauses before the claim and wakes after the takeover, with a view that is still stale",
		play(pause("a", 3*sec), command("a"), at(2*sec, takeover), at(2200*ms, command("b")),
			at(3100*ms, views(ab, "a")), at(3200*ms, command("a"))), "-32002 claim_not_stored", 1, 3},
	{"waits for a slot", play(waits, at(sec, free("c"))), "answer", 1, 1},
	{"repeat while it waits", play(waits, at(500*ms, waits), at(sec, free("c"))), "answer", 1, 1},
	{"admitting host leaves while it waits", play(waits, at(sec, leave("c")), at(2*sec, free("b"))), "answer", 1, 1},
	{"only admitting host leaves while it waits",
		play(busy, status("a", "c"), at(sec, moved("b"), leave("c"))), "answer", 1, 1},
	{"admitting hosts that disagree",
		play(leave("b"), leave("c"), moved("b"), status("a", "c")), "-32002 leaving", 0, 1},
	{"admitting host pauses while it waits",
		play(waits, at(sec, pause("c", 2*sec)), at(2*sec, free("b"), free("c"))), "answer", 1, 1},
	{"admitting host dies while it waits", play(waits, at(sec, kill("c"))), "-32002 no_answer", 0, 1},
	{"owner dies while it waits",
		play(waits, at(sec, kill("a"), takeover), at(2*sec, free("c"), command("b"))), "-32002 no_answer", 1, 1},
	{"owner pauses while it waits",
		play(waits, at(sec, pause("a", 2*sec)), at(2*sec, free("c"))), "answer", 1, 1},
	{"majority lost", play(minority("a", ab), command("a")), "-32002 no_majority", 0, 1},
	{"majority lost while waiting for the claim",
		play(command("a"), at(2*ms, minority("a", ab))), "-32002 no_majority", 0, 1},
	{"majority verified again while the command waits",
		play(views(ab, "a"), grace("a"), minority("a", ab), command("a"), at(300*ms, views(ab, "a"))), "answer", 1, 1},
	{"majority lost and verified again while waiting for the claim",
		play(views(ab, "a"), grace("a"), command("a"), at(2*ms, minority("a", ab)), at(300*ms, views(ab, "a"))), "answer", 1, 1},
	{"majority not verified again",
		play(views(ab, "a"), grace("a"), minority("a", ab), command("a")), "-32002 no_majority", 0, 1},
	{"declared dead while the majority is verified again",
		play(views(ab, "a"), grace("a"), minority("a", ab), command("a"), at(300*ms, distrust("a"))),
		"-32002 not_serving", 0, 1},
	{"other owner dies before it stores the claim",
		play(kill("b"), command("a"), at(1800*ms, views(ac, "a", "c"))), "answer", 1, 1},
	{"admitting host is leaving", play(leave("c"), command("a")), "-32001 leaving", 0, 1},
	{"minority side of a partition",
		play(cut("a"), minority("a", Owners{"a", ""}), command("a"), at(sec, takeover, command("b"))), "answer", 1, 2},
	{"idempotent on both sides of a partition, no slot on the second side",
		play(cut("a"), minority("a", Owners{"a", ""}), takeover, busy, status("a", "a"), at(sec, status("b", "c"))),
		"-32002 no_slot", 1, 2},
	{"owners on two sides before anyone noticed",
		play(cut("a"), command("a"), at(500*ms, takeover, command("b"))), "-32002 claim_not_stored", 1, 2},
	{"owners on two sides that disagree about the majority",
		play(takeover, command("a"), at(500*ms, command("b"))), "-32002 claim_not_stored", 1, 2},
	{"answer larger than a datagram", play(server(1, large), command("a")), "-32002 answer_too_large", 1, 1},
	{"request id reused with other content",
		play(command("a"), at(sec, send1("a", "restore"))), "-32003 digest_mismatch", 1, 2},
	{"request id reused at a host that joined",
		play(command("a"), at(sec, restart("a"), views(ab, "a")), at(2*sec, send1("a", "restore"))),
		"-32003 digest_mismatch", 1, 2},
	{"claims full", play(maxClaims("b", 0), command("a")), "-32002 claims_full", 0, 1},
}

// TestDrain guards against a shutdown that cuts off commands in progress.
func TestDrain(t *testing.T) {
	s := newSim(t, "a", "b", "c")
	t0 := s.warm(ab)
	for _, run := range play(server(1, takesOne), command("a"), at(400*ms, leave("a"), leave("c"), planned)) {
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
	if s.last("1") != "answer" {
		t.Errorf("caller was told %q", s.last("1"))
	}
}

// TestFaults guards P5, P6 and P7 in each single fault.
func TestFaults(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, "a", "b", "c")
			t0 := s.warm(ab)
			for _, run := range tc.play {
				run(s)
			}
			s.runTo(t0 + 70*time.Second)
			if got := s.last("1"); got != tc.want {
				t.Errorf("caller was told %q, want %q (%v)", got, tc.want, s.answers["1"])
			}
			if got := s.ran("1"); got != tc.ran {
				t.Errorf("ran %d times, want %d", got, tc.ran)
			}
			if got := len(s.answers["1"]); got != tc.told {
				t.Errorf("%d answers, want %d: %v", got, tc.told, s.answers["1"])
			}
		})
	}
}
