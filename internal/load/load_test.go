package load

import (
	"context"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

var testService = netip.MustParseAddrPort("198.51.100.10:7001")

// newTarget starts a backend server in place of an entry host: it answers to the
// address that a packet came from.
func newTarget(t *testing.T, n byte) (*standin.Backend, Config) {
	t.Helper()
	// The address depends on the process ID, so that concurrent test processes do
	// not conflict.
	addr := func(host byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(100 + os.Getpid()%150), 200 + n, host}), 6080)
	}
	b, err := standin.NewBackend(standin.BackendConfig{
		Addr: addr(1), Service: "gridwatch", FlowAddr: testService, Connections: 10_000, WarmStart: true, Instance: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b, Config{
		Hosts: []netip.AddrPort{addr(1)}, Listen: addr(2), Service: testService,
		FlowsPerSecond: 200, Hold: time.Second, Interval: 100 * time.Millisecond, For: time.Second, GiveUp: time.Second, Seed: 1,
	}
}

func run(t *testing.T, cfg Config) *Report {
	t.Helper()
	r, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	if r.Completed+r.Broken+r.NotOpened != r.Flows {
		t.Errorf("%d flows: %d completed, %d broken, %d not opened", r.Flows, r.Completed, r.Broken, r.NotOpened)
	}
	return r
}

// TestRunWithoutFaults guards against flows that are lost, or counted as broken,
// without a fault.
func TestRunWithoutFaults(t *testing.T) {
	for _, proto := range []uint8{packet.ProtoTCP, packet.ProtoUDP} {
		_, cfg := newTarget(t, proto)
		cfg.Proto = proto
		r := run(t, cfg)
		if r.Flows != 200 || r.Completed != 200 || r.Answers < 200 {
			t.Errorf("protocol %d: %+v", proto, r)
		}
	}
}

// TestRunReportsBrokenFlows guards against broken flows that are missing in the
// report.
func TestRunReportsBrokenFlows(t *testing.T) {
	for _, tc := range []struct {
		name, cause string
		fault       func(*standin.Backend)
	}{
		{"restarted backend server resets its flows", causeReset, func(b *standin.Backend) { b.Restart(2) }},
		{"silent backend server", causeTimeout, func(b *standin.Backend) { b.SetSilent(true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, cfg := newTarget(t, 1)
			time.AfterFunc(500*time.Millisecond, func() { tc.fault(b) })
			if r := run(t, cfg); r.BrokenByCause[tc.cause] == 0 {
				t.Errorf("no flow broken by %s: %+v", tc.cause, r)
			}
		})
	}
}

// TestRunEndsWithItsContext guards against a run that does not end when its
// context is cancelled.
func TestRunEndsWithItsContext(t *testing.T) {
	_, cfg := newTarget(t, 2)
	cfg.For, cfg.Hold = time.Hour, time.Second
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if r, err := Run(ctx, cfg); err != nil || r.Flows == 0 {
		t.Errorf("%+v, %v", r, err)
	}
}

// TestCheck guards against configurations that are out of bounds but accepted.
func TestCheck(t *testing.T) {
	valid := Config{Hosts: []netip.AddrPort{testService}, Listen: testService, Service: testService}
	for _, tc := range []struct {
		want   string
		change func(*Config)
	}{
		{"", func(*Config) {}},
		{"hosts", func(c *Config) { c.Hosts = nil }},
		{"service", func(c *Config) { c.Service = netip.AddrPort{} }},
		{"flows per second", func(c *Config) { c.FlowsPerSecond = -1 }},
		{"open flows", func(c *Config) { c.FlowsPerSecond, c.For, c.Hold = MaxFlowsPerSecond, time.Hour, time.Hour }},
		{"hold", func(c *Config) { c.Hold = -time.Second }},
		{"payload", func(c *Config) { c.Payload = 1 }},
	} {
		cfg := valid
		tc.change(&cfg)
		err := cfg.Check()
		if tc.want == "" && err != nil || tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)) {
			t.Errorf("want %q, got %v", tc.want, err)
		}
	}
}
