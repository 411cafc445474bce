package health

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdicts returns the verdicts of all backend servers. Their reasons, in order of
// precedence: load reports of another service, data centre out of service,
// draining, kept so that half remain usable, passive evidence, load report.
func (s *State) Verdicts(now time.Time) map[netip.AddrPort]Verdict {
	out := make(map[netip.AddrPort]Verdict, len(s.backends))
	for _, svc := range s.services {
		s.evaluateService(now, svc, out)
	}
	return out
}

// evaluateService adds the verdicts of a service to out. It keeps unhealthy backend
// servers usable until half of the candidates are.
func (s *State) evaluateService(now time.Time, svc *service, out map[netip.AddrPort]Verdict) {
	var unhealthy []*backend
	candidates := 0
	for _, b := range svc.order {
		v := s.evaluate(now, b)
		if v.Reason == ReasonNone || v.Reason == ReasonEvidence || v.Reason == ReasonLoadReport {
			candidates++
		}
		if v.Reason == ReasonEvidence || v.Reason == ReasonLoadReport {
			unhealthy = append(unhealthy, b)
		}
		out[b.addr] = v
	}
	keep := (candidates+1)/2 - (candidates - len(unhealthy))
	for ; keep > 0; keep-- {
		unhealthy = keepLeastSuspect(unhealthy, out)
	}
}

// keepLeastSuspect marks the least suspect of the unhealthy backend servers as
// usable and returns the others. A load report is a weaker reason than passive
// evidence. Ties go to the higher hash, so that all hosts keep the same ones.
func keepLeastSuspect(unhealthy []*backend, out map[netip.AddrPort]Verdict) []*backend {
	best := 0
	for i := range unhealthy {
		if lessSuspect(unhealthy[i], unhealthy[best], out) {
			best = i
		}
	}
	v := out[unhealthy[best].addr]
	v.Usable, v.Reason = true, ReasonKept
	out[unhealthy[best].addr] = v
	return append(unhealthy[:best], unhealthy[best+1:]...)
}

// lessSuspect reports whether a is to be kept rather than b.
func lessSuspect(a, b *backend, out map[netip.AddrPort]Verdict) bool {
	ra, rb := out[a.addr].Reason, out[b.addr].Reason
	if ra != rb {
		return ra > rb
	}
	return xxhash.Sum64String(a.addr.String()) > xxhash.Sum64String(b.addr.String())
}

// evaluate returns the verdict of one backend server, regardless of how many of its
// service are usable.
func (s *State) evaluate(now time.Time, b *backend) Verdict {
	flags, known := b.observedFlags(now, s.cfg.ReportStaleAfter)
	shed := now.Before(b.evidence.shedUntil)
	v := Verdict{
		Draining:  b.draining || s.leaving[b.addr] || flags&flagDraining != 0,
		Foreign:   flags&flagForeign != 0,
		Shedding:  shed || flags&flagShedding != 0,
		Instance:  b.instance,
		StartedBy: b.startedBy(),
		ColdKnown: known,
		ColdSince: later(b.load.coldSince, b.remoteColdSince),
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
	case now.Before(b.evidence.unhealthyUntil):
		v.Reason = ReasonEvidence
	case flags&flagShedding != 0 && !b.recentlyAnswered(now):
		v.Reason = ReasonLoadReport
	default:
		v.Usable = true
	}
	return v
}

// uptimeRounding is the most by which backend servers round up their uptime.
const uptimeRounding = time.Second

// startedBy returns the latest possible start time of the newest instance's
// process, zero when unknown.
func (b *backend) startedBy() time.Time {
	if b.latestStart.IsZero() {
		return b.latestStart
	}
	return b.latestStart.Add(uptimeRounding)
}

// recentlyAnswered reports whether this host's own traffic shows that a backend
// server answers normally. This outranks a load report of shedding.
func (b *backend) recentlyAnswered(now time.Time) bool {
	ev := &b.evidence
	return now.Before(ev.healthyUntil) && !now.Before(ev.shedUntil)
}

// observedFlags combines the flags of this host's own load reports with those that
// other hosts reported. Stale reports have no effect, except that draining and
// the name of another service in a load report of this host stay in effect until
// a newer one clears them. known is true if the cold start is based on a load
// report or evidence.
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
	return flags, known || !b.remoteColdSince.IsZero()
}
