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

// Number of backend servers, slots per backend server and mean run time of the
// commands, as in a present-day service.
const (
	loadBackends = 14
	loadSlots    = 2
	loadRunTime  = 150 * time.Millisecond
)

// backendSlots limits the slots of each backend server. A token identifies the
// backend server.
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

// runLoad sends commands to the owner a at random times and at a rate of load
// times the capacity of the slots. One in three commands is idempotent. Hosts c, d
// and e are the admitting hosts. It returns the figures to report by unit.
func runLoad(tb testing.TB, load float64, length time.Duration) map[string]float64 {
	s := newSim(tb, "a", "b", "c", "d", "e")
	var all []Candidate
	for n := 1; n <= loadBackends; n++ {
		host := string("cde"[n%3])
		s.hosts[host].runner.slots = newBackendSlots(loadSlots)
		s.setBackend(n, simBackend{runTime: loadRunTime, variableRunTime: true})
		all = append(all, Candidate{s.backend(n), host})
	}
	start := s.warmUp(ab)
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
		s.atOffset(t, func() { s.request("a", id, method, all[order[0]], all[order[1]], all[order[2]], all[order[3]]) })
		sent = append(sent, t)
	}
	s.runTo(start + length + 10*time.Second)
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i, at := range sent {
		id := fmt.Sprint(i)
		got := s.lastAnswer(id)
		figures[strings.ReplaceAll(got, " ", "-")+"/%"] += 100 / float64(len(sent))
		if got == "answer" {
			_ = latency.RecordValue((s.answers[id][0].at - at).Microseconds())
		} else if a := s.answers[id]; len(a) != 1 || a[0].reason == ReasonNoSlot && s.runs(id) > 0 {
			tb.Errorf("command %s ran %d times; answers: %v", id, s.runs(id), a)
		}
	}
	for _, b := range s.backends {
		figures["slots/%"] += 100 * b.busyTime.Seconds() / length.Seconds() / loadBackends / loadSlots
		if b.maxRunning > loadSlots {
			tb.Errorf("%d commands at once at a backend server with %d slots", b.maxRunning, loadSlots)
		}
	}
	figures["p50-ms"] = float64(latency.ValueAtQuantile(50)) / 1000
	figures["p99-ms"] = float64(latency.ValueAtQuantile(99)) / 1000
	figures["calls/command"] = float64(calls) / float64(len(sent))
	return figures
}

// TestSlotLoad guards against commands that exceed the slots of a backend server
// under load, and against commands refused at 90% of the slots' capacity.
func TestSlotLoad(t *testing.T) {
	if figures := runLoad(t, 0.9, 8*time.Second); figures["answer/%"] < 99 {
		t.Errorf("figures at 90%% of the capacity: %v", figures)
	}
}

// BenchmarkSlotLoad measures in simulated time the answers and latencies of
// commands at a load relative to the capacity of the slots.
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
