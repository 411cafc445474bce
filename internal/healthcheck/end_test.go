package healthcheck

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

// Guards against a refused check of another data centre that nobody hears of or that counts as silence over this one's links,
// and against ends that are believed on the word of one host although they are contested.
func TestEnd(t *testing.T) {
	const refuses = affinity.Refuses
	for _, tt := range []struct {
		name       string
		do         func(s *State)
		want, sure bool
		health     affinity.Health
	}{
		{"nothing", func(*State) {}, false, false, affinity.Answers},
		{"no answer", func(s *State) { s.Receive(findingOf(1, affinity.NoAnswer, now), now) }, false, false, affinity.Suspect},
		{"refused another host", func(s *State) { s.Receive(findingOf(1, refuses, now), now) }, true, false, affinity.Suspect},
		{"refused two hosts", func(s *State) {
			s.Receive(findingOf(1, refuses, now), now)
			s.Receive(findingOf(2, refuses, now), now)
		}, true, true, affinity.Silent},
		{"refused this host", func(s *State) { s.Checked(instance, refuses, now) }, true, true, affinity.Suspect},
		{"refused another host, unanswered packets", func(s *State) {
			s.Doubt(instance, now)
			s.Receive(findingOf(1, refuses, now), now)
		}, true, true, affinity.Suspect},
		{"refused this host and another one", func(s *State) {
			s.Checked(instance, refuses, now)
			s.Receive(findingOf(1, refuses, now), now)
		}, true, true, affinity.Silent},
		{"refused two hosts of another data centre", func(s *State) {
			s.Receive(findingOf(71, refuses, now), now)
			s.Receive(findingOf(72, refuses, now), now)
		}, true, true, affinity.Answers},
		{"accepted afterwards", func(s *State) {
			s.Receive(findingOf(1, refuses, now-time.Second), now)
			s.Receive(findingOf(2, affinity.Accepts, now), now)
		}, false, false, affinity.Suspect},
		{"accepted before", func(s *State) {
			s.Receive(findingOf(1, refuses, now), now)
			s.Receive(findingOf(2, affinity.AcceptsAgain, now-time.Second), now)
		}, true, false, affinity.Suspect},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newState(0, 3)
			tt.do(s)
			end, ok := s.End(instance, now)
			if ok != tt.want || end.Sure != tt.sure {
				t.Errorf("end %+v, known %v, want %v, sure %v", end, ok, tt.want, tt.sure)
			}
			if got := s.Assess(instance, now).Health; got != tt.health {
				t.Errorf("%v, want %v", got, tt.health)
			}
			if _, ok := s.End(instance, now+evidenceLifetime); ok {
				t.Error("an end is known after the lifetime of its evidence")
			}
		})
	}
}

// Guards against a checker that tells a host which asks again "unchecked" although it has just found that the backend server
// refuses connections: that host would take the new process for the one of before.
func TestUncheckedDoesNotHideARecentResult(t *testing.T) {
	s := newState(0, 3)
	s.Checked(instance, affinity.Refuses, now)
	s.Checked(instance, affinity.Unchecked, now+100*time.Millisecond)
	answer, check := s.Asked(addr(1), instance, now+200*time.Millisecond)
	if check || answer == nil || answer.Outcome != affinity.Refuses {
		t.Errorf("answer %+v, check %v, want the refused connection", answer, check)
	}
}

// Guards against ended backend servers that all hosts check, or none, and against a host that never learns of the start.
func TestProbe(t *testing.T) {
	const hosts = 9
	for _, near := range []bool{true, false} {
		checkers, asking := 0, 0
		for i := range hosts {
			s := newState(i, hosts)
			s.Receive(findingOf((i+1)%hosts, affinity.Refuses, now), now)
			if p := s.Probe(instance, near, now+time.Second); p.CheckSelf {
				checkers++
			} else if len(p.Ask) > 0 {
				t.Errorf("host %d asks although it has just heard of the backend server", i)
			}
			s.Sweep(now + 2*recordRetention)
			if p := s.Probe(instance, near, now+2*recordRetention); len(p.Ask) > 0 {
				asking++
			}
		}
		if want := map[bool]int{true: checkersPerServer}[near]; checkers != want {
			t.Errorf("near %v: %d hosts check the backend server, want %d", near, checkers, want)
		}
		if asking < hosts-checkersPerServer {
			t.Errorf("near %v: %d hosts ask when they have heard nothing for long", near, asking)
		}
	}
}
