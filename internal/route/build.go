package route

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceConfig describes a service to a Builder.
type ServiceConfig struct {
	Name, Region      string
	Addr, CommandAddr ServiceAddr // CommandAddr is zero when the service has no commands
	FlowIdle          time.Duration
	Backends          []BackendConfig
}

// BackendConfig describes a backend server to a Builder.
type BackendConfig struct {
	Addr          netip.AddrPort // GUE address
	DataCentre    string
	Instance      uint64 // start generation: increases with each start of the process, 0 when unknown
	StartedBy     Time   // latest time at which the process of Instance may have started, 0 when unknown
	DataCentreOut bool   // its data centre is out of service
	Draining      bool
	Stable        bool // long-standing member of the service, not cold
	Unusable      bool // must receive no traffic: its process identified itself as another service
	Weight        float64
	NewFlowBudget *Budget  // nil admits new flows without limit
	Traffic       *Traffic // nil disables counting
}

// Builder makes snapshots. The cost of a change is proportional to the number
// of services that it affects, because successive snapshots share unchanged
// Service and Backend values. Only the control goroutine may use a Builder.
type Builder struct {
	self, selfDC   string
	groupSize      int
	serving        bool
	hosts          []Host
	publishedHosts []Host            // copy of hosts in the last snapshot, nil after a change
	hostIndexes    map[string]int    // by ID
	serviceIndexes map[string]uint32 // by name, kept when a service is removed
	services       indexBuilder[ServiceAddr, *Service]
	backends       indexBuilder[netip.AddrPort, *Backend]
	byName         indexBuilder[string, *Service]
}

// NewBuilder returns a builder for the host self in data centre dc.
func NewBuilder(self, dc string, groupSize int) *Builder {
	return &Builder{
		self: self, selfDC: dc, groupSize: groupSize,
		hostIndexes:    make(map[string]int),
		serviceIndexes: make(map[string]uint32),
	}
}

// SetServing sets whether traffic is handled.
func (b *Builder) SetServing(serving bool) { b.serving = serving }

// SetService adds a service or replaces it. It does nothing when the service
// is unchanged, and reports whether it was changed.
func (b *Builder) SetService(c ServiceConfig) bool {
	previous, ok := b.byName.get(c.Name)
	if ok && previous.builtFrom(&c) {
		return false
	}
	if _, known := b.serviceIndexes[c.Name]; !known {
		b.serviceIndexes[c.Name] = uint32(len(b.serviceIndexes) + 1)
	}
	s := newService(&c, b.serviceIndexes[c.Name])
	if ok && previous.Region == c.Region {
		s.group, s.table = previous.group, previous.table
	} else {
		b.setOwners(s, b.selectGroup(s))
	}
	b.indexService(previous, s, c.Backends)
	return true
}

// RemoveService removes a service.
func (b *Builder) RemoveService(name string) {
	if previous, ok := b.byName.get(name); ok {
		b.unindexAddresses(previous)
		b.byName.remove(name)
	}
}

// SetHosts replaces the live entry hosts. A host keeps its index while it is
// present, so that only the services whose owner group changes are rebuilt.
func (b *Builder) SetHosts(hosts []Host) {
	added, removed := b.assignIndexes(hosts)
	if len(added) == 0 && len(removed) == 0 {
		return
	}
	for _, shard := range b.byName.shards {
		for _, previous := range shard {
			group, changed := b.updateGroup(previous, added, removed)
			if changed {
				s := *previous
				b.setOwners(&s, group)
				b.indexService(previous, &s, previous.backendConfigs())
			}
		}
	}
}

// Snapshot returns the state with all changes so far.
func (b *Builder) Snapshot() *Snapshot {
	if b.publishedHosts == nil {
		b.publishedHosts = slices.Clone(b.hosts)
	}
	s := &Snapshot{
		Self: b.self, SelfDC: b.selfDC, SelfIndex: NoHost,
		Hosts:    b.publishedHosts,
		Services: b.services.publish(),
		Backends: b.backends.publish(),
		ByName:   b.byName.publish(),
		Serving:  b.serving,
	}
	if i, ok := b.hostIndexes[b.self]; ok {
		s.SelfIndex = uint16(i)
		s.SelfPeer = b.hosts[i].Peer
	}
	return s
}

// assignIndexes updates the host list. It returns the indexes of hosts that may
// join owner groups, and of hosts that must leave their owner groups. A host
// with a relevant change is in both lists.
func (b *Builder) assignIndexes(hosts []Host) (added, removed []int) {
	present := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		present[h.ID] = true
	}
	for id, i := range b.hostIndexes {
		if !present[id] {
			removed = append(removed, i)
			delete(b.hostIndexes, id)
			b.hosts[i] = Host{}
			b.publishedHosts = nil
		}
	}
	nextFree := 0
	for _, h := range hosts {
		if h.ID == "" {
			continue
		}
		i, ok := b.hostIndexes[h.ID]
		if !ok {
			for nextFree < len(b.hosts) && b.hosts[nextFree].ID != "" {
				nextFree++
			}
			if nextFree == len(b.hosts) {
				b.hosts = append(b.hosts, Host{})
			}
			i = nextFree
			b.hostIndexes[h.ID] = i
			added = append(added, i)
		} else if old := b.hosts[i]; old.DataCentre != h.DataCentre || old.Region != h.Region || old.Leaving != h.Leaving || old.Boot != h.Boot {
			removed = append(removed, i)
			added = append(added, i)
		}
		if b.hosts[i] != h {
			b.hosts[i] = h
			b.publishedHosts = nil
		}
	}
	return added, removed
}

// updateGroup returns the owner group after a change of hosts. A group that
// lost no host can only change by the added hosts, so the other hosts are not
// ranked again.
func (b *Builder) updateGroup(s *Service, added, removed []int) (group []int, changed bool) {
	for _, i := range removed {
		if slices.Contains(s.group, i) {
			return b.selectGroup(s), true
		}
	}
	if len(added) == 0 {
		return s.group, false
	}
	candidates := append(slices.Clone(s.group), added...)
	group = ownerGroup(s.Name, s.Region, b.hosts, candidates, b.groupSize)
	return group, !slices.Equal(group, s.group)
}

// selectGroup selects the owner group from all hosts.
func (b *Builder) selectGroup(s *Service) []int {
	candidates := make([]int, len(b.hosts))
	for i := range candidates {
		candidates[i] = i
	}
	return ownerGroup(s.Name, s.Region, b.hosts, candidates, b.groupSize)
}

func newService(c *ServiceConfig, index uint32) *Service {
	return &Service{
		Name: c.Name, Region: c.Region, Index: index,
		Addr: c.Addr, CommandAddr: c.CommandAddr,
		FlowIdle: c.FlowIdle, Seed: xxhash.Sum64String(c.Name),
	}
}

func (b *Builder) setOwners(s *Service, group []int) {
	s.group = group
	owners := BuildOwners(s.Name, group, b.hosts)
	epochs := buildEpochs(&owners, group, b.hosts)
	s.table = newOwnerTable(&owners, &epochs)
}

// indexService adds a service and its backend servers to the indexes. Unless
// previous is nil, it removes the addresses of previous.
func (b *Builder) indexService(previous, s *Service, configs []BackendConfig) {
	if previous != nil {
		b.unindexAddresses(previous)
	}
	servers := make([]Backend, len(configs))
	s.Backends = make([]*Backend, len(configs))
	for i := range configs {
		servers[i] = newBackend(s, &configs[i])
		s.Backends[i] = &servers[i]
		b.backends.set(servers[i].Addr, s.Backends[i])
	}
	b.services.set(s.Addr, s)
	if s.CommandAddr != (ServiceAddr{}) {
		b.services.set(s.CommandAddr, s)
	}
	b.byName.set(s.Name, s)
}

// unindexAddresses removes the addresses of a service and its backend servers
// from the indexes, except those that another service uses now.
func (b *Builder) unindexAddresses(s *Service) {
	for _, server := range s.Backends {
		if current, _ := b.backends.get(server.Addr); current == server {
			b.backends.remove(server.Addr)
		}
	}
	for _, addr := range []ServiceAddr{s.Addr, s.CommandAddr} {
		if current, _ := b.services.get(addr); current == s {
			b.services.remove(addr)
		}
	}
}

func newBackend(s *Service, c *BackendConfig) Backend {
	hi, lo := addrWords(c.Addr.Addr())
	return Backend{
		BackendConfig: *c,
		Service:       s,
		seed:          mix(mix(s.Seed^hi^uint64(c.Addr.Port())) ^ bits.RotateLeft64(lo, 32)),
	}
}

// builtFrom reports whether a service was built from a configuration equal to c.
func (s *Service) builtFrom(c *ServiceConfig) bool {
	return s.Name == c.Name && s.Region == c.Region && s.Addr == c.Addr && s.CommandAddr == c.CommandAddr &&
		s.FlowIdle == c.FlowIdle && slices.EqualFunc(s.Backends, c.Backends, func(b *Backend, c BackendConfig) bool { return b.BackendConfig == c })
}

// backendConfigs returns the configurations that the backend servers were built from.
func (s *Service) backendConfigs() []BackendConfig {
	configs := make([]BackendConfig, len(s.Backends))
	for i, b := range s.Backends {
		configs[i] = b.BackendConfig
	}
	return configs
}
