package replay

import (
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/daemon"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/kvstore"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
)

// Intervals of an entry host and of the fakes around it.
const (
	tickInterval     = 50 * time.Millisecond
	secondInterval   = time.Second
	watchInterval    = 100 * time.Millisecond // until a blocking read returns
	slowPollInterval = 60 * time.Second
	fabricLag        = time.Second // until the fabric stops using a dead entry host
)

// maxBacklog bounds the events that wait for a paused entry host, as socket
// buffers do.
const maxBacklog = 5000

// host is an entry host with its current process.
type host struct {
	f          *fleet
	id         string
	dataCentre string
	gue, peer  netip.AddrPort
	lag        time.Duration // of what the platform and its peers publish

	daemon   *daemon.Stepper // nil when not running
	process  int             // number of starts and ends
	paused   bool
	stopping bool
	ended    time.Time
	backlog  []func()
	readAt   time.Time      // of the newest read of the platform
	seen     map[string]int // version of the value that it was given, by key
	reverted map[string]bool

	highest map[string]uint64 // version that was in effect, by key, kept across processes
}

func (h *host) running() bool { return h.daemon != nil }

// receive carries out an event now, or when the process is resumed.
func (h *host) receive(f func()) {
	switch {
	case h.daemon == nil:
	case !h.paused:
		f()
	case len(h.backlog) < maxBacklog:
		h.backlog = append(h.backlog, f)
	}
}

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
		panic(err) // the fakes return no errors
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

// checkVersions counts values that are in effect after a later version of them
// was, in this or an earlier process.
func (h *host) checkVersions() {
	for key, version := range h.daemon.Versions() {
		if version < h.highest[key] && !h.reverted[key] {
			h.f.result.VersionsReverted++
			h.reverted[key] = true
		}
		h.highest[key] = max(h.highest[key], version)
	}
}

// end is the end of the process, graceful or not.
func (h *host) end() {
	h.daemon = nil
	h.process++
	h.ended = h.f.clock.now
	h.paused, h.backlog = false, nil
}

func (h *host) resume() {
	h.paused = false
	backlog := h.backlog
	h.backlog = nil
	// Traffic goroutines and the control loop wake in any order. The packets
	// come first here, because they then meet the old state.
	for _, f := range backlog {
		h.receive(f)
	}
}

// poll reads the load URLs that this host observes.
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

// readPlatform reads what is new at the platform: always with a blocking read,
// else at the slow poll.
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
