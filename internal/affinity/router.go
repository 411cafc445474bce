package affinity

import (
	"hash/maphash"
	"maps"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/overload"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
	"github.com/nutmeglatch/nutmeglatch/internal/restart"
	"github.com/nutmeglatch/nutmeglatch/internal/withdrawal"
	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

const (
	// retransmitWindow is how long after its first transmission the retransmission of data is evidence that it was not
	// answered. Callers give up after that time.
	retransmitWindow = 2 * time.Second
	// HostPauseThreshold is the time without any scheduled work above which this host itself was paused, so that missing
	// answers and messages are no evidence against others.
	HostPauseThreshold = 300 * time.Millisecond
	// BacklogTime is how long after a pause of this host packets may have waited in the socket's buffer since before its
	// end. Their arrival says nothing about the present.
	BacklogTime = 250 * time.Millisecond
)

// Config holds the limits of a Router.
type Config struct {
	MaxFlows    int           // maximum number of flows tracked
	IdleTimeout time.Duration // time without packets after which a flow is removed, unless the configuration sets one
	Admission   overload.Config
}

// Router decides what to do with callers' packets. It does no I/O and must be used by one goroutine only.
type Router struct {
	config          Config
	fleet           Fleet
	view            *registry.View
	routes          map[netip.AddrPort]*route
	services        map[string]*service
	servers         map[string]*server
	removed         map[string]*server // the subset of servers that has left the view
	byToken         map[uint32]*server
	tokenUsers      map[uint32]int           // number of servers with a token, including removed ones
	unknownTokens   map[uint32]time.Duration // tokens that are in no view, and when they were first seen
	unknownFlows    map[FlowKey]unknownFlow  // flows with such tokens
	table           flowTable
	admission       *overload.State
	work            work.Tracker
	openings        openings
	healthChanges   healthChanges
	checks          []Instance // backend servers that are to be checked
	recentAnswerers recentAnswerers
	seed            maphash.Seed
	silences        map[string]*dataCentreSilence // by data centre
	reachableAt     map[string]time.Duration      // when a data centre was last known to be unreachable
	turns           uint64                        // number of choices so far, above all initial turns of servers
	advancedAt      time.Duration                 // last call of advance
	evidenceSince   time.Duration                 // packets that were handled earlier are no evidence, because this host was paused
	lostServers     []*server                     // servers whose flows are to be reset
	resets          []FlowReset
	loads           []Load
	loadsLimiter    scanLimiter
	// availability is the last result of Availability, which scanned availabilityScan entries.
	availability        []withdrawal.Place
	availabilityScan    int
	availabilityLimiter scanLimiter
	workLimiter         scanLimiter
	// lastPreference is the preference of the backend server that was chosen last.
	lastPreference Preference
}

// NewRouter returns a Router that rejects all flows until it gets a view.
func NewRouter(c Config, self Host) *Router {
	admission := overload.New(c.Admission)
	return &Router{
		config:        c,
		fleet:         Fleet{Self: self},
		view:          &registry.View{},
		routes:        map[netip.AddrPort]*route{},
		servers:       map[string]*server{},
		removed:       map[string]*server{},
		byToken:       map[uint32]*server{},
		tokenUsers:    map[uint32]int{},
		unknownTokens: map[uint32]time.Duration{},
		unknownFlows:  map[FlowKey]unknownFlow{},
		silences:      map[string]*dataCentreSilence{},
		reachableAt:   map[string]time.Duration{},
		table:         flowTable{flows: map[FlowKey]*flow{}, limit: c.MaxFlows, idle: c.IdleTimeout, admission: admission},
		admission:     admission,
		openings:      openings{byCaller: map[netip.Addr]opening{}},
		seed:          maphash.MakeSeed(),
		turns:         firstTurn,
	}
}

// SetFleet replaces the state of the other hosts and of the store.
func (r *Router) SetFleet(f Fleet) {
	r.setShared(r.fleet.Work, f.Work)
	r.updateReachability(r.fleet.Unreachable, f.Unreachable)
	r.fleet = f
	for _, sv := range r.services {
		for _, p := range sv.pools {
			p.setByWork(r.choosesByWork(sv))
		}
	}
}

// Decide returns what to do with a packet of a caller.
func (r *Router) Decide(p *Packet, now time.Duration) Verdict {
	r.advance(now)
	rt := r.routes[p.Service]
	switch {
	case rt != nil && !rt.present:
		return rejectRemoved(p)
	case !p.Opening:
		return r.forwardLater(p, now)
	case rt == nil:
		return Verdict{Action: Reject, Reason: UnknownRoute}
	}
	return r.open(p, rt, now)
}

// rejectRemoved returns the verdict for a packet of a route that was removed during the lifetime of this process.
func rejectRemoved(p *Packet) Verdict {
	if p.Reset {
		return Verdict{Action: Drop, Reason: CallerReset}
	}
	return Verdict{Action: Reject, Reason: RemovedRoute}
}

// advance moves the clock. It discards evidence that a pause of this host invalidates, and marks servers that did not
// answer opening packets in time as suspect.
func (r *Router) advance(now time.Duration) {
	if r.advancedAt != 0 && now-r.advancedAt > HostPauseThreshold {
		r.evidenceSince = now + BacklogTime
		r.openings.reset()
		r.admission.DiscardEvidence()
	}
	r.advancedAt = now
	for _, s := range r.openings.expire(now) {
		r.requestCheck(s, now)
	}
}

// open chooses a backend server for an opening packet. A retransmission means that the server chosen before has not
// answered.
func (r *Router) open(p *Packet, rt *route, now time.Duration) Verdict {
	key := p.Key()
	f := r.table.flows[key]
	if f != nil && f.opening == p.Seq && !f.open && now-f.openedAt < openingRetention {
		return r.retryOpening(p, f, rt, now)
	}
	if f != nil {
		r.table.remove(key, f, now)
	}
	refused := r.openings.restarted(key, now)
	d := r.admit(rt, key, refused, now)
	if d.Outcome != overload.Admit {
		return notAdmitted(d)
	}
	s := r.choose(rt, key, now, failed{refused})
	if s == nil && refused != nil {
		s = r.choose(rt, key, now, failed{})
	}
	if s == nil {
		return Verdict{Action: Reject, Reason: NoBackendServer, Service: rt.firstService()}
	}
	s.opened(now)
	f = &flow{server: s, opening: p.Seq, next: p.Seq + 1, sentAt: now, openedAt: now, lastAt: now, waited: d.Waited > 0}
	r.table.add(key, f, rt, now)
	if now >= r.evidenceSince {
		r.openings.add(opening{key: key, flow: f, server: s, at: now})
	}
	reason := NewFlow
	if p.Copy > 0 {
		reason = OpeningCopy
		f.work.OpeningRepeated()
	}
	v := r.forwardNew(s, reason)
	v.Admission = d
	return v
}

// forwardNew returns the verdict that forwards an opening packet to the backend server just chosen.
func (r *Router) forwardNew(s *server, reason Reason) Verdict {
	v := forward(s, reason)
	v.Preference, v.Flows, v.ExpectedWork = r.lastPreference, s.flows, s.expected
	return v
}

// retryOpening chooses another backend server for a retransmitted opening packet, if there is one.
func (r *Router) retryOpening(p *Packet, f *flow, rt *route, now time.Duration) Verdict {
	f.lastAt = now
	f.work.OpeningRepeated()
	if f.waited && now-f.sentAt < minOpeningWait {
		return forward(f.server, OpeningCopy) // sent before the flow was forwarded
	}
	if f.sentAt >= max(f.server.provenAt(), r.evidenceSince) {
		f.server.suspect(OpeningRepeated, now)
		r.requestCheck(f.server, now)
	}
	s := r.choose(rt, p.Key(), now, failed{f.server, f.previous})
	if s == nil {
		return forward(f.server, OpeningCopy)
	}
	s.opened(now)
	f.previous = f.server
	f.reassign(s)
	f.sentAt = now
	return r.forwardNew(s, OpeningCopy)
}

// forwardLater forwards a packet other than an opening one to the backend server that its token identifies, regardless of
// its present route: the flow was opened under an earlier configuration, or under one that this host has not received yet,
// and stays on its server. A forged token leads to a backend server that has no such flow and refuses the packet.
func (r *Router) forwardLater(p *Packet, now time.Duration) Verdict {
	key := p.Key()
	f := r.table.flows[key]
	s, verdict := r.resolveServer(p, f, now)
	if s == nil {
		return verdict
	}
	if r.canResetFlows(s) {
		return r.verdictOfGone(key, f, s, p, now)
	}
	f = r.trackFlow(key, f, s, p, now)
	latency := f.openingLatency(now)
	seen := r.observe(f, p, now)
	if s.silentUntil > now && !r.mayBeRunning(key, f) {
		return r.rejectLost(key, f, s, BackendServerSilent, now)
	}
	if r.cutOff(s, seen, now) && !r.mayBeRunning(key, f) {
		return r.rejectLost(key, f, s, DataCentreCutOff, now)
	}
	if p.Closing || p.Reset {
		f.closed = true
	}
	v := forward(s, KnownFlow)
	v.OpeningLatency, v.PacketEvidence = latency, seen
	return v
}

// rejectLost removes a flow whose backend server is lost and returns the verdict that resets it.
func (r *Router) rejectLost(key FlowKey, f *flow, s *server, reason Reason, now time.Duration) Verdict {
	if f != nil && r.table.flows[key] == f {
		r.table.remove(key, f, now)
	}
	return Verdict{Action: Reject, Reason: reason, ServerID: s.ID}
}

// trackFlow returns the state of a flow. It creates the state if f is nil, or if f is another flow of the same caller's port:
// an open flow stays on its server. It moves a flow that is being opened to s, the server of its token.
func (r *Router) trackFlow(key FlowKey, f *flow, s *server, p *Packet, now time.Duration) *flow {
	if f != nil && f.open && f.server != s {
		r.table.remove(key, f, now)
		f = nil
	}
	if f == nil {
		f = &flow{server: s, next: p.Seq, ack: p.Ack, open: true, openedAt: now, sentAt: neverSent}
		r.table.add(key, f, r.routes[key.Service], now)
	}
	if f.server != s {
		f.reassign(s)
	}
	f.lastAt = now
	return f
}

// observe updates the health of the flow's backend server from a packet. A new acknowledgement number proves an answer.
// Retransmitted data may mean that the answer is missing, which a check determines.
func (r *Router) observe(f *flow, p *Packet, now time.Duration) PacketEvidence {
	s, seen := f.server, PacketEvidence{}
	if latency := f.openingLatency(now); latency > 0 && f.sentAt >= r.evidenceSince {
		r.openings.answered(latency)
		f.work.Opened(latency)
	}
	end := p.Seq + uint32(p.Length)
	newData := p.Length > 0 && newer(end, f.next)
	f.work.Observe(work.Packet{
		Acknowledges: f.open && newer(p.Ack, f.ack), NewData: newData, Retransmits: p.Length > 0 && !newData,
		Closing: p.Closing || p.Reset, ReliableFrom: r.evidenceSince,
	}, now)
	if !f.open && p.Token != 0 && now >= r.evidenceSince {
		r.observeProcess(s, restart.Observation{Kind: restart.Answered, SentAt: f.sentAt, At: now}, PacketAcknowledged, now)
	}
	if !f.open || newer(p.Ack, f.ack) {
		f.open, f.ack, f.ackAt = true, p.Ack, now
		r.recordAnswer(s, now)
		r.silenceOf(s.DataCentre).answered(now)
		seen.Answered = true
	}
	if p.Length == 0 {
		return seen
	}
	if newData {
		seen.FurtherRequest = f.sentAt < f.ackAt && f.next != f.opening+1
		f.next = end
		f.sentAt = now
		return seen
	}
	if end == f.next && f.sentAt != neverSent {
		seen.Repeated = true
		r.silenceOf(s.DataCentre).repeated(p.Key(), f.sentAt, now)
	}
	if end == f.next && f.sentAt >= max(s.provenAt(), r.evidenceSince, now-retransmitWindow) {
		r.requestCheck(s, now)
	}
	return seen
}

// scheduleResets schedules the reset of all tracked flows of a lost backend server.
func (r *Router) scheduleResets(s *server, reason Reason) {
	s.resetsDue, s.resetReason = true, reason
	r.lostServers = append(r.lostServers, s)
}

// mayBeRunning reports whether a silent backend server may still answer a request of a flow that its caller must not repeat.
// The server may only be paused; a reset would tell the caller nothing and make the answer useless. A server that refuses
// connections has ended.
func (r *Router) mayBeRunning(key FlowKey, f *flow) bool {
	rt := r.routes[key.Service]
	return (rt == nil || !rt.idempotent) && f.server.healthCause != ConnectionRefused && f.mayAwaitAnswer()
}

// collectResets collects the resets of all lost servers in one pass over the flows, however many servers are lost.
func (r *Router) collectResets() {
	if len(r.lostServers) == 0 {
		return
	}
	for key, f := range r.table.flows {
		s := f.server
		if !s.resetsDue || f.closed || !f.open || s.resetReason == BackendServerSilent && r.mayBeRunning(key, f) ||
			s.resetReason == BackendServerGone && r.openedSinceConfirmation(f) {
			continue
		}
		r.resets = append(r.resets, FlowReset{Key: key, Seq: f.ack, Reason: s.resetReason, ServerID: s.ID})
		r.table.remove(key, f, r.advancedAt)
	}
	for _, s := range r.lostServers {
		s.resetsDue = false
	}
	r.lostServers = r.lostServers[:0]
}

// TakeResets returns the resets that are due and discards them. The slice is valid until the next call of a Router method.
func (r *Router) TakeResets() []FlowReset {
	r.collectResets()
	resets := r.resets
	r.resets = r.resets[:0]
	return resets
}

// Sweep removes expired state and schedules the resets of flows whose backend servers are gone.
func (r *Router) Sweep(now time.Duration) {
	r.advance(now)
	r.table.sweep(now)
	r.updateWork(now)
	for _, s := range r.removed {
		if s.flows > 0 && r.canResetFlows(s) && s.resetAsOf != r.fleet.ConfirmedAt {
			s.resetAsOf = r.fleet.ConfirmedAt
			r.scheduleResets(s, BackendServerGone)
		}
		if r.fleet.confirmedSince(s.removedAt) > removedServerRetention {
			r.dropServer(s)
		}
	}
	maps.DeleteFunc(r.unknownFlows, func(_ FlowKey, f unknownFlow) bool { return now-f.lastAt > unknownFlowRetention })
	for token, first := range r.unknownTokens {
		if r.fleet.confirmedSince(first) > removedServerRetention {
			delete(r.unknownTokens, token)
		}
	}
}

// forward returns the verdict that forwards a packet to a server.
func forward(s *server, reason Reason) Verdict {
	return Verdict{
		Action: Forward, Reason: reason, Token: s.token, Identity: s.Identity, Addr: s.Addr, ServerID: s.ID,
		Service: s.Service, DataCentre: s.DataCentre,
	}
}
