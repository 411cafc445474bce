package affinity

import (
	"hash/maphash"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

const (
	// unknownTokenPatience is how long a token that no view names may be that of a backend server just registered, or of one
	// whose entry the store has lost for a while. It ends only when the store has been read since.
	unknownTokenPatience = 2500 * time.Millisecond
	// maxUnknownTokens bounds what forged tokens can make a host remember.
	maxUnknownTokens = 1024
	// repeatsWithin is how long after a packet its repeats prove that it was not answered; callers give up after it.
	repeatsWithin = 2 * time.Second
	// pauseLimit is a gap between two steps after which the host's own pause, and not a backend server, explains
	// missing answers.
	pauseLimit = 300 * time.Millisecond
)

// Config holds the limits of a Router.
type Config struct {
	MaxFlows    int           // flows remembered
	IdleTimeout time.Duration // after which a flow is forgotten when the configuration states none
}

// Router decides about callers' packets. It does no I/O and is used by one goroutine.
type Router struct {
	config    Config
	fleet     Fleet
	view      *registry.View
	routes    map[netip.AddrPort]*route
	services  map[string]*service
	servers   map[string]*server
	gone      map[string]*server // of the servers, those that left the view
	byToken   map[uint32]*server
	holders   map[uint32]int           // number of servers with a token, those that left included
	unknown   map[uint32]time.Duration // tokens that no view named, and when they were first seen
	table     flowTable
	openings  openings
	notices   notices
	checks    []CheckRequest
	signs     [2]*server // that gave the last signs of life
	seed      maphash.Seed
	turn      uint32
	stepAt    time.Duration
	resumedAt time.Duration // end of the last pause of this host; earlier packets prove nothing
	lost      []*server     // whose flows are to be reset
	orders    []FlowReset
	loads     []Load
	loadsPace pace
	// lastChoice is why the backend server that was chosen last was taken.
	lastChoice Preference
}

// NewRouter returns a Router that rejects all flows until it gets a view.
func NewRouter(c Config, self Host) *Router {
	return &Router{
		config:   c,
		fleet:    Fleet{Self: self},
		view:     &registry.View{},
		routes:   map[netip.AddrPort]*route{},
		servers:  map[string]*server{},
		gone:     map[string]*server{},
		byToken:  map[uint32]*server{},
		holders:  map[uint32]int{},
		unknown:  map[uint32]time.Duration{},
		table:    flowTable{flows: map[FlowKey]*flow{}, limit: c.MaxFlows, idle: c.IdleTimeout},
		openings: openings{byCaller: map[netip.Addr]opening{}},
		seed:     maphash.MakeSeed(),
	}
}

// SetFleet tells what is known of the other hosts.
func (r *Router) SetFleet(f Fleet) { r.fleet = f }

// Decide returns what to do with a packet of a caller.
func (r *Router) Decide(p *Packet, now time.Duration) Verdict {
	r.step(now)
	rt := r.routes[p.Service]
	switch {
	case rt != nil && !rt.present:
		return rejectRemoved(p)
	case !p.Opening:
		return r.carry(p, now)
	case rt == nil:
		return Verdict{Action: Reject, Reason: UnknownRoute}
	}
	return r.open(p, rt, now)
}

// rejectRemoved ends the flows of a route that was removed in the life of this process.
func rejectRemoved(p *Packet) Verdict {
	if p.Reset {
		return Verdict{Action: Drop, Reason: CallerReset}
	}
	return Verdict{Action: Reject, Reason: RemovedRoute}
}

// step clears evidence that a pause of this host makes worthless.
func (r *Router) step(now time.Duration) {
	if r.stepAt != 0 && now-r.stepAt > pauseLimit {
		r.resumedAt = now
		r.openings.forget()
	}
	r.stepAt = now
	for _, s := range r.openings.expire(now) {
		r.wantCheck(s, now)
	}
}

// open chooses a backend server for an opening packet. A copy means that the earlier choice has not answered.
func (r *Router) open(p *Packet, rt *route, now time.Duration) Verdict {
	key := p.Key()
	f := r.table.flows[key]
	if f != nil && f.opening == p.Seq && !f.open && now-f.openedAt < openingMemory {
		return r.reopen(p, f, rt, now)
	}
	if f != nil {
		r.table.remove(key, f)
	}
	refused := r.openings.restarted(key, now)
	if refused != nil {
		r.wantCheck(refused, now)
	}
	s := r.choose(rt, key, now, failed{refused})
	if s == nil && refused != nil {
		s = r.choose(rt, key, now, failed{})
	}
	if s == nil {
		return Verdict{Action: Reject, Reason: NoBackendServer}
	}
	s.opened(now)
	f = &flow{server: s, opening: p.Seq, next: p.Seq + 1, sentAt: now, openedAt: now, lastAt: now}
	r.table.add(key, f)
	r.openings.add(opening{key: key, flow: f, server: s, at: now})
	reason := NewFlow
	if p.Copy > 0 {
		reason = OpeningCopy
	}
	return r.forwardNew(s, reason)
}

// forwardNew sends an opening packet to the backend server that was just chosen.
func (r *Router) forwardNew(s *server, reason Reason) Verdict {
	v := forward(s, reason)
	v.Preference, v.Flows = r.lastChoice, s.flows
	return v
}

func (r *Router) reopen(p *Packet, f *flow, rt *route, now time.Duration) Verdict {
	f.lastAt = now
	if f.sentAt >= max(f.server.lastSign, r.resumedAt) {
		f.server.suspect(OpeningRepeated, now)
		r.wantCheck(f.server, now)
	}
	s := r.choose(rt, p.Key(), now, failed{f.server, f.earlier})
	if s == nil {
		return forward(f.server, OpeningCopy)
	}
	s.opened(now)
	f.earlier = f.server
	f.move(s)
	f.sentAt = now
	return r.forwardNew(s, OpeningCopy)
}

// carry sends a later packet where its token says, whatever its route says now: the flow was opened under an
// earlier configuration, or under one that this host has not seen yet, and stays where it is. A token that its caller
// made up reaches a backend server that holds no such flow and refuses it.
func (r *Router) carry(p *Packet, now time.Duration) Verdict {
	key := p.Key()
	f := r.table.flows[key]
	s, verdict := r.locate(p, f, now)
	if s == nil {
		return verdict
	}
	if r.ended(s) {
		return r.giveUp(key, f, s, BackendServerGone)
	}
	f = r.remember(key, f, s, p, now)
	took := f.openingTime(now)
	r.observe(f, p, now)
	if s.silentUntil > now {
		return r.giveUp(key, f, s, BackendServerSilent)
	}
	if p.Closing || p.Reset {
		f.closed = true
	}
	v := forward(s, KnownFlow)
	v.OpeningLatency = took
	return v
}

// giveUp ends a flow whose backend server is lost.
func (r *Router) giveUp(key FlowKey, f *flow, s *server, reason Reason) Verdict {
	if f != nil && r.table.flows[key] == f {
		r.table.remove(key, f)
	}
	return Verdict{Action: Reject, Reason: reason, ServerID: s.ID}
}

// locate returns the backend server of a later packet, or the verdict when there is none.
func (r *Router) locate(p *Packet, f *flow, now time.Duration) (*server, Verdict) {
	if p.Token == 0 {
		if f != nil {
			return f.server, Verdict{}
		}
		return nil, Verdict{Action: Drop, Reason: NoToken}
	}
	if s := r.byToken[p.Token]; s != nil {
		return s, Verdict{}
	}
	first, seen := r.unknown[p.Token]
	switch {
	case !seen && len(r.unknown) < maxUnknownTokens:
		r.unknown[p.Token] = now
	case seen && r.fleet.confirmedSince(first) >= unknownTokenPatience:
		return nil, Verdict{Action: Reject, Reason: TokenNeverListed}
	}
	return nil, Verdict{Action: Drop, Reason: UnknownToken}
}

// remember returns the entry of a flow, which it makes or corrects by the token.
func (r *Router) remember(key FlowKey, f *flow, s *server, p *Packet, now time.Duration) *flow {
	if f == nil {
		f = &flow{server: s, next: p.Seq, ack: p.Ack, open: true, openedAt: now, sentAt: neverSent}
		r.table.add(key, f)
	}
	if f.server != s {
		f.move(s)
	}
	f.lastAt = now
	return f
}

// observe takes what a packet proves about the flow's backend server: an acknowledgement that moved proves an answer.
// Data sent twice may mean a missing one, which a check finds out.
func (r *Router) observe(f *flow, p *Packet, now time.Duration) {
	s := f.server
	if took := f.openingTime(now); took > 0 {
		r.openings.answered(took)
	}
	if !f.open || newer(p.Ack, f.ack) {
		f.open, f.ack = true, p.Ack
		s.answered(now)
		r.noteSign(s)
	}
	if p.Length == 0 {
		return
	}
	end := p.Seq + uint32(p.Length)
	if newer(end, f.next) {
		f.next = end
		f.sentAt = now
		return
	}
	if end == f.next && f.sentAt >= max(s.lastSign, r.resumedAt, now-repeatsWithin) {
		r.wantCheck(s, now)
	}
}

// orderResets asks for the reset of all remembered flows of a lost backend server.
func (r *Router) orderResets(s *server, reason Reason) {
	s.resetsDue, s.resetReason = true, reason
	r.lost = append(r.lost, s)
}

// collectOrders looks at all flows once, however many servers are lost.
func (r *Router) collectOrders() {
	if len(r.lost) == 0 {
		return
	}
	for key, f := range r.table.flows {
		s := f.server
		if !s.resetsDue || f.closed || !f.open {
			continue
		}
		r.orders = append(r.orders, FlowReset{Key: key, Seq: f.ack, Reason: s.resetReason, ServerID: s.ID})
		r.table.remove(key, f)
	}
	for _, s := range r.lost {
		s.resetsDue = false
	}
	r.lost = r.lost[:0]
}

// TakeResets returns the resets that are due, and forgets them. The slice is valid until the next call of the Router.
func (r *Router) TakeResets() []FlowReset {
	r.collectOrders()
	orders := r.orders
	r.orders = r.orders[:0]
	return orders
}

// Sweep forgets what has expired and ends the flows of backend servers that went.
func (r *Router) Sweep(now time.Duration) {
	r.step(now)
	r.table.sweep(now)
	for _, s := range r.gone {
		if s.flows > 0 && r.ended(s) {
			r.orderResets(s, BackendServerGone)
		}
		if r.fleet.confirmedSince(s.goneAt) > goneRetention {
			r.forget(s)
		}
	}
	for token, first := range r.unknown {
		if r.fleet.confirmedSince(first) > goneRetention {
			delete(r.unknown, token)
		}
	}
}

// ended reports whether the flows of a server that left the view can be reset.
func (r *Router) ended(s *server) bool {
	return !s.present && (s.drained || r.fleet.confirmedSince(s.goneAt) >= goneSettled)
}

// forget drops a server that has been gone for long.
func (r *Router) forget(s *server) {
	delete(r.gone, s.ID)
	delete(r.servers, s.ID)
	if r.holders[s.token]--; r.holders[s.token] == 0 {
		delete(r.holders, s.token)
	}
	if r.byToken[s.token] == s {
		delete(r.byToken, s.token)
	}
}

func forward(s *server, reason Reason) Verdict {
	return Verdict{Action: Forward, Reason: reason, Token: s.token, Identity: s.Identity, Addr: s.Addr, ServerID: s.ID}
}
