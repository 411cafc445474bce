package health

import (
	"net/netip"
	"time"
)

// evidence accumulates what traffic showed about a backend server.
type evidence struct {
	unanswered int       // since the last reply
	resets     int       // since the last reply
	first      time.Time // first packet without a reply since the last reply
	silent     bool      // silent since the last reply
	shedUntil  time.Time // sheds load until then
	goodUntil  time.Time // answers normally until then
	badUntil   time.Time // silence or resets are in effect until then
}

// Evidence records what traffic showed about a backend server up to now.
// Sheds return it to cold, and so does a reply that ends a silence: the
// process may have been replaced without a load report that says so.
func (s *State) Evidence(now time.Time, addr netip.AddrPort, e Evidence) {
	b := s.backends[addr]
	if b == nil {
		countDropped(dropUnknownBackend)
		return
	}
	ev := &b.evidence
	if e.Replies > 0 {
		s.recordReplies(now, b, e.Resets == 0)
	}
	if ev.unanswered == 0 {
		ev.first = now
	}
	ev.unanswered += max(e.Unanswered, 0)
	ev.resets += max(e.Resets, 0)
	if e.Sheds > 0 {
		s.recordShed(now, b)
	}
	if e.Replies == 0 && ev.unanswered >= s.cfg.SilentPackets {
		ev.silent = true
		ev.badUntil = now.Add(s.cfg.EvidenceDuration)
	}
	if ev.resets >= s.cfg.ResetLimit {
		ev.badUntil = now.Add(s.cfg.EvidenceDuration)
		ev.resets = 0
	}
}

// recordReplies ends a silence. Replies of established flows do not excuse
// resets of new ones. A short silence is packet loss and starts no ramp.
func (s *State) recordReplies(now time.Time, b *backend, noResets bool) {
	ev := &b.evidence
	if ev.silent && now.Sub(ev.first) >= s.cfg.ColdSilence {
		s.startCold(now, b, coldSilence)
	}
	wasSilent := ev.silent
	ev.silent = false
	ev.unanswered = 0
	if noResets {
		ev.resets = 0
	}
	if noResets || wasSilent {
		ev.badUntil = time.Time{}
	}
	if noResets {
		ev.goodUntil = now.Add(s.cfg.ReportStaleAfter)
	}
}

// recordShed starts the ramp once per period of shedding: a ramp that started
// again at every rejected request would never end.
func (s *State) recordShed(now time.Time, b *backend) {
	ev := &b.evidence
	if !now.Before(ev.shedUntil) {
		s.startCold(now, b, coldShedding)
	}
	ev.shedUntil = now.Add(s.cfg.EvidenceDuration)
}
