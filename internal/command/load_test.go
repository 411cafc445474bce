package command

import (
	"fmt"
	"math/rand"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The backend servers and slots of a service of today, and the mean run time
// of its commands.
const (
	loadBackends = 14
	loadSlots    = 2
	loadRunTime  = 150 * time.Millisecond
)

// backendSlots limits the slots of each backend server, which a token names.
type backendSlots struct {
	limit int
	busy  map[Token]int
}

func newBackendSlots(limit int) *backendSlots { return &backendSlots{limit, make(map[Token]int)} }

func slotOf(backend netip.AddrPort) Token { return Token(backend.Addr().As4()[3]) }

func (b *backendSlots) Check(_ time.Time, backend netip.AddrPort, _ time.Time) Refusal {
	if b.busy[slotOf(backend)] >= b.limit {
		return SlotsBusy
	}
	return ""
}

func (b *backendSlots) Acquire(now time.Time, backend netip.AddrPort, deadline time.Time) (Token, Refusal) {
	refusal := b.Check(now, backend, deadline)
	if refusal == "" {
		b.busy[slotOf(backend)]++
	}
	return slotOf(backend), refusal
}

func (b *backendSlots) Release(t Token) { b.busy[t]-- }

// runLoad sends commands to the owner a, in part idempotent ones, at random
// times and at a rate relative to the slots' capacity. Hosts c, d and e admit.
// It returns the figures to report.
func runLoad(tb testing.TB, load float64, length time.Duration) map[string]float64 {
	s := newSim(tb, "a", "b", "c", "d", "e")
	var all []Candidate
	for n := 1; n <= loadBackends; n++ {
		host := string("cde"[n%3])
		s.hosts[host].runner.slots = newBackendSlots(loadSlots)
		s.setup(n, simBackend{service: loadRunTime, varies: true})
		all = append(all, Candidate{s.backend(n), host})
	}
	start := s.warm(ab)
	figures, calls := map[string]float64{}, 0
	s.fault = func(kind, from, _ string) simFault {
		if kind == MethodRun && from == "a" {
			calls++
		}
		return simFault{}
	}
	s.measureTo = s.now.Add(length)
	var sent []time.Duration
	rate := load * loadBackends * loadSlots / loadRunTime.Seconds()
	for t := start; t < start+length; t += time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second)) {
		id, method := fmt.Sprint(len(sent)), [...]string{"shutoff", "shutoff", "status"}[len(sent)%3]
		order := rand.New(rand.NewSource(int64(len(sent)))).Perm(len(all))
		s.after(t, func() { s.request("a", id, method, all[order[0]], all[order[1]], all[order[2]], all[order[3]]) })
		sent = append(sent, t)
	}
	s.runTo(start + length + 10*time.Second)
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i, at := range sent {
		id := fmt.Sprint(i)
		what := s.last(id)
		figures[strings.ReplaceAll(what, " ", "-")+"/%"] += 100 / float64(len(sent))
		if what == "answer" {
			_ = latency.RecordValue((s.answers[id][0].at - at).Microseconds())
		} else if a := s.answers[id]; len(a) != 1 || a[0].reason == ReasonNoSlot && s.ran(id) > 0 {
			tb.Errorf("command %s ran %d times; answers: %v", id, s.ran(id), a)
		}
	}
	for _, b := range s.backends {
		figures["slots/%"] += 100 * b.busyFor.Seconds() / length.Seconds() / loadBackends / loadSlots
		if b.most > loadSlots {
			tb.Errorf("%d commands at once at a backend server with %d slots", b.most, loadSlots)
		}
	}
	figures["p50-ms"] = float64(latency.ValueAtQuantile(50)) / 1000
	figures["p99-ms"] = float64(latency.ValueAtQuantile(99)) / 1000
	figures["calls/command"] = float64(calls) / float64(len(sent))
	return figures
}

// TestSlotLoad guards against commands that exceed the slots under load, and
// that are refused below the slots' capacity.
func TestSlotLoad(t *testing.T) {
	if figures := runLoad(t, 0.9, 8*time.Second); figures["answer/%"] < 99 {
		t.Errorf("figures at 90%% of the capacity: %v", figures)
	}
}

// BenchmarkSlotLoad measures what commands meet at a load relative to the
// capacity of the slots, on the test's own clock.
func BenchmarkSlotLoad(b *testing.B) {
	for _, load := range []float64{0.5, 0.9, 1.1, 2} {
		b.Run(fmt.Sprintf("load=%.0f%%", 100*load), func(b *testing.B) {
			for b.Loop() {
				for unit, figure := range runLoad(b, load, 30*time.Second) {
					b.ReportMetric(figure, unit)
				}
			}
		})
	}
}
