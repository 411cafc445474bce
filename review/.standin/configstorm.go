//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["config-storm"] = configStorm }

// configStorm shows that hosts that missed the start of a quick succession of configurations never catch up by a watch. The
// host that reads the store for the others is partitioned from it for 5.5 s (core_cut) at the start of a config_storm, on a
// configuration that three big_config changes have enlarged.
func configStorm(w *world, trouble bool) (bool, error) {
	const (
		bigConfigs = 3
		bigCount   = 350                   // big_config, count
		idleRoutes = 110                   // routes without traffic at the start
		storms     = 2                     // one after the other
		stormGap   = 80 * time.Millisecond // config_storm, gap_s 0.08
		stormFor   = 2 * time.Second       // config_storm, for_s 2
		cutFor     = 5500 * time.Millisecond
		watchFor   = 14 * time.Second // after the end of the cut

		evacuateWithin = 5 * time.Second // bounds.evacuateMs
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
	admin := newSysadmin(w.store, service("booking-desk", 2, 0))
	used := admin.addRoute("booking-desk", "idempotent")
	for range idleRoutes {
		admin.addRoute("booking-desk", "idempotent")
	}
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
	var requesters []*requester
	for n, zone := range zones {
		r, err := w.newRequester(zone, n+1)
		if err != nil {
			return false, err
		}
		requesters = append(requesters, r)
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	served, lost := 0, 0
	var mu sync.Mutex
	for _, r := range requesters {
		traffic.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				traffic.Go(func() {
					result := r.request(used, nil)
					mu.Lock()
					defer mu.Unlock()
					if result.outcome == "served" {
						served++
					} else {
						lost++
						w.note("request on the old route via %s: %s", result.via.name, result.outcome)
					}
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	for n := range bigConfigs {
		for range bigCount {
			admin.addRoute("booking-desk", "idempotent")
		}
		w.note("big_config %d: %d routes, %d bytes", n+1, len(admin.config.Routes), admin.publish())
		time.Sleep(1500 * time.Millisecond)
	}
	reader := w.store.reader(w.hosts)
	for n := 0; reader == nil && n < 200; n++ {
		time.Sleep(10 * time.Millisecond)
		reader = w.store.reader(w.hosts)
	}
	if reader == nil {
		return false, fmt.Errorf("no single host watches the store")
	}
	w.note("%s watches the store", reader.name)
	cutAt := w.now()
	cutEnd := cutAt + cutFor
	if trouble {
		w.store.cutOff(reader, true)
		w.note("core_cut: %s is partitioned from the store for %v", reader.name, cutFor)
		time.AfterFunc(cutFor, func() {
			w.store.cutOff(reader, false)
			w.note("core_cut: %s reaches the store again", reader.name)
		})
	}
	var newest string
	versions := 0
	for begun := time.Now(); time.Since(begun) < storms*stormFor; time.Sleep(stormGap) {
		newest = admin.addRoute("booking-desk", "idempotent")
		admin.publish()
		versions++
	}
	ack := w.now()
	w.note("config_storm, %d times %v: %d versions acknowledged, the last one, version %d, adds the route %s", storms, stormFor, versions, admin.config.Version, newest)
	inTouch := func(h *entryHost, at time.Duration) bool {
		return !trouble || h != reader || at < cutAt || at > cutEnd+stableWindow
	}
	evacuated := zones[2]
	var evacuatedAt time.Duration // 0: not yet
	breaks := 0
	perHost := map[string]int{}
	for until := cutEnd + watchFor; w.now() < until; time.Sleep(250 * time.Millisecond) {
		if evacuatedAt == 0 && w.now() > cutEnd+500*time.Millisecond {
			w.store.put("op/evacuate/"+evacuated, []byte("{}"))
			evacuatedAt = w.now()
			w.note("evacuate: %s", evacuated)
		}
		for _, r := range requesters {
			for _, h := range w.hosts {
				if h.zone != r.zone {
					continue
				}
				traffic.Go(func() {
					result := r.request(newest, h)
					late := result.sentAt > ack+configApply && inTouch(h, result.sentAt)
					if !late {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					if result.outcome == "reset" {
						breaks++
						perHost[h.name]++
						w.note("CONFIG: a request on the new route, sent %.1f s after the ack via %s, is refused with a reset", (result.sentAt - ack).Seconds(), h.name)
					}
				})
			}
		}
	}
	close(stop)
	traffic.Wait()
	late, from := 0, max(evacuatedAt+evacuateWithin, cutEnd+stableWindow)
	for _, e := range endpoints {
		for _, o := range e.openings() {
			if e.zone == evacuated && o.at > from {
				late++
			}
		}
	}
	w.note("besides: flows opened at endpoints of %s from %.1f s after its evacuation was acknowledged, when all hosts are in touch: %d",
		evacuated, (from - evacuatedAt).Seconds(), late)
	w.note("requests on the old route: %d served, %d not", served, lost)
	w.note("requests on the new route refused too late: %d, by host %v", breaks, perHost)
	return breaks > 0, nil
}
