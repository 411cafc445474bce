package entry

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// onCallTruncated applies the changes that a truncated watch has read in full. They confirm nothing: the full read that
// follows does.
func (c *control) onCallTruncated(e callEnd, now time.Duration) {
	c.state.RecordStoreFailure(now)
	c.storeDown = true
	level.Warn(c.logger).Log("msg", "watch of the store not answered in full; reading all contents", "after", registry.Version{Era: e.call.Era, Revision: e.call.After},
		"changes_read", len(e.result.Updates), "up_to", e.result.Version(), "err", e.err)
	before := c.state.Revision()
	changed, _ := c.state.Apply(e.result.Updates, e.call.After, e.result.Revision, now)
	c.propagateChanges(changed, before, netip.AddrPort{})
}

// onReadInterrupted records that answers to a full read broke off. The read was continued, but the store may have been
// unavailable in between, so that removals may be lapses.
func (c *control) onReadInterrupted(now time.Duration) {
	c.state.RecordStoreFailure(now)
	c.follower.Interrupted(now)
	level.Warn(c.logger).Log("msg", "answers to a full read of the store broke off and were continued", "revision", c.state.Version())
}
