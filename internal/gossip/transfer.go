package gossip

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

const (
	// methodSince asks for what a host knows beyond a revision.
	methodSince = "registry.since"
	// idleTimeout bounds the time without progress of a transfer. A whole copy of the largest deployment takes a second on a
	// link of 10 Mbit/s, and several may share it.
	idleTimeout = 2 * time.Second
	// transferTimeout bounds a whole transfer, connection included.
	transferTimeout = 15 * time.Second
	// writeChunk is the number of bytes that must be written within idleTimeout.
	writeChunk = 32 << 10
	// maxTransfer bounds what is read from a connection, in bytes.
	maxTransfer = 32 << 20
	// maxTransfers bounds the transfers that a host serves at once.
	maxTransfers = 8
)

// Query asks for the updates after a revision.
type Query struct {
	After         uint64 `json:"after"`
	ConfigVersion uint64 `json:"config_version"` // that the asking host has; 0: none
	// CachedRevision is that of a whole copy which the answering host has at hand; its updates need not be listed again.
	CachedRevision uint64 `json:"-"`
}

// Copy is what a host knows beyond a revision.
type Copy struct {
	After    uint64            `json:"after"`
	Revision uint64            `json:"rev"`
	AgeMs    int64             `json:"age"`    // since the sender's copy was confirmed
	Full     bool              `json:"full"`   // everything, in place of the updates after a revision
	Cached   bool              `json:"-"`      // the updates are those of the query's kept revision, and not listed
	Updates  []registry.Update `json:"-"`      // travel packed
	Loaded   bool              `json:"loaded"` // false: the sender has nothing to give
}

// packedCopy is a Copy on the wire.
type packedCopy struct {
	Copy
	Packed []byte `json:"updates"`
}

// Fetch asks a host for what it knows beyond a revision.
func Fetch(ctx context.Context, host netip.AddrPort, q Query) (*Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: idleTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", host.String())
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host %s", host)
	}
	rpc := open(ctx, &limitedConn{Conn: conn, awaitsData: true}, jsonrpc2.HandlerWithError(refuse))
	defer rpc.Close()
	var packed packedCopy
	if err := rpc.Call(ctx, methodSince, q, &packed); err != nil {
		return nil, errors.Wrapf(err, "fetch from host %s", host)
	}
	c := packed.Copy
	if c.Updates, err = unpack(packed.Packed); err != nil {
		return nil, errors.Wrapf(err, "copy of host %s", host)
	}
	return &c, nil
}

func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this end answers no calls"}
}

// Serve answers fetches of other hosts until the listener closes. answer is called from several goroutines.
func Serve(ctx context.Context, l net.Listener, answer func(context.Context, Query) (*Copy, error)) error {
	places := make(chan struct{}, maxTransfers)
	packer := &packer{}
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept a host's connection")
		}
		select {
		case places <- struct{}{}:
			go func() {
				defer func() { <-places }()
				serveOne(ctx, conn, packer, answer)
			}()
		default:
			conn.Close()
		}
	}
}

func serveOne(ctx context.Context, conn net.Conn, p *packer, answer func(context.Context, Query) (*Copy, error)) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		// The other end has nothing to say while it receives its copy.
		if err := conn.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
		return handle(ctx, r, p, answer)
	})
	if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		conn.Close()
		return
	}
	rpc := open(ctx, &limitedConn{Conn: conn}, handler)
	defer rpc.Close()
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
}

func handle(ctx context.Context, r *jsonrpc2.Request, p *packer, answer func(context.Context, Query) (*Copy, error)) (any, error) {
	if r.Method != methodSince || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "allowed method: " + methodSince}
	}
	var q Query
	if err := json.Unmarshal(*r.Params, &q); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	q.CachedRevision = p.keptRevision()
	c, err := answer(ctx, q)
	if err != nil {
		return nil, err
	}
	return p.pack(c)
}

// limitedConn bounds the time without progress of a transfer.
type limitedConn struct {
	net.Conn
	awaitsData bool // the other end sends without long pauses
}

func (c *limitedConn) Read(b []byte) (int, error) {
	if c.awaitsData {
		if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(b)
}

func (c *limitedConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if err := c.SetWriteDeadline(time.Now().Add(idleTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(written+writeChunk, len(b))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func open(ctx context.Context, conn net.Conn, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	limited := struct {
		io.Reader
		io.WriteCloser
	}{io.LimitReader(conn, maxTransfer), conn}
	stream := jsonrpc2.NewBufferedStream(limited, jsonrpc2.VSCodeObjectCodec{})
	return jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(protocolErrors{}))
}

var protocolErrorCount = metrics.NewCounter(`nutmeglatch_gossip_protocol_errors_total`)

// protocolErrors counts what the RPC library would write to standard error. The calls concerned fail with an error.
type protocolErrors struct{}

// Printf counts one error.
func (protocolErrors) Printf(string, ...any) { protocolErrorCount.Inc() }
