package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/follower"
	"github.com/nutmeglatch/nutmeglatch/internal/gossip"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

const (
	// tick is the pause between looks at what is due by time.
	tick = 50 * time.Millisecond
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 256
	// fetchPause is the least time between two fetches from other hosts.
	fetchPause = 200 * time.Millisecond
	// fleetInterval is the pause between reports of the other hosts to the traffic goroutine.
	fleetInterval = 300 * time.Millisecond
)

// Events of the control goroutine.
type (
	heard   struct{ message *gossip.Message }
	callEnd struct {
		call    follower.Call
		reading follower.Result
		outcome follower.Outcome
		err     error
	}
	fetchEnd struct {
		from netip.AddrPort
		copy *gossip.Copy
		err  error
	}
	queryEvent struct {
		query gossip.Query
		reply chan *gossip.Copy
	}
	statusEvent struct{ reply chan admin.TokenStatus }
	reload      struct {
		seeds  []netip.AddrPort
		limits Limits
	}
)

// control owns the registry, the schedule of store calls and the members.
type control struct {
	host     *Host
	conn     *net.UDPConn // of other hosts' datagrams
	logger   log.Logger
	events   chan any
	state    *registry.State
	follower *follower.Follower
	members  *gossip.Members
	seeds    []netip.AddrPort
	limits   Limits

	leaving    atomic.Bool
	fetching   bool
	fetchAfter time.Duration
	behindAt   time.Duration // when another host first told a newer revision; 0: this one is not behind
	gossipAt   time.Duration
	fleetAt    time.Duration
	rounds     int // of messages to the other hosts
	storeDown  bool
	toldAway   time.Duration // when the store was last away from a host that has told it; negative: never
	wasReader  bool
	version    uint64          // of the configuration in force
	unreached  map[string]bool // data centres that were out of reach when the traffic goroutine was last told
	hosts      []affinity.Host // all others, as of generation hostsOf of the members
	hostsOf    uint64
	from       string // who told the present revision: "store", or the address of a host
}

func newControl(h *Host) *control {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := gossip.Host{Addr: h.config.Peer, DataCentre: h.config.DataCentre}
	return &control{
		host:     h,
		logger:   log.With(h.logger, "part", "control"),
		seeds:    h.config.Seeds,
		limits:   h.config.Limits,
		events:   make(chan any, eventQueue),
		state:    registry.NewState(),
		follower: follower.New(h.config.Limits.Follower, slices.Contains(h.config.Seeds, h.config.Peer), random),
		members:  gossip.NewMembers(self, h.config.Seeds, random),
		toldAway: -1,
	}
}

// run takes one event at a time until ctx ends.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	c.due(ctx)
	for {
		select {
		case e := <-c.events:
			c.handle(ctx, e)
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		c.due(ctx)
	}
}

func (c *control) handle(ctx context.Context, e any) {
	switch e := e.(type) {
	case heard:
		c.onMessage(ctx, e.message)
	case callEnd:
		c.onCallEnd(e)
	case fetchEnd:
		c.onFetchEnd(e)
	case queryEvent:
		e.reply <- c.copySince(e.query)
	case statusEvent:
		e.reply <- c.status()
	case reload:
		c.onReload(e)
	}
}

// onReload puts changed seeds and limits in force.
func (c *control) onReload(e reload) {
	if slices.Equal(e.seeds, c.seeds) && e.limits == c.limits {
		return
	}
	c.seeds, c.limits = e.seeds, e.limits
	c.members.SetSeeds(e.seeds)
	c.follower.SetConfig(e.limits.Follower)
	level.Info(c.logger).Log("msg", "settings reloaded", "seeds", len(e.seeds))
}

// due starts what time makes due.
func (c *control) due(ctx context.Context) {
	now := c.host.now()
	c.startCall(ctx, now)
	if now >= c.gossipAt {
		c.gossipAt = now + c.limits.GossipInterval
		c.rounds++
		c.tellMembers()
	}
	if now >= c.fleetAt {
		c.fleetAt = now + fleetInterval
		c.members.Sweep(now)
		c.publish(plan{fleet: c.fleet(now)})
		if c.state.Sweep(now) {
			c.publishView()
		}
	}
}

// startCall calls the store when a call is due.
func (c *control) startCall(ctx context.Context, now time.Duration) {
	reader, _, _ := c.members.Reader(now)
	reader = reader && !c.leaving.Load()
	if reader != c.wasReader {
		c.wasReader = reader
		level.Info(c.logger).Log("msg", "reader of the store for the other hosts", "reader", reader)
	}
	call := c.follower.Next(c.state.Revision(), follower.Fleet{Reader: reader, PeerAlive: c.members.PeerAlive(now)}, now)
	if call.Kind == follower.None {
		return
	}
	countCall(call.Kind)
	go func() {
		defer storeCallTime.UpdateDuration(time.Now())
		reading, outcome, err := follower.Do(ctx, c.host.source, call)
		c.post(ctx, callEnd{call: call, reading: reading, outcome: outcome, err: err})
	}()
}

// post hands an event to the control goroutine.
func (c *control) post(ctx context.Context, e any) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

func (c *control) onCallEnd(e callEnd) {
	now := c.host.now()
	stale := !c.follower.Fresh(now)
	c.follower.CallEnded(e.outcome, now)
	c.noteConfirmed()
	if stale && e.outcome == follower.Done {
		c.gossipAt = now
	}
	countOutcome(e.outcome)
	switch e.outcome {
	case follower.Done:
	case follower.Incomplete:
		level.Info(c.logger).Log("msg", "the store has many pages; waiting for another host's copy")
		return
	default:
		c.onCallFailed(e, now)
		return
	}
	if c.storeDown {
		c.storeDown = false
		level.Info(c.logger).Log("msg", "the store answers again", "revision", e.reading.Revision)
	}
	before := c.state.Revision()
	var changed []registry.Update
	if e.call.Kind == follower.ReadAll {
		changed = c.state.Replace(e.reading.Updates, e.reading.Revision, now)
	} else {
		changed, _ = c.state.Apply(e.reading.Updates, e.call.After, e.reading.Revision, now)
	}
	c.adopt(changed, before, netip.AddrPort{})
}

func (c *control) onCallFailed(e callEnd, now time.Duration) {
	if e.outcome != follower.HistoryLost {
		c.state.RecordStoreFailure(now)
	}
	if !c.storeDown || e.outcome == follower.HistoryLost {
		c.storeDown = e.outcome != follower.HistoryLost
		level.Warn(c.logger).Log("msg", "call to the store failed", "outcome", e.outcome, "err", e.err,
			"revision", c.state.Revision())
	}
}

// adopt puts changes in force and passes them on. They come from another host, or from the store when it is not valid.
func (c *control) adopt(changed []registry.Update, before uint64, from netip.AddrPort) {
	source := "store"
	if from.IsValid() {
		source = from.String()
	}
	if c.state.Revision() != before {
		c.from, c.behindAt = source, 0
	}
	version := c.version // of the configuration that the receivers are likely to have
	if len(changed) > 0 || !c.host.ready.Load() && c.state.Loaded() {
		c.publishView()
	}
	if len(changed) > 0 && before != 0 {
		c.spread(from, before, c.state.EncodeDeltas(c.state.UpdatesAfter(before), version))
	}
	if c.state.Loaded() && !c.leaving.Load() && !c.host.ready.Swap(true) {
		level.Info(c.logger).Log("msg", "ready", "revision", c.state.Revision(), "from", source,
			"ms_since_start", c.host.now().Milliseconds())
	}
	c.logChanges(changed, before == 0, source)
}

// logChanges writes a line for each change, and one for a first reading.
func (c *control) logChanges(changed []registry.Update, first bool, from string) {
	if first {
		level.Info(c.logger).Log("msg", "first reading", "items", len(changed), "config_version", c.version,
			"revision", c.state.Revision(), "from", from)
		return
	}
	for i := range changed {
		c.logChange(&changed[i], from)
	}
}

func (c *control) logChange(u *registry.Update, from string) {
	switch {
	case u.Server != nil:
		s := u.Server
		level.Info(c.logger).Log("msg", "backend server", "server", s.ID, "service", s.Service, "addr", s.Addr,
			"data_centre", s.DataCentre, "draining", s.Draining, "cold_for", s.ColdFor, "revision", u.Revision, "from", from)
	case u.Config != nil:
		level.Info(c.logger).Log("msg", "configuration", "version", u.Config.Version, "routes", len(u.Config.Routes),
			"revision", u.Revision, "from", from)
	case u.OutDataCentre != "":
		level.Info(c.logger).Log("msg", "data centre taken out", "data_centre", u.OutDataCentre, "revision", u.Revision, "from", from)
	default:
		level.Info(c.logger).Log("msg", "item removed", "key", u.Key, "revision", u.Revision, "from", from,
			"store_disturbed", c.state.StoreFailedRecently(c.host.now()))
	}
}

func (c *control) publishView() {
	v := c.state.NextView()
	if v.Config == nil {
		return
	}
	if v.Config.Version != c.version {
		c.version = v.Config.Version
		configVersion.Set(float64(c.version))
	}
	c.publish(plan{views: []*registry.View{v}})
}

// maxWaitingViews is the number of partial views that may wait for the traffic goroutine; beyond it a whole one does.
const maxWaitingViews = 16

// publish adds to the plan that waits for the traffic goroutine.
func (c *control) publish(p plan) {
	select {
	case old := <-c.host.plans:
		p.views = append(old.views, p.views...)
		if p.fleet == nil {
			p.fleet = old.fleet
		}
	default:
	}
	if len(p.views) == 0 && !c.host.ready.Load() {
		return
	}
	if len(p.views) > maxWaitingViews {
		p.views = []*registry.View{c.state.View()}
	}
	c.host.plans <- p
	c.host.plan.Store(true)
}

// leave tells the other hosts that this one stops.
func (c *control) leave() { c.leaving.Store(true) }
