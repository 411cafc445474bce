package replay

import (
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/daemon"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/kvstore"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
)

// Intervals of an entry host and of the fakes that it talks to.
const (
	tickInterval     = 50 * time.Millisecond
	secondInterval   = time.Second
	watchInterval    = 100 * time.Millisecond // between reads that stand for a blocking read of the platform
	slowPollInterval = 60 * time.Second
	fabricLag        = time.Second // time until the fabric stops using an entry host that ended
)

// maxBacklog limits the events queued for a paused entry host, as socket buffers
// do. Further events are dropped.
const maxBacklog = 5000

// host is an entry host with its current process.
type host struct {
	f          *fleet
	id         string
	dataCentre string
	gue, peer  netip.AddrPort
	lag        time.Duration // delay of control state received from the platform and from peers

	daemon   *daemon.Stepper // nil when not running
	process  int             // identifies the current process: incremented at each start and end
	paused   bool
	stopping bool
	ended    time.Time       // end of the last process, or start of its graceful stop
	backlog  []func()        // events received while paused
	readAt   time.Time       // last successful read of the platform
	seen     map[string]int  // number of the last publication delivered to the process, by key
	reverted map[string]bool // keys already counted as reverted in this process

	highestVersions map[string]uint64 // highest version that was in effect, by key, kept across processes
}

func (h *host) running() bool { return h.daemon != nil }

// receive handles an event now, or when the process is resumed if it is paused.
// The event is dropped if no process runs.
func (h *host) receive(f func()) {
	switch {
	case h.daemon == nil:
	case !h.paused:
		f()
	case len(h.backlog) < maxBacklog:
		h.backlog = append(h.backlog, f)
	}
}

// start starts a new process.
func (h *host) start() {
	s := settings.Default()
	s.HostID, s.DataCentre, s.Region = h.id, h.dataCentre, h.f.trace.Region
	s.GUE, s.Peer, s.FabricReturn = h.gue, h.peer, fabricReturn
	s.PeerKey = make(settings.Key, 32)
	h.process++
	h.paused, h.stopping, h.backlog = false, false, nil
	h.readAt, h.seen, h.reverted = time.Time{}, map[string]int{}, map[string]bool{}
	d, err := daemon.NewStepper(daemon.Options{Settings: &s, Network: sockets{h}}, environment{h, h.process})
	if err != nil {
		panic(err) // cannot happen: the fakes return no errors
	}
	h.daemon = d
	process := h.process
	current := func(f func()) func() bool {
		return func() bool {
			if h.process != process {
				return false
			}
			if !h.paused {
				f()
			}
			return true
		}
	}
	phase := time.Duration(h.peer.Addr().As4()[3]) * time.Millisecond
	h.f.clock.every(phase, tickInterval, h.id, current(h.tick))
	h.f.clock.every(secondInterval/2+phase, secondInterval, h.id, current(d.Sweep))
	h.f.clock.every(secondInterval/4+phase, secondInterval, h.id, current(h.poll))
	h.f.clock.every(phase, watchInterval, h.id, current(h.readPlatform))
}

func (h *host) tick() {
	h.checkVersions()
	if left := h.daemon.Tick(); left && h.stopping {
		h.end()
	}
}

// checkVersions counts the values whose version in effect is older than one that
// was in effect before, in this or an earlier process.
func (h *host) checkVersions() {
	for key, version := range h.daemon.Versions() {
		if version < h.highestVersions[key] && !h.reverted[key] {
			h.f.result.VersionsReverted++
			h.reverted[key] = true
		}
		h.highestVersions[key] = max(h.highestVersions[key], version)
	}
}

// end ends the process, gracefully or not.
func (h *host) end() {
	h.daemon = nil
	h.process++
	h.ended = h.f.clock.now
	h.paused, h.backlog = false, nil
}

// resume ends a pause and handles the events received meanwhile.
func (h *host) resume() {
	h.paused = false
	backlog := h.backlog
	h.backlog = nil
	// Traffic goroutines and the control loop may resume in any order. Here the
	// packets come first, so that they are handled with the state from before
	// the pause.
	for _, f := range backlog {
		h.receive(f)
	}
}

// poll reads the load URLs of the backend servers that this host polls.
func (h *host) poll() {
	process := h.process
	for _, t := range h.daemon.StartPolls() {
		b := h.f.backends[t.Backend]
		if b == nil || !h.f.network.reaches(h.dataCentre, b.dataCentre) {
			continue
		}
		report, ok := b.report()
		if !ok {
			continue
		}
		h.f.clock.after(2*delayWithin, h.id, func() {
			if h.process == process {
				h.receive(func() { h.daemon.HandleObservation(health.Observation{Backend: t.Backend, Report: report}) })
			}
		})
	}
}

// readPlatform reads new values from the platform. A host that is a reader reads
// on every call, which stands for a blocking read; any other host reads once per
// slowPollInterval.
func (h *host) readPlatform() {
	p := &h.f.platform
	due := h.readAt.IsZero() || h.daemon.IsReader() || h.f.clock.now.Sub(h.readAt) >= slowPollInterval
	if !due {
		return
	}
	// A separated data centre does not reach the platform either.
	if p.state == "down" || h.f.network.cut[h.dataCentre] {
		h.daemon.HandlePlatformUpdate(kvstore.Update{Err: errPlatformDown})
		return
	}
	h.readAt = h.f.clock.now
	var u kvstore.Update
	for _, key := range p.keys {
		v, ok := p.read(key, h.f.clock.now.Add(-h.lag))
		if ok && h.seen[key] != v.number {
			h.seen[key] = v.number
			u.Values = append(u.Values, kvstore.KeyValue{Key: key, Value: v.raw})
		}
	}
	h.daemon.HandlePlatformUpdate(u)
}
