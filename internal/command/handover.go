package command

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Before a planned stop, the other owner of each bucket confirms that it has
// seen every claim that this host has seen. The remaining owners then include a
// complete one (see State.complete), also when hosts are replaced one after
// another faster than a new owner becomes complete by itself.

const (
	// coverageInterval is the time between two coverage queries for the same
	// buckets.
	coverageInterval = time.Second
	// stopConfirmationTTL is how long this host, after it has confirmed buckets
	// for another host's stop, lets that host stop first. A stopping host
	// repeats its queries, and each confirmation restarts this time.
	stopConfirmationTTL = 3 * coverageInterval
	// coverageTolerance limits the buckets that are reported together: their
	// covered times differ by at most Retention / coverageTolerance.
	coverageTolerance = 16
)

// handover is the state of a planned stop that is being prepared.
type handover struct {
	nextQuery time.Time // when the next coverage queries are due
	// confirmed holds, by service and bucket, the host that has confirmed the
	// bucket.
	confirmed map[string]*[buckets]string
}

// StartHandover begins a planned stop. This host remains an owner. The caller
// calls Leave once UnconfirmedBuckets returns 0 or its time limit has passed.
func (s *State) StartHandover(now time.Time) []Outcome {
	s.advance(now)
	if s.handover == nil {
		s.handover = &handover{confirmed: make(map[string]*[buckets]string)}
		s.queryCoverage(now)
	}
	return s.take()
}

// UnconfirmedBuckets returns the number of buckets whose other owner has not yet
// confirmed that it has seen every claim that this host has seen.
func (s *State) UnconfirmedBuckets(now time.Time) int {
	n := 0
	for service, so := range s.services {
		confirmed := s.handover.confirmed[service]
		for b := range so.owners {
			to := s.confirmingOwner(now, service, uint8(b))
			if to != "" && (confirmed == nil || confirmed[b] != to) {
				n++
			}
		}
	}
	return n
}

// confirmingOwner returns the owner that has to confirm a bucket, empty for
// none. No confirmation is needed for a bucket that this host has not covered
// for any time: the other owner cannot miss claims because of its stop.
func (s *State) confirmingOwner(now time.Time, service string, bucket uint8) string {
	if coverage, ok := s.coverage(now, service, bucket); !ok || coverage <= 0 {
		return ""
	}
	return s.owners(service, bucket).other(s.cfg.Self)
}

// confirmedStop reports whether this host has confirmed buckets for the stop of
// another host within stopConfirmationTTL.
func (s *State) confirmedStop(now time.Time, host string) bool {
	confirmedAt, ok := s.confirmedStops[host]
	return ok && now.Sub(confirmedAt) < stopConfirmationTTL
}

func (s *State) continueHandover(now time.Time) {
	if s.handover != nil && !s.leaving && !now.Before(s.handover.nextQuery) {
		s.queryCoverage(now)
	}
}

// queryCoverage sends coverage queries for all buckets to their other owners. It
// includes confirmed buckets, since an owner may have been interrupted meanwhile.
func (s *State) queryCoverage(now time.Time) {
	if s.handover == nil || s.leaving {
		return
	}
	s.handover.nextQuery = now.Add(coverageInterval)
	for _, service := range slices.Sorted(maps.Keys(s.services)) {
		byHost := make(map[string][]uint8)
		for b := range buckets {
			if to := s.confirmingOwner(now, service, uint8(b)); to != "" && !s.confirmedStop(now, to) {
				byHost[to] = append(byHost[to], uint8(b))
			}
		}
		for _, to := range slices.Sorted(maps.Keys(byHost)) {
			s.queryHost(now, service, to, byHost[to])
		}
	}
}

// queryHost sends one query for each group of buckets that cover about the same
// time.
func (s *State) queryHost(now time.Time, service, to string, list []uint8) {
	s.sortByCoverage(now, service, list)
	for len(list) > 0 {
		n, coverage := s.similarCoverage(now, service, list)
		s.emit(QueryCoverage{To: to, Message: CoverageRequest{
			Service: service, Buckets: slices.Clone(list[:n]), CoveredMS: milliseconds(coverage),
		}})
		list = list[n:]
	}
}

// CoverageResult handles the result of the QueryCoverage call m to host from.
func (s *State) CoverageResult(now time.Time, from string, m CoverageRequest, reply CoverageReply, status CallStatus) []Outcome {
	s.advance(now)
	if s.handover == nil || s.leaving {
		return nil
	}
	if status != CallDone {
		countRetry(ReasonNotSent)
		return nil
	}
	confirmed := s.handover.confirmed[m.Service]
	if confirmed == nil {
		confirmed = new([buckets]string)
		s.handover.confirmed[m.Service] = confirmed
	}
	var missing []uint8
	for _, b := range m.Buckets {
		switch {
		case slices.Contains(reply.Covered, b):
			confirmed[b] = from
		case s.confirmingOwner(now, m.Service, b) == from:
			confirmed[b] = ""
			missing = append(missing, b)
		}
	}
	if reply.Refused != "" {
		countRetry(reply.Refused)
		return nil
	}
	s.transferMissing(from, m.Service, missing)
	return s.take()
}

// transferMissing starts a transfer of the buckets in list that are not being
// transferred to the host already.
func (s *State) transferMissing(to, service string, list []uint8) {
	list = slices.DeleteFunc(list, func(b uint8) bool { return s.transferring(service, to, b) })
	if len(list) > 0 {
		s.transfers = append(s.transfers, &transfer{to: to, service: service, all: list, buckets: list})
	}
}

func (s *State) transferring(service, to string, bucket uint8) bool {
	return slices.ContainsFunc(s.transfers, func(t *transfer) bool {
		return t.service == service && t.to == to && slices.Contains(t.buckets, bucket)
	})
}

// Coverage handles a CoverageRequest of host from. If two owners that stop at
// the same time confirmed each other's buckets, both could leave and no owner
// would be complete. A host that has confirmed the other's buckets therefore
// leaves after it; if neither has, the host with the smaller id leaves first.
func (s *State) Coverage(now time.Time, from string, m CoverageRequest) CoverageReply {
	s.advance(now)
	so := s.services[m.Service]
	switch {
	case so == nil || !s.conditions.Serving:
		return CoverageReply{Refused: ReasonNotServing}
	case s.leaving || s.handover != nil && s.cfg.Self < from && !s.confirmedStop(now, from):
		return CoverageReply{Refused: ReasonLeaving}
	}
	asked := time.Duration(min(m.CoveredMS, s.cfg.Retention.Milliseconds())) * time.Millisecond
	var r CoverageReply
	for _, b := range m.Buckets {
		if so.owners[b].other(s.cfg.Self) == from && s.covers(now, m.Service, b, asked) {
			r.Covered = append(r.Covered, b)
		}
	}
	if len(r.Covered) > 0 {
		s.confirmedStops[from] = now
	}
	return r
}

// covers reports whether this host has seen every claim of a bucket for the time
// asked. Below the retention period it may fall short by
// Retention / coverageTolerance.
func (s *State) covers(now time.Time, service string, bucket uint8, asked time.Duration) bool {
	coverage, ok := s.coverage(now, service, bucket)
	if asked < s.cfg.Retention {
		coverage += s.cfg.Retention / coverageTolerance
	}
	return ok && coverage >= asked
}

// sortByCoverage sorts the buckets by covered time, longest first.
func (s *State) sortByCoverage(now time.Time, service string, list []uint8) {
	slices.SortFunc(list, func(a, b uint8) int {
		return cmp.Or(cmp.Compare(s.boundedCoverage(now, service, b), s.boundedCoverage(now, service, a)), cmp.Compare(a, b))
	})
}

// boundedCoverage returns the covered time of a bucket, at most the retention
// period, and 0 for a bucket that is not covered.
func (s *State) boundedCoverage(now time.Time, service string, bucket uint8) time.Duration {
	coverage, _ := s.coverage(now, service, bucket)
	return min(coverage, s.cfg.Retention)
}

// similarCoverage returns how many leading buckets of a list sorted by
// sortByCoverage cover about the same time, and the time that all of these
// cover. Complete buckets are never grouped with others.
func (s *State) similarCoverage(now time.Time, service string, list []uint8) (int, time.Duration) {
	if len(list) == 0 {
		return 0, 0
	}
	first := s.boundedCoverage(now, service, list[0])
	least := first
	if first < s.cfg.Retention {
		least = max(0, first-s.cfg.Retention/coverageTolerance)
	}
	n, coverage := 0, first
	for n < len(list) {
		next := s.boundedCoverage(now, service, list[n])
		if next < least || next > first {
			break
		}
		coverage = min(coverage, next)
		n++
	}
	return n, coverage
}
