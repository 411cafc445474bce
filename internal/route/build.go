package route

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceConfig is what a Builder needs to know about a service.
type ServiceConfig struct {
	Name, Region      string
	Addr, CommandAddr ServiceAddr // CommandAddr is zero when there are no commands
	FlowIdle          time.Duration
	Backends          []BackendConfig
}

// BackendConfig is what a Builder needs to know about a backend server. The
// fields are those of Backend.
type BackendConfig struct {
	Addr                            netip.AddrPort
	DataCentre                      string
	Instance                        uint64
	Out, Draining, Stable, Unusable bool
	Weight                          float64
	Admit                           *Budget
	Traffic                         *Traffic
}

// Builder makes snapshots. A change costs in proportion to the services that
// it touches: snapshots share the Service and Backend values that are
// unchanged. It belongs to the control goroutine.
type Builder struct {
	self, selfDC string
	groupSize    int
	serving      bool
	hosts        []Host
	published    []Host         // copy of hosts in the last snapshot, nil after a change
	slots        map[string]int // host index by ID
	configs      map[string]ServiceConfig
	numbers      map[string]uint32
	services     indexBuilder[ServiceAddr, *Service]
	backends     indexBuilder[netip.AddrPort, *Backend]
	byName       indexBuilder[string, *Service]
}

// NewBuilder returns a builder for the host self in data centre dc.
func NewBuilder(self, dc string, groupSize int) *Builder {
	return &Builder{
		self: self, selfDC: dc, groupSize: groupSize,
		slots:   make(map[string]int),
		configs: make(map[string]ServiceConfig),
		numbers: make(map[string]uint32),
	}
}

// SetServing sets whether traffic is handled.
func (b *Builder) SetServing(serving bool) { b.serving = serving }

// SetService adds a service or replaces it. It does nothing when the service
// is unchanged, and reports whether it was changed.
func (b *Builder) SetService(c ServiceConfig) bool {
	old, ok := b.configs[c.Name]
	if ok && equalConfig(&old, &c) {
		return false
	}
	c.Backends = slices.Clone(c.Backends)
	b.configs[c.Name] = c
	if _, known := b.numbers[c.Name]; !known {
		b.numbers[c.Name] = uint32(len(b.numbers) + 1)
	}
	previous, _ := b.byName.get(c.Name)
	s := newService(&c, b.numbers[c.Name])
	if previous != nil && previous.Region == c.Region {
		s.group, s.table = previous.group, previous.table
	} else {
		b.setOwners(s, b.rank(&c))
	}
	b.install(&c, previous, s)
	return true
}

// RemoveService removes a service.
func (b *Builder) RemoveService(name string) {
	if previous, ok := b.byName.get(name); ok {
		b.uninstall(previous)
		b.byName.remove(name)
		delete(b.configs, name)
	}
}

// SetHosts replaces the live entry hosts. A host keeps its index while it is
// present, so that only the services whose owner group changes are rebuilt.
func (b *Builder) SetHosts(hosts []Host) {
	added, removed := b.placeHosts(hosts)
	if len(added) == 0 && len(removed) == 0 {
		return
	}
	for name, c := range b.configs {
		previous, _ := b.byName.get(name)
		group, changed := b.regroup(&c, previous.group, added, removed)
		if changed {
			s := newService(&c, previous.Index)
			b.setOwners(s, group)
			b.install(&c, previous, s)
		}
	}
}

// Snapshot returns the state with all changes so far.
func (b *Builder) Snapshot() *Snapshot {
	if b.published == nil {
		b.published = slices.Clone(b.hosts)
	}
	s := &Snapshot{
		Self: b.self, SelfDC: b.selfDC, SelfIndex: NoHost,
		Hosts:    b.published,
		Services: b.services.publish(),
		Backends: b.backends.publish(),
		ByName:   b.byName.publish(),
		Serving:  b.serving,
	}
	if i, ok := b.slots[b.self]; ok {
		s.SelfIndex = uint16(i)
		s.SelfPeer = b.hosts[i].Peer
	}
	return s
}

// placeHosts updates the host list and returns the indexes of hosts that may
// join owner groups, and of those that may not be in one any more.
func (b *Builder) placeHosts(hosts []Host) (added, removed []int) {
	present := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		present[h.ID] = true
	}
	for id, i := range b.slots {
		if !present[id] {
			removed = append(removed, i)
			delete(b.slots, id)
			b.hosts[i] = Host{}
			b.published = nil
		}
	}
	free := 0
	for _, h := range hosts {
		if h.ID == "" {
			continue
		}
		i, ok := b.slots[h.ID]
		if !ok {
			for free < len(b.hosts) && b.hosts[free].ID != "" {
				free++
			}
			if free == len(b.hosts) {
				b.hosts = append(b.hosts, Host{})
			}
			i = free
			b.slots[h.ID] = i
			added = append(added, i)
		} else if old := b.hosts[i]; old.DataCentre != h.DataCentre || old.Region != h.Region || old.Leaving != h.Leaving || old.Boot != h.Boot {
			removed = append(removed, i)
			added = append(added, i)
		}
		if b.hosts[i] != h {
			b.hosts[i] = h
			b.published = nil
		}
	}
	return added, removed
}

// regroup returns the owner group after a change of hosts. A group that lost
// no host can only change by the added hosts, so that ranking all the others
// again is unnecessary.
func (b *Builder) regroup(c *ServiceConfig, old, added, removed []int) (group []int, changed bool) {
	for _, i := range removed {
		if slices.Contains(old, i) {
			return b.rank(c), true
		}
	}
	if len(added) == 0 {
		return old, false
	}
	candidates := append(slices.Clone(old), added...)
	group = ownerGroup(c.Name, c.Region, b.hosts, candidates, b.groupSize)
	return group, !slices.Equal(group, old)
}

// rank returns the owner group among all hosts.
func (b *Builder) rank(c *ServiceConfig) []int {
	candidates := make([]int, len(b.hosts))
	for i := range candidates {
		candidates[i] = i
	}
	return ownerGroup(c.Name, c.Region, b.hosts, candidates, b.groupSize)
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

// install publishes a service with its backend servers.
func (b *Builder) install(c *ServiceConfig, previous, s *Service) {
	if previous != nil {
		b.uninstall(previous)
	}
	servers := make([]Backend, len(c.Backends))
	s.Backends = make([]*Backend, len(c.Backends))
	for i := range c.Backends {
		servers[i] = newBackend(s, &c.Backends[i])
		s.Backends[i] = &servers[i]
		b.backends.set(servers[i].Addr, s.Backends[i])
	}
	b.services.set(c.Addr, s)
	if c.CommandAddr != (ServiceAddr{}) {
		b.services.set(c.CommandAddr, s)
	}
	b.byName.set(c.Name, s)
}

// uninstall removes the addresses of a service that no other service took.
func (b *Builder) uninstall(s *Service) {
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
	hi, lo := words(c.Addr.Addr())
	return Backend{
		Addr: c.Addr, Service: s, DataCentre: c.DataCentre, Instance: c.Instance,
		Out: c.Out, Draining: c.Draining, Stable: c.Stable, Unusable: c.Unusable,
		Weight: c.Weight, Admit: c.Admit, Traffic: c.Traffic,
		seed: mix(mix(s.Seed^hi^uint64(c.Addr.Port())) ^ bits.RotateLeft64(lo, 32)),
	}
}

func equalConfig(a, b *ServiceConfig) bool {
	return a.Name == b.Name && a.Region == b.Region && a.Addr == b.Addr && a.CommandAddr == b.CommandAddr &&
		a.FlowIdle == b.FlowIdle && slices.Equal(a.Backends, b.Backends)
}
