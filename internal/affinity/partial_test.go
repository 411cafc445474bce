package affinity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// registryChanges generates random changes of a registry in which servers often share addresses and tokens.
type registryChanges struct {
	state    *registry.State
	random   *rand.Rand
	revision uint64
	version  uint64
	now      time.Duration
}

func (c *registryChanges) server() registry.Update {
	const keys, addrs, lowTokens = 12, 8, 8
	n := c.random.IntN(keys)
	s := &registry.BackendServer{
		// The token of a server never changes. Some servers share a token.
		ID: fmt.Sprintf("s%d", n), Identity: uint64(n+1)<<32 | uint64(n%lowTokens+1), Slots: 2,
		Service:    []string{"meter", "bill", "unknown"}[c.random.IntN(3)],
		Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(c.random.IntN(addrs))}), 8000),
		DataCentre: []string{"a", "b"}[c.random.IntN(2)],
		Draining:   c.random.IntN(4) == 0,
		StartedMs:  int64(c.random.IntN(5)),
	}
	if c.random.IntN(4) == 0 {
		s.ColdFor = time.Second
	}
	return registry.Update{Key: "item-" + s.ID, Created: c.revision, Server: s}
}

func (c *registryChanges) config() registry.Update {
	c.version++
	config := &registry.Config{Version: c.version, Routes: []registry.Route{{Name: "meter", Addr: meterAddr, Targets: []registry.Target{{Service: "meter", Weight: 1}}}}}
	for _, name := range []string{"meter", "bill"}[:1+c.random.IntN(2)] {
		config.Services = append(config.Services, registry.Service{Name: name})
	}
	return registry.Update{Key: "config", Config: config}
}

// step applies one to three random changes and moves the clock.
func (c *registryChanges) step(t *testing.T) {
	before := c.revision
	var updates []registry.Update
	for range 1 + c.random.IntN(3) {
		c.revision++
		var u registry.Update
		switch c.random.IntN(10) {
		case 0:
			u = c.config()
		case 1:
			u = registry.Update{Key: "out/a", OutDataCentre: "a"}
		case 2:
			u = registry.Update{Key: "out/a", Removed: true}
		case 3, 4, 5:
			u = registry.Update{Key: c.server().Key, Removed: true}
		default:
			u = c.server()
		}
		u.Revision = c.revision
		updates = append(updates, u)
	}
	if c.random.IntN(5) == 0 {
		c.state.RecordStoreFailure(c.now)
	}
	if _, ok := c.state.Apply(updates, before, c.revision, c.now); !ok {
		t.Fatal("changes not applied")
	}
	c.now += time.Duration(c.random.IntN(300)) * time.Millisecond
	c.state.Sweep(c.now)
}

// routerState lists the state that a router derived from the registry, except for the times at which servers were removed.
func routerState(r *Router) []string {
	var out []string
	for id, s := range r.servers {
		out = append(out, fmt.Sprintf("server %s: %v present=%v missing=%v cold=%v drained=%v place=%x gone=%v",
			id, *s.BackendServer, s.present, s.Lapsed, s.ColdUntil, s.drained, s.place, r.removed[id] == s))
	}
	for token, s := range r.byToken {
		out = append(out, fmt.Sprintf("token %x: %s", token, s.ID))
	}
	for name, sv := range r.services {
		var ids []string
		for _, p := range sv.pools {
			for _, s := range p.servers {
				ids = append(ids, fmt.Sprintf("%s in %s %s %v", s.ID, p.dataCentre, p.region, s.pool == p))
			}
		}
		slices.Sort(ids)
		out = append(out, fmt.Sprintf("service %s: %v", name, ids))
	}
	out = append(out, fmt.Sprintf("out %v cold %v", r.view.OutDataCentres, r.view.RestoredColdUntil))
	slices.Sort(out)
	return out
}

// Guards against partial views that lead to another state than whole views, with servers that share an address or a token,
// change their service, or lapse and return.
func TestPartialViewsMatchWholeViews(t *testing.T) {
	partial := 0
	for seed := range uint64(300) {
		c := &registryChanges{state: registry.NewState(), random: rand.New(rand.NewPCG(seed, 1)), now: time.Second, revision: 1}
		first := c.config()
		first.Revision = 1
		c.state.Replace([]registry.Update{first}, 1, c.now)
		whole, changed := NewRouter(Config{MaxFlows: 10}, selfHost), NewRouter(Config{MaxFlows: 10}, selfHost)
		for range 40 {
			whole.SetView(c.state.View(), c.now)
			v := c.state.NextView()
			if v.Partial {
				partial++
			}
			changed.SetView(v, c.now)
			if want, got := routerState(whole), routerState(changed); !slices.Equal(want, got) {
				t.Fatalf("seed %d, view %+v:\nwhole   %q\nchanged %q", seed, v, want, got)
			}
			c.step(t)
		}
	}
	if partial < 1000 {
		t.Errorf("%d partial views, want at least 1000 for the comparison to be meaningful", partial)
	}
}
