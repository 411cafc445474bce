package health

import (
	"slices"
	"time"
)

// Unchanged reports are refreshed for hosts that lost what they were told, and
// so that the reports of a host that has stopped reporting become stale.
const (
	// refreshAfter is the least age of a report that is refreshed.
	refreshAfter = 30 * time.Second
	// refreshPace is the least interval between two refreshes of any reports.
	// An observer of 14 backend servers has about 112 reports to refresh, four
	// a second without this limit.
	refreshPace = time.Second
	// refreshWithin bounds the time in which all reports are refreshed.
	refreshWithin = 2 * time.Minute
	// remoteStale is the age from which the report of a host that is no ranked
	// observer any more has no effect.
	remoteStale = 65 * time.Second
	// observerStale is the same for ranked observers. One refresh may be lost.
	observerStale = 2*(refreshAfter+refreshWithin) + 5*time.Second
)

type refresh struct {
	*outgoing
	to string
	at time.Time // when it was sent last
}

// appendRefreshes appends the oldest reports that are due for a refresh.
func (s *State) appendRefreshes(now time.Time, out []Message, reports []*outgoing) []Message {
	total := 0
	for _, o := range reports {
		if o.digest != 0 {
			total += len(o.svc.group)
		}
	}
	n := s.refreshesDue(now, total)
	if n == 0 {
		return out
	}
	list := s.refreshable(now, reports)
	slices.SortStableFunc(list, func(a, b refresh) int { return a.at.Compare(b.at) })
	for _, r := range list[:min(n, len(list))] {
		if !s.send(now, r.outgoing, r.to, &out) {
			break
		}
	}
	return out
}

// refreshable returns the delivered reports that have not changed for a while.
func (s *State) refreshable(now time.Time, reports []*outgoing) []refresh {
	var list []refresh
	for _, o := range reports {
		if o.digest == 0 {
			continue
		}
		for _, id := range o.svc.group {
			if id == s.self {
				continue
			}
			sent := s.peers[id].sent[o.svc.name]
			if sent != nil && sent.delivered && sent.digest == o.digest && now.Sub(sent.at) >= refreshAfter {
				list = append(list, refresh{o, id, sent.at})
			}
		}
	}
	return list
}

// refreshesDue returns how many of total reports may be refreshed now.
func (s *State) refreshesDue(now time.Time, total int) int {
	if total == 0 {
		return 0
	}
	pace := min(refreshPace, refreshWithin/time.Duration(total))
	if s.refreshed.IsZero() || now.Sub(s.refreshed) > 2*refreshPace {
		s.refreshed = now.Add(-pace)
	}
	n := now.Sub(s.refreshed) / pace
	s.refreshed = s.refreshed.Add(n * pace)
	return int(n)
}

// SetBootID tells the boot id of another entry host's process. A later process
// knows nothing of what was reported before, so that all is sent again.
func (s *State) SetBootID(id string, boot uint64) {
	p := s.peers[id]
	if p == nil || p.boot == boot {
		return
	}
	if p.boot != 0 {
		clear(p.sent)
	}
	p.boot = boot
}
