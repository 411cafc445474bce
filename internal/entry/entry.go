// Package entry runs an entry host that assigns the packets of a flow to its backend server by a token in them. The host
// forwards callers' packets, follows the published store and exchanges messages with the other hosts.
//
// The traffic goroutine owns the affinity.Router. The control goroutine owns everything else and sends the Router views of
// the registry. Packets are handled in traffic.go, events of the control goroutine in control.go.
package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/follower"
	"github.com/nutmeglatch/nutmeglatch/internal/gossip"
	"github.com/nutmeglatch/nutmeglatch/internal/withdrawal"
	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

// Codec decodes callers' packets and encodes packets to backend servers and callers.
type Codec interface {
	// MaxPacket returns the maximum length of a packet in bytes.
	MaxPacket() int
	// Headroom returns the number of bytes that are put before a forwarded packet.
	Headroom() int
	// Decode decodes the header of a packet into p.
	Decode(b []byte, p *affinity.Packet) error
	// SetReceiver writes the number of the receiving backend server into the headroom of b and the token into the packet
	// that follows it.
	SetReceiver(b []byte, receiver uint64, token uint32)
	// AppendReset appends a packet that resets a flow at its caller to dst.
	AppendReset(dst []byte, flow affinity.FlowKey, seq uint32) []byte
}

// Config configures a host. All addresses except Seeds are the host's own.
type Config struct {
	Name       string
	Version    string
	DataCentre string
	Region     string
	Packets    netip.AddrPort // callers' packets; callers receive packets on the same port
	Peer       netip.AddrPort // datagrams and connections from other hosts
	Admin      netip.AddrPort // HTTP: metrics and status
	Metrics    netip.AddrPort // HTTP: the same as Admin on a fixed port; invalid: not served
	Ready      netip.AddrPort // HTTP: readiness
	ReadyPath  string
	Seeds      []netip.AddrPort // Peer addresses of the hosts to contact first
	Limits     Limits
	StopWithin time.Duration // time from the request to stop until the process is killed
}

// Host is a running entry host.
type Host struct {
	config  Config
	codec   Codec
	source  follower.Source
	logger  log.Logger
	started time.Time

	ready         atomic.Bool        // a configuration is loaded
	leaving       atomic.Bool        // the host has been asked to stop
	yielding      atomic.Bool        // callers are better served by another data centre, see gossip.Members.ShouldYield
	withdrawn     atomic.Bool        // the data centre hands its callers over, see package withdrawal
	updates       chan pendingUpdate // pending update for the traffic goroutine; holds at most one
	pendingUpdate atomic.Bool        // an update has been sent since the traffic goroutine last took one
	control       *control
	checkInbox    checkInbox
	gaps          gapRecorder                         // of the control goroutine; decide whether findings that arrive can be dated
	loads         atomic.Pointer[[]affinity.Load]     // open flows of this host, reported to other hosts
	served        atomic.Pointer[withdrawal.Snapshot] // demand of this host's callers, and what of it can be served
	demand        atomic.Pointer[demand]              // requests of this host's callers, reported to other hosts
	workReports   atomic.Pointer[[]work.Report]       // backend servers that differ from the rest, reported to other hosts
	// confirmedAt is when the registry was last confirmed to match the store, in nanoseconds of now, or
	// gossip.NeverConfirmed.
	confirmedAt atomic.Int64
}

// New returns a host that is not running yet.
func New(c Config, codec Codec, source follower.Source, logger log.Logger) *Host {
	h := &Host{config: c, codec: codec, source: source, logger: logger, started: time.Now(), updates: make(chan pendingUpdate, 1)}
	h.confirmedAt.Store(gossip.NeverConfirmed)
	h.control = newControl(h)
	return h
}

// now returns the time since the host was created, by the monotonic clock.
func (h *Host) now() time.Duration { return time.Since(h.started) }

// self returns the description of this host for the router.
func (h *Host) self() affinity.Host {
	return affinity.Host{Addr: h.config.Peer, DataCentre: h.config.DataCentre, Region: h.config.Region}
}

// ageMs returns the time since the registry was last confirmed, in milliseconds, or gossip.NeverConfirmed.
func (h *Host) ageMs(now time.Duration) int64 {
	confirmedAt := h.confirmedAt.Load()
	if confirmedAt == gossip.NeverConfirmed {
		return gossip.NeverConfirmed
	}
	return (now - time.Duration(confirmedAt)).Milliseconds()
}

// Reload applies the seeds and limits of c. Addresses cannot change while the host runs.
func (h *Host) Reload(ctx context.Context, c Config) {
	h.control.post(ctx, reload{seeds: c.Seeds, limits: c.Limits})
}

// Run serves until ctx ends and the traffic has been drained, or the time to stop has run out.
func (h *Host) Run(ctx context.Context) error {
	sockets, err := h.listen()
	if err != nil {
		return err
	}
	level.Info(h.logger).Log("part", "entry", "msg", "started", "host", h.config.Name, "version", h.config.Version,
		"data_centre", h.config.DataCentre, "packets", h.config.Packets, "peer", h.config.Peer)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	traffic := newTraffic(h, sockets.packets)
	control := h.control
	control.conn = sockets.peer
	group.Go(func() error { return traffic.run(running) })
	group.Go(func() error { return control.run(running) })
	group.Go(func() error { return control.receive(running) })
	group.Go(func() error { return gossip.Serve(running, sockets.transfer, control.answer) })
	group.Go(func() error { return serveHTTP(sockets.ready, http.HandlerFunc(h.serveReady)) })
	operators := admin.Handler(operators{host: h, control: control, traffic: traffic})
	group.Go(func() error { return serveHTTP(sockets.admin, operators) })
	if sockets.metrics != nil {
		group.Go(func() error { return serveHTTP(sockets.metrics, operators) })
	}
	group.Go(func() error {
		<-running.Done()
		sockets.close()
		return nil
	})
	group.Go(func() error {
		h.awaitStop(ctx, running, traffic)
		stop()
		return nil
	})
	err = group.Wait()
	level.Info(h.logger).Log("part", "entry", "msg", "stopped", "host", h.config.Name, "err", errText(err))
	return err
}

// awaitStop waits until ctx ends, announces the stop to the routers and the other hosts, and returns when no packet has
// arrived for stopQuiet or the time to stop has run out. The host forwards packets meanwhile.
func (h *Host) awaitStop(ctx, running context.Context, t *traffic) {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	asked := h.now()
	level.Info(h.logger).Log("part", "entry", "msg", "stopping; not ready from now on", "host", h.config.Name)
	h.leaving.Store(true)
	interrupt(t.conn) // flows wait no longer
	limit := asked + h.config.StopWithin - stopReserve
	for now := h.now(); now < limit; now = h.now() {
		quiet := now - time.Duration(t.lastPacket.Load())
		if now-asked >= rotationDelay && quiet >= stopQuiet {
			return
		}
		time.Sleep(stopPoll)
	}
}

const (
	// rotationDelay is how long the routers may take to detect that a host is not ready.
	rotationDelay = 1600 * time.Millisecond
	// stopQuiet is the time without packets after which a stopping host exits.
	stopQuiet = 400 * time.Millisecond
	// stopReserve is kept between the exit and the time at which the process would be killed.
	stopReserve = time.Second
	// stopPoll is the interval at which a stopping host checks for traffic.
	stopPoll = 100 * time.Millisecond
)

// sockets holds all sockets that the host listens on.
type sockets struct {
	packets  *net.UDPConn
	peer     *net.UDPConn
	transfer net.Listener
	ready    net.Listener
	admin    net.Listener
	metrics  net.Listener // nil: not served
}

func (h *Host) listen() (*sockets, error) {
	s := &sockets{}
	var err error
	if s.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.config.Packets)); err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	if s.peer, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.config.Peer)); err != nil {
		return nil, errors.Wrap(err, "listen for hosts' datagrams")
	}
	if s.transfer, err = net.Listen("tcp4", h.config.Peer.String()); err != nil {
		return nil, errors.Wrap(err, "listen for hosts' connections")
	}
	if s.ready, err = net.Listen("tcp4", h.config.Ready.String()); err != nil {
		return nil, errors.Wrap(err, "listen for readiness checks")
	}
	if s.admin, err = net.Listen("tcp4", h.config.Admin.String()); err != nil {
		return nil, errors.Wrap(err, "listen for operators")
	}
	if !h.config.Metrics.IsValid() {
		return s, nil
	}
	if s.metrics, err = net.Listen("tcp4", h.config.Metrics.String()); err != nil {
		return nil, errors.Wrap(err, "listen for metrics")
	}
	return s, nil
}

func (s *sockets) close() {
	s.packets.Close()
	s.peer.Close()
	s.transfer.Close()
	s.ready.Close()
	s.admin.Close()
	if s.metrics != nil {
		s.metrics.Close()
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
