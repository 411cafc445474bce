package daemon

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/admission"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// Intervals of the control loop for limits.
const (
	limitInterval = 100 * time.Millisecond
	// pollInterval is the interval at which due polls are started. It adds to
	// the time until a load report is read.
	pollInterval = 250 * time.Millisecond
	// evidenceInterval is long enough for a working backend server to reply to
	// a packet that was sent at the start of the interval.
	evidenceInterval = time.Second
)

// weightTolerance is the relative change of a weight up to which no snapshot is
// published. Without it, a cold start would publish one in every round.
const weightTolerance = 0.05

// backendLimit is what this host may admit to a backend server.
type backendLimit struct {
	budget  route.Budget
	traffic route.Traffic
	granted int // budget after the last refill, less the flows recorded as admitted
	charged int // flows that this host is charged with
	weight  float64
	cold    bool
}

// limits connects the health and admission packages to the control loop.
type limits struct {
	health         *health.State
	hosts          []document.Host // live hosts
	ranking        *health.Ranking // ranks hosts as observers and admitting hosts
	shares         *admission.State
	slots          *admission.Slots
	poller         *health.Poller
	backends       map[netip.AddrPort]*backendLimit // backend servers of the services that this host is concerned with
	noBudget       backendLimit                     // limit of all others: admits nothing
	verdicts       map[netip.AddrPort]health.Verdict
	owners         map[string][route.Buckets][2]uint16 // by service, as last passed to health and admission
	pollStarted    map[netip.AddrPort]time.Time        // start of the newest poll
	admitsCommands bool                                // set once this host has started serving

	lastRound, lastEvidence time.Time
}

func newLimits() *limits {
	return &limits{
		health:   health.New(health.Config{}),
		ranking:  health.NewRanking(),
		shares:   admission.New(admission.Config{}),
		slots:    admission.NewSlots(admission.SlotsConfig{}),
		poller:   health.NewPoller(health.PollerConfig{Wrap: loadBytes.wrap}),
		backends: map[netip.AddrPort]*backendLimit{},
		verdicts: map[netip.AddrPort]health.Verdict{},
		owners:   map[string][route.Buckets][2]uint16{},
	}
}

// setLimitInput passes documents, members and owners to the health and admission
// packages and refills the budgets. It passes only the services of which this
// host is an owner or observes a backend server.
func (c *control) setLimitInput(now time.Time, snap *route.Snapshot, ch changes) {
	l, before := c.limits, c.limits.hosts
	if ch.hosts {
		l.hosts = c.liveHosts()
		l.ranking.SetHosts(l.hosts)
	}
	out, leaving := c.outSet(), c.leavingBackends()
	var services []health.ServiceInput
	shares := admission.Input{OutDataCentres: out, Leaving: leaving}
	owners := make(map[string][route.Buckets][2]uint16, len(l.owners))
	for name, doc := range c.affectedServices(ch) {
		svc := snap.ByName.Get(name)
		if svc == nil || !c.isConcernedWith(snap, svc, doc) {
			continue
		}
		in := c.bucketInput(snap, svc, doc)
		owners[name] = svc.Owners()
		services = append(services, health.ServiceInput{Doc: doc, Group: sortedKeys(in.Buckets)})
		if _, member := in.Buckets[snap.Self]; member {
			shares.Services = append(shares.Services, in)
		}
	}
	l.owners = owners
	l.setBackends(services)
	l.health.SetServices(now, snap.Self, health.Input{Services: services, Hosts: l.hosts, Ranking: l.ranking, OutDataCentres: out, Leaving: leaving})
	if ch.hosts {
		for _, m := range c.members.Members() {
			l.health.SetBootID(m.Host.ID, m.Boot)
		}
	}
	l.verdicts = l.health.Verdicts(now)
	shares.Verdicts = l.verdicts
	l.shares.SetServices(now, snap.Self, shares)
	c.setSlotInput(now, before, out, leaving)
	c.recordAdmitted(now)
	c.refill(now)
}

// affectedServices returns the documents of the services that may concern this
// host after the changes: those that did before and the changed ones.
func (c *control) affectedServices(ch changes) map[string]*document.Service {
	all := c.config.Current().Services
	if ch.hosts || ch.all {
		return all
	}
	docs := make(map[string]*document.Service, len(ch.services))
	for name := range ch.services {
		if doc := all[name]; doc != nil {
			docs[name] = doc
		}
	}
	return docs
}

// isConcernedWith reports whether this host owns buckets of a service or
// observes one of its backend servers, or is leaving and is still charged with
// flows of the service.
func (c *control) isConcernedWith(snap *route.Snapshot, svc *route.Service, doc *document.Service) bool {
	if svc.InGroup(snap.SelfIndex) {
		return true
	}
	if i := snap.SelfIndex; i != route.NoHost && snap.Hosts[i].Leaving && slices.Contains(c.leavingHosts(snap, svc), i) {
		return true
	}
	for d := range doc.DataCentres {
		dc := &doc.DataCentres[d]
		if !c.mayObserve(dc.Name) {
			continue
		}
		for i := range dc.BackendServers {
			if slices.Contains(c.limits.ranking.Observers(dc.BackendServers[i].AddrPort(), dc.Name), snap.Self) {
				return true
			}
		}
	}
	return false
}

// mayObserve reports whether this host may be an observer in a data centre.
func (c *control) mayObserve(dc string) bool {
	return dc == c.d.settings.DataCentre || !c.limits.ranking.HasHosts(dc)
}

// setBackends keeps limits for the backend servers of services, and sets the
// budgets of all others to 0, since snapshots in use may still refer to them.
func (l *limits) setBackends(services []health.ServiceInput) {
	old := l.backends
	l.backends = make(map[netip.AddrPort]*backendLimit, len(old))
	for _, in := range services {
		for d := range in.Doc.DataCentres {
			for i := range in.Doc.DataCentres[d].BackendServers {
				addr := in.Doc.DataCentres[d].BackendServers[i].AddrPort()
				if l.backends[addr] != nil {
					continue // conflicting documents name it twice
				}
				b := old[addr]
				if b == nil {
					b = &backendLimit{}
				}
				l.backends[addr] = b
				delete(old, addr)
			}
		}
	}
	for _, b := range old {
		b.budget.Set(0)
	}
}

// bucketInput counts the buckets of each host of a service's owner group.
func (c *control) bucketInput(snap *route.Snapshot, svc *route.Service, doc *document.Service) admission.ServiceInput {
	in := admission.ServiceInput{Doc: doc, Buckets: map[string]int{}}
	previous, known := c.limits.owners[svc.Name]
	for b, o := range svc.Owners() {
		for i, host := range o {
			if id := hostID(snap, host); id != "" {
				in.Buckets[id] += 1 - i
			}
		}
		if known && snap.SelfIndex != route.NoHost && previous[b][0] == snap.SelfIndex && o[0] != snap.SelfIndex {
			in.LostBuckets++
		}
	}
	// A leaving host still replies to reports and is charged with its flows.
	for _, i := range c.leavingHosts(snap, svc) {
		in.Buckets[snap.Hosts[i].ID] += 0
	}
	return in
}

// leavingHosts returns the leaving hosts that may be charged with flows of a service.
func (c *control) leavingHosts(snap *route.Snapshot, svc *route.Service) []uint16 {
	return svc.Leaving(snap.Hosts, c.d.settings.Limits.GroupSize)
}

// updateLimits collects the evidence from traffic, updates verdicts, sends
// reports and refills the budgets.
func (c *control) updateLimits(now time.Time) {
	l := c.limits
	if now.Sub(l.lastRound) < limitInterval {
		return
	}
	l.lastRound = now
	if now.Sub(l.lastEvidence) >= evidenceInterval {
		l.lastEvidence = now
		c.collectEvidence(now)
	}
	verdicts := l.health.Verdicts(now)
	if verdictsChanged(l.verdicts, verdicts) {
		c.dirty = true
	}
	l.verdicts = verdicts
	l.shares.SetVerdicts(verdicts)
	c.recordAdmitted(now)
	c.sendReports(now)
	c.refill(now)
	c.querySlots(now)
}

// recordAdmitted reports to the shares how many flows were admitted since the
// last call.
func (c *control) recordAdmitted(now time.Time) {
	counts := map[netip.AddrPort]int{}
	for addr, b := range c.limits.backends {
		left := b.budget.Left()
		counts[addr] = b.granted - left
		b.granted = left
	}
	c.limits.shares.RecordAdmitted(now, counts)
}

// refill updates the budgets of the traffic goroutines, and the weights for the
// next snapshot.
func (c *control) refill(now time.Time) {
	allowances := c.limits.shares.Allowances(now)
	for addr, b := range c.limits.backends {
		a := allowances[addr]
		// Flows may have been admitted since granted was read; they stay
		// subtracted from the budget.
		b.budget.Add(a.NewFlows - b.granted)
		b.granted = a.NewFlows
		same := (a.Weight > 0) == (b.weight > 0) && math.Abs(a.Weight-b.weight) <= weightTolerance*b.weight
		if !same || a.Cold != b.cold {
			b.weight, b.cold, c.dirty = a.Weight, a.Cold, true
		}
	}
}

// collectEvidence passes the counts of replies, resets and unanswered openings
// of each backend server to the health package.
func (c *control) collectEvidence(now time.Time) {
	for addr, b := range c.limits.backends {
		e := health.Evidence{
			Replies: int(b.traffic.Replies.Swap(0)),
			Resets:  int(b.traffic.Resets.Swap(0)),
		}
		if opened := int(b.traffic.Opened.Swap(0)); e.Replies == 0 && e.Resets == 0 {
			e.Unanswered = opened
		}
		if e != (health.Evidence{}) {
			c.limits.health.Evidence(now, addr, e)
		}
	}
}

// charged records the counts of open flows that a sweep returned.
func (c *control) charged(now time.Time, counts map[netip.AddrPort]int) {
	for addr, b := range c.limits.backends {
		b.charged = counts[addr]
	}
	// The budgets are settled first: an outstanding budget counts as admitted,
	// and would stay charged when its bucket moves.
	c.recordAdmitted(now)
	c.limits.shares.RecordCharged(now, counts)
	c.refill(now)
}

// verdictsChanged reports whether verdicts differ in a field that snapshots
// depend on.
func verdictsChanged(a, b map[netip.AddrPort]health.Verdict) bool {
	if len(a) != len(b) {
		return true
	}
	for addr, v := range b {
		old, ok := a[addr]
		if !ok || old.Usable != v.Usable || old.Draining != v.Draining || old.Foreign != v.Foreign ||
			old.Instance != v.Instance || !old.StartedBy.Equal(v.StartedBy) || !old.ColdSince.Equal(v.ColdSince) {
			return true
		}
	}
	return false
}

// liveHosts returns this host and the members that are live and not leaving.
func (c *control) liveHosts() []document.Host {
	var hosts []document.Host
	out := c.dataCentresOut()
	for _, m := range c.members.Members() {
		self := m.Host.ID == c.d.settings.HostID
		live := self && !c.leaving || !self && isLive(m.Status) && m.Confirmed() && m.Host.State != document.HostLeaving
		if live && !slices.Contains(out, m.Host.DataCentre) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

func (c *control) outSet() map[string]bool {
	out := map[string]bool{}
	for _, dc := range c.dataCentresOut() {
		out[dc] = true
	}
	return out
}

func (c *control) leavingBackends() map[netip.AddrPort]bool {
	leaving := map[netip.AddrPort]bool{}
	if hosts := c.config.Current().Hosts; hosts != nil {
		for _, addr := range hosts.LeavingBackends {
			leaving[addr] = true
		}
	}
	return leaving
}

func sortedKeys(m map[string]int) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
