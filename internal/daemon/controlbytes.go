package daemon

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
)

// controlBytes counts the control traffic of one kind, without packet headers.
type controlBytes struct{ sent, received *metrics.Counter }

func newControlBytes(kind string) controlBytes {
	counter := func(direction string) *metrics.Counter {
		return metrics.NewCounter(fmt.Sprintf(`nutmeglatch_daemon_control_bytes_total{kind=%q,direction=%q}`, kind, direction))
	}
	return controlBytes{sent: counter("sent"), received: counter("received")}
}

// Control traffic by kind: call is for calls between entry hosts, load for reads
// of load URLs.
var (
	probeBytes    = newControlBytes("probe")
	reportBytes   = newControlBytes("report")
	callBytes     = newControlBytes("call")
	platformBytes = newControlBytes("platform")
	loadBytes     = newControlBytes("load")
)

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	bytes controlBytes
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.received.Add(n)
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.sent.Add(n)
	return n, err
}

func (b controlBytes) wrap(conn net.Conn) net.Conn { return countedConn{conn, b} }

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	bytes controlBytes
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.bytes.wrap(conn), nil
}

// dialer wraps dial to count the bytes of the connections that it opens.
func (b controlBytes) dialer(dial func(context.Context, netip.AddrPort) (net.Conn, error)) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return b.wrap(conn), nil
	}
}

// sendSealed sends a datagram that only entry hosts with the peer key accept.
func (d *Daemon) sendSealed(b controlBytes, body []byte, to netip.AddrPort) {
	sealed := d.probes.Seal(nil, body)
	if _, err := d.peerUDP.WriteToUDPAddrPort(sealed, to); err != nil {
		counters.sendErrors.Inc()
		return
	}
	b.sent.Add(len(sealed))
}
