package health

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdicts judges every known backend server, in the order of precedence:
// another service's identity, data centre out, draining, the half that is
// always kept, passive evidence, load reports.
func (s *State) Verdicts(now time.Time) map[netip.AddrPort]Verdict {
	out := make(map[netip.AddrPort]Verdict, len(s.backends))
	for _, svc := range s.services {
		s.judgeService(now, svc, out)
	}
	return out
}

func (s *State) judgeService(now time.Time, svc *service, out map[netip.AddrPort]Verdict) {
	var bad []*backend
	candidates := 0
	for _, b := range svc.order {
		v := s.judge(now, b)
		if v.Reason == ReasonNone || v.Reason == ReasonEvidence || v.Reason == ReasonLoadReport {
			candidates++
		}
		if v.Reason == ReasonEvidence || v.Reason == ReasonLoadReport {
			bad = append(bad, b)
		}
		out[b.addr] = v
	}
	keep := (candidates+1)/2 - (candidates - len(bad))
	for ; keep > 0; keep-- {
		bad = keepBest(bad, out)
	}
}

// keepBest puts the least suspect of the bad backend servers back into
// service. Load reports are the weaker reason; ties go to the higher hash, so
// that all hosts keep the same ones.
func keepBest(bad []*backend, out map[netip.AddrPort]Verdict) []*backend {
	best := 0
	for i := range bad {
		if keptBefore(bad[i], bad[best], out) {
			best = i
		}
	}
	v := out[bad[best].addr]
	v.Usable, v.Reason = true, ReasonKept
	out[bad[best].addr] = v
	return append(bad[:best], bad[best+1:]...)
}

func keptBefore(a, b *backend, out map[netip.AddrPort]Verdict) bool {
	ra, rb := out[a.addr].Reason, out[b.addr].Reason
	if ra != rb {
		return ra > rb
	}
	return xxhash.Sum64String(a.addr.String()) > xxhash.Sum64String(b.addr.String())
}

// judge applies everything but the half that is always kept.
func (s *State) judge(now time.Time, b *backend) Verdict {
	flags, known := b.observedFlags(now, s.cfg.ReportStaleAfter)
	shed := now.Before(b.evidence.shedUntil)
	v := Verdict{
		Draining:  b.draining || s.leaving[b.addr] || flags&flagDraining != 0,
		Foreign:   flags&flagForeign != 0,
		Shedding:  shed || flags&flagShedding != 0,
		Instance:  b.instance,
		StartedBy: b.startedBy(),
		ColdKnown: known,
		ColdSince: later(b.load.cold, b.heardCold),
		SlotsBusy: b.load.report.SlotsBusy,
		Observed:  b.load.at,
	}
	switch {
	case v.Foreign:
		v.Reason = ReasonForeign
	case s.out[b.dc]:
		v.Reason = ReasonDataCentreOut
	case v.Draining:
		v.Reason = ReasonDraining
	case now.Before(b.evidence.badUntil):
		v.Reason = ReasonEvidence
	case flags&flagShedding != 0 && !b.answersNow(now):
		v.Reason = ReasonLoadReport
	default:
		v.Usable = true
	}
	return v
}

// uptimeRounding is by how much backend servers may round their uptime up.
const uptimeRounding = time.Second

// startedBy returns when the process of the newest instance had surely started.
func (b *backend) startedBy() time.Time {
	if b.begun.IsZero() {
		return b.begun
	}
	return b.begun.Add(uptimeRounding)
}

// answersNow reports whether this host's own traffic shows a backend server
// that answers. Such evidence outranks a load report that says otherwise.
func (b *backend) answersNow(now time.Time) bool {
	ev := &b.evidence
	return now.Before(ev.goodUntil) && !now.Before(ev.shedUntil)
}

// observedFlags combines this host's own load reports and those of others. A
// report that is too old has no effect, except that a backend server that said
// that it drains does so until a newer report denies it.
func (b *backend) observedFlags(now time.Time, stale time.Duration) (flags uint64, known bool) {
	flags = b.flags(now, stale)
	known = b.load.known
	for from, r := range b.remote {
		known = known || r.flags&flagKnown != 0
		limit := remoteStale
		if slices.Contains(b.observers, from) {
			limit = observerStale
		}
		if now.Sub(r.at) > limit {
			continue
		}
		flags |= r.flags
	}
	return flags, known || !b.heardCold.IsZero()
}
