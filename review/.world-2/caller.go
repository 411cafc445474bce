package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// caller is a requester: one address, many flows.
type caller struct {
	w    *world
	addr netip.Addr
	zone string
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan packet
}

func newCaller(w *world, addr netip.Addr, zone string) (*caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, w.packetPort)))
	if err != nil {
		return nil, err
	}
	c := &caller{w: w, addr: addr, zone: zone, conn: conn, port: 1024, flows: map[uint16]chan packet{}}
	go c.receive()
	return c, nil
}

func (c *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok || !p.sumOK && (p.flags != flagRST || p.sum != 0) {
			continue
		}
		c.mu.Lock()
		ch := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if ch != nil {
			select {
			case ch <- p:
			default:
			}
		}
	}
}

// flow is an open flow of a caller.
type flow struct {
	c            *caller
	id           flowID
	in           chan packet
	echo         uint32
	snd, rcv     uint32
	synAt        time.Time
	systemResets int
}

func (f *flow) send(flags byte, seq, ack uint32, data []byte) {
	p := packet{echo: f.echo, flags: flags, seq: seq, ack: ack, src: f.id.caller, dst: f.id.service, data: data}
	f.c.w.toSystem(f.c, &p)
}

// dial opens a flow. It fails after 1.4 s, or with a reset.
func (c *caller) dial(service netip.AddrPort) (*flow, error) {
	c.mu.Lock()
	c.port++
	f := &flow{c: c, id: flowID{netip.AddrPortFrom(c.addr, c.port), service}, in: make(chan packet, 64), snd: rand.Uint32(), synAt: time.Now()}
	c.flows[c.port] = f.in
	c.mu.Unlock()
	copies := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	f.send(flagSYN, f.snd, 0, nil)
	for n := range copies {
		end := time.After(time.Until(f.synAt.Add(copies[n])))
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				if p.flags&flagRST != 0 {
					f.drop()
					return nil, fmt.Errorf("reset while opening")
				}
				if p.flags == flagSYN|flagACK && p.ack == f.snd+1 {
					f.snd, f.rcv, f.echo = f.snd+1, p.seq+1, p.echo
					return f, nil
				}
			case <-end:
				waiting = false
			}
		}
		if n < 2 {
			f.send(flagSYN, f.snd, uint32(n+1), nil)
		}
	}
	f.drop()
	return nil, fmt.Errorf("not opened")
}

func (f *flow) drop() {
	f.c.mu.Lock()
	delete(f.c.flows, f.id.caller.Port())
	f.c.mu.Unlock()
}

// request sends a request and waits for the answer until the deadline.
func (f *flow) request(id string, deadline time.Duration) error {
	data := []byte(fmt.Sprintf("GET / HTTP/1.1\r\nHost: service\r\nAttempt-Id: %s\r\n\r\n", id))
	f.send(flagACK, f.snd, f.rcv, data)
	end, again, pause := time.After(deadline), time.After(200*time.Millisecond), 400*time.Millisecond
	for {
		select {
		case p := <-f.in:
			switch {
			case p.flags&flagRST != 0:
				if p.sumOK {
					f.c.w.wasReset(f, "backend server")
				} else if int32(p.seq-f.rcv) > -76800 && int32(p.seq-f.rcv) < 76800 {
					f.c.w.wasReset(f, "system")
				} else {
					continue
				}
				f.drop()
				return fmt.Errorf("reset")
			case p.flags&flagSYN != 0:
				continue
			case p.flags&flagFIN != 0:
				f.close()
				return fmt.Errorf("closed by the server")
			case len(p.data) > 0 && p.seq == f.rcv:
				f.echo = p.echo
				f.snd += uint32(len(data))
				f.rcv += uint32(len(p.data))
				if !strings.HasSuffix(string(p.data), "done "+id) {
					return fmt.Errorf("foreign answer")
				}
				f.send(flagACK, f.snd, f.rcv, nil)
				return nil
			}
		case <-again:
			f.send(flagACK, f.snd, f.rcv, data)
			again = time.After(pause)
			pause = min(2*pause, 1600*time.Millisecond)
		case <-end:
			f.drop()
			return fmt.Errorf("deadline")
		}
	}
}

func (f *flow) close() {
	f.send(flagFIN|flagACK, f.snd, f.rcv, nil)
	time.AfterFunc(500*time.Millisecond, f.drop)
}
