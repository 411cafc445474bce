package registry

import (
	"maps"
	"slices"
	"time"
)

const (
	// tombstoneRetention is how long a removal is kept, which is longer than an update of another host can be in transit.
	tombstoneRetention = 2 * time.Minute
	// lapseGrace is how long a backend server that was removed shortly after a store failure may take to return.
	lapseGrace = 2500 * time.Millisecond
	// storeFailureWindow is how long after a failed call to the store removals are treated as possible lapses.
	storeFailureWindow = 4 * time.Second
	// restoreColdMargin is added to the cold period of a data centre that was brought back into use, for the reports of its
	// backend servers that are still in transit.
	restoreColdMargin = 500 * time.Millisecond
)

// item holds the latest received update of a key.
type item struct {
	update      Update
	receivedAt  time.Duration // when this host received the update
	previous    *Server       // the backend server that the update removed, or nil
	lapsedUntil time.Duration // until when the removed server counts as lapsed; 0: it does not
	coldUntil   time.Duration // of the backend server, on this host's clock; 0: it is not cold
	olderUntil  time.Duration // until when older or olderOut is used in place of the update; 0: neither is
	older       *Server       // backend server as known from an older era
	unused      bool          // older is the item's entry, which is not used: its server had left in an older era
	olderOut    string        // data centre that was taken out in an older era
}

// State is the mutable registry of a host. It must be used by the control goroutine only.
type State struct {
	items             map[string]*item
	removed           map[string]*item // the subset of items that are removals
	unreadable        map[string]bool  // keys of the unreadable items of which no readable entry is known
	out               map[string]bool  // data centres taken out
	config            *Config
	configEra         uint64           // in which config came into force
	history           []*Config        // the latest versions, the newest last
	configKey         string           // key of the configuration; "": none is known
	configOlderUntil  time.Duration    // until when copies contain a configuration that the store no longer has; 0: they don't
	older             map[string]*item // the subset of items of which knowledge of an older era is in use
	era               uint64
	began             uint64        // revision after which items have been written in this era
	fromCopyUntil     time.Duration // see LacksOlder
	revision          uint64
	clock             time.Duration // time of the last change or sweep
	loaded            bool
	storeFailedAt     time.Duration // last failure of a call to the store; negative: none
	restoredColdUntil map[string]time.Duration
	compactedRevision uint64 // removals at or below this revision may have been discarded
	changes           changes
}

// NewState returns an empty registry.
func NewState() *State {
	return &State{items: map[string]*item{}, removed: map[string]*item{}, older: map[string]*item{}, unreadable: map[string]bool{}, out: map[string]bool{}, storeFailedAt: -time.Hour, restoredColdUntil: map[string]time.Duration{}, changes: newChanges()}
}

// Loaded reports whether the registry has applied a full read and has a configuration.
func (s *State) Loaded() bool { return s.loaded && s.config != nil }

// Complete reports whether the registry has applied a full read, with or without a configuration.
func (s *State) Complete() bool { return s.loaded }

// Revision returns the revision up to which the registry has all updates.
func (s *State) Revision() uint64 { return s.revision }

// ConfigVersion returns the version of the configuration in force, or 0.
func (s *State) ConfigVersion() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// RecordStoreFailure records a failed call to the store.
func (s *State) RecordStoreFailure(now time.Duration) { s.storeFailedAt = now }

// StoreFailedRecently reports whether a call to the store failed within storeFailureWindow.
func (s *State) StoreFailedRecently(now time.Duration) bool {
	return now-s.storeFailedAt < storeFailureWindow
}

// Replace applies a full read of the store at a revision. Items that the read does not contain are recorded as removed,
// unless their revision is newer than the read. It returns the updates that changed something.
//
// What was removed since the revision before is known only of the items that this host held. Another host may hold one that
// was created and removed in between, so the updates after an older revision are not complete from then on.
func (s *State) Replace(all []Update, revision uint64, now time.Duration) []Update {
	named := make(map[string]bool, len(all))
	var changed []Update
	late := s.loaded && revision < s.revision
	for _, u := range all {
		if u.Removed {
			continue // it is not there: the sender of a copy uses what it knows of an older era
		}
		named[u.Key] = true
		if u.Delta != nil {
			continue // a full read contains no deltas
		}
		if late && s.outdated(&u) {
			continue
		}
		if s.apply(u, now) {
			changed = append(changed, u)
		}
	}
	for key, it := range s.items {
		if named[key] || it.update.Removed || it.update.Revision > revision {
			continue
		}
		if u := (Update{Key: key, Revision: revision, Removed: true}); s.apply(u, now) {
			changed = append(changed, u)
		}
	}
	if !s.loaded || s.revision < revision {
		s.revision = revision
		s.compactedRevision = max(s.compactedRevision, revision)
	}
	s.loaded = true
	return changed
}

// outdated reports whether an update belongs to an item that has been removed meanwhile: this host has all items up to its
// revision and lacks this one. Updates arrive late when a copy from another host overtakes a call to the store or a message.
func (s *State) outdated(u *Update) bool {
	it := s.items[u.Key]
	return (it == nil || it.update.Removed) && u.Revision <= s.revision && !u.Removed
}

// Apply applies the updates after one revision, up to and including another. It returns those that changed something. It
// returns false and applies nothing if the registry lacks earlier updates or the base of a configuration delta.
func (s *State) Apply(updates []Update, after, revision uint64, now time.Duration) ([]Update, bool) {
	if !s.loaded || after > s.revision {
		return nil, false
	}
	updates, ok := s.resolveDeltas(updates)
	if !ok {
		return nil, false
	}
	var changed []Update
	for _, u := range updates {
		if !s.outdated(&u) && s.apply(u, now) {
			changed = append(changed, u)
		}
	}
	s.revision = max(s.revision, revision)
	return changed, true
}

// apply applies an update if its revision is newer than that of the item. It reports whether it did.
func (s *State) apply(u Update, now time.Duration) bool {
	old := s.items[u.Key]
	if old != nil && (!old.replacedBy(&u) || u.Removed && old.update.Config != nil) {
		return false // a removed configuration stays in force, and other hosts get it from here
	}
	next := &item{update: u, receivedAt: now}
	s.clock = now
	if u.Server != nil && u.Server.ColdFor > 0 {
		next.coldUntil = now + u.Server.ColdFor
	}
	switch {
	case u.Unreadable:
		next.keepReadable(old)
	case u.Config != nil:
		s.configKey = u.Key
		s.acceptConfig(u.Config)
	case u.Removed && old != nil && old.update.Server != nil:
		next.previous = old.viewServer()
		if next.previous != nil && s.StoreFailedRecently(now) {
			next.lapsedUntil = now + lapseGrace
		}
	case u.Removed && old != nil && old.outDataCentre() != "":
		s.bringBack(old.outDataCentre(), now)
	}
	if old != nil {
		delete(s.out, old.outDataCentre())
	}
	if u.OutDataCentre != "" {
		s.out[u.OutDataCentre] = true
	}
	s.items[u.Key] = next
	delete(s.removed, u.Key)
	if u.Removed {
		s.removed[u.Key] = next
	}
	delete(s.older, u.Key)
	delete(s.unreadable, u.Key)
	if u.Unreadable && next.update.Server == nil {
		s.unreadable[u.Key] = true
	}
	s.changes.record(u.Key, old.viewServer(), next.viewServer())
	return true
}

// replacedBy reports whether an update replaces the item: it is newer, or it tells a newer readable entry of an item that can't
// be read at present.
func (it *item) replacedBy(u *Update) bool {
	if it.update.Revision == u.Revision {
		return it.update.Unreadable && u.Unreadable && u.ReadRevision > it.update.ReadRevision
	}
	return it.update.Revision < u.Revision
}

// keepReadable completes an item that can't be read with the last readable entry of its backend server, if the item before
// knows a newer one than the update itself. An entry that can't be read is no evidence that its backend server has ended, so
// open flows need the address. A removed entry is one that counts only as long as its server may return.
func (it *item) keepReadable(old *item) {
	server := old.viewServer()
	if server == nil {
		return
	}
	revision := old.readRevision()
	if it.update.Server != nil && it.update.ReadRevision >= revision {
		return
	}
	it.update.Server, it.update.ReadRevision, it.coldUntil = server.BackendServer, revision, server.ColdUntil
}

// readRevision returns the revision of the entry that describes the item's backend server.
func (it *item) readRevision() uint64 {
	if it == nil {
		return 0
	}
	if it.update.Unreadable {
		return it.update.ReadRevision
	}
	return it.update.Revision
}

// acceptConfig puts c in force if its version is newer: the configuration never reverts during the lifetime of a process.
func (s *State) acceptConfig(c *Config) {
	if s.config == nil || c.Version > s.config.Version || c.Version == s.config.Version && s.configEra < s.era {
		s.config, s.configEra = c, s.era
		s.history = append(s.history, c)
		if len(s.history) > configHistory {
			s.history = slices.Delete(s.history, 0, 1)
		}
	}
}

func (s *State) longestColdPeriod() time.Duration {
	var longest time.Duration
	if s.config == nil {
		return longest
	}
	for _, service := range s.config.Services {
		longest = max(longest, service.ColdPeriod)
	}
	return longest
}

// UpdatesAfter returns all updates after a revision, or nil if removals among them may have been discarded. It includes the
// updates that this host received before it was complete up to their revision, since another host that is complete up to
// the given revision needs them all.
func (s *State) UpdatesAfter(after uint64) []Update {
	updates, full := s.Since(after)
	if full {
		return nil
	}
	return updates
}

// Compacted reports whether removals after a revision may have been discarded, so that only a full copy is complete.
func (s *State) Compacted(after uint64) bool { return after < s.compactedRevision }

// Since returns the updates after a revision. If removals after it may have been discarded, it returns all existing
// items and full is true.
func (s *State) Since(after uint64) (updates []Update, full bool) {
	full = s.Compacted(after)
	for _, it := range s.items {
		if full && it.update.Removed && it.olderUntil == 0 {
			continue
		}
		if full {
			updates = append(updates, s.withOlder(it, s.clock))
		} else if it.update.Revision > after {
			updates = append(updates, it.update)
		}
	}
	slices.SortFunc(updates, func(a, b Update) int { return compareRevision(a.Revision, b.Revision) })
	return updates, full
}

func compareRevision(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Sweep discards old removals. It reports whether a view taken now differs from an earlier one because the grace period of
// a lapsed server has ended.
func (s *State) Sweep(now time.Duration) bool {
	s.clock = now
	changed := s.sweepOlder(now)
	for key, it := range s.removed {
		if it.lapsedUntil != 0 && now >= it.lapsedUntil {
			before := it.viewServer()
			it.lapsedUntil = 0
			s.changes.record(key, before, nil)
			changed = true
		}
		if it.olderUntil == 0 && now-it.receivedAt > tombstoneRetention {
			s.compactedRevision = max(s.compactedRevision, it.update.Revision)
			delete(s.items, key)
			delete(s.removed, key)
		}
	}
	maps.DeleteFunc(s.restoredColdUntil, func(_ string, until time.Duration) bool { return now >= until })
	return changed
}
