package follower

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// pagedSource has many pages, each of which takes a while.
type pagedSource struct {
	fakeSource
	pages int
	took  time.Duration
}

func (s pagedSource) ReadPage(ctx context.Context, from string) (Page, error) {
	select {
	case <-time.After(s.took):
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

// Guards against a full reading that never ends in time: the contents of the largest deployment have 80 pages, and a host
// with a small part of a processor takes tens of milliseconds for each.
func TestManyPagesAreRead(t *testing.T) {
	source := pagedSource{pages: 80, took: 10 * time.Millisecond}
	reading, outcome, err := Do(t.Context(), source, Call{Kind: ReadAll, Timeout: 300 * time.Millisecond})
	if outcome != Done || reading.Revision != 1 {
		t.Fatalf("outcome %v at revision %d, %v; want all pages at that of the first", outcome, reading.Revision, err)
	}
	stuck := pagedSource{pages: 2, took: time.Minute}
	if _, outcome, _ := Do(t.Context(), stuck, Call{Kind: ReadAll, Timeout: 20 * time.Millisecond}); outcome != Failed {
		t.Errorf("a page that does not come: %v", outcome)
	}
	if _, outcome, _ := Do(t.Context(), source, Call{Kind: ReadAll, Timeout: time.Second, FirstPageOnly: true}); outcome != Incomplete {
		t.Errorf("first page of many: %v, want incomplete", outcome)
	}
	if _, outcome, _ := Do(t.Context(), fakeSource{}, Call{Kind: ReadAll, Timeout: time.Second, FirstPageOnly: true}); outcome != Done {
		t.Errorf("the only page: %v, want done", outcome)
	}
}

// Guards against a host that waits although it has a copy, and against a reader that waits for others.
func TestWaitsForACopyOnce(t *testing.T) {
	f := newFollower()
	if c := f.Next(0, reader, 0); !c.FirstPageOnly {
		t.Fatalf("first call of a host that has heard nobody: %+v, want the first page", c)
	}
	f.CallEnded(Incomplete, 0)
	if c := f.Next(0, alone, time.Millisecond); c.Kind != None {
		t.Fatalf("%+v while the host waits for a copy", c)
	}
	if c := f.Next(0, other, copyPatience/8); c.Kind != None {
		t.Fatalf("%+v while another host may give its copy", c)
	}
	if c := f.Next(0, other, copyPatience); c.Kind != ReadAll || c.FirstPageOnly {
		t.Fatalf("%+v, want all pages when no copy has come", c)
	}
	f.CallEnded(Done, copyPatience)
	f.Next(7, other, 2*copyPatience)
	f.CallEnded(HistoryLost, 2*copyPatience)
	if c := f.Next(7, reader, 2*copyPatience); c.Kind != ReadAll || c.FirstPageOnly {
		t.Fatalf("%+v of the reader, want all pages", c)
	}
	copied := newFollower()
	copied.Next(0, other, 0)
	copied.CallEnded(Incomplete, 0)
	copied.CopyReceived()
	if c := copied.Next(7, reader, time.Millisecond); c.Kind != Watch {
		t.Fatalf("%+v once the copy has come, want a watch", c)
	}
}

// Guards against a host that waits long for a copy although there is nobody to give one.
func TestReadsAllPagesWhenAlone(t *testing.T) {
	f := newFollower()
	f.Next(0, alone, 0)
	f.CallEnded(Incomplete, 0)
	if c := f.Next(0, alone, alonePatience); c.Kind != ReadAll || c.FirstPageOnly {
		t.Fatalf("%+v of a host that hears nobody, want all pages", c)
	}
}

// Guards against thousands of hosts that all read the whole store when they start at once (5,293 calls of 300 hosts on a
// day on which all were killed once), also when no seed can read it.
func TestStartsReadLittle(t *testing.T) {
	const (
		hosts     = 5700
		pages     = 80
		pageTime  = 20 * time.Millisecond // on a small host
		readsPerS = 2000
		step      = 10 * time.Millisecond
		// copies is the number of copies that a host gives in a second at least: 1.2 MB each on a link of 200 Mbit/s.
		copies = 20
	)
	for name, seeds := range map[string]int{"three seeds": 3, "no seed can read": 0} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			fleet := make([]*Follower, hosts)
			started := make([]time.Duration, hosts)
			ends := make([]time.Duration, hosts) // of the reading in flight
			calls := make([]Call, hosts)
			has := make([]bool, hosts)
			for i := range fleet {
				fleet[i] = New(testConfig(), i < seeds, random)
				started[i] = time.Duration(random.Int64N(int64(300 * time.Millisecond)))
			}
			storeCalls, loaded := 0, 0
			now, given := time.Duration(0), 0.0
			for ; loaded < hosts && now < 20*time.Second; now += step {
				given = min(given, 1) + float64(loaded)*copies*step.Seconds()
				for _, i := range random.Perm(hosts) {
					f := fleet[i]
					switch {
					case now < started[i] || has[i]:
					case calls[i].Kind == ReadAll && now >= ends[i]:
						outcome := Done
						if calls[i].FirstPageOnly {
							outcome = Incomplete
						}
						calls[i] = Call{}
						f.CallEnded(outcome, now)
						if outcome == Done {
							has[i], loaded = true, loaded+1
						}
					case calls[i].Kind == None && given >= 1:
						given--
						f.CopyReceived()
						has[i], loaded = true, loaded+1
					case calls[i].Kind == None:
						if calls[i] = f.Next(0, other, now); calls[i].Kind != ReadAll {
							continue
						}
						n := pages
						if calls[i].FirstPageOnly {
							n = 1
						}
						storeCalls += n
						ends[i] = now + time.Duration(n)*pageTime
					}
				}
			}
			t.Logf("%d store calls, all %d hosts have the contents after %v", storeCalls, hosts, now)
			if loaded < hosts || now > 12*time.Second {
				t.Errorf("%d of %d hosts have the contents after %v, want all within 12s", loaded, hosts, now)
			}
			// A host needs one call to learn that there is more than a page.
			if allowed := max(int(now.Seconds()*readsPerS), hosts+seeds*pages); storeCalls > allowed {
				t.Errorf("%d store calls in %v, allowed %d", storeCalls, now, allowed)
			}
		})
	}
}
