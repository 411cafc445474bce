package command

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// stop performs a planned stop of a host and calls left once the host has left.
func (s *sim) stop(id string, left func()) {
	h := s.hosts[id]
	s.perform(h, h.state.StartHandover(s.now))
	s.whenHandedOver(h, left)
}

func (s *sim) whenHandedOver(h *simHost, left func()) {
	if h.state.UnconfirmedBuckets(s.now) > 0 {
		s.at(s.now.Add(10*ms), h, func() { s.whenHandedOver(h, left) })
		return
	}
	leave(h.id)(s)
	left()
}

// replace performs a planned stop of a host and starts its replacement 1 s after
// it has left.
func (f *fleet) replace(id string, done func()) {
	f.stop(id, func() {
		f.refreshViewsLater()
		f.at(f.now.Add(time.Second), nil, func() {
			f.restart(id)
			f.refreshViewsLater()
			f.at(f.now.Add(100*ms), nil, done)
		})
	})
}

func (f *fleet) replaceAll(ids []string, done func()) {
	if len(ids) == 0 {
		done()
		return
	}
	f.replace(ids[0], func() { f.replaceAll(ids[1:], done) })
}

// TestReplacementsWithinRetention guards against commands that get the answer
// claims_incomplete because hosts are replaced one after another faster than
// their replacements become complete by themselves.
func TestReplacementsWithinRetention(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		for seed := range int64(8) {
			f := newFleet(t, seed)
			f.fault = func(string, string, string) simFault {
				return simFault{lost: lossy && f.chance(0.05), duplicate: lossy && f.chance(0.1), delay: f.randomDuration(20 * ms)}
			}
			began, sent, done := f.now, 0, time.Duration(0)
			f.replaceAll(f.ids, func() { done = f.now.Sub(began) })
			for done == 0 && f.now.Sub(began) < 4*DefaultRetention {
				f.sendSteady(sent)
				sent++
				f.runTo(f.now.Sub(testStart) + 200*ms)
			}
			f.runTo(f.now.Sub(testStart) + 10*time.Second)
			if done == 0 || done >= DefaultRetention {
				t.Errorf("seed %d: the replacements took %s, want less than the retention period", seed, done)
			}
			for n := range sent {
				id := fmt.Sprint("steady-", n)
				if got := f.lastAnswer(id); got == "-32002 "+string(ReasonClaimsIncomplete) {
					t.Errorf("seed %d, loss %v: command %d of %d: %s", seed, lossy, n, sent, got)
				}
				if fault := f.checkRequest(id, false); fault != "" {
					t.Errorf("seed %d, loss %v: %s", seed, lossy, fault)
				}
			}
		}
	}
}

// sendSteady sends command n to a serving host. The choice rotates with n.
func (f *fleet) sendSteady(n int) {
	for i := range f.ids {
		h := f.hosts[f.ids[(n+i)%len(f.ids)]]
		if !h.state.leaving && h.state.conditions.Serving {
			f.request(h.id, fmt.Sprint("steady-", n), "shutoff", Candidate{f.backend(1), h.id})
			return
		}
	}
}

// TestConcurrentStops guards against two owners that confirm each other's buckets
// and both leave, after which no owner is complete.
func TestConcurrentStops(t *testing.T) {
	for _, first := range []string{"a", "b"} {
		for gap := range 8 {
			s := newSim(t, "a", "b", "c", "d")
			t0 := s.warmUp(ab)
			owners, left := []string{"a", "b", "c", "d"}, 0
			stop := func(id string) func() {
				return func() {
					s.stop(id, func() {
						left++
						owners = slices.DeleteFunc(owners, func(o string) bool { return o == id })
						at(50*ms, setViews(Owners{owners[0], owners[1]}, "a", "b", "c", "d"))(s)
					})
				}
			}
			second := map[string]string{"a": "b", "b": "a"}[first]
			s.atOffset(t0+ms, stop(first))
			s.atOffset(t0+ms+time.Duration(gap)*ms/2, stop(second))
			s.runTo(t0 + 10*sec)
			if left != 2 || !s.hosts["c"].state.complete(s.now, testService, 7) {
				t.Errorf("%s first by %d/2 ms: %d hosts left, the next owner covers %s", first, gap, left,
					s.hosts["c"].state.boundedCoverage(s.now, testService, 7))
			}
		}
	}
}
