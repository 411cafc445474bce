package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/configsync"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/kvstore"
	"github.com/nutmeglatch/nutmeglatch/internal/membership"
)

// Limits of comparisons with peers.
const (
	startCheckPeers    = 3
	compareInterval    = time.Second // per peer
	configCallTimeout  = 2 * time.Second
	startCheckInterval = 300 * time.Millisecond
)

// syncState tracks the comparison of versions with peers.
type syncState struct {
	checking     bool      // serving starts after a comparison
	deadline     time.Time // end of the check; serving starts afterwards in any case
	nextTry      time.Time
	nextPeer     int                  // position in the list of peers
	lastCompared map[string]time.Time // newest comparison by peer

	digestTracker configsync.DigestTracker
}

// begin starts a check that must pass before this host serves.
func (s *syncState) begin(now time.Time, limit time.Duration) {
	s.checking = true
	s.deadline = now.Add(limit)
	s.nextTry = now
	if s.lastCompared == nil {
		s.lastCompared = map[string]time.Time{}
	}
}

// startCheck starts comparisons with peers until one is complete or the time
// limit has passed.
func (c *control) startCheck(now time.Time) {
	if !c.sync.checking {
		return
	}
	if !now.Before(c.sync.deadline) {
		c.finishCheck(now, "no peer answered")
		return
	}
	if now.Before(c.sync.nextTry) {
		return
	}
	c.sync.nextTry = now.Add(startCheckInterval)
	peers := c.liveMembers(func(*membership.Member) bool { return true })
	for i := range min(startCheckPeers, len(peers)) {
		c.compareWith(now, peers[(c.sync.nextPeer+i)%len(peers)])
	}
	c.sync.nextPeer += startCheckPeers
}

// finishCheck ends the check and starts serving.
func (c *control) finishCheck(now time.Time, how string) {
	if !c.sync.checking {
		return
	}
	c.sync.checking = false
	c.config.EndStartPhase()
	c.serving, c.dirty = true, true
	level.Info(c.logger).Log("msg", "serving after the check of versions", "how", how)
}

// compareDigest starts a comparison with a peer whose accepted versions differ.
func (c *control) compareDigest(now time.Time, p membership.PeerDigest) {
	if p.Digest == c.config.Summary() || !c.sync.digestTracker.ShouldCompare(now, p.Digest, c.members.Len()) {
		return
	}
	if now.Sub(c.sync.lastCompared[p.From]) >= compareInterval {
		c.compareWith(now, p.From)
	}
}

// compareWith exchanges versions and values with a peer in the background.
func (c *control) compareWith(now time.Time, id string) {
	c.sync.lastCompared[id] = now
	checking := c.sync.checking
	d, ctx := c.d, c.ctx
	d.environment.Go(func() {
		ctx, cancel := d.environment.WithTimeout(ctx, configCallTimeout)
		defer cancel()
		if err := d.compare(ctx, id); err != nil {
			counters.compareFailures.Inc()
			return
		}
		if checking {
			if err := d.fetchMembers(ctx, id); err != nil {
				counters.compareFailures.Inc()
				return
			}
		}
		d.post(func(c *control, now time.Time) { c.finishCheck(now, "compared with "+id) })
	})
}

// fetchMembers merges the members of a peer into those of this host. A host that
// served before it had learned of every member ranked the owners of flows
// differently from the others, and admitted UDP flows again that other hosts
// already had entries for.
func (d *Daemon) fetchMembers(ctx context.Context, id string) error {
	var updates []membership.Update
	if err := d.environment.Call(ctx, id, methodMembers, nil, &updates); err != nil {
		return err
	}
	_, err := runOnControl(ctx, d, func(c *control, now time.Time) bool {
		c.performMembership(now, c.members.Merge(now, updates))
		return true
	})
	return err
}

// compare fetches what is newer at the peer and pushes what is newer here.
func (d *Daemon) compare(ctx context.Context, id string) error {
	var theirs configsync.PartialMessage
	if err := d.environment.Call(ctx, id, configsync.MethodPartial, nil, &theirs); err != nil {
		return err
	}
	parts, err := runOnControl(ctx, d, func(c *control, _ time.Time) []uint8 {
		return configsync.DifferentParts(c.config.PartialDigests(), theirs.Parts)
	})
	if err != nil || len(parts) == 0 {
		return err
	}
	var versions configsync.VersionsResponse
	if err := d.environment.Call(ctx, id, configsync.MethodVersions, configsync.VersionsRequest{Parts: parts}, &versions); err != nil {
		return err
	}
	comparison, err := runOnControl(ctx, d, func(c *control, now time.Time) configsync.Comparison {
		return c.config.Compare(now, configsync.Source{Peer: id}, parts, versions.Versions)
	})
	if err != nil {
		return err
	}
	if err := d.fetch(ctx, id, comparison.Fetch); err != nil {
		return err
	}
	return d.sendValues(ctx, id, comparison.Send)
}

// fetch reads values of a peer. A response may hold only some of them, so it
// requests the rest until all have arrived or a response is empty. After a value that could not be
// unpacked it requests complete values in place of deltas.
func (d *Daemon) fetch(ctx context.Context, id string, keys []string) error {
	deltaBases, err := runOnControl(ctx, d, func(c *control, _ time.Time) map[string]uint64 {
		return c.config.DeltaBases(keys)
	})
	if err != nil {
		return err
	}
	for len(keys) > 0 {
		var resp configsync.FetchResponse
		req := configsync.FetchRequest{Keys: keys, Packed: true, DeltaBases: deltaBases}
		if err := d.environment.Call(ctx, id, configsync.MethodFetch, req, &resp); err != nil {
			return err
		}
		if len(resp.Values) == 0 {
			return nil
		}
		values, err := d.unpack(ctx, resp.Values)
		if err != nil {
			countDroppedReason("call", "packed_value")
			if len(deltaBases) == 0 {
				return err
			}
			deltaBases = nil
			continue
		}
		if err := d.offer(ctx, id, values); err != nil {
			return err
		}
		got := map[string]bool{}
		for _, v := range values {
			got[v.Key] = true
		}
		keys = slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return got[key] })
	}
	return nil
}

// unpack decompresses values and applies deltas to the values of this host.
func (d *Daemon) unpack(ctx context.Context, values []configsync.Value) ([]configsync.Value, error) {
	bases, err := runOnControl(ctx, d, func(c *control, _ time.Time) [][]byte {
		bases := make([][]byte, len(values))
		for i, v := range values {
			mine, _ := c.config.Get(v.Key)
			bases[i] = mine.Raw
		}
		return bases
	})
	if err != nil {
		return nil, err
	}
	for i, v := range values {
		if values[i], err = v.Unpack(bases[i]); err != nil {
			return nil, err
		}
	}
	return values, nil
}

func (d *Daemon) sendValues(ctx context.Context, id string, keys []string) error {
	if len(keys) == 0 {
		return nil
	}
	message, err := runOnControl(ctx, d, func(c *control, _ time.Time) configsync.PushMessage {
		m, _ := c.config.PushMessageFor(keys)
		return m
	})
	if err != nil {
		return err
	}
	return d.environment.Call(ctx, id, configsync.MethodPush, message, nil)
}

// fetchAnnounced fetches in the background what a peer has announced and this host
// lacks.
func (c *control) fetchAnnounced(now time.Time, from string, announcements []configsync.Version) {
	keys := c.config.AnnouncedToFetch(now, configsync.Source{Peer: from}, announcements)
	if len(keys) == 0 {
		return
	}
	d, ctx := c.d, c.ctx
	d.environment.Go(func() {
		ctx, cancel := d.environment.WithTimeout(ctx, configCallTimeout)
		defer cancel()
		if err := d.fetch(ctx, from, keys); err != nil {
			counters.fetchFailures.Inc()
		}
		d.post(func(c *control, _ time.Time) { c.config.FetchEnded(keys) })
	})
}

// offer offers values of a peer to the configuration.
func (d *Daemon) offer(ctx context.Context, from string, values []configsync.Value) error {
	kvs := make([]kvstore.KeyValue, len(values))
	for i, v := range values {
		kvs[i] = kvstore.KeyValue{Key: v.Key, Value: v.Raw}
	}
	candidates, err := d.parse(ctx, kvs)
	if err != nil {
		return err
	}
	_, err = runOnControl(ctx, d, func(c *control, now time.Time) bool {
		for i, v := range values {
			c.handleOfferResult(now, v.Key, c.config.OfferParsed(now, configsync.FromPeer(from, v), candidates[i]))
		}
		c.applyHostLists(now)
		c.push()
		return true
	})
	return err
}

// parse parses values outside the control goroutine, since thousands of
// documents take longer than the control loop may be blocked. Values that are
// already in effect are not parsed.
func (d *Daemon) parse(ctx context.Context, values []kvstore.KeyValue) ([]configsync.Candidate, error) {
	candidates := make([]configsync.Candidate, len(values))
	known, err := runOnControl(ctx, d, func(c *control, _ time.Time) []bool {
		known := make([]bool, len(values))
		for i, v := range values {
			candidates[i], known[i] = c.config.UnparsedCandidate(v.Key, v.Value)
		}
		return known
	})
	if err != nil {
		return nil, err
	}
	for i, v := range values {
		if !known[i] {
			candidates[i] = configsync.Parse(v.Key, v.Value)
		}
	}
	return candidates, nil
}

// handleOfferResult logs the result of an offer and applies accepted values.
func (c *control) handleOfferResult(now time.Time, key string, r configsync.Result) {
	switch {
	case r.Accepted:
		level.Info(c.logger).Log("msg", "value accepted", "key", key)
		c.configChanged(r.Keys)
	case r.Err != nil:
		level.Warn(c.logger).Log("msg", "value refused; the one in effect stays", "key", key, "reason", r.Refusal, "err", r.Err)
	}
}

// push sends newly accepted values to the owner groups and random peers.
func (c *control) push() {
	peers := c.liveMembers(func(*membership.Member) bool { return true })
	group := peers[:min(len(peers), c.d.settings.Limits.GroupSize)]
	for _, p := range c.config.TakePushes(group, peers) {
		for _, id := range p.To {
			c.call(id, configsync.MethodPush, p.PushMessage, nil)
		}
	}
}

// call calls a peer in the background and ignores the returned value. done, if
// not nil, receives the error.
func (c *control) call(id, method string, params any, done func(c *control, now time.Time, err error)) {
	d, ctx := c.d, c.ctx
	d.environment.Go(func() {
		ctx, cancel := d.environment.WithTimeout(ctx, configCallTimeout)
		defer cancel()
		err := d.environment.Call(ctx, id, method, params, nil)
		if err != nil {
			countCallFailure(method)
		}
		if done != nil {
			d.post(func(c *control, now time.Time) { done(c, now, err) })
		}
	})
}

// configChanged applies newly accepted values.
func (c *control) configChanged(keys []string) {
	c.dirty = true
	for _, key := range keys {
		if name, ok := strings.CutPrefix(key, document.ServiceKeyPrefix); ok {
			c.changes.services[name] = true
			continue
		}
		// Data centre state and the list of leaving backend servers concern
		// every service.
		c.changes.hosts, c.changes.all = true, true
		if _, ok := document.HostListKey(key); ok {
			c.hostListsChanged = true
		}
	}
}

// applyHostLists passes newly accepted host lists to the membership. Lists that
// arrive together are applied together, because a host with the lists of only
// some data centres would treat their hosts as the whole fleet.
func (c *control) applyHostLists(now time.Time) {
	hosts := c.config.Current().Hosts
	if !c.hostListsChanged || hosts == nil {
		return
	}
	c.hostListsChanged = false
	c.performMembership(now, c.members.SetListed(now, hosts.Hosts))
	c.membersChanged(now)
}
