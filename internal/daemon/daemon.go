// Package daemon runs nutmeglatch on an entry host. One control goroutine owns
// the control state and publishes immutable snapshots; traffic goroutines read
// the snapshots and move packets.
package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/kvstore"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
)

// Options configures a Daemon.
type Options struct {
	Settings *settings.Settings
	Version  string
	Logger   log.Logger
	Network  Network        // SystemNetwork when nil
	Source   kvstore.Source // made from the settings when nil

	environment Environment // set by NewStepper only
}

// Daemon is the process of one entry host.
type Daemon struct {
	settings *settings.Settings
	version  string
	logger   log.Logger
	network  Network
	source   kvstore.Source
	stepped  bool // events run synchronously, see Stepper
	key      [16]byte
	boot     uint64
	started  time.Time

	gue      PacketConn
	peerUDP  PacketConn
	peerTCP  net.Listener
	adminTCP net.Listener
	pool     *peer.Pool
	probes   *peer.Datagrams

	table    *flow.Table
	router   *route.Router
	snapshot atomic.Pointer[route.Snapshot]
	listed   atomic.Pointer[map[string]netip.AddrPort] // peer addresses of the listed entry hosts by id

	environment Environment

	control    *control
	events     chan event
	lastPacket atomic.Int64 // time since start in nanoseconds
	lastTick   atomic.Int64 // newest tick whose effects are published, time since start in nanoseconds
	isReader   atomic.Bool  // keeps a blocking read open on all keys of the platform
	plan       atomic.Pointer[kvstore.Plan]
}

// New opens the sockets of the entry host. Run must be called afterwards.
func New(o Options) (*Daemon, error) {
	d := &Daemon{
		settings: o.Settings,
		version:  o.Version,
		logger:   o.Logger,
		network:  o.Network,
		source:   o.Source,
		key:      o.Settings.PeerKey.PacketKey(),
		events:   make(chan event, eventQueueLen),
	}
	if d.logger == nil {
		d.logger = log.NewNopLogger()
	}
	if d.network == nil {
		d.network = SystemNetwork{}
	}
	d.environment, d.stepped = o.environment, o.environment != nil
	if !d.stepped {
		d.environment = processEnvironment{d}
	}
	d.started = d.environment.Now()
	if d.source == nil {
		d.source = d.newSource()
	}
	// A later process of this host must have a greater boot id.
	d.boot = uint64(d.started.UnixMilli())
	d.probes = peer.NewDatagrams(o.Settings.HostID, d.boot, d.key, metrics.GetDefaultSet())
	d.table = flow.NewTable(o.Settings.Limits.MaxFlows)
	d.router = &route.Router{Table: d.table}
	d.listed.Store(&map[string]netip.AddrPort{})
	if err := d.listen(); err != nil {
		d.closeSockets()
		return nil, err
	}
	d.pool = peer.NewPool(d.peerConfig(), d.lookup, peer.HandlerFunc(d.handleCall))
	d.control = newControl(d)
	d.snapshot.Store(d.control.buildSnapshot(d.control.changes))
	return d, nil
}

func (d *Daemon) peerConfig() peer.Config {
	return peer.Config{
		Self:       d.settings.HostID,
		Listener:   d.peerTCP,
		Key:        d.settings.PeerKey,
		MaxMessage: d.settings.Limits.MaxMessage,
		// A call to run a command stays in progress while the command waits or runs.
		CallTimeout: max(peer.DefaultCallTimeout, d.settings.Limits.CommandDeadline.Std()+runCallMargin),
		MaxRequests: peer.DefaultMaxRequests + command.MaxWaitingOfOwner,
		Dial:        callBytes.dialer(d.network.Dial),
		Logger:      d.logger,
		Metrics:     metrics.GetDefaultSet(),
	}
}

func (d *Daemon) listen() error {
	var err error
	if d.gue, err = d.network.ListenUDP(d.settings.GUE); err != nil {
		return errors.Wrapf(err, "gue %s", d.settings.GUE)
	}
	if d.peerUDP, err = d.network.ListenUDP(d.settings.Peer); err != nil {
		return errors.Wrapf(err, "peer %s", d.settings.Peer)
	}
	if d.stepped {
		return nil
	}
	l, err := d.network.Listen(d.settings.Peer)
	if err != nil {
		return errors.Wrapf(err, "peer %s", d.settings.Peer)
	}
	d.peerTCP = countedListener{l, callBytes}
	// The operators' interface stays reachable when a test replaces the network.
	d.adminTCP, err = SystemNetwork{}.Listen(d.settings.Admin)
	return errors.Wrapf(err, "admin %s", d.settings.Admin)
}

func (d *Daemon) closeSockets() {
	if d.gue != nil {
		_ = d.gue.Close()
	}
	if d.peerUDP != nil {
		_ = d.peerUDP.Close()
	}
	if d.peerTCP != nil {
		_ = d.peerTCP.Close()
	}
	if d.adminTCP != nil {
		_ = d.adminTCP.Close()
	}
}

// lookup returns the peer address of a listed entry host. A host without a list
// accepts every host that proves the peer key, since while the platform is down
// it can receive the list only from other hosts.
func (d *Daemon) lookup(id string) (netip.AddrPort, bool) {
	listed := *d.listed.Load()
	addr, ok := listed[id]
	return addr, ok || len(listed) == 0
}

// Kill closes every socket at once, like the death of the process. Run returns
// afterwards.
func (d *Daemon) Kill() {
	d.closeSockets()
	d.post(func(c *control, _ time.Time) { c.killed = true })
}

// Run serves until the context ends, shuts down gracefully and returns.
func (d *Daemon) Run(ctx context.Context) error {
	// Work continues during the graceful shutdown, so it has its own context.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return d.pool.Serve(work) })
	g.Go(func() error { return admin.Serve(work, d.adminTCP, d) })
	g.Go(func() error { return d.control.watchPlatform(work) })
	g.Go(func() error { return d.sweep(work) })
	g.Go(func() error { return d.pollLoad(work) })
	for range d.workers() {
		g.Go(func() error { return d.serveGUE(work) })
		g.Go(func() error { return d.servePeer(work) })
	}
	g.Go(func() error {
		// The control loop decides when the shutdown is complete.
		defer d.closeSockets()
		defer stop()
		return d.control.run(work, ctx.Done())
	})
	level.Info(d.logger).Log("part", "daemon", "msg", "serving", "host", d.settings.HostID, "gue", d.settings.GUE, "peer", d.settings.Peer)
	err := g.Wait()
	if errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) || errors.Is(err, errKilled) {
		err = nil
	}
	if err != nil {
		return err
	}
	level.Info(d.logger).Log("part", "daemon", "msg", "stopped")
	return nil
}

// sinceStart converts t to the time since the start of the daemon. The zero
// time becomes 0.
func (d *Daemon) sinceStart(t time.Time) route.Time {
	if t.IsZero() {
		return 0
	}
	return route.Time(t.Sub(d.started))
}

func (d *Daemon) now() route.Time { return route.Time(d.environment.Now().Sub(d.started)) }
