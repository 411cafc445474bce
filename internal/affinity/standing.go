package affinity

import "time"

// standing says whether something keeps new flows away from a backend server, and what.
type standing uint8

const (
	eligible standing = iota
	entryGone
	entryDraining
	dataCentreOut // by an operator's item
	entryLapsed   // while the store was away; may come back
	coldStart
	doubted // suspect or silent
	dataCentreUnreachable
	doubtedAndUnreachable
)

var standingNames = [...]string{
	"eligible", "gone", "draining", "data_centre_out", "lapsed", "cold", "doubted", "data_centre_unreachable",
	"doubted_and_unreachable",
}

// String returns the name of the standing in reports.
func (s standing) String() string { return standingNames[s] }

// standingOf returns the first reason that applies, the most binding one first.
func (r *Router) standingOf(s *server, now time.Duration) standing {
	switch {
	case !s.present:
		return entryGone
	case s.Draining:
		return entryDraining
	case r.view.OutDataCentres[s.DataCentre]:
		return dataCentreOut
	case s.Lapsed:
		return entryLapsed
	case s.ColdUntil > now || r.view.RestoredColdUntil[s.DataCentre] > now:
		return coldStart
	case s.doubtful(now) && r.fleet.Unreachable[s.DataCentre]:
		return doubtedAndUnreachable
	case s.doubtful(now):
		return doubted
	case r.fleet.Unreachable[s.DataCentre]:
		return dataCentreUnreachable
	}
	return eligible
}
