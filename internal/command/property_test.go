package command

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// fleet drives a sim with five hosts whose views of each other are updated with
// a delay.
type fleet struct {
	*sim
	ids   []string
	side  map[string]int
	grace time.Duration
	dead  map[[2]string]bool // key {x, y}: host x has declared host y dead
}

func newFleet(t *testing.T, seed int64) *fleet {
	ids := []string{"a", "b", "c", "d", "e"}
	f := &fleet{sim: newSim(t, ids...), ids: ids, side: make(map[string]int), dead: make(map[[2]string]bool)}
	f.rand = rand.New(rand.NewSource(seed))
	if seed%2 == 0 {
		f.grace = 2 * time.Second
	}
	for _, id := range ids {
		f.refreshView(id)
	}
	f.runTo(DefaultRetention + time.Second)
	f.fault = f.randomFault
	return f
}

func (f *fleet) chance(p float64) bool { return f.rand.Float64() < p }

func (f *fleet) randomDuration(d time.Duration) time.Duration {
	return time.Duration(f.rand.Int63n(int64(d)))
}

func (f *fleet) randomFault(_, from, to string) simFault {
	fault := simFault{lost: f.chance(0.07), duplicate: f.chance(0.1), delay: f.randomDuration(5 * time.Millisecond)}
	if f.chance(0.1) {
		fault.delay = f.randomDuration(3 * time.Second)
	}
	if from != "" && to != "" && f.side[from] != f.side[to] {
		fault.lost = true
	}
	return fault
}

func (f *fleet) reaches(from, to string) bool {
	h := f.hosts[to]
	return !h.state.leaving && (from == to || !h.dead && !h.paused.After(f.now) && f.side[from] == f.side[to])
}

// refreshView gives a host a view that matches the present state of the fleet. If
// the host reaches a host again that had declared it dead, it learns that.
func (f *fleet) refreshView(id string) {
	var alive []string
	h := f.hosts[id]
	for _, other := range f.ids {
		h.process[other] = f.hosts[other].boot
		if !f.reaches(id, other) {
			delete(h.process, other)
			f.dead[[2]string{id, other}] = true
			continue
		}
		alive = append(alive, other)
		if f.dead[[2]string{other, id}] {
			delete(f.dead, [2]string{other, id})
			h.state.SetConditions(f.now, Conditions{})
		}
	}
	if !h.dead {
		f.perform(h, h.state.ForwardResults(f.now,
			h.results.TakeOrphaned(f.now, func(host string) uint64 { return h.process[host] })))
	}
	h.state.SetMajorityGrace(f.grace)
	alive = append(alive, "", "")
	f.setView(id, Owners{alive[0], alive[1]}, 2*(len(alive)-2) > len(f.ids))
}

// refreshViewsLater updates the view of each host after a random delay of 1 to
// 2.5 s.
func (f *fleet) refreshViewsLater() {
	for _, id := range f.ids {
		f.at(f.now.Add(time.Second+f.randomDuration(1500*time.Millisecond)), f.hosts[id], func() { f.refreshView(id) })
	}
}

func (f *fleet) event(kind, n int) {
	id := f.ids[n%len(f.ids)]
	h := f.hosts[id]
	switch kind {
	case 0:
		h.dead = true
	case 1:
		f.restart(id)
		f.at(f.now.Add(f.randomDuration(time.Second)), h, func() { f.refreshView(id) })
	case 2:
		h.paused = f.now.Add(f.randomDuration(4 * time.Second))
		f.at(h.paused, nil, f.refreshViewsLater)
	case 3:
		f.side[id] = 1 - f.side[id]
	case 4:
		clear(f.side)
	case 5: // planned stop, with and without a handover of the claims
		if n/len(f.ids)%2 == 0 {
			f.replace(id, func() {})
			return
		}
		leave(id)(f.sim)
	default: // a request; few ids, so that the same one often reaches several hosts
		request := n % (kind - 5)
		f.request(id, fmt.Sprint(request), method(request),
			Candidate{f.backend(1), "c"}, Candidate{f.backend(2), "d"}, Candidate{f.backend(3), "b"})
		return
	}
	f.refreshViewsLater()
}

// method makes the request with the highest number idempotent. It may run several
// times, but the answer "not run" must be true for it as well.
func method(request int) string {
	if request == 7 {
		return "status"
	}
	return "shutoff"
}

// runEvents runs the events of a case, spread over less than the retention period,
// and returns a description of the first violation, empty if there is none.
func (f *fleet) runEvents(events []uint16) string {
	t0 := f.now.Sub(testStart)
	for n := 1; n <= 3; n++ {
		f.setBackend(n, simBackend{shedFirst: f.rand.Intn(8), runTime: f.randomDuration(2 * time.Second)})
	}
	at := make([]time.Duration, len(events))
	for i := range at {
		at[i] = t0 + f.randomDuration(20*time.Second)
	}
	sort.Slice(at, func(i, j int) bool { return at[i] < at[j] })
	for i, e := range events {
		f.atOffset(at[i], func() { f.event(int(e%14), int(e/14)) })
	}
	f.runTo(t0 + 29*time.Second)
	return f.check()
}

func (f *fleet) check() string {
	for n := range 8 {
		if fault := f.checkRequest(fmt.Sprint(n), method(n) == "status"); fault != "" {
			return fault
		}
	}
	return ""
}

// checkRequest compares the answers to a request with its runs and returns a
// description of a violation, empty if there is none.
func (f *fleet) checkRequest(id string, idempotent bool) string {
	runs := f.runs(id)
	if runs > 1 && !idempotent {
		return fmt.Sprintf("request %s ran %d times", id, runs)
	}
	for _, a := range f.answers[id] {
		if a.code == CodeNotRun && runs != 0 {
			return fmt.Sprintf("request %s ran, but was answered %s", id, a.body)
		}
		if a.code == 0 && runs == 0 {
			return fmt.Sprintf("request %s was answered without a run: %s", id, a.body)
		}
	}
	return ""
}

// TestAtMostOnce guards against non-idempotent commands that run more than once
// and against false "not run" answers, under random sequences of losses,
// duplicates, delays, deaths, restarts, pauses, partitions and repeats.
func TestAtMostOnce(t *testing.T) {
	testAtMostOnce(t, func() Slots { return &freeSlots{} })
}

// TestAtMostOnceWaiting guards against the same failures while commands are queued
// for slots.
func TestAtMostOnceWaiting(t *testing.T) {
	testAtMostOnce(t, func() Slots { return newBackendSlots(1) })
}

func testAtMostOnce(t *testing.T, slots func() Slots) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 200
	byCode := make(map[int]int) // number of answers
	properties := gopter.NewProperties(parameters)
	properties.Property("non-idempotent commands run at most once and the answer not run is true", prop.ForAll(
		func(seed int64, events []uint16) string {
			f := newFleet(t, seed)
			f.slots = slots
			for _, h := range f.hosts {
				h.runner.slots = slots()
			}
			fault := f.runEvents(events)
			for _, answers := range f.answers {
				for _, a := range answers {
					byCode[a.code]++
				}
			}
			return fault
		},
		gen.Int64(), gen.SliceOfN(25, gen.UInt16()),
	))
	properties.TestingRun(t)
	t.Logf("answers by code: %v", byCode)
	for _, code := range []int{0, CodeNotRun, CodeUnknown} {
		if byCode[code] < 50 {
			t.Errorf("%d answers with code %d, want at least 50 to cover it", byCode[code], code)
		}
	}
}
