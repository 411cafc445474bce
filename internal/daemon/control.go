package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/configsync"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/membership"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
)

// Intervals and sizes of the control loop.
const (
	tickInterval  = 50 * time.Millisecond
	eventQueueLen = 4096
	largeFleet    = 64 // entry hosts
)

// errKilled ends the control loop of a daemon that was killed.
var errKilled = errors.New("killed")

// event is work for the control goroutine.
type event func(c *control, now time.Time)

// control is the state that the control goroutine owns.
type control struct {
	d      *Daemon
	logger log.Logger
	ctx    context.Context

	members       *membership.State
	config        *configsync.State
	shards        configsync.Shards
	plannedValues int // number of values for which the platform reads were planned
	builder       *route.Builder
	sync          syncState

	commands *command.State
	runner   *command.Runner
	runCalls map[uint64]runCall // runs in progress by call number
	nextCall uint64
	results  *command.Results
	// bootIDs holds the boot ids of the hosts that are not dead, by host id.
	bootIDs         map[string]uint64
	commandServices map[string]*route.Service // services whose owners were last passed to commands
	voters          map[string][]string       // ids of the voting hosts, by service with a quorum

	serving          bool
	stopping         bool // the graceful shutdown has begun
	stoppingSince    time.Time
	leaving          bool // the members have been informed that this host leaves
	leavingSince     time.Time
	lastBusy         time.Time // newest time with commands in progress while leaving
	lastTick         int64     // time since start in nanoseconds
	killed           bool
	dirty            bool
	changes          changes                 // changes since the last snapshot
	conflicted       map[netip.AddrPort]bool // conflicting backend server addresses in the last snapshot
	platformError    string                  // error of the newest platform read, empty for none
	hostListsChanged bool                    // a host list was accepted and is not applied yet
	limits           *limits

	membersCounted map[string]uint64 // membership counters as last added to the metrics
}

func newControl(d *Daemon) *control {
	s := d.settings
	seed := d.boot ^ uint64(len(s.HostID))<<56
	c := &control{
		d:      d,
		logger: log.With(d.logger, "part", "control"),
		ctx:    context.Background(),
		members: membership.New(membership.Config{
			Self:           selfHost(d),
			Boot:           d.boot,
			ProbeInterval:  s.Probe.Interval.Std(),
			ProbeTimeout:   s.Probe.Timeout.Std(),
			SuspectFor:     s.Probe.SuspectFor.Std(),
			PauseLimit:     s.PauseLimit.Std(),
			IndirectProbes: s.Probe.IndirectProbes,
			Seed:           seed,
		}, d.started),
		config:  configsync.New(configsync.Config{Seed: seed, Metrics: metrics.GetDefaultSet()}),
		builder: route.NewBuilder(s.HostID, s.DataCentre, s.Limits.GroupSize),
	}
	cfg := command.Config{Self: s.HostID, Boot: uint64(d.started.UnixNano()), Retention: s.Limits.ClaimRetention.Std(), PauseLimit: s.PauseLimit.Std()}
	cfg.AdmittingHost = c.admittingHost
	c.commands = command.New(cfg, d.started)
	c.limits = newLimits()
	c.runner = command.NewRunner(cfg, &commandSlots{slots: c.limits.slots})
	c.runCalls = map[uint64]runCall{}
	c.results = command.NewResults(cfg)
	c.commandServices = map[string]*route.Service{}
	c.voters = map[string][]string{}
	c.membersCounted = map[string]uint64{}
	c.changes = newChanges()
	c.changes.hosts, c.changes.all = true, true
	c.sync.begin(d.started, s.StartCheck.Std())
	return c
}

func selfHost(d *Daemon) document.Host {
	s := d.settings
	return document.Host{
		ID:         s.HostID,
		DataCentre: s.DataCentre,
		Region:     s.Region,
		Address:    s.Peer.Addr(),
		PeerPort:   s.Peer.Port(),
		GUEPort:    s.GUE.Port(),
		State:      document.HostLive,
	}
}

// post hands work to the control goroutine and waits for room in its queue.
func (d *Daemon) post(e event) {
	if d.stepped {
		d.step(e)
		return
	}
	d.events <- e
}

// tryPost hands work to the control goroutine, or drops and counts it when
// the queue is full, so that traffic goroutines do not block.
func (d *Daemon) tryPost(e event) {
	if d.stepped {
		d.step(e)
		return
	}
	select {
	case d.events <- e:
	default:
		counters.eventsDropped.Inc()
	}
}

// runOnControl runs f on the control goroutine and returns its result.
func runOnControl[T any](ctx context.Context, d *Daemon, f func(c *control, now time.Time) T) (T, error) {
	if d.stepped {
		var v T
		d.step(func(c *control, now time.Time) { v = f(c, now) })
		return v, nil
	}
	result := make(chan T, 1)
	select {
	case d.events <- func(c *control, now time.Time) { result <- f(c, now) }:
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// run is the control loop. Closing leave starts the graceful shutdown. It
// returns when the shutdown is complete, or with an error when the daemon was killed.
func (c *control) run(ctx context.Context, leave <-chan struct{}) error {
	c.ctx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-leave:
			leave = nil
			c.stop(time.Now())
		case e := <-c.d.events:
			e(c, time.Now())
		case now := <-ticker.C:
			c.tick(now)
		}
		if c.killed {
			return errKilled
		}
		if c.shutdownComplete(time.Now()) {
			return nil
		}
		c.publish(time.Now())
		c.d.lastTick.Store(c.lastTick)
	}
}

func (c *control) tick(now time.Time) {
	c.lastTick = int64(now.Sub(c.d.started))
	c.performMembership(now, c.members.Tick(now))
	c.startCheck(now)
	c.setConditions(now)
	c.performCommands(now, c.commands.Expire(now))
	c.checkHandover(now)
	c.performCommands(now, c.runner.Expire(now))
	c.updateLimits(now)
}

// performMembership performs the outcomes of the membership package.
func (c *control) performMembership(now time.Time, outcomes []membership.Outcome) {
	for _, o := range outcomes {
		switch o := o.(type) {
		case membership.Send:
			c.sendProbe(o)
		case membership.Changed:
			c.membersChanged(now)
		case membership.Paused:
			c.handlePause(now, o.Gap)
		case membership.PeerDigest:
			c.compareDigest(now, o)
		case membership.Superseded:
			level.Error(c.logger).Log("msg", "another process runs under this host id; stopping", "boot", o.Boot)
			c.leave(now)
		case membership.DeclaredDead:
			level.Warn(c.logger).Log("msg", "other entry hosts had declared this one dead")
			c.suspendServing(now)
		case membership.ListRejected:
			level.Warn(c.logger).Log("msg", "empty host list rejected")
		}
	}
}

func (c *control) sendProbe(s membership.Send) {
	s.Message.Digest = c.config.Summary()
	body, err := s.Message.Encode()
	if err != nil {
		counters.sendErrors.Inc()
		return
	}
	c.d.sendSealed(probeBytes, body, s.Addr)
}

func (c *control) receiveProbe(now time.Time, from membership.Sender, m membership.Message) {
	c.performMembership(now, c.members.Receive(now, from, m))
}

// membersChanged updates what depends on the membership: the owners of flows,
// the peer addresses and the plan of platform reads.
func (c *control) membersChanged(now time.Time) {
	c.dirty, c.changes.hosts = true, true
	addrs := map[string]netip.AddrPort{}
	c.bootIDs = map[string]uint64{}
	for _, m := range c.members.Members() {
		addrs[m.Host.ID] = m.Host.PeerAddr()
		if m.Status != membership.Dead {
			c.bootIDs[m.Host.ID] = m.Boot
		}
	}
	c.forwardResults(now)
	c.d.listed.Store(&addrs)
	c.d.probes.Retain(func(id string) bool { _, ok := addrs[id]; return ok })
	c.d.pool.SetIdleTimeout(idleTimeout(len(addrs)))
	c.planReads()
}

// idleTimeout returns for how long connections between entry hosts stay open
// without calls. In a large fleet most calls go to random hosts, and the
// heartbeats of an idle connection over 30 s would cost more than the call.
func idleTimeout(hosts int) time.Duration {
	if hosts < largeFleet {
		return peer.DefaultIdleTimeout
	}
	return time.Second
}

// handlePause stops serving after this process was not scheduled for gap: its
// documents and members may be out of date.
func (c *control) handlePause(now time.Time, gap time.Duration) {
	counters.pauses.Inc()
	level.Warn(c.logger).Log("msg", "process was paused; comparing versions before serving", "gap", gap)
	c.suspendServing(now)
}

// suspendServing stops serving until versions have been compared with a peer.
// The claims of this host no longer count as complete, since other hosts may
// have acted as owners in the meantime.
func (c *control) suspendServing(now time.Time) {
	c.serving, c.dirty = false, true
	c.setConditions(now)
	c.sync.begin(now, c.d.settings.StartCheck.Std())
}

// stop starts the graceful shutdown. The host remains an owner until its claims
// have been handed over to other hosts.
func (c *control) stop(now time.Time) {
	if c.stopping {
		return
	}
	c.stopping, c.stoppingSince = true, now
	c.performCommands(now, c.commands.StartHandover(now))
	level.Info(c.logger).Log("msg", "stopping", "buckets_to_hand_over", c.commands.UnconfirmedBuckets(now))
	c.checkHandover(now)
}

// checkHandover leaves once the claims are handed over, or when the remaining
// shutdown time is only enough for the commands in progress.
func (c *control) checkHandover(now time.Time) {
	if !c.stopping || c.leaving {
		return
	}
	s := c.d.settings
	missing := c.commands.UnconfirmedBuckets(now)
	limit := s.Shutdown.Limit.Std() - s.Limits.CommandDeadline.Std() - settings.ShutdownMargin
	switch {
	case missing == 0:
		c.leave(now)
	case now.Sub(c.stoppingSince) >= limit:
		level.Warn(c.logger).Log("msg", "claims were not handed over in time", "buckets", missing)
		c.leave(now)
	}
}

// leave announces to the members that this host owns nothing from now on.
func (c *control) leave(now time.Time) {
	if c.leaving {
		return
	}
	if !c.stopping {
		c.stopping, c.stoppingSince = true, now
	}
	c.leaving, c.leavingSince, c.dirty, c.changes.hosts = true, now, true, true
	level.Info(c.logger).Log("msg", "leaving", "after", now.Sub(c.stoppingSince))
	c.commands.Leave()
	c.performCommands(now, c.runner.Leave(now))
	c.performMembership(now, c.members.Leave(now))
}

// shutdownComplete reports whether the graceful shutdown is complete: for the
// quiet time no command was in progress and no packet arrived, or the shutdown
// limit has passed.
func (c *control) shutdownComplete(now time.Time) bool {
	if !c.leaving {
		return false
	}
	s := c.d.settings.Shutdown
	if now.Sub(c.stoppingSince) >= s.Limit.Std() {
		level.Warn(c.logger).Log("msg", "shutdown limit reached")
		return true
	}
	// After the last command, the quiet time allows for sending its answer.
	if c.commandsInProgress() > 0 {
		c.lastBusy = now
	}
	lastPacket := c.d.started.Add(time.Duration(c.d.lastPacket.Load()))
	for _, t := range []time.Time{c.leavingSince, c.lastBusy, lastPacket} {
		if now.Sub(t) < s.QuietFor.Std() {
			return false
		}
	}
	return true
}

func (c *control) commandsInProgress() int {
	return c.commands.InProgress() + c.runner.InProgress() + len(c.runCalls)
}

// liveMembers returns the ids of the other live members that match filter.
func (c *control) liveMembers(filter func(*membership.Member) bool) []string {
	var ids []string
	for _, m := range c.members.Members() {
		if isLive(m.Status) && m.Host.ID != c.d.settings.HostID && filter(&m) {
			ids = append(ids, m.Host.ID)
		}
	}
	return ids
}

func isLive(s membership.Status) bool { return s == membership.Alive || s == membership.Suspect }
