package daemon

import (
	"context"
	"net"
	"net/netip"
)

// socketBufferBytes holds a burst of some thousand packets while a traffic
// goroutine waits for the processor.
const socketBufferBytes = 4 << 20

// PacketConn is the part of a UDP socket that the daemon uses.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error)
	Close() error
}

// Network opens the sockets of a daemon. Tests and the demo replace it to
// partition data centres.
type Network interface {
	ListenUDP(addr netip.AddrPort) (PacketConn, error)
	Listen(addr netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// SystemNetwork opens sockets of the operating system.
type SystemNetwork struct{}

// ListenUDP opens a UDP socket with large buffers.
func (SystemNetwork) ListenUDP(addr netip.AddrPort) (PacketConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	// The kernel may grant less; packets are then lost earlier under bursts.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// Listen opens a TCP listener.
func (SystemNetwork) Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

// Dial opens a TCP connection.
func (SystemNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}
