package registry

import (
	"maps"
	"slices"
	"time"
)

const (
	// tombstoneRetention is how long a removal is remembered; longer than any peer's update may travel.
	tombstoneRetention = 2 * time.Minute
	// returnGrace is how long an item that went while the store was disturbed may take to come back.
	returnGrace = 2500 * time.Millisecond
	// disturbanceMemory is how long after a failed call the store counts as disturbed.
	disturbanceMemory = 4 * time.Second
	// returnColdMargin is added to the cold period of a data centre that was brought back, for the reports that are
	// still under way.
	returnColdMargin = 500 * time.Millisecond
)

// item is the newest known update of a key.
type item struct {
	update    Update
	seen      time.Duration // when this host learned of the update
	previous  *Server       // for a removed backend server: what it was
	missingTo time.Duration // until when the removed server may come back; 0 when it is gone
}

// State is the mutable registry of a host. It belongs to the control goroutine.
type State struct {
	items     map[string]*item
	removed   map[string]*item // of the items, those that were removed
	out       map[string]bool  // data centres taken out
	config    *Config
	history   []*Config // the last versions, the newest last
	revision  uint64
	loaded    bool
	disturbed time.Duration // when the last call to the store failed; negative when none did
	endedCold map[string]time.Duration
	horizon   uint64 // removals at or below this revision may have been forgotten
	changes   changes
}

// NewState returns an empty registry.
func NewState() *State {
	return &State{items: map[string]*item{}, removed: map[string]*item{}, out: map[string]bool{}, disturbed: -time.Hour, endedCold: map[string]time.Duration{}, changes: newChanges()}
}

// Loaded reports whether the registry holds a complete reading with a configuration.
func (s *State) Loaded() bool { return s.loaded && s.config != nil }

// Complete reports whether the registry has taken a full reading, with or without a configuration.
func (s *State) Complete() bool { return s.loaded }

// Revision returns the revision up to which the registry is complete.
func (s *State) Revision() uint64 { return s.revision }

// ConfigVersion returns the version of the configuration in force, or 0.
func (s *State) ConfigVersion() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// RecordStoreFailure notes a failed call to the store.
func (s *State) RecordStoreFailure(now time.Duration) { s.disturbed = now }

// StoreFailedRecently reports whether a call to the store failed a short while ago.
func (s *State) StoreFailedRecently(now time.Duration) bool {
	return now-s.disturbed < disturbanceMemory
}

// Replace takes a full reading at a revision. Items that it does not name have been removed.
// It returns the updates that changed something.
func (s *State) Replace(all []Update, revision uint64, now time.Duration) []Update {
	named := make(map[string]bool, len(all))
	var changed []Update
	for _, u := range all {
		named[u.Key] = true
		if u.Delta != nil {
			continue // a difference is no full reading
		}
		if s.apply(u, now) {
			changed = append(changed, u)
		}
	}
	for key, it := range s.items {
		if named[key] || it.update.Removed || it.update.Revision > revision {
			continue
		}
		u := Update{Key: key, Revision: revision, Removed: true}
		s.apply(u, now)
		changed = append(changed, u)
	}
	if !s.loaded || s.revision < revision {
		s.revision = revision
	}
	if s.horizon == 0 {
		s.horizon = revision
	}
	s.loaded = true
	return changed
}

// Apply takes the updates after a revision up to another one. It returns those that changed something, and false when
// updates between are missing.
func (s *State) Apply(updates []Update, after, revision uint64, now time.Duration) ([]Update, bool) {
	if !s.loaded || after > s.revision {
		return nil, false
	}
	updates, ok := s.expand(updates)
	if !ok {
		return nil, false
	}
	var changed []Update
	for _, u := range updates {
		if s.apply(u, now) {
			changed = append(changed, u)
		}
	}
	s.revision = max(s.revision, revision)
	return changed, true
}

func (s *State) apply(u Update, now time.Duration) bool {
	old := s.items[u.Key]
	if old != nil && old.update.Revision >= u.Revision {
		return false
	}
	next := &item{update: u, seen: now}
	switch {
	case u.Config != nil:
		s.acceptConfig(u.Config)
	case u.Removed && old != nil && old.update.Server != nil:
		next.previous = &Server{BackendServer: old.update.Server, Created: old.update.Created}
		if s.StoreFailedRecently(now) {
			next.missingTo = now + returnGrace
		}
	case u.Removed && old != nil && old.update.OutDataCentre != "":
		s.endedCold[old.update.OutDataCentre] = now + s.longestColdPeriod() + returnColdMargin
	}
	if old != nil && old.update.OutDataCentre != "" {
		delete(s.out, old.update.OutDataCentre)
	}
	if u.OutDataCentre != "" {
		s.out[u.OutDataCentre] = true
	}
	s.items[u.Key] = next
	delete(s.removed, u.Key)
	if u.Removed {
		s.removed[u.Key] = next
	}
	s.changes.note(u.Key, old.shown(), next.shown())
	return true
}

// acceptConfig keeps the newest version: a configuration never reverts within the life of a process.
func (s *State) acceptConfig(c *Config) {
	if s.config == nil || c.Version > s.config.Version {
		s.config = c
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

// UpdatesAfter returns all updates after a revision, also those that this host knew before it was complete up to them, or nil
// when removals among them may have been forgotten. Another host that is complete up to the revision needs them all.
func (s *State) UpdatesAfter(after uint64) []Update {
	updates, full := s.Since(after)
	if full {
		return nil
	}
	return updates
}

// Compacted reports whether removals after a revision may have been forgotten, so that only a whole copy is complete.
func (s *State) Compacted(after uint64) bool { return after < s.horizon }

// Since returns the updates after a revision. When removals after it may have been forgotten, it returns everything and
// full is true.
func (s *State) Since(after uint64) (updates []Update, full bool) {
	full = s.Compacted(after)
	for _, it := range s.items {
		if full && it.update.Removed {
			continue
		}
		if full || it.update.Revision > after {
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

// Sweep forgets old removals. It reports whether a view taken now differs from an earlier one because a missing item's
// grace has ended.
func (s *State) Sweep(now time.Duration) bool {
	changed := false
	for key, it := range s.removed {
		if it.missingTo != 0 && now >= it.missingTo {
			before := it.shown()
			it.missingTo = 0
			s.changes.note(key, before, nil)
			changed = true
		}
		if now-it.seen > tombstoneRetention {
			s.horizon = max(s.horizon, it.update.Revision)
			delete(s.items, key)
			delete(s.removed, key)
		}
	}
	maps.DeleteFunc(s.endedCold, func(_ string, until time.Duration) bool { return now >= until })
	return changed
}
