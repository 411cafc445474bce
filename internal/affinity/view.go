package affinity

import (
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/overload"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
	"github.com/nutmeglatch/nutmeglatch/internal/restart"
	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

// firstTurn is the turn of the first choice.
const firstTurn = 1 << 32

// initialTurn returns the turn of a server that has never been chosen. It differs between hosts, so that those that start
// together do not all send their first flows to the same servers.
func (r *Router) initialTurn(id string) uint64 { return rendezvous(id, r.fleet.Self.Addr) % firstTurn }

// routeRetention is how long a removed route is kept, so that its flows can be reset.
const routeRetention = time.Minute

// target is a service that a route sends new flows to.
type target struct {
	service *service
	weight  uint32
}

// service holds the backend servers of a service.
type service struct {
	name       string
	coldPeriod time.Duration // how long a backend server is cold after its start
	coldRate   float64       // new flows per second that a cold backend server can bear
	pools      []*pool
	// hasTarget states that a route to the service has a target latency, so that expected work counts.
	hasTarget bool
}

// numServers returns the number of backend servers of the service.
func (sv *service) numServers() int {
	n := 0
	for _, p := range sv.pools {
		n += len(p.servers)
	}
	return n
}

// keepRecent takes over which servers have answered recently from the service under an earlier configuration, if any.
func (sv *service) keepRecent(before *service) {
	if before == nil {
		return
	}
	for _, p := range sv.pools {
		for _, old := range before.pools {
			if old.dataCentre == p.dataCentre && old.region == p.region {
				p.recent = old.recent
			}
		}
	}
}

// add adds a server to the pool that it belongs to. A new pool takes expected work into account if byWork is set.
func (sv *service) add(s *server, byWork bool) {
	for _, p := range sv.pools {
		if p.dataCentre == s.DataCentre && p.region == s.Region {
			p.add(s)
			return
		}
	}
	p := &pool{dataCentre: s.DataCentre, region: s.Region, digest: s.place, byWork: byWork}
	sv.pools = append(sv.pools, p)
	p.add(s)
}

// firstService returns the name of the first service of the route, or an empty name.
func (rt *route) firstService() string {
	if len(rt.targets) == 0 {
		return ""
	}
	return rt.targets[0].service.name
}

// route is a published route whose services are resolved.
type route struct {
	name        string
	targets     []target
	totalWeight uint64
	regions     []string      // regions that new flows may go to; empty: all
	idempotent  bool          // callers may repeat its requests
	present     bool          // part of the configuration in force
	seen        time.Duration // last time at which a configuration contained it
	work        work.Route
}

// SetView applies a snapshot of the registry or, if the view is partial, the changes since the last one.
func (r *Router) SetView(v *registry.View, now time.Duration) {
	r.view = v
	if v.Partial {
		r.applyPartial(v, now)
	} else {
		r.setServers(v, now)
		if v.Config != nil {
			r.setConfig(v.Config, now)
		}
	}
	for token := range r.unknownTokens {
		if r.byToken[token] != nil {
			delete(r.unknownTokens, token)
		}
	}
}

// applyPartial applies a partial view.
func (r *Router) applyPartial(v *registry.View, now time.Duration) {
	for _, id := range v.Removed {
		if s := r.servers[id]; s != nil {
			r.removeServer(s, now)
		}
	}
	for i := range v.Servers {
		entry := &v.Servers[i]
		s := r.update(entry, r.services[entry.Service] != nil, now)
		delete(r.removed, s.ID)
		r.indexToken(s)
		if sv := r.services[s.Service]; sv != nil && s.pool == nil {
			sv.add(s, r.choosesByWork(sv))
		}
	}
}

// removeServer removes a server from its service because its entry left the registry. The server itself is kept for its
// flows.
func (r *Router) removeServer(s *server, now time.Duration) {
	if !s.present {
		return
	}
	s.markRemoved(s.Draining, now)
	if s.pool != nil {
		s.pool.remove(s)
	}
	r.removed[s.ID] = s
	if r.tokenUsers[s.token] > 1 {
		r.reassignToken(s.token)
	}
}

// reassignToken assigns a token that several removed servers share to one of them.
func (r *Router) reassignToken(token uint32) {
	delete(r.byToken, token)
	for _, s := range r.removed {
		if s.token == token {
			r.indexToken(s)
		}
	}
}

// setServers replaces all servers by those of a whole view.
func (r *Router) setServers(v *registry.View, now time.Duration) {
	for _, s := range r.servers {
		if s.present {
			s.markRemoved(s.Draining, now)
		}
	}
	byAddr := make(map[netip.AddrPort]*server, len(v.Servers))
	clear(r.byToken)
	known := serviceNames(v.Config)
	for i := range v.Servers {
		usable := known[v.Servers[i].Service]
		s := r.update(&v.Servers[i], usable, now)
		if !usable {
			continue // it does not show that another server has given up its address
		}
		if holder := byAddr[s.Addr]; holder != nil {
			s = supersede(holder, s, now)
		}
		byAddr[s.Addr] = s
	}
	clear(r.removed)
	for id, s := range r.servers {
		if !s.present {
			r.removed[id] = s
		}
		r.indexToken(s)
	}
}

// serviceNames returns the set of services of a configuration.
func serviceNames(c *registry.Config) map[string]bool {
	names := map[string]bool{}
	if c == nil {
		return names
	}
	for _, s := range c.Services {
		names[s.Name] = true
	}
	return names
}

// update creates or updates the server of a registry entry. An entry that is not usable, since its service is unknown, counts
// as unreadable: a known server keeps what its entry said before. docs/design/backend-server-entries.md lists the transitions.
func (r *Router) update(entry *registry.Server, usable bool, now time.Duration) *server {
	s := r.servers[entry.ID]
	if s == nil {
		s = &server{token: entry.Token(), healthChanges: &r.healthChanges, turn: r.initialTurn(entry.ID)}
		r.servers[entry.ID] = s
		r.tokenUsers[s.token]++
	}
	s.markChanged()
	s.present, s.removedAt, s.drained = true, 0, false
	if s.BackendServer != nil && !usable {
		s.Unreadable, s.Lapsed = true, entry.Lapsed
		return s
	}
	restarted := s.BackendServer != nil && s.StartedMs != 0 && entry.StartedMs != 0 && entry.StartedMs != s.StartedMs
	moved := s.BackendServer != nil && entry.Addr != s.Addr
	if moved || s.BackendServer != nil && entry.StartedMs != s.StartedMs {
		s.check, s.checkRequestedAt = check{}, 0 // results about the earlier start or address are ignored
	}
	if s.BackendServer == nil || s.Service != entry.Service || s.DataCentre != entry.DataCentre {
		s.place = Place{entry.Service, entry.DataCentre}.Digest()
	}
	if s.pool != nil && (s.Service != entry.Service || s.pool.dataCentre != entry.DataCentre || s.pool.region != entry.Region || s.readySlots != entry.Slots) {
		s.pool.remove(s)
	}
	s.Server = *entry
	s.work.SetService(r.work.Service(entry.Service), s)
	s.Unreadable = s.Unreadable || !usable
	if restarted || moved {
		s.work.Restarted()
		s.clearSuspicion()
		s.evidenceSince, s.process = now, restart.Process{}
	}
	return s
}

// supersede resolves an address conflict between two backend servers: the one that started later (or, if they started at
// the same time, the one registered later) owns the address and is returned. The other one is marked as ended.
func supersede(a, b *server, now time.Duration) *server {
	loser, winner := a, b
	if a.StartedMs > b.StartedMs || a.StartedMs == b.StartedMs && a.Created > b.Created {
		loser, winner = b, a
	}
	loser.markRemoved(true, now)
	return winner
}

// indexToken makes a server reachable by its token. Of two servers with the same token, the one registered first keeps it,
// since flows may use it already; the other one gets no new flows while both are registered.
func (r *Router) indexToken(s *server) {
	other := r.byToken[s.token]
	if other == nil || tokenRank(s) < tokenRank(other) {
		r.byToken[s.token] = s
	}
}

// tokenRank orders servers that share a token, lowest first: present servers precede removed ones, then the one registered
// earlier comes first.
func tokenRank(s *server) uint64 {
	if s.present {
		return s.Created
	}
	return s.Created | 1<<63
}

func (r *Router) setConfig(c *registry.Config, now time.Duration) {
	if c.IdleTimeout > 0 {
		r.table.idle = c.IdleTimeout
	}
	for _, s := range r.servers {
		s.pool, s.changed = nil, false
	}
	before := r.services
	r.services = make(map[string]*service, len(c.Services))
	for _, s := range c.Services {
		r.services[s.Name] = &service{name: s.Name, coldPeriod: s.ColdPeriod, coldRate: s.ColdRate}
	}
	limited := overload.ServicesOf(c)
	for i := range limited {
		r.services[limited[i].Name].hasTarget = limited[i].HasTarget()
	}
	for i := range r.view.Servers {
		s := r.servers[r.view.Servers[i].ID]
		if s == nil || !s.present || r.byToken[s.token] != s {
			continue
		}
		if sv := r.services[s.Service]; sv != nil {
			sv.add(s, r.choosesByWork(sv))
		}
	}
	for name, sv := range r.services {
		sv.keepRecent(before[name])
	}
	r.work.Retain(func(name string) bool { return r.services[name] != nil })
	r.admission.SetServices(limited)
	for _, rt := range r.routes {
		rt.present = false
	}
	for i := range c.Routes {
		r.setRoute(&c.Routes[i], now)
	}
	for addr, rt := range r.routes {
		if !rt.present && now-rt.seen > routeRetention {
			delete(r.routes, addr)
		}
	}
}

func (r *Router) setRoute(published *registry.Route, now time.Duration) {
	rt := r.routes[published.Addr]
	if rt == nil {
		rt = &route{}
		r.routes[published.Addr] = rt
	}
	rt.name, rt.present, rt.seen = published.Name, true, now
	rt.regions, rt.idempotent = published.Regions, published.Idempotent
	rt.targets, rt.totalWeight = rt.targets[:0], 0
	for _, t := range published.Targets {
		sv := r.services[t.Service]
		if sv == nil || t.Weight == 0 {
			continue
		}
		rt.targets = append(rt.targets, target{service: sv, weight: t.Weight})
		rt.totalWeight += uint64(t.Weight)
	}
}
