package command

import "time"

// buckets is the number of buckets of a service.
const buckets = 256

// Owners are the two hosts that store a bucket's claims. Secondary is empty if
// no other host is a member.
type Owners struct{ Primary, Secondary string }

func (o Owners) has(host string) bool {
	return host != "" && (o.Primary == host || o.Secondary == host)
}

// other returns the owner that is not host, empty if host is not an owner.
func (o Owners) other(host string) string {
	switch host {
	case o.Primary:
		return o.Secondary
	case o.Secondary:
		return o.Primary
	}
	return ""
}

// serviceOwners holds the owners of a service's buckets. coveredSince is the
// time from which this host has seen every claim of a bucket. It is zero if this
// host does not own the bucket, or has not regained a majority since it was
// paused, stopped serving or lost the majority.
type serviceOwners struct {
	owners       [buckets]Owners
	coveredSince [buckets]time.Time
	// generation changes when an owner of any bucket changes or coveredSince is
	// reset.
	generation uint64
	majority   bool      // this host sees a majority, or a quorum of the service
	majorityAt time.Time // when this host last saw a majority
}

func (s *State) majority(service string) bool {
	so := s.services[service]
	return so != nil && so.majority
}

func (s *State) owners(service string, bucket uint8) Owners {
	if so := s.services[service]; so != nil {
		return so.owners[bucket]
	}
	return Owners{}
}

// complete reports whether this host has seen every claim of the bucket made
// within the retention period.
func (s *State) complete(now time.Time, service string, bucket uint8) bool {
	coverage, ok := s.coverage(now, service, bucket)
	return ok && coverage >= s.cfg.Retention
}

// coverage returns for how long this host has seen every claim of a bucket, and
// false if it does not cover the bucket.
func (s *State) coverage(now time.Time, service string, bucket uint8) (time.Duration, bool) {
	so := s.services[service]
	if so == nil || so.coveredSince[bucket].IsZero() {
		return 0, false
	}
	return now.Sub(so.coveredSince[bucket]), true
}

// resetCoverage marks all buckets as not covered.
func (s *State) resetCoverage(so *serviceOwners) {
	so.coveredSince = [buckets]time.Time{}
	so.generation = s.nextNonce()
}

// startCoverage sets coveredSince of the owned buckets that are not covered yet.
func (s *State) startCoverage(now time.Time, so *serviceOwners) {
	for b := range so.owners {
		if so.coveredSince[b].IsZero() && so.owners[b].has(s.cfg.Self) {
			so.coveredSince[b] = now
		}
	}
}

// SetOwners sets the owners of a service's buckets, nil if the service was
// removed. If this host remains an owner of a bucket, it transfers the claims to
// an owner that is new. A host that is no longer an owner transfers none, since
// the present owners may have accepted claims that it has not seen.
func (s *State) SetOwners(now time.Time, service string, owners *[buckets]Owners) []Outcome {
	s.advance(now)
	if owners == nil {
		delete(s.services, service)
		s.dropTransfers(func(t *transfer) bool { return t.service == service })
		return s.take()
	}
	so := s.services[service]
	if so == nil {
		so = &serviceOwners{generation: s.nextNonce(), majority: s.conditions.majority(service)}
		if so.majority {
			so.majorityAt = now
		}
		s.services[service] = so
	}
	changed := s.replaceOwners(now, so, owners)
	s.planTransfers(service, so, changed)
	s.table.visitPending(func(c *claim) {
		if c.key.Service == service {
			s.ensureClaimStored(now, c, so.owners[c.bucket].other(s.cfg.Self))
		}
	})
	return s.take()
}

// replaceOwners stores new owners. It returns the new other owner of each bucket
// that this host continues to own and whose other owner has changed.
func (s *State) replaceOwners(now time.Time, so *serviceOwners, owners *[buckets]Owners) map[uint8]string {
	changed := make(map[uint8]string)
	for b, o := range owners {
		old := so.owners[b]
		if old == o {
			continue
		}
		so.owners[b] = o
		so.generation = s.nextNonce()
		switch {
		case !o.has(s.cfg.Self):
			so.coveredSince[b] = time.Time{}
		case !old.has(s.cfg.Self):
			if so.majority && s.conditions.Serving {
				so.coveredSince[b] = now
			}
		case o.other(s.cfg.Self) != "" && o.other(s.cfg.Self) != old.other(s.cfg.Self):
			changed[uint8(b)] = o.other(s.cfg.Self)
		}
	}
	return changed
}
