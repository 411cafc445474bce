package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// sweepInterval is the interval at which the flow table is swept to remove idle
// entries and to count the flows that this host is charged with.
const sweepInterval = time.Second

// sweep removes idle entries and counts, per backend server, the open flows in
// buckets of which this host is the primary owner.
func (d *Daemon) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if _, err := runOnControl(ctx, d, func(c *control, now time.Time) bool { c.limits.shares.StartSweep(now); return true }); err != nil {
				return err
			}
			counts := d.sweepOnce(d.snapshot.Load())
			d.tryPost(func(c *control, now time.Time) {
				c.charged(now, counts)
				c.countMembership()
			})
		}
	}
}

func (d *Daemon) sweepOnce(snap *route.Snapshot) map[netip.AddrPort]int {
	r := route.Sweep(snap, d.table, d.now())
	counters.cacheEvictions.Add(r.Evicted)
	return r.Charged
}
