package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// waitFor waits until the condition holds. The limit of 30 s only ends a test that
// would otherwise hang.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("still waiting for %s", what)
		}
	}
}

func (p *Pool) counter(name string) uint64 {
	return p.cfg.Metrics.GetOrCreateCounter("nutmeglatch_peer_" + name).Get()
}

func waitCounter(t *testing.T, p *Pool, name string) {
	t.Helper()
	waitFor(t, name, func() bool { return p.counter(name) > 0 })
}

// outcome returns the kind of an error of Call. The error must have exactly one.
func outcome(t *testing.T, err error) string {
	t.Helper()
	var kinds []string
	for kind, is := range map[string]bool{
		"not sent":     errors.Is(err, ErrNotSent),
		"unknown":      errors.Is(err, ErrOutcomeUnknown),
		"remote error": errors.As(err, new(*RemoteError)),
	} {
		if is {
			kinds = append(kinds, kind)
		}
	}
	if err != nil && len(kinds) != 1 {
		t.Errorf("error %v has kinds %q, want one", err, kinds)
	}
	return strings.Join(kinds, ",")
}

func expectOutcome(t *testing.T, err error, want string) {
	t.Helper()
	if got := outcome(t, err); got != want {
		t.Errorf("outcome %q (%v), want %q", got, err, want)
	}
}

// TestHandshakeRefusals guards against requests of a host that has no key or is not
// on the list, and against refusals counted under a wrong reason.
func TestHandshakeRefusals(t *testing.T) {
	for _, tc := range []struct{ key, self, target, direction, reason string }{
		{"another key, as long", "a", "b", "out", "wrong_key"},
		{fleetKey, "z", "b", "in", "unlisted"},
		{fleetKey, "a", "another host at the address of b", "in", "wrong_host"},
	} {
		t.Run(tc.reason, func(t *testing.T) {
			d := &directory{}
			b, _ := startHost(t, d, "b", func(context.Context, string, string, json.RawMessage) (any, error) {
				t.Error("the handler ran")
				return nil, nil
			}, nil)
			addr, _ := d.lookup("b")
			d.Store(tc.target, addr)
			a, _ := startHost(t, d, "a", echo, func(c *Config) { c.Self, c.Key = tc.self, []byte(tc.key) })
			expectOutcome(t, a.Call(t.Context(), tc.target, "m", nil, nil), "not sent")
			counted := map[string]*Pool{"in": b, "out": a}[tc.direction]
			waitCounter(t, counted, fmt.Sprintf("connections_refused_total{direction=%q,reason=%q}", tc.direction, tc.reason))
		})
	}
}

func dialRaw(t *testing.T, d *directory, id string) net.Conn {
	t.Helper()
	addr, _ := d.lookup(id)
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func frame(size uint32, body string) string {
	return string(binary.BigEndian.AppendUint32(nil, size)) + body
}

// TestBadInput guards against bad input that affects other connections than the one
// on which it arrived.
func TestBadInput(t *testing.T) {
	const limit = 1 << 16
	hello := `{"version":1,"from":"a","to":"b","nonce":"` + strings.Repeat("A", 43) + `="}`
	deep := `{"id":1,"method":"m","params":` + strings.Repeat("[", limit/2)
	cases := []struct {
		name, counter string
		authenticated bool
		send          string
		endless       bool
	}{
		{name: "endless JSON before the handshake", counter: `connections_refused_total{direction="in",reason="too_large"}`, send: strings.Repeat(`{"a":`, 2000), endless: true},
		{name: "not a handshake", counter: `connections_refused_total{direction="in",reason="malformed"}`, send: frame(2, "{}")},
		{name: "truncated handshake", counter: `connections_refused_total{direction="in",reason="handshake_incomplete"}`, send: frame(300, "{")},
		{name: "silent after hello", counter: `connections_refused_total{direction="in",reason="handshake_incomplete"}`, send: frame(uint32(len(hello)), hello)},
		{name: "oversized message", counter: `connections_closed_total{direction="in",reason="message_too_large"}`, authenticated: true, send: frame(limit+1, "{}")},
		{name: "endless JSON", counter: `connections_closed_total{direction="in",reason="malformed_message"}`, authenticated: true, send: frame(uint32(len(deep)), deep), endless: true},
		{name: "no JSON-RPC", counter: `connections_closed_total{direction="in",reason="malformed_message"}`, authenticated: true, send: frame(2, "[]")},
		{name: "truncated message", counter: `connections_closed_total{direction="in",reason="silent"}`, authenticated: true, send: frame(100, "{")},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := &directory{}
			b, _ := startHost(t, d, "b", echo, func(c *Config) {
				c.MaxMessage, c.HandshakeTimeout = limit, 500*time.Millisecond
				c.HeartbeatTimeout = 500 * time.Millisecond
			})
			good, _ := startHost(t, d, "good", echo, nil)
			d.Store("a", netip.AddrPort{})
			conn := dialRaw(t, d, "b")
			if tc.authenticated {
				if err := dialHandshake(conn, b.cfg.Key, "a", "b"); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := io.WriteString(conn, tc.send); err != nil && !tc.endless {
				t.Fatal(err)
			}
			waitCounter(t, b, tc.counter)
			waitFor(t, "a call of another host", func() bool { return good.Call(t.Context(), "b", "m", 1, nil) == nil })
		})
	}
}

// TestTooManyConnections guards against unauthenticated connections beyond
// MaxIncoming.
func TestTooManyConnections(t *testing.T) {
	d := &directory{}
	b, _ := startHost(t, d, "b", echo, func(c *Config) { c.MaxIncoming = 2; c.HandshakeTimeout = time.Hour })
	dialRaw(t, d, "b")
	dialRaw(t, d, "b")
	refused := dialRaw(t, d, "b")
	if _, err := refused.Read(make([]byte, 1)); err == nil {
		t.Error("the third connection is served")
	}
	waitCounter(t, b, `connections_refused_total{direction="in",reason="too_many_connections"}`)
}

// TestCallOutcomes guards against a call that reports a wrong outcome: a command
// may be repeated only if it was certainly not run.
func TestCallOutcomes(t *testing.T) {
	d := &directory{}
	release, running := make(chan struct{}), make(chan struct{})
	b, _ := startHost(t, d, "b", func(ctx context.Context, _, method string, params json.RawMessage) (any, error) {
		switch method {
		case "block":
			running <- struct{}{}
			<-release
		case "refuse":
			return nil, &RemoteError{Code: 7, Message: "no"}
		case "fail":
			return nil, errors.New("failed")
		case "third host busy":
			return nil, &RemoteError{Code: CodeBusy, Message: "busy"}
		case "large":
			return strings.Repeat("x", 1<<17), nil
		}
		return params, nil
	}, func(c *Config) { c.MaxMessage = 1 << 16; c.MaxRequests = 1 })
	a, _ := startHost(t, d, "a", echo, func(c *Config) { c.MaxMessage = 1 << 16 })
	var remote *RemoteError
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- a.Call(ctx, "b", "block", nil, nil) }()
	<-running
	if err := a.Call(t.Context(), "b", "m", nil, nil); !errors.As(err, &remote) || !remote.NotRun() {
		t.Errorf("got %v, want a refusal because of the request in progress", err)
	}
	cancel()
	expectOutcome(t, <-ended, "unknown")
	expectOutcome(t, a.Call(ctx, "b", "m", nil, nil), "not sent")
	close(release)

	// The slot of a request is free only just after its response was sent.
	call := func(method string, params any) (err error) {
		waitFor(t, "a free request slot", func() bool {
			err = a.Call(t.Context(), "b", method, params, nil)
			return !errors.As(err, &remote) || remote.Code != CodeBusy
		})
		return err
	}

	for _, tc := range []struct {
		method string
		code   int64
	}{{"refuse", 7}, {"fail", CodeHandler}, {"third host busy", CodeHandler}, {"large", CodeHandler}} {
		err := call(tc.method, nil)
		expectOutcome(t, err, "remote error")
		if errors.As(err, &remote) && (remote.Code != tc.code || remote.NotRun()) {
			t.Errorf("%s: %+v, want code %d", tc.method, remote, tc.code)
		}
	}
	expectOutcome(t, call("m", strings.Repeat("x", 1<<17)), "not sent")
	expectOutcome(t, call("m", make(chan int)), "not sent")
	expectOutcome(t, a.Call(t.Context(), "nobody", "m", nil, nil), "not sent")
	waitFor(t, "a response that does not match the type of the result", func() bool {
		var number int
		return outcome(t, a.Call(t.Context(), "b", "m", "text", &number)) == "unknown"
	})
	d.Delete("a")
	if err := call("m", nil); !errors.As(err, &remote) || remote.Code != CodeUnlisted {
		t.Errorf("got %v, want a refusal because the host is not listed any more", err)
	}
	waitCounter(t, b, `connections_closed_total{direction="in",reason="unlisted"}`)
}

// TestCallDeadline guards against an unanswered call that does not end at its
// deadline or leaves the connection unusable.
func TestCallDeadline(t *testing.T) {
	d := &directory{}
	startHost(t, d, "b", func(ctx context.Context, _, method string, _ json.RawMessage) (any, error) {
		if method == "block" {
			<-ctx.Done()
		}
		return nil, nil
	}, nil)
	a, _ := startHost(t, d, "a", echo, func(c *Config) { c.CallTimeout = time.Second })
	waitFor(t, "the connection", func() bool { return a.Call(t.Context(), "b", "m", nil, nil) == nil })
	err := a.Call(t.Context(), "b", "block", nil, nil)
	expectOutcome(t, err, "unknown")
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the deadline", err)
	}
	waitFor(t, "a call that succeeds", func() bool { return a.Call(t.Context(), "b", "m", nil, nil) == nil })
}

// TestConcurrentCalls guards against concurrent calls that open several connections
// or receive the response of another call.
func TestConcurrentCalls(t *testing.T) {
	d := &directory{}
	startHost(t, d, "b", echo, func(c *Config) { c.MaxRequests = 200 })
	var dials atomic.Int64
	a, _ := startHost(t, d, "a", echo, func(c *Config) {
		c.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			dials.Add(1)
			return dialTCP(ctx, addr)
		}
	})
	var calls sync.WaitGroup
	for want := range 100 {
		calls.Go(func() {
			var got int
			if err := a.Call(t.Context(), "b", "m", want, &got); err != nil || got != want {
				t.Errorf("got %d, %v, want %d", got, err, want)
			}
		})
	}
	calls.Wait()
	if dials.Load() != 1 {
		t.Errorf("%d connections, want 1", dials.Load())
	}
}

// TestReconnect guards against a failed call to a host that listens again after a
// restart, and against another outcome than "not sent" while the host is down.
func TestReconnect(t *testing.T) {
	d := &directory{}
	_, stop := startHost(t, d, "b", echo, nil)
	seen, _ := d.lookup("b") // the address that lookup returns to host a
	a, _ := startHost(t, d, "a", echo, func(c *Config) {
		c.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			addr, _ := d.lookup("b")
			return dialTCP(ctx, addr)
		}
	})
	a.lookup = func(string) (netip.AddrPort, bool) { return seen, true }
	call := func() error { return a.Call(t.Context(), "b", "m", nil, nil) }
	if err := call(); err != nil {
		t.Fatal(err)
	}
	stop()
	waitFor(t, "a call that is not sent", func() bool { return outcome(t, call()) == "not sent" })
	startHost(t, d, "b", echo, nil)
	if err := call(); err != nil {
		t.Error(err)
	}
	seen = netip.MustParseAddrPort("127.0.0.1:1") // the address of the host changes
	if err := call(); err != nil {
		t.Error(err)
	}
	if n := a.counter(`connections_closed_total{direction="out",reason="address_changed"}`); n != 1 {
		t.Errorf("%d connections closed after the change of address, want 1", n)
	}
}

// TestIdle guards against connections without calls that stay open, and against
// their entries staying in the pool.
func TestIdle(t *testing.T) {
	d := &directory{}
	startHost(t, d, "b", echo, nil)
	a, _ := startHost(t, d, "a", echo, func(c *Config) { c.IdleTimeout = time.Hour })
	a.SetIdleTimeout(time.Millisecond)
	for range 2 {
		if err := a.Call(t.Context(), "b", "m", nil, nil); err != nil {
			t.Fatal(err)
		}
		waitCounter(t, a, `connections_closed_total{direction="out",reason="idle"}`)
		waitFor(t, "no entry", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return len(a.peers) == 0 })
	}
}

// cutConn fails the first write after armed is set, having written half of it.
type cutConn struct {
	net.Conn
	armed *atomic.Bool
}

func (c cutConn) Write(b []byte) (int, error) {
	if !c.armed.CompareAndSwap(true, false) {
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:len(b)/2])
	return n, errors.New("connection reset")
}

// TestUnknownAfterPartialWrite guards against a partly written request that is
// reported as not sent, and against a request on a closed connection that is
// reported otherwise and therefore not repeated.
func TestUnknownAfterPartialWrite(t *testing.T) {
	d := &directory{}
	startHost(t, d, "b", echo, nil)
	var armed atomic.Bool
	a, _ := startHost(t, d, "a", echo, func(c *Config) {
		c.Heartbeat = time.Hour // no other writes
		c.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			conn, err := dialTCP(ctx, addr)
			return cutConn{conn, &armed}, err
		}
	})
	conn, err := a.connect(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	armed.Store(true)
	expectOutcome(t, a.Call(t.Context(), "b", "m", nil, nil), "unknown")
	waitFor(t, "the connection to end", conn.isClosed)
	err = conn.call(t.Context(), "m", nil, nil)
	expectOutcome(t, err, "not sent")
	if !errors.Is(err, errConnClosed) {
		t.Errorf("got %v, want %v", err, errConnClosed)
	}
	if err := a.Call(t.Context(), "b", "m", nil, nil); err != nil {
		t.Error(err)
	}
}

// TestShortKey guards against a pool that makes or serves calls with a key that is
// too short.
func TestShortKey(t *testing.T) {
	p := NewPool(Config{Key: []byte("short")}, func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, true }, nil)
	expectOutcome(t, p.Call(t.Context(), "b", "m", nil, nil), "not sent")
	if err := p.Serve(t.Context()); !errors.Is(err, errKey) {
		t.Errorf("got %v, want %v", err, errKey)
	}
}

// relay forwards connections to a host. A call of stall makes the connections that
// are open deliver no more data and stay open; later connections work.
type relay struct{ epoch atomic.Int64 }

func (r *relay) stall() { r.epoch.Add(1) }

func (r *relay) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	remote, err := dialTCP(ctx, addr)
	if err != nil {
		return nil, err
	}
	epoch := r.epoch.Load()
	go r.copy(remote, far, epoch)
	go r.copy(far, remote, epoch)
	return near, nil
}

func (r *relay) copy(to, from net.Conn, epoch int64) {
	defer to.Close()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err == nil && r.epoch.Load() == epoch {
			_, err = to.Write(b[:n])
		}
		if err != nil {
			return
		}
	}
}

// TestSilentConnection guards against a connection that is not replaced although it
// delivers no more data: it stays open, and its call in progress would never end.
func TestSilentConnection(t *testing.T) {
	d := &directory{}
	running := make(chan struct{}, 1)
	b, _ := startHost(t, d, "b", func(ctx context.Context, _, method string, _ json.RawMessage) (any, error) {
		if method == "block" {
			running <- struct{}{}
			<-ctx.Done()
		}
		return nil, nil
	}, nil)
	r := &relay{}
	a, _ := startHost(t, d, "a", echo, func(c *Config) {
		c.Dial, c.HeartbeatTimeout, c.CallTimeout = r.dial, 2*time.Second, time.Hour
	})
	ended := make(chan error)
	go func() { ended <- a.Call(t.Context(), "b", "block", nil, nil) }()
	<-running
	r.stall()
	expectOutcome(t, <-ended, "unknown")
	waitCounter(t, a, `connections_closed_total{direction="out",reason="heartbeat_missed"}`)
	if err := a.Call(t.Context(), "b", "m", nil, nil); err != nil {
		t.Error(err)
	}
	waitFor(t, "one incoming connection", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return len(b.incoming) == 1 })
}
