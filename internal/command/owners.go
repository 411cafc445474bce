package command

import "time"

const buckets = 256

// Owners are the two hosts that hold a bucket's claims. Secondary is empty
// when no other host is a member.
type Owners struct{ Primary, Secondary string }

func (o Owners) has(host string) bool {
	return host != "" && (o.Primary == host || o.Secondary == host)
}

// other returns the owner that is not host, empty when host is no owner.
func (o Owners) other(host string) string {
	switch host {
	case o.Primary:
		return o.Secondary
	case o.Secondary:
		return o.Primary
	}
	return ""
}

// serviceOwners holds the owners of a service's buckets. since is the time
// from which this host has seen every claim of a bucket, zero when it does not
// own the bucket or its view of the fleet was interrupted.
type serviceOwners struct {
	owners [buckets]Owners
	since  [buckets]time.Time
	// generation changes when since starts again for any bucket.
	generation uint64
	majority   bool      // or a quorum
	majorityAt time.Time // newest time with a majority
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

// complete reports whether this host has seen every claim of the bucket that
// the retention period covers.
func (s *State) complete(now time.Time, service string, bucket uint8) bool {
	age, ok := s.age(now, service, bucket)
	return ok && age >= s.cfg.Retention
}

func (s *State) age(now time.Time, service string, bucket uint8) (time.Duration, bool) {
	so := s.services[service]
	if so == nil || so.since[bucket].IsZero() {
		return 0, false
	}
	return now.Sub(so.since[bucket]), true
}

func (s *State) resetAges(so *serviceOwners) {
	so.since = [buckets]time.Time{}
	so.generation = s.nextNonce()
}

// startAges counts the buckets owned now as seen from now on.
func (s *State) startAges(now time.Time, so *serviceOwners) {
	for b := range so.owners {
		if so.since[b].IsZero() && so.owners[b].has(s.cfg.Self) {
			so.since[b] = now
		}
	}
}

// SetOwners takes over the owners of a service's buckets, nil when the service
// is gone. Where this host stays an owner, it passes the claims to the owner
// that is new. A host that is an owner no longer passes none: the present
// owners may have accepted claims since, which it has not seen.
func (s *State) SetOwners(now time.Time, service string, owners *[buckets]Owners) []Outcome {
	s.begin(now)
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
	s.table.pending(func(c *claim) {
		if c.key.Service == service {
			s.repeatClaim(now, c, so.owners[c.bucket].other(s.cfg.Self))
		}
	})
	return s.take()
}

// replaceOwners returns, for each bucket that this host still owns, the owner
// that it did not have before.
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
			so.since[b] = time.Time{}
		case !old.has(s.cfg.Self):
			if so.majority && s.conditions.Serving {
				so.since[b] = now
			}
		case o.other(s.cfg.Self) != "" && o.other(s.cfg.Self) != old.other(s.cfg.Self):
			changed[uint8(b)] = o.other(s.cfg.Self)
		}
	}
	return changed
}
