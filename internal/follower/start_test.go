package follower

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// pagedSource is a Source whose contents have several pages.
type pagedSource struct {
	fakeSource
	pages int
	delay time.Duration // of each page
}

func (s pagedSource) ReadPage(ctx context.Context, from string) (Page, error) {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
	n := 1
	if from != "" {
		var err error
		if n, err = strconv.Atoi(from); err != nil {
			return Page{}, err
		}
	}
	page := Page{Revision: uint64(n)}
	if n < s.pages {
		page.Next = strconv.Itoa(n + 1)
	}
	return page, nil
}

// Guards against a full read that times out because of its number of pages. The contents of the largest deployment have 80
// pages, and a host with a small share of a CPU takes tens of milliseconds for each.
func TestFullReadOfManyPages(t *testing.T) {
	source := pagedSource{pages: 80, delay: 10 * time.Millisecond}
	result, outcome, err := Do(t.Context(), source, Call{Kind: ReadAll, Timeout: 300 * time.Millisecond})
	if outcome != Done || result.Revision != 1 {
		t.Fatalf("outcome %v at revision %d, %v; want all pages at the revision of the first", outcome, result.Revision, err)
	}
	stuck := pagedSource{pages: 2, delay: time.Minute}
	if _, outcome, _ := Do(t.Context(), stuck, Call{Kind: ReadAll, Timeout: 20 * time.Millisecond}); outcome != Failed {
		t.Errorf("a page that does not arrive: %v, want failed", outcome)
	}
	if _, outcome, _ := Do(t.Context(), source, Call{Kind: ReadAll, Timeout: time.Second, FirstPageOnly: true}); outcome != Incomplete {
		t.Errorf("first page of many: %v, want incomplete", outcome)
	}
	if _, outcome, _ := Do(t.Context(), fakeSource{}, Call{Kind: ReadAll, Timeout: time.Second, FirstPageOnly: true}); outcome != Done {
		t.Errorf("the only page: %v, want done", outcome)
	}
}

// Guards against a host that still waits for a copy when the wait is over or the copy has arrived, and against a reader with
// a copy that reads only the first page.
func TestWaitsForCopyOnce(t *testing.T) {
	f := newFollower()
	if c := f.Next(at(0), reader, 0); !c.FirstPageOnly {
		t.Fatalf("first call: %+v, want the first page only", c)
	}
	f.CallEnded(Incomplete, false, 0)
	if c := f.Next(at(0), alone, time.Millisecond); c.Kind != None {
		t.Fatalf("%+v while the host waits for a copy", c)
	}
	if c := f.Next(at(0), other, maxCopyWait/8); c.Kind != None {
		t.Fatalf("%+v while another host may send its copy", c)
	}
	if c := f.Next(at(0), other, maxCopyWait); c.Kind != ReadAll || c.FirstPageOnly {
		t.Fatalf("%+v, want all pages when no copy has arrived", c)
	}
	f.CallEnded(Done, false, maxCopyWait)
	f.Next(at(7), other, 2*maxCopyWait)
	f.CallEnded(HistoryLost, false, 2*maxCopyWait)
	if c := f.Next(at(7), reader, 2*maxCopyWait); c.Kind != ReadAll || c.FirstPageOnly {
		t.Fatalf("%+v by the reader, want all pages", c)
	}
	copied := newFollower()
	copied.Next(at(0), other, 0)
	copied.CallEnded(Incomplete, false, 0)
	copied.CopyReceived()
	if c := copied.Next(at(7), reader, time.Millisecond); c.Kind != Watch {
		t.Fatalf("%+v after the copy has arrived, want a watch", c)
	}
}

// Guards against a host that waits the maximum time for a copy although no other host can send one.
func TestReadsAllPagesWhenAlone(t *testing.T) {
	f := newFollower()
	f.Next(at(0), alone, 0)
	f.CallEnded(Incomplete, false, 0)
	if c := f.Next(at(0), alone, copyWaitAlone); c.Kind != ReadAll || c.FirstPageOnly {
		t.Fatalf("%+v of a host without a live peer, want all pages", c)
	}
}

// Guards against thousands of hosts that all read the full store when they start at once, also when no seed can read it. In
// a run of 300 hosts in which all were killed once, they made 5,293 calls.
func TestSimultaneousStartsReadLittle(t *testing.T) {
	const (
		hosts     = 5700
		pages     = 80
		pageTime  = 20 * time.Millisecond // on a small host
		readsPerS = 2000                  // store calls allowed per second
		step      = 10 * time.Millisecond
		// copiesPerS is the minimum number of copies that a host sends per second: 1.2 MB each on a link of 200 Mbit/s.
		copiesPerS = 20
	)
	for name, seeds := range map[string]int{"three seeds": 3, "no seed can read": 0} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			fleet := make([]*Follower, hosts)
			started := make([]time.Duration, hosts)
			endsAt := make([]time.Duration, hosts) // of the read in flight
			calls := make([]Call, hosts)
			has := make([]bool, hosts)
			for i := range fleet {
				fleet[i] = New(testConfig(), i < seeds, random)
				started[i] = time.Duration(random.Int64N(int64(300 * time.Millisecond)))
			}
			storeCalls, loaded := 0, 0
			now, budget := time.Duration(0), 0.0
			for ; loaded < hosts && now < 20*time.Second; now += step {
				budget = min(budget, 1) + float64(loaded)*copiesPerS*step.Seconds()
				for _, i := range random.Perm(hosts) {
					f := fleet[i]
					switch {
					case now < started[i] || has[i]:
					case calls[i].Kind == ReadAll && now >= endsAt[i]:
						outcome := Done
						if calls[i].FirstPageOnly {
							outcome = Incomplete
						}
						calls[i] = Call{}
						f.CallEnded(outcome, false, now-started[i])
						if outcome == Done {
							has[i], loaded = true, loaded+1
						}
					case calls[i].Kind == None && budget >= 1:
						budget--
						f.CopyReceived()
						has[i], loaded = true, loaded+1
					case calls[i].Kind == None:
						if calls[i] = f.Next(at(0), other, now-started[i]); calls[i].Kind != ReadAll {
							continue
						}
						n := pages
						if calls[i].FirstPageOnly {
							n = 1
						}
						storeCalls += n
						endsAt[i] = now + time.Duration(n)*pageTime
					}
				}
			}
			t.Logf("%d store calls, all %d hosts have the contents after %v", storeCalls, hosts, now)
			if loaded < hosts || now > 12*time.Second {
				t.Errorf("%d of %d hosts have the contents after %v, want all within 12s", loaded, hosts, now)
			}
			// Each host needs one call to find out that there is more than one page.
			if allowed := max(int(now.Seconds()*readsPerS), hosts+seeds*pages); storeCalls > allowed {
				t.Errorf("%d store calls in %v, allowed %d", storeCalls, now, allowed)
			}
		})
	}
}

// Guards against a store call for each of many changes that come one after the other, as when a third of the backend servers
// is replaced. A change after a quiet time is read at once.
func TestManyChangesNeedFewCalls(t *testing.T) {
	const (
		changes  = 300
		interval = 30 * time.Millisecond
		answer   = 4 * time.Millisecond
	)
	f := newFollower()
	readFull(t, f, 0)
	now, calls, read := time.Duration(0), 0, 0
	var latest time.Duration // from a change to the answer that contains it
	for read < changes {
		c := f.Next(at(7), reader, now)
		if c.Kind == None {
			now += time.Millisecond
			continue
		}
		calls++
		oldest := time.Duration(read+1) * interval
		now = max(now, oldest) + answer
		latest = max(latest, now-oldest)
		read = min(changes, int(now/interval))
		f.CallEnded(Done, false, now)
	}
	if limit := int(now/minWatchInterval) + 1; calls > limit {
		t.Errorf("%d calls in %v, want at most %d", calls, now, limit)
	}
	if limit := minWatchInterval + 2*answer; latest > limit {
		t.Errorf("a change was read after %v, want %v at most", latest, limit)
	}
	f.Next(at(7), reader, now+minWatchInterval)
	f.CallEnded(Done, false, now+time.Second)
	if c := f.Next(at(7), reader, now+time.Second); c.Kind != Watch {
		t.Errorf("%+v after a watch that waited, want another one at once", c)
	}
}
