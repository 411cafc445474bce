package follower

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// restoredFleet simulates the store calls of a fleet whose store is away for a while and comes back in a newer era. Its first
// host is the reader.
type restoredFleet struct {
	hosts              []*Follower
	calls              []Call
	endsAt             []time.Duration // of the calls under way
	newEra             []bool          // hosts that have the contents of the newer era
	number             int             // of hosts that have
	loadedAt           time.Duration   // when the first host had
	pages              int
	now                time.Duration
	backAt             time.Duration
	watches, pagesRead int // calls since the store is back
	random             *rand.Rand
	copying            float64 // copies that can be sent by now
}

const (
	eraStep     = 10 * time.Millisecond
	eraPageTime = 20 * time.Millisecond // on a small host
	eraAwayFrom = time.Second
	// eraCopies is the number of copies that a host sends per second: 1.2 MB each on a link of 200 Mbit/s.
	eraCopies = 20
)

// call starts or ends a host's call.
func (s *restoredFleet) call(i int) {
	f, away := s.hosts[i], s.now >= eraAwayFrom && s.now < s.backAt
	at := registry.Version{Era: 1, Revision: 7}
	if s.newEra[i] {
		at.Era = 2
	}
	if s.calls[i].Kind == None {
		call := f.Next(at, Fleet{Reader: i == 0, PeerAlive: true}, s.now)
		if call.Kind == None {
			return
		}
		pages := 1
		if call.Kind == ReadAll && !call.FirstPageOnly {
			pages = s.pages
		}
		switch {
		case s.now < s.backAt:
		case call.Kind == ReadAll:
			s.pagesRead += pages
		default:
			s.watches++
		}
		s.calls[i], s.endsAt[i] = call, s.now+call.Wait+time.Duration(pages)*eraPageTime
	}
	call := s.calls[i]
	changed := s.now >= s.backAt && call.Era == 1
	if s.now < s.endsAt[i] && !(call.Kind == Watch && (changed || away)) {
		return
	}
	s.calls[i] = Call{}
	switch {
	case away:
		f.CallEnded(Failed, false, s.now)
	case call.Kind == Watch && changed:
		f.CallEnded(EraChanged, false, s.now)
	case call.FirstPageOnly && s.pages > 1:
		f.CallEnded(Incomplete, false, s.now)
	default:
		f.CallEnded(Done, changed, s.now)
		if call.Kind == ReadAll {
			s.load(i)
		}
	}
}

func (s *restoredFleet) load(i int) {
	if s.number == 0 {
		s.loadedAt = s.now
	}
	if !s.newEra[i] {
		s.newEra[i] = true
		s.number++
	}
}

// gossip lets hosts fetch copies of the newer era, or take over the reader's confirmation within an era.
func (s *restoredFleet) gossip() {
	s.copying = min(s.copying, 1) + float64(s.number)*eraCopies*eraStep.Seconds()
	confirmed, _ := s.hosts[0].Confirmed()
	for _, i := range s.random.Perm(len(s.hosts)) {
		switch {
		case s.number > 0 && !s.newEra[i] && s.copying >= 1:
			s.copying--
			s.hosts[i].CopyReceived()
			s.hosts[i].Confirm(s.loadedAt)
			s.load(i)
		case s.newEra[i] == s.newEra[0]:
			s.hosts[i].Confirm(confirmed)
		}
	}
}

// Guards against a wave of full reads after a restore of the store, and against hosts that have the newest contents too late.
func TestCostOfARestore(t *testing.T) {
	const (
		catchUp = 4 * time.Second // the least catchUpS of the deployments
		few     = 8               // further calls
	)
	for _, tt := range []struct {
		hosts, pages int
		away         time.Duration
		watches      int // allowed from the store's return until all hosts have the contents; one for each host whose copy is stale by then
	}{
		{65, 2, 100 * time.Millisecond, few},
		{300, 6, 100 * time.Millisecond, 300},
		{5700, 80, 100 * time.Millisecond, 5700},
		{65, 2, 5 * time.Second, 65},
		{300, 6, 5 * time.Second, 300},
		{5700, 80, 5 * time.Second, 5700},
	} {
		t.Run(fmt.Sprintf("%d hosts, away for %v", tt.hosts, tt.away), func(t *testing.T) {
			random := rand.New(rand.NewPCG(5, 6))
			s := &restoredFleet{calls: make([]Call, tt.hosts), endsAt: make([]time.Duration, tt.hosts), newEra: make([]bool, tt.hosts), pages: tt.pages, backAt: eraAwayFrom + tt.away, random: random}
			for range tt.hosts {
				f := New(testConfig(), false, random)
				f.manyPages = tt.pages > 1 // as it has found at its start
				f.CopyReceived()
				f.Confirm(0)
				s.hosts = append(s.hosts, f)
			}
			for ; s.number < tt.hosts && s.now < time.Minute; s.now += eraStep {
				for _, i := range random.Perm(tt.hosts) {
					s.call(i)
				}
				s.gossip()
			}
			t.Logf("%d pages and %d watches, all %d hosts have the newest contents after %v", s.pagesRead, s.watches, tt.hosts, s.now-s.backAt)
			if s.pagesRead > tt.pages+few || s.watches > tt.watches+few || s.now-s.backAt > catchUp {
				t.Errorf("%d pages and %d watches in %v, allowed %d and %d in %v", s.pagesRead, s.watches, s.now-s.backAt, tt.pages+few, tt.watches+few, catchUp)
			}
		})
	}
}
