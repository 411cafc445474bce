// Package demo runs a whole deployment on loopback with stand-ins: entry hosts
// and backend servers change, a document changes and a data centre is taken
// out and brought back while callers keep flows open and send commands.
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

	startLimit  = 20 * time.Second
	spreadLimit = 15 * time.Second
	callerCount = 4
)

// Config configures a run.
type Config struct {
	Files             fs.FS // deployments
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

	drained    *standin.Backend
	joined     *document.BackendServer
	joinedDC   string
	outDC      string
	takenOut   time.Time
	takenBack  time.Time
	spread     time.Duration
	stoppedID  string
	killedID   string
	hostByID   map[string]document.Host
	initialSet []*standin.Backend
}

// Run carries out the scenario. The report says which promises were broken.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	d, err := LoadDeployment(cfg.Files, cfg.Deployment, cfg.Network)
	if err != nil {
		return nil, err
	}
	r := &run{cfg: cfg, hostByID: map[string]document.Host{}}
	for _, h := range d.Hosts.Hosts {
		r.hostByID[h.ID] = h
	}
	r.withhold(d.Services[0])
	r.outDC = d.Hosts.Hosts[len(d.Hosts.Hosts)-1].DataCentre
	r.stoppedID, r.killedID = d.Hosts.Hosts[0].ID, d.Hosts.Hosts[1].ID
	if r.fleet, err = NewFleet(d, cfg.Network, cfg.Seed, cfg.DaemonLogger); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	defer r.closeCallers()
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	r.evaluate()
	return &r.report, nil
}

// withhold removes the last backend server of a service, which joins later.
func (r *run) withhold(s *document.Service) {
	dc := &s.DataCentres[0]
	last := len(dc.BackendServers) - 1
	joined := dc.BackendServers[last]
	r.joined, r.joinedDC = &joined, dc.Name
	dc.BackendServers = dc.BackendServers[:last]
}

func (r *run) begin(ctx context.Context) error {
	r.progress("starting", "deployment", r.cfg.Deployment, "entry_hosts", len(r.hostByID))
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := r.fleet.WaitServing(ctx); err != nil {
		return errors.Wrap(err, "entry hosts did not serve")
	}
	r.initialSet = r.fleet.Backends()
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

// play runs the load and the events for the configured time.
func (r *run) play(ctx context.Context) error {
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

func (r *run) waitUntil(ctx context.Context, fraction float64) error {
	d := time.Duration(fraction*float64(r.cfg.For)) - time.Since(r.start)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(d, 0)):
		return nil
	}
}

// event is one step of the scenario, at a fraction of the run's time.
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
	r.drained = r.fleet.Backend(b.AddrPort())
	r.drained.SetDraining(true)
	r.drained.CountNewWorkAfter(time.Now().Add(leavingGrace))
	return r.fleet.PublishService(s)
}

func (r *run) join(context.Context) error {
	s := r.fleet.Deployment.Services[0]
	if err := r.fleet.startBackend(s, r.joinedDC, r.joined, false); err != nil {
		return err
	}
	s.DataCentres[0].BackendServers = append(s.DataCentres[0].BackendServers, *r.joined)
	s.Version++
	return r.fleet.PublishService(s)
}

func (r *run) replaceHosts(context.Context) error {
	for _, id := range []string{r.stoppedID, r.killedID} {
		if err := r.fleet.StartHost(r.hostByID[id]); err != nil {
			return err
		}
	}
	// The fabric hands packets to a new entry host at once, ready or not.
	r.fleet.Spray()
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
	r.spread = time.Since(published)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // the report shows the time
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
	r.takenBack = time.Now()
	return r.fleet.PublishDataCentres()
}
