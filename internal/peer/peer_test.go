package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const fleetKey = "key of the fleet"

// directory is the list of hosts that the pools of a test share.
type directory struct{ sync.Map }

func (d *directory) lookup(id string) (netip.AddrPort, bool) {
	a, ok := d.Load(id)
	if !ok {
		return netip.AddrPort{}, false
	}
	return a.(netip.AddrPort), true
}

// echo is a handler that returns the parameters.
func echo(_ context.Context, _, _ string, params json.RawMessage) (any, error) { return params, nil }

// startHost adds a host to the directory and serves it until the test ends or stop
// is called.
func startHost(t *testing.T, d *directory, id string, h HandlerFunc, change func(*Config)) (p *Pool, stop func()) {
	t.Helper()
	cfg := Config{
		Self: id, Key: []byte(fleetKey), Metrics: metrics.NewSet(),
		CallTimeout: 30 * time.Second, Heartbeat: 20 * time.Millisecond, HeartbeatTimeout: 30 * time.Second,
		HandshakeTimeout: 30 * time.Second,
	}
	if change != nil {
		change(&cfg)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listener = l
	d.Store(id, netip.MustParseAddrPort(l.Addr().String()))
	p = NewPool(cfg, d.lookup, h)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := p.Serve(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return p, stop
}

// TestCall guards against a successful call that does not return the handler's result.
func TestCall(t *testing.T) {
	d := &directory{}
	a, _ := startHost(t, d, "a", echo, nil)
	startHost(t, d, "b", echo, nil)
	var got int
	if err := a.Call(t.Context(), "b", "config.push", 7, &got); err != nil || got != 7 {
		t.Fatalf("got %d, %v, want 7", got, err)
	}
}
