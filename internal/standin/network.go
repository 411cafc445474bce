package standin

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Partition decides which addresses can reach each other. Addresses belong to
// named zones; zones that are cut from each other lose each other's packets,
// and connections between them go silent.
type Partition struct {
	mu    sync.RWMutex
	zones map[netip.Addr]string
	cut   map[[2]string]bool
}

// NewPartition returns a partition in which everything is connected.
func NewPartition() *Partition {
	return &Partition{zones: map[netip.Addr]string{}, cut: map[[2]string]bool{}}
}

// SetZone assigns an address to a zone.
func (p *Partition) SetZone(addr netip.Addr, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones[addr] = zone
}

// Cut separates two zones, or joins them again.
func (p *Partition) Cut(a, b string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[[2]string{a, b}] = cut
	p.cut[[2]string{b, a}] = cut
}

// Isolate cuts a zone from all other zones that are known, or joins it again.
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

// HostNetwork opens the sockets of one entry host within a partition.
type HostNetwork struct {
	Self      netip.Addr
	Partition *Partition
}

// PartitionedConn is a UDP socket that loses packets across a cut.
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

// WriteToUDPAddrPort drops the packet without an error when a cut separates
// the two ends, as a network does.
func (c *PartitionedConn) WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error) {
	if c.network.Partition.blocked(c.network.Self, addr.Addr()) {
		return len(b), nil
	}
	return c.UDPConn.WriteToUDPAddrPort(b, addr)
}

// Listen opens a TCP listener. Accepted connections go silent across a cut.
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

// Dial opens a TCP connection from the host's own address. Across a cut it
// waits until the context ends.
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

// partitionedStream discards what is written across a cut, so that the
// connection stays open and silent.
type partitionedStream struct {
	net.Conn
	network HostNetwork
	remote  netip.Addr

	mu   sync.Mutex
	lost bool
}

func (s *partitionedStream) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A byte stream that lost data never recovers, so it stays silent.
	if s.lost || s.network.Partition.blocked(s.network.Self, s.remote) {
		s.lost = true
		return len(b), nil
	}
	return s.Conn.Write(b)
}
