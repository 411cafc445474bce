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

// directory is the list of hosts that the pools of a test share.
type directory struct {
	mu    sync.Mutex
	addrs map[string]netip.AddrPort
}

func (d *directory) lookup(id string) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.addrs[id]
	return a, ok
}

func (d *directory) set(id string, addr netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addrs[id] = addr
}

func (d *directory) remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.addrs, id)
}

func newDirectory() *directory { return &directory{addrs: make(map[string]netip.AddrPort)} }

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// echo answers with the parameters.
func echo(_ context.Context, _, _ string, params json.RawMessage) (any, error) { return params, nil }

// startHost lists a host and serves it until the test ends or stop is called.
func startHost(t *testing.T, d *directory, id string, h HandlerFunc, change func(*Config)) (p *Pool, stop func()) {
	t.Helper()
	cfg := Config{
		Self: id, Key: []byte("key of the fleet"), Metrics: metrics.NewSet(),
		CallTimeout: 30 * time.Second, Heartbeat: 20 * time.Millisecond, HeartbeatTimeout: 30 * time.Second,
		HandshakeTimeout: 30 * time.Second,
	}
	if change != nil {
		change(&cfg)
	}
	if cfg.Listener == nil {
		l, addr := listen(t)
		cfg.Listener = l
		d.set(id, addr)
	}
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

// A call that succeeds must bring back the answer of the handler.
func TestCall(t *testing.T) {
	d := newDirectory()
	a, _ := startHost(t, d, "a", echo, nil)
	startHost(t, d, "b", echo, nil)
	for want := range 3 {
		var got int
		if err := a.Call(t.Context(), "b", "config.push", want, &got); err != nil || got != want {
			t.Fatalf("got %d, %v, want %d", got, err, want)
		}
	}
}
