package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// sweepInterval is the interval at which the flow table is swept for idle
// entries and for the flows that this host is charged with.
const sweepInterval = time.Second

// sweep removes idle entries and counts the open flows per backend server
// whose bucket this host is primary owner of.
func (d *Daemon) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if _, err := ask(ctx, d, func(c *control, now time.Time) bool { c.limits.shares.StartSweep(now); return true }); err != nil {
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
