package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// sweepInterval is the interval at which the flow table is swept for idle
// entries and for the flows that this host is charged with.
const sweepInterval = time.Second

// defaultFlowIdle applies to entries of services that are gone.
const defaultFlowIdle = time.Minute

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
	idle := map[uint32]uint32{}
	for _, svc := range snap.ByName.All() {
		idle[svc.Index] = uint32(svc.FlowIdle / time.Second)
	}
	counts := map[netip.AddrPort]int{}
	now := uint32(time.Duration(d.now()) / time.Second)
	d.table.Sweep(now,
		func(e flow.Entry) uint32 {
			if seconds, ok := idle[e.Service]; ok {
				return seconds
			}
			return uint32(defaultFlowIdle / time.Second)
		},
		func(k packet.Key, e flow.Entry) {
			if !e.Charged() {
				return
			}
			if svc := snap.Services.Get(serviceAddr(k)); svc != nil && svc.Primary(k) == snap.SelfIndex {
				counts[e.AddrPort()]++
			}
		})
	return counts
}
