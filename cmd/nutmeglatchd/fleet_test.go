package main

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Sizes and limits of BenchmarkFleet.
const (
	fleetServices    = 20 // in addition to the first one
	fleetIdleTime    = 10 * time.Second
	fleetSpreadLimit = 12 * time.Second // limit of the time until a change is in effect everywhere
)

// BenchmarkFleet measures processor time, control traffic and memory of fleets of
// entry host processes without traffic, the time until a changed document is in
// effect everywhere, and the time until every host declares a killed host dead. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{10, 40, 120} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				runFleet(b, hosts)
			}
		})
	}
}

func runFleet(b *testing.B, hosts int) {
	f := newTestFleet(b, 46, hosts, 6)
	f.addServices(fleetServices)
	f.waitStatus("sees every host and service", func(st *admin.Status) bool {
		alive := 0
		for _, h := range st.Hosts {
			if h.State == "alive" {
				alive++
			}
		}
		return alive == hosts && len(st.Services) == 1+fleetServices
	}, f.hosts...)
	time.Sleep(fleetIdleTime) // the reports caused by the start end

	before, bytes := f.cpuTime(), f.controlBytes()
	time.Sleep(fleetIdleTime)
	perHostSecond := 1 / float64(hosts) / fleetIdleTime.Seconds()
	b.ReportMetric(100*(f.cpuTime()-before).Seconds()*perHostSecond, "%core/host")
	for kind, n := range f.controlBytes() {
		b.ReportMetric((n-bytes[kind])*perHostSecond, kind+"-B/s/host")
	}
	b.ReportMetric(f.peakMemory(), "peak-MB/host")

	f.publish(&f.service)
	spread := f.timeUntil(f.hosts, func(st *admin.Status) bool { return versionOf(st, f.service.Name) == f.service.Version })
	if spread > fleetSpreadLimit {
		b.Errorf("a document was in effect everywhere after %s, want %s", spread, fleetSpreadLimit)
	}
	b.ReportMetric(float64(spread.Milliseconds()), "spread-ms")

	killed := f.hosts[hosts/2]
	f.kill(killed)
	death := f.timeUntil(f.others(killed), func(st *admin.Status) bool {
		for _, h := range st.Hosts {
			if h.ID == killed.host.ID {
				return h.State == "dead"
			}
		}
		return false
	})
	b.ReportMetric(float64(death.Milliseconds()), "death-ms")
}

// addServices publishes services with three backend servers each.
func (b *testFleet) addServices(n int) {
	for i := range n {
		svc := b.service
		svc.Name, svc.Commands, svc.Version, svc.DataCentres = fmt.Sprintf("service-%d", i), nil, 0, nil
		svc.Address = netip.AddrFrom4([4]byte{198, 51, 101, byte(i)})
		for dc, name := range dataCentreNames {
			svc.DataCentres = append(svc.DataCentres, document.DataCentre{Name: name})
			b.addBackend(&svc, dc, byte(50+3*i+dc))
		}
		b.publish(&svc)
	}
}

// timeUntil returns the time until the status of every host fulfils a condition,
// or conditionLimit if it does not.
func (b *testFleet) timeUntil(hosts []*hostProcess, condition func(*admin.Status) bool) time.Duration {
	start := time.Now()
	var wg sync.WaitGroup
	for _, p := range hosts {
		wg.Go(func() {
			for time.Since(start) < conditionLimit {
				if st, err := p.status(); err == nil && condition(&st) {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return time.Since(start)
}

// controlBytes sums the control traffic of all hosts by direction and kind, and
// by direction.
func (b *testFleet) controlBytes() map[string]float64 {
	label := regexp.MustCompile(`control_bytes_total\{kind="(\w+)",direction="(\w+)"\} (\d+)`)
	sums := make(map[string]float64)
	for _, p := range b.hosts {
		body, err := p.get("/metrics")
		b.must(err)
		for _, m := range label.FindAllStringSubmatch(string(body), -1) {
			n, err := strconv.ParseFloat(m[3], 64)
			b.must(err)
			sums[m[2]] += n
			sums[m[2]+"-"+m[1]] += n
		}
	}
	return sums
}
