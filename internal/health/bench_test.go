package health

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// The round of the control loop, once a second, when every load report is new
// and one backend server in a thousand starts cold per second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{14, 120, 1000, 40000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) { benchmarkTick(b, n) })
	}
}

func benchmarkTick(b *testing.B, endpoints int) {
	const perService = 6
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	in := Input{Hosts: testHosts}
	names := make(map[netip.AddrPort]string)
	for first := 0; first < endpoints; first += perService {
		dc := document.DataCentre{Name: "substation-a"}
		doc := &document.Service{Name: fmt.Sprintf("service-%d", first)}
		for i := first; i < min(first+perService, endpoints); i++ {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 6080)
			dc.BackendServers = append(dc.BackendServers, document.BackendServer{
				Address: a.Addr(), Port: a.Port(), LoadURL: "http://a/load", Cold: document.Cold{Ramp: document.Duration(time.Minute)},
			})
			names[a] = doc.Name
		}
		doc.DataCentres = []document.DataCentre{dc}
		in.Services = append(in.Services, ServiceInput{Doc: doc, Group: []string{"host-a", "host-b", "host-c", "d", "e", "f", "g", "h"}})
	}
	s := New(Config{})
	s.SetServices(start, "host-a", in)
	targets := s.Targets()
	runtime.GC()
	runtime.ReadMemStats(&after)
	now, bytes, messages := start, 0, 0
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Second)
		for k, t := range targets {
			up := now.Sub(start) + time.Hour
			if (k+i)%1000 == 0 {
				up = 0
			}
			s.Report(now, t.Backend, LoadReport{Service: names[t.Backend], Instance: 7, UptimeMillis: up.Milliseconds()})
		}
		s.Verdicts(now)
		list := s.Messages(now)
		b.StopTimer()
		for _, m := range list {
			raw, err := json.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(raw) + callOverhead
			s.Delivered(m)
		}
		messages += len(list)
		b.StartTimer()
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "report-B/s")
	b.ReportMetric(float64(messages)/float64(b.N), "reports/s")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state-B")
}
