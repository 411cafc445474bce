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

// BackendConfig is what a Builder needs to know about a backend server.
type BackendConfig struct {
	Addr          netip.AddrPort // GUE address
	DataCentre    string
	Instance      uint64 // start generation: rises with each start, 0 when unknown
	StartedBy     Time   // when the process of Instance had surely started, 0 when unknown
	DataCentreOut bool   // its data centre is out of service
	Draining      bool
	Stable        bool // long in the set and not cold
	Unusable      bool // it identified itself as another service
	Weight        float64
	NewFlowBudget *Budget  // nil admits without limit
	Traffic       *Traffic // nil counts nothing
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
		numbers: make(map[string]uint32),
	}
}

// SetServing sets whether traffic is handled.
func (b *Builder) SetServing(serving bool) { b.serving = serving }

// SetService adds a service or replaces it. It does nothing when the service
// is unchanged, and reports whether it was changed.
func (b *Builder) SetService(c ServiceConfig) bool {
	previous, ok := b.byName.get(c.Name)
	if ok && previous.follows(&c) {
		return false
	}
	if _, known := b.numbers[c.Name]; !known {
		b.numbers[c.Name] = uint32(len(b.numbers) + 1)
	}
	s := newService(&c, b.numbers[c.Name])
	if ok && previous.Region == c.Region {
		s.group, s.table = previous.group, previous.table
	} else {
		b.setOwners(s, b.rank(s))
	}
	b.install(previous, s, c.Backends)
	return true
}

// RemoveService removes a service.
func (b *Builder) RemoveService(name string) {
	if previous, ok := b.byName.get(name); ok {
		b.uninstall(previous)
		b.byName.remove(name)
	}
}

// SetHosts replaces the live entry hosts. A host keeps its index while it is
// present, so that only the services whose owner group changes are rebuilt.
func (b *Builder) SetHosts(hosts []Host) {
	added, removed := b.placeHosts(hosts)
	if len(added) == 0 && len(removed) == 0 {
		return
	}
	for _, shard := range b.byName.shards {
		for _, previous := range shard {
			group, changed := b.regroup(previous, added, removed)
			if changed {
				s := *previous
				b.setOwners(&s, group)
				b.install(previous, &s, previous.backendConfigs())
			}
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
func (b *Builder) regroup(s *Service, added, removed []int) (group []int, changed bool) {
	for _, i := range removed {
		if slices.Contains(s.group, i) {
			return b.rank(s), true
		}
	}
	if len(added) == 0 {
		return s.group, false
	}
	candidates := append(slices.Clone(s.group), added...)
	group = ownerGroup(s.Name, s.Region, b.hosts, candidates, b.groupSize)
	return group, !slices.Equal(group, s.group)
}

// rank returns the owner group among all hosts.
func (b *Builder) rank(s *Service) []int {
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

// install publishes a service with its backend servers.
func (b *Builder) install(previous, s *Service, configs []BackendConfig) {
	if previous != nil {
		b.uninstall(previous)
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
		BackendConfig: *c,
		Service:       s,
		seed:          mix(mix(s.Seed^hi^uint64(c.Addr.Port())) ^ bits.RotateLeft64(lo, 32)),
	}
}

// follows reports whether a service was built from an equal configuration.
func (s *Service) follows(c *ServiceConfig) bool {
	return s.Name == c.Name && s.Region == c.Region && s.Addr == c.Addr && s.CommandAddr == c.CommandAddr &&
		s.FlowIdle == c.FlowIdle && slices.EqualFunc(s.Backends, c.Backends, func(b *Backend, c BackendConfig) bool { return b.BackendConfig == c })
}

// backendConfigs returns what the backend servers were built from.
func (s *Service) backendConfigs() []BackendConfig {
	configs := make([]BackendConfig, len(s.Backends))
	for i, b := range s.Backends {
		configs[i] = b.BackendConfig
	}
	return configs
}
