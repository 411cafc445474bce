package daemon

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/kvstore"
)

// Environment provides the clock, background goroutines and outgoing calls of a
// daemon. A replay replaces it to control time and order.
type Environment interface {
	Now() time.Time
	Go(f func())
	// WithTimeout bounds the calls that are made with the returned context.
	WithTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc)
	// Call returns the same errors as peer.Pool.Call.
	Call(ctx context.Context, id, method string, params, result any) error
}

// processEnvironment is the environment of a daemon in its own process.
type processEnvironment struct{ d *Daemon }

func (processEnvironment) Now() time.Time { return time.Now() }
func (processEnvironment) Go(f func())    { go f() }

func (processEnvironment) WithTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, timeout)
}

func (e processEnvironment) Call(ctx context.Context, id, method string, params, result any) error {
	return e.d.pool.Call(ctx, id, method, params, result)
}

// Stepper is a daemon without goroutines and sockets of its own: each method
// handles one event at the current time of the environment. It is not safe for
// concurrent use.
type Stepper struct {
	d *Daemon
	w *worker
}

// NewStepper returns a daemon that the caller drives event by event. Its datagrams are
// written to the sockets of o.Network; nothing is read from them.
func NewStepper(o Options, env Environment) (*Stepper, error) {
	o.environment = env
	d, err := New(o)
	if err != nil {
		return nil, err
	}
	return &Stepper{d: d, w: d.newWorker()}, nil
}

// step runs an event as the control loop does.
func (d *Daemon) step(e event) {
	now := d.environment.Now()
	e(d.control, now)
	d.control.publish(now)
	d.lastTick.Store(d.control.lastTick)
}

// Tick runs one round of the control loop. It reports whether the graceful
// shutdown is complete.
func (s *Stepper) Tick() (shutdownComplete bool) {
	s.d.step(func(c *control, now time.Time) { c.tick(now); shutdownComplete = c.shutdownComplete(now) })
	return shutdownComplete
}

// HandleGUE handles a datagram from the fabric or a backend server.
func (s *Stepper) HandleGUE(b []byte, from netip.AddrPort) { s.w.handleGUE(b, from) }

// HandlePeer handles a datagram from another entry host.
func (s *Stepper) HandlePeer(b []byte, from netip.AddrPort) { s.w.handlePeer(b, from) }

// Call handles a call of another entry host and passes the result to done,
// possibly after Call has returned.
func (s *Stepper) Call(from, method string, params json.RawMessage, done func(any, error)) {
	if method != command.MethodRun {
		done(s.d.handleCall(context.Background(), from, method, params))
		return
	}
	m, err := decodeParams[command.RunRequest](params)
	if err != nil {
		done(nil, err)
		return
	}
	s.d.step(func(c *control, now time.Time) {
		c.acceptRun(now, m, func(_ *control, _ time.Time, reply command.RunReply) { done(reply, nil) })
	})
}

// IsListed reports whether the host id is on this daemon's host list.
func (s *Stepper) IsListed(id string) bool {
	_, ok := s.d.lookup(id)
	return ok
}

// HandlePlatformUpdate applies values or an error that were read from the
// platform.
func (s *Stepper) HandlePlatformUpdate(u kvstore.Update) {
	candidates, err := s.d.parse(context.Background(), u.Values)
	if err != nil {
		return
	}
	s.d.step(func(c *control, now time.Time) { c.applyPlatformUpdate(now, u, candidates) })
}

// IsReader reports whether this daemon keeps a blocking read open on all keys
// of the platform.
func (s *Stepper) IsReader() bool { return s.d.isReader.Load() }

// Sweep makes one pass over the flow table.
func (s *Stepper) Sweep() {
	s.d.step(func(c *control, now time.Time) { c.limits.shares.StartSweep(now) })
	counts := s.d.sweepOnce(s.d.snapshot.Load())
	s.d.step(func(c *control, now time.Time) { c.charged(now, counts) })
}

// StartPolls starts a round of polls and returns the load URLs to read.
func (s *Stepper) StartPolls() (targets []health.Target) {
	s.d.step(func(c *control, now time.Time) { targets = c.pollTargets(now) })
	return targets
}

// HandleObservation handles the outcome of one poll.
func (s *Stepper) HandleObservation(o health.Observation) {
	s.d.step(func(c *control, now time.Time) { c.handleObservation(now, o) })
}

// Shutdown starts the graceful shutdown.
func (s *Stepper) Shutdown() { s.d.step(func(c *control, now time.Time) { c.stop(now) }) }

// Versions returns the versions of the accepted values, nil while the daemon
// does not serve.
func (s *Stepper) Versions() map[string]uint64 {
	if !s.d.control.serving {
		return nil
	}
	versions := map[string]uint64{}
	for name, doc := range s.d.control.config.Current().Services {
		versions[document.ServiceKeyPrefix+name] = doc.Version
	}
	current := s.d.control.config.Current()
	if current.DataCentres != nil {
		versions[document.DataCentresKey] = current.DataCentres.Version
	}
	if current.Hosts != nil {
		versions[document.HostsKey] = current.Hosts.Version
	}
	for _, dc := range current.HostLists {
		if v, ok := s.d.control.config.Get(document.HostsKeyPrefix + dc); ok {
			versions[v.Key] = v.Version
		}
	}
	return versions
}
