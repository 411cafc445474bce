package command

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Before a planned stop, the other owner of each bucket confirms that it has
// seen every claim that this host has seen. The owners without this host then
// include one that is complete, and completeness passes from owner to owner
// however quickly hosts are replaced one after the other.

const (
	// coverageInterval is the time between two questions about the same buckets.
	coverageInterval = time.Second
	// stoppingFor is how long a confirmation binds this host to be an owner
	// until the host that asked has left. A host that stops keeps asking.
	stoppingFor = 3 * coverageInterval
	// ageTolerance is the part of the retention by which the ages of buckets
	// that are reported together may differ.
	ageTolerance = 16
)

// handover is the state of the preparation of a planned stop.
type handover struct {
	next time.Time // of the next questions
	// confirmed holds the host that confirmed each bucket of a service.
	confirmed map[string]*[buckets]string
}

// StartHandover begins a planned stop. This host goes on as an owner; Leave must be
// called once UnconfirmedBuckets returns 0, or when its time limit has passed.
func (s *State) StartHandover(now time.Time) []Outcome {
	s.begin(now)
	if s.handover == nil {
		s.handover = &handover{confirmed: make(map[string]*[buckets]string)}
		s.askCoverage(now)
	}
	return s.take()
}

// UnconfirmedBuckets returns the number of buckets of which another owner still has
// to confirm that it has seen what this host has seen.
func (s *State) UnconfirmedBuckets(now time.Time) int {
	n := 0
	for service, so := range s.services {
		confirmed := s.handover.confirmed[service]
		for b := range so.owners {
			to := s.successor(now, service, uint8(b))
			if to != "" && (confirmed == nil || confirmed[b] != to) {
				n++
			}
		}
	}
	return n
}

// successor returns the owner that has to confirm a bucket, empty for none. A
// host that has not seen any time of a bucket without interruption has nothing
// that the other owner could lack.
func (s *State) successor(now time.Time, service string, bucket uint8) string {
	if age, ok := s.age(now, service, bucket); !ok || age <= 0 {
		return ""
	}
	return s.owners(service, bucket).other(s.cfg.Self)
}

// stopsFirst reports whether another host stops with this host's confirmation.
func (s *State) stopsFirst(now time.Time, host string) bool {
	asked, ok := s.stopping[host]
	return ok && now.Sub(asked) < stoppingFor
}

func (s *State) continueHandOver(now time.Time) {
	if s.handover != nil && !s.leaving && !now.Before(s.handover.next) {
		s.askCoverage(now)
	}
}

// askCoverage asks the other owners about all buckets, also those confirmed
// before, since an owner may have been interrupted meanwhile.
func (s *State) askCoverage(now time.Time) {
	if s.handover == nil || s.leaving {
		return
	}
	s.handover.next = now.Add(coverageInterval)
	for _, service := range slices.Sorted(maps.Keys(s.services)) {
		byHost := make(map[string][]uint8)
		for b := range buckets {
			if to := s.successor(now, service, uint8(b)); to != "" && !s.stopsFirst(now, to) {
				byHost[to] = append(byHost[to], uint8(b))
			}
		}
		for _, to := range slices.Sorted(maps.Keys(byHost)) {
			s.askHost(now, service, to, byHost[to])
		}
	}
}

// askHost sends one question for each age.
func (s *State) askHost(now time.Time, service, to string, list []uint8) {
	s.sortByAge(now, service, list)
	for len(list) > 0 {
		n, age := s.sameAge(now, service, list)
		s.emit(QueryCoverage{To: to, Message: CoverageRequest{
			Service: service, Buckets: slices.Clone(list[:n]), CoveredMS: milliseconds(age),
		}})
		list = list[n:]
	}
}

// CoverageResult handles the result of the QueryCoverage call m to host from.
func (s *State) CoverageResult(now time.Time, from string, m CoverageRequest, reply CoverageReply, status CallStatus) []Outcome {
	s.begin(now)
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
		case s.successor(now, m.Service, b) == from:
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

// transferMissing passes buckets that are not being passed already.
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

// Coverage handles a CoverageRequest of host from. Of two owners that stop at
// the same time one must go first: if each confirmed the other's buckets, both
// could leave and no owner would be complete. A host that has confirmed stays
// behind; otherwise the host with the smaller id goes first.
func (s *State) Coverage(now time.Time, from string, m CoverageRequest) CoverageReply {
	s.begin(now)
	so := s.services[m.Service]
	switch {
	case so == nil || !s.conditions.Serving:
		return CoverageReply{Refused: ReasonNotServing}
	case s.leaving || s.handover != nil && s.cfg.Self < from && !s.stopsFirst(now, from):
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
		s.stopping[from] = now
	}
	return r
}

// covers reports whether this host has seen every claim of a bucket for a time,
// with some tolerance below the retention.
func (s *State) covers(now time.Time, service string, bucket uint8, asked time.Duration) bool {
	age, ok := s.age(now, service, bucket)
	if asked < s.cfg.Retention {
		age += s.cfg.Retention / ageTolerance
	}
	return ok && age >= asked
}

// sortByAge puts the buckets that cover the longest time first.
func (s *State) sortByAge(now time.Time, service string, list []uint8) {
	slices.SortFunc(list, func(a, b uint8) int {
		return cmp.Or(cmp.Compare(s.boundedAge(now, service, b), s.boundedAge(now, service, a)), cmp.Compare(a, b))
	})
}

// boundedAge returns the age of a bucket up to the retention, 0 for none.
func (s *State) boundedAge(now time.Time, service string, bucket uint8) time.Duration {
	age, _ := s.age(now, service, bucket)
	return min(age, s.cfg.Retention)
}

// sameAge returns how many of the leading buckets of a list sorted by age cover
// about the same time, and the time that all of these cover. Complete buckets
// are never mixed with others.
func (s *State) sameAge(now time.Time, service string, list []uint8) (int, time.Duration) {
	if len(list) == 0 {
		return 0, 0
	}
	first := s.boundedAge(now, service, list[0])
	least := first
	if first < s.cfg.Retention {
		least = max(0, first-s.cfg.Retention/ageTolerance)
	}
	n, age := 0, first
	for n < len(list) {
		next := s.boundedAge(now, service, list[n])
		if next < least || next > first {
			break
		}
		age = min(age, next)
		n++
	}
	return n, age
}
