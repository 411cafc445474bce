//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

func init() { cases["cold-return"] = coldReturn }

// coldReturn shows that endpoints that come back cold under their ids while the store is down get new flows without a
// limit.
func coldReturn(w *world, trouble bool) (bool, error) {
	const (
		warmup     = 2 * time.Second // warmupS
		warmupPerS = 2.0
		allowed    = warmupPerS*1.5 + 5 // warmupOvershoot, warmupSlack
		downFor    = 4500 * time.Millisecond
		goneFor    = 1500 * time.Millisecond
		perZone    = 24 // requesters
	)
	w.store = newStore(w)
	if err := w.addHosts(); err != nil {
		return false, err
	}
	for _, h := range w.hosts {
		if err := w.store.listen(h); err != nil {
			return false, err
		}
	}
	admin := newSysadmin(w.store, service("booking-desk", warmup.Seconds(), warmupPerS))
	route := admin.addRoute("booking-desk", "idempotent")
	admin.publish()
	var endpoints []*endpoint
	for n := range 14 {
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
	open, resets := map[string]int{}, map[string]int{}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for z, zone := range zones {
		r, err := w.newRequester(zone, z+1)
		if err != nil {
			return false, err
		}
		for range perZone {
			traffic.Go(func() { runStreams(w, r, route, stop, &mu, open, resets) })
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		w.store.setDown(true)
		w.note("platform_down (silent) for %v", downFor)
		time.AfterFunc(downFor, func() {
			w.store.setDown(false)
			w.note("platform_down: the store answers again")
		})
		time.Sleep(500 * time.Millisecond)
	}
	for _, e := range endpoints {
		e.crash()
	}
	w.note("cold_return in all zones: %d endpoints end", len(endpoints))
	time.Sleep(goneFor)
	backAt := w.now()
	var starts errgroup.Group
	for _, e := range endpoints {
		starts.Go(func() error { return e.comeBack(warmup) })
	}
	if err := starts.Wait(); err != nil {
		return false, err
	}
	w.note("cold_return: the endpoints are back under their ids, cold for %v", warmup)
	time.Sleep(7 * time.Second)
	close(stop)
	traffic.Wait()
	worst, over := 0, 0
	for _, e := range endpoints {
		most := mostInOneSecond(e.openings(), backAt, backAt+warmup)
		w.note("%s in %s: at most %d flows opened in one second while it was cold", e.id, e.zone, most)
		worst = max(worst, most)
		if float64(most) > allowed {
			over++
		}
	}
	w.note("FAILBACK: %d of %d endpoints got more than %.0f in one second, at most %d", over, len(endpoints), allowed, worst)
	if len(open) == 0 {
		return false, fmt.Errorf("no flow was open")
	}
	return over > 0, nil
}

// mostInOneSecond returns the largest number of openings within one second of a period.
func mostInOneSecond(openings []opening, from, to time.Duration) int {
	most := 0
	for i, first := range openings {
		if first.at < from || first.at >= to {
			continue
		}
		n := 0
		for _, o := range openings[i:] {
			if o.at < to && o.at-first.at < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
