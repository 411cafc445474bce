// Package entry runs an entry host whose flows are told apart by tokens: it forwards callers' packets, follows the
// published store and keeps in touch with the other hosts.
//
// The traffic goroutine owns the affinity.Router; the control goroutine owns everything else and hands the Router views
// of the registry. A packet's whole way is in traffic.go, an event's in control.go.
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
)

// Codec reads and writes callers' packets.
type Codec interface {
	// MaxPacket is the length of the longest packet in bytes.
	MaxPacket() int
	// Headroom is the number of bytes that a forwarded packet needs before it.
	Headroom() int
	// Decode reads a packet's header.
	Decode(b []byte, p *affinity.Packet) error
	// SetReceiver prepares a packet, which stands after the headroom, for a backend server.
	SetReceiver(b []byte, receiver uint64, token uint32)
	// AppendReset appends a reset of a flow to its caller.
	AppendReset(dst []byte, flow affinity.FlowKey, seq uint32) []byte
}

// Config describes the host. All addresses are the host's own but for Seeds.
type Config struct {
	Name       string
	Version    string
	DataCentre string
	Region     string
	Packets    netip.AddrPort // callers' packets; their port is also where callers take packets
	Peer       netip.AddrPort // datagrams and connections of other hosts
	Admin      netip.AddrPort // HTTP: metrics and status
	Metrics    netip.AddrPort // HTTP: the same on a port that does not change; not valid: none
	Ready      netip.AddrPort // HTTP: readiness
	ReadyPath  string
	Seeds      []netip.AddrPort
	Limits     Limits
	StopWithin time.Duration // from the request to stop until the process is killed
}

// Host is a running entry host.
type Host struct {
	config  Config
	codec   Codec
	source  follower.Source
	logger  log.Logger
	started time.Time

	ready   atomic.Bool
	plans   chan plan // newest plan for the traffic goroutine; holds at most one
	plan    atomic.Bool
	control *control
	loads   atomic.Pointer[[]affinity.Load] // of this host's flows, for other hosts
	// confirmed is when the registry was last known to be the store's contents, or gossip.NeverConfirmed.
	confirmed atomic.Int64
}

// New returns a host that is not running yet.
func New(c Config, codec Codec, source follower.Source, logger log.Logger) *Host {
	h := &Host{config: c, codec: codec, source: source, logger: logger, started: time.Now(), plans: make(chan plan, 1)}
	h.confirmed.Store(gossip.NeverConfirmed)
	h.control = newControl(h)
	return h
}

// now returns the time on the host's steady clock.
func (h *Host) now() time.Duration { return time.Since(h.started) }

// self returns this host as the router knows it.
func (h *Host) self() affinity.Host {
	return affinity.Host{Addr: h.config.Peer, DataCentre: h.config.DataCentre, Region: h.config.Region}
}

// ageMs returns the time since the registry was last confirmed.
func (h *Host) ageMs(now time.Duration) int64 {
	confirmed := h.confirmed.Load()
	if confirmed == gossip.NeverConfirmed {
		return gossip.NeverConfirmed
	}
	return (now - time.Duration(confirmed)).Milliseconds()
}

// Reload puts new seeds and limits in force. Addresses stay as they were at the start.
func (h *Host) Reload(ctx context.Context, c Config) {
	h.control.post(ctx, reload{seeds: c.Seeds, limits: c.Limits})
}

// Run serves until ctx ends and the host has been taken out of rotation.
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
		h.awaitStop(ctx, running, traffic, control)
		stop()
		return nil
	})
	err = group.Wait()
	level.Info(h.logger).Log("part", "entry", "msg", "stopped", "host", h.config.Name, "err", errText(err))
	return err
}

// awaitStop waits for the request to stop, tells everybody, and goes on forwarding until no packet has come for a while.
func (h *Host) awaitStop(ctx, running context.Context, t *traffic, c *control) {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	asked := h.now()
	level.Info(h.logger).Log("part", "entry", "msg", "stopping; not ready from now on", "host", h.config.Name)
	h.ready.Store(false)
	c.leave()
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
	// rotationDelay is how long the routers may take to notice that a host is not ready.
	rotationDelay = 1600 * time.Millisecond
	// stopQuiet is the time without packets after which a stopping host exits.
	stopQuiet = 400 * time.Millisecond
	// stopReserve is kept between the exit and the time at which the process would be killed.
	stopReserve = time.Second
	// stopPoll is the pause between looks at the traffic of a stopping host.
	stopPoll = 100 * time.Millisecond
)

// sockets are all that the host listens on.
type sockets struct {
	packets  *net.UDPConn
	peer     *net.UDPConn
	transfer net.Listener
	ready    net.Listener
	admin    net.Listener
	metrics  net.Listener // nil: none
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
