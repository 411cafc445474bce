package registry

import (
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func serverUpdate(key string, revision uint64, change ...func(*BackendServer)) Update {
	s := &BackendServer{ID: key, Identity: 7, Service: "meter", Addr: netip.MustParseAddrPort("10.1.0.1:80"), DataCentre: "a", Slots: 2}
	for _, c := range change {
		c(s)
	}
	return Update{Key: key, Revision: revision, Created: revision, Server: s}
}

func configUpdate(version, revision uint64) Update {
	services := []Service{{Name: "meter", ColdPeriod: 2 * time.Second}}
	return Update{Key: "config", Revision: revision, Config: &Config{Version: version, Services: services}}
}

func removal(key string, revision uint64) Update {
	return Update{Key: key, Revision: revision, Removed: true}
}

// loaded returns a state with a configuration, a backend server "s1" and data centre "b" taken out, at revision 10.
func loaded() *State {
	s := NewState()
	s.Replace([]Update{configUpdate(3, 5), serverUpdate("s1", 6), {Key: "out/b", Revision: 8, OutDataCentre: "b"}}, 10, time.Second)
	return s
}

// Guards against hosts that take traffic before they know a configuration.
func TestLoaded(t *testing.T) {
	s := NewState()
	if s.Loaded() || s.Complete() {
		t.Fatal("an empty state is loaded")
	}
	if _, ok := s.Apply([]Update{configUpdate(1, 1)}, 0, 1, 0); ok {
		t.Fatal("changes were accepted without the contents that they change")
	}
	s.Replace([]Update{serverUpdate("s1", 4)}, 4, 0)
	if s.Loaded() {
		t.Fatal("a state without a configuration is loaded")
	}
	if !loaded().Loaded() {
		t.Fatal("a full reading with a configuration is not loaded")
	}
}

// Guards against a configuration that reverts, whatever arrives later.
func TestConfigurationNeverReverts(t *testing.T) {
	s := loaded()
	s.Apply([]Update{configUpdate(7, 11)}, 10, 11, 0)
	s.Apply([]Update{configUpdate(4, 12)}, 11, 12, 0)
	s.Apply([]Update{removal("config", 13)}, 12, 13, 0)
	s.Replace([]Update{configUpdate(5, 9)}, 14, 0)
	if got := s.View().Config.Version; got != 7 {
		t.Fatalf("version %d is in force, want 7", got)
	}
}

// Guards against late updates of an item that replace newer ones.
func TestOlderUpdatesAreIgnored(t *testing.T) {
	s := loaded()
	draining := serverUpdate("s1", 12, func(b *BackendServer) { b.Draining = true })
	s.Apply([]Update{draining}, 10, 12, 0)
	if changed, _ := s.Apply([]Update{serverUpdate("s1", 11)}, 10, 12, 0); len(changed) != 0 {
		t.Fatal("an older update changed something")
	}
	if !s.View().Servers[0].Draining {
		t.Fatal("the older update is in force")
	}
}

// Guards against changes that are taken although earlier ones are missing.
func TestGapIsRefused(t *testing.T) {
	s := loaded()
	if _, ok := s.Apply([]Update{serverUpdate("s2", 15)}, 14, 15, 0); ok || s.Revision() != 10 {
		t.Fatalf("changes after revision 14 were accepted at revision 10 (now %d)", s.Revision())
	}
}

// Guards against items that stay after a full reading without them, and against a late reading that removes newer ones.
func TestReplaceRemovesWhatIsGone(t *testing.T) {
	s := loaded()
	s.Apply([]Update{serverUpdate("s2", 20)}, 10, 20, 0)
	s.Replace([]Update{configUpdate(3, 5)}, 15, 0)
	v := s.View()
	if len(v.Servers) != 1 || v.Servers[0].ID != "s2" {
		t.Fatalf("servers %+v, want only s2, which is newer than the reading", v.Servers)
	}
	if v.OutDataCentres["b"] || s.Revision() != 20 {
		t.Fatalf("data centre out %v, revision %d", v.OutDataCentres, s.Revision())
	}
}

// Guards against a removal that an earlier state of the item undoes.
func TestRemovalIsRemembered(t *testing.T) {
	s := loaded()
	s.Apply([]Update{removal("s1", 12)}, 10, 12, 0)
	s.Apply([]Update{serverUpdate("s1", 11)}, 10, 12, 0)
	if n := len(s.View().Servers); n != 0 {
		t.Fatal("a removed backend server came back with an older update")
	}
}

// Guards against refusals, and resets of flows, when entries lapse while the store is away, and against crashed servers
// that stay.
func TestLapsedEntries(t *testing.T) {
	for _, test := range []struct {
		name              string
		disturbed         bool
		draining          bool
		missing, afterEnd int
	}{
		{"store disturbed", true, false, 1, 0},
		{"store well", false, false, 0, 0},
		{"draining, store disturbed", true, true, 1, 0},
		{"draining, store well", false, true, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := loaded()
			now := 20 * time.Second
			s.Apply([]Update{serverUpdate("s1", 11, func(b *BackendServer) { b.Draining = test.draining })}, 10, 11, now)
			if test.disturbed {
				s.RecordStoreFailure(now)
			}
			s.Apply([]Update{removal("s1", 12)}, 11, 12, now+time.Second)
			v := s.View()
			if len(v.Servers) != test.missing || test.missing == 1 && !v.Servers[0].Lapsed {
				t.Fatalf("servers %+v, want %d missing", v.Servers, test.missing)
			}
			if changed := s.Sweep(now + time.Second + returnGrace); changed != (test.missing == 1) {
				t.Fatalf("the end of the grace changes the view: %v", changed)
			}
			if n := len(s.View().Servers); n != test.afterEnd {
				t.Fatalf("%d servers after the grace, want %d", n, test.afterEnd)
			}
		})
	}
}

// Guards against a flood on a data centre that was brought back before its servers report that they are cold.
func TestDataCentreBroughtBackIsCold(t *testing.T) {
	s := loaded()
	now := 30 * time.Second
	s.Apply([]Update{removal("out/b", 12)}, 10, 12, now)
	v := s.View()
	if v.OutDataCentres["b"] || v.RestoredColdUntil["b"] != now+2*time.Second+returnColdMargin {
		t.Fatalf("out %v, cold until %v", v.OutDataCentres, v.RestoredColdUntil)
	}
	s.Sweep(now + time.Minute)
	if len(s.View().RestoredColdUntil) != 0 {
		t.Fatal("the data centre is cold for good")
	}
}

// Guards against a cold period that starts anew with each look at the same report.
func TestColdPeriodCountsFromTheReport(t *testing.T) {
	s := loaded()
	cold := serverUpdate("s1", 12, func(b *BackendServer) { b.ColdFor = time.Second })
	s.Apply([]Update{cold}, 10, 12, 40*time.Second)
	s.Replace([]Update{configUpdate(3, 5), cold}, 13, 50*time.Second)
	if got := s.View().Servers[0].ColdUntil; got != 41*time.Second {
		t.Fatalf("cold until %v, want 41s", got)
	}
}

// Guards against hosts that hand on less than another one needs.
func TestSince(t *testing.T) {
	s := loaded()
	s.Apply([]Update{serverUpdate("s2", 11), removal("s1", 12)}, 10, 12, time.Second)
	updates, full := s.Since(10)
	if full || len(updates) != 2 || updates[0].Key != "s2" || !updates[1].Removed {
		t.Fatalf("updates after 10: %+v, full %v", updates, full)
	}
	if updates, full = s.Since(3); !full || len(updates) != 3 {
		t.Fatalf("updates after 3: %+v, full %v; removals before the first reading are not known", updates, full)
	}
	s.Sweep(time.Second + tombstoneRetention + time.Second)
	if _, full = s.Since(10); !full {
		t.Fatal("a removal was forgotten and the updates still pass for complete")
	}
}

// Guards against hosts that differ after the same updates in another order, or repeated.
func TestOrderDoesNotMatter(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("any order gives one view", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		var updates []Update
		for revision := uint64(11); revision < 40; revision++ {
			key := string(rune('p' + random.IntN(5)))
			switch random.IntN(4) {
			case 0:
				updates = append(updates, removal(key, revision))
			case 1:
				updates = append(updates, configUpdate(revision, revision))
			default:
				updates = append(updates, serverUpdate(key, revision, func(b *BackendServer) { b.Draining = revision%2 == 0 }))
			}
		}
		inOrder, mixed := loaded(), loaded()
		inOrder.Apply(updates, 10, 40, 0)
		random.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
		for _, u := range append(updates, updates[:10]...) {
			mixed.Apply([]Update{u}, 10, 10, 0)
		}
		mixed.Apply(nil, 10, 40, 0)
		return reflect.DeepEqual(inOrder.View(), mixed.View())
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against hosts that miss an update which the one that passes changes on had known early: a page of a full reading
// may hold items newer than the revision up to which the reading is complete.
func TestChangesPassedOnAreComplete(t *testing.T) {
	giver, receiver := NewState(), loaded()
	early := serverUpdate("s2", 12)
	giver.Replace([]Update{configUpdate(3, 5), serverUpdate("s1", 6), early}, 10, 0)
	changed, _ := giver.Apply([]Update{serverUpdate("s3", 11), early}, 10, 12, 0)
	if len(changed) != 1 {
		t.Fatalf("changed %+v, want only s3", changed)
	}
	if _, ok := receiver.Apply(giver.UpdatesAfter(10), 10, giver.Revision(), 0); !ok || len(receiver.View().Servers) != 3 {
		t.Fatalf("servers %+v, want s1, s2 and s3", receiver.View().Servers)
	}
	if got := giver.UpdatesAfter(4); got != nil {
		t.Fatalf("updates %+v from before the first reading, want none", got)
	}
}
