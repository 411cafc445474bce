package registry

import (
	"maps"
	"net/netip"
	"slices"
)

// partialShare is the part of the items, as a divisor, up to which a view tells the changed ones only.
const partialShare = 4

// shown returns the backend server that a view shows for an item, or nil.
func (it *item) shown() *Server {
	switch {
	case it == nil:
		return nil
	case it.update.Server != nil:
		s := &Server{BackendServer: it.update.Server, Created: it.update.Created}
		if it.update.Server.ColdFor > 0 {
			s.ColdUntil = it.seen + it.update.Server.ColdFor
		}
		return s
	case it.missingTo != 0:
		missing := *it.previous
		missing.Lapsed = true
		return &missing
	}
	return nil
}

// changes collects what the next view has to tell.
type changes struct {
	ids    map[string]string      // of the servers that changed, by key
	addrs  map[netip.AddrPort]int // number of servers shown, by address
	tokens map[uint32]int         // the same by token
	config *Config                // of the last view
	whole  bool                   // changes alone do not tell enough
}

func newChanges() changes {
	return changes{ids: map[string]string{}, addrs: map[netip.AddrPort]int{}, tokens: map[uint32]int{}, whole: true}
}

// note takes the change of a key's server; nil stands for none. Which of two servers with one address or token is in force
// depends on both, so that a change of one needs a whole view.
func (c *changes) note(key string, before, after *Server) {
	for _, s := range []*Server{before, after} {
		if s != nil {
			c.ids[key] = s.ID
		}
	}
	if before != nil {
		c.whole = c.whole || c.shared(before)
		c.count(before, -1)
	}
	if after != nil {
		c.count(after, 1)
		c.whole = c.whole || c.shared(after)
	}
}

func (c *changes) shared(s *Server) bool { return c.addrs[s.Addr] > 1 || c.tokens[s.Token()] > 1 }

func (c *changes) count(s *Server, n int) {
	if c.addrs[s.Addr] += n; c.addrs[s.Addr] == 0 {
		delete(c.addrs, s.Addr)
	}
	if c.tokens[s.Token()] += n; c.tokens[s.Token()] == 0 {
		delete(c.tokens, s.Token())
	}
}

// View returns an immutable picture of the registry.
func (s *State) View() *View {
	v := s.emptyView()
	v.Servers = make([]Server, 0, len(s.items))
	for _, it := range s.items {
		if server := it.shown(); server != nil {
			v.Servers = append(v.Servers, *server)
		}
	}
	slices.SortFunc(v.Servers, func(a, b Server) int { return compareRevision(a.Created, b.Created) })
	return v
}

// NextView returns what has changed since the last call, or a whole view when that does not suffice.
func (s *State) NextView() *View {
	c := &s.changes
	whole := c.whole || c.config != s.config || len(c.ids)*partialShare > len(s.items)
	c.whole, c.config = false, s.config
	defer clear(c.ids)
	if whole {
		return s.View()
	}
	v := s.emptyView()
	v.Partial = true
	for key, id := range c.ids {
		if server := s.items[key].shown(); server != nil {
			v.Servers = append(v.Servers, *server)
		} else {
			v.Removed = append(v.Removed, id)
		}
	}
	return v
}

func (s *State) emptyView() *View {
	v := &View{Revision: s.revision, Config: s.config, OutDataCentres: map[string]bool{}, RestoredColdUntil: maps.Clone(s.endedCold)}
	for dataCentre := range s.out {
		v.OutDataCentres[dataCentre] = true
	}
	return v
}
