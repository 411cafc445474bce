package admission

import (
	"fmt"
	"math/rand"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
)

// fleet is the measured host (index 0) with the other members of its owner
// groups.
type fleet struct {
	states   []*State
	names    []string
	backends []netip.AddrPort
	now      time.Time
	rng      *rand.Rand
}

// newFleet returns hosts with services of six backend servers each, the mean of
// the two-year target. All services have the same owner group.
func newFleet(endpoints, hosts, reportBytes int) *fleet {
	const perService = 6
	f := &fleet{now: epoch, rng: rand.New(rand.NewSource(1))}
	var in Input
	in.Verdicts = make(map[netip.AddrPort]health.Verdict)
	for first := 0; first < endpoints; first += perService {
		doc := testDoc(fmt.Sprintf("service-%d", first), first, min(perService, endpoints-first), 2000, 50)
		counts := make(map[string]int)
		for b := range Buckets {
			counts[hostID(b%hosts)]++
		}
		in.Services = append(in.Services, ServiceInput{Doc: doc, Buckets: counts})
		f.backends = append(f.backends, backendsOf(doc)...)
	}
	for _, addr := range f.backends {
		in.Verdicts[addr] = health.Verdict{Usable: true, ColdKnown: true}
	}
	for h := range hosts {
		s := New(Config{ReportBytes: reportBytes})
		s.SetServices(f.now, hostID(h), in)
		f.states = append(f.states, s)
		f.names = append(f.names, hostID(h))
	}
	return f
}

func backendsOf(doc *document.Service) []netip.AddrPort {
	var list []netip.AddrPort
	for _, dc := range doc.DataCentres {
		for i := range dc.BackendServers {
			list = append(list, dc.BackendServers[i].AddrPort())
		}
	}
	return list
}

// charges returns random flow counts of about half of a host's share. From call
// to call they vary as much as new and ended flows change them in one second.
func (f *fleet) charges() map[netip.AddrPort]int {
	mean := 1000 / len(f.states)
	out := make(map[netip.AddrPort]int, len(f.backends))
	for _, b := range f.backends {
		out[b] = mean + f.rng.Intn(mean/10+1)
	}
	return out
}

// exchange delivers the reports of host h and returns their size in bytes.
func (f *fleet) exchange(reports []Report, h int) (bytes int) {
	for _, r := range reports {
		bytes += r.cost()
		var to int
		fmt.Sscanf(r.To, "host-%d", &to)
		f.states[to].Receive(f.now, hostID(h), r)
	}
	return bytes
}

// tickOthers exchanges the reports of all hosts but the measured one.
func (f *fleet) tickOthers() {
	for h := 1; h < len(f.states); h++ {
		f.exchange(f.states[h].Report(f.now), h)
	}
}

// confirm exchanges reports for 20 s, in which all hosts confirm the view.
func (f *fleet) confirm() {
	for range 200 {
		f.exchange(f.states[0].Report(f.now), 0)
		f.tickOthers()
		f.now = f.now.Add(100 * time.Millisecond)
	}
}

func benchmarkTick(b *testing.B, endpoints, hosts, reportBytes int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := newFleet(endpoints, hosts, reportBytes)
	f.confirm()
	runtime.GC()
	runtime.ReadMemStats(&after)
	s, bytes, messages := f.states[0], 0, 0
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		counts := f.charges()
		b.StartTimer()
		s.RecordAdmitted(f.now, nil)
		s.RecordCharged(f.now, counts)
		reports := s.Report(f.now)
		s.Allowances(f.now)
		b.StopTimer()
		bytes += f.exchange(reports, 0)
		messages += len(reports)
		f.tickOthers()
		f.now = f.now.Add(time.Second)
		b.StartTimer()
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "report-B/s")
	b.ReportMetric(float64(messages)/float64(b.N), "reports/s")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(hosts), "state-B")
}

// BenchmarkTick measures one round per second of the control loop, for several
// numbers of backend servers.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{14, 120, 1000, 40000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) { benchmarkTick(b, n, 8, DefaultReportBytes) })
	}
}

// BenchmarkTickGroupSize measures the same for several sizes of the owner group,
// with the 120 backend servers per host of the two-year target and without a
// limit of the report bytes.
func BenchmarkTickGroupSize(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) { benchmarkTick(b, 120, n, 1<<30) })
	}
}
