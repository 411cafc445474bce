// Package peer carries messages between entry hosts: JSON-RPC 2.0 calls over
// authenticated TCP connections, and authenticated datagrams with probes and reports.
//
// Both hosts are authenticated when a connection is opened. It carries the calls
// of the host that dialled it, which has one connection to each host that it
// calls. It is closed when it has been idle for the idle timeout or when a
// heartbeat is not answered.
package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
)

// Defaults of Config.
const (
	DefaultCallTimeout      = 5 * time.Second
	DefaultHeartbeat        = 2 * time.Second
	DefaultHeartbeatTimeout = 2 * time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultIdleTimeout      = 30 * time.Second
	DefaultMaxMessage       = 2 << 20 // bytes
	DefaultMaxIncoming      = 256
	DefaultMaxRequests      = 64
)

// Config holds the settings of a Pool. Zero durations, counts and functions are
// replaced with the defaults.
type Config struct {
	Self   string
	Listen netip.AddrPort
	// Listener is used instead of Listen when it is not nil.
	Listener net.Listener
	Key      []byte // at least 16 bytes, the same on every host

	CallTimeout      time.Duration // for calls whose context has no earlier deadline; limits the Handler too
	Heartbeat        time.Duration
	HeartbeatTimeout time.Duration // deadline of the reply to a heartbeat
	HandshakeTimeout time.Duration // dialling included
	IdleTimeout      time.Duration
	MaxMessage       int // bytes
	MaxIncoming      int // incoming connections, those in the handshake included
	MaxRequests      int // requests in progress per incoming connection

	Dial    func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Logger  log.Logger
	Metrics *metrics.Set
}

func (c *Config) setDefaults() {
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	c.Heartbeat = cmp.Or(c.Heartbeat, DefaultHeartbeat)
	c.HeartbeatTimeout = cmp.Or(c.HeartbeatTimeout, DefaultHeartbeatTimeout)
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, DefaultHandshakeTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.MaxMessage = cmp.Or(c.MaxMessage, DefaultMaxMessage)
	c.MaxIncoming = cmp.Or(c.MaxIncoming, DefaultMaxIncoming)
	c.MaxRequests = cmp.Or(c.MaxRequests, DefaultMaxRequests)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// Outcomes of a call that did not succeed. An error from Call matches exactly
// one of ErrNotSent, ErrOutcomeUnknown and *RemoteError.
var (
	// ErrNotSent means that no part of the request was sent.
	ErrNotSent = errors.New("call was not sent")
	// ErrOutcomeUnknown means that the request may have been received and run.
	ErrOutcomeUnknown = errors.New("outcome of the call is unknown")
)

// Codes of errors that this package returns to the calling host. In both cases
// the Handler did not run.
const (
	CodeBusy     = -32050
	CodeUnlisted = -32051
)

// CodeHandler is the code of a Handler's error that is not a RemoteError, and of a
// response that exceeds MaxMessage.
const CodeHandler = -32052

// RemoteError is an error that the called host returned.
type RemoteError struct {
	Code    int64
	Message string
}

// Error returns the message of the called host.
func (e *RemoteError) Error() string { return e.Message }

// NotRun reports whether the called host refused the request before its
// Handler started.
func (e *RemoteError) NotRun() bool { return e.Code == CodeBusy || e.Code == CodeUnlisted }

// Handler answers the requests of other hosts. It may be called concurrently. A
// *RemoteError is returned to the calling host with its code.
type Handler interface {
	Handle(ctx context.Context, from, method string, params json.RawMessage) (any, error)
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(ctx context.Context, from, method string, params json.RawMessage) (any, error)

// Handle calls the function.
func (f HandlerFunc) Handle(ctx context.Context, from, method string, params json.RawMessage) (any, error) {
	return f(ctx, from, method, params)
}
