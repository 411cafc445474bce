//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxValue  = 1048576 // platform.valueBytes
	historyS  = 20 * time.Second
	pageItems = 500
	pageBytes = 1 << 20
)

// item is an item of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"` // encoded as base64 text
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// store stands in for the platform's store. Each host reaches it under an address of its own, so that it can be cut off.
type store struct {
	w        *world
	mu       sync.Mutex
	changed  *sync.Cond
	items    map[string]item
	history  []item
	dropped  uint64 // history up to this revision is gone
	revision uint64
	down     chan struct{}            // open while the store is down; nil: it is up
	cut      map[string]chan struct{} // per host address: open while the host is cut off
	waiting  map[string]int           // watches of a host that wait
}

func newStore(w *world) *store {
	s := &store{w: w, items: map[string]item{}, revision: 100, cut: map[string]chan struct{}{}, waiting: map[string]int{}}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			for len(s.history) > 0 && time.Since(s.history[0].at) > historyS {
				s.dropped = s.history[0].Revision
				s.history = s.history[1:]
			}
			s.changed.Broadcast()
			s.mu.Unlock()
		}
	}()
	return s
}

// listen serves the store for a host.
func (s *store) listen(host *entryHost) error {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", host.storeIP, storePort))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.serve(host, rw, r) })}
	go server.Serve(l)
	return nil
}

// blocked returns a channel that is open while calls of a host are not answered, or nil.
func (s *store) blocked(host *entryHost) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down != nil {
		return s.down
	}
	return s.cut[host.storeIP]
}

// serve answers a call, or nothing at all on a connection that meets a cut or an outage.
func (s *store) serve(host *entryHost, rw http.ResponseWriter, r *http.Request) {
	hang := func(until chan struct{}) {
		<-until
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	if until := s.blocked(host); until != nil {
		hang(until)
	}
	status, body := s.answer(host, r)
	if until := s.blocked(host); until != nil {
		hang(until)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}

func (s *store) answer(host *entryHost, r *http.Request) (int, []byte) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-range":
		return http.StatusOK, s.page(q.Get("prefix"), q.Get("after"))
	case "/v1/kv-watch":
		after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, err2 := strconv.Atoi(q.Get("waitMs"))
		if err1 != nil || err2 != nil {
			return http.StatusBadRequest, nil
		}
		return s.watch(host, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	}
	return http.StatusNotFound, nil
}

// page returns a page of the items, at most pageItems or pageBytes of values.
func (s *store) page(prefix, after string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	out := struct {
		Items         []item `json:"items"`
		HasMore       bool   `json:"hasMore"`
		StoreRevision uint64 `json:"storeRevision"`
	}{Items: []item{}, StoreRevision: s.revision}
	size := 0
	for _, key := range keys {
		if len(out.Items) == pageItems || size > 0 && size+len(s.items[key].Value) > pageBytes {
			out.HasMore = true
			break
		}
		size += len(s.items[key].Value)
		out.Items = append(out.Items, s.items[key])
	}
	b, _ := json.Marshal(out)
	return b
}

// watch returns the events after a revision as soon as there is one.
func (s *store) watch(host *entryHost, prefix string, after uint64, wait time.Duration) (int, []byte) {
	deadline := time.Now().Add(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait > 0 {
		s.waiting[host.storeIP]++
		defer func() { s.waiting[host.storeIP]-- }()
	}
	for {
		if after < s.dropped {
			return http.StatusGone, []byte(`{}`)
		}
		out := struct {
			Events        []item `json:"events"`
			StoreRevision uint64 `json:"storeRevision"`
		}{Events: []item{}, StoreRevision: s.revision}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				out.Events = append(out.Events, e)
			}
		}
		if len(out.Events) > 0 || !time.Now().Before(deadline) {
			b, _ := json.Marshal(out)
			return http.StatusOK, b
		}
		s.changed.Wait()
	}
}

// reader returns the host that has a watch waiting, if there is exactly one.
func (s *store) reader(hosts []*entryHost) *entryHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found *entryHost
	for _, h := range hosts {
		if s.waiting[h.storeIP] > 0 {
			if found != nil {
				return nil
			}
			found = h
		}
	}
	return found
}

// put writes an item and returns when it is acknowledged.
func (s *store) put(key string, value []byte) {
	if len(value) > maxValue {
		panic("value exceeds platform.valueBytes")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, at: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.changed.Broadcast()
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
	s.changed.Broadcast()
}

// setDown takes the store down or up for all callers.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.down = make(chan struct{})
	} else {
		close(s.down)
		s.down = nil
	}
}

// isDown reports whether the store is down.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down != nil
}

// cutOff partitions a host from the store, or ends that.
func (s *store) cutOff(h *entryHost, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cut {
		s.cut[h.storeIP] = make(chan struct{})
	} else {
		close(s.cut[h.storeIP])
		delete(s.cut, h.storeIP)
	}
}

// routeJSON, serviceJSON and configJSON are the published form of a configuration.
type routeJSON struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
}

type serviceJSON struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmupS"`
	WarmupPerS float64 `json:"warmupPerS"`
}

type configJSON struct {
	Version  int           `json:"version"`
	Routes   []routeJSON   `json:"routes"`
	Services []serviceJSON `json:"services"`
	Limits   struct {
		MaxHeaderBytes  int `json:"maxHeaderBytes"`
		MaxBodyBytes    int `json:"maxBodyBytes"`
		HeaderTimeoutMs int `json:"headerTimeoutMs"`
		IdleTimeoutMs   int `json:"idleTimeoutMs"`
	} `json:"limits"`
}

// sysadmin writes configurations.
type sysadmin struct {
	s      *store
	config configJSON
}

func newSysadmin(s *store, services ...serviceJSON) *sysadmin {
	a := &sysadmin{s: s}
	a.config.Version = 5
	a.config.Services = services
	a.config.Limits.MaxHeaderBytes, a.config.Limits.MaxBodyBytes = 16384, 262144
	a.config.Limits.HeaderTimeoutMs, a.config.Limits.IdleTimeoutMs = 3000, 15000
	return a
}

func service(name string, warmupS, warmupPerS float64) serviceJSON {
	return serviceJSON{Name: name, HealthPath: "/health", MaxConns: 2000, Protocol: "h1", WarmupS: warmupS, WarmupPerS: warmupPerS}
}

// addRoute adds a route without publishing it, and returns its address as HOST:PORT.
func (a *sysadmin) addRoute(service, kind string) string {
	n := len(a.config.Routes)
	host := fmt.Sprintf("198.18.%d.%d", n/200, n%200+1)
	a.config.Routes = append(a.config.Routes, routeJSON{
		Name: fmt.Sprintf("r-%07x", 0x5a00000+n), Host: host, Prefix: "/8443/", Kind: kind, TimeoutMs: 1000, TargetLatencyMs: 1000, Priority: 2,
		Service: service, MaxAttempts: 2,
	})
	return host + ":8443"
}

// publish writes the configuration with a new version. It returns the length of the value.
func (a *sysadmin) publish() int {
	a.config.Version += 2
	b, err := json.Marshal(a.config)
	if err != nil {
		panic(err)
	}
	a.s.put("op/config", b)
	return len(b)
}
