//go:build review

package main

import (
	"encoding/binary"
	"net/netip"
	"strings"
	"time"
)

// stream is a long flow of a requester: requests with pauses between them.
type stream struct {
	r        *requester
	src, dst netip.AddrPort
	hash     uint32
	in       chan packet
	token    uint32
	seq, ack uint32
	by       string // endpoint, after the first response
}

// Outcomes of a request on a stream.
type requestOutcome int

const (
	served   requestOutcome = iota
	closed                  // served, and the endpoint has closed the flow
	wasReset                // a reset arrived
	silent                  // no answer
)

// open opens a flow and returns it, or nil.
func (r *requester) open(route string) *stream {
	port := uint16(20000 + r.port.Add(1)%40000)
	s := &stream{r: r, src: netip.AddrPortFrom(r.ip, port), dst: netip.MustParseAddrPort(route), in: make(chan packet, 64)}
	s.hash = (uint32(port)*2654435761 ^ uint32(s.dst.Port()) ^ binary.BigEndian.Uint32(r.ip.AsSlice())) >> 8
	r.mu.Lock()
	r.flows[port] = s.in
	r.mu.Unlock()
	first := uint32(time.Now().UnixNano()) | 1
	for n, wait := range []time.Duration{copyAfter1, copyAfter2 - copyAfter1, giveUp - copyAfter2} {
		s.send(packet{flags: flagSYN, seq: first, ack: uint32(n)})
		timer := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-s.in:
				if p.flags&flagRST != 0 {
					s.close()
					return nil
				}
				if p.flags&(flagSYN|flagACK) == flagSYN|flagACK && p.ack == first+1 {
					s.token, s.seq, s.ack = p.echo, first+1, p.seq+1
					s.send(packet{flags: flagACK, echo: s.token, seq: s.seq, ack: s.ack})
					return s
				}
			case <-timer:
				waiting = false
			}
		}
	}
	s.close()
	return nil
}

// send sends a packet to the host that the routers choose now.
func (s *stream) send(p packet) {
	p.src, p.dst = s.src, s.dst
	host := s.r.w.pick(s.r.zone, s.hash)
	_, _ = s.r.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(netip.MustParseAddr(host.ip), packetPort))
}

// request sends a request and waits for its response. Packets that are not answered are sent again.
func (s *stream) request() requestOutcome {
	data := []byte("GET / HTTP/1.1\r\nHost: x\r\nAttempt-Id: " + s.src.String() + "\r\n\r\n")
	wait := 200 * time.Millisecond
	for range 5 {
		s.send(packet{flags: flagACK, echo: s.token, seq: s.seq, ack: s.ack, data: data})
		timer := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-s.in:
				switch {
				case p.flags&flagRST != 0:
					return wasReset
				case len(p.data) > 0 && p.seq == s.ack:
					s.seq += uint32(len(data))
					s.ack += uint32(len(p.data))
					_, seal, _ := strings.Cut(string(p.data), "Server-Seal: ")
					s.by, _, _ = strings.Cut(seal, "\r\n")
					s.send(packet{flags: flagACK | p.flags&flagFIN, echo: s.token, seq: s.seq, ack: s.ack})
					if p.flags&flagFIN != 0 {
						return closed
					}
					return served
				}
			case <-timer:
				waiting = false
			}
		}
		wait = min(2*wait, 1600*time.Millisecond)
	}
	return silent
}

// idle waits and reports whether a reset arrived meanwhile.
func (s *stream) idle(d time.Duration) bool {
	timer := time.After(d)
	for {
		select {
		case p := <-s.in:
			if p.flags&flagRST != 0 {
				return true
			}
		case <-timer:
			return false
		}
	}
}

// close forgets the flow.
func (s *stream) close() {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	delete(s.r.flows, s.src.Port())
}
