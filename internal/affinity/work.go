package affinity

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

// workUpdateCost is the time of the update of a server's estimates, in multiples of what scanLimiter assumes for an entry.
const workUpdateCost = 5

// Running returns the number of requests in progress at the backend servers of a service, as far as this host has seen their
// packets.
func (r *Router) Running(service string) int { return r.work.Running(service) }

// Completions returns the number of requests of a service that were answered within the last second.
func (r *Router) Completions(service string) int { return r.work.Completions(service, r.advancedAt) }

// WorkReports returns the backend servers whose work or speed differs most from the rest, for other hosts. The slice is not
// modified later.
func (r *Router) WorkReports() []work.Report { return r.work.Reports() }

// TakeSlow returns the backend servers that have become slow and empties the list.
func (r *Router) TakeSlow() []work.SlowServer { return r.work.TakeSlow() }

// updateWork ends requests that have not been answered in time and updates the estimates.
func (r *Router) updateWork(now time.Duration) {
	for _, rt := range r.routes {
		rt.work.Expire(now, r.evidenceSince)
	}
	if r.workLimiter.due(now, workUpdateCost*r.work.NumActive()) {
		r.work.Update(now)
	}
}

// setShared replaces what other hosts know of backend servers.
func (r *Router) setShared(before, after work.Shared) {
	r.work.SetReporters(after.Hosts)
	for token := range before.Servers {
		if s := r.byToken[token]; s != nil {
			s.work.SetRemote(after.Servers[token])
		}
	}
	for token, remote := range after.Servers {
		if s := r.byToken[token]; s != nil {
			s.work.SetRemote(remote)
		}
	}
}

// choosesByWork reports whether new flows to a service go to the server with the least expected work.
func (r *Router) choosesByWork(sv *service) bool { return r.fleet.ChooseByWork && sv.hasTarget }
