package flow

import (
	"sync"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

func key(i int) packet.Key {
	return packet.Key{SrcPort: uint16(i), DstPort: uint16(i >> 16), Proto: packet.ProtoTCP}
}

// Guards against a late or repeated message that weakens an entry, in any
// order of arrival.
func TestPrecedenceIsMonotonic(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	steps := gen.SliceOf(gen.IntRange(0, 15))
	p.Property("the state of an entry never falls, ties keep or replace", prop.ForAll(func(steps []int) bool {
		table := NewTable(10)
		k := key(1)
		for i, step := range steps {
			before, had := table.Peek(k, k.Hash())
			e := Entry{State: State(step & 3), Port: uint16(i)}
			put := table.Put
			if step&4 != 0 {
				put = table.Replace
			}
			got, result := put(k, k.Hash(), e)
			after, _ := table.Peek(k, k.Hash())
			wins := !had || e.State > before.State || e.State == before.State && step&4 != 0
			if had && after.State < before.State || got != after || wins != (result == Stored) || wins != (after.Port == e.Port) {
				return false
			}
		}
		return true
	}, steps))
	p.TestingRun(t)
}

// Guards against entries that remain after their idle time, entries in use that
// are removed, and a count that differs from the number of entries.
func TestSweep(t *testing.T) {
	table := NewTable(100)
	for i := range 100 {
		table.Put(key(i), key(i).Hash(), Entry{LastSeen: uint32(i), Service: uint32(i % 2)})
	}
	if _, result := table.Put(key(100), key(100).Hash(), Entry{}); result != Full || table.Len() != 100 {
		t.Fatalf("entry over the limit: %v, %d entries", result, table.Len())
	}
	if _, result := table.Put(key(1), key(1).Hash(), Entry{State: Proven, LastSeen: 1, Service: 1}); result != Stored {
		t.Fatalf("a full table must still update entries: %v", result)
	}
	table.Get(key(0), key(0).Hash(), 100)
	visited := 0
	idle := func(_ packet.Key, e Entry) uint32 { return 20 + 30*e.Service }
	removed := table.Sweep(100, idle, func(packet.Key, Entry) { visited++ })
	// Service 0: 0 was used, 80 to 98 remain. Service 1: 51 to 99 remain.
	if visited != 1+10+25 || removed != 100-visited || table.Len() != visited {
		t.Fatalf("visited %d, removed %d, %d remain", visited, removed, table.Len())
	}
	if _, result := table.Put(key(101), key(101).Hash(), Entry{}); result != Stored {
		t.Fatalf("no room after the sweep: %v", result)
	}
	if table.Sweep(50, idle, func(packet.Key, Entry) {}) != 1 {
		t.Fatal("an entry that was used after the sweep's time was removed")
	}
}

// Guards against updates and removals of an entry that another goroutine has
// replaced meanwhile, and against data races.
func TestConditionalChanges(t *testing.T) {
	table := NewTable(10)
	k := key(1)
	old, current := Entry{Port: 1, State: Settled}, Entry{Port: 2, State: Settled}
	table.Put(k, k.Hash(), current)
	table.DeleteIf(k, k.Hash(), old)
	if table.Update(k, k.Hash(), old, Entry{Port: 3}) || table.Len() != 1 {
		t.Fatal("a replaced entry was changed")
	}
	var group sync.WaitGroup
	for g := range 4 {
		group.Go(func() {
			for i := range 1000 {
				k := key(i % 20)
				table.Put(k, k.Hash(), Entry{Port: uint16(g)})
				table.Get(k, k.Hash(), uint32(i))
				table.Delete(k, k.Hash())
			}
		})
	}
	group.Wait()
	if n := table.Len(); n < 0 || n > 10 {
		t.Fatalf("%d entries", n)
	}
}

// Guards against an entry of an earlier connection that replaces, closes or
// reopens the entry of a later one.
func TestConnectionsOfAFlow(t *testing.T) {
	const second = 1000
	early := Entry{Port: 1, State: Proven, Conn: 7, Opened: 10 * second}
	late := Entry{Port: 2, State: Settled, Conn: 9, Opened: 20 * second}
	with := func(e Entry, change func(e *Entry)) Entry { change(&e); return e }
	reply := func(at uint32) Entry { return Entry{Port: 3, State: Proven, Opened: at} }
	for _, c := range []struct {
		name         string
		old, e, want Entry
	}{
		{"earlier, stronger", late, early, late},
		{"later, weaker", early, late, late},
		{"later, not agreed on", early, with(late, func(e *Entry) { e.State = Tentative }), early},
		{"times wrap", with(early, func(e *Entry) { e.Opened = 1<<32 - second }), late, late},
		{"end of an earlier connection to the same server", late, with(early, func(e *Entry) { e.Port, e.Closing = 2, true }), late},
		{"reply soon after", late, reply(25 * second), late},
		{"reply long after", late, reply(60 * second), reply(60 * second)},
		{"agreed on soon before a reply", reply(25 * second), late, late},
		{"same server, connection learned", Entry{Port: 2, State: Proven}, late, with(late, func(e *Entry) { e.State = Proven })},
	} {
		table := NewTable(1)
		table.Put(key(1), key(1).Hash(), c.old)
		if got, _ := table.Put(key(1), key(1).Hash(), c.e); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
