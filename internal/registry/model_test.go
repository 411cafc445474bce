package registry

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Size of the model test. The full size is `go test ./internal/registry -run Model -model.seeds=6000 -model.steps=200`.
var (
	modelSeeds = flag.Uint64("model.seeds", 150, "number of random sequences")
	modelSteps = flag.Int("model.steps", 200, "number of steps in each sequence")
)

const (
	modelHosts = 3
	modelKeys  = 6
)

// modelStore is the store: its items and the history of its changes.
type modelStore struct {
	items    map[string]Update
	history  []Update // one for each revision
	revision uint64
	era      uint64
	copied   *modelStore // the copy that a restore comes back from; nil: none was taken yet
}

// takeCopy takes the copy for the next restore.
func (s *modelStore) takeCopy() {
	s.copied = &modelStore{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision}
}

// restore comes back from the copy in a new era.
func (s *modelStore) restore() {
	if s.copied == nil {
		return
	}
	s.era++
	s.items, s.history, s.revision = s.copied.items, s.copied.history, s.copied.revision
	s.takeCopy()
}

func (s *modelStore) version() Version { return Version{s.era, s.revision} }

func (s *modelStore) change(random *rand.Rand) {
	key := fmt.Sprintf("s%d", random.IntN(modelKeys))
	s.revision++
	old, exists := s.items[key]
	u := Update{Key: key, Revision: s.revision, Created: s.revision}
	if exists {
		u.Created = old.Created
	}
	switch n := random.IntN(5); {
	case exists && n < 3:
		u.Removed = true
	case n == 4:
		u.Unreadable, u.Identity = true, 7
	default:
		u = serverUpdate(key, s.revision)
		u.Server.Slots = int(s.revision) // tells the revisions apart
	}
	delete(s.items, key)
	if !u.Removed {
		s.items[key] = u
	}
	s.history = append(s.history, u)
}

// after returns the changes after a revision.
func (s *modelStore) after(revision uint64) []Update { return slices.Clone(s.history[revision:]) }

func (s *modelStore) all() []Update {
	var all []Update
	for _, u := range s.items {
		all = append(all, u)
	}
	return all
}

// pagedRead is a full read of two pages, between which the store changes.
type pagedRead struct {
	first    []Update
	revision uint64
}

// firstPage returns the items of the lower half of the keys.
func (s *modelStore) firstPage() pagedRead {
	return pagedRead{first: s.half(true), revision: s.revision}
}

func (s *modelStore) half(lower bool) []Update {
	return slices.DeleteFunc(s.all(), func(u Update) bool { return (u.Key < fmt.Sprintf("s%d", modelKeys/2)) != lower })
}

// model is a fleet of registries whose calls and messages may be delayed.
type model struct {
	random  *rand.Rand
	store   modelStore
	hosts   [modelHosts]*State
	delayed []func() // calls and messages under way
	now     time.Duration
	// restores states that the store comes back from older copies.
	restores bool
}

// drill takes a copy of the store, or brings the store back from the last one.
func (m *model) drill() {
	if m.random.IntN(2) == 0 {
		m.store.takeCopy()
	} else {
		m.store.restore()
	}
}

// replace applies full contents of a version unless a host knows newer ones, as the control goroutine does.
func (m *model) replace(host *State, all []Update, at Version, began uint64) []Update {
	switch known := host.Version().Era; {
	case at.Era > known:
		host.Restore(all, at, began, m.now)
	case at.Era == known:
		return host.Replace(all, at.Revision, m.now)
	}
	return nil
}

// deliver runs an action now or later.
func (m *model) deliver(do func()) {
	if m.random.IntN(3) > 0 {
		do()
		return
	}
	m.delayed = append(m.delayed, do)
}

// step makes one random event.
func (m *model) step() {
	m.now += time.Duration(m.random.IntN(2000)) * time.Millisecond
	at := m.random.IntN(modelHosts)
	host, other := m.hosts[at], m.hosts[(at+1+m.random.IntN(modelHosts-1))%modelHosts]
	if m.restores && m.random.IntN(12) == 0 {
		m.drill()
	}
	switch m.random.IntN(10) {
	case 0, 1, 2, 3:
		m.store.change(m.random)
	case 4:
		all, at := m.store.all(), m.store.version()
		m.deliver(func() { m.changed(host, other, func() []Update { return m.replace(host, all, at, at.Revision) }) })
	case 5:
		read, era := m.store.firstPage(), m.store.era
		m.store.change(m.random)
		all := append(read.first, m.store.half(false)...)
		at := Version{era, read.revision}
		m.deliver(func() { m.changed(host, other, func() []Update { return m.replace(host, all, at, at.Revision) }) })
	case 6, 7:
		if host.Version().Era != m.store.era {
			return // the answer tells the newer era, and a full read follows
		}
		after, revision, era := host.Revision(), m.store.revision, m.store.era
		updates := m.store.after(after)
		m.deliver(func() {
			if host.Version().Era != era {
				return
			}
			m.changed(host, other, func() []Update {
				changed, _ := host.Apply(updates, after, revision, m.now)
				return changed
			})
		})
	case 8:
		m.copy(host, other)
	case 9:
		if len(m.delayed) > 0 {
			n := m.random.IntN(len(m.delayed))
			do := m.delayed[n]
			m.delayed = slices.Delete(m.delayed, n, n+1)
			do()
		} else if m.random.IntN(4) == 0 {
			host.Sweep(m.now)
		}
	}
}

// changed applies a change to a host and pushes what has changed to another one, as the control goroutine does.
func (m *model) changed(host, other *State, change func() []Update) {
	before := host.Revision()
	if len(change()) == 0 || before == 0 {
		return
	}
	pushed, revision, era := host.UpdatesAfter(before), host.Revision(), host.Version().Era
	if len(pushed) == 0 {
		return
	}
	m.deliver(func() {
		if other.Version().Era == era && revision > other.Revision() {
			other.Apply(pushed, before, revision, m.now)
		}
	})
}

// copy lets a host fetch what it misses from another one.
func (m *model) copy(host, other *State) {
	if !other.Complete() {
		return
	}
	after, at, began := host.Revision(), other.Version(), other.Began()
	if host.Version().Era != at.Era {
		after = 0
	}
	updates, full := other.Since(after)
	m.deliver(func() {
		if !host.Version().Before(at) {
			return
		}
		if full {
			m.replace(host, updates, at, began)
		} else if host.Version().Era == at.Era {
			host.Apply(updates, after, at.Revision, m.now)
		}
	})
}

// check compares a registry with the store. All items of the store up to the registry's revision must be there, and no item
// that the store had removed by then. Items that have changed since may be there in a newer form, and those that have been
// removed since may be missing, as the pages of a full read are read one after the other.
func (m *model) check(host *State) error {
	if !host.Complete() || host.Version().Era != m.store.era {
		return nil
	}
	expected := map[string]Update{}
	for _, u := range m.store.history[:host.Revision()] {
		delete(expected, u.Key)
		if !u.Removed {
			expected[u.Key] = u
		}
	}
	for n := range modelKeys {
		key := fmt.Sprintf("s%d", n)
		want, wanted := expected[key]
		it := host.items[key]
		exists := it != nil && !it.update.Removed
		if it != nil && it.olderUntil != 0 && m.now < it.olderUntil {
			continue // something else is used for the time being
		}
		if it != nil && (it.update.Revision > host.Revision() || it.update.Removed && it.update.Revision == host.Revision()) {
			continue // read early, or missing from a page that was read later than the revision tells
		}
		switch {
		case !exists && m.removedAfter(key, host.Revision()):
		case exists != wanted:
			return fmt.Errorf("%s: there %v, in the store %v (item %+v, history %s)", key, exists, wanted, it, m.historyOf(key))
		case exists && it.update.Revision != want.Revision:
			return fmt.Errorf("%s: of revision %d, in the store %d", key, it.update.Revision, want.Revision)
		case exists && it.update.Unreadable != want.Unreadable:
			return fmt.Errorf("%s: unreadable %v, in the store %v", key, it.update.Unreadable, want.Unreadable)
		}
	}
	return nil
}

// removedAfter reports whether the store removed an item after a revision.
func (m *model) removedAfter(key string, revision uint64) bool {
	return slices.ContainsFunc(m.store.history[revision:], func(u Update) bool { return u.Key == key && u.Removed })
}

// historyOf lists the changes of a key.
func (m *model) historyOf(key string) string {
	var out string
	for _, u := range m.store.history {
		if u.Key == key {
			out += fmt.Sprintf(" %d:removed=%v", u.Revision, u.Removed)
		}
	}
	return out
}

// Guards against registries that keep an item which the store no longer has, or lack one that it has, whatever changes, full
// and incremental reads, pushed changes and copies came before, in time or late. A host that reads the store in full after a
// gap does not know of items that were created and removed in the gap, and another host may hold one.
func TestModel(t *testing.T) { runModel(t, false) }

// Guards against registries that keep for ever what the store lost in a restore, that take over revisions of an older era, or
// that don't follow the store at all after several restores.
func TestModelWithRestores(t *testing.T) { runModel(t, true) }

func runModel(t *testing.T, restores bool) {
	for seed := range *modelSeeds {
		m := &model{random: rand.New(rand.NewPCG(seed, 11)), store: modelStore{items: map[string]Update{}}, now: time.Second, restores: restores}
		for n := range m.hosts {
			m.hosts[n] = NewState()
		}
		m.store.change(m.random)
		for step := range *modelSteps {
			m.step()
			for n, host := range m.hosts {
				if err := m.check(host); err != nil {
					t.Fatalf("seed %d, step %d, host %d at revision %d of %d: %v", seed, step, n, host.Revision(), m.store.revision, err)
				}
			}
		}
		m.converge(t, seed)
	}
}

// converge lets all hosts read the changes that they miss, and compares all of them with the store.
func (m *model) converge(t *testing.T, seed uint64) {
	restores := m.restores
	for _, do := range m.delayed {
		do()
	}
	for _, host := range m.hosts {
		if !host.Complete() || host.Version().Era != m.store.era {
			m.replace(host, m.store.all(), m.store.version(), m.store.revision)
		}
	}
	m.now += olderRetention
	for n, host := range m.hosts {
		host.Sweep(m.now)
		if host.Holding() {
			t.Fatalf("seed %d, host %d keeps knowledge of an older era", seed, n)
		}
		host.Apply(m.store.after(host.Revision()), host.Revision(), m.store.revision, m.now)
		if err := m.check(host); err != nil {
			t.Fatalf("seed %d, host %d at the end: %v", seed, n, err)
		}
		for key, it := range host.items {
			u, exists := m.store.items[key]
			if server := it.viewServer(); restores && server != nil && !server.Unreadable && server.Lapsed == exists {
				t.Fatalf("seed %d, host %d at the end: %s lapsed %v, in the store %v", seed, n, key, server.Lapsed, exists)
			}
			if exists && u.Server != nil && (it.viewServer() == nil || it.viewServer().Slots != u.Server.Slots) {
				t.Fatalf("seed %d, host %d at the end: %s is used as %+v, in the store %+v", seed, n, key, it.viewServer(), u.Server)
			}
			if exists == it.update.Removed {
				t.Fatalf("seed %d, host %d at the end: %s removed %v, in the store %v", seed, n, key, it.update.Removed, exists)
			}
		}
	}
}
