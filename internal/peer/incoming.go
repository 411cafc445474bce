package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/sourcegraph/jsonrpc2"
)

// acceptRetryDelay is the pause after a failed accept, so that a lack of file
// descriptors does not cause a busy loop.
const acceptRetryDelay = 50 * time.Millisecond

// incoming is a connection that another host dialled. It carries that host's calls.
type incoming struct {
	pool     *Pool
	host     string
	stream   *stream
	rpc      *jsonrpc2.Conn
	requests chan struct{} // one element per request in progress
	once     sync.Once
}

// Serve accepts connections until the context ends, then closes the pool.
func (p *Pool) Serve(ctx context.Context) error {
	defer p.Close()
	if len(p.cfg.Key) < minKeyBytes {
		return errKey
	}
	listener := p.cfg.Listener
	if listener == nil {
		var lc net.ListenConfig
		var err error
		listener, err = lc.Listen(ctx, "tcp", p.cfg.Listen.String())
		if err != nil {
			return errors.Wrapf(err, "listen on %s", p.cfg.Listen)
		}
	}
	defer listener.Close()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	slots := make(chan struct{}, p.cfg.MaxIncoming)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept")
		}
		if err != nil {
			p.count.refused(directionIn, "accept_failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		p.accept(conn, slots)
	}
}

func (p *Pool) accept(conn net.Conn, slots chan struct{}) {
	select {
	case slots <- struct{}{}:
	default:
		p.count.refused(directionIn, "too_many_connections")
		conn.Close()
		return
	}
	started := p.start(func() {
		defer func() { <-slots }()
		p.serveConn(conn)
	})
	if !started {
		conn.Close()
	}
}

// serveConn runs the handshake and then answers requests until the connection
// ends.
func (p *Pool) serveConn(conn net.Conn) {
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.HandshakeTimeout)
	defer cancel()
	stop := closeWhenDone(ctx, conn)
	host, err := acceptHandshake(conn, p.cfg.Key, p.cfg.Self, p.listed)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		p.refuse(directionIn, host, err)
		return
	}
	in := &incoming{
		pool:     p,
		host:     host,
		requests: make(chan struct{}, p.cfg.MaxRequests),
		stream:   newStream(conn, &p.cfg),
	}
	in.rpc = jsonrpc2.NewConn(p.ctx, in.stream, in, jsonrpc2.SetLogger(rpcLogger{p.log}))
	close(in.stream.ready)
	p.replace(in)
	<-in.rpc.DisconnectNotify()
	in.close(in.stream.failure())
	p.remove(in)
}

func (p *Pool) listed(id string) bool {
	_, ok := p.lookup(id)
	return ok
}

// replace makes in the only incoming connection of its host and closes the
// previous one: a host opens a new connection when the old one no longer delivers
// data.
func (p *Pool) replace(in *incoming) {
	p.mu.Lock()
	old := p.incoming[in.host]
	p.incoming[in.host] = in
	p.mu.Unlock()
	if old != nil {
		old.close("replaced")
	}
}

func (p *Pool) remove(in *incoming) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incoming[in.host] == in {
		delete(p.incoming, in.host)
	}
}

func (in *incoming) close(reason string) {
	in.once.Do(func() {
		in.pool.count.closed(directionIn, reason)
		in.pool.log.Log("msg", "connection closed", "direction", directionIn, "host", in.host, "reason", reason)
	})
	in.rpc.Close()
}

// Handle implements jsonrpc2.Handler. It does not block, so that heartbeats are
// answered while requests are in progress.
func (in *incoming) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == pingMethod {
		in.reply(ctx, req, struct{}{}, nil)
		return
	}
	if !in.pool.listed(in.host) {
		in.pool.count.request(reasonUnlisted)
		in.reply(ctx, req, nil, &RemoteError{Code: CodeUnlisted, Message: ErrUnlisted.Error()})
		in.close(reasonUnlisted)
		return
	}
	select {
	case in.requests <- struct{}{}:
	default:
		in.pool.count.request("busy")
		in.reply(ctx, req, nil, &RemoteError{Code: CodeBusy, Message: "too many requests in progress"})
		return
	}
	started := in.pool.start(func() {
		defer func() { <-in.requests }()
		in.run(ctx, req)
	})
	if !started {
		in.close("pool_closed")
	}
}

func (in *incoming) run(ctx context.Context, req *jsonrpc2.Request) {
	ctx, cancel := context.WithTimeout(ctx, in.pool.cfg.CallTimeout)
	defer cancel()
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := in.pool.handler.Handle(ctx, in.host, req.Method, params)
	var remote *RemoteError
	if errors.As(err, &remote) && remote.NotRun() {
		// The error may be the refusal of a third host, which the handler
		// returns. This host did run the request, so the code must not say that
		// it was not run.
		err = &RemoteError{Code: CodeHandler, Message: remote.Message}
	}
	in.reply(ctx, req, result, err)
}

func (in *incoming) reply(ctx context.Context, req *jsonrpc2.Request, result any, err error) {
	if req.Notif {
		return
	}
	resp := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = resp.SetResult(result)
	}
	if err != nil {
		resp.Result = nil
		resp.Error = wireError(err)
	}
	err = in.rpc.SendResponse(ctx, resp)
	if errors.Is(err, errFrameSize) {
		in.pool.count.request("answer_too_large")
		resp = &jsonrpc2.Response{ID: req.ID, Error: wireError(err)}
		err = in.rpc.SendResponse(ctx, resp)
	}
	if err != nil {
		in.close("write_failed")
	}
}

func wireError(err error) *jsonrpc2.Error {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return &jsonrpc2.Error{Code: remote.Code, Message: remote.Message}
	}
	return &jsonrpc2.Error{Code: CodeHandler, Message: err.Error()}
}

// rpcLogger writes the log lines of the jsonrpc2 package to logger.
type rpcLogger struct{ logger log.Logger }

// Printf implements jsonrpc2.Logger.
func (l rpcLogger) Printf(format string, v ...any) {
	l.logger.Log("msg", "JSON-RPC connection", "detail", fmt.Sprintf(format, v...))
}
