// Package standin holds small stand-ins of the systems around nutmeglatch: the
// platform's configuration service, the fabric, backend servers and callers.
// Tests and the demo use them; nothing else does.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// PlatformMode is the way in which the platform stand-in answers.
type PlatformMode int

// Modes of the platform stand-in.
const (
	PlatformUp     PlatformMode = iota
	PlatformDown                // answers 503
	PlatformStale               // answers from the values at the time of the switch
	PlatformSilent              // accepts requests and never answers
)

// maxWait bounds a blocking read, as the Consul KV HTTP API does.
const maxWait = 10 * time.Minute

type platformValue struct {
	index uint64
	raw   []byte
}

// Platform serves the Consul KV HTTP API read-only from memory.
type Platform struct {
	server *http.Server
	addr   net.Addr

	mu      sync.Mutex
	mode    PlatformMode
	index   uint64
	values  map[string]platformValue
	stale   map[string]platformValue
	staleAt uint64
	changed chan struct{}

	reads atomic.Int64
}

// NewPlatform serves on the address until Close.
func NewPlatform(listen string) (*Platform, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Platform{addr: l.Addr(), index: 1, values: map[string]platformValue{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/", p.serveKV)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// URL returns the base URL of the configuration service.
func (p *Platform) URL() string { return "http://" + p.addr.String() }

// Reads returns the number of reads so far; a waiting watch counts as one.
func (p *Platform) Reads() int64 { return p.reads.Load() }

// Close stops the server and ends waiting reads.
func (p *Platform) Close() { _ = p.server.Close() }

// Put publishes a value and wakes the waiting reads.
func (p *Platform) Put(key string, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.values[key] = platformValue{index: p.index, raw: append([]byte(nil), raw...)}
	p.wake()
}

// SetMode changes the way in which the platform answers.
func (p *Platform) SetMode(mode PlatformMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == PlatformStale {
		p.stale, p.staleAt = copyValues(p.values), p.index
	}
	p.mode = mode
	p.wake()
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func copyValues(in map[string]platformValue) map[string]platformValue {
	out := make(map[string]platformValue, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}

// view returns what a read sees now, and the channel that a change closes.
func (p *Platform) view() (PlatformMode, uint64, map[string]platformValue, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == PlatformStale {
		return p.mode, p.staleAt, p.stale, p.changed
	}
	return p.mode, p.index, copyValues(p.values), p.changed
}

func (p *Platform) serveKV(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	prefix := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		mode, index, values, changed := p.view()
		switch {
		case mode == PlatformDown:
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
			return
		case mode == PlatformSilent:
			<-r.Context().Done()
			return
		case after == 0 || index != after:
			writeKV(w, prefix, index, values)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			writeKV(w, prefix, index, values)
			return
		}
	}
}

// kvEntry is one element of the answer of the Consul KV HTTP API.
type kvEntry struct {
	Key         string
	ModifyIndex uint64
	CreateIndex uint64
	LockIndex   uint64
	Flags       uint64
	Value       []byte
}

func writeKV(w http.ResponseWriter, prefix string, index uint64, values map[string]platformValue) {
	entries := []kvEntry{}
	for key, v := range values {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, kvEntry{Key: key, ModifyIndex: v.index, CreateIndex: 1, Value: v.raw})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(entries) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(entries)
}
