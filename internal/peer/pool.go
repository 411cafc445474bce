package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
)

// minKeyBytes is the least length of the key. With an empty key, any host could
// authenticate.
const minKeyBytes = 16

// logInterval is the least time between two log lines about failed handshakes,
// which any host can cause. The counters include all of them.
const logInterval = time.Second

var (
	errClosed = errors.New("pool is closed")
	errKey    = errors.Newf("key is shorter than %d bytes", minKeyBytes)
)

// Pool holds the connections to and from other entry hosts.
type Pool struct {
	cfg     Config
	lookup  func(id string) (netip.AddrPort, bool)
	handler Handler
	log     log.Logger
	count   counters

	idle atomic.Int64 // nanoseconds, see SetIdleTimeout

	ctx    context.Context // ends when the pool is closed
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	peers    map[string]*remote
	incoming map[string]*incoming
	lastLog  time.Time // time of the last log line about a failed handshake
}

// remote is a host that is called. Holding the slot is required for dialling.
type remote struct {
	slot  chan struct{}
	users int       // calls that wait for the slot or hold it, guarded by Pool.mu
	conn  *outgoing // guarded by slot, or by Pool.mu when there are no users
}

// NewPool returns a pool. lookup returns the address of a listed host, and
// false for a host that is not listed; it is called concurrently.
func NewPool(cfg Config, lookup func(id string) (netip.AddrPort, bool), handler Handler) *Pool {
	cfg.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		cfg:      cfg,
		lookup:   lookup,
		handler:  handler,
		log:      log.With(cfg.Logger, "part", "peer"),
		count:    counters{set: cfg.Metrics},
		ctx:      ctx,
		cancel:   cancel,
		peers:    make(map[string]*remote),
		incoming: make(map[string]*incoming),
	}
	p.SetIdleTimeout(cfg.IdleTimeout)
	return p
}

// SetIdleTimeout replaces Config.IdleTimeout. A connection is closed with the
// first heartbeat interval that ends after it has been idle for that time. A time
// below the interval therefore avoids heartbeats on connections used only once.
func (p *Pool) SetIdleTimeout(d time.Duration) { p.idle.Store(int64(d)) }

// start runs f in a goroutine that Close waits for. It reports false when the
// pool is closed.
func (p *Pool) start(f func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.tasks.Go(f)
	return true
}

// Close closes all connections, cancels the contexts of the requests in progress
// and waits for them.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.tasks.Wait()
}

// Call calls a method of another host. Without an earlier deadline in the
// context the call ends after CallTimeout. See ErrNotSent, ErrOutcomeUnknown and
// RemoteError for the errors.
func (p *Pool) Call(ctx context.Context, host, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		conn, err := p.connect(ctx, host)
		if err != nil {
			return p.countCall(errors.Mark(errors.Wrapf(err, "call to %s", host), ErrNotSent))
		}
		err = conn.call(ctx, method, params, result)
		// The connection may have ended while it was not in use.
		if errors.Is(err, errConnClosed) && attempt == 1 {
			p.count.retry("connection_closed")
			continue
		}
		return p.countCall(err)
	}
}

func (p *Pool) countCall(err error) error {
	var remote *RemoteError
	switch {
	case err == nil:
		p.count.call("ok")
	case errors.As(err, &remote):
		p.count.call("remote_error")
	case errors.Is(err, ErrNotSent):
		p.count.call("not_sent")
	default:
		p.count.call("unknown")
	}
	return err
}

// acquire returns the entry of a host and keeps it from removal until release.
func (p *Pool) acquire(host string) (*remote, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	if len(p.cfg.Key) < minKeyBytes {
		return nil, errKey
	}
	r := p.peers[host]
	if r == nil {
		r = &remote{slot: make(chan struct{}, 1)}
		p.peers[host] = r
	}
	r.users++
	return r, nil
}

func (p *Pool) release(host string, r *remote) {
	p.mu.Lock()
	r.users--
	p.mu.Unlock()
	p.removeUnused(host)
}

// removeUnused removes the entry of a host that has no users and no connection.
// Host ids change with the host list, so unused entries must not accumulate.
func (p *Pool) removeUnused(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.peers[host]
	if r != nil && r.users == 0 && (r.conn == nil || r.conn.isClosed()) {
		delete(p.peers, host)
	}
}

// connect returns the open connection to a host or opens one.
func (p *Pool) connect(ctx context.Context, host string) (*outgoing, error) {
	addr, listed := p.lookup(host)
	if !listed {
		p.count.refused(directionOut, reasonUnlisted)
		p.closeUnlisted(host)
		return nil, ErrUnlisted
	}
	r, err := p.acquire(host)
	if err != nil {
		return nil, err
	}
	defer p.release(host, r)
	select {
	case r.slot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-r.slot }()
	if r.conn != nil && !r.conn.isClosed() {
		if r.conn.addr == addr {
			return r.conn, nil
		}
		r.conn.close("address_changed")
	}
	r.conn, err = p.dial(ctx, host, addr)
	return r.conn, err
}

// closeUnlisted closes the connection to a host that is no longer listed.
func (p *Pool) closeUnlisted(host string) {
	p.mu.Lock()
	var conn *outgoing
	if r := p.peers[host]; r != nil && r.users == 0 {
		conn = r.conn
	}
	p.mu.Unlock()
	if conn != nil {
		conn.close(reasonUnlisted)
	}
}

func (p *Pool) dial(ctx context.Context, host string, addr netip.AddrPort) (*outgoing, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.HandshakeTimeout)
	defer cancel()
	conn, err := p.cfg.Dial(ctx, addr)
	if err != nil {
		p.count.refused(directionOut, reasonDial)
		return nil, err
	}
	stop := closeWhenDone(ctx, conn)
	err = dialHandshake(conn, p.cfg.Key, p.cfg.Self, host)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		p.refuse(directionOut, host, err)
		return nil, err
	}
	out, err := p.newOutgoing(host, addr, conn)
	if err != nil {
		conn.Close()
	}
	return out, err
}

// closeWhenDone closes the connection when the context ends before the returned
// function is called, which then returns false.
func closeWhenDone(ctx context.Context, conn net.Conn) func() bool {
	return context.AfterFunc(ctx, func() { conn.Close() })
}

// refuse counts a failed handshake and logs it, at most once per logInterval.
func (p *Pool) refuse(direction, host string, err error) {
	reason := handshakeReason(err)
	p.count.refused(direction, reason)
	p.mu.Lock()
	now := time.Now()
	suppressed := now.Sub(p.lastLog) < logInterval
	if !suppressed {
		p.lastLog = now
	}
	p.mu.Unlock()
	if suppressed {
		return
	}
	p.log.Log("msg", "handshake failed", "direction", direction, "host", host, "reason", reason, "err", err)
}
