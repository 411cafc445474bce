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
	// methodSince is the JSON-RPC method that requests the updates after a revision.
	methodSince = "registry.since"
	// idleTimeout bounds the time for which a transfer may make no progress. A full copy of the largest deployment takes a
	// second on a link of 10 Mbit/s, and several transfers may share the link.
	idleTimeout = 2 * time.Second
	// transferTimeout bounds a transfer as a whole, including the connection setup.
	transferTimeout = 15 * time.Second
	// writeChunk is the number of bytes per write, each of which must finish within idleTimeout.
	writeChunk = 32 << 10
	// maxTransferBytes bounds the number of bytes read from a connection, and the size of decompressed updates.
	maxTransferBytes = 32 << 20
	// maxTransfers bounds the number of transfers that a host serves concurrently.
	maxTransfers = 8
)

// Query requests the updates after a revision.
type Query struct {
	After         uint64 `json:"after"`
	ConfigVersion uint64 `json:"config_version"` // of the requesting host's configuration; 0: none
	// CachedRevision is the revision of the full copy that the answering host has cached in packed form; 0: none. If it is
	// current, the answer need not list the updates again.
	CachedRevision uint64 `json:"-"`
}

// Copy is the answer to a Query: the updates after a revision, or the full contents.
type Copy struct {
	After    uint64            `json:"after"`
	Revision uint64            `json:"rev"`
	AgeMs    int64             `json:"age"`    // time since the sender's copy was confirmed; NeverConfirmed: never
	Full     bool              `json:"full"`   // Updates are the full contents, not just the updates after a revision
	Cached   bool              `json:"-"`      // Updates is empty; the cached packed copy of the query's CachedRevision is sent
	Updates  []registry.Update `json:"-"`      // sent in packed form, see packedCopy
	Loaded   bool              `json:"loaded"` // false: the sender has no complete contents yet
}

// packedCopy is the wire form of a Copy.
type packedCopy struct {
	Copy
	Packed []byte `json:"updates"`
}

// Fetch requests the updates after a revision from a host.
func Fetch(ctx context.Context, host netip.AddrPort, q Query) (*Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: idleTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", host.String())
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host %s", host)
	}
	rpc := newRPCConn(ctx, &limitedConn{Conn: conn, limitReads: true}, jsonrpc2.HandlerWithError(rejectCall))
	defer rpc.Close()
	var packed packedCopy
	if err := rpc.Call(ctx, methodSince, q, &packed); err != nil {
		return nil, errors.Wrapf(err, "fetch from host %s", host)
	}
	c := packed.Copy
	if c.Updates, err = unpack(packed.Packed); err != nil {
		return nil, errors.Wrapf(err, "unpack copy from host %s", host)
	}
	return &c, nil
}

// rejectCall rejects requests that the serving host sends, because the fetching host has no methods to call.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this end answers no calls"}
}

// Serve answers fetches of other hosts until the listener is closed. Connections above maxTransfers are closed at once.
// Serve calls answer concurrently.
func Serve(ctx context.Context, l net.Listener, answer func(context.Context, Query) (*Copy, error)) error {
	slots := make(chan struct{}, maxTransfers)
	packer := &packer{}
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection of another host")
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				serveConn(ctx, conn, packer, answer)
			}()
		default:
			conn.Close()
		}
	}
}

func serveConn(ctx context.Context, conn net.Conn, p *packer, answer func(context.Context, Query) (*Copy, error)) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		// The client sends nothing while it receives its copy, so reads no longer have a deadline.
		if err := conn.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
		return handle(ctx, r, p, answer)
	})
	if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		conn.Close()
		return
	}
	rpc := newRPCConn(ctx, &limitedConn{Conn: conn}, handler)
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
	q.CachedRevision = p.cachedRevision()
	c, err := answer(ctx, q)
	if err != nil {
		return nil, err
	}
	return p.pack(c)
}

// limitedConn fails a write that makes no progress for idleTimeout, and a read as well if limitReads is set.
type limitedConn struct {
	net.Conn
	limitReads bool // set by the fetching host, as the serving one sends without long pauses
}

func (c *limitedConn) Read(b []byte) (int, error) {
	if c.limitReads {
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

// newRPCConn returns a JSON-RPC connection that reads at most maxTransferBytes.
func newRPCConn(ctx context.Context, conn net.Conn, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	limited := struct {
		io.Reader
		io.WriteCloser
	}{io.LimitReader(conn, maxTransferBytes), conn}
	stream := jsonrpc2.NewBufferedStream(limited, jsonrpc2.VSCodeObjectCodec{})
	return jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(protocolErrors{}))
}

var protocolErrorCount = metrics.NewCounter(`nutmeglatch_gossip_protocol_errors_total`)

// protocolErrors counts the errors that the RPC library would otherwise log to standard error. The affected calls also
// return an error.
type protocolErrors struct{}

// Printf implements jsonrpc2.Logger.
func (protocolErrors) Printf(string, ...any) { protocolErrorCount.Inc() }
