package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// relay is the way of one host to the store. While it is cut, nothing passes in either direction.
type relay struct {
	addr netip.AddrPort
	mu   sync.Mutex
	cut  bool
	open sync.Cond // no longer cut
}

func newRelay(addr, to netip.AddrPort) (*relay, error) {
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	r := &relay{addr: addr}
	r.open.L = &r.mu
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(conn, to)
		}
	}()
	return r, nil
}

func (r *relay) pass(conn net.Conn, to netip.AddrPort) {
	defer conn.Close()
	r.wait()
	server, err := net.Dial("tcp4", to.String())
	if err != nil {
		return
	}
	defer server.Close()
	go func() { io.Copy(relayWriter{r, server}, conn); server.Close() }()
	io.Copy(relayWriter{r, conn}, server)
}

func (r *relay) wait() {
	r.mu.Lock()
	for r.cut {
		r.open.Wait()
	}
	r.mu.Unlock()
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	r.open.Broadcast()
}

type relayWriter struct {
	r  *relay
	to net.Conn
}

func (w relayWriter) Write(b []byte) (int, error) {
	w.r.wait()
	return w.to.Write(b)
}

// addRelays puts a relay between each host and the store. The hosts must not run yet.
func (w *world) addRelays() {
	for n, h := range w.hosts {
		r, err := newRelay(netip.AddrPortFrom(w.ip(251, 1+n), w.storeAddr.Port()), w.storeAddr)
		if err != nil {
			w.fail("relay: %v", err)
		}
		h.relay = r
	}
	w.writeSettings(w.storeAddr)
}

// readerStatus returns whether a host reads the store for the others, by its own status, and the age of its last confirmation.
func (w *world) readerStatus(h *host) (bool, time.Duration) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/status", h.addr, w.adminPort))
	if err != nil {
		return false, 0
	}
	defer response.Body.Close()
	var status struct {
		Reader bool  `json:"reader"`
		AgeMs  int64 `json:"age_ms"`
	}
	err = json.NewDecoder(response.Body).Decode(&status)
	return err == nil && status.Reader, time.Duration(status.AgeMs) * time.Millisecond
}

// storeReader returns the host that reads the store for the others, shortly after the store has confirmed its contents.
func (w *world) storeReader() *host {
	for _, h := range w.hosts {
		if is, _ := w.readerStatus(h); !is {
			continue
		}
		for range 500 {
			if is, age := w.readerStatus(h); is && age < 100*time.Millisecond {
				return h
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	w.fail("no host reads the store")
	return nil
}
