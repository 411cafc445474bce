//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Header of a packet, see PROTOCOL.md.
const (
	headLen    = 34
	flagACK    = 4
	flagSYN    = 8
	flagFIN    = 32
	flagRST    = 128
	copyAfter1 = 200 * time.Millisecond
	copyAfter2 = 600 * time.Millisecond
	giveUp     = 1400 * time.Millisecond
)

type packet struct {
	echo     uint32
	flags    byte
	seq, ack uint32
	src, dst netip.AddrPort
	data     []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headLen, headLen+len(p.data))
	binary.LittleEndian.PutUint16(b[0:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[2:], p.echo)
	b[6] = p.flags
	binary.LittleEndian.PutUint32(b[10:], p.seq)
	binary.LittleEndian.PutUint32(b[14:], p.ack)
	putAddr(b[22:], b[24:], p.dst)
	putAddr(b[28:], b[30:], p.src)
	return append(b, p.data...)
}

func putAddr(port, addr []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	binary.LittleEndian.PutUint16(port, a.Port())
	binary.LittleEndian.PutUint32(addr, binary.BigEndian.Uint32(ip[:]))
}

func decode(b []byte) (packet, bool) {
	if len(b) < headLen || int(binary.LittleEndian.Uint16(b)) != len(b)-headLen {
		return packet{}, false
	}
	addr := func(port, ip int) netip.AddrPort {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], binary.LittleEndian.Uint32(b[ip:]))
		return netip.AddrPortFrom(netip.AddrFrom4(a), binary.LittleEndian.Uint16(b[port:]))
	}
	return packet{
		echo: binary.LittleEndian.Uint32(b[2:]), flags: b[6], seq: binary.LittleEndian.Uint32(b[10:]), ack: binary.LittleEndian.Uint32(b[14:]),
		dst: addr(22, 24), src: addr(28, 30), data: append([]byte(nil), b[headLen:]...),
	}, true
}

// endpoint stands in for an endpoint of a service.
type endpoint struct {
	w        *world
	id       string
	identity uint64
	service  string
	zone     string
	addr     string
	conn     *net.UDPConn
	check    net.Listener
	bornAt   time.Time
	coldFor  time.Duration

	mu       sync.Mutex
	draining bool
	beats    bool // it writes its entry
	sequence int
	lastBeat time.Time
	next     time.Time // of the next beat
	entry    string    // last entry without its sequence
	gone     bool
	flows    map[netip.AddrPort]*endpointFlow
	opened   []opening // first opening packet of each flow
	resets   int       // resets that it has sent
	ran      int       // requests that it has run
}

type endpointFlow struct {
	seq    uint32 // of its next data
	open   bool
	closed bool    // it has sent a FIN
	last   uint32  // sequence number of the last request
	reply  *packet // to the last request
}

type opening struct {
	at   time.Duration
	from netip.AddrPort
}

// newEndpoint starts an endpoint. It is cold for coldFor.
func (w *world) newEndpoint(service, zone string, d int, coldFor time.Duration) (*endpoint, error) {
	e := &endpoint{w: w, id: newID(), service: service, zone: zone, addr: w.addr(100, d, endpointPort), bornAt: time.Now(), coldFor: coldFor,
		beats: true, flows: map[netip.AddrPort]*endpointFlow{}}
	var err error
	if e.identity, err = strconv.ParseUint(e.id[2:], 16, 64); err != nil {
		return nil, err
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	go e.beat()
	return e, nil
}

// listen opens the sockets of the endpoint and serves them.
func (e *endpoint) listen() error {
	udp, err := net.ResolveUDPAddr("udp4", e.addr)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return err
	}
	check, err := net.Listen("tcp4", e.addr)
	if err != nil {
		return err
	}
	e.conn, e.check = conn, check
	go func() {
		for {
			c, err := check.Accept()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	go e.serve(conn)
	return nil
}

// crash ends the endpoint without a word: it discards its flows and its entry stays.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats = false
	e.flows = map[netip.AddrPort]*endpointFlow{}
	e.conn.Close()
	e.check.Close()
}

// startDelay is the time from the report of an endpoint that has come back to its first flow.
const startDelay = 100 * time.Millisecond

// comeBack starts the endpoint again under its id. It reports itself first if the store is up, otherwise when it is up again.
func (e *endpoint) comeBack(coldFor time.Duration) error {
	e.mu.Lock()
	e.bornAt, e.coldFor, e.sequence = time.Now(), coldFor, 0
	if e.entry != "" {
		e.entry = "of an earlier start"
	}
	e.beats, e.next = true, time.Now()
	if !e.w.store.isDown() {
		e.write()
		e.next = time.Now().Add(heartbeat)
	}
	e.mu.Unlock()
	time.Sleep(startDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listen()
}

// cold reports whether the endpoint is in its cold period.
func (e *endpoint) cold() bool { return time.Since(e.bornAt) < e.coldFor }

// beat writes the entry about every heartbeat. The store removes it after three intervals of silence, also while it is down.
func (e *endpoint) beat() {
	for {
		e.mu.Lock()
		if e.gone {
			e.mu.Unlock()
			return
		}
		if !time.Now().Before(e.next) && e.beats && !e.w.store.isDown() {
			e.write()
			e.next = time.Now().Add(heartbeat)
		}
		if !e.lastBeat.IsZero() && time.Since(e.lastBeat) > 3*heartbeat && e.entry != "" {
			e.entry = ""
			e.w.note("entry of %s expires", e.id)
			e.w.store.remove("servers/" + e.id)
		}
		e.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// write writes the entry; the store's item changes only if more than the sequence has changed.
func (e *endpoint) write() {
	e.sequence++
	e.lastBeat = time.Now()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	left := max(e.coldFor-time.Since(e.bornAt), 0).Milliseconds()
	isCold := left > 0
	key := fmt.Sprintf("%s %v", state, isCold)
	if key == e.entry {
		return
	}
	first := e.entry == ""
	e.entry = key
	value, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "maxConcurrency": 2, "state": state,
		"warmupLeftMs": left, "sequence": e.sequence, "born": e.bornAt.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	if first {
		e.w.note("entry of %s (%s, %s, warmupLeftMs %d) is written", e.id, e.service, state, left)
	}
	e.w.store.put("servers/"+e.id, value)
}

// openings returns the first opening packet of each flow.
func (e *endpoint) openings() []opening {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]opening(nil), e.opened...)
}

// drain reports that the endpoint is leaving.
func (e *endpoint) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.write()
}

// end ends the endpoint; its entry is removed if it leaves in order.
func (e *endpoint) end(inOrder bool) {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	e.conn.Close()
	e.check.Close()
	if inOrder {
		e.w.store.remove("servers/" + e.id)
	}
}

// serve answers packets: SYN+ACK to a SYN, a response of one packet to a request of one packet.
func (e *endpoint) serve(conn *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		receiver := binary.BigEndian.Uint64(b)
		if receiver != 0 && receiver != e.identity {
			continue
		}
		p, ok := decode(b[8:n])
		if !ok {
			continue
		}
		e.handle(&p)
	}
}

func (e *endpoint) handle(p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[p.src]
	reply := packet{echo: p.echo, src: p.dst, dst: p.src}
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &endpointFlow{seq: uint32(time.Now().UnixNano()) | 1}
			e.flows[p.src] = f
			e.opened = append(e.opened, opening{at: e.w.now(), from: p.src})
		}
		reply.flags, reply.seq, reply.ack = flagSYN|flagACK, f.seq, p.seq+1
	case p.flags&flagRST != 0:
		delete(e.flows, p.src)
		return
	case f == nil || f.closed && len(p.data) > 0 && p.seq != f.last:
		reply.flags, reply.seq = flagRST, p.ack
		e.resets++
	case len(p.data) > 0 && f.reply != nil && p.seq == f.last:
		reply = *f.reply
	case len(p.data) > 0:
		f.open = true
		reply.flags, reply.seq, reply.ack = flagACK, f.seq+1, p.seq+uint32(len(p.data))
		reply.data = []byte("HTTP/1.1 200 OK\r\nServer-Seal: " + e.id + "\r\nContent-Length: 0\r\n\r\n")
		if e.draining {
			reply.flags |= flagFIN
			f.closed = true
		}
		f.seq += uint32(len(reply.data))
		f.last = p.seq
		sent := reply
		f.reply = &sent
		e.ran++
	default:
		f.open = true
		return
	}
	to := netip.AddrPortFrom(p.src.Addr(), packetPort)
	_, _ = e.conn.WriteToUDPAddrPort(reply.encode(), to)
}

// requester stands in for a requester machine with an address of its own.
type requester struct {
	w     *world
	zone  string
	ip    netip.Addr
	conn  *net.UDPConn
	port  atomic.Uint32
	mu    sync.Mutex
	flows map[uint16]chan packet
}

func (w *world) newRequester(zone string, d int) (*requester, error) {
	r := &requester{w: w, zone: zone, ip: netip.MustParseAddr(w.ip(200, d)), flows: map[uint16]chan packet{}}
	r.port.Store(20000)
	var err error
	if r.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.ip, packetPort))); err != nil {
		return nil, err
	}
	go func() {
		b := make([]byte, 2048)
		for {
			n, _, err := r.conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			p, ok := decode(b[:n])
			if !ok {
				continue
			}
			r.mu.Lock()
			c := r.flows[p.dst.Port()]
			r.mu.Unlock()
			if c != nil {
				select {
				case c <- p:
				default:
				}
			}
		}
	}()
	return r, nil
}

// result is the outcome of a request on a flow of its own.
type result struct {
	sentAt  time.Duration
	via     *entryHost // host that took the first opening packet
	outcome string     // "served", "reset" or "unanswered"
	by      string     // endpoint that served it
}

// request opens a flow to a route, sends a request of one packet and waits for its response. If via is nil, the routers
// choose the host.
func (r *requester) request(route string, via *entryHost) result {
	port := uint16(20000 + r.port.Add(1)%40000)
	in := make(chan packet, 16)
	r.mu.Lock()
	r.flows[port] = in
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.flows, port)
		r.mu.Unlock()
	}()
	src, dst := netip.AddrPortFrom(r.ip, port), netip.MustParseAddrPort(route)
	hash := uint32(port)*2654435761 ^ uint32(dst.Port()) ^ binary.BigEndian.Uint32(r.ip.AsSlice())
	send := func(p packet) *entryHost {
		host := via
		if host == nil {
			host = r.w.pick(r.zone, hash>>8)
		}
		p.src, p.dst = src, dst
		to := netip.AddrPortFrom(netip.MustParseAddr(host.ip), packetPort)
		_, _ = r.conn.WriteToUDPAddrPort(p.encode(), to)
		return host
	}
	seq := uint32(time.Now().UnixNano()) | 1
	res := result{sentAt: r.w.now(), outcome: "unanswered"}
	res.via = send(packet{flags: flagSYN, seq: seq})
	start := time.Now()
	copies := []time.Duration{copyAfter1, copyAfter2}
	open := false
	var token, serverSeq uint32
	timer := time.NewTimer(copyAfter1)
	defer timer.Stop()
	for sent := uint32(0); ; {
		select {
		case p := <-in:
			switch {
			case p.flags&flagRST != 0:
				res.outcome = "reset"
				return res
			case !open && p.flags&(flagSYN|flagACK) == flagSYN|flagACK && p.ack == seq+1:
				open, token, serverSeq = true, p.echo, p.seq
				send(packet{flags: flagACK, echo: token, seq: seq + 1, ack: serverSeq + 1,
					data: []byte("GET / HTTP/1.1\r\nHost: x\r\nAttempt-Id: " + src.String() + "\r\n\r\n")})
				timer.Reset(giveUp)
			case open && len(p.data) > 0:
				var seal string
				if _, err := fmt.Sscanf(string(p.data), "HTTP/1.1 200 OK\r\nServer-Seal: %s", &seal); err == nil {
					res.by = seal
				}
				res.outcome = "served"
				send(packet{flags: flagACK | flagFIN, echo: token, seq: seq + 2, ack: p.seq + uint32(len(p.data))})
				return res
			}
		case <-timer.C:
			if open || int(sent) >= len(copies) {
				return res
			}
			sent++
			send(packet{flags: flagSYN, seq: seq, ack: sent})
			if int(sent) < len(copies) {
				timer.Reset(copies[sent] - time.Since(start))
			} else {
				timer.Reset(giveUp - time.Since(start))
			}
		}
	}
}
