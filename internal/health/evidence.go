package health

import (
	"net/netip"
	"time"
)

// evidence accumulates the passive evidence about a backend server from traffic.
type evidence struct {
	unanswered      int       // packets without a reply since the last reply
	resets          int       // TCP resets since the last replies without resets
	firstUnanswered time.Time // first packet without a reply since the last reply
	silent          bool      // unanswered has reached SilentPackets since the last reply
	shedUntil       time.Time // counts as shedding load until then
	healthyUntil    time.Time // counts as answering normally until then
	unhealthyUntil  time.Time // counts as unusable because of silence or resets until then
}

// Evidence records what traffic showed about a backend server since the last
// call. Sheds restart its cold ramp. So does a reply that ends a silence, because
// the process may have been replaced without a load report that shows it.
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
		ev.firstUnanswered = now
	}
	ev.unanswered += max(e.Unanswered, 0)
	ev.resets += max(e.Resets, 0)
	if e.Sheds > 0 {
		s.recordShed(now, b)
	}
	if e.Replies == 0 && ev.unanswered >= s.cfg.SilentPackets {
		ev.silent = true
		ev.unhealthyUntil = now.Add(s.cfg.EvidenceDuration)
	}
	if ev.resets >= s.cfg.ResetLimit {
		ev.unhealthyUntil = now.Add(s.cfg.EvidenceDuration)
		ev.resets = 0
	}
}

// recordReplies ends a silence. The cold ramp is restarted only after a silence of
// at least ColdSilence; a shorter one is attributed to packet loss. If there were
// resets, the replies may come from established flows, so that the resets of new
// ones still count.
func (s *State) recordReplies(now time.Time, b *backend, noResets bool) {
	ev := &b.evidence
	if ev.silent && now.Sub(ev.firstUnanswered) >= s.cfg.ColdSilence {
		s.startCold(now, b, coldSilence)
	}
	wasSilent := ev.silent
	ev.silent = false
	ev.unanswered = 0
	if noResets {
		ev.resets = 0
	}
	if noResets || wasSilent {
		ev.unhealthyUntil = time.Time{}
	}
	if noResets {
		ev.healthyUntil = now.Add(s.cfg.ReportStaleAfter)
	}
}

// recordShed restarts the cold ramp once per period of shedding. A ramp that was
// restarted by each rejected request would never end.
func (s *State) recordShed(now time.Time, b *backend) {
	ev := &b.evidence
	if !now.Before(ev.shedUntil) {
		s.startCold(now, b, coldShedding)
	}
	ev.shedUntil = now.Add(s.cfg.EvidenceDuration)
}
