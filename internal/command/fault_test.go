package command

import (
	"strings"
	"testing"
	"time"
)

// faultCase runs on hosts a, b and c, where a and b have been the owners for
// longer than the retention and c admits the commands of both backend servers.
type faultCase struct {
	name string
	play func(s *sim, t0 time.Duration)
	want string // what the caller was told last about request "1"
	ran  int    // runs of request "1"
	told int    // number of answers
}

var ab, bc = Owners{"a", "b"}, Owners{"b", "c"}

func candidates(s *sim) []Candidate {
	return []Candidate{{s.backend(1), "c"}, {s.backend(2), "c"}}
}

func (s *sim) command(host string) { s.request(host, "1", "shutoff", candidates(s)...) }

func (s *sim) status(host string) { s.request(host, "1", "status", candidates(s)...) }

func (s *sim) setup(n int, b simBackend) {
	b.ran = make(map[string]int)
	s.backends[s.backend(n)] = &b
}

// lose loses the first n messages of a kind.
func (s *sim) lose(kind string, n int) {
	s.fault = func(k, _, _ string) simFault {
		if k == kind && n > 0 {
			n--
			return simFault{lost: true}
		}
		return simFault{}
	}
}

// cut separates host id from the other hosts.
func (s *sim) cut(id string) {
	s.fault = func(_, from, to string) simFault {
		return simFault{lost: from != "" && from != to && (from == id || to == id)}
	}
}

func (s *sim) kill(id string) { s.hosts[id].dead = true }

func (s *sim) views(o Owners, hosts ...string) {
	for _, id := range hosts {
		s.setView(id, o, true)
	}
}

const ms = time.Millisecond

var faultCases = []faultCase{
	{"answered", func(s *sim, t0 time.Duration) { s.command("a") }, "answer", 1, 1},
	{"secondary forwards to the primary", func(s *sim, t0 time.Duration) { s.command("b") }, "answer", 1, 1},
	{"all backend servers shed", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{sheds: 1})
		s.setup(2, simBackend{sheds: 1})
		s.command("a")
	}, "-32001 shed", 0, 1},
	{"retry after shedding", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{sheds: 1})
		s.command("a")
	}, "answer", 1, 1},
	{"duplicate after not run is not run", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{sheds: 1})
		s.setup(2, simBackend{sheds: 1})
		s.command("a")
		s.after(t0+time.Second, func() { s.command("a") })
	}, "-32001 shed", 0, 2},
	{"no slot", func(s *sim, t0 time.Duration) {
		s.hosts["c"].runner.slots = &freeSlots{taken: 1, limit: 1}
		s.command("a")
	}, "-32001 no_slot", 0, 1},
	{"request to the backend server lost", func(s *sim, t0 time.Duration) {
		s.lose("backend", 1)
		s.command("a")
	}, "-32002 no_answer", 0, 1},
	{"answer of the backend server lost", func(s *sim, t0 time.Duration) {
		s.lose("reply", 1)
		s.command("a")
	}, "-32002 no_answer", 1, 1},
	{"idempotent answer lost", func(s *sim, t0 time.Duration) {
		s.lose("reply", 1)
		s.status("a")
	}, "answer", 2, 1},
	{"idempotent lost, then shed is not called not run", func(s *sim, t0 time.Duration) {
		s.setup(2, simBackend{sheds: 1})
		s.lose("reply", 1)
		s.status("a")
	}, "-32002 shed", 1, 1},
	{"run message lost", func(s *sim, t0 time.Duration) {
		s.lose(MethodRun, 1)
		s.command("a")
	}, "-32002 no_answer", 0, 1},
	{"claim message lost once", func(s *sim, t0 time.Duration) {
		s.lose(MethodClaim, 1)
		s.command("a")
	}, "answer", 1, 1},
	{"claim never stored", func(s *sim, t0 time.Duration) {
		s.lose(MethodClaim, 100)
		s.command("a")
	}, "-32002 claim_not_stored", 0, 1},
	{"deadline passes while waiting for the claim", func(s *sim, t0 time.Duration) {
		s.fault = func(k, _, _ string) simFault {
			if k == MethodClaim {
				return simFault{delay: 100 * ms}
			}
			return simFault{}
		}
		req, _ := ParseRequest([]byte(`{"jsonrpc":"2.0","id":"1","method":"shutoff","deadline_ms":150}`))
		a := s.hosts["a"]
		s.do(a, a.state.Request(s.now, testInput(candidates(s)), req))
	}, "-32002 claim_not_stored", 0, 1},
	{"repeat while pending waits", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{service: 2 * time.Second})
		s.command("a")
		s.after(t0+time.Second, func() { s.command("a") })
	}, "answer", 1, 1},
	{"repeat after the answer is replayed", func(s *sim, t0 time.Duration) {
		s.command("a")
		s.after(t0+time.Second, func() { s.command("a") })
	}, "answer", 1, 2},
	{"repeat beyond the retention counts from the last repeat", func(s *sim, t0 time.Duration) {
		s.command("a")
		s.after(t0+25*time.Second, func() { s.command("a") })
		s.after(t0+50*time.Second, func() { s.kill("a"); s.views(bc, "b", "c") })
		s.after(t0+51*time.Second, func() { s.command("b") })
	}, "answer", 1, 3},
	{"answered, primary dies, repeat at the secondary", func(s *sim, t0 time.Duration) {
		s.command("a")
		s.after(t0+time.Second, func() { s.kill("a"); s.views(bc, "b", "c") })
		s.after(t0+2*time.Second, func() { s.command("b") })
	}, "answer", 1, 2},
	{"primary dies while the command runs", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{service: time.Second})
		s.command("a")
		s.after(t0+500*ms, func() { s.kill("a"); s.views(bc, "b", "c") })
		s.after(t0+2*time.Second, func() { s.command("b") })
	}, "-32002 no_answer", 1, 1},
	{"planned change while the command runs", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{service: time.Second})
		s.command("a")
		s.after(t0+500*ms, func() { s.hosts["a"].state.Leave(); s.views(bc, "a", "b", "c") })
		s.after(t0+600*ms, func() { s.command("b") })
	}, "answer", 1, 2},
	{"new owner's claims are full while the command runs", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{service: time.Second})
		s.hosts["c"].state.table.maxClaims = 0
		s.command("a")
		s.after(t0+500*ms, func() { s.kill("b"); s.views(Owners{"a", "c"}, "a", "c") })
	}, "answer", 1, 1},
	{"retry of a host that is leaving", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{service: time.Second, sheds: 1})
		s.command("a")
		s.after(t0+500*ms, func() { s.hosts["a"].state.Leave(); s.views(bc, "a", "b", "c") })
	}, "answer", 1, 1},
	{"retry waits until the new owner has stored the claim", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{service: time.Second, sheds: 1})
		s.command("a")
		s.after(t0+500*ms, func() { s.kill("b"); s.views(Owners{"a", "c"}, "a") })
		s.after(t0+1500*ms, func() { s.views(Owners{"a", "c"}, "c") })
	}, "answer", 1, 1},
	{"retry while the new owner refuses the claim", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{service: time.Second, sheds: 1})
		s.command("a")
		s.after(t0+500*ms, func() { s.kill("b"); s.views(Owners{"a", "c"}, "a") })
	}, "-32002 claim_not_stored", 0, 1},
	{"request at a host that is leaving", func(s *sim, t0 time.Duration) {
		s.hosts["a"].state.Leave()
		s.views(bc, "a", "b", "c")
		s.command("a")
	}, "answer", 1, 1},
	{"repeat at a host that joined", func(s *sim, t0 time.Duration) {
		s.command("a")
		s.after(t0+time.Second, func() { s.kill("a"); s.views(bc, "b", "c") })
		s.after(t0+10*time.Second, func() { s.restart("a"); s.views(ab, "a", "b", "c") })
		s.after(t0+10*time.Second+ms, func() { s.command("a") })
	}, "answer", 1, 2},
	{"claims passed to new owners survive two changes", func(s *sim, t0 time.Duration) {
		s.command("a")
		s.after(t0+time.Second, func() { s.kill("a"); s.views(bc, "b", "c") })
		s.after(t0+10*time.Second, func() { s.kill("b"); s.restart("a"); s.views(Owners{"c", "a"}, "a", "c") })
		s.after(t0+11*time.Second, func() { s.request("c", "2", "restore", Candidate{s.backend(1), "c"}); s.command("c") })
	}, "answer", 1, 2},
	{"both owners replaced at once", func(s *sim, t0 time.Duration) {
		s.kill("a")
		s.kill("b")
		s.hosts["d"] = &simHost{id: "d"}
		s.restart("d")
		s.views(Owners{"c", "d"}, "c", "d")
		s.after(t0+time.Second, func() { s.command("c") })
	}, "-32002 claims_incomplete", 0, 1},
	{"restart that nobody noticed", func(s *sim, t0 time.Duration) {
		s.command("a")
		s.after(t0+time.Second, func() { s.restart("a"); s.views(ab, "a") })
		s.after(t0+2*time.Second, func() { s.command("a") })
	}, "answer", 1, 2},
	{"owner pauses after the claim and wakes after the takeover", func(s *sim, t0 time.Duration) {
		s.after(t0, func() { s.command("a") })
		s.after(t0+2*ms, func() { s.hosts["a"].paused = s.now.Add(3 * time.Second) })
		s.after(t0+2*time.Second, func() { s.views(bc, "b", "c") })
		s.after(t0+2500*ms, func() { s.command("b") })
	}, "-32002 not_serving", 0, 2},
	{"owner pauses after the run was sent and wakes after the takeover", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{service: time.Second})
		s.after(t0, func() { s.command("a") })
		s.after(t0+10*ms, func() { s.hosts["a"].paused = s.now.Add(3 * time.Second) })
		s.after(t0+2*time.Second, func() { s.views(bc, "b", "c") })
		s.after(t0+2500*ms, func() { s.command("b") })
	}, "answer", 1, 2},
	{"claim stored too late to start", func(s *sim, t0 time.Duration) {
		req, _ := ParseRequest([]byte(`{"jsonrpc":"2.0","id":"1","method":"shutoff","deadline_ms":120}`))
		a := s.hosts["a"]
		s.do(a, a.state.Request(s.now, testInput(candidates(s)), req))
	}, "-32001 deadline", 0, 1},
	{"owner pauses before the claim and wakes after the takeover", func(s *sim, t0 time.Duration) {
		s.hosts["a"].paused = s.now.Add(3 * time.Second)
		s.command("a")
		s.after(t0+2*time.Second, func() { s.views(bc, "b", "c") })
		s.after(t0+2200*ms, func() { s.command("b") })
		s.after(t0+3100*ms, func() { s.views(ab, "a") }) // its view is still stale
		s.after(t0+3200*ms, func() { s.command("a") })
	}, "-32002 claim_not_stored", 1, 3},
	{"majority lost", func(s *sim, t0 time.Duration) {
		s.setView("a", ab, false)
		s.command("a")
	}, "-32002 no_majority", 0, 1},
	{"majority lost while waiting for the claim", func(s *sim, t0 time.Duration) {
		s.command("a")
		s.after(t0+2*ms, func() { s.setView("a", ab, false) })
	}, "-32002 no_majority", 0, 1},
	{"admitting host is leaving", func(s *sim, t0 time.Duration) {
		s.hosts["c"].runner.Leave()
		s.command("a")
	}, "-32001 leaving", 0, 1},
	{"minority side of a partition", func(s *sim, t0 time.Duration) {
		s.cut("a")
		s.setView("a", Owners{"a", ""}, false)
		s.command("a")
		s.after(t0+time.Second, func() { s.views(bc, "b", "c"); s.command("b") })
	}, "answer", 1, 2},
	{"owners on two sides before anyone noticed", func(s *sim, t0 time.Duration) {
		s.cut("a")
		s.command("a")
		s.after(t0+500*ms, func() { s.views(bc, "b", "c"); s.command("b") })
	}, "-32002 claim_not_stored", 1, 2},
	{"owners on two sides that disagree about the majority", func(s *sim, t0 time.Duration) {
		s.views(bc, "b", "c")
		s.command("a")
		s.after(t0+500*ms, func() { s.command("b") })
	}, "-32002 claim_not_stored", 1, 2},
	{"answer larger than a datagram", func(s *sim, t0 time.Duration) {
		s.setup(1, simBackend{answer: strings.Repeat("x", MaxAnswerBytes)})
		s.command("a")
	}, "-32002 answer_too_large", 1, 1},
	{"request id reused with other content", func(s *sim, t0 time.Duration) {
		s.command("a")
		s.after(t0+time.Second, func() { s.request("a", "1", "restore", candidates(s)...) })
	}, "-32003 digest_mismatch", 1, 2},
	{"request id reused at a host that joined", func(s *sim, t0 time.Duration) {
		s.command("a")
		s.after(t0+time.Second, func() { s.restart("a"); s.views(ab, "a") })
		s.after(t0+2*time.Second, func() { s.request("a", "1", "restore", candidates(s)...) })
	}, "-32003 digest_mismatch", 1, 2},
	{"claims full", func(s *sim, t0 time.Duration) {
		s.hosts["b"].state.table.maxClaims = 0
		s.command("a")
	}, "-32002 claims_full", 0, 1},
}

// TestDrain guards against a shutdown that cuts off commands in progress.
func TestDrain(t *testing.T) {
	s := newSim(t, "a", "b", "c")
	t0 := s.warm(ab)
	s.setup(1, simBackend{service: time.Second})
	s.command("a")
	s.runTo(t0 + 500*ms)
	s.hosts["a"].state.Leave()
	s.hosts["c"].runner.Leave()
	s.views(bc, "a", "b", "c")
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
			tc.play(s, t0)
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
