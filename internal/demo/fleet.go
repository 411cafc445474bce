package demo

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/nutmeglatch/nutmeglatch/internal/daemon"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// Parameters of the demo's daemons. The short command deadline allows a short
// claim retention, so that commands run soon after the fleet starts.
const (
	commandDeadline = time.Second
	claimRetention  = 2 * commandDeadline
	commandTime     = 20 * time.Millisecond // to run a command
	coldRamp        = 8 * time.Second
	fabricLag       = 300 * time.Millisecond // until the fabric stops using a host that ended
	platformPrefix  = "nutmeglatch/"
	peerKey         = "000102030405060708090a0b0c0d0e0f"
)

// partitionedNetwork implements daemon.Network on the partition stand-in.
type partitionedNetwork struct{ host standin.HostNetwork }

func (n partitionedNetwork) ListenUDP(addr netip.AddrPort) (daemon.PacketConn, error) {
	return n.host.ListenUDP(addr)
}

func (n partitionedNetwork) Listen(addr netip.AddrPort) (net.Listener, error) {
	return n.host.Listen(addr)
}

func (n partitionedNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return n.host.Dial(ctx, addr)
}

// entryHost is one running daemon.
type entryHost struct {
	host   document.Host
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan error
}

// Fleet is a deployment running on loopback addresses: the platform, the fabric,
// the backend servers and the entry hosts.
type Fleet struct {
	Deployment *Deployment
	Platform   *standin.Platform
	Fabric     *standin.Fabric
	Partition  *standin.Partition

	network  byte // second byte of the loopback addresses
	logger   log.Logger
	mu       sync.Mutex
	hosts    map[string]*entryHost
	backends map[netip.AddrPort]*standin.Backend
	retired  []*standin.Backend
	instance uint64 // of the last backend server started
}

// NewFleet starts a deployment, which runs until Close.
func NewFleet(d *Deployment, network byte, seed uint64, logger log.Logger) (*Fleet, error) {
	f := &Fleet{
		Deployment: d,
		Partition:  standin.NewPartition(),
		network:    network,
		logger:     logger,
		hosts:      map[string]*entryHost{},
		backends:   map[netip.AddrPort]*standin.Backend{},
		instance:   1,
	}
	if err := f.start(seed); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) addr(c, d byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.network, c, d}), port)
}

func (f *Fleet) start(seed uint64) error {
	var err error
	if f.Platform, err = standin.NewPlatform(f.addr(0, 1, 8500).String()); err != nil {
		return err
	}
	if f.Fabric, err = standin.NewFabric(f.addr(0, 2, 6080).String(), seed); err != nil {
		return err
	}
	for _, s := range f.Deployment.Services {
		if s.Commands != nil {
			s.Commands.Deadline = document.Duration(commandDeadline)
		}
		for _, dc := range s.DataCentres {
			for i := range dc.BackendServers {
				dc.BackendServers[i].Cold.Ramp = document.Duration(coldRamp)
				if err := f.startBackend(s, dc.Name, &dc.BackendServers[i], true); err != nil {
					return err
				}
			}
		}
		if err := f.PublishService(s); err != nil {
			return err
		}
	}
	if err := f.publish(document.HostsKey, f.Deployment.Hosts); err != nil {
		return err
	}
	if err := f.publish(document.DataCentresKey, f.Deployment.DataCentres); err != nil {
		return err
	}
	for _, h := range f.Deployment.Hosts.Hosts {
		if err := f.StartHost(h); err != nil {
			return err
		}
	}
	f.UpdateFabricHosts()
	return nil
}

func (f *Fleet) publish(key string, v any) error {
	raw, err := encode(v)
	if err != nil {
		return err
	}
	f.Platform.Put(platformPrefix+key, raw)
	return nil
}

// PublishService publishes the document of a service.
func (f *Fleet) PublishService(s *document.Service) error {
	return f.publish(document.ServiceKeyPrefix+s.Name, s)
}

// PublishDataCentres publishes the list of data centres that are out of service.
func (f *Fleet) PublishDataCentres(out ...string) error {
	f.Deployment.DataCentres.Version++
	f.Deployment.DataCentres.Out = append([]string{}, out...)
	return f.publish(document.DataCentresKey, f.Deployment.DataCentres)
}

// startBackend starts a backend server listed in the document of a service, and
// sets its load URL in the document.
func (f *Fleet) startBackend(s *document.Service, dc string, b *document.BackendServer, warm bool) error {
	load := netip.AddrPortFrom(b.Address, b.Port+1)
	b.LoadURL = "http://" + load.String() + "/load"
	f.instance++
	cfg := standin.BackendConfig{
		Addr:        b.AddrPort(),
		LoadAddr:    load.String(),
		Service:     s.Name,
		DataCentre:  dc,
		FlowAddr:    s.FlowAddr(),
		Connections: b.Connections,
		Slots:       b.Slots,
		Cold:        b.Cold,
		WarmStart:   warm,
		CommandTime: commandTime,
		Instance:    f.instance,
	}
	if s.Commands != nil {
		cfg.CommandAddr = s.Commands.AddrPort()
	}
	backend, err := standin.NewBackend(cfg)
	if err != nil {
		return errors.Wrapf(err, "backend server %s", b.AddrPort())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends[b.AddrPort()] = backend
	return nil
}

// Backends returns the running backend servers.
func (f *Fleet) Backends() []*standin.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := append([]*standin.Backend(nil), f.retired...)
	for _, b := range f.backends {
		out = append(out, b)
	}
	return out
}

// Backend returns the backend server at an address.
func (f *Fleet) Backend(addr netip.AddrPort) *standin.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backends[addr]
}

// StartHost starts the daemon of an entry host.
func (f *Fleet) StartHost(h document.Host) error {
	f.Partition.SetZone(h.Address, h.DataCentre)
	s := settings.Default()
	s.HostID, s.DataCentre, s.Region = h.ID, h.DataCentre, h.Region
	s.GUE = netip.AddrPortFrom(h.Address, h.GUEPort)
	s.Peer = netip.AddrPortFrom(h.Address, h.PeerPort)
	s.Admin = netip.AddrPortFrom(h.Address, h.PeerPort+1)
	s.FabricReturn = f.Fabric.Addr()
	s.PeerKey = settings.Key([]byte(peerKey))
	s.Platform.URL, s.Platform.Prefix = f.Platform.URL(), platformPrefix
	s.Platform.Wait, s.Platform.Poll = document.Duration(10*time.Second), document.Duration(10*time.Second)
	s.Limits.CommandDeadline = document.Duration(commandDeadline)
	s.Limits.ClaimRetention = document.Duration(claimRetention)
	s.Shutdown.QuietFor = document.Duration(500 * time.Millisecond)
	s.Shutdown.Limit = document.Duration(5 * time.Second)
	s.Workers = 2
	d, err := daemon.New(daemon.Options{
		Settings: &s,
		Version:  "demo",
		Logger:   log.With(f.logger, "host", h.ID),
		Network:  partitionedNetwork{standin.HostNetwork{Self: h.Address, Partition: f.Partition}},
	})
	if err != nil {
		return errors.Wrapf(err, "entry host %s", h.ID)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &entryHost{host: h, daemon: d, cancel: cancel, done: make(chan error, 1)}
	go func() { e.done <- d.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[h.ID] = e
	return nil
}

// UpdateFabricHosts makes the fabric send packets to the running entry hosts,
// except those with the given IDs.
func (f *Fleet) UpdateFabricHosts(except ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	skip := map[string]bool{}
	for _, id := range except {
		skip[id] = true
	}
	var addrs []netip.AddrPort
	for id, e := range f.hosts {
		if !skip[id] {
			addrs = append(addrs, netip.AddrPortFrom(e.host.Address, e.host.GUEPort))
		}
	}
	f.Fabric.SetHosts(addrs)
	for _, b := range f.backends {
		b.SetEntryHosts(addrs)
	}
}

// StopHost shuts an entry host down gracefully. The fabric stops using the host
// after fabricLag.
func (f *Fleet) StopHost(id string) error {
	e := f.removeHost(id)
	e.cancel()
	time.Sleep(fabricLag)
	f.UpdateFabricHosts()
	return <-e.done
}

// KillHost ends an entry host without a graceful shutdown.
func (f *Fleet) KillHost(id string) {
	e := f.removeHost(id)
	e.daemon.Kill()
	<-e.done
	e.cancel()
	time.Sleep(fabricLag)
	f.UpdateFabricHosts()
}

// removeHost removes an entry host from the running ones and returns it.
func (f *Fleet) removeHost(id string) *entryHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.hosts[id]
	delete(f.hosts, id)
	return e
}

// Running returns the running daemons.
func (f *Fleet) Running() []*daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*daemon.Daemon
	for _, e := range f.hosts {
		out = append(out, e.daemon)
	}
	return out
}

// wait polls until the condition holds for every running daemon.
func (f *Fleet) wait(ctx context.Context, condition func(ctx context.Context, d *daemon.Daemon) bool) error {
	for {
		ok := true
		for _, d := range f.Running() {
			ok = ok && condition(ctx, d)
		}
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// WaitServing waits until every entry host serves every service.
func (f *Fleet) WaitServing(ctx context.Context) error {
	return f.wait(ctx, func(ctx context.Context, d *daemon.Daemon) bool {
		st, err := d.Status(ctx)
		return err == nil && st.Serving && st.Majority && len(st.Services) == len(f.Deployment.Services)
	})
}

// WaitVersion waits until a version of a service's document, or a later one, is in
// effect on every entry host.
func (f *Fleet) WaitVersion(ctx context.Context, service string, version uint64) error {
	return f.wait(ctx, func(ctx context.Context, d *daemon.Daemon) bool {
		st, err := d.Status(ctx)
		if err != nil {
			return false
		}
		for _, s := range st.Services {
			if s.Name == service {
				return s.Version >= version
			}
		}
		return false
	})
}

// Close stops all parts of the fleet.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.hosts {
		e.daemon.Kill()
		<-e.done
		e.cancel()
	}
	for _, b := range f.backends {
		b.Close()
	}
	if f.Fabric != nil {
		f.Fabric.Close()
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
}
