package command

import (
	"fmt"
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures of the load test: the backend servers and slots of a service of
// today, and the run time of its commands.
const (
	loadBackends = 14
	loadSlots    = 2
	loadRunTime  = 150 * time.Millisecond
)

// backendSlots limits the slots of each backend server.
type backendSlots struct {
	limit int
	next  Token
	held  map[Token]netip.AddrPort
	busy  map[netip.AddrPort]int
}

func newBackendSlots(limit int) *backendSlots {
	return &backendSlots{limit: limit, held: make(map[Token]netip.AddrPort), busy: make(map[netip.AddrPort]int)}
}

func (b *backendSlots) Check(_ time.Time, backend netip.AddrPort, _ time.Time) Refusal {
	if b.busy[backend] >= b.limit {
		return SlotsBusy
	}
	return ""
}

func (b *backendSlots) Acquire(now time.Time, backend netip.AddrPort, deadline time.Time) (Token, Refusal) {
	if refusal := b.Check(now, backend, deadline); refusal != "" {
		return 0, refusal
	}
	b.next++
	b.held[b.next] = backend
	b.busy[backend]++
	return b.next, ""
}

func (b *backendSlots) Release(t Token) {
	b.busy[b.held[t]]--
	delete(b.held, t)
}

// loadResult is what a load of commands led to.
type loadResult struct {
	commands, answered, unknown int
	notRun                      map[Reason]int
	latency                     *hdrhistogram.Histogram // of answered commands in microseconds
	slots                       float64                 // share of the slots' time in use
	calls                       int                     // messages that ask for a run
}

// runLoad sends commands to the owner a, in part idempotent ones, at random
// times and at a rate relative to the slots' capacity. Hosts c, d and e admit.
func runLoad(tb testing.TB, load float64, seconds int) *loadResult {
	s := newSim(tb, "a", "b", "c", "d", "e")
	for _, id := range []string{"c", "d", "e"} {
		s.hosts[id].runner.slots = newBackendSlots(loadSlots)
	}
	var all []Candidate
	for n := 1; n <= loadBackends; n++ {
		s.setup(n, simBackend{service: loadRunTime, varies: true})
		all = append(all, Candidate{s.backend(n), string("cde"[n%3])})
	}
	s.warm(ab)
	r := &loadResult{notRun: make(map[Reason]int), latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	s.fault = func(kind, _, _ string) simFault {
		if kind == MethodRun {
			r.calls++
		}
		return simFault{}
	}
	start, rate := s.now, load*loadBackends*loadSlots/loadRunTime.Seconds()
	end := start.Add(time.Duration(seconds) * time.Second)
	s.measureTo = end
	var sent []time.Duration
	for t := start; t.Before(end); t = t.Add(time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second))) {
		id, method := fmt.Sprint(len(sent)), [...]string{"shutoff", "shutoff", "status"}[len(sent)%3]
		order := rand.New(rand.NewSource(int64(len(sent)))).Perm(len(all))
		s.after(t.Sub(testStart), func() {
			s.request("a", id, method, all[order[0]], all[order[1]], all[order[2]], all[order[3]])
		})
		sent = append(sent, t.Sub(testStart))
	}
	s.runTo(end.Sub(testStart) + 10*time.Second)
	for i, at := range sent {
		r.add(tb, s, fmt.Sprint(i), at)
	}
	var busy time.Duration
	for _, b := range s.backends {
		busy += b.busyFor
		if b.most > loadSlots {
			tb.Errorf("%d commands at once at a backend server with %d slots", b.most, loadSlots)
		}
	}
	r.slots = busy.Seconds() / (float64(seconds) * loadBackends * loadSlots)
	return r
}

func (r *loadResult) add(tb testing.TB, s *sim, id string, sent time.Duration) {
	if len(s.answers[id]) != 1 {
		tb.Fatalf("command %s: %d answers", id, len(s.answers[id]))
	}
	r.commands++
	switch a := s.answers[id][0]; {
	case a.code == 0:
		r.answered++
		_ = r.latency.RecordValue((a.at - sent).Microseconds())
	case a.reason == ReasonNoAnswer:
		r.unknown++
	default: // an idempotent command without a slot is not called "not run"
		r.notRun[a.reason]++
		if s.ran(id) > 0 {
			tb.Errorf("command %s ran, and was refused with %s", id, a.reason)
		}
	}
}

// BenchmarkSlotLoad measures what commands meet at a load relative to the
// capacity of the slots, on the test's own clock.
func BenchmarkSlotLoad(b *testing.B) {
	for _, load := range []float64{0.5, 0.9, 1.1, 2} {
		b.Run(fmt.Sprintf("load=%.0f%%", 100*load), func(b *testing.B) {
			for b.Loop() {
				r := runLoad(b, load, 30)
				percent := func(n int) float64 { return 100 * float64(n) / float64(r.commands) }
				for reason, n := range r.notRun {
					b.ReportMetric(percent(n), string(reason)+"-%")
				}
				b.ReportMetric(percent(r.answered), "answered-%")
				b.ReportMetric(percent(r.unknown), "unknown-%")
				b.ReportMetric(float64(r.latency.ValueAtQuantile(50))/1000, "p50-ms")
				b.ReportMetric(float64(r.latency.ValueAtQuantile(99))/1000, "p99-ms")
				b.ReportMetric(100*r.slots, "slots-%")
				b.ReportMetric(float64(r.calls)/2/float64(r.commands), "calls/command")
			}
		})
	}
}
