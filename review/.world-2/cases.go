package main

import (
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"
)

var (
	feed   = netip.MustParseAddrPort("198.18.0.1:443")
	sheets = netip.MustParseAddrPort("198.18.0.2:443")
)

func init() {
	cases["evacuation-after-restore"] = evacuationAfterRestore
	cases["dark-restart"] = darkRestart
	cases["same-token"] = sameToken
	cases["foreign-entry"] = foreignEntry
	cases["reader-cut"] = readerCut
	cases["lapse-while-draining"] = lapseWhileDraining
}

// coldPerS is the rate that the configuration states for a cold backend server.
const coldPerS = 2.0

// darkRestart: a backend server's machine falls silent and comes back under its id, cold, while the store is down.
func darkRestart(record string, trouble bool) {
	w := newWorld(record, trouble, []string{"zone-a"}, 2)
	w.store.put("op/config", configOf(3, coldPerS, []string{"sheet"}, routeOf("r-sheet", sheets, "sheet", "download", 3000, 500)))
	for n, id := range []string{"i-3f21aa0710", "i-90bc1245d7", "i-c1774e02ab", "i-e5a0916c33", "i-77d30be519", "i-1be8840f62"} {
		w.addServer(id, "sheet", 0, n, 5*time.Millisecond, time.Duration(n)*190*time.Millisecond)
	}
	var callers []*caller
	for n := range 20 {
		callers = append(callers, w.addCaller(0, n))
	}
	w.begin()
	victim := w.servers[1]
	go w.shortFlows(callers, sheets, 90, 3*time.Second, 18*time.Second)
	time.Sleep(6 * time.Second)
	var returned time.Time
	if trouble {
		w.log("store down")
		w.store.setDown(true, false)
		time.Sleep(500 * time.Millisecond)
		release := victim.crashDark()
		time.Sleep(2800 * time.Millisecond)
		release()
		if err := victim.start(warmupS * time.Second); err != nil {
			w.fail("restart of the server: %v", err)
		}
		returned = victim.started
		time.Sleep(2400 * time.Millisecond)
		w.log("store up")
		w.store.setDown(false, false)
	}
	time.Sleep(10 * time.Second)
	if trouble {
		w.checkCold(victim, returned, returned.Add(warmupS*time.Second), coldPerS)
	}
	w.result()
}

// checkCold applies FAILBACK: a cold backend server gets at most perS x warmupOvershoot + warmupSlack requests in one second, of
// those that were sent and arrived inside that second.
func (w *world) checkCold(s *server, from, to time.Time, perS float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	allowed := perS*warmupOvershoot + warmupSlack
	most := 0
	for _, first := range w.openings {
		if first.server != s || first.synSent.Before(from) || first.synAt.After(to) {
			continue
		}
		n := 0
		for _, r := range w.openings {
			if r.server == s && !r.synSent.Before(first.synSent) && r.synAt.Before(first.synSent.Add(time.Second)) && !r.synAt.After(to) {
				n++
			}
		}
		most = max(most, n)
	}
	w.line("most requests in one second at %s while it is cold: %d, allowed %v", s.id, most, allowed)
	if float64(most) > allowed {
		w.violation("FAILBACK: %s, which is cold, got %d requests in one second, allowed %v", s.id, most, allowed)
	}
}

// rewriteAfter is when the sysadmin writes again what the store has lost.
const rewriteAfter = 15 * time.Second

// evacuationAfterRestore: a zone is evacuated; the store comes back from a copy that is some seconds old and lacks the request. The
// sysadmin writes it again.
func evacuationAfterRestore(record string, trouble bool) {
	w := newWorld(record, trouble, []string{"zone-a", "zone-b"}, 2)
	w.store.put("op/config", configOf(3, coldPerS, []string{"sheet"}, routeOf("r-sheet", sheets, "sheet", "download", 3000, 500)))
	for n, id := range []string{"i-3f21aa0710", "i-90bc1245d7", "i-c1774e02ab", "i-e5a0916c33"} {
		w.addServer(id, "sheet", n/2, n, 5*time.Millisecond, time.Duration(n)*290*time.Millisecond)
	}
	var callers []*caller
	for n := range 20 {
		callers = append(callers, w.addCaller(n%2, n))
	}
	w.begin()
	go w.shortFlows(callers, sheets, 40, 3*time.Second, 33*time.Second)
	time.Sleep(5 * time.Second)
	if !w.store.put("op/evacuate/zone-b", map[string]any{}) {
		w.fail("evacuation not acknowledged")
	}
	acknowledged := time.Now()
	w.log("evacuation of zone-b acknowledged")
	time.Sleep(3 * time.Second)
	if trouble {
		w.log("store away")
		w.store.setDown(true, false)
		time.Sleep(time.Second)
		w.store.restore(5 * time.Second)
		w.log("store back from a copy that is 5 s old")
	} else {
		time.Sleep(time.Second)
	}
	back := time.Now()
	time.Sleep(rewriteAfter)
	w.store.put("op/evacuate/zone-b", map[string]any{})
	w.log("evacuation of zone-b written again")
	time.Sleep(4 * time.Second)
	w.mu.Lock()
	late, first := 0, time.Duration(0)
	for _, r := range w.openings {
		// The core is stable from stableWindow after the store's return, and was until it went away.
		inTouch := !trouble || r.synAt.After(back.Add(stableWindow))
		if r.server.zone == "zone-b" && r.synAt.After(acknowledged.Add(evacuate)) && inTouch {
			if late++; late == 1 {
				first = r.synAt.Sub(acknowledged)
			}
		}
	}
	if late > 0 {
		w.violation("EVAC: %d requests reached servers of zone-b later than %v after its evacuation was acknowledged and before it was taken back, the first after %v", late, evacuate, first)
	}
	w.mu.Unlock()
	w.result()
}

// sameToken: the ids of two backend servers differ in their first digits only. All entries expire while the store is down and are
// back afterwards in another order.
func sameToken(record string, trouble bool) {
	w := newWorld(record, trouble, []string{"zone-a"}, 2)
	w.store.put("op/config", configOf(3, coldPerS, []string{"meter"}, routeOf("r-feed", feed, "meter", "idempotent", 1500, 100)))
	const late, early = 1100 * time.Millisecond, 100 * time.Millisecond // phases of the reports
	w.addServer("i-01d7c05e2a", "meter", 0, 0, 15*time.Millisecond, late)
	time.Sleep(100 * time.Millisecond)
	w.addServer("i-02d7c05e2a", "meter", 0, 1, 15*time.Millisecond, early)
	w.addServer("i-c1774e02ab", "meter", 0, 2, 15*time.Millisecond, 500*time.Millisecond)
	w.addServer("i-e5a0916c33", "meter", 0, 3, 15*time.Millisecond, 700*time.Millisecond)
	w.begin()
	stop := make(chan struct{})
	for n := range 40 {
		go w.longFlow(w.addCaller(0, n), feed, 6*time.Second, 1500*time.Millisecond, stop)
	}
	time.Sleep(12 * time.Second)
	if trouble {
		// The store is back shortly before the report of the second backend server.
		const outage = 4500 * time.Millisecond
		time.Sleep(heartbeat - (w.at()+outage+heartbeat-late-50*time.Millisecond)%heartbeat)
		w.log("store down, entries expire")
		w.unstable(true)
		w.store.setDown(true, true)
		time.Sleep(outage)
		w.store.setDown(false, false)
		w.unstable(false)
		w.log("store up")
	}
	time.Sleep(15 * time.Second)
	close(stop)
	time.Sleep(2 * time.Second)
	w.result()
}

// foreignEntry: a backend server drains. Another writer writes its entry as it was before, with a field of another type.
func foreignEntry(record string, trouble bool) {
	w := newWorld(record, trouble, []string{"zone-a"}, 2)
	w.store.put("op/config", configOf(3, coldPerS, []string{"sheet"}, routeOf("r-sheet", sheets, "sheet", "download", 3000, 500)))
	for n, id := range []string{"i-3f21aa0710", "i-90bc1245d7", "i-c1774e02ab", "i-e5a0916c33"} {
		w.addServer(id, "sheet", 0, n, 5*time.Millisecond, time.Duration(n)*290*time.Millisecond)
	}
	var callers []*caller
	for n := range 20 {
		callers = append(callers, w.addCaller(0, n))
	}
	w.begin()
	leaving := w.servers[1]
	go w.shortFlows(callers, sheets, 60, 3*time.Second, 18*time.Second)
	time.Sleep(6 * time.Second)
	leaving.mu.Lock()
	foreign := leaving.entry()
	leaving.mu.Unlock()
	foreign["born"] = nil
	leaving.drain()
	time.Sleep(drain + stableWindow)
	if trouble {
		if !w.store.put("servers/"+leaving.id, foreign) {
			w.fail("foreign entry not accepted")
		}
		w.log("another writer writes the entry of %s: %v", leaving.id, foreign)
	}
	time.Sleep(3 * time.Second)
	leaving.leave()
	time.Sleep(6 * time.Second)
	w.mu.Lock()
	late, first := 0, time.Duration(0)
	for _, r := range w.openings {
		if after := r.synAt.Sub(leaving.drainAck); r.server == leaving && after > drain {
			if late++; late == 1 {
				first = after
			}
		}
	}
	if late > 0 {
		w.violation("DRAIN: %d requests reached %s later than %v after the store had acknowledged that it drains, the first after %v", late, leaving.id, drain, first)
	}
	w.mu.Unlock()
	w.result()
}

// applyWithin is bounds.configApplyMs.
const applyWithin = 3 * time.Second

// readerCut: the host that reads the store for the others is cut off from the store for some seconds, while others are slowed. The configuration moves a route meanwhile.
func readerCut(record string, trouble bool) {
	const (
		cutFor     = 5500 * time.Millisecond // core_cut
		slowFor    = 5500 * time.Millisecond // node_slow, x 5.4: a slowed host runs for 45 ms of each 245
		stallFor   = 200 * time.Millisecond
		runFor     = 45 * time.Millisecond
		numStalled = 4
	)
	w := newWorld(record, trouble, []string{"zone-a", "zone-b", "zone-c"}, 5, 4, 4)
	services := []string{"sheet", "archive"}
	w.store.put("op/config", configOf(3, coldPerS, services, routeOf("r-sheet", sheets, "sheet", "download", 3000, 500)))
	for n, id := range []string{"i-3f21aa0710", "i-90bc1245d7", "i-c1774e02ab", "i-e5a0916c33", "i-77d30be519", "i-1be8840f62"} {
		w.addServer(id, services[n/3], n%3, n, 5*time.Millisecond, time.Duration(n)*190*time.Millisecond)
	}
	var callers []*caller
	for n := range 21 {
		callers = append(callers, w.addCaller(n%3, n))
	}
	w.addRelays()
	w.begin()
	go w.shortFlows(callers, sheets, 40, 3*time.Second, 20*time.Second)
	time.Sleep(6 * time.Second)
	var reader *host
	stalled := map[*host]bool{}
	if trouble {
		reader = w.storeReader()
		for _, h := range w.hosts {
			if h != reader && len(stalled) < numStalled {
				stalled[h] = true
				w.log("%s is slowed", h.name)
				go h.stall(stallFor, runFor, slowFor)
			}
		}
		w.log("%s, which reads the store for the others, is cut off from it", reader.name)
		reader.relay.setCut(true)
		time.AfterFunc(cutFor, func() { reader.relay.setCut(false); w.log("%s reaches the store again", reader.name) })
		time.Sleep(20 * time.Millisecond)
	}
	w.store.put("op/config", configOf(7, coldPerS, services, routeOf("r-sheet", sheets, "archive", "download", 3000, 500)))
	acknowledged := time.Now()
	w.log("configuration 7 acknowledged: the route goes to archive")
	time.Sleep(9 * time.Second)
	w.mu.Lock()
	late, last := 0, time.Duration(0)
	for _, r := range w.openings {
		inTouch := r.via != reader && !stalled[r.via]
		if after := r.synSent.Sub(acknowledged); after > applyWithin && r.server.service == "sheet" && inTouch {
			late++
			last = max(last, after)
		}
	}
	if late > 0 {
		w.violation("CONFIG: %d requests that other hosts took later than %v after the acknowledgement of version 7 were run by the old service, the last after %v", late, applyWithin, last)
	}
	w.mu.Unlock()
	w.result()
}

// stall stops a host again and again, from a random time within the first stall on.
func (h *host) stall(stallFor, runFor, lasts time.Duration) {
	time.Sleep(rand.N(stallFor))
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(runFor) {
		h.signal(syscall.SIGSTOP)
		time.Sleep(stallFor)
		h.signal(syscall.SIGCONT)
	}
}

// lapseWhileDraining: a backend server drains. Its entry expires while the store is down; hosts that are well have not called the
// store meanwhile, because others are slowed.
func lapseWhileDraining(record string, trouble bool) {
	const (
		downFor    = 4400 * time.Millisecond // platform_down
		slowFor    = 5500 * time.Millisecond // node_slow, x 5.4
		stallFor   = 200 * time.Millisecond
		runFor     = 45 * time.Millisecond
		numStalled = 4
	)
	w := newWorld(record, trouble, []string{"zone-a", "zone-b", "zone-c"}, 5, 4, 4)
	w.store.put("op/config", configOf(3, coldPerS, []string{"meter"}, routeOf("r-feed", feed, "meter", "idempotent", 1500, 100)))
	for n, id := range []string{"i-3f21aa0710", "i-90bc1245d7", "i-c1774e02ab", "i-e5a0916c33", "i-77d30be519", "i-1be8840f62"} {
		w.addServer(id, "meter", n%3, n, 5*time.Millisecond, time.Duration(n)*190*time.Millisecond)
	}
	w.begin()
	stop := make(chan struct{})
	for n := range 120 {
		go w.longFlow(w.addCaller(n%3, n), feed, 9*time.Second, 1500*time.Millisecond, stop)
	}
	time.Sleep(14 * time.Second)
	leaving := w.servers[0]
	if trouble {
		reader := w.storeReader()
		leaving.drain()
		time.Sleep(30 * time.Millisecond)
		stalled := 0
		for _, h := range w.hosts {
			if h != reader && stalled < numStalled {
				stalled++
				go h.stall(stallFor, runFor, slowFor)
			}
		}
		w.log("store down, entries expire; %d hosts are slowed", stalled)
		w.store.setDown(true, true)
		time.Sleep(downFor)
		w.store.setDown(false, false)
		w.log("store up")
	} else {
		leaving.drain()
		time.Sleep(downFor)
	}
	time.Sleep(5 * time.Second)
	leaving.leave()
	close(stop)
	time.Sleep(time.Second)
	w.result()
}
