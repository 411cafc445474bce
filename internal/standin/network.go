package standin

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Partition simulates network partitions. Addresses belong to named zones. Between
// zones that are cut from each other, datagrams are dropped and TCP connections
// stay open without delivering data.
type Partition struct {
	mu    sync.RWMutex
	zones map[netip.Addr]string
	cut   map[[2]string]bool
}

// NewPartition returns a Partition without zones or cuts.
func NewPartition() *Partition {
	return &Partition{zones: map[netip.Addr]string{}, cut: map[[2]string]bool{}}
}

// SetZone assigns an address to a zone.
func (p *Partition) SetZone(addr netip.Addr, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones[addr] = zone
}

// Cut separates two zones, or reconnects them if cut is false.
func (p *Partition) Cut(a, b string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[[2]string{a, b}] = cut
	p.cut[[2]string{b, a}] = cut
}

// Isolate separates a zone from all other zones that have addresses, or reconnects
// it if cut is false.
func (p *Partition) Isolate(zone string, cut bool) {
	p.mu.Lock()
	others := map[string]bool{}
	for _, z := range p.zones {
		others[z] = z != zone
	}
	p.mu.Unlock()
	for z, other := range others {
		if other {
			p.Cut(zone, z, cut)
		}
	}
}

func (p *Partition) blocked(a, b netip.Addr) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.cut[[2]string{p.zones[a.Unmap()], p.zones[b.Unmap()]}]
}

// HostNetwork opens the sockets of one entry host, subject to a partition.
type HostNetwork struct {
	Self      netip.Addr
	Partition *Partition
}

// PartitionedConn is a UDP socket that drops packets across a cut.
type PartitionedConn struct {
	*net.UDPConn
	network HostNetwork
}

// ListenUDP opens a UDP socket.
func (n HostNetwork) ListenUDP(addr netip.AddrPort) (*PartitionedConn, error) {
	conn, err := listenUDP(addr)
	if err != nil {
		return nil, err
	}
	return &PartitionedConn{UDPConn: conn, network: n}, nil
}

// WriteToUDPAddrPort drops the packet without an error if a cut separates the two
// ends, as a network does.
func (c *PartitionedConn) WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error) {
	if c.network.Partition.blocked(c.network.Self, addr.Addr()) {
		return len(b), nil
	}
	return c.UDPConn.WriteToUDPAddrPort(b, addr)
}

// Listen opens a TCP listener. Accepted connections deliver nothing across a cut.
func (n HostNetwork) Listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	return partitionedListener{Listener: l, network: n}, nil
}

type partitionedListener struct {
	net.Listener
	network HostNetwork
}

func (l partitionedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(conn), nil
}

// Dial opens a TCP connection from the host's own address. Across a cut it blocks
// until the context ends.
func (n HostNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if n.Partition.blocked(n.Self, addr.Addr()) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: n.Self.AsSlice()}}
	conn, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	return n.wrap(conn), nil
}

func (n HostNetwork) wrap(conn net.Conn) net.Conn {
	remote := conn.RemoteAddr().(*net.TCPAddr).AddrPort()
	return &partitionedStream{Conn: conn, network: n, remote: remote.Addr().Unmap()}
}

// partitionedStream is a TCP connection that discards data written across a cut
// and stays open.
type partitionedStream struct {
	net.Conn
	network HostNetwork
	remote  netip.Addr

	mu       sync.Mutex
	dataLost bool
}

func (s *partitionedStream) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A byte stream cannot continue after lost data, so all later writes are
	// discarded too.
	if s.dataLost || s.network.Partition.blocked(s.network.Self, s.remote) {
		s.dataLost = true
		return len(b), nil
	}
	return s.Conn.Write(b)
}
