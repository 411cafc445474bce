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
	// methodCopy is the JSON-RPC method that requests a part of the updates after a revision.
	methodCopy = "registry.copy"
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
	Era           uint64 `json:"era,omitempty"` // of After
	After         uint64 `json:"after"`
	ConfigVersion uint64 `json:"config_version"` // of the requesting host's configuration; 0: none
	// Cached is the version of the full copy that the answering host has cached in packed form; zero: none. If it is
	// current, the answer need not list the updates again.
	Cached registry.Version `json:"-"`
	// CachedHolding states whether that copy contains knowledge of an older era.
	CachedHolding bool `json:"-"`
}

// Copy is the answer to a Query: the updates after a revision, or the full contents.
type Copy struct {
	After    uint64            `json:"after"`
	Revision uint64            `json:"rev"`
	Era      uint64            `json:"era,omitempty"`
	Began    uint64            `json:"began,omitempty"`   // see registry.State.Began
	AgeMs    int64             `json:"age"`               // time since the sender's copy was confirmed; NeverConfirmed: never
	Full     bool              `json:"full"`              // Updates are the full contents, not just the updates after a revision
	Cached   bool              `json:"-"`                 // Updates is empty; the cached packed copy of the query's Cached is sent
	Updates  []registry.Update `json:"-"`                 // sent in packed parts, see copyPart
	Loaded   bool              `json:"loaded"`            // false: the sender has no complete contents yet
	Holding  bool              `json:"holding,omitempty"` // Updates contain knowledge of an older era
	PackedMs int64             `json:"packed,omitempty"`  // of a copy with such knowledge: time since it was packed
}

// Version returns the version up to which the copy is complete.
func (c *Copy) Version() registry.Version {
	return registry.Version{Era: c.Era, Revision: c.Revision}
}

// partQuery is the wire form of a Query. Part 0 requests a new copy; the other parts belong to the copy that was requested
// last on the connection.
type partQuery struct {
	Query
	Part int `json:"part"`
}

// copyPart is the wire form of a part of a Copy.
type copyPart struct {
	Copy
	NumParts int    `json:"parts"`
	Packed   []byte `json:"updates"`
}

// Fetch requests the updates after a revision from a host. It returns an error unless all parts of the copy arrive.
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
	c, err := fetchParts(ctx, rpc, q)
	return c, errors.Wrapf(err, "fetch from host %s", host)
}

// fetchParts requests all parts of a copy, one after the other, and unpacks them when all have arrived: while a host unpacks,
// it requests nothing, and the connection would count as stuck.
func fetchParts(ctx context.Context, rpc *jsonrpc2.Conn, q Query) (*Copy, error) {
	parts, err := requestParts(ctx, rpc, q)
	if err != nil {
		return nil, err
	}
	c := parts[0].Copy
	for n, part := range parts {
		updates, err := unpack(part.Packed)
		if err != nil {
			return nil, errors.Wrapf(err, "unpack part %d", n)
		}
		for i := range updates {
			if o := updates[i].Older; o != nil {
				o.Remaining -= time.Duration(c.PackedMs) * time.Millisecond
			}
		}
		c.Updates = append(c.Updates, updates...)
	}
	return &c, nil
}

// requestParts requests all parts of a copy and checks that they belong together.
func requestParts(ctx context.Context, rpc *jsonrpc2.Conn, q Query) ([]*copyPart, error) {
	var parts []*copyPart
	for n := 0; n == 0 || n < parts[0].NumParts; n++ {
		var part copyPart
		if err := rpc.Call(ctx, methodCopy, partQuery{Query: q, Part: n}, &part); err != nil {
			return nil, errors.Wrapf(err, "request part %d", n)
		}
		if n == 0 && (part.NumParts < 1 || part.NumParts > maxParts) {
			return nil, errors.Wrapf(ErrMalformed, "copy of %d parts", part.NumParts)
		}
		if !validAge(part.AgeMs, NeverConfirmed) || !validAge(part.PackedMs, 0) {
			return nil, errors.Wrapf(ErrMalformed, "copy of age %d ms", part.AgeMs)
		}
		parts = append(parts, &part)
		if first := parts[0]; part.Version() != first.Version() || part.Full != first.Full || part.NumParts != first.NumParts {
			return nil, errors.Wrapf(ErrMalformed, "part %d belongs to another copy", n)
		}
	}
	return parts, nil
}

// rejectCall rejects requests that the serving host sends, because the fetching host has no methods to call.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this end answers no calls"}
}

// Serve answers fetches of other hosts until the listener is closed. Connections above maxTransfers are closed at once.
// Serve calls answer concurrently.
func Serve(ctx context.Context, l net.Listener, answer answerFunc) error {
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

func serveConn(ctx context.Context, conn net.Conn, p *packer, answer answerFunc) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	transfer := &transfer{packer: p, answer: answer}
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		// The client sends nothing while it receives a part, so reads no longer have a deadline.
		if err := conn.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
		return transfer.handle(ctx, r)
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

// answerFunc returns the copy that answers a query.
type answerFunc func(context.Context, Query) (*Copy, error)

// transfer is the state of a connection on which another host fetches a copy. Its calls are handled one at a time.
type transfer struct {
	packer *packer
	answer answerFunc
	header Copy   // the copy requested last, without its updates
	parts  *parts // of that copy; nil: none was requested
}

func (t *transfer) handle(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	if r.Method != methodCopy || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "allowed method: " + methodCopy}
	}
	var q partQuery
	if err := json.Unmarshal(*r.Params, &q); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if q.Part == 0 {
		if err := t.begin(ctx, q.Query); err != nil {
			return nil, err
		}
	}
	if t.parts == nil || q.Part < 0 || q.Part >= t.parts.num() {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no such part of the requested copy"}
	}
	packed, err := t.parts.pack(q.Part)
	if err != nil {
		return nil, err
	}
	return &copyPart{Copy: t.header, NumParts: t.parts.num(), Packed: packed}, nil
}

// begin takes the copy that answers a query, to be sent in parts.
func (t *transfer) begin(ctx context.Context, q Query) error {
	q.Cached, q.CachedHolding = t.packer.cachedVersion()
	c, err := t.answer(ctx, q)
	if err != nil {
		return err
	}
	if t.parts, err = t.packer.partsOf(c); err != nil {
		return err
	}
	t.header = *c
	t.header.Updates = nil
	return nil
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
