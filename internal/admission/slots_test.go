package admission

import (
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
)

func slotInput(change func(*SlotInput)) map[netip.AddrPort]SlotInput {
	in := SlotInput{
		Doc: document.BackendServer{
			Slots: 3, Cold: document.Cold{Slots: 1, Ramp: document.Duration(60 * time.Second)},
		},
		Deadline: 5 * time.Second,
		Verdict:  health.Verdict{Usable: true, ColdKnown: true},
	}
	if change != nil {
		change(&in)
	}
	return map[netip.AddrPort]SlotInput{backendAddr(1): in}
}

// Guards against more commands in progress than a backend server has slots, in
// particular shortly after the takeover from another host.
func TestSlots(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	usable := func(v *health.Verdict) func(*SlotInput) { return func(in *SlotInput) { in.Verdict = *v } }
	tests := []struct {
		name    string
		input   func(*SlotInput)
		observe func(s *Slots)
		when    int
		granted int
		refusal Refusal
	}{
		{"just taken over", nil, nil, 1, 0, RefusedTakeover},
		{"deadline and settling have passed", nil, nil, 7, 3, RefusedBusy},
		{"one second before", nil, nil, 6, 0, RefusedTakeover},
		{"report proves that one is in use", nil, func(s *Slots) { s.RecordBusy(at(3), at(2), backendAddr(1), 1) }, 3, 2, RefusedTakeover},
		{"report proves that all are free", nil, func(s *Slots) { s.RecordBusy(at(3), at(2), backendAddr(1), 0) }, 3, 3, RefusedBusy},
		{"report from before the takeover", nil, func(s *Slots) { s.RecordBusy(at(3), at(-1), backendAddr(1), 0) }, 3, 0, RefusedTakeover},
		{"report from before the other host learned of it", nil, func(s *Slots) { s.RecordBusy(at(3), at(1), backendAddr(1), 0) }, 3, 0, RefusedTakeover},
		{"cold", usable(&health.Verdict{Usable: true, ColdKnown: true, ColdSince: at(20)}), nil, 20, 1, RefusedBusy},
		{"halfway up the ramp", usable(&health.Verdict{Usable: true, ColdKnown: true, ColdSince: at(0)}), nil, 30, 2, RefusedBusy},
		{"unknown counts as cold", usable(&health.Verdict{Usable: true}), nil, 8, 1, RefusedBusy},
		{"draining by verdict", usable(&health.Verdict{Draining: true}), nil, 9, 0, RefusedDraining},
		{"draining by document", func(in *SlotInput) { in.Doc.Draining = true }, nil, 9, 0, RefusedDraining},
		{"other service", usable(&health.Verdict{Foreign: true}), nil, 9, 0, RefusedUnusable},
		{"data centre out", func(in *SlotInput) { in.OutOfService = true }, nil, 9, 0, RefusedUnusable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSlots(SlotsConfig{})
			s.SetBackends(at(0), slotInput(tt.input))
			if tt.observe != nil {
				tt.observe(s)
			}
			if got := s.Uncertain(at(tt.when), backendAddr(1)); got != (tt.refusal == RefusedTakeover) {
				t.Errorf("slots uncertain: %v", got)
			}
			granted, refusal := 0, Granted
			for range 10 {
				var r Refusal
				if _, r = s.Acquire(at(tt.when), backendAddr(1), at(tt.when+5)); r == Granted {
					granted++
				} else {
					refusal = r
				}
			}
			if granted != tt.granted || refusal != tt.refusal {
				t.Errorf("%d granted, then %v; want %d, then %v", granted, refusal, tt.granted, tt.refusal)
			}
		})
	}
}

// Guards against slots in use that are lost when another host admits in between,
// and against a slot that is released twice.
func TestSlotsRoleMoves(t *testing.T) {
	s := NewSlots(SlotsConfig{})
	s.SetBackends(epoch, slotInput(nil))
	now := epoch.Add(10 * time.Second)
	tok, _ := s.Acquire(now, backendAddr(1), now.Add(5*time.Second))
	s.SetBackends(now, nil)
	if _, r := s.Acquire(now, backendAddr(1), now.Add(time.Second)); r != RefusedUnknown {
		t.Errorf("refusal %v after the role moved away", r)
	}
	s.SetBackends(now, slotInput(nil))
	later := now.Add(8 * time.Second)
	granted := 0
	for range 5 {
		if _, r := s.Acquire(later, backendAddr(1), later.Add(time.Second)); r == Granted {
			granted++
		}
	}
	if granted != 2 {
		t.Errorf("%d slots granted beside the one in use, want 2", granted)
	}
	if len(s.Overdue(now.Add(6*time.Second))) != 1 {
		t.Error("the command past its deadline is not reported")
	}
	if !s.Release(tok) || s.Release(tok) {
		t.Error("a slot must be returned exactly once")
	}
	if n := s.Busy(backendAddr(1)); n != 2 {
		t.Errorf("%d slots in use, want 2", n)
	}
}
