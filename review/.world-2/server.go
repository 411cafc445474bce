package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"
)

const heartbeat = 1200 * time.Millisecond

type flowID struct{ caller, service netip.AddrPort }

type serverFlow struct {
	iss, snd, rcv uint32
	echo          uint32
	open          bool
	synAt         time.Time
	last          []byte // the last answer, sent again when its request is repeated
}

// server is a backend server. It answers callers directly.
type server struct {
	w           *world
	id, service string
	zone        string
	addr        netip.AddrPort
	identity    uint64
	work        time.Duration
	beatAt      time.Duration // phase of its reports within heartbeat

	mu       sync.Mutex
	conn     *net.UDPConn
	health   net.Listener
	flows    map[flowID]*serverFlow
	ended    map[flowID]bool
	started  time.Time
	cold     time.Duration // after this start
	sequence int
	running  bool
	draining bool
	drainAck time.Time // when the store accepted the report that it drains
	dark     bool      // answers nothing, nor do its connections
	stop     chan struct{}
}

func identityOf(id string) uint64 {
	var n uint64
	for _, r := range id {
		if i := strings.IndexRune("0123456789abcdef", r); i >= 0 {
			n = n<<4 | uint64(i)
		}
	}
	return n
}

// start begins a new lifetime, which knows nothing of before.
func (s *server) start(cold time.Duration) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.addr))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", s.addr.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.identity = identityOf(s.id)
	s.conn, s.health = conn, l
	s.flows, s.ended = map[flowID]*serverFlow{}, map[flowID]bool{}
	s.started, s.cold, s.sequence, s.running, s.dark, s.draining = time.Now(), cold, 0, true, false, false
	s.stop = make(chan struct{})
	s.mu.Unlock()
	s.w.log("server %s starts, cold for %v", s.id, cold)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Instance-Id", s.id) }))
	go s.receive(conn)
	go s.report(s.stop)
	return nil
}

// crashDark ends the process; its machine answers nothing. A listener whose queue is full stands in for the machine: the kernel
// drops further opening packets of connections.
func (s *server) crashDark() (release func()) {
	s.mu.Lock()
	s.running, s.dark = false, true
	close(s.stop)
	s.health.Close()
	conn := s.conn
	s.mu.Unlock()
	s.w.log("server %s crashes, its machine is silent", s.id)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		s.w.fail("socket: %v", err)
	}
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(s.addr.Port()), Addr: s.addr.Addr().As4()}); err != nil {
		s.w.fail("bind: %v", err)
	}
	syscall.Listen(fd, 0)
	var full []net.Conn
	for range 3 {
		if c, err := net.DialTimeout("tcp4", s.addr.String(), 50*time.Millisecond); err == nil {
			full = append(full, c)
		}
	}
	return func() {
		conn.Close()
		for _, c := range full {
			c.Close()
		}
		syscall.Close(fd)
	}
}

func (s *server) entry() map[string]any {
	left := max(0, s.cold-time.Since(s.started)).Milliseconds()
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return map[string]any{"service": s.service, "address": s.addr.String(), "zone": s.zone, "version": "v1", "maxConcurrency": 3,
		"state": state, "warmupLeftMs": left, "sequence": s.sequence, "born": s.started.UnixMilli()}
}

// drain reports that the server drains. It serves on until leave.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.sequence++
	if !s.w.store.put("servers/"+s.id, s.entry()) {
		s.w.fail("draining not acknowledged")
	}
	s.drainAck = time.Now()
	s.w.log("server %s drains, acknowledged", s.id)
}

// leave ends a draining server.
func (s *server) leave() {
	s.mu.Lock()
	s.running, s.dark = false, true
	close(s.stop)
	s.health.Close()
	s.conn.Close()
	s.mu.Unlock()
	s.w.store.remove("servers/" + s.id)
	s.w.log("server %s leaves", s.id)
}

// report writes to the store at the start and in each heartbeat.
func (s *server) report(stop chan struct{}) {
	written := false
	for {
		s.mu.Lock()
		s.sequence++
		entry := s.entry()
		s.mu.Unlock()
		if s.w.store.beat("servers/"+s.id, entry) && !written {
			written = true
			s.w.log("server %s: entry written", s.id)
		}
		next := time.Until(s.w.began.Add(time.Since(s.w.began).Truncate(heartbeat) + s.beatAt))
		if next <= 0 {
			next += heartbeat
		}
		select {
		case <-time.After(next):
		case <-stop:
			return
		}
	}
}

func (s *server) receive(conn *net.UDPConn) {
	buffer := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		p, ok := decode(buffer[8:n])
		if !ok || !p.sumOK {
			continue
		}
		s.handle(binary.BigEndian.Uint64(buffer), &p)
	}
}

func (s *server) send(p *packet) {
	s.w.toCaller(s.conn, p)
}

func (s *server) handle(receiver uint64, p *packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dark || receiver != 0 && receiver != s.identity {
		return
	}
	id := flowID{p.src, p.dst}
	f := s.flows[id]
	reply := func(flags byte, seq, ack uint32, data []byte) []byte {
		out := packet{echo: p.echo, flags: flags, seq: seq, ack: ack, src: p.dst, dst: p.src, data: data}
		s.send(&out)
		return out.encode()
	}
	switch {
	case p.flags&flagSYN != 0:
		if f == nil || f.rcv != p.seq+1 {
			f = &serverFlow{iss: rand.Uint32(), rcv: p.seq + 1, synAt: time.Now()}
			f.snd = f.iss + 1
			s.flows[id] = f
		}
		reply(flagSYN|flagACK, f.iss, f.rcv, nil)
		return
	case p.flags&flagRST != 0:
		delete(s.flows, id)
		return
	case f == nil && s.ended[id] && p.flags&flagFIN != 0:
		reply(flagACK, p.ack, p.seq+1, nil)
		return
	case f == nil || !f.open && p.ack != f.iss+1:
		s.w.resets(s, id)
		reply(flagRST, p.ack, 0, nil)
		return
	}
	f.echo = p.echo
	if !f.open {
		f.open = true
		s.w.opened(s, id, f.synAt)
	}
	if len(p.data) > 0 {
		switch {
		case p.seq == f.rcv:
			f.rcv += uint32(len(p.data))
			request := requestID(p.data)
			s.w.runs(s, id, request)
			go s.answer(id, f, request)
		case f.last != nil:
			reply(flagACK, f.snd, f.rcv, nil)
			s.conn.WriteToUDPAddrPort(f.last, netip.AddrPortFrom(id.caller.Addr(), s.w.packetPort))
		}
	}
	if p.flags&flagFIN != 0 {
		reply(flagFIN|flagACK, f.snd, p.seq+uint32(len(p.data))+1, nil)
		delete(s.flows, id)
		s.ended[id] = true
	}
}

func (s *server) answer(id flowID, f *serverFlow, request string) {
	time.Sleep(s.work)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[id] != f || s.dark || !s.running {
		return
	}
	body := "done " + request
	data := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", s.id, len(body), body))
	out := packet{echo: f.echo, flags: flagACK, seq: f.snd, ack: f.rcv, src: id.service, dst: id.caller, data: data}
	f.snd += uint32(len(data))
	f.last = out.encode()
	s.send(&out)
	if s.draining {
		fin := packet{echo: f.echo, flags: flagFIN | flagACK, seq: f.snd, ack: f.rcv, src: id.service, dst: id.caller}
		f.snd++
		s.send(&fin)
	}
}

// requestID returns the Attempt-Id of a request.
func requestID(data []byte) string {
	_, after, _ := strings.Cut(string(data), "Attempt-Id: ")
	id, _, _ := strings.Cut(after, "\r\n")
	return id
}
