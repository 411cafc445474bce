package health

import (
	"slices"
	"time"
)

// Unchanged reports are refreshed so that hosts that lost them receive them again,
// and so that the reports of a host that has stopped reporting can expire.
const (
	// minRefreshAge is the age from which a report is refreshed.
	minRefreshAge = 30 * time.Second
	// refreshInterval is the interval between two refreshes of any reports. It is
	// shorter if needed to refresh all of them within maxRefreshRound.
	// An observer of 14 backend servers has about 112 reports to refresh, four
	// a second without this limit.
	refreshInterval = time.Second
	// maxRefreshRound limits the time in which all reports are refreshed.
	maxRefreshRound = 2 * time.Minute
	// remoteStale is the age above which the report of a host that is no longer
	// a ranked observer has no effect.
	remoteStale = 65 * time.Second
	// observerStale is the same for ranked observers. It allows for the loss of
	// one refresh.
	observerStale = 2*(minRefreshAge+maxRefreshRound) + 5*time.Second
)

// refresh is a report that may be sent again to one host.
type refresh struct {
	*outgoing
	to string
	at time.Time // when it was last sent
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

// refreshable returns the acknowledged reports that are unchanged and were last
// sent at least minRefreshAge ago.
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
			if sent != nil && sent.delivered && sent.digest == o.digest && now.Sub(sent.at) >= minRefreshAge {
				list = append(list, refresh{o, id, sent.at})
			}
		}
	}
	return list
}

// refreshesDue returns how many of total reports may be refreshed now. After a gap
// of more than 2*refreshInterval it returns 1.
func (s *State) refreshesDue(now time.Time, total int) int {
	if total == 0 {
		return 0
	}
	interval := min(refreshInterval, maxRefreshRound/time.Duration(total))
	if s.refreshedUntil.IsZero() || now.Sub(s.refreshedUntil) > 2*refreshInterval {
		s.refreshedUntil = now.Add(-interval)
	}
	n := now.Sub(s.refreshedUntil) / interval
	s.refreshedUntil = s.refreshedUntil.Add(n * interval)
	return int(n)
}

// SetBootID sets the boot ID of another entry host's process. When it changes, all
// reports are sent to the host again, because a restarted process has lost them.
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
