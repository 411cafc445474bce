package membership

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
)

func (c *cluster) setList(n *node, hosts ...document.Host) { c.handle(n, n.SetListed(c.now, hosts)) }

func (c *cluster) partition(side func(*node) bool) {
	c.lost = func(a, b *node) bool { return side(a) != side(b) }
}

func (c *cluster) others(skip *node) []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n == skip || n.down })
}

func hasEvent[T Outcome](n *node) bool {
	return slices.ContainsFunc(n.events, func(o Outcome) bool { _, ok := o.(T); return ok })
}

// Guards against hosts that converge to wrong states after a failure. Each case
// injects one failure from the design's failure table into a healthy fleet.
func TestFaults(t *testing.T) {
	cases := []struct {
		name string
		size int
		run  func(c *cluster)
	}{
		{"host failure", 7, func(c *cluster) {
			c.nodes[3].down = true
			c.run(4 * time.Second)
			c.expect(Dead, "entry-3", c.others(nil)...)
			c.expect(Alive, "entry-0", c.others(nil)...)
		}},
		{"leaving host stays leaving, then fails", 7, func(c *cluster) {
			c.handle(c.nodes[2], c.nodes[2].Leave(c.now))
			c.run(step * 3)
			c.expect(Leaving, "entry-2", c.nodes...)
			stale := []Update{{ID: "entry-2", Boot: 1000, Incarnation: 1, Status: Alive}}
			c.handle(c.nodes[0], c.nodes[0].Merge(c.now, stale))
			c.expect(Leaving, "entry-2", c.nodes[0])
			c.run(3 * time.Second)
			c.expect(Leaving, "entry-2", c.nodes...)
			c.nodes[2].down = true
			c.run(5 * time.Second)
			c.expect(Dead, "entry-2", c.others(nil)...)
		}},
		{"direct path lost, indirect probes succeed", 7, func(c *cluster) {
			c.lost = func(a, b *node) bool {
				return a == c.nodes[0] && b == c.nodes[1] || a == c.nodes[1] && b == c.nodes[0]
			}
			c.run(20 * time.Second)
			c.expect(Alive, "entry-1", c.nodes...)
			c.expect(Alive, "entry-0", c.nodes...)
			if n := c.nodes[0].Counters(); n.IndirectProbes == 0 || n.Suspicions != 0 {
				c.t.Errorf("counters %+v, want indirect probes and no suspicions", n)
			}
		}},
		{"suspicion and false declaration of death are refuted", 7, func(c *cluster) {
			c.handle(c.nodes[0], c.nodes[0].Merge(c.now, []Update{
				{ID: "entry-1", Boot: 1000, Status: Suspect}, {ID: "entry-2", Boot: 1000, Status: Dead},
			}))
			c.expect(Suspect, "entry-1", c.nodes[0])
			c.expect(Dead, "entry-2", c.nodes[0])
			c.run(3 * time.Second)
			for i, n := range c.nodes {
				c.expect(Alive, n.host.ID, c.nodes...)
				if refuted := n.Counters().Refutations > 0; refuted != (i == 1 || i == 2) {
					c.t.Errorf("%s refuted: %v", n.host.ID, refuted)
				}
			}
		}},
		{"paused host reports the pause and suspects no host", 7, func(c *cluster) {
			p := c.nodes[4]
			c.lost = func(_, to *node) bool { return to == p }
			c.run(350 * time.Millisecond) // a probe is pending with indirect probes requested
			c.lost = nil
			p.down = true
			c.run(6 * time.Second)
			c.expect(Dead, "entry-4", c.others(p)...)
			p.down = false
			c.handle(p, p.Receive(c.now, Sender{ID: "entry-0", Boot: 1000}, Message{Kind: Probe}))
			if !hasEvent[Paused](p) {
				c.t.Error("no Paused outcome")
			}
			if p.Majority(nil) {
				c.t.Error("majority right after a pause, want none before hosts have answered")
			}
			c.run(4 * time.Second)
			for _, n := range c.nodes {
				c.expect(Alive, n.host.ID, c.nodes...)
			}
			if p.Counters().Suspicions != 0 || !p.Majority(nil) {
				c.t.Errorf("suspicions %d, majority %v", p.Counters().Suspicions, p.Majority(nil))
			}
		}},
		{"partition and heal", 7, func(c *cluster) {
			small := func(n *node) bool { return n.host.ID < "entry-3" }
			c.partition(small)
			c.run(10 * time.Second)
			for _, n := range c.nodes {
				if n.Majority(nil) == small(n) {
					c.t.Errorf("%s: majority %v", n.host.ID, n.Majority(nil))
				}
			}
			c.expect(Dead, "entry-5", c.nodes[:3]...)
			c.expect(Dead, "entry-1", c.nodes[3:]...)
			c.lost = nil
			c.run(5 * time.Second)
			for _, n := range c.nodes {
				c.expect(Alive, n.host.ID, c.nodes...)
			}
		}},
		{"partition of a fleet too large to probe each host in time", 100, func(c *cluster) {
			c.run(10 * time.Second)
			c.partition(func(n *node) bool { return slices.Index(c.nodes, n) < 30 })
			c.run(2 * time.Second) // less than it takes to find most hosts dead
			for i, n := range c.nodes[:30] {
				if n.Majority(nil) {
					c.t.Errorf("host %d on the smaller side sees a majority", i)
				}
			}
			c.run(20 * time.Second)
			for i, n := range c.nodes {
				if n.Majority(nil) != (i >= 30) {
					c.t.Errorf("host %d: majority %v", i, n.Majority(nil))
				}
			}
		}},
		{"empty list is rejected", 3, func(c *cluster) {
			c.setList(c.nodes[0])
			counted := map[string]uint64{}
			c.nodes[0].Counters().Each(func(name string, value uint64) { counted[name] = value })
			if counted[`nutmeglatch_membership_lists_refused_total{reason="empty"}`] != 1 || len(counted) != 9 {
				c.t.Errorf("counted %v", counted)
			}
			if !hasEvent[ListRejected](c.nodes[0]) || len(c.nodes[0].Members()) != 3 {
				c.t.Error("the empty list was accepted, or its rejection not reported")
			}
		}},
		{"outdated list: includes a dead host, omits a live one", 4, func(c *cluster) {
			c.nodes[3].down = true
			c.run(5 * time.Second)
			c.setList(c.nodes[0], c.list...)
			c.expect(Dead, "entry-3", c.nodes[:3]...)
			c.setList(c.nodes[0], c.list[:2]...)
			c.run(3 * time.Second)
			c.expect(statusNone, "entry-2", c.nodes[0])
			c.expect(Alive, "entry-2", c.nodes[1])
			c.expect(Alive, "entry-0", c.nodes[2])
		}},
		{"host replaced under the same id, the old process resumes", 5, func(c *cluster) {
			old := c.nodes[1]
			old.down = true
			c.run(4 * time.Second)
			c.list[1].PeerPort++
			c.start(1, 2000)
			for _, n := range c.others(nil) {
				c.setList(n, c.list...)
			}
			c.run(3 * time.Second)
			c.expect(Alive, "entry-1", c.others(old)...)
			old.down = false
			c.run(4 * time.Second)
			c.expect(Alive, "entry-1", c.others(old)...)
			for _, m := range c.nodes[0].Members() {
				if m.Host.ID == "entry-1" && m.Boot != 2000 {
					c.t.Errorf("boot %d, want 2000", m.Boot)
				}
			}
			if !hasEvent[Superseded](old) || old.Majority(nil) {
				c.t.Error("the replaced process was not superseded, or still sees a majority")
			}
		}},
		{"join of a host that is not yet listed everywhere", 4, func(c *cluster) {
			c.list = append(c.list, host(4))
			j := c.start(4, 1000)
			c.setList(c.nodes[0], c.list...)
			c.run(6 * time.Second)
			c.expect(Alive, "entry-4", c.nodes[0])
			c.expect(statusNone, "entry-4", c.nodes[1:4]...)
			for i := range 4 {
				c.expect(Alive, host(i).ID, j)
			}
			for _, n := range c.nodes {
				c.setList(n, c.list...)
			}
			c.run(2 * time.Second)
			c.expect(Alive, "entry-4", c.nodes...)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, tc.size)
			c.encode = true
			c.run(5 * time.Second)
			tc.run(c)
		})
	}
}

// Guards against a majority that counts hosts of excluded data centres, dead
// hosts or unconfirmed hosts.
func TestMajority(t *testing.T) {
	c := newCluster(t, 7)
	n := c.nodes[0]
	if n.Majority(nil) {
		t.Error("majority before any message was received")
	}
	c.run(5 * time.Second)
	if !n.Majority(nil) {
		t.Error("no majority with all hosts alive")
	}
	for _, i := range []int{1, 2, 4, 5} { // all of dc-1 and dc-2
		c.nodes[i].down = true
	}
	c.run(5 * time.Second)
	if n.Majority(nil) || !n.Majority([]string{"dc-1", "dc-2"}) {
		t.Error("want a majority only if the failed data centres are excluded")
	}
	if n.Majority([]string{"dc-0", "dc-1", "dc-2"}) {
		t.Error("majority of no hosts")
	}
}

// Guards against a planned replacement that interrupts the majority. A replaced
// host must count, and see a majority itself, soon after its start: the next
// planned stop may follow at once, and hosts without a majority abort commands.
func TestMajorityDuringReplacements(t *testing.T) {
	for _, size := range []int{3, 7, 20} {
		c := newCluster(t, size)
		c.run(5 * time.Second)
		for i := range c.list {
			old := c.nodes[i]
			c.handle(old, old.Leave(c.now))
			c.runExpectingMajority(500*time.Millisecond, c.others(old))
			old.down = true
			c.nodes[i] = c.start(i, 2000)
			c.nodes = c.nodes[:size]
			c.handle(c.nodes[i], c.nodes[i].Merge(c.now, c.nodes[(i+1)%size].Updates()))
			c.run(8 * step) // two rounds of probes and their answers
			c.runExpectingMajority(100*time.Millisecond, c.nodes)
		}
	}
}

// runExpectingMajority advances time and fails the test if a host sees no majority.
func (c *cluster) runExpectingMajority(d time.Duration, hosts []*node) {
	c.t.Helper()
	for end := c.now.Add(d); c.now.Before(end); {
		c.run(step)
		for _, n := range hosts {
			if !n.Majority(nil) {
				c.t.Fatalf("%s of %d hosts sees no majority", n.host.ID, len(c.list))
			}
		}
	}
}

// Guards against a majority on both sides of a partition after a host has been
// declared dead. Owners on both sides would then run the same commands.
func TestSingleMajority(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		size := []int{3, 6, 7, 20}[seed%4]
		c := newCluster(t, size)
		c.run(4*time.Second + time.Duration(rng.IntN(200))*step)
		order, split := rng.Perm(size), 1+rng.IntN(size-1)
		side := func(n *node) bool { return order[slices.Index(c.nodes, n)] < split }
		c.partition(side)
		for range 400 {
			c.run(step)
			died, sides := false, map[bool]bool{}
			for _, n := range c.nodes {
				for _, m := range n.Members() {
					died = died || m.Status == Dead
				}
				if n.Majority(nil) {
					sides[side(n)] = true
				}
			}
			if died && len(sides) > 1 {
				t.Fatalf("seed %d, %d of %d hosts: both sides see a majority", seed, split, size)
			}
		}
	}
}

// Guards against live hosts whose members differ after the network has healed,
// whatever random sequence of losses, pauses, failures, replacements and planned
// stops came before.
func TestConvergence(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 60
	properties := gopter.NewProperties(params)
	properties.Property("all hosts agree", prop.ForAll(func(size int, seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 2))
		c := newCluster(t, size)
		for range 12 {
			injectFault(c, rng)
			c.run(time.Duration(rng.IntN(250)) * step)
		}
		c.lost = nil
		c.run(15 * time.Second)
		return converged(c, seed)
	}, gen.IntRange(2, 9), gen.UInt64()))
	properties.TestingRun(t)
}

// injectFault changes a random host or the network.
func injectFault(c *cluster, rng *rand.Rand) {
	i := rng.IntN(len(c.list))
	n := c.nodes[i]
	switch rng.IntN(6) {
	case 0:
		n.down = true
	case 1:
		n.down = false
	case 2:
		n.down = true
		c.nodes[i] = c.start(i, n.boot+1)
		c.nodes = c.nodes[:len(c.list)]
	case 3:
		if !n.down && rng.IntN(3) == 0 {
			c.handle(n, n.Leave(c.now))
		}
	case 4:
		mask := rng.Uint32()
		c.partition(func(n *node) bool { return mask>>(n.host.ID[6]-'0')&1 == 1 })
	case 5:
		loss := rng.Float64()
		c.lost = func(_, _ *node) bool { return rng.Float64() < loss }
	}
}

// converged reports whether every live host sees the actual state of all hosts.
func converged(c *cluster, seed uint64) bool {
	for i, subject := range c.nodes {
		want := map[bool]Status{false: Alive, true: Leaving}[subject.leaving]
		if subject.down {
			want = Dead
		}
		for _, n := range c.nodes {
			if got := n.status(host(i).ID); !n.down && got != want {
				c.t.Logf("seed %d: %s sees %s as %v, want %v", seed, n.host.ID, host(i).ID, got, want)
				return false
			}
		}
	}
	return true
}

// Guards against a largest message that does not fit in a datagram.
func TestLargestMessage(t *testing.T) {
	id, maxValue := strings.Repeat("x", MaxIDBytes), uint64(math.MaxUint64)
	u := Update{ID: id, Boot: maxValue, Incarnation: maxValue, Status: Dead, Leaving: true}
	m := Message{Kind: Request, Seq: maxValue, Target: id, Incarnation: maxValue, Leaving: true, Digest: maxValue}
	m.Updates = slices.Repeat([]Update{u}, MaxUpdates)
	b, err := m.Encode()
	if err != nil || len(b) > MaxMessageBytes {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	if n := len(peer.SealDatagram(nil, new([16]byte), id, 1, 1, b)); n > peer.MaxDatagram {
		t.Fatalf("datagram of %d bytes", n)
	}
	if got, err := DecodeMessage(b); err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("got %+v, %v", got, err)
	}
}

// Guards against malformed messages, and ones that exceed a limit, being accepted.
func TestDecodeMessageRejects(t *testing.T) {
	const head = `{"jsonrpc":"2.0","method":`
	for _, text := range []string{
		``, `null`, head, head + `"ack","params":{"seq":1}} {}`, head + `"ack","params":{"seq":-1}}`,
		head + `"probe.request","params":{"seq":1}}`, head + `"other","params":{"seq":1}}`,
		head + `"ack","params":{"seq":1,"other":1}}`, head + `"ack","params":{"seq":1,"up":[["a",1,1]]}}`,
		head + `"ack","params":{"seq":1,"up":[["a",1,1,3]]}}`, head + `"ack","params":{"seq":1,"up":[["",1,1,0]]}}`,
		head + `"ack","params":{"seq":1,"up":[["a b",1,1,0]]}}`,
		`{"jsonrpc":"1.0","method":"ack","params":{"seq":1}}`,
		head + `"ack","params":{"seq":1,"up":[` + strings.Repeat(`["a",1,1,0],`, MaxUpdates) + `["a",1,1,0]]}}`,
		head + `"ack","params":{"seq":1,"target":"` + strings.Repeat("x", MaxIDBytes+1) + `"}}`,
		strings.Repeat(" ", MaxMessageBytes) + head + `"ack","params":{"seq":1}}`,
	} {
		if m, err := DecodeMessage([]byte(text)); err == nil {
			t.Errorf("%.80s: accepted as %+v", text, m)
		}
	}
}

// Guards against datagrams that crash the decoder or the State, or that decode to
// a message that is too large to be encoded.
func FuzzDecodeMessage(f *testing.F) {
	m := Message{Kind: Request, Seq: 1, Target: "a", Digest: 1 << 63, Updates: []Update{{ID: "b", Boot: 2, Status: Dead, Leaving: true}}}
	b, err := m.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"jsonrpc":"2.0","method":"ack","params":{"seq":1,"up":[["a",0,0,9]]}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		again, err := m.Encode()
		if err != nil || len(again) > MaxMessageBytes {
			t.Fatalf("%d bytes, %v", len(again), err)
		}
		s := New(Config{Self: host(0), Boot: 1}, start)
		s.SetListed(start, []document.Host{host(0), host(1), {ID: "a"}, {ID: "b"}})
		s.Receive(start, Sender{ID: "a", Boot: 1}, m)
		s.Tick(start.Add(time.Second))
	})
}
