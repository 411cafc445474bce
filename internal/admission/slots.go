package admission

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
)

// DefaultSettleTime is the default of SlotsConfig.SettleTime.
const DefaultSettleTime = 2 * time.Second

// SlotsConfig holds the tunables of Slots. Zero values select the defaults.
type SlotsConfig struct {
	// SettleTime is how long after the takeover of a backend server its load
	// reports are not trusted: the host that admitted before may not know yet.
	SettleTime time.Duration
}

// SlotInput is one backend server whose commands this host admits.
type SlotInput struct {
	Doc          document.BackendServer
	Deadline     time.Duration // longest deadline of the service's commands
	Verdict      health.Verdict
	OutOfService bool // data centre out of service, or leaving by the host list
	// Previous is the admitting host before this one, empty when unknown. It
	// is read when this host takes over.
	Previous string
}

// Refusal says why no slot was granted.
type Refusal uint8

// Refusals of Acquire.
const (
	Granted Refusal = iota
	RefusedUnknown
	RefusedBusy
	RefusedTakeover // slots of the previous admitting host may be in use
	RefusedDraining
	RefusedUnusable
	RefusedDeadline
	refusalCount
)

var refusalNames = [refusalCount]string{
	"granted", "unknown", "busy", "takeover", "draining", "unusable", "deadline",
}

// String returns the name used in logs and counters.
func (r Refusal) String() string {
	if r >= refusalCount {
		return "unknown"
	}
	return refusalNames[r]
}

// Token is one granted slot.
type Token struct {
	Backend netip.AddrPort
	id      uint64
}

// Slots admits commands to the backend servers that this host is responsible
// for. A host that takes a backend server over counts its slots as busy until
// the longest deadline has passed or a load report or the previous admitting
// host shows that they are free.
type Slots struct {
	cfg      SlotsConfig
	backends map[netip.AddrPort]*slots
	next     uint64
}

type slots struct {
	input     SlotInput
	inherited int // slots that commands of the previous admitting host may use
	takenOver time.Time
	until     time.Time            // when the last of those commands has ended
	held      map[uint64]time.Time // deadlines of granted slots
	owned     bool                 // this host still admits
	previous  string               // admitting host before
	asked     time.Time            // newest query to it
	gaveUp    time.Time            // when not owned
	next      string               // host that learned what is in use since
}

// NewSlots returns Slots without backend servers.
func NewSlots(cfg SlotsConfig) *Slots {
	cfg.SettleTime = cmp.Or(cfg.SettleTime, DefaultSettleTime)
	return &Slots{cfg: cfg, backends: make(map[netip.AddrPort]*slots)}
}

// AdmittingHost returns the host that admits the commands of a backend
// server: the first of its ranked observers.
func AdmittingHost(addr netip.AddrPort, dc string, ranking *health.Ranking) (string, bool) {
	ranked := ranking.Observers(addr, dc)
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[0], true
}

// SetBackends replaces the backend servers that this host admits commands to.
// Slots in use are remembered when it gives one up, until they are released and
// the next admitting host knows.
func (s *Slots) SetBackends(now time.Time, in map[netip.AddrPort]SlotInput) {
	for addr, b := range s.backends {
		if _, ok := in[addr]; ok {
			continue
		}
		if b.owned {
			b.owned, b.gaveUp, b.next = false, now, ""
		}
	}
	for addr, input := range in {
		b := s.backends[addr]
		if b == nil {
			b = &slots{held: make(map[uint64]time.Time)}
			s.backends[addr] = b
		}
		if input.Deadline <= 0 {
			input.Deadline = document.MaxCommandDeadline
		}
		if !b.owned {
			b.takeOver(now, &input, s.cfg.SettleTime)
		}
		b.input, b.owned = input, true
	}
}

func (b *slots) takeOver(now time.Time, in *SlotInput, settle time.Duration) {
	b.inherited = in.Doc.Slots
	b.takenOver, b.previous = now, in.Previous
	b.until = now.Add(in.Deadline + settle)
}

// RecordBusy records the slots in use by a load report of the backend server.
// pollStarted is when the poll began; a report from before the takeover or
// shortly after it proves nothing.
func (s *Slots) RecordBusy(now, pollStarted time.Time, addr netip.AddrPort, busy int) {
	b := s.backends[addr]
	if b == nil || !b.owned || pollStarted.Before(b.takenOver.Add(s.cfg.SettleTime)) {
		return
	}
	b.inherited = min(b.inherited, max(busy, 0))
}

// Check says what Acquire would, without effect on the counters.
func (s *Slots) Check(now time.Time, addr netip.AddrPort, deadline time.Time) Refusal {
	b := s.backends[addr]
	if b == nil || !b.owned {
		return RefusedUnknown
	}
	return b.check(now, deadline)
}

// Uncertain reports whether slots of a backend server count as busy until a
// load report shows that they are free.
func (s *Slots) Uncertain(now time.Time, addr netip.AddrPort) bool {
	b := s.backends[addr]
	return b != nil && b.owned && b.inheritedNow(now) > 0
}

// Acquire grants a slot for a command that ends by deadline. The slot is held
// until Release, also past the deadline: the backend server may still work.
func (s *Slots) Acquire(now time.Time, addr netip.AddrPort, deadline time.Time) (Token, Refusal) {
	if refusal := s.Check(now, addr, deadline); refusal != Granted {
		countSlotRefusal(refusal)
		return Token{}, refusal
	}
	s.next++
	s.backends[addr].held[s.next] = deadline
	return Token{Backend: addr, id: s.next}, Granted
}

func (b *slots) check(now, deadline time.Time) Refusal {
	v := &b.input.Verdict
	limit := b.limit(now)
	switch {
	case !deadline.After(now):
		return RefusedDeadline
	case b.input.Doc.Draining || v.Draining:
		return RefusedDraining
	case b.input.OutOfService || v.Foreign || v.Reason != health.ReasonNone && !v.Usable:
		return RefusedUnusable
	case len(b.held) >= limit:
		return RefusedBusy
	case len(b.held)+b.inheritedNow(now) >= limit:
		return RefusedTakeover
	}
	return Granted
}

func (b *slots) inheritedNow(now time.Time) int {
	if now.Before(b.until) {
		return b.inherited
	}
	return 0
}

// limit is the number of slots by the document and the cold ramp.
func (b *slots) limit(now time.Time) int {
	d := &b.input.Doc
	start := b.input.Verdict.ColdSince
	if start.IsZero() && !b.input.Verdict.ColdKnown {
		start = b.takenOver
	}
	n, _ := rampLevel(d.Cold.Slots, d.Slots, d.Cold.Ramp.Std(), now.Sub(start))
	return n
}

// Release returns a slot. It reports whether the token was held.
func (s *Slots) Release(t Token) bool {
	b := s.backends[t.Backend]
	if b == nil {
		return false
	}
	_, ok := b.held[t.id]
	delete(b.held, t.id)
	return ok
}

// Owned reports whether this host admits the commands of a backend server.
func (s *Slots) Owned(addr netip.AddrPort) bool {
	b := s.backends[addr]
	return b != nil && b.owned
}

// Busy returns the slots in use by commands admitted here.
func (s *Slots) Busy(addr netip.AddrPort) int {
	if b := s.backends[addr]; b != nil {
		return len(b.held)
	}
	return 0
}

// Overdue returns the tokens whose commands should have ended by limit, so
// that a caller that lost one can release it.
func (s *Slots) Overdue(limit time.Time) []Token {
	var list []Token
	for addr, b := range s.backends {
		for id, deadline := range b.held {
			if deadline.Before(limit) {
				list = append(list, Token{Backend: addr, id: id})
			}
		}
	}
	return list
}
