package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// pingMethod is the method of heartbeats. It is not passed to the Handler.
const pingMethod = "peer.ping"

// errConnClosed is returned, marked with ErrNotSent, if the connection ended before
// the request was sent.
var errConnClosed = errors.New("connection is closed")

// outgoing is a connection that this host dialled. It carries this host's calls.
type outgoing struct {
	pool   *Pool
	host   string
	addr   netip.AddrPort
	stream *stream
	rpc    *jsonrpc2.Conn

	sending chan struct{} // held while a request is written, see send
	once    sync.Once

	mu       sync.Mutex
	calls    int // in progress
	lastCall time.Time
	retired  bool // accepts no more calls
	ctx      context.Context
	cancel   context.CancelFunc
}

func (p *Pool) newOutgoing(host string, addr netip.AddrPort, conn net.Conn) (*outgoing, error) {
	o := &outgoing{
		pool:    p,
		host:    host,
		addr:    addr,
		sending: make(chan struct{}, 1),
		stream:  newStream(conn, &p.cfg),
	}
	o.lastCall = time.Now()
	o.ctx, o.cancel = context.WithCancel(p.ctx)
	o.rpc = jsonrpc2.NewConn(o.ctx, o.stream, refuseRequests{o}, jsonrpc2.SetLogger(rpcLogger{p.log}))
	close(o.stream.ready)
	if !p.start(o.keepAlive) {
		o.close("pool_closed")
		return nil, errClosed
	}
	return o, nil
}

// begin registers a call. It reports false when the connection is being closed
// because it was idle.
func (o *outgoing) begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.retired {
		return false
	}
	o.calls++
	return true
}

func (o *outgoing) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls--
	o.lastCall = time.Now()
}

// retire reports whether the connection has been idle for the given time. If so,
// it prevents further calls, because their outcome would be unknown when the
// connection is closed.
func (o *outgoing) retire(idle time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retired = o.calls == 0 && time.Since(o.lastCall) >= idle
	return o.retired
}

// isClosed reports whether the connection accepts no more calls.
func (o *outgoing) isClosed() bool {
	select {
	case <-o.rpc.DisconnectNotify():
		return true
	default:
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.retired
}

// close closes the connection and counts the first reason given.
func (o *outgoing) close(reason string) {
	o.once.Do(func() {
		o.pool.count.closed(directionOut, reason)
		o.pool.log.Log("msg", "connection closed", "direction", directionOut, "host", o.host, "reason", reason)
	})
	o.cancel()
	o.rpc.Close()
}

// keepAlive sends heartbeats and closes the connection when one is not answered
// or when there have been no calls for the idle timeout.
func (o *outgoing) keepAlive() {
	defer o.pool.removeUnused(o.host)
	ticker := time.NewTicker(o.pool.cfg.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-o.pool.ctx.Done():
			o.close("pool_closed")
			return
		case <-o.rpc.DisconnectNotify():
			o.close(o.stream.failure())
			return
		case <-ticker.C:
		}
		if o.retire(time.Duration(o.pool.idle.Load())) {
			o.close("idle")
			return
		}
		if err := o.ping(); err != nil && !o.isClosed() {
			o.close("heartbeat_missed")
			return
		}
	}
}

// ping sends a heartbeat and waits for the reply. Any data that arrives meanwhile
// counts as a reply, because a long message may delay the reply. While a request
// is being written, its write deadline replaces the heartbeat.
func (o *outgoing) ping() error {
	ctx, cancel := context.WithTimeout(o.ctx, o.pool.cfg.HeartbeatTimeout)
	defer cancel()
	started := time.Now().UnixNano()
	waiter, err := o.send(ctx, pingMethod, nil)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	if err != nil {
		return err
	}
	err = waiter.Wait(ctx, nil)
	if o.stream.lastRead.Load() > started {
		return nil
	}
	return err
}

// send writes one request. The error matches ErrNotSent if and only if no byte
// was passed to the connection. Requests are written one at a time, so that
// stream.written refers to this request.
func (o *outgoing) send(ctx context.Context, method string, params any) (jsonrpc2.Waiter, error) {
	select {
	case o.sending <- struct{}{}:
	case <-ctx.Done():
		return jsonrpc2.Waiter{}, errors.Mark(ctx.Err(), ErrNotSent)
	}
	defer func() { <-o.sending }()
	if err := ctx.Err(); err != nil {
		return jsonrpc2.Waiter{}, errors.Mark(err, ErrNotSent)
	}
	o.stream.written.Store(false)
	waiter, err := o.rpc.DispatchCall(ctx, method, params)
	if err == nil || o.stream.written.Load() {
		return waiter, mark(err, ErrOutcomeUnknown)
	}
	if errors.Is(err, jsonrpc2.ErrClosed) {
		err = errConnClosed
	}
	return waiter, errors.Mark(err, ErrNotSent)
}

func mark(err, kind error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, kind)
}

func (o *outgoing) call(ctx context.Context, method string, params, result any) error {
	if !o.begin() {
		return errors.Mark(errConnClosed, ErrNotSent)
	}
	defer o.end()
	waiter, err := o.send(ctx, method, params)
	if err != nil {
		return errors.Wrapf(err, "call to %s", o.host)
	}
	var raw json.RawMessage
	err = waiter.Wait(ctx, &raw)
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return &RemoteError{Code: remote.Code, Message: remote.Message}
	}
	if err == nil && result != nil {
		err = json.Unmarshal(raw, result)
	}
	return mark(errors.Wrapf(err, "call to %s", o.host), ErrOutcomeUnknown)
}

// refuseRequests closes a connection on which the called host sends requests:
// each host makes its calls on connections that it dialled.
type refuseRequests struct{ conn *outgoing }

// Handle implements jsonrpc2.Handler.
func (r refuseRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {
	r.conn.close("unexpected_request")
}
