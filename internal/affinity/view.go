package affinity

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// routeRetention is how long a removed route is remembered, so that its flows can be ended.
const routeRetention = time.Minute

// target is a service that a route sends to.
type target struct {
	service *service
	weight  uint32
}

// service lists the backend servers of a service.
type service struct {
	name     string
	coldRate float64
	servers  []*server
}

// route is a route with its services resolved.
type route struct {
	targets     []target
	totalWeight uint64
	regions     []string // that new flows may go to; none: all
	present     bool
	seen        time.Duration
}

// SetView puts a new picture of the registry in force, or what has changed since the last one.
func (r *Router) SetView(v *registry.View, now time.Duration) {
	r.view = v
	if v.Partial {
		r.change(v, now)
	} else {
		r.setServers(v, now)
		if v.Config != nil {
			r.setConfig(v.Config, now)
		}
	}
	for token := range r.unknown {
		if r.byToken[token] != nil {
			delete(r.unknown, token)
		}
	}
}

// change takes a partial view.
func (r *Router) change(v *registry.View, now time.Duration) {
	for _, id := range v.Removed {
		if s := r.servers[id]; s != nil {
			r.withdraw(s, now)
		}
	}
	for i := range v.Servers {
		entry := &v.Servers[i]
		if s := r.servers[entry.ID]; s != nil && s.Service != entry.Service {
			r.withdraw(s, now)
		}
		sv := r.services[entry.Service]
		if sv == nil {
			continue
		}
		s := r.update(entry)
		delete(r.gone, s.ID)
		r.index(s)
		if !slices.Contains(sv.servers, s) {
			sv.servers = append(sv.servers, s)
		}
	}
}

// withdraw takes a server out of its service when its entry is no longer there.
func (r *Router) withdraw(s *server, now time.Duration) {
	if !s.present {
		return
	}
	s.leave(now)
	if sv := r.services[s.Service]; sv != nil {
		sv.servers = slices.DeleteFunc(sv.servers, func(other *server) bool { return other == s })
	}
	r.gone[s.ID] = s
	if r.holders[s.token] > 1 {
		r.settleToken(s.token)
	}
}

// settleToken finds which of the servers that have left keeps a token that they share.
func (r *Router) settleToken(token uint32) {
	delete(r.byToken, token)
	for _, s := range r.gone {
		if s.token == token {
			r.index(s)
		}
	}
}

func (r *Router) setServers(v *registry.View, now time.Duration) {
	for _, s := range r.servers {
		if s.present {
			s.leave(now)
		}
	}
	byAddr := make(map[netip.AddrPort]*server, len(v.Servers))
	clear(r.byToken)
	known := serviceNames(v.Config)
	for i := range v.Servers {
		if !known[v.Servers[i].Service] {
			continue
		}
		s := r.update(&v.Servers[i])
		if holder := byAddr[s.Addr]; holder != nil {
			s = supersede(holder, s, now)
		}
		byAddr[s.Addr] = s
	}
	clear(r.gone)
	for id, s := range r.servers {
		if !s.present {
			r.gone[id] = s
		}
		r.index(s)
	}
}

// serviceNames returns the services of a configuration. An entry for any other service names nothing to send to.
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

// update takes the entry of a backend server into the server that this host remembers.
func (r *Router) update(entry *registry.Server) *server {
	s := r.servers[entry.ID]
	if s == nil {
		s = &server{token: entry.Token(), notices: &r.notices}
		r.servers[entry.ID] = s
		r.holders[s.token]++
	}
	restarted := s.BackendServer != nil && s.StartedMs != 0 && entry.StartedMs > s.StartedMs
	if s.BackendServer == nil || s.Service != entry.Service || s.DataCentre != entry.DataCentre {
		s.place = Place{entry.Service, entry.DataCentre}.Digest()
	}
	s.Server = *entry
	s.present, s.goneAt, s.drained = true, 0, false
	if restarted {
		s.forgive()
	}
	return s
}

// supersede settles which of two backend servers has an address: the one that started later. The other one has ended.
// It returns the one that stays.
func supersede(a, b *server, now time.Duration) *server {
	loser, winner := a, b
	if a.StartedMs > b.StartedMs || a.StartedMs == b.StartedMs && a.Created > b.Created {
		loser, winner = b, a
	}
	loser.present, loser.goneAt, loser.drained = false, now, true
	return winner
}

// index makes a server reachable by its token. Of two with the same token, the one registered first keeps it, since
// flows may hold it already; the other one gets no new flows while both are there.
func (r *Router) index(s *server) {
	other := r.byToken[s.token]
	if other == nil || rank(s) < rank(other) {
		r.byToken[s.token] = s
	}
}

// rank orders servers that share a token: present ones first, then the one registered first.
func rank(s *server) uint64 {
	if s.present {
		return s.Created
	}
	return s.Created | 1<<63
}

func (r *Router) setConfig(c *registry.Config, now time.Duration) {
	if c.IdleTimeout > 0 {
		r.table.idle = c.IdleTimeout
	}
	r.services = make(map[string]*service, len(c.Services))
	for _, s := range c.Services {
		r.services[s.Name] = &service{name: s.Name, coldRate: s.ColdRate}
	}
	for i := range r.view.Servers {
		s := r.servers[r.view.Servers[i].ID]
		if s == nil || !s.present || r.byToken[s.token] != s {
			continue
		}
		if sv := r.services[s.Service]; sv != nil {
			sv.servers = append(sv.servers, s)
		}
	}
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
	rt.present, rt.seen = true, now
	rt.regions = published.Regions
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
