// Package demo runs a whole deployment with stand-ins on loopback addresses. Entry
// hosts and backend servers come and go, a document changes, and a data centre is
// taken out and brought back while callers keep flows open and send commands.
package demo

import (
	"context"
	"io/fs"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// Limits of a run.
const (
	MinDuration = 10 * time.Second
	MaxDuration = 10 * time.Minute

	startLimit  = 20 * time.Second // maximum time until all entry hosts serve
	spreadLimit = 15 * time.Second // maximum time until a document is in effect everywhere
	callerCount = 4
)

// Config configures a run.
type Config struct {
	Files             fs.FS // holds one directory per deployment
	Deployment        string
	For               time.Duration
	Seed              uint64
	Network           byte // second byte of the loopback addresses
	FlowsPerSecond    int
	CommandsPerSecond int
	Logger            log.Logger // progress
	DaemonLogger      log.Logger
}

// run is the state of one run.
type run struct {
	cfg    Config
	fleet  *Fleet
	load   *load
	report Report
	start  time.Time

	drainedBackend  *standin.Backend
	addedBackend    *document.BackendServer
	addedDC         string
	outDC           string
	takenOut        time.Time
	broughtBack     time.Time
	configSpread    time.Duration
	stoppedID       string
	killedID        string
	hostByID        map[string]document.Host
	initialBackends []*standin.Backend
}

// Run runs the scenario. The report lists the guarantees that were not met.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	d, err := LoadDeployment(cfg.Files, cfg.Deployment, cfg.Network)
	if err != nil {
		return nil, err
	}
	r := &run{cfg: cfg, hostByID: map[string]document.Host{}}
	for _, h := range d.Hosts.Hosts {
		r.hostByID[h.ID] = h
	}
	r.removeLastBackend(d.Services[0])
	r.outDC = d.Hosts.Hosts[len(d.Hosts.Hosts)-1].DataCentre
	r.stoppedID, r.killedID = d.Hosts.Hosts[0].ID, d.Hosts.Hosts[1].ID
	if r.fleet, err = NewFleet(d, cfg.Network, cfg.Seed, cfg.DaemonLogger); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	defer r.closeCallers()
	if err := r.runScenario(ctx); err != nil {
		return nil, err
	}
	r.evaluate()
	return &r.report, nil
}

// removeLastBackend removes the last backend server of a service from its first
// data centre. It is added during the scenario.
func (r *run) removeLastBackend(s *document.Service) {
	dc := &s.DataCentres[0]
	last := len(dc.BackendServers) - 1
	addedBackend := dc.BackendServers[last]
	r.addedBackend, r.addedDC = &addedBackend, dc.Name
	dc.BackendServers = dc.BackendServers[:last]
}

func (r *run) setUp(ctx context.Context) error {
	r.progress("starting", "deployment", r.cfg.Deployment, "entry_hosts", len(r.hostByID))
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := r.fleet.WaitServing(ctx); err != nil {
		return errors.Wrap(err, "entry hosts did not serve")
	}
	r.initialBackends = r.fleet.Backends()
	r.load = &load{rnd: rand.New(rand.NewPCG(r.cfg.Seed, r.cfg.Seed+1))}
	for i := range callerCount {
		c, err := standin.NewCaller(r.fleet.addr(0, byte(3+i), 6080).String(), r.fleet.Fabric.Addr())
		if err != nil {
			return err
		}
		r.load.callers = append(r.load.callers, c)
	}
	return nil
}

func (r *run) closeCallers() {
	for _, c := range r.load.callers {
		c.Close()
	}
}

func (r *run) progress(msg string, keyvals ...any) {
	kv := append([]any{"msg", msg}, keyvals...)
	if !r.start.IsZero() {
		kv = append([]any{"at", time.Since(r.start).Round(time.Millisecond)}, kv...)
	}
	level.Info(r.cfg.Logger).Log(kv...)
}

// runScenario runs the load and the events for the configured time.
func (r *run) runScenario(ctx context.Context) error {
	r.start = time.Now()
	reads := r.fleet.Platform.Reads()
	loadCtx, stopLoad := context.WithTimeout(ctx, r.cfg.For)
	defer stopLoad()
	services := r.fleet.Deployment.Services
	for i := range longFlows {
		r.load.startFlow(loadCtx, services[i%len(services)], r.cfg.For)
	}
	r.load.run(loadCtx, ctx, services, r.cfg.FlowsPerSecond, r.cfg.CommandsPerSecond)
	for _, e := range r.events() {
		if err := r.waitUntil(ctx, e.at); err != nil {
			return err
		}
		r.progress(e.name)
		r.report.Events = append(r.report.Events, EventReport{AtMS: time.Since(r.start).Milliseconds(), Name: e.name})
		if err := e.do(ctx); err != nil {
			return errors.Wrap(err, e.name)
		}
	}
	if err := r.waitUntil(ctx, 1); err != nil {
		return err
	}
	r.load.wg.Wait()
	elapsed := time.Since(r.start)
	r.report.DurationMS = elapsed.Milliseconds()
	r.report.PlatformReadsPerSecond = float64(r.fleet.Platform.Reads()-reads) / elapsed.Seconds()
	return ctx.Err()
}

// waitUntil waits until a fraction of the configured time has passed.
func (r *run) waitUntil(ctx context.Context, fraction float64) error {
	d := time.Duration(fraction*float64(r.cfg.For)) - time.Since(r.start)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(d, 0)):
		return nil
	}
}

// event is a step of the scenario, at a fraction of the configured time.
type event struct {
	at   float64
	name string
	do   func(ctx context.Context) error
}

func (r *run) events() []event {
	return []event{
		{0.15, "drain a backend server", r.drain},
		{0.22, "add a cold backend server", r.join},
		{0.30, "stop an entry host gracefully", func(context.Context) error { return r.fleet.StopHost(r.stoppedID) }},
		{0.42, "kill an entry host", func(context.Context) error { r.fleet.KillHost(r.killedID); return nil }},
		{0.47, "replace both entry hosts", r.replaceHosts},
		{0.53, "change a document", r.changeDocument},
		{0.58, "take a data centre out", r.takeOut},
		{0.85, "bring the data centre back", r.bringBack},
	}
}

func (r *run) drain(context.Context) error {
	s := r.fleet.Deployment.Services[0]
	b := &s.DataCentres[0].BackendServers[0]
	b.Draining = true
	s.Version++
	r.drainedBackend = r.fleet.Backend(b.AddrPort())
	r.drainedBackend.SetDraining(true)
	r.drainedBackend.CountNewWorkAfter(time.Now().Add(leavingGrace))
	return r.fleet.PublishService(s)
}

func (r *run) join(context.Context) error {
	s := r.fleet.Deployment.Services[0]
	if err := r.fleet.startBackend(s, r.addedDC, r.addedBackend, false); err != nil {
		return err
	}
	s.DataCentres[0].BackendServers = append(s.DataCentres[0].BackendServers, *r.addedBackend)
	s.Version++
	return r.fleet.PublishService(s)
}

func (r *run) replaceHosts(context.Context) error {
	for _, id := range []string{r.stoppedID, r.killedID} {
		if err := r.fleet.StartHost(r.hostByID[id]); err != nil {
			return err
		}
	}
	// The fabric sends packets to a new entry host at once, whether or not it is
	// ready.
	r.fleet.UpdateFabricHosts()
	return nil
}

func (r *run) changeDocument(ctx context.Context) error {
	s := r.fleet.Deployment.Services[len(r.fleet.Deployment.Services)-1]
	for _, dc := range s.DataCentres {
		for i := range dc.BackendServers {
			dc.BackendServers[i].Connections -= dc.BackendServers[i].Connections / 10
		}
	}
	s.Version++
	published := time.Now()
	if err := r.fleet.PublishService(s); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	err := r.fleet.WaitVersion(ctx, s.Name, s.Version)
	r.configSpread = time.Since(published)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // reported as ConfigSpreadMS
	}
	return err
}

func (r *run) takeOut(context.Context) error {
	r.takenOut = time.Now()
	for _, b := range r.fleet.Backends() {
		if b.DataCentre() == r.outDC {
			b.CountPacketsAfter(r.takenOut.Add(takeoutGrace))
		}
	}
	return r.fleet.PublishDataCentres(r.outDC)
}

func (r *run) bringBack(context.Context) error {
	for _, b := range r.fleet.Backends() {
		if b.DataCentre() == r.outDC {
			b.CountPacketsAfter(time.Time{})
		}
	}
	r.broughtBack = time.Now()
	return r.fleet.PublishDataCentres()
}
