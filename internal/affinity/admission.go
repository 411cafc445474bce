package affinity

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/overload"
)

// Admission returns the state that decides which new flows get room while a service has too little.
func (r *Router) Admission() *overload.State { return r.admission }

// admit decides whether a new flow gets room. refused is the backend server that left the caller's previous opening packet
// unanswered, or nil.
func (r *Router) admit(rt *route, key FlowKey, refused *server, now time.Duration) overload.Decision {
	if refused != nil && now-refused.lastAnswerAt <= recentAnswerWindow {
		r.admission.OpeningUnanswered(refused.Service, now)
	}
	if len(rt.targets) == 0 {
		return overload.Decision{}
	}
	sv := rt.targets[r.pickTarget(rt, key)].service
	if r.admission.Meter(sv.name, rt.name) == nil {
		return overload.Decision{}
	}
	o := overload.Opening{Flow: overload.Flow(key), Service: sv.name, Route: rt.name, Slots: r.readySlots(sv, now)}
	return r.admission.Offer(o, now)
}

// readySlots returns the slots of the backend servers of a service that may get new flows and are reachable.
func (r *Router) readySlots(sv *service, now time.Duration) int {
	slots := 0
	for _, p := range sv.pools {
		if p.refresh(now); len(p.ready) > 0 && r.preferenceOf(p.ready[0], now) <= preferOtherRegion {
			slots += p.readySlots
		}
	}
	return slots
}

var admissionReasons = [...]Reason{
	overload.Hold:          AwaitsRoom,
	overload.NoRoom:        NoRoom,
	overload.WaitedTooLong: WaitedTooLong,
	overload.QueueFull:     QueueFull,
	overload.Stopping:      HostStopping,
}

// notAdmitted returns the verdict for a new flow that waits for room or is rejected. Nothing of it was sent to a backend
// server.
func notAdmitted(d overload.Decision) Verdict {
	v := Verdict{Action: Reject, Reason: admissionReasons[d.Outcome], Admission: d}
	if d.Outcome == overload.Hold {
		v.Action = Hold
	}
	return v
}
