package registry

import "time"

// olderRetention is how long after a restore of the store what this host knew before is used in place of what the copy says.
// Backend servers write their entries again within about 2 s, and the operators what they wrote; what nobody has written
// again by then has no owner.
const olderRetention = 10 * time.Second

// Older is what the sender of a full copy knows of an older era and uses in place of the store's item.
type Older struct {
	// Server is the backend server as it was known before; nil: it had left, and its entry is not used.
	Server        *BackendServer `json:"server,omitempty"`
	Created       uint64         `json:"created,omitempty"`         // of Server
	Lapsed        bool           `json:"lapsed,omitempty"`          // the store has no such entry
	Config        *Config        `json:"config,omitempty"`          // newer than that of the store
	OutDataCentre string         `json:"out_data_centre,omitempty"` // taken out before; the store has no such mark
	ColdFor       time.Duration  `json:"cold_for,omitempty"`        // remaining cold period of Server
	Remaining     time.Duration  `json:"remaining,omitempty"`       // time for which it is still used
}

// Restored tells what a restore of the store has changed for this host.
type Restored struct {
	From, To Version
	Kept     int // items that the copy lacks or has in an older form, and of which the former contents are still used
	Returned int // entries that are back although their backend servers had left, and are not used
}

// Version returns the version up to which the registry has all updates.
func (s *State) Version() Version { return Version{s.era, s.revision} }

// VersionOf returns the version of an update of the present era.
func (s *State) VersionOf(u *Update) Version { return Version{s.era, u.Revision} }

// Began returns the revision after which items are known to have been written in the present era.
func (s *State) Began() uint64 { return s.began }

// LacksOlder reports whether this host has learned of the present era shortly after its start, so that only other hosts know
// what the store had lost.
func (s *State) LacksOlder(now time.Duration) bool { return now < s.fromCopyUntil }

// AdoptOlder takes over what the sender of a full copy of the present era knows of an older one. It reports whether something
// has changed.
func (s *State) AdoptOlder(all []Update, now time.Duration) bool {
	s.fromCopyUntil, s.clock = 0, now
	changed := false
	for _, u := range all {
		changed = s.adoptConfig(u.Older, now) || changed
		if u.Older != nil {
			changed = s.adopt(u, now) || changed
		}
	}
	return changed
}

// adopt takes over what the sender of a copy used in place of an item, unless the item has been written since.
func (s *State) adopt(u Update, now time.Duration) bool {
	it := s.items[u.Key]
	if it == nil && u.Removed {
		it = &item{update: Update{Key: u.Key, Revision: max(s.began, 1), Removed: true}, receivedAt: now}
	}
	if it == nil || it.olderUntil != 0 || it.update.Revision > s.began || !it.update.sameItem(&u) {
		return false
	}
	before := it.viewServer()
	it.adopt(u.Older, now)
	s.put(u.Key, it, before)
	return it.olderUntil != 0
}

// sameItem reports whether two updates of a key are the same state of its item: what another host knows about one of them does not
// apply if the item has been written again.
func (u *Update) sameItem(other *Update) bool {
	return u.Removed == other.Removed && (u.Removed || u.Revision == other.Revision)
}

// Holding reports whether knowledge of an older era is in use that ends by itself.
func (s *State) Holding() bool { return len(s.older) > 0 || s.configOlderUntil > 0 }

// Restore applies a full read of a newer era. What this host knew before is used for olderRetention where the copy is or may
// be older; docs/design/store-eras.md lists the rules. Items of a revision above began have been written in the new era. It
// does nothing unless the era is newer.
func (s *State) Restore(all []Update, to Version, began uint64, now time.Duration) (Restored, bool) {
	if to.Era <= s.era {
		return Restored{}, false
	}
	began = min(began, to.Revision)
	result := Restored{From: s.Version(), To: to}
	before, wasLoaded := s.items, s.loaded
	s.begin(to, began, now)
	for _, u := range all {
		old := before[u.Key]
		delete(before, u.Key)
		if u.Delta != nil {
			continue // a full read contains no deltas
		}
		it := s.written(u, now)
		if u.Revision <= began || u.Removed {
			s.compare(it, u.Older, old, wasLoaded && u.Revision <= result.From.Revision, now)
		}
		s.put(u.Key, it, old.viewServer())
		switch {
		case it.olderUntil == 0:
		case it.withheld():
			result.Returned++
		default:
			result.Kept++
		}
	}
	for key, old := range before {
		if it := s.missing(key, old, now); it != nil {
			s.put(key, it, old.viewServer())
			result.Kept++
		}
	}
	s.holdConfig(now)
	for _, u := range all {
		s.adoptConfig(u.Older, now)
	}
	s.loaded = true
	return result, true
}

// begin empties the registry for a newer era. The configuration in force, the cold periods of data centres and the changes
// since the last view stay. Deltas have no base of an older era.
func (s *State) begin(to Version, began uint64, now time.Duration) {
	s.items, s.removed, s.older = map[string]*item{}, map[string]*item{}, map[string]*item{}
	s.unreadable, s.out = map[string]bool{}, map[string]bool{}
	s.history = nil
	s.era, s.revision, s.compactedRevision, s.began = to.Era, to.Revision, to.Revision, began
	s.fromCopyUntil = 0
	if !s.loaded {
		s.fromCopyUntil = now + olderRetention
	}
	s.clock, s.changes.whole = now, true
}

// put stores an item in an emptied registry. before is its backend server in the last view.
func (s *State) put(key string, it *item, before *Server) {
	s.items[key] = it
	s.changes.record(key, before, it.viewServer())
	if it.update.Removed {
		s.removed[key] = it
	}
	if it.olderUntil != 0 {
		s.older[key] = it
	}
	if it.update.Unreadable && it.update.Server == nil {
		s.unreadable[key] = true
	}
	for _, dataCentre := range []string{it.update.OutDataCentre, it.olderOut} {
		if dataCentre != "" {
			s.out[dataCentre] = true
		}
	}
}

// written returns the item for an update of a newer era as the store has it.
func (s *State) written(u Update, now time.Duration) *item {
	it := &item{update: u, receivedAt: now}
	it.update.Older = nil
	if u.Server != nil {
		it.coldUntil = coldUntil(u.Server.ColdFor, now)
	}
	if u.Config != nil {
		s.configKey = u.Key
		s.acceptConfig(u.Config)
	}
	return it
}

// compare completes an item of the copy with what was known before: by this host (old, or nil) and by the sender of the copy.
// wasComplete states that this host had all items of the item's revision, so that those that it lacks had been removed.
func (s *State) compare(it *item, sender *Older, old *item, wasComplete bool, now time.Duration) {
	u := &it.update
	switch {
	case u.Removed && old != nil:
		if kept := s.missing(u.Key, old, now); kept != nil && kept.olderUntil != 0 {
			*it = *kept
		}
	case u.Unreadable:
		it.keepOlderReadable(old)
	case u.Server != nil && left(old, u, wasComplete):
		it.withhold(now + olderRetention)
	case u.Server != nil:
		if old != nil && old.update.Server != nil && old.update.Revision == u.Revision && *old.update.Server == *u.Server {
			it.coldUntil = old.coldUntil // the same report
		}
		heldOver := old != nil && old.older != nil && u.Revision <= old.update.Revision // since an earlier restore, and not written again
		it.merge(old.viewServer(), heldOver || old.readRevision() > u.Revision, now+olderRetention)
	}
	it.adopt(sender, now)
}

// left reports whether the backend server of an update of a newer era had left before: its entry is part of the older copy. A
// later start than that of the one that left shows a new process.
func left(old *item, u *Update, wasComplete bool) bool {
	switch {
	case old != nil && old.withheld():
		return u.Server.StartedMs <= old.update.Server.StartedMs
	case old.viewServer() != nil || old != nil && !old.update.Removed:
		return false
	case old != nil && old.previous != nil && u.Server.StartedMs > old.previous.StartedMs:
		return false
	}
	return wasComplete
}

// missing returns the item for a key that the copy lacks, or nil if nothing is to be kept of it.
func (s *State) missing(key string, old *item, now time.Duration) *item {
	it := &item{update: Update{Key: key, Revision: max(s.began, 1), Removed: true}, receivedAt: now}
	if old.withheld() {
		return nil
	}
	if server := old.viewServer(); server != nil {
		lapsed := *server
		lapsed.Lapsed = true
		lapsed.Created = min(lapsed.Created, s.began) // registered after the copy, and before all that is written since
		until := now + olderRetention
		if old.lapsedUntil != 0 {
			until = old.lapsedUntil // it was missing before the restore as well
		}
		it.hold(&lapsed, until)
		return it
	}
	if old.update.Config != nil {
		it.update.Removed, it.update.Config = false, s.config
		return it
	}
	if dataCentre := old.outDataCentre(); dataCentre != "" {
		it.olderOut, it.olderUntil = dataCentre, now+olderRetention
		return it
	}
	return nil
}

func (it *item) outDataCentre() string {
	if it.olderOut != "" {
		return it.olderOut
	}
	return it.update.OutDataCentre
}

// hold sets the backend server that is used in place of the item's update.
func (it *item) hold(server *Server, until time.Duration) { it.older, it.olderUntil = server, until }

// withhold makes the item's entry unused, as its backend server had left in an older era: it counts as one that can't be read.
// The entry may have been written again before this host saw the new era, so that open flows must not be reset.
func (it *item) withhold(until time.Duration) {
	it.hold(&Server{BackendServer: it.update.Server, Created: it.update.Created, ColdUntil: it.coldUntil, Unreadable: true}, until)
	it.unused = true
}

// withheld reports whether the item's entry exists but is not used, since its backend server had left in an older era.
func (it *item) withheld() bool {
	return it.olderUntil != 0 && it.unused
}

// merge completes an item of a newer era with what was known of its backend server before: the later start, the later
// revision, draining if either says so, and the longer cold period unless the copy is older. It keeps nothing if the update
// says the same.
func (it *item) merge(known *Server, copyIsOlder bool, until time.Duration) {
	if known == nil || it.update.Server == nil || it.withheld() {
		return
	}
	current := it.viewServer()
	if known.StartedMs < current.StartedMs {
		return
	}
	merged := *current
	if known.StartedMs > current.StartedMs || copyIsOlder && !known.Unreadable {
		merged.BackendServer, merged.ColdUntil = known.BackendServer, known.ColdUntil
	}
	if known.StartedMs == current.StartedMs {
		if !copyIsOlder {
			merged.ColdUntil = max(known.ColdUntil, current.ColdUntil)
		}
		if known.Draining != current.Draining {
			draining := *merged.BackendServer
			draining.Draining = true
			merged.BackendServer = &draining
		}
	}
	if *merged.BackendServer != *current.BackendServer || merged.ColdUntil != current.ColdUntil {
		it.hold(&merged, until)
	}
}

// adopt takes over what the sender of a copy knows of an older era.
func (it *item) adopt(o *Older, now time.Duration) {
	if o == nil {
		return
	}
	until := now + min(max(o.Remaining, 0), olderRetention)
	switch {
	case until == now:
	case o.Config != nil: // see adoptConfig
	case o.OutDataCentre != "":
		it.olderOut, it.olderUntil = o.OutDataCentre, until
	case o.Server == nil && it.update.Server != nil:
		it.withhold(until)
	case o.Server != nil:
		server := &Server{BackendServer: o.Server, Lapsed: o.Lapsed, ColdUntil: coldUntil(o.ColdFor, now), Created: o.Created}
		if it.update.Removed && it.olderUntil == 0 {
			it.hold(server, until)
		}
		it.merge(server, true, until)
	}
}

func coldUntil(remaining, now time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	return now + remaining
}

// keepOlderReadable completes an item that can't be read with the backend server that was known before.
func (it *item) keepOlderReadable(old *item) {
	if server := old.viewServer(); server != nil && it.update.Server == nil && it.update.Revision > 1 {
		it.update.Server, it.coldUntil = server.BackendServer, server.ColdUntil
		it.update.ReadRevision = min(max(old.readRevision(), 1), it.update.Revision-1)
	}
}

// holdConfig records that the configuration in force is newer than that of the copy. This host keeps it, since it never goes
// back; hosts that start get it only as long as it may be written again.
func (s *State) holdConfig(now time.Duration) {
	s.configOlderUntil = 0
	if s.config != nil && s.storeConfigVersion() < s.config.Version {
		s.configOlderUntil = now + olderRetention
	}
}

// adoptConfig takes over a configuration of an older era that the sender of a copy has in force. It reports whether it did.
func (s *State) adoptConfig(o *Older, now time.Duration) bool {
	if o == nil || o.Config == nil || o.Remaining <= 0 || o.Config.Version <= s.ConfigVersion() {
		return false
	}
	s.config, s.configEra = o.Config, 0 // no base of deltas, and replaced by the same version if that is written again
	s.configOlderUntil = now + min(o.Remaining, olderRetention)
	return true
}

// storeConfigVersion returns the version of the newest configuration among the items, or 0.
func (s *State) storeConfigVersion() uint64 {
	if s.configKey == "" || s.items[s.configKey] == nil || s.items[s.configKey].update.Config == nil {
		return 0
	}
	return s.items[s.configKey].update.Config.Version
}

// withOlder returns the update of an item for a full copy, with what is used in its place.
func (s *State) withOlder(it *item, now time.Duration) Update {
	u := it.update
	if u.Config != nil && s.configOlderUntil > 0 && u.Config.Version < s.config.Version {
		u.Older = &Older{Config: s.config, Remaining: s.configOlderUntil - now}
	}
	if it.olderUntil <= now {
		return u
	}
	u.Older = &Older{OutDataCentre: it.olderOut, Remaining: it.olderUntil - now}
	if it.older != nil && !it.unused {
		u.Older.Server, u.Older.Created, u.Older.Lapsed = it.older.BackendServer, it.older.Created, it.older.Lapsed
		u.Older.ColdFor = max(it.older.ColdUntil-now, 0)
	}
	return u
}

// sweepOlder ends the use of what was known of an older era. It reports whether the view changes.
func (s *State) sweepOlder(now time.Duration) bool {
	if s.configOlderUntil > 0 && now >= s.configOlderUntil {
		s.configOlderUntil = 0
	}
	changed := false
	for key, it := range s.older {
		if now < it.olderUntil {
			continue
		}
		before := it.viewServer()
		if it.olderOut != "" {
			s.bringBack(it.olderOut, now)
		}
		it.older, it.olderUntil, it.olderOut, it.unused = nil, 0, "", false
		delete(s.older, key)
		s.changes.record(key, before, it.viewServer())
		changed = true
	}
	return changed
}

// bringBack records that a data centre is no longer taken out. Its backend servers count as cold.
func (s *State) bringBack(dataCentre string, now time.Duration) {
	delete(s.out, dataCentre)
	s.restoredColdUntil[dataCentre] = now + s.longestColdPeriod() + restoreColdMargin
}
