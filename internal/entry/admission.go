package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/gossip"
	"github.com/nutmeglatch/nutmeglatch/internal/overload"
)

var (
	flowsWaiting = metrics.NewGauge(`nutmeglatch_overload_waiting`, nil)
	waitTime     = metrics.NewHistogram(`nutmeglatch_overload_wait_seconds`)
)

// demand is what the callers of this host request.
type demand struct {
	services []gossip.ServiceDemand
	urgent   []gossip.ServiceDemand // of full services, which the other hosts should learn of with the next message
}

// maxUrgentDemands is the maximum number of services in messages that do not list all, which bounds
// their bytes.
const maxUrgentDemands = 2

// publishDemand publishes the demand to the control goroutine, and the limits as metrics.
func (t *traffic) publishDemand(now time.Duration) {
	admission := t.router.Admission()
	d := &demand{}
	for _, s := range admission.Demand(now) {
		entry := gossip.ServiceDemand{Service: s.Service, Running: s.Running, Waiting: s.Waiting}
		d.services = append(d.services, entry)
		if s.Full && len(d.urgent) < maxUrgentDemands {
			d.urgent = append(d.urgent, entry)
		}
	}
	t.host.demand.Store(d)
	for _, r := range admission.Report(now) {
		if r.Binds {
			setLimit(r.Service, r.Limit)
		}
	}
}

// hold keeps the opening packet of a flow that waits for room. Copies that the caller sends meanwhile join it.
func (t *traffic) hold(b []byte) {
	key := t.packet.Key()
	if t.held[key] != nil && t.packet.Copy > 0 {
		return
	}
	t.held[key] = append([]byte(nil), b...)
	flowsWaiting.Set(float64(len(t.held)))
}

// offerDue decides again about the flows that got room or have waited too long, and logs limits that began or ceased to bind.
func (t *traffic) offerDue(now time.Duration) {
	admission := t.router.Admission()
	for _, f := range admission.Due(now) {
		key := affinity.FlowKey(f)
		b := t.held[key]
		delete(t.held, key)
		flowsWaiting.Set(float64(len(t.held)))
		if b == nil || t.host.codec.Decode(b[t.host.codec.Headroom():], &t.packet) != nil {
			continue // can't happen: the packet was decoded when it arrived
		}
		t.decide(b, now)
	}
	for _, c := range admission.TakeChanges() {
		t.logLimit(&c)
	}
}

// wakeAt returns when the traffic goroutine must wake at the latest: for the next sweep, or when the wait of a flow ends.
func (t *traffic) wakeAt(now time.Duration) time.Duration {
	if next, waiting := t.router.Admission().NextDeadline(); waiting {
		return min(now+sweepInterval, max(next, now))
	}
	return now + sweepInterval
}

// logLimit logs that a limit began or ceased to bind.
func (t *traffic) logLimit(c *overload.Change) {
	text, limit := "limit binds", c.Limit
	if !c.Binds {
		text, limit = "limit lifted", 0
	}
	setLimit(c.Service, limit)
	t.healthLimiter.do(t.host.now(), func() {
		level.Info(t.logger).Log("msg", text, "service", c.Service, "limit", c.Limit, "running", c.Running, "waiting", c.Waiting,
			"evidence", c.Evidence)
	})
}

// setLimit sets the gauge of a service's limit; 0: it does not bind.
func setLimit(service string, limit int) {
	metrics.GetOrCreateGauge(fmt.Sprintf(`nutmeglatch_overload_limit{service=%q}`, service), nil).Set(float64(limit))
}

// countWait counts a flow that has waited for room, or was rejected for lack of it.
func countWait(v *affinity.Verdict) {
	switch v.Reason {
	case affinity.NoRoom, affinity.WaitedTooLong, affinity.QueueFull:
		name := fmt.Sprintf(`nutmeglatch_overload_rejections_total{priority="%d",reason=%q}`, v.Admission.Priority, v.Reason)
		metrics.GetOrCreateCounter(name).Inc()
	}
	if v.Action != affinity.Hold && v.Admission.Waited > 0 {
		waitTime.Update(v.Admission.Waited.Seconds())
	}
}
