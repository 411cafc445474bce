package main

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/load"
	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// loadSizes are new flows per second, their duration and the time between their
// requests. Rate times duration is the number of flows that three entry hosts hold.
var loadSizes = []struct {
	rate           int
	hold, interval time.Duration
}{
	{500, 2 * time.Second, time.Second},
	{2000, 5 * time.Second, time.Second},
	{6000, 10 * time.Second, time.Second},
	{10_000, 30 * time.Second, 10 * time.Second},
}

// BenchmarkLoad measures the cost of flows in entry host processes: processor
// time per packet and memory. Run it with -benchtime 1x.
func BenchmarkLoad(b *testing.B) {
	for _, size := range loadSizes {
		b.Run(fmt.Sprintf("flows/s=%d/open=%d", size.rate, size.rate*int(size.hold/time.Second)), func(b *testing.B) {
			for b.Loop() {
				runLoad(b, size.rate, size.hold, size.interval)
			}
		})
	}
}

func runLoad(b *testing.B, rate int, hold, interval time.Duration) {
	const connections = 100_000
	f := newTestFleet(b, 44, 3, 6, func(c *standin.BackendConfig) {
		c.Connections, c.Cold = connections, document.Cold{Connections: connections, Slots: c.Slots, Ramp: document.Duration(testRamp)}
	})
	f.wait("budgets for new flows", func() bool { return f.openFlows(&f.service, 1).end()[0].Cause == standin.CauseNone })
	cfg := load.Config{
		Listen: f.fabric.Addr(), Service: f.service.FlowAddr(), FlowsPerSecond: rate, Hold: hold,
		For: 2 * hold, Interval: interval, Seed: 1,
	}
	f.fabric.Close()
	for _, h := range f.hosts {
		cfg.Hosts = append(cfg.Hosts, netip.AddrPortFrom(h.host.Address, h.host.GUEPort))
	}
	before := f.cpuTime()
	r, err := load.Run(b.Context(), cfg)
	f.must(err)
	used := f.cpuTime() - before
	if r.Broken > 0 {
		b.Logf("broken flows: %v", r.BrokenByCause)
	}
	b.ReportMetric(float64(r.NotOpened), "not-opened")
	b.ReportMetric(float64(r.Broken), "broken")
	b.ReportMetric(float64(r.PeakOpen), "open")
	b.ReportMetric(float64(r.Sent+r.Answers)/float64(r.DurationMS)*1000, "packets/s")
	b.ReportMetric(float64(used.Microseconds())/float64(r.Sent+r.Answers), "cpu-us/packet")
	b.ReportMetric(float64(r.OpenMicros.P50), "open-p50-us")
	b.ReportMetric(float64(r.AnswerMicros.P50), "answer-p50-us")
	b.ReportMetric(float64(r.AnswerMicros.P99), "answer-p99-us")
	b.ReportMetric(f.peakMemory(), "peak-MB/host")
}

// cpuTime returns the processor time that all entry hosts have used.
func (b *testFleet) cpuTime() time.Duration {
	const ticksPerSecond = 100 // USER_HZ, fixed on Linux
	ticks := 0
	for _, h := range b.hosts {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
		b.must(err)
		fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')'):]))
		for _, i := range []int{12, 13} { // utime and stime; the state is field 1
			n, err := strconv.Atoi(fields[i])
			b.must(err)
			ticks += n
		}
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// peakMemory returns the largest peak resident set of an entry host in MiB.
func (b *testFleet) peakMemory() float64 {
	peak := 0.0
	for _, h := range b.hosts {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
		b.must(err)
		_, rest, _ := strings.Cut(string(raw), "VmHWM:")
		kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		b.must(err)
		peak = max(peak, kb/1024)
	}
	return peak
}
