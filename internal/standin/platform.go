// Package standin provides stand-ins for the systems around nutmeglatch: the
// platform's configuration service, the fabric, backend servers and callers.
// Only tests and the demo use them.
package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// PlatformMode determines how the platform stand-in answers.
type PlatformMode int

// Modes of the platform stand-in.
const (
	PlatformUp     PlatformMode = iota
	PlatformDown                // answers 503
	PlatformStale               // answers with the values at the time of SetMode
	PlatformSilent              // accepts requests and never answers
)

// maxWait limits the duration of a blocking read, as in the Consul KV HTTP API.
const maxWait = 10 * time.Minute

type platformValue struct {
	index uint64
	raw   []byte
}

// Platform serves the read-only part of the Consul KV HTTP API from memory.
type Platform struct {
	server *http.Server
	addr   net.Addr

	mu      sync.Mutex
	mode    PlatformMode
	now     platformStore
	stale   platformStore
	silent  map[string]bool // keys and prefixes whose reads are never answered
	changed chan struct{}   // closed at the next change

	reads, sent atomic.Int64 // requests, and bytes of response bodies
}

// NewPlatform serves on the address until Close.
func NewPlatform(listen string) (*Platform, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	return ServePlatform(l), nil
}

// ServePlatform serves on a listener until Close.
func ServePlatform(l net.Listener) *Platform {
	p := &Platform{addr: l.Addr(), now: newPlatformStore(), silent: map[string]bool{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/", p.serveKV)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(l) }()
	return p
}

// URL returns the base URL of the configuration service.
func (p *Platform) URL() string { return "http://" + p.addr.String() }

// Reads returns the number of read requests so far. A blocking read counts as one.
func (p *Platform) Reads() int64 { return p.reads.Load() }

// SentBytes returns the total size of the response bodies so far.
func (p *Platform) SentBytes() int64 { return p.sent.Load() }

// Close stops the server and ends blocked reads.
func (p *Platform) Close() { _ = p.server.Close() }

// Put publishes a value and wakes blocked reads.
func (p *Platform) Put(key string, raw []byte) {
	p.change(func() { p.now.put(key, p.now.index+1, raw) })
}

// PutAt publishes a value with a given index, as after the service was restored
// from a backup.
func (p *Platform) PutAt(key string, index uint64, raw []byte) {
	p.change(func() { p.now.put(key, index, raw) })
}

// Delete removes a value and keeps the index of the deletion.
func (p *Platform) Delete(key string) {
	p.change(func() { p.now.remove(key) })
}

// Silence stops answering reads of exactly this key or prefix, or resumes if
// silent is false.
func (p *Platform) Silence(path string, silent bool) {
	p.change(func() { p.silent[path] = silent })
}

// SetMode changes how the platform answers.
func (p *Platform) SetMode(mode PlatformMode) {
	p.change(func() {
		if mode == PlatformStale {
			p.stale = p.now.clone()
		}
		p.mode = mode
	})
}

// change applies f and wakes blocked reads.
func (p *Platform) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// snapshot returns the mode and the answer for a query at present, and a channel
// that the next change closes.
func (p *Platform) snapshot(q platformQuery) (PlatformMode, platformAnswer, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent[q.path] {
		return PlatformSilent, platformAnswer{}, p.changed
	}
	if p.mode == PlatformStale {
		return p.mode, p.stale.read(q), p.changed
	}
	return p.mode, p.now.read(q), p.changed
}

func (p *Platform) serveKV(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	q := parsePlatformQuery(r.URL)
	ctx, cancel := context.WithTimeout(r.Context(), q.wait)
	defer cancel()
	for {
		mode, answer, changed := p.snapshot(q)
		switch {
		case mode == PlatformDown:
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
			return
		case mode == PlatformSilent:
			<-r.Context().Done()
			return
		case q.after == 0 || answer.index > q.after:
			p.sent.Add(answer.write(w, q))
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			p.sent.Add(answer.write(w, q))
			return
		}
	}
}
