//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

// foreignEntry shows that open flows of a draining endpoint are reset at once when another writer puts bytes that can't be
// read in the place of its entry, although the endpoint lives and writes its entry again at its next heartbeat.
func foreignEntry(w *world, trouble bool) (bool, error) {
	w.store = newStore(w)
	if err := w.addHosts(); err != nil {
		return false, err
	}
	for _, h := range w.hosts {
		if err := w.store.listen(h); err != nil {
			return false, err
		}
	}
	admin := newSysadmin(w.store, service("booking-desk", 2, 0))
	route := admin.addRoute("booking-desk", "non_idempotent")
	admin.publish()
	var endpoints []*endpoint
	for n := range 8 {
		e, err := w.newEndpoint("booking-desk", zones[n%len(zones)], n+1, 0)
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	open := map[string]int{}   // open flows by endpoint
	resets := map[string]int{} // resets that a requester got, by the endpoint of the flow
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for z, zone := range zones {
		r, err := w.newRequester(zone, z+1)
		if err != nil {
			return false, err
		}
		for range 24 {
			traffic.Go(func() { runStreams(w, r, route, stop, &mu, open, resets) })
		}
	}
	time.Sleep(7 * time.Second)
	leaving := endpoints[0]
	mu.Lock()
	w.note("open flows by endpoint: %v", open)
	mu.Unlock()
	leaving.drain()
	drainAt := w.now()
	w.note("release: %s reports draining; it ends %v later", leaving.id, 8*time.Second)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.store.put("servers/"+leaving.id, []byte{0xff, 0x00, 0xfe, '{'})
		leaving.rewrite()
		w.note("another writer puts 4 bytes that can't be read under servers/%s", leaving.id)
	}
	time.Sleep(6 * time.Second)
	mu.Lock()
	got := resets[leaving.id]
	mu.Unlock()
	leaving.mu.Lock()
	sent := leaving.resets
	leaving.mu.Unlock()
	w.note("%v after the drain: requesters got %d resets on open flows of %s, which is alive and has itself sent %d resets", (w.now() - drainAt).Round(time.Millisecond), got, leaving.id, sent)
	close(stop)
	traffic.Wait()
	if len(open) == 0 {
		return false, fmt.Errorf("no flow was open")
	}
	return got > sent, nil
}

// runStreams keeps a flow open, with a request and a pause of 0.5 to 3 s in turn, and opens another one when it has ended.
func runStreams(w *world, r *requester, route string, stop chan struct{}, mu *sync.Mutex, open, resets map[string]int) {
	for {
		s := r.open(route)
		if s == nil {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			continue
		}
		counted := ""
		for done := false; !done; {
			result := s.request()
			mu.Lock()
			if s.by != "" && counted == "" {
				counted = s.by
				open[counted]++
			}
			mu.Unlock()
			isReset := result == wasReset
			if result == served {
				pause := 500*time.Millisecond + time.Duration(time.Now().UnixNano()/1000%2500)*time.Millisecond
				isReset = s.idle(pause)
			}
			done = isReset || result == closed || result == silent
			if isReset {
				w.note("FLOW: a reset reaches %v on its open flow to %s", s.src, counted)
				mu.Lock()
				resets[counted]++
				mu.Unlock()
			}
			select {
			case <-stop:
				done = true
			default:
			}
		}
		mu.Lock()
		open[counted]--
		mu.Unlock()
		s.close()
		select {
		case <-stop:
			return
		default:
		}
	}
}

// rewrite makes the endpoint write its entry again at its next heartbeat.
func (e *endpoint) rewrite() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entry = "overwritten"
}
