package health

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// BenchmarkTick measures one round per second of the control loop, with a new load
// report of each backend server and a cold start of one in a thousand per second.
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
	now, sent, messages := start, 0, 0
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
			sent += m.cost()
			messages++
			// A host sends about as many acknowledgements as it receives.
			if answer := m.Acknowledgement(); m.WantAck {
				sent += answer.cost()
				messages++
			}
			s.Delivered(m)
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(sent)/float64(b.N), "report-B/s")
	b.ReportMetric(float64(messages)/float64(b.N), "reports/s")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state-B")
}

// BenchmarkObservers measures the ranking of the observers of one backend
// server among the hosts of seven data centres.
func BenchmarkObservers(b *testing.B) {
	for _, n := range []int{7, 100, 1900, 5700} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := make([]document.Host, n)
			for i := range hosts {
				hosts[i] = document.Host{ID: fmt.Sprintf("lhr-gulberg-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%7)}
			}
			for i := 0; b.Loop(); i++ {
				Observers(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 6080), "dc-0", hosts)
			}
		})
	}
}

// BenchmarkPoll measures polls of load URLs and the size of their HTTP messages.
// Requests are answered in memory.
func BenchmarkPoll(b *testing.B) {
	for _, n := range []int{14, 120, 1000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			transport := &memoryTransport{}
			p := NewPoller(PollerConfig{Transport: transport})
			var targets []Target
			for i := range n {
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 6080)
				targets = append(targets, Target{Backend: a, URL: fmt.Sprintf("http://%s:6081/load", a.Addr())})
			}
			rounds := 0
			for b.Loop() {
				p.Poll(context.Background(), targets, func(Observation) {})
				rounds++
			}
			b.ReportMetric(float64(transport.request.Load())/float64(rounds), "request-B")
			b.ReportMetric(float64(transport.response.Load())/float64(rounds), "response-B")
		})
	}
}

// BenchmarkPollSecond measures one second of scheduled polls of backend servers
// that are not newly observed and need no fast polls.
func BenchmarkPollSecond(b *testing.B) {
	const tick = 250 * time.Millisecond
	for _, n := range []int{7, 14, 120} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			transport := &memoryTransport{}
			p := NewPoller(PollerConfig{Transport: transport})
			s := newState("host-a", n, nil)
			now, polls := start, 0
			second := func() {
				for range time.Second / tick {
					due := s.DueTargets(now, noneUncertain)
					p.Poll(context.Background(), due, func(Observation) {})
					for _, t := range due {
						s.Report(now, t.Backend, report(now.Sub(start)+time.Hour, nil))
					}
					now, polls = now.Add(tick), polls+len(due)
				}
			}
			for range newlyObservedFor / time.Second {
				second()
			}
			transport.request.Store(0)
			transport.response.Store(0)
			polls = 0
			rounds := 0
			for b.Loop() {
				second()
				rounds++
			}
			b.ReportMetric(float64(transport.request.Load())/float64(rounds), "request-B/s")
			b.ReportMetric(float64(transport.response.Load())/float64(rounds), "response-B/s")
			b.ReportMetric(float64(polls)/float64(rounds), "polls/s")
		})
	}
}

// memoryTransport answers every request with the same load report and counts
// the bytes that the messages would have on a connection.
type memoryTransport struct{ request, response atomic.Int64 }

func (m *memoryTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	// The Poller disables compression, so its transport adds no header.
	var raw bytes.Buffer
	if err := req.Write(&raw); err != nil {
		return nil, err
	}
	const body = `{"service":"gridwatch","instance":1764824465123,"uptime_ms":86400000,"connections":1423,"slots_busy":1,"draining":false,"shedding":false}`
	resp := &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1,
		Header:        http.Header{"Content-Type": {"application/json"}, "Date": {"Fri, 04 Dec 2026 05:30:00 GMT"}},
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	answer, err := httputil.DumpResponse(resp, false)
	m.request.Add(int64(raw.Len()))
	m.response.Add(int64(len(answer) + len(body)))
	return resp, err
}
