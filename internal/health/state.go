package health

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// observersPerBackend is the number of ranked observers of a backend server.
const observersPerBackend = 2

// State holds the health of the backend servers of the services whose owner groups
// this host belongs to, and of those that it observes. It is not safe for
// concurrent use.
type State struct {
	cfg            Config
	self           string
	services       map[string]*service
	backends       map[netip.AddrPort]*backend
	targets        []Target
	out            map[string]bool
	leaving        map[netip.AddrPort]bool
	peers          map[string]*member
	byteBudget     float64 // report bytes that may be sent now
	refilledAt     time.Time
	seq            uint64
	hosts          map[string]bool // live entry hosts
	pollBase       time.Time       // first use of DueTargets
	refreshedUntil time.Time       // time up to which refreshes have been scheduled
}

type service struct {
	name  string
	group []string
	order []*backend // sorted by address; the position is the index in reports
	epoch uint32     // digest of the addresses
}

type backend struct {
	addr            netip.AddrPort
	dc              string
	service         *service
	draining        bool // by the document
	ramp            time.Duration
	observed        bool // this host is one of the ranked observers
	observers       []string
	load            load
	evidence        evidence
	remote          map[string]row // newest rows of other hosts, by host ID
	remoteColdSince time.Time      // latest cold start reported by other hosts
	instance        uint64         // most recently changed instance, over all observers
	latestStart     time.Time      // latest start of its process, before uptimeRounding; zero when unknown
	polls           schedule
}

// load is what this host's own polls of the load URL have shown. Its cold start
// may also come from passive evidence.
type load struct {
	at          time.Time // time of the newest report, zero when there is none
	report      LoadReport
	foreign     bool // the newest report names another service
	instance    uint64
	uptimeStart time.Time // latest start of the process by its uptime
	latestStart time.Time // the same as backend.latestStart, by the first report of the instance
	known       bool      // coldSince has been determined
	coldSince   time.Time
}

// New returns an empty State.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg.withDefaults(),
		services: make(map[string]*service),
		backends: make(map[netip.AddrPort]*backend),
		peers:    make(map[string]*member),
	}
}

// SetServices replaces the documents, owner groups and live entry hosts.
// The state of a backend server is kept as long as it is listed.
func (s *State) SetServices(now time.Time, self string, in Input) {
	s.self = self
	s.out, s.leaving = in.OutDataCentres, in.Leaving
	old := s.backends
	s.backends = make(map[netip.AddrPort]*backend, len(old))
	s.services = make(map[string]*service, len(in.Services))
	s.targets = s.targets[:0]
	s.hosts = make(map[string]bool, len(in.Hosts))
	for i := range in.Hosts {
		s.hosts[in.Hosts[i].ID] = true
	}
	ranking := in.Ranking
	if ranking == nil {
		ranking = NewRanking()
		ranking.SetHosts(in.Hosts)
	}
	for i := range in.Services {
		s.addService(now, &in.Services[i], ranking, old)
	}
	sort.Slice(s.targets, func(i, j int) bool { return s.targets[i].Backend.Compare(s.targets[j].Backend) < 0 })
	s.setPeers()
}

func (s *State) addService(now time.Time, in *ServiceInput, ranking *Ranking, old map[netip.AddrPort]*backend) {
	svc := &service{name: in.Doc.Name, group: slices.Clone(in.Group)}
	slices.Sort(svc.group)
	s.services[svc.name] = svc
	for d := range in.Doc.DataCentres {
		dc := &in.Doc.DataCentres[d]
		for i := range dc.BackendServers {
			doc := &dc.BackendServers[i]
			b := s.addBackend(doc.AddrPort(), svc, old)
			b.dc, b.draining, b.ramp = dc.Name, doc.Draining, doc.Cold.Ramp.Std()
			b.observers = ranking.Observers(b.addr, dc.Name)
			b.observed = doc.LoadURL != "" && slices.Contains(b.observers, s.self)
			b.polls.setObserved(now, b.observed)
			if b.observed {
				s.targets = append(s.targets, Target{Backend: b.addr, URL: doc.LoadURL})
			}
			svc.order = append(svc.order, b)
		}
	}
	sort.Slice(svc.order, func(i, j int) bool { return svc.order[i].addr.Compare(svc.order[j].addr) < 0 })
	svc.epoch = orderDigest(svc.order)
}

// addBackend adds a backend server and keeps its state from the previous document,
// unless the address has moved to another service.
func (s *State) addBackend(addr netip.AddrPort, svc *service, old map[netip.AddrPort]*backend) *backend {
	b := &backend{addr: addr, service: svc}
	if prev := old[addr]; prev != nil && prev.service.name == svc.name {
		b.load, b.evidence = prev.load, prev.evidence
		b.remote, b.remoteColdSince, b.instance, b.latestStart = prev.remote, prev.remoteColdSince, prev.instance, prev.latestStart
		b.polls = prev.polls
	}
	s.backends[addr] = b
	return b
}

// orderDigest returns a digest of the addresses.
func orderDigest(order []*backend) uint32 {
	var d xxhash.Digest
	for _, b := range order {
		raw, _ := b.addr.MarshalBinary()
		d.Write(raw)
	}
	return uint32(d.Sum64())
}

// Observers returns the ranked observers of a backend server: the two live hosts
// of its data centre with the highest rendezvous hashes, or of all hosts if the
// data centre has none.
func Observers(addr netip.AddrPort, dc string, hosts []document.Host) []string {
	r := NewRanking()
	r.SetHosts(hosts)
	return r.Observers(addr, dc)
}

// Targets returns the load URLs that this host polls, sorted by address.
func (s *State) Targets() []Target { return slices.Clone(s.targets) }

// Report records a load report that this host received from a backend server at
// now.
func (s *State) Report(now time.Time, addr netip.AddrPort, r LoadReport) {
	b := s.backends[addr]
	if b == nil {
		countDropped(dropUnknownBackend)
		return
	}
	b.polls.lastFailed = false
	if r.Service != b.service.name {
		countDropped(dropOtherService)
		b.load.foreign, b.load.at = true, now
		return
	}
	b.load.foreign = false
	s.trackInstance(now, b, &r)
	b.load.at, b.load.report = now, r
}

// trackInstance detects cold starts: a new instance, an uptime that decreases, or
// the start of shedding. For the first instance that this host sees, the start is
// derived from the uptime, so that an entry host that has just started does not
// treat warm backend servers as cold.
func (s *State) trackInstance(now time.Time, b *backend, r *LoadReport) {
	l := &b.load
	uptimeStart := now.Add(-time.Duration(r.UptimeMillis) * time.Millisecond)
	switch {
	case !l.known && (b.instance == 0 || b.instance == r.Instance):
		l.known = true
		l.coldSince = later(l.coldSince, uptimeStart)
	case !l.known || r.Instance != l.instance:
		s.startCold(now, b, coldInstance)
	case uptimeStart.After(l.uptimeStart.Add(s.cfg.UptimeSlack)):
		s.startCold(now, b, coldUptime)
	}
	if r.Instance != l.instance || b.instance == 0 {
		b.instance = r.Instance
		l.uptimeStart = uptimeStart
		// The previous process answered the previous poll, so this one started later.
		l.latestStart = later(uptimeStart, l.at)
		b.latestStart = l.latestStart
	}
	l.instance = r.Instance
	l.uptimeStart = later(l.uptimeStart, uptimeStart)
	if r.Shedding && !l.report.Shedding {
		s.startCold(now, b, coldShedding)
	}
}

// startCold restarts the cold ramp.
func (s *State) startCold(now time.Time, b *backend, cause coldCause) {
	countCold(cause)
	b.load.known = true
	b.load.coldSince = now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
