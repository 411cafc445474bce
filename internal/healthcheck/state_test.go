package healthcheck

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

// now is the present in tests that need one point in time only.
const now = time.Minute

var instance = affinity.Instance{Identity: 0x50bab19318, StartedMs: 1765000000000}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7700)
}

// newState returns the state of host i of a data centre of n hosts.
func newState(i, n int) *State {
	s := New(addr(i), rand.New(rand.NewPCG(uint64(i), 1)))
	var peers []netip.AddrPort
	for j := range n {
		if j != i {
			peers = append(peers, addr(j))
		}
	}
	s.SetPeers(peers)
	return s
}

// findingOf returns the finding of host i at a time.
func findingOf(i int, o affinity.CheckOutcome, at time.Duration) Finding {
	return Finding{Instance: instance, Outcome: o, Checker: Digest(addr(i)), At: at}
}

// doubtsWithoutConclusion has a host check the backend server itself because its checkers came to no conclusion.
func doubtsWithoutConclusion(s *State) {
	for n := maxAttempts; n >= 0; n-- {
		s.Doubt(instance, now-100*time.Millisecond-time.Duration(n)*answerTimeout)
	}
	s.Checked(instance, affinity.NoAnswer, now-100*time.Millisecond)
}

// Guards against a backend server that is given up on the check of one host, whose own link may be bad or whose process may run
// late, even if callers of other hosts repeat their data, and against one that is kept although several hosts agree.
func TestAssess(t *testing.T) {
	const noAnswer = affinity.NoAnswer
	for _, tt := range []struct {
		name  string
		hosts int
		do    func(s *State)
		want  affinity.Health
	}{
		{"nothing", 3, func(*State) {}, affinity.Answers},
		{"own packets only", 3, func(s *State) { s.Doubt(instance, now) }, affinity.Answers},
		{"own check only", 3, func(s *State) { s.Checked(instance, noAnswer, now) }, affinity.Suspect},
		{"own packets and check", 3, func(s *State) { s.Doubt(instance, now); s.Checked(instance, noAnswer, now) }, affinity.Suspect},
		{"check of another", 3, func(s *State) { s.Receive(findingOf(1, noAnswer, now), now) }, affinity.Suspect},
		{"the same check told twice", 3, func(s *State) {
			s.Receive(findingOf(1, noAnswer, now), now)
			s.Receive(findingOf(1, noAnswer, now), now)
		}, affinity.Suspect},
		{"checks of two others", 3, func(s *State) {
			s.Receive(findingOf(1, noAnswer, now), now)
			s.Receive(findingOf(2, affinity.Refuses, now), now)
		}, affinity.Silent},
		{"own packets, check of another", 3, func(s *State) { s.Doubt(instance, now); s.Receive(findingOf(1, noAnswer, now), now) }, affinity.Suspect},
		{"own check, packets of another", 3, func(s *State) { s.Asked(addr(1), instance, now); s.Checked(instance, noAnswer, now) }, affinity.Suspect},
		{"own check, check of another", 3, func(s *State) {
			s.Checked(instance, noAnswer, now)
			s.Receive(findingOf(1, noAnswer, now), now)
		}, affinity.Silent},
		{"checks of two others, a third one's is accepted later", 4, func(s *State) {
			s.Receive(findingOf(1, noAnswer, now-time.Second), now)
			s.Receive(findingOf(2, noAnswer, now-time.Second), now)
			s.Receive(findingOf(3, affinity.Accepts, now), now)
		}, affinity.Suspect},
		{"the same, told in another order", 4, func(s *State) {
			s.Receive(findingOf(3, affinity.Accepts, now), now)
			s.Receive(findingOf(1, noAnswer, now-time.Second), now)
			s.Receive(findingOf(2, noAnswer, now-time.Second), now)
		}, affinity.Suspect},
		{"a third one's check was accepted before", 4, func(s *State) {
			s.Receive(findingOf(3, affinity.Accepts, now-time.Second), now)
			s.Receive(findingOf(1, noAnswer, now), now)
			s.Receive(findingOf(2, noAnswer, now), now)
		}, affinity.Silent},
		{"another data centre saw a start", 4, func(s *State) {
			s.Receive(findingOf(1, noAnswer, now-time.Second), now)
			s.Receive(findingOf(2, noAnswer, now-time.Second), now)
			s.Receive(findingOf(71, affinity.AcceptsAgain, now), now)
		}, affinity.Silent},
		{"the other one's check succeeds later", 3, func(s *State) {
			s.Doubt(instance, now)
			s.Receive(findingOf(1, noAnswer, now-time.Second), now)
			s.Receive(findingOf(1, affinity.Accepts, now), now)
		}, affinity.Answers},
		{"inconclusive checks", 3, func(s *State) { s.Doubt(instance, now); s.Receive(findingOf(1, affinity.Unchecked, now), now) }, affinity.Answers},
		{"outdated check", 3, func(s *State) {
			s.Doubt(instance, now)
			s.Receive(findingOf(1, noAnswer, now-evidenceLifetime), now)
		}, affinity.Answers},
		{"outdated packets", 3, func(s *State) {
			s.Doubt(instance, now-evidenceLifetime)
			s.Receive(findingOf(1, noAnswer, now), now)
		}, affinity.Suspect},
		{"own finding that comes back", 3, func(s *State) { s.Doubt(instance, now); s.Receive(findingOf(0, noAnswer, now), now) }, affinity.Answers},
		{"earlier start of the backend server", 3, func(s *State) {
			earlier := findingOf(1, noAnswer, now)
			earlier.Instance.StartedMs--
			s.Doubt(instance, now)
			s.Receive(earlier, now)
		}, affinity.Answers},
		{"own check after one attempt without a conclusion", 3, func(s *State) {
			s.Doubt(instance, now-500*time.Millisecond)
			s.Doubt(instance, now-100*time.Millisecond)
			s.Checked(instance, noAnswer, now-100*time.Millisecond)
		}, affinity.Suspect},
		{"own check after two attempts without a conclusion", 3, doubtsWithoutConclusion, affinity.Silent},
		{"the same, then another one's check is accepted", 3, func(s *State) {
			doubtsWithoutConclusion(s)
			s.Receive(findingOf(1, affinity.Accepts, now), now)
		}, affinity.Suspect},
		{"only host of its data centre", 1, func(s *State) { s.Doubt(instance, now); s.Checked(instance, noAnswer, now) }, affinity.Silent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newState(0, tt.hosts)
			tt.do(s)
			if got := s.Assess(instance, now); got.Health != tt.want {
				t.Errorf("%v, want %v", got.Health, tt.want)
			}
		})
	}
}

// Guards against a false verdict that stays in force although nobody finds it confirmed.
func TestAssessmentExpires(t *testing.T) {
	s := newState(0, 3)
	s.Doubt(instance, now)
	s.Receive(findingOf(1, affinity.NoAnswer, now), now)
	if got := s.Assess(instance, now+evidenceLifetime); got.Health != affinity.Answers {
		t.Errorf("%v after %v without confirmation", got.Health, evidenceLifetime)
	}
}

// Guards against hosts that check a backend server without limit: each host of a large fleet has callers whose packets go
// unanswered, for seconds.
func TestCheckersAreBounded(t *testing.T) {
	for _, n := range []int{2, 9, 39, 815} {
		checkers := map[netip.AddrPort]bool{}
		for i := range n {
			s := newState(i, n)
			for at := now; at < now+2*time.Second; at += reuseTime {
				p := s.Doubt(instance, at)
				if p.CheckSelf {
					checkers[addr(i)] = true
				}
				for _, a := range p.Ask {
					checkers[a] = true
				}
				s.Receive(findingOf(n, affinity.Accepts, at), at)
			}
		}
		if len(checkers) > checkersPerServer {
			t.Errorf("%d of %d hosts check one backend server, want at most %d", len(checkers), n, checkersPerServer)
		}
	}
}

// Guards against doubts that stay unresolved because the checkers are down: the hosts that rank next are asked, and then the
// host checks the backend server itself.
func TestCheckersThatDoNotAnswer(t *testing.T) {
	const n = 10
	i := 0
	for newState(i, n).Doubt(instance, now).CheckSelf {
		i++ // not one of the first checkers
	}
	s := newState(i, n)
	at, asked := now, map[netip.AddrPort]bool{}
	for range maxAttempts {
		for _, a := range s.Doubt(instance, at).Ask {
			if asked[a] {
				t.Errorf("%v, which did not answer, was asked again", a)
			}
			asked[a] = true
		}
		if p := s.Doubt(instance, at+answerTimeout/2); p.CheckSelf || len(p.Ask) > 0 {
			t.Errorf("plan %+v while checkers have time to answer", p)
		}
		at += answerTimeout
	}
	if p := s.Doubt(instance, at); !p.CheckSelf {
		t.Fatalf("plan %+v after %d attempts without an answer, want a check of its own", p, maxAttempts)
	}
	s.Checked(instance, affinity.NoAnswer, at)
	if got := s.Assess(instance, at).Health; got != affinity.Silent {
		t.Errorf("%v by the own check of a host that has no other one to ask, want silent", got)
	}
}

// Guards against a check for each of the hosts that ask while one runs or has just ended, and against hosts that wait for an
// answer in vain.
func TestOneCheckAnswersAll(t *testing.T) {
	s := newState(0, 9)
	checks := 0
	for i := 1; i < 9; i++ {
		if _, check := s.Asked(addr(i), instance, now); check {
			checks++ // the router starts one and ignores the others
		}
	}
	if checks == 0 {
		t.Fatal("no check is started")
	}
	if _, waiting := s.Checked(instance, affinity.Accepts, now+200*time.Millisecond); len(waiting) != 8 {
		t.Errorf("%d hosts get the result, want 8", len(waiting))
	}
	answer, check := s.Asked(addr(3), instance, now+300*time.Millisecond)
	if check || answer == nil || answer.Outcome != affinity.Accepts {
		t.Errorf("answer %+v, check %v; want the result of the last check", answer, check)
	}
	if _, check := s.Asked(addr(3), instance, now+time.Second); !check {
		t.Error("an old result is reused")
	}
}

// Guards against memory that grows with made-up backend servers, and with hosts that ask.
func TestRecordsAreBounded(t *testing.T) {
	s := newState(0, 3)
	for i := range 2 * maxRecords {
		s.Receive(Finding{Instance: affinity.Instance{Identity: uint64(i)}, Outcome: affinity.NoAnswer, Checker: 7, At: now}, now)
	}
	if len(s.records) > maxRecords {
		t.Errorf("%d records", len(s.records))
	}
	s.Sweep(now + recordRetention + time.Second)
	if len(s.records) != 0 {
		t.Errorf("%d records after they are outdated", len(s.records))
	}
	for i := range 4 * maxWaiting {
		s.Asked(addr(i), instance, now)
	}
	if _, waiting := s.Checked(instance, affinity.Accepts, now); len(waiting) != maxWaiting {
		t.Errorf("%d hosts wait, want %d", len(waiting), maxWaiting)
	}
}
