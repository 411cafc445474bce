package entry

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/follower"
	"github.com/nutmeglatch/nutmeglatch/internal/gossip"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

var (
	eraChanges    = metrics.NewCounter(`nutmeglatch_registry_era_changes_total`)
	itemsKept     = metrics.NewCounter(`nutmeglatch_registry_older_items_total{kind="kept"}`)
	itemsReturned = metrics.NewCounter(`nutmeglatch_registry_older_items_total{kind="returned"}`)
	staleAnswers  = metrics.NewCounter(`nutmeglatch_registry_stale_answers_total`)
	eraGauge      = metrics.NewGauge(`nutmeglatch_registry_era`, nil)
	errEraPassed  = errors.New("this host has learned of a newer era during the call")
)

// checkEra compares the era of a call's answer with that of the registry. An answer of an older one, which another host's copy
// has overtaken, counts as failed. A newer one starts a full read.
func (c *control) checkEra(e *callEnd) {
	known := c.state.Version().Era
	switch {
	case e.result.Era > known && e.outcome != follower.Done && e.outcome != follower.Incomplete:
		level.Warn(c.logger).Log("msg", "store has entered a newer era; reading all contents", "store_era", e.result.Era,
			"revision", c.state.Version(), "outcome", e.outcome)
		c.follower.EraChanged(e.result.Era)
	case e.result.Era < known && (e.outcome == follower.Done || e.outcome == follower.Truncated):
		e.outcome, e.err, e.result = follower.Failed, errors.Wrapf(errEraPassed, "answer of era %d in era %d", e.result.Era, known), follower.Result{}
		staleAnswers.Inc()
	}
}

// restore applies a full read of a newer era, from the host origin or, if that is invalid, from the store. Items of a revision
// above began have been written in that era.
func (c *control) restore(all []registry.Update, to registry.Version, began uint64, origin netip.AddrPort, now time.Duration) {
	r, ok := c.state.Restore(all, to, began, now)
	if !ok {
		return
	}
	eraGauge.Set(float64(to.Era))
	if r.From.Revision == 0 {
		c.propagateChanges(all, 0, origin) // the first contents since the start
		return
	}
	c.state.RecordStoreFailure(now)
	c.follower.Interrupted(now)
	eraChanges.Inc()
	itemsKept.Add(r.Kept)
	itemsReturned.Add(r.Returned)
	c.behindSince, c.origin = 0, "store"
	if origin.IsValid() {
		c.origin = origin.String()
	}
	level.Warn(c.logger).Log("msg", "era of the store changed", "before", r.From, "revision", to, "kept", r.Kept, "not_used", r.Returned, "config_version", c.state.ConfigVersion(), "from", c.origin)
	c.publishView()
	c.sendChanges(origin, 0, nil)
	c.propagateChanges(nil, to.Revision, origin) // the host may be ready only now
}

// restoreFromCopy applies another host's full copy of a newer era.
func (c *control) restoreFromCopy(e fetchEnd, now time.Duration) {
	c.copyApplied(e)
	c.restore(e.copy.Updates, e.copy.Version(), e.copy.Began, e.from, now)
	c.adoptOlder(e.copy, now)
}

// adoptOlder takes over what another host knows of an older era, after this host has learned of the present one shortly after
// its start. A host that has just started as well knows nothing more.
func (c *control) adoptOlder(copied *gossip.Copy, now time.Duration) {
	if !copied.Loaded || !copied.Full || !copied.Holding || copied.Era != c.state.Version().Era || !c.state.LacksOlder(now) {
		return
	}
	if c.state.AdoptOlder(copied.Updates, now) {
		level.Info(c.logger).Log("msg", "knowledge of an older era taken over from a host", "era", copied.Era)
		c.publishView()
	}
	c.behindSince = 0
}
