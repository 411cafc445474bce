package affinity

import "time"

// eligibility states whether a backend server may get new flows and, if not or only as a last resort, why.
type eligibility uint8

const (
	eligible eligibility = iota
	entryRemoved
	entryDraining
	entryUnreadable
	dataCentreOut // taken out by an operator
	entryLapsed   // its entry disappeared while the store was unavailable and may return
	coldStart
	suspected // suspect or silent
	dataCentreUnreachable
	suspectedAndUnreachable
)

var eligibilityNames = [...]string{
	"eligible", "gone", "draining", "unreadable", "data_centre_out", "lapsed", "cold", "doubted", "data_centre_unreachable",
	"doubted_and_unreachable",
}

// String returns the name that reports use for the eligibility.
func (e eligibility) String() string { return eligibilityNames[e] }

// eligibility returns the most restrictive reason that applies to the server itself, or eligible.
func (s *server) eligibility(now time.Duration) eligibility {
	switch {
	case !s.present:
		return entryRemoved
	case s.Draining:
		return entryDraining
	case s.Unreadable:
		return entryUnreadable
	case s.cold(now):
		return coldStart
	case s.Lapsed:
		return entryLapsed
	case s.suspectOrSilent(now):
		return suspected
	}
	return eligible
}

// eligibilityOf returns the most restrictive reason that applies to a server or to its data centre, or eligible.
func (r *Router) eligibilityOf(s *server, now time.Duration) eligibility {
	own := s.eligibility(now)
	switch {
	case own == entryRemoved || own == entryDraining || own == entryUnreadable:
		return own
	case r.view.OutDataCentres[s.DataCentre]:
		return dataCentreOut
	case own == coldStart || r.view.RestoredColdUntil[s.DataCentre] > now:
		return coldStart
	case own == entryLapsed:
		return own
	case own == suspected && r.fleet.Unreachable[s.DataCentre]:
		return suspectedAndUnreachable
	case own == suspected:
		return suspected
	case r.fleet.Unreachable[s.DataCentre]:
		return dataCentreUnreachable
	}
	return eligible
}
