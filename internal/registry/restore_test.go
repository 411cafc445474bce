package registry

import (
	"net/netip"
	"testing"
	"time"
)

const restoredAt = time.Hour // time of the restores in these tests

// known returns a registry of era 1 with updates at a revision.
func known(revision uint64, updates ...Update) *State {
	s := NewState()
	s.Restore(updates, Version{1, revision}, revision, 0)
	s.Sweep(time.Minute)
	return s
}

// restore restores a registry to era 2 from a copy at a revision.
func restore(t *testing.T, s *State, revision uint64, copied ...Update) Restored {
	t.Helper()
	r, ok := s.Restore(copied, Version{2, revision}, revision, restoredAt)
	if !ok || s.Version() != (Version{2, revision}) {
		t.Fatalf("restored %v to %v", ok, s.Version())
	}
	return r
}

// inView returns the server of a key in a view, or nil.
func inView(s *State, id string) *Server {
	for _, server := range s.View().Servers {
		if server.ID == id {
			return &server
		}
	}
	return nil
}

// used returns the server of a key in a view, or nil if there is none that gets new flows.
func used(s *State, id string) *Server {
	if server := inView(s, id); server != nil && !server.Unreadable {
		return server
	}
	return nil
}

// instance returns the update of a backend server that started at a time, with a change.
func instance(key string, revision uint64, startedMs int64, change func(*BackendServer)) Update {
	u := serverUpdate(key, revision)
	u.Created, u.Server.StartedMs = revision, startedMs
	if change != nil {
		change(u.Server)
	}
	return u
}

func drain(b *BackendServer) { b.Draining = true }

// Guards against each row of the table in docs/design/store-eras.md going wrong: what is used of a backend server after a
// restore, until its entry is written again, and after olderRetention.
func TestRestoredServers(t *testing.T) {
	const id = "a"
	addr := instance(id, 5, 100, nil).Server.Addr
	moved := func(b *BackendServer) { b.Addr = netip.MustParseAddrPort("10.9.9.9:80") }
	type want struct {
		there, draining, lapsed bool
		startedMs               int64
	}
	for _, tt := range []struct {
		name   string
		before []Update // known in era 1, at revision 20
		after  []Update // then applied in era 1, up to revision 20
		copied []Update // at revision 10
		during want
		ends   want
	}{
		{"unchanged", []Update{instance(id, 5, 100, nil)}, nil, []Update{instance(id, 5, 100, nil)}, want{there: true, startedMs: 100}, want{there: true, startedMs: 100}},
		{"entry missing", []Update{instance(id, 15, 100, nil)}, nil, nil, want{there: true, lapsed: true, startedMs: 100}, want{}},
		{"draining entry missing", []Update{instance(id, 15, 100, drain)}, nil, nil, want{there: true, draining: true, lapsed: true, startedMs: 100}, want{}},
		{"draining became ready", []Update{instance(id, 15, 100, drain)}, nil, []Update{instance(id, 5, 100, nil)}, want{there: true, draining: true, startedMs: 100}, want{there: true, startedMs: 100}},
		{"draining in the copy only", []Update{instance(id, 15, 100, nil)}, nil, []Update{instance(id, 9, 100, drain)}, want{there: true, draining: true, startedMs: 100}, want{there: true, draining: true, startedMs: 100}},
		{"older start", []Update{instance(id, 15, 200, nil)}, nil, []Update{instance(id, 5, 100, drain)}, want{there: true, startedMs: 200}, want{there: true, draining: true, startedMs: 100}},
		{"later start", []Update{instance(id, 15, 100, drain)}, nil, []Update{instance(id, 9, 300, nil)}, want{there: true, startedMs: 300}, want{there: true, startedMs: 300}},
		{"back after it had left", []Update{instance(id, 5, 100, nil)}, []Update{removal(id, 15)}, []Update{instance(id, 5, 100, nil)}, want{}, want{there: true, startedMs: 100}},
		{"back, not known before", nil, nil, []Update{instance(id, 5, 100, nil)}, want{}, want{there: true, startedMs: 100}},
		{"left, then started again", []Update{instance(id, 5, 100, nil)}, []Update{removal(id, 15)}, []Update{instance(id, 9, 300, nil)}, want{there: true, startedMs: 300}, want{there: true, startedMs: 300}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := known(14, tt.before...)
			s.Apply(tt.after, 14, 20, time.Minute)
			restore(t, s, 10, tt.copied...)
			check := func(when string, w want) {
				t.Helper()
				got := used(s, id)
				if (got != nil) != w.there {
					t.Fatalf("%s: server %+v, want it there: %v", when, got, w.there)
				}
				if got != nil && (got.Draining != w.draining || got.Lapsed != w.lapsed || got.StartedMs != w.startedMs || got.Addr != addr) {
					t.Errorf("%s: %+v of start %d at %v, draining %v, lapsed %v; want %+v", when, got, got.StartedMs, got.Addr, got.Draining, got.Lapsed, w)
				}
			}
			check("after the restore", tt.during)
			s.Sweep(restoredAt + olderRetention - 1)
			check("until the end of the retention", tt.during)
			s.Sweep(restoredAt + olderRetention)
			check("after the retention", tt.ends)

			s = known(14, tt.before...)
			s.Apply(tt.after, 14, 20, time.Minute)
			restore(t, s, 10, tt.copied...)
			again := instance(id, 11, 400, moved)
			s.Apply([]Update{again}, 10, 11, restoredAt)
			if got := inView(s, id); got == nil || got.Addr != again.Server.Addr || got.Lapsed || got.Draining {
				t.Errorf("%+v after the entry was written again, want %+v", got, again.Server)
			}
			s.Apply([]Update{removal(id, 12)}, 11, 12, restoredAt+storeFailureWindow)
			if got := inView(s, id); got != nil {
				t.Errorf("%+v after the entry was removed in the new era", got)
			}
		})
	}
}

// Guards against flows of a server being reset whose entry is not used although it exists: another host may use it.
func TestFlowsOfUnusedEntriesAreNotReset(t *testing.T) {
	s := known(20)
	u := instance("a", 5, 100, nil)
	if r := restore(t, s, 10, u); r.Returned != 1 {
		t.Errorf("%+v, want one entry that is not used", r)
	}
	if got := inView(s, "a"); got == nil || !got.Unreadable || got.Lapsed {
		t.Errorf("%+v, want it in the view for its open flows only", got)
	}
	s.Apply([]Update{removal("a", 11)}, 10, 11, restoredAt)
	if got := inView(s, "a"); got != nil {
		t.Errorf("%+v after the entry was removed", got)
	}
}

// Guards against a flow to an address whose owner the copy has wrong: its former owner is in the copy, its present one is not.
func TestAddressOfAFormerOwner(t *testing.T) {
	former, present := instance("a", 5, 100, nil), instance("b", 16, 200, nil)
	present.Server.Addr = former.Server.Addr
	s := known(14, former)
	s.Apply([]Update{removal("a", 15), present}, 14, 20, time.Minute)
	restore(t, s, 10, former)
	if v := s.View(); used(s, "a") != nil || inView(s, "a").Created >= 10 || used(s, "b") == nil || !used(s, "b").Lapsed || used(s, "b").Created != 10 {
		t.Errorf("servers %+v, want the present owner of the address only", v.Servers)
	}
}

// Guards against flows of a server being reset whose entry the copy lacks, because the copy has the entry of the server that had
// its address before: without a start in the entries, the order of registration tells whose the address is.
func TestOrderOfRegistrationAfterARestore(t *testing.T) {
	former, present := instance("a", 5, 0, nil), instance("b", 16, 0, nil)
	s := known(14, former)
	s.RecordStoreFailure(restoredAt)
	s.Apply([]Update{removal("a", 15), present}, 14, 20, restoredAt)
	restore(t, s, 10, former)
	started := NewState()
	copied, _ := s.Since(0)
	started.Restore(copied, s.Version(), s.Began(), restoredAt)
	for name, s := range map[string]*State{"host": s, "started host": started} {
		a, b := inView(s, "a"), inView(s, "b")
		if a == nil || b == nil || a.Created >= b.Created {
			t.Fatalf("%s: %+v, %+v; want the address to belong to the latter", name, a, b)
		}
		if b.Created != 10 {
			t.Errorf("%s: registered at %d, want 10", name, b.Created)
		}
		s.Apply([]Update{instance("c", 12, 0, nil)}, 10, 12, restoredAt)
		if c := inView(s, "c"); c.Created <= b.Created {
			t.Errorf("%s: %+v, %+v; want the address to belong to who registers in the new era", name, b, c)
		}
	}
}

// Guards against an entry that was missing before the restore as well, and that counts as lapsed for longer; and against a host
// that starts, takes it from a copy, and gives it the address of the server that has registered since.
func TestEntryThatHadLapsedBefore(t *testing.T) {
	former, present := instance("a", 5, 0, nil), instance("b", 16, 0, nil)
	s := known(14, former)
	s.RecordStoreFailure(restoredAt - time.Second)
	s.Apply([]Update{removal("a", 15)}, 14, 15, restoredAt-time.Second)
	restore(t, s, 20, present)
	started := NewState()
	copied, _ := s.Since(0)
	started.Restore(copied, s.Version(), s.Began(), restoredAt)
	for name, s := range map[string]*State{"host": s, "started host": started} {
		a, b := inView(s, "a"), inView(s, "b")
		if a == nil || b == nil || a.Created >= b.Created {
			t.Fatalf("%s: %+v, %+v; want the address to belong to the latter", name, a, b)
		}
		s.Sweep(restoredAt - time.Second + lapseGrace)
		if inView(s, "a") != nil {
			t.Errorf("%s: still lapsed after %v", name, lapseGrace)
		}
	}
}

// Guards against a cold period that the copy does not tell.
func TestColdPeriodAfterARestore(t *testing.T) {
	s := known(14, instance("a", 5, 100, nil))
	cold := instance("a", 15, 100, func(b *BackendServer) { b.ColdFor = time.Minute })
	s.Apply([]Update{cold}, 14, 15, restoredAt-time.Second)
	restore(t, s, 10, instance("a", 5, 100, nil))
	if got := inView(s, "a"); got == nil || got.ColdUntil != restoredAt-time.Second+time.Minute {
		t.Errorf("%+v, want the cold period as known before", got)
	}
}

// Guards against servers that count as cold once more, for the time that an entry from before told.
func TestColdPeriodIsNotRepeated(t *testing.T) {
	cold := func(b *BackendServer) { b.ColdFor = time.Minute }
	s := known(14, instance("a", 5, 100, cold), instance("b", 6, 100, cold))
	s.Apply([]Update{instance("b", 15, 100, nil)}, 14, 15, time.Minute)
	restore(t, s, 10, instance("a", 5, 100, cold), instance("b", 6, 100, cold))
	for _, id := range []string{"a", "b"} {
		if got := inView(s, id); got == nil || got.ColdUntil > time.Minute {
			t.Errorf("%+v, want it cold no longer than before the restore", got)
		}
	}
}

// Guards against a host that is behind and does not use an entry that was written after what it knows.
func TestEntryOfARevisionAfterTheHosts(t *testing.T) {
	s := known(14, instance("a", 5, 100, nil))
	s.Apply([]Update{removal("a", 15)}, 14, 15, time.Minute)
	restore(t, s, 30, instance("a", 20, 100, nil), instance("b", 21, 100, nil))
	if inView(s, "a") == nil || inView(s, "b") == nil {
		t.Errorf("servers %+v, want both", s.View().Servers)
	}
}

// Guards against an entry that the copy of the store lacks, and that is lost on the way over several hosts, some of which were
// at a later revision.
func TestMissingEntriesInCopiesOfCopies(t *testing.T) {
	contents := []Update{instance("a", 15, 100, nil), {Key: "out/x", Revision: 16, OutDataCentre: "x"}}
	first, second, third, started := known(20, contents...), known(20, contents...), known(20, contents...), NewState()
	restore(t, first, 10)
	first.Apply([]Update{instance("b", 12, 100, nil)}, 10, 12, restoredAt)
	for n, pair := range [][2]*State{{first, second}, {second, third}, {third, started}} {
		from, to := pair[0], pair[1]
		from.Sweep(restoredAt + time.Duration(n)*time.Second)
		copied, _ := from.Since(0)
		to.Restore(copied, from.Version(), from.Began(), restoredAt+time.Duration(n)*time.Second)
		if a := inView(to, "a"); a == nil || !a.Lapsed || inView(to, "b") == nil || !to.View().OutDataCentres["x"] {
			t.Errorf("host %d: %+v, out %v", n+2, a, to.View().OutDataCentres)
		}
	}
}

// Guards against a data centre that gets flows although it is taken out, and against one that stays out for ever.
func TestDataCentresAfterARestore(t *testing.T) {
	mark := Update{Key: "out/x", Revision: 5, OutDataCentre: "x"}
	for _, tt := range []struct {
		name   string
		before []Update
		after  []Update
		copied []Update
		ends   bool // out after the retention
	}{
		{"mark missing", nil, []Update{{Key: "out/x", Revision: 15, OutDataCentre: "x"}}, nil, false},
		{"mark is back", []Update{mark}, []Update{removal("out/x", 15)}, []Update{mark}, true},
		{"mark in both", []Update{mark}, nil, []Update{mark}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := known(14, tt.before...)
			s.Apply(tt.after, 14, 20, time.Minute)
			restore(t, s, 10, tt.copied...)
			s.Sweep(restoredAt + olderRetention - 1)
			if !s.View().OutDataCentres["x"] {
				t.Error("not out after the restore")
			}
			s.Sweep(restoredAt + olderRetention)
			v := s.View()
			if v.OutDataCentres["x"] != tt.ends {
				t.Errorf("out %v after the retention, want %v", v.OutDataCentres["x"], tt.ends)
			}
			if _, cold := v.RestoredColdUntil["x"]; cold == tt.ends {
				t.Errorf("cold after it was taken back into use: %v", cold)
			}
			s.Apply([]Update{{Key: "out/x", Revision: 11, OutDataCentre: "x"}}, 10, 11, restoredAt)
			s.Apply([]Update{removal("out/x", 12)}, 11, 12, restoredAt)
			if s.View().OutDataCentres["x"] {
				t.Error("out after the mark was taken away in the new era")
			}
		})
	}
}

// Guards against the loss of a cold period of a data centre that was brought back into use before the restore.
func TestRestoredDataCentreStaysCold(t *testing.T) {
	s := known(14, Update{Key: "config", Revision: 1, Config: &Config{Version: 1, Services: []Service{{Name: "m", ColdPeriod: time.Minute}}}},
		Update{Key: "out/x", Revision: 5, OutDataCentre: "x"})
	s.Apply([]Update{removal("out/x", 15)}, 14, 20, restoredAt-time.Second)
	before := s.View().RestoredColdUntil["x"]
	restore(t, s, 16, Update{Key: "config", Revision: 1, Config: s.config})
	if got := s.View().RestoredColdUntil["x"]; got != before || got == 0 {
		t.Errorf("cold until %v, before the restore until %v", got, before)
	}
}

func config(revision, version uint64) Update {
	return Update{Key: "config", Revision: revision, Config: &Config{Version: version}}
}

// Guards against a host that goes back to an older configuration, and against a delta whose base is of another era.
func TestConfigurationAfterARestore(t *testing.T) {
	s := known(14, config(5, 7))
	s.Apply([]Update{config(15, 9)}, 14, 15, time.Minute)
	restore(t, s, 10, config(5, 7))
	if v := s.ConfigVersion(); v != 9 {
		t.Fatalf("version %d, want 9", v)
	}
	if updates, full := s.Since(0); !full || len(updates) != 1 || updates[0].Older == nil || updates[0].Older.Config.Version != 9 {
		t.Errorf("copy %+v within the retention, want version 9", updates)
	}
	if s.configVersion(9) != nil || s.configVersion(7) != nil {
		t.Error("a configuration of the older era is the base of a delta")
	}
	s.Sweep(restoredAt + olderRetention)
	if updates, _ := s.Since(0); updates[0].Config.Version != 7 || updates[0].Older != nil || s.ConfigVersion() != 9 {
		t.Errorf("copy %+v, in force %d after the retention; want 7 and 9", updates[0].Config, s.ConfigVersion())
	}
	s.Apply([]Update{config(11, 9)}, 10, 11, restoredAt)
	s.Apply([]Update{config(12, 8)}, 11, 12, restoredAt)
	if v := s.ConfigVersion(); v != 9 {
		t.Errorf("version %d, want 9", v)
	}
	s.Apply([]Update{config(13, 10)}, 12, 13, restoredAt)
	if v := s.ConfigVersion(); v != 10 {
		t.Errorf("version %d, want 10", v)
	}
}

// Guards against a host without a configuration after a restore from a copy that has none.
func TestCopyWithoutConfiguration(t *testing.T) {
	s := known(14, config(5, 7))
	restore(t, s, 3)
	if updates, full := s.Since(0); s.ConfigVersion() != 7 || !full || len(updates) != 1 || updates[0].Config == nil {
		t.Errorf("version %d, copy %+v", s.ConfigVersion(), updates)
	}
}

// Guards against contents of an older era that replace newer ones, however high their revision.
func TestOlderEraNeverWins(t *testing.T) {
	s := known(14, config(5, 7))
	restore(t, s, 3, config(2, 6))
	for _, at := range []Version{{1, 1 << 40}, {2, 1 << 40}, {0, 1 << 40}} {
		if _, ok := s.Restore([]Update{instance("a", 5, 1, nil)}, at, at.Revision, restoredAt); ok || inView(s, "a") != nil {
			t.Errorf("contents of version %v replace those of %v", at, s.Version())
		}
	}
}

// Guards against a host that learns late of a restore and prefers what it knew to what was written in the new era meanwhile.
func TestItemsWrittenInTheNewEra(t *testing.T) {
	s := known(20, instance("a", 15, 100, drain))
	s.Restore([]Update{instance("a", 12, 100, nil), instance("b", 13, 100, nil)}, Version{2, 14}, 10, restoredAt)
	if a, b := inView(s, "a"), inView(s, "b"); a == nil || a.Draining || b == nil {
		t.Errorf("%+v, %+v; want what was written after the restore", a, b)
	}
}

// Guards against a second restore that discards what is still kept after the first one, and keeps it no longer than it should.
func TestTwoRestores(t *testing.T) {
	s := known(14, instance("a", 5, 100, drain), instance("b", 6, 100, nil), instance("c", 4, 100, nil))
	s.Apply([]Update{removal("c", 15)}, 14, 15, time.Minute)
	restore(t, s, 10, instance("a", 3, 100, nil), instance("c", 4, 100, nil))
	second := restoredAt + olderRetention/2
	if _, ok := s.Restore([]Update{instance("a", 3, 100, nil), instance("c", 4, 100, nil)}, Version{4, 9}, 9, second); !ok {
		t.Fatal("the second restore has no effect")
	}
	s.Sweep(second + olderRetention - 1)
	a, b := inView(s, "a"), inView(s, "b")
	if a == nil || !a.Draining || b == nil || !b.Lapsed || used(s, "c") != nil {
		t.Errorf("%+v, %+v, %+v", a, b, inView(s, "c"))
	}
	s.Sweep(second + olderRetention)
	if a := inView(s, "a"); a == nil || a.Draining || inView(s, "b") != nil || used(s, "c") == nil || s.Holding() {
		t.Errorf("%+v is kept after the retention", a)
	}
}

// Guards against an entry that is not used after a restore and counts as lapsed, with new flows, when a second copy lacks it.
func TestUnusedEntryMissingFromASecondCopy(t *testing.T) {
	s := known(20)
	restore(t, s, 10, instance("a", 5, 100, nil))
	s.Restore(nil, Version{3, 4}, 4, restoredAt)
	if got := inView(s, "a"); got != nil {
		t.Errorf("%+v, want none", got)
	}
}

// Guards against a host that starts shortly after a restore, takes a copy of another host, and knows less than that host; and
// against knowledge that is passed on from host to host for ever.
func TestStartedHostTakesOlderKnowledge(t *testing.T) {
	sender := known(14, config(5, 9), instance("a", 5, 100, drain), instance("b", 6, 100, nil), instance("c", 4, 100, nil), Update{Key: "out/x", Revision: 7, OutDataCentre: "x"})
	sender.Apply([]Update{removal("c", 15)}, 14, 15, time.Minute)
	contents := []Update{config(2, 7), instance("a", 3, 100, nil), instance("c", 4, 100, nil)}
	restore(t, sender, 10, contents...)
	sender.Sweep(restoredAt + olderRetention - time.Second)
	copied, full := sender.Since(0)
	if !full || !sender.Holding() {
		t.Fatalf("full %v, holding %v", full, sender.Holding())
	}
	check := func(how string, s *State, start time.Duration) {
		t.Helper()
		a, b := inView(s, "a"), inView(s, "b")
		if a == nil || !a.Draining || b == nil || !b.Lapsed || used(s, "c") != nil || !s.View().OutDataCentres["x"] || s.ConfigVersion() != 9 {
			t.Errorf("%s: %+v, %+v, %+v, %v, configuration %d", how, a, b, inView(s, "c"), s.View().OutDataCentres, s.ConfigVersion())
		}
		s.Sweep(start + time.Second)
		if s.Holding() {
			t.Errorf("%s: kept longer than at the sender", how)
		}
	}
	fromCopy := NewState()
	fromCopy.Restore(copied, Version{2, 10}, 10, 5*time.Second)
	check("from a copy", fromCopy, 5*time.Second)
	fromStore := NewState()
	fromStore.Restore(contents, Version{2, 10}, 10, 5*time.Second)
	if !fromStore.LacksOlder(5*time.Second) || used(fromStore, "c") == nil {
		t.Error("a host that has just started knows more than the copy of the store")
	}
	if !fromStore.AdoptOlder(copied, 5*time.Second) || fromStore.LacksOlder(5*time.Second) {
		t.Error("knowledge of an older era was not taken over")
	}
	check("from the store", fromStore, 5*time.Second)
}

// Guards against the last readable entry of a backend server being lost when the copy has one that can't be read.
func TestUnreadableEntryInTheCopy(t *testing.T) {
	s := known(14, instance("a", 5, 100, nil))
	restore(t, s, 10, Update{Key: "a", Revision: 4, Unreadable: true, Identity: 7})
	if got := inView(s, "a"); got == nil || !got.Unreadable || got.StartedMs != 100 {
		t.Errorf("%+v, want the entry as read before, for open flows only", got)
	}
}

// Guards against what another host knows of an older era replacing an entry that has been written again since: a new process would
// get no flows, or flows would go to the address of the process before.
func TestOlderKnowledgeDoesNotReplaceRewrittenEntries(t *testing.T) {
	former, present := netip.MustParseAddrPort("10.9.9.9:80"), netip.MustParseAddrPort("10.8.8.8:80")
	at := func(addr netip.AddrPort) func(*BackendServer) { return func(b *BackendServer) { b.Addr = addr } }
	left := known(14, instance("a", 8, 100, nil))
	left.Apply([]Update{removal("a", 15)}, 14, 20, time.Minute)
	restore(t, left, 10, instance("a", 8, 100, nil))
	moved := known(20, instance("a", 15, 100, at(former)))
	restore(t, moved, 10)
	for name, tt := range map[string]struct {
		sender    *State
		rewritten Update
	}{
		"new process of a server that had left": {left, instance("a", 11, 300, at(present))},
		"another address, same start":           {moved, instance("a", 11, 100, at(present))},
	} {
		full, _ := tt.sender.Since(0)
		h := NewState()
		h.Restore([]Update{tt.rewritten}, Version{2, 12}, 12, restoredAt)
		h.AdoptOlder(full, restoredAt+time.Second)
		if got := inView(h, "a"); got == nil || got.Addr != present {
			t.Errorf("%s: %+v, want the entry written in the new era", name, got)
		}
	}
}

// Guards against the address of the older copy in use after a second restore, within the time for which the later one is kept.
func TestSecondRestoreKeepsTheLaterAddress(t *testing.T) {
	former := netip.MustParseAddrPort("10.9.9.9:80")
	s := known(20, instance("a", 15, 100, nil))
	want := inView(s, "a").Addr
	older := instance("a", 5, 100, func(b *BackendServer) { b.Addr = former })
	restore(t, s, 10, older)
	s.Restore([]Update{older}, Version{3, 10}, 10, restoredAt+olderRetention/2)
	if got := inView(s, "a").Addr; got != want {
		t.Errorf("address %v after a second restore, want %v", got, want)
	}
}
