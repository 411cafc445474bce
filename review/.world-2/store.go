package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems = 500 // items of a page at most
	historyS  = 20
	lifetime  = 3 * heartbeat // of the entry of a backend server after its last report
)

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

type snapshot struct {
	items    map[string]item
	revision uint64
	at       time.Time
}

// store is the platform's store. While it is down it is silent: calls get no answer.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	beats    map[string]time.Time // last report of the backend servers, by key
	revision uint64
	history  []item
	since    uint64 // history holds what came after this revision
	era      int
	down     bool
	lapses   bool // entries expire while the store is down
	changed  chan struct{}
	copies   []snapshot
	server   *http.Server
	handler  http.Handler
}

func newStore(addr string) (*store, error) {
	s := &store{items: map[string]item{}, beats: map[string]time.Time{}, revision: 100, since: 100, era: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	s.handler = mux
	go s.expire()
	return s, s.serve(addr)
}

// serve makes the store available at an address, and no longer at the one before.
func (s *store) serve(addr string) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	before := s.server
	s.server = &http.Server{Handler: s.handler}
	go s.server.Serve(l)
	if before != nil {
		before.Close()
	}
	return nil
}

func (s *store) notify() { close(s.changed); s.changed = make(chan struct{}) }

func (s *store) write(it item) {
	s.revision++
	it.Revision, it.at = s.revision, time.Now()
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	} else {
		it.Created = it.Revision
	}
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	s.notify()
}

// put writes an item. It reports whether the store has acknowledged it.
func (s *store) put(key string, value any) bool {
	raw, _ := json.Marshal(value)
	text := base64.StdEncoding.EncodeToString(raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.write(item{Key: key, Value: text})
	return true
}

func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	delete(s.beats, key)
	if _, ok := s.items[key]; ok {
		s.write(item{Key: key, Deleted: true})
	}
	return true
}

// beat takes a report of a backend server. The item changes if more than the sequence differs from what the store has.
func (s *store) beat(key string, entry map[string]any) bool {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return false
	}
	s.beats[key] = time.Now()
	raw, err := base64.StdEncoding.DecodeString(s.items[key].Value)
	s.mu.Unlock()
	var known, now map[string]any
	own, _ := json.Marshal(entry)
	if err == nil && json.Unmarshal(raw, &known) == nil && json.Unmarshal(own, &now) == nil {
		delete(known, "sequence")
		delete(now, "sequence")
		if reflect.DeepEqual(known, now) {
			return true
		}
	}
	return s.put(key, entry)
}

func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		if s.down && !s.lapses {
			for key := range s.beats {
				s.beats[key] = now
			}
		}
		for key, at := range s.beats {
			if now.Sub(at) > lifetime {
				delete(s.beats, key)
				if _, ok := s.items[key]; ok {
					s.write(item{Key: key, Deleted: true})
				}
			}
		}
		for len(s.history) > 0 && now.Sub(s.history[0].at) > historyS*time.Second {
			s.since = s.history[0].Revision
			s.history = s.history[1:]
		}
		if !s.down && (len(s.copies) == 0 || now.Sub(s.copies[len(s.copies)-1].at) >= 250*time.Millisecond) {
			items := map[string]item{}
			for k, v := range s.items {
				items[k] = v
			}
			s.copies = append(s.copies, snapshot{items, s.revision, now})
		}
		s.mu.Unlock()
	}
}

func (s *store) setDown(down, lapses bool) {
	s.mu.Lock()
	s.down, s.lapses = down, lapses
	s.notify()
	s.mu.Unlock()
}

// restore brings the store back from the newest copy that is at least as old as age. What was written since is gone.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := len(s.copies) - 1; i >= 0; i-- {
		if c := s.copies[i]; now.Sub(c.at) >= age {
			s.items, s.revision, s.copies = c.items, c.revision, nil
			break
		}
	}
	for key := range s.beats {
		s.beats[key] = now
	}
	s.history, s.since = nil, s.revision
	s.era++
	s.down = false
	s.notify()
}

// answers reports whether the store is up. While it is down, the call waits until the caller gives up.
func (s *store) answers(r *http.Request) bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		<-r.Context().Done()
	}
	return !down
}

func (s *store) reply(w http.ResponseWriter, v map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if !s.answers(r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.reply(w, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": 0, "storeRevision": s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	if !s.answers(r) {
		return
	}
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	s.reply(w, map[string]any{"items": found[:min(len(found), pageItems)], "hasMore": more, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	if !s.answers(r) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.era
	for {
		if after < s.since || after > s.revision || s.era != era {
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		if len(events) > 0 || wait == 0 {
			s.reply(w, map[string]any{"events": events, "storeRevision": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
		}
		if r.Context().Err() != nil || !s.answers(r) {
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}
