package admission

import (
	"encoding/json"
	"math/rand"
	"testing"
	"time"
)

// slotHost is a host that learns of each change of the admitting host with a
// delay.
type slotHost struct {
	id       string
	slots    *Slots
	learnsAt []time.Time // when it learns of each move
	applied  int         // number of moves that it has learned of
	held     map[Token]time.Time
	pending  func()
}

// step applies due moves, ends and starts commands, and queries the previous
// host. One reply in four is lost.
func (h *slotHost) step(now time.Time, moves []string, hosts map[string]*slotHost, r *rand.Rand, longest time.Duration) (granted int) {
	for ; h.applied < len(moves) && !now.Before(h.learnsAt[h.applied]); h.applied++ {
		in := slotInput(func(in *SlotInput) { in.Previous = append([]string{""}, moves...)[h.applied] })
		if moves[h.applied] != h.id {
			in = nil
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
	if h.pending != nil {
		h.pending()
		h.pending = nil
	}
	for _, q := range h.slots.Queries(now) {
		reply := hosts[q.To].slots.Answer(now, h.id, q)
		if r.Intn(4) > 0 {
			h.pending = func() { h.slots.HandleReply(now.Add(20*time.Millisecond), q, reply) }
		}
	}
	return granted
}

// Guards against more commands than slots when the admitting host changes and
// hosts learn of it at different times, and against slots that are not granted
// although the previous host has reported them free.
func TestSlotsMove(t *testing.T) {
	for seed := range int64(200) {
		// Long commands span moves of the role; short ones check that free
		// slots are granted again.
		longest, least := 5*time.Second, 10
		if seed%2 == 0 {
			longest, least = 400*time.Millisecond, 50
		}
		r, ids, hosts := rand.New(rand.NewSource(seed)), []string{"a", "b", "c"}, map[string]*slotHost{}
		var moves []string
		for i := range 8 {
			moves = append(moves, ids[(i+int(seed))%len(ids)])
		}
		for _, id := range ids {
			h := &slotHost{id: id, slots: NewSlots(SlotsConfig{}), held: map[Token]time.Time{}}
			for i := range moves {
				h.learnsAt = append(h.learnsAt, epoch.Add(time.Duration(3000*i+r.Intn(1900))*time.Millisecond))
			}
			hosts[id] = h
		}
		granted := 0
		for now := epoch; now.Before(epoch.Add(30 * time.Second)); now = now.Add(20 * time.Millisecond) {
			busy := 0
			for _, id := range ids {
				granted += hosts[id].step(now, moves, hosts, r, longest)
				busy += len(hosts[id].held)
			}
			if busy > 3 {
				t.Fatalf("seed %d: %d commands after %s, 3 slots", seed, busy, now.Sub(epoch))
			}
		}
		if granted < least {
			t.Errorf("seed %d: only %d commands in 30 s", seed, granted)
		}
	}
}

// Guards against slots that are granted twice: a reply counts only if it comes
// from the previous admitting host, and only the first host that queries it
// receives one.
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
	next.HandleReply(now, SlotQuery{To: "other", sentAt: now}, reply)
	next.HandleReply(now, SlotQuery{To: "old", sentAt: now.Add(-time.Second)}, reply)
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
	next.HandleReply(now, q, reply)
	free(2)
	old.Release(first)
	next.HandleReply(now, q, old.Answer(now, "next", q))
	free(1)
	if reply := old.Answer(now, "third", q); len(reply.Rows) != 0 {
		t.Errorf("a second host received %v", reply.Rows)
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
		s.HandleReply(epoch, s.Queries(epoch)[0], reply)
		if b := s.backends[backendAddr(1)]; b.inherited < 0 || b.inherited > 3 {
			t.Errorf("%d slots in use after %s", b.inherited, raw)
		}
	})
}
