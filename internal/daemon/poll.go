package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/health"
)

// pollLoad reads the load reports of the backend servers that this host observes.
func (d *Daemon) pollLoad(ctx context.Context) error {
	targets := func() []health.Target {
		t, err := runOnControl(ctx, d, func(c *control, now time.Time) []health.Target { return c.pollTargets(now) })
		if err != nil {
			return nil
		}
		return t
	}
	d.control.limits.poller.Run(ctx, pollInterval, targets, func(o health.Observation) {
		d.tryPost(func(c *control, now time.Time) { c.handleObservation(now, o) })
	})
	return ctx.Err()
}

// pollTargets returns the load URLs that are due and records the start of their
// polls.
func (c *control) pollTargets(now time.Time) []health.Target {
	l := c.limits
	uncertain := func(addr netip.AddrPort) bool { return l.slots.Uncertain(now, addr) }
	targets := l.health.DueTargets(now, uncertain)
	l.pollStarted = make(map[netip.AddrPort]time.Time, len(targets))
	for _, t := range targets {
		l.pollStarted[t.Backend] = now
	}
	return targets
}

func (c *control) handleObservation(now time.Time, o health.Observation) {
	if o.Err != nil {
		c.limits.health.RecordPollFailure(o.Backend)
		level.Debug(c.logger).Log("msg", "load report could not be read", "backend", o.Backend, "err", o.Err)
		return
	}
	c.limits.health.Report(now, o.Backend, o.Report)
	if started, ok := c.limits.pollStarted[o.Backend]; ok {
		c.limits.slots.RecordBusy(now, started, o.Backend, o.Report.SlotsBusy)
	}
}
