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

// newSource returns the source that the settings name.
func (d *Daemon) newSource() kvstore.Source {
	s := d.settings.Platform
	if s.Type == settings.PlatformDirectory {
		return kvstore.NewDirectory(kvstore.DirectoryConfig{Path: s.Path, Metrics: metrics.GetDefaultSet()})
	}
	return kvstore.NewHTTP(kvstore.HTTPConfig{
		URL:     s.URL,
		Wait:    s.Wait.Std(),
		Poll:    s.Poll.Std(),
		Reader:  d.reader.Load,
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

// watchPlatform passes the platform's values to the control goroutine.
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
			if _, err := ask(ctx, c.d, func(c *control, now time.Time) bool { c.platformUpdate(now, u, candidates); return true }); err != nil {
				return err
			}
		}
	}
}

func (c *control) platformUpdate(now time.Time, u kvstore.Update, candidates []configsync.Candidate) {
	c.platformRead(u.Err)
	for i, v := range u.Values {
		c.offered(now, v.Key, c.config.OfferParsed(now, configsync.Platform, candidates[i]))
	}
	c.applyHostLists(now)
	c.push()
}

// platformRead keeps the outcome of the newest read for status output.
func (c *control) platformRead(err error) {
	switch {
	case err != nil && c.lastError == "":
		level.Warn(c.logger).Log("msg", "platform cannot be read; accepted values stay in effect", "err", err)
	case err == nil && c.lastError != "":
		level.Info(c.logger).Log("msg", "platform can be read again")
	}
	c.lastError = ""
	if err != nil {
		c.lastError = err.Error()
	}
}

// chooseReads decides what this host reads of the platform: as one of the
// readers of its data centre all keys, or some of the shards.
func (c *control) chooseReads() {
	self, dc := c.d.settings.HostID, c.d.settings.DataCentre
	ids := c.live(func(m *membership.Member) bool { return m.Host.DataCentre == dc && m.Status == membership.Alive })
	ids = append(ids, self)
	accepted := c.config.Current()
	c.planned = valuesRead(accepted)
	c.d.reader.Store(slices.Contains(configsync.Readers(dc, ids), self))
	c.d.plan.Store(c.shards.Plan(accepted, self, dc, ids))
}

// valuesAdded chooses the reads again when there are more values.
func (c *control) valuesAdded(accepted *configsync.Accepted) {
	if valuesRead(accepted) != c.planned {
		c.chooseReads()
	}
}

// valuesRead is the number of values that the choice of reads depends on.
func valuesRead(a *configsync.Accepted) int { return len(a.Services) + len(a.HostLists) }
