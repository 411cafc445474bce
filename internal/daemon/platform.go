package daemon

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/configsync"
	"github.com/nutmeglatch/nutmeglatch/internal/kvstore"
	"github.com/nutmeglatch/nutmeglatch/internal/membership"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
)

// newSource returns the platform source that the settings select.
func (d *Daemon) newSource() kvstore.Source {
	s := d.settings.Platform
	if s.Type == settings.PlatformDirectory {
		return kvstore.NewDirectory(kvstore.DirectoryConfig{Path: s.Path, Metrics: metrics.GetDefaultSet()})
	}
	return kvstore.NewHTTP(kvstore.HTTPConfig{
		URL:     s.URL,
		Wait:    s.Wait.Std(),
		Poll:    s.Poll.Std(),
		Reader:  d.isReader.Load,
		Plan:    d.plan.Load,
		Dial:    d.dialPlatform,
		Metrics: metrics.GetDefaultSet(),
	})
}

func (d *Daemon) dialPlatform(ctx context.Context, _, addr string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "platform address")
	}
	return platformBytes.dialer(d.network.Dial)(ctx, to)
}

// watchPlatform parses the platform's updates and passes them to the control
// goroutine.
func (c *control) watchPlatform(ctx context.Context) error {
	updates := make(chan kvstore.Update)
	failed := make(chan error, 1)
	go func() { failed <- c.d.source.Watch(ctx, c.d.settings.Platform.Prefix, updates) }()
	for {
		select {
		case err := <-failed:
			return err
		case u := <-updates:
			candidates, err := c.d.parse(ctx, u.Values)
			if err != nil {
				return err
			}
			if _, err := runOnControl(ctx, c.d, func(c *control, now time.Time) bool { c.applyPlatformUpdate(now, u, candidates); return true }); err != nil {
				return err
			}
		}
	}
}

func (c *control) applyPlatformUpdate(now time.Time, u kvstore.Update, candidates []configsync.Candidate) {
	c.recordPlatformRead(u.Err)
	for i, v := range u.Values {
		c.handleOfferResult(now, v.Key, c.config.OfferParsed(now, configsync.Platform, candidates[i]))
	}
	c.applyHostLists(now)
	c.push()
}

// recordPlatformRead keeps the error of the newest read for the status, and logs
// when reads start to fail or succeed again.
func (c *control) recordPlatformRead(err error) {
	switch {
	case err != nil && c.platformError == "":
		level.Warn(c.logger).Log("msg", "platform cannot be read; accepted values stay in effect", "err", err)
	case err == nil && c.platformError != "":
		level.Info(c.logger).Log("msg", "platform can be read again")
	}
	c.platformError = ""
	if err != nil {
		c.platformError = err.Error()
	}
}

// planReads decides what this host reads from the platform: all keys if it is
// one of the readers of its data centre, else some of the shards.
func (c *control) planReads() {
	self, dc := c.d.settings.HostID, c.d.settings.DataCentre
	ids := c.liveMembers(func(m *membership.Member) bool { return m.Host.DataCentre == dc && m.Status == membership.Alive })
	ids = append(ids, self)
	accepted := c.config.Current()
	c.plannedValues = numPlannedValues(accepted)
	c.d.isReader.Store(slices.Contains(configsync.Readers(dc, ids), self))
	c.d.plan.Store(c.shards.Plan(accepted, self, dc, ids))
}

// replanReads plans the reads again when the number of values has changed.
func (c *control) replanReads(accepted *configsync.Accepted) {
	if numPlannedValues(accepted) != c.plannedValues {
		c.planReads()
	}
}

// numPlannedValues returns the number of values that the plan of reads depends on.
func numPlannedValues(a *configsync.Accepted) int { return len(a.Services) + len(a.HostLists) }
