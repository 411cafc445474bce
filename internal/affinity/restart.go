package affinity

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/restart"
)

// RecordObservation records what a check of any host says about the process of a backend server. It reports whether that was
// not known. An observation that is not sure does not count against a server that has answered this host since, once too many
// of its service are cold for that reason: the fault may be that of one host, whose connections are all refused.
func (r *Router) RecordObservation(i Instance, o restart.Observation, now time.Duration) bool {
	s := r.serverOf(i)
	if s == nil || s.Draining || o.SentAt <= s.evidenceSince {
		return false
	}
	if o.Kind == restart.Refused && (r.fleet.Unreachable[s.DataCentre] || o.At <= r.reachableAt[s.DataCentre]) {
		return false // the partition may refuse connections
	}
	contested := !o.Sure && s.process.AnsweredSince(o.SentAt)
	if contested && r.tooMany(s.Service, (*server).contested, now) {
		return false
	}
	cause := ConnectionAccepted
	if o.Kind == restart.Refused {
		cause = ConnectionRefused
	}
	isNews := r.observeProcess(s, o, cause, now)
	if isNews && contested {
		s.contestedUntil = s.process.ColdUntil()
	}
	return isNews
}

// updateReachability discards refused connections to the servers of a data centre that has become unreachable: a partition
// may refuse connections from its beginning, before the hosts have found it. It records until when a data centre was
// unreachable, since findings of that time may arrive later.
func (r *Router) updateReachability(before, now map[string]bool) {
	for dataCentre := range before {
		if !now[dataCentre] {
			r.reachableAt[dataCentre] = r.advancedAt
		}
	}
	for dataCentre := range now {
		if before[dataCentre] {
			continue
		}
		for _, s := range r.servers {
			if s.DataCentre == dataCentre && s.process.Ended() {
				s.process = restart.Process{}
				s.markChanged()
			}
		}
	}
}

func (r *Router) observeProcess(s *server, o restart.Observation, c Cause, now time.Duration) bool {
	var coldPeriod time.Duration
	if sv := r.services[s.Service]; sv != nil {
		coldPeriod = sv.coldPeriod
	}
	if !s.process.Observe(o, coldPeriod) {
		return false
	}
	s.markChanged()
	if s.process.Ended() {
		r.healthChanges.add(s, Ended, c, now, 0)
		return true
	}
	s.clearSuspicion()
	s.evidenceSince = max(s.evidenceSince, o.At)
	r.healthChanges.add(s, Restarted, c, now, s.process.ColdUntil()-now)
	return true
}

// Ended reports whether the process of an instance has ended and no answer of a new one has been seen, and its data centre.
func (r *Router) Ended(i Instance) (dataCentre string, ended bool) {
	s := r.serverOf(i)
	if s == nil {
		return "", false
	}
	return s.DataCentre, s.process.Ended()
}
