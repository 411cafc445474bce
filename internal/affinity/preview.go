package affinity

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/overload"
)

// Preview states what would happen to a new flow now.
type Preview struct {
	Action  Action
	Reason  Reason
	Route   string        // "" if there is none
	Service string        // that the flow would go to; "" if it is rejected before the choice of a service
	Server  *ServerReport // that it would go to; nil: none
	Full    bool          // the service's limit binds at this host
	Targets []TargetExplanation
}

// Preview returns what Decide would do with the opening packet of a new flow. It runs the decisions of Decide without their
// effects, so that neither the choice for the next flow nor any count changes.
func (r *Router) Preview(key FlowKey, now time.Duration) Preview {
	rt := r.routes[key.Service]
	switch {
	case rt == nil:
		return Preview{Action: Reject, Reason: UnknownRoute}
	case !rt.present:
		return Preview{Action: Reject, Reason: RemovedRoute, Route: rt.name}
	case len(rt.targets) == 0:
		return Preview{Action: Reject, Reason: NoBackendServer, Route: rt.name}
	}
	p := Preview{Route: rt.name}
	first := r.pickTarget(rt, key)
	for i := range rt.targets {
		p.Targets = append(p.Targets, r.explainTarget(rt, &rt.targets[(first+i)%len(rt.targets)], now))
	}
	p.Service = rt.targets[first].service.name
	p.Full = r.admission.Binds(p.Service)
	if outcome := r.admission.Preview(p.Service, rt.name, now); outcome != overload.Admit {
		v := notAdmitted(overload.Decision{Outcome: outcome})
		p.Action, p.Reason = v.Action, v.Reason
		return p
	}
	for i := range rt.targets {
		t := &rt.targets[(first+i)%len(rt.targets)]
		best := r.best(rt, t, now, failed{})
		if best.server == nil || best.preference == preferCold &&
			!best.server.coldFlows.Allows(r.coldLimit(best.server, t.service), coldWindow, now) {
			continue
		}
		report := r.reportOf(best.server, now)
		report.Preference = best.preference
		p.Action, p.Reason, p.Service, p.Server = Forward, NewFlow, t.service.name, &report
		return p
	}
	p.Action, p.Reason = Reject, NoBackendServer
	return p
}
