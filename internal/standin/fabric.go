package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// maxDatagram is the largest UDP payload over IPv4.
const maxDatagram = 65507

// Fabric forwards each packet of a caller to a random entry host, and answers to
// the caller. It uses one socket: a datagram from an entry host is an answer, any
// other datagram comes from a caller.
type Fabric struct {
	conn *net.UDPConn

	mu      sync.RWMutex
	hosts   []netip.AddrPort
	isHost  map[netip.Addr]bool
	callers map[packet.Key]netip.AddrPort // by flow key of the caller's packets
	rnd     *rand.Rand

	lost atomic.Int64
}

// NewFabric listens on an address and starts forwarding. The seed determines the
// choice of entry hosts.
func NewFabric(listen string, seed uint64) (*Fabric, error) {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	conn, err := listenUDP(addr)
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		conn:    conn,
		isHost:  map[netip.Addr]bool{},
		callers: map[packet.Key]netip.AddrPort{},
		rnd:     rand.New(rand.NewPCG(seed, seed)),
	}
	go f.run()
	return f, nil
}

// Addr returns the address that callers and entry hosts send to.
func (f *Fabric) Addr() netip.AddrPort {
	return f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetHosts replaces the entry hosts that receive packets. Datagrams from earlier
// entry hosts are still treated as answers, since they may arrive late.
func (f *Fabric) SetHosts(hosts []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append([]netip.AddrPort(nil), hosts...)
	for _, h := range hosts {
		f.isHost[h.Addr()] = true
	}
}

// Lost returns the number of packets dropped as malformed or without destination.
func (f *Fabric) Lost() int64 { return f.lost.Load() }

// Close stops forwarding.
func (f *Fabric) Close() { _ = f.conn.Close() }

func (f *Fabric) run() {
	var parser packet.Parser
	var info packet.Info
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if err := parser.Parse(buf[:n], &info); err != nil {
			f.lost.Add(1)
			continue
		}
		to, ok := f.destination(unmap(from), &info)
		if !ok {
			f.lost.Add(1)
			continue
		}
		_, _ = f.conn.WriteToUDPAddrPort(buf[:n], to)
	}
}

func (f *Fabric) destination(from netip.AddrPort, info *packet.Info) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isHost[from.Addr()] {
		to, ok := f.callers[info.Key.Reverse()]
		return to, ok
	}
	f.callers[info.Key] = from
	if len(f.hosts) == 0 {
		return netip.AddrPort{}, false
	}
	return f.hosts[f.rnd.IntN(len(f.hosts))], true
}

// listenUDP opens a socket with buffers large enough for bursts of the demo's
// load.
func listenUDP(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	const bufferBytes = 4 << 20
	_ = conn.SetReadBuffer(bufferBytes)
	_ = conn.SetWriteBuffer(bufferBytes)
	return conn, nil
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
