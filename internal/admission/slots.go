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
	// SettleTime is how long load reports of a backend server are ignored after
	// its takeover. During this time the previous admitting host may not have
	// learned of the takeover and may still admit commands.
	SettleTime time.Duration
}

// SlotInput is one backend server whose commands this host admits.
type SlotInput struct {
	Doc          document.BackendServer
	Deadline     time.Duration // longest deadline of the service's commands
	Verdict      health.Verdict
	OutOfService bool // its data centre is out of service, or the host list marks it as leaving
	// Previous is the previous admitting host, empty when unknown. It is read
	// only when this host takes over.
	Previous string
}

// Refusal is the reason why no slot was granted.
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
// for. After the takeover of a backend server, all its slots count as busy until
// a load report or the previous admitting host shows that they are free, or until
// the longest deadline has passed.
type Slots struct {
	cfg         SlotsConfig
	backends    map[netip.AddrPort]*slots
	lastTokenID uint64
}

type slots struct {
	input       SlotInput
	inherited   int // slots that commands of the previous admitting host may still use
	takenOverAt time.Time
	until       time.Time            // when those commands have ended
	held        map[uint64]time.Time // deadlines of the granted slots, by token ID
	owned       bool                 // this host admits commands to it
	previous    string               // previous admitting host
	lastQuery   time.Time            // time of the newest query to the previous host
	releasedAt  time.Time            // when this host stopped admitting; unused while owned
	successor   string               // host that has received the slots in use since then
}

// NewSlots returns Slots without backend servers.
func NewSlots(cfg SlotsConfig) *Slots {
	cfg.SettleTime = cmp.Or(cfg.SettleTime, DefaultSettleTime)
	return &Slots{cfg: cfg, backends: make(map[netip.AddrPort]*slots)}
}

// AdmittingHost returns the host that admits commands to a backend server, which
// is the first of its ranked observers. It reports false when there is none.
func AdmittingHost(addr netip.AddrPort, dc string, ranking *health.Ranking) (string, bool) {
	ranked := ranking.Observers(addr, dc)
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[0], true
}

// SetBackends replaces the backend servers that this host admits commands to.
// The slots in use of a backend server that is no longer listed are kept until
// they are released, and at least for releasedRetention, so that the next
// admitting host can query them.
func (s *Slots) SetBackends(now time.Time, in map[netip.AddrPort]SlotInput) {
	for addr, b := range s.backends {
		if _, ok := in[addr]; ok {
			continue
		}
		if b.owned {
			b.owned, b.releasedAt, b.successor = false, now, ""
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

// takeOver counts all slots as in use by commands of the previous host.
func (b *slots) takeOver(now time.Time, in *SlotInput, settle time.Duration) {
	b.inherited = in.Doc.Slots
	b.takenOverAt, b.previous = now, in.Previous
	b.until = now.Add(in.Deadline + settle)
}

// RecordBusy records the number of slots in use according to a load report of the
// backend server. pollStarted is the start of the poll. Reports polled before the
// takeover or within SettleTime after it are ignored, because the previous host
// may have admitted commands since.
func (s *Slots) RecordBusy(now, pollStarted time.Time, addr netip.AddrPort, busy int) {
	b := s.backends[addr]
	if b == nil || !b.owned || pollStarted.Before(b.takenOverAt.Add(s.cfg.SettleTime)) {
		return
	}
	b.inherited = min(b.inherited, max(busy, 0))
}

// Check returns the refusal that Acquire would return. It grants no slot and
// counts no refusal.
func (s *Slots) Check(now time.Time, addr netip.AddrPort, deadline time.Time) Refusal {
	b := s.backends[addr]
	if b == nil || !b.owned {
		return RefusedUnknown
	}
	return b.check(now, deadline)
}

// Uncertain reports whether slots of a backend server count as busy only because
// commands of the previous admitting host may still use them.
func (s *Slots) Uncertain(now time.Time, addr netip.AddrPort) bool {
	b := s.backends[addr]
	return b != nil && b.owned && b.inheritedNow(now) > 0
}

// Acquire grants a slot for a command that ends by deadline. The slot is held
// until Release, even past the deadline, because the backend server may still
// process the command.
func (s *Slots) Acquire(now time.Time, addr netip.AddrPort, deadline time.Time) (Token, Refusal) {
	if refusal := s.Check(now, addr, deadline); refusal != Granted {
		countSlotRefusal(refusal)
		return Token{}, refusal
	}
	s.lastTokenID++
	s.backends[addr].held[s.lastTokenID] = deadline
	return Token{Backend: addr, id: s.lastTokenID}, Granted
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

// inheritedNow returns the number of slots that commands of the previous
// admitting host may still use.
func (b *slots) inheritedNow(now time.Time) int {
	if now.Before(b.until) {
		return b.inherited
	}
	return 0
}

// limit returns the number of slots that may be in use, by the document and the
// cold ramp.
func (b *slots) limit(now time.Time) int {
	d := &b.input.Doc
	start := b.input.Verdict.ColdSince
	if start.IsZero() && !b.input.Verdict.ColdKnown {
		start = b.takenOverAt
	}
	n, _ := rampLevel(d.Cold.Slots, d.Slots, d.Cold.Ramp.Std(), now.Sub(start))
	return n
}

// Release frees the slot of a token. It reports whether the token held one.
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

// Busy returns the number of slots in use by commands that this host admitted.
func (s *Slots) Busy(addr netip.AddrPort) int {
	if b := s.backends[addr]; b != nil {
		return len(b.held)
	}
	return 0
}

// Overdue returns the tokens whose deadlines are before limit, so that the caller
// can release those that it lost.
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
