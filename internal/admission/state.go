package admission

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
)

// State holds the shares of this host. In each round of the control loop the
// caller takes back the unused budgets of the traffic goroutines and calls
// RecordAdmitted, then RecordCharged if a sweep has ended, then Report, and
// finally Allowances, whose results become the new budgets.
type State struct {
	cfg        Config
	self       string
	groups     map[string]*group
	backends   map[netip.AddrPort]*backend
	out        map[string]bool
	leaving    map[netip.AddrPort]bool
	verdicts   map[netip.AddrPort]health.Verdict
	received   map[stream]received
	sweeping   bool // the caller announces sweeps with StartSweep
	seq        uint64
	byteBudget float64 // report bytes that may be sent now
	refilledAt time.Time
}

// stream identifies the reports of one host about one service.
type stream struct{ host, service string }

// received is the newest report of a stream. It outlives the member, so that a
// late duplicate is not accepted after a host has left the owner group and
// joined it again.
type received struct {
	seq uint64
	at  time.Time
}

// receivedRetention is how long the sequence number of a stream is kept after its
// newest report.
const receivedRetention = 10 * time.Minute

// group is the state of one service's owner group.
type group struct {
	name        string
	version     uint64
	flowIdle    time.Duration
	order       []*backend // sorted by address; the position is the index in reports
	view        *view      // newest bucket counts
	base        *view      // the last view that every member confirmed
	minBuckets  int        // smallest number of own buckets in any view since base
	skippedView bool       // a view between base and view was not confirmed
	complete    bool       // every member confirmed the view
	changedAt   time.Time
	// awaitSweep is set after a loss of buckets until a sweep has shown how many
	// charged flows belonged to them.
	awaitSweep  bool
	movedFinal  bool   // backend.moved no longer changes in this view
	priorLimits limits // limits before the view changes that await a sweep
	freshSweep  bool   // the sweep in progress started after the last change
	members     map[string]*member
}

type backend struct {
	addr      netip.AddrPort
	key       uint64 // hash of addr
	dc        string
	doc       document.BackendServer
	group     *group
	firstSeen time.Time

	charged             int // found by the last sweep
	admittedSinceSweep  int // flows admitted since the last sweep
	admittedBeforeSweep int // those of them that were admitted before the sweep in progress
	unreported          int // budgets that were replaced without a call of RecordAdmitted
	granted             int // budget that may be in use
	retained            []retention
	moved               int // charges handed over to other hosts, until the view is confirmed

	common   commonValues
	lent     map[string]*lending
	borrowed map[string]*borrowing

	shareLevel int // allowance for which share was computed, -1 for none
	shareValue int
}

// retention is a number of flows that stay charged although they are not counted
// at this host.
type retention struct {
	flows int
	until time.Time
}

// New returns an empty State.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg.withDefaults(),
		groups:   make(map[string]*group),
		backends: make(map[netip.AddrPort]*backend),
		received: make(map[stream]received),
	}
}

// SetServices replaces the documents, bucket counts and verdicts. Charges are kept
// as long as their service is listed.
func (s *State) SetServices(now time.Time, self string, in Input) {
	s.self = self
	s.out, s.leaving, s.verdicts = in.OutDataCentres, in.Leaving, in.Verdicts
	oldGroups, oldBackends := s.groups, s.backends
	s.groups = make(map[string]*group, len(in.Services))
	s.backends = make(map[netip.AddrPort]*backend, len(oldBackends))
	for i := range in.Services {
		svc := &in.Services[i]
		g := oldGroups[svc.Doc.Name]
		if g == nil {
			g = &group{name: svc.Doc.Name, members: make(map[string]*member)}
		}
		s.groups[g.name] = g
		s.setDocument(now, g, svc.Doc, oldBackends)
		s.setView(now, g, newView(svc.Doc.Version, svc.Buckets), svc.LostBuckets)
	}
	s.expireReceived(now)
}

// SetVerdicts replaces the verdicts only.
func (s *State) SetVerdicts(verdicts map[netip.AddrPort]health.Verdict) {
	s.verdicts = verdicts
}

func (s *State) setDocument(now time.Time, g *group, doc *document.Service, old map[netip.AddrPort]*backend) {
	g.version, g.flowIdle = doc.Version, doc.FlowIdle.Std()
	g.order = g.order[:0:0]
	for d := range doc.DataCentres {
		dc := &doc.DataCentres[d]
		for i := range dc.BackendServers {
			addr := dc.BackendServers[i].AddrPort()
			b := old[addr]
			if b == nil || b.group.name != g.name {
				b = &backend{addr: addr, key: xxhash.Sum64String(addr.String()), firstSeen: now}
			}
			b.group, b.dc, b.doc, b.shareLevel = g, dc.Name, dc.BackendServers[i], -1
			s.backends[addr] = b
			g.order = append(g.order, b)
		}
	}
	sort.Slice(g.order, func(i, j int) bool { return g.order[i].addr.Compare(g.order[j].addr) < 0 })
}

func (s *State) expireReceived(now time.Time) {
	for k, r := range s.received {
		if now.Sub(r.at) > receivedRetention {
			delete(s.received, k)
		}
	}
}

// Allowances returns the new flows that this host may admit to each backend
// server until the next call. They count as granted from now on.
func (s *State) Allowances(now time.Time) map[netip.AddrPort]Allowance {
	out := make(map[netip.AddrPort]Allowance, len(s.backends))
	for _, g := range s.groups {
		s.advance(now, g)
		for _, b := range g.order {
			out[b.addr] = s.allowance(now, b)
		}
	}
	return out
}

func (s *State) allowance(now time.Time, b *backend) Allowance {
	level, cold := s.level(now, b)
	a := Allowance{Cold: cold}
	if s.admits(b) {
		a.Weight = float64(level)
		a.NewFlows = max(b.share(s.self, level)+b.usableLoans(now, level)-b.occupied(now), 0)
	}
	b.unreported += b.granted
	b.granted = a.NewFlows
	return a
}

// admits reports whether a backend server may receive any new work.
func (s *State) admits(b *backend) bool {
	if b.doc.Draining || s.out[b.dc] || s.leaving[b.addr] {
		return false
	}
	v, known := s.verdicts[b.addr]
	return !known || v.Usable && !v.Draining && !v.Foreign
}

// sortedGroups returns the groups in a fixed order.
func (s *State) sortedGroups() []*group {
	list := make([]*group, 0, len(s.groups))
	for _, g := range s.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *group) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}
