package admission

import (
	"encoding/json"
	"math/rand"
	"net/netip"
	"testing"
	"time"
)

// slotHost is a host with its own, late view of who admits.
type slotHost struct {
	id    string
	slots *Slots
	held  map[Token]time.Time // ends of commands
}

// exchange sends the queries of a host to the others after a random delay.
func (h *slotHost) exchange(now time.Time, hosts map[string]*slotHost, r *rand.Rand, pending *[]func()) {
	for _, q := range h.slots.Queries(now) {
		reply := hosts[q.To].slots.Answer(now, h.id, q)
		if r.Intn(4) > 0 {
			*pending = append(*pending, func() { h.slots.Answered(now.Add(20*time.Millisecond), q, reply) })
		}
	}
}

// Guards against more commands than slots while the role moves between hosts
// that learn of it at different times, and against slots that stay closed
// although the previous host has told that they are free.
func TestSlotsMove(t *testing.T) {
	const slotCount, step = 3, 20 * time.Millisecond
	for seed := range int64(200) {
		r := rand.New(rand.NewSource(seed))
		hosts := map[string]*slotHost{}
		order := []string{"a", "b", "c"}
		learns, view := map[string][]time.Time{}, map[string]int{}
		moves := make([]string, 8)
		for i := range moves {
			moves[i] = order[(i+int(seed))%len(order)]
		}
		for _, id := range order {
			hosts[id] = &slotHost{id: id, slots: NewSlots(SlotsConfig{}), held: map[Token]time.Time{}}
			for i := range moves {
				learns[id] = append(learns[id], epoch.Add(time.Duration(i)*3*time.Second+time.Duration(r.Intn(1900))*time.Millisecond))
			}
			view[id] = -1
		}
		// Long commands outlast several moves, short ones need free slots.
		granted, longest, least := 0, 5*time.Second, 10
		if seed%2 == 0 {
			longest, least = 400*time.Millisecond, 50
		}
		var pending []func()
		for now := epoch; now.Before(epoch.Add(30 * time.Second)); now = now.Add(step) {
			for _, f := range pending {
				f()
			}
			pending = nil
			granted += play(now, order, hosts, moves, learns, view, r, &pending, longest)
			busy := 0
			for _, h := range hosts {
				busy += len(h.held)
			}
			if busy > slotCount {
				t.Fatalf("seed %d: %d commands after %s, %d slots", seed, busy, now.Sub(epoch), slotCount)
			}
		}
		if granted < least {
			t.Errorf("seed %d: only %d commands in 30 s", seed, granted)
		}
	}
}

// play moves the role, ends and starts commands and exchanges messages.
func play(now time.Time, order []string, hosts map[string]*slotHost, moves []string, learns map[string][]time.Time, view map[string]int, r *rand.Rand, pending *[]func(), longest time.Duration) (granted int) {
	for _, id := range order {
		h := hosts[id]
		for view[id]+1 < len(moves) && !now.Before(learns[id][view[id]+1]) {
			view[id]++
			var in map[netip.AddrPort]SlotInput
			if moves[view[id]] == id {
				in = slotInput(func(in *SlotInput) {
					if view[id] > 0 {
						in.Previous = moves[view[id]-1]
					}
				})
			}
			h.slots.SetBackends(now, in)
		}
		for token, end := range h.held {
			if !end.After(now) {
				h.slots.Release(token)
				delete(h.held, token)
			}
		}
		if token, refusal := h.slots.Acquire(now, backendAddr(1), now.Add(5*time.Second)); refusal == Granted {
			h.held[token] = now.Add(time.Duration(r.Int63n(int64(longest))))
			granted++
		}
		h.exchange(now, hosts, r, pending)
	}
	return granted
}

// Guards the rule that only the host that admitted before, and only the first
// host that asks it, decides about slots.
func TestSlotHandover(t *testing.T) {
	now := epoch.Add(10 * time.Second)
	old, next := NewSlots(SlotsConfig{}), NewSlots(SlotsConfig{})
	old.SetBackends(epoch, slotInput(nil))
	first, _ := old.Acquire(now, backendAddr(1), now.Add(5*time.Second))
	next.SetBackends(now, slotInput(func(in *SlotInput) { in.Previous = "old" }))
	q := next.Queries(now)[0]
	if reply := old.Answer(now, "next", q); len(reply.Rows) != 0 {
		t.Errorf("a host that still admits answered %v", reply.Rows)
	}
	old.SetBackends(now, nil)
	reply := old.Answer(now, "next", q)
	next.Answered(now, SlotQuery{To: "other", sent: now}, reply)
	next.Answered(now, SlotQuery{To: "old", sent: now.Add(-time.Second)}, reply)
	free := func(want int) {
		t.Helper()
		n := 0
		for ; next.Check(now, backendAddr(1), now.Add(time.Second)) == Granted; n++ {
			next.Acquire(now, backendAddr(1), now.Add(time.Second))
		}
		if n != want {
			t.Errorf("%d slots granted, want %d", n, want)
		}
	}
	free(0)
	next.Answered(now, q, reply)
	free(2)
	old.Release(first)
	next.Answered(now, q, old.Answer(now, "next", q))
	free(1)
	if reply := old.Answer(now, "third", q); len(reply.Rows) != 0 {
		t.Errorf("a second host was told %v", reply.Rows)
	}
}

func FuzzSlotReply(f *testing.F) {
	f.Add([]byte(`{"rows":[{"backend":"127.0.10.1:6080","busy":1,"left_ms":500}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var reply SlotReply
		if json.Unmarshal(raw, &reply) != nil {
			return
		}
		s := NewSlots(SlotsConfig{})
		s.SetBackends(epoch, slotInput(func(in *SlotInput) { in.Previous = "old" }))
		s.Answered(epoch, s.Queries(epoch)[0], reply)
		if b := s.backends[backendAddr(1)]; b.inherited < 0 || b.inherited > 3 {
			t.Errorf("%d slots in use after %s", b.inherited, raw)
		}
	})
}
