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

// Guards against hosts that accept traffic before they have a configuration.
func TestLoaded(t *testing.T) {
	s := NewState()
	if s.Loaded() || s.Complete() {
		t.Fatal("an empty state is loaded")
	}
	if _, ok := s.Apply([]Update{configUpdate(1, 1)}, 0, 1, 0); ok {
		t.Fatal("changes were accepted before a full read")
	}
	s.Replace([]Update{serverUpdate("s1", 4)}, 4, 0)
	if s.Loaded() {
		t.Fatal("a state without a configuration is loaded")
	}
	if !loaded().Loaded() {
		t.Fatal("a state with a full read and a configuration is not loaded")
	}
}

// Guards against a configuration that reverts to an older version, whatever updates arrive later.
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

// Guards against a host that starts and gets no configuration, because the item of the one in force can't be read at present or is
// gone: the hosts that know it must pass it on.
func TestConfigurationInForceIsPassedOn(t *testing.T) {
	for name, lose := range map[string]func(*State){
		"full read without it": func(s *State) { s.Replace([]Update{serverUpdate("s1", 6)}, 14, 0) },
		"removal":              func(s *State) { s.Apply([]Update{removal("config", 14)}, 10, 14, 0) },
	} {
		s, started := loaded(), NewState()
		lose(s)
		all, full := s.Since(0)
		started.Replace(all, s.Revision(), 0)
		if !full || !started.Loaded() || started.ConfigVersion() != 3 {
			t.Errorf("%s: full copy %v, loaded %v, configuration %d; want 3", name, full, started.Loaded(), started.ConfigVersion())
		}
		s.Apply([]Update{configUpdate(9, 15)}, 14, 15, 0)
		if v := s.View().Config.Version; v != 9 {
			t.Errorf("%s: configuration %d in force after a newer one, want 9", name, v)
		}
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

// Guards against changes that are applied although earlier ones are missing.
func TestGapIsRejected(t *testing.T) {
	s := loaded()
	if _, ok := s.Apply([]Update{serverUpdate("s2", 15)}, 14, 15, 0); ok || s.Revision() != 10 {
		t.Fatalf("changes after revision 14 were accepted at revision 10 (now %d)", s.Revision())
	}
}

// Guards against items that remain after a full read without them, and against a late full read that removes newer ones.
func TestReplaceRemovesMissingItems(t *testing.T) {
	s := loaded()
	s.Apply([]Update{serverUpdate("s2", 20)}, 10, 20, 0)
	s.Replace([]Update{configUpdate(3, 5)}, 15, 0)
	v := s.View()
	if len(v.Servers) != 1 || v.Servers[0].ID != "s2" {
		t.Fatalf("servers %+v, want only s2, which is newer than the full read", v.Servers)
	}
	if v.OutDataCentres["b"] || s.Revision() != 20 {
		t.Fatalf("data centre out %v, revision %d", v.OutDataCentres, s.Revision())
	}
}

// Guards against a removal that is undone by an older update of the item.
func TestRemovalOutlivesOlderUpdates(t *testing.T) {
	s := loaded()
	s.Apply([]Update{removal("s1", 12)}, 10, 12, 0)
	s.Apply([]Update{serverUpdate("s1", 11)}, 10, 12, 0)
	if n := len(s.View().Servers); n != 0 {
		t.Fatal("an older update restored a removed backend server")
	}
}

// Guards against rejected and reset flows when entries lapse while the store is unavailable, and against crashed servers
// that remain in the view.
func TestLapsedEntries(t *testing.T) {
	for _, test := range []struct {
		name             string
		storeFailed      bool
		draining         bool
		lapsed, afterEnd int
	}{
		{"store failed", true, false, 1, 0},
		{"store available", false, false, 0, 0},
		{"draining, store failed", true, true, 1, 0},
		{"draining, store available", false, true, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := loaded()
			now := 20 * time.Second
			s.Apply([]Update{serverUpdate("s1", 11, func(b *BackendServer) { b.Draining = test.draining })}, 10, 11, now)
			if test.storeFailed {
				s.RecordStoreFailure(now)
			}
			s.Apply([]Update{removal("s1", 12)}, 11, 12, now+time.Second)
			v := s.View()
			if len(v.Servers) != test.lapsed || test.lapsed == 1 && !v.Servers[0].Lapsed {
				t.Fatalf("servers %+v, want %d lapsed", v.Servers, test.lapsed)
			}
			if changed := s.Sweep(now + time.Second + lapseGrace); changed != (test.lapsed == 1) {
				t.Fatalf("the end of the grace changes the view: %v", changed)
			}
			if n := len(s.View().Servers); n != test.afterEnd {
				t.Fatalf("%d servers after the grace, want %d", n, test.afterEnd)
			}
		})
	}
}

// Guards against a cold backend server whose entry lapses and that counts as warm from then on.
func TestLapsedEntryKeepsItsColdPeriod(t *testing.T) {
	s := loaded()
	s.Apply([]Update{serverUpdate("s1", 12, func(b *BackendServer) { b.ColdFor = 3 * time.Second })}, 10, 12, 40*time.Second)
	s.RecordStoreFailure(41 * time.Second)
	s.Apply([]Update{removal("s1", 13)}, 12, 13, 41*time.Second)
	if v := s.View(); len(v.Servers) != 1 || !v.Servers[0].Lapsed || v.Servers[0].ColdUntil != 43*time.Second {
		t.Fatalf("servers %+v, want s1 lapsed and cold until 43s", v.Servers)
	}
}

// Guards against an overload of a data centre that was brought back into use before its servers report that they are cold.
func TestRestoredDataCentreIsCold(t *testing.T) {
	s := loaded()
	now := 30 * time.Second
	s.Apply([]Update{removal("out/b", 12)}, 10, 12, now)
	v := s.View()
	if v.OutDataCentres["b"] || v.RestoredColdUntil["b"] != now+2*time.Second+restoreColdMargin {
		t.Fatalf("out %v, cold until %v", v.OutDataCentres, v.RestoredColdUntil)
	}
	s.Sweep(now + time.Minute)
	if len(s.View().RestoredColdUntil) != 0 {
		t.Fatal("the data centre stays cold")
	}
}

// Guards against a cold period that restarts each time the same report is read.
func TestColdPeriodStartsAtReport(t *testing.T) {
	s := loaded()
	cold := serverUpdate("s1", 12, func(b *BackendServer) { b.ColdFor = time.Second })
	s.Apply([]Update{cold}, 10, 12, 40*time.Second)
	s.Replace([]Update{configUpdate(3, 5), cold}, 13, 50*time.Second)
	if got := s.View().Servers[0].ColdUntil; got != 41*time.Second {
		t.Fatalf("cold until %v, want 41s", got)
	}
}

// Guards against a host that sends another one fewer updates than it needs.
func TestSince(t *testing.T) {
	s := loaded()
	s.Apply([]Update{serverUpdate("s2", 11), removal("s1", 12)}, 10, 12, time.Second)
	updates, full := s.Since(10)
	if full || len(updates) != 2 || updates[0].Key != "s2" || !updates[1].Removed {
		t.Fatalf("updates after 10: %+v, full %v", updates, full)
	}
	if updates, full = s.Since(3); !full || len(updates) != 3 {
		t.Fatalf("updates after 3: %+v, full %v; removals before the first full read are not known", updates, full)
	}
	s.Sweep(time.Second + tombstoneRetention + time.Second)
	if _, full = s.Since(10); !full {
		t.Fatal("a removal was discarded and the updates still count as complete")
	}
}

// Guards against hosts with different views after the same updates in another order or repeated.
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

// Guards against hosts that miss an update which the forwarding host had received early: a page of a full read may contain
// items newer than the revision up to which the read is complete.
func TestForwardedUpdatesAreComplete(t *testing.T) {
	sender, receiver := NewState(), loaded()
	early := serverUpdate("s2", 12)
	sender.Replace([]Update{configUpdate(3, 5), serverUpdate("s1", 6), early}, 10, 0)
	changed, _ := sender.Apply([]Update{serverUpdate("s3", 11), early}, 10, 12, 0)
	if len(changed) != 1 {
		t.Fatalf("changed %+v, want only s3", changed)
	}
	if _, ok := receiver.Apply(sender.UpdatesAfter(10), 10, sender.Revision(), 0); !ok || len(receiver.View().Servers) != 3 {
		t.Fatalf("servers %+v, want s1, s2 and s3", receiver.View().Servers)
	}
	if got := sender.UpdatesAfter(4); got != nil {
		t.Fatalf("updates %+v from before the first full read, want none", got)
	}
}
