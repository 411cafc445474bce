package overload

import (
	"cmp"
	"slices"
	"time"
)

// maxDemands is the maximum number of services in a report to the other hosts, which bounds the bytes of messages.
const maxDemands = 10

// Demand is what the callers of a host request of a service.
type Demand struct {
	Service          uint32 // Digest of its name
	Running, Waiting int
	Full             bool // a limit binds, or evidence says that the service is full: the other hosts should soon learn of it
}

// Demand returns the demand of this host's callers, the largest first: services without any are omitted, except for one
// when there is no other, which tells the other hosts that there is none.
func (s *State) Demand(now time.Duration) []Demand {
	var list []Demand
	for _, sv := range s.services {
		d := Demand{Service: sv.digest, Running: sv.running(now), Waiting: sv.numWaiting, Full: sv.binds || sv.hasEvidence(now)}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Running+b.Waiting, a.Running+a.Waiting), cmp.Compare(a.Service, b.Service))
	})
	n := 0
	for n < min(len(list), maxDemands) && list[n].Running+list[n].Waiting > 0 {
		n++
	}
	return list[:min(max(n, 1), len(list))]
}

// Binds reports whether the limit of a service binds.
func (s *State) Binds(service string) bool {
	sv := s.services[service]
	return sv != nil && sv.binds
}

// Report describes a service for which admission is switched on.
type Report struct {
	Service string
	Binds   bool
	Limit   int // 0: no backend server is ready
	Running int
	Waiting int
}

// Report returns the present state of the services that have running or waiting requests, by name.
func (s *State) Report(now time.Duration) []Report {
	var list []Report
	for _, sv := range s.services {
		r := Report{Service: sv.name, Binds: sv.binds, Limit: s.limit(sv), Running: sv.running(now), Waiting: sv.numWaiting}
		if sv.slots == 0 {
			r.Limit = 0
		}
		if r.Binds || r.Running+r.Waiting > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// TakeChanges returns the changes since the last call and discards them.
func (s *State) TakeChanges() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}
