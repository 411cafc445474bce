package registry

import (
	"maps"
	"net/netip"
	"slices"
)

// partialViewDivisor limits partial views: NextView returns one only if at most one in partialViewDivisor items has changed.
const partialViewDivisor = 4

// viewServer returns the backend server that a view contains for an item, or nil.
func (it *item) viewServer() *Server {
	switch {
	case it == nil:
		return nil
	case it.olderUntil != 0:
		return it.older
	case it.update.Server != nil:
		return &Server{
			BackendServer: it.update.Server, Created: it.update.Created, ColdUntil: it.coldUntil, Unreadable: it.update.Unreadable,
		}
	case it.lapsedUntil != 0:
		lapsed := *it.previous
		lapsed.Lapsed = true
		return &lapsed
	}
	return nil
}

// changes collects the changes since the last view that NextView returned.
type changes struct {
	ids    map[string]string      // IDs of the changed servers, by key
	addrs  map[netip.AddrPort]int // number of servers in a view, by address
	tokens map[uint32]int         // number of servers in a view, by token
	config *Config                // configuration of the last view
	whole  bool                   // a partial view does not suffice
}

func newChanges() changes {
	return changes{ids: map[string]string{}, addrs: map[netip.AddrPort]int{}, tokens: map[uint32]int{}, whole: true}
}

// record records a change of the server of a key; nil means that there is none. Which of two servers with the same address
// or token is in force depends on both, so a change of either requires a whole view.
func (c *changes) record(key string, before, after *Server) {
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

// shared reports whether another server in a view has the same address or token.
func (c *changes) shared(s *Server) bool { return c.addrs[s.Addr] > 1 || c.tokens[s.Token()] > 1 }

func (c *changes) count(s *Server, n int) {
	if c.addrs[s.Addr] += n; c.addrs[s.Addr] == 0 {
		delete(c.addrs, s.Addr)
	}
	if c.tokens[s.Token()] += n; c.tokens[s.Token()] == 0 {
		delete(c.tokens, s.Token())
	}
}

// View returns a whole snapshot of the registry.
func (s *State) View() *View {
	v := s.newView()
	v.Servers = make([]Server, 0, len(s.items))
	for _, it := range s.items {
		if server := it.viewServer(); server != nil {
			v.Servers = append(v.Servers, *server)
		}
	}
	slices.SortFunc(v.Servers, func(a, b Server) int { return compareRevision(a.Created, b.Created) })
	return v
}

// NextView returns the changes since the last call as a partial view, or a whole view if that does not suffice.
func (s *State) NextView() *View {
	c := &s.changes
	whole := c.whole || c.config != s.config || len(c.ids)*partialViewDivisor > len(s.items)
	c.whole, c.config = false, s.config
	defer clear(c.ids)
	if whole {
		return s.View()
	}
	v := s.newView()
	v.Partial = true
	for key, id := range c.ids {
		if server := s.items[key].viewServer(); server != nil {
			v.Servers = append(v.Servers, *server)
		} else {
			v.Removed = append(v.Removed, id)
		}
	}
	return v
}

// newView returns a view without servers.
func (s *State) newView() *View {
	v := &View{Era: s.era, Revision: s.revision, Config: s.config, OutDataCentres: map[string]bool{}, RestoredColdUntil: maps.Clone(s.restoredColdUntil)}
	for dataCentre := range s.out {
		v.OutDataCentres[dataCentre] = true
	}
	if len(s.unreadable) > 0 {
		v.UnreadableTokens = make(map[uint32]bool, len(s.unreadable))
	}
	for key := range s.unreadable {
		v.UnreadableTokens[tokenOf(s.items[key].update.Identity)] = true
	}
	return v
}
