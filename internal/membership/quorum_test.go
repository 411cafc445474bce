package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

const quorumService = "gridwatch"

// quorumCluster is a fleet that is too large for Majority to verify each host,
// with the owner group of one service.
type quorumCluster struct {
	*cluster
	owners []*node
}

func newQuorumCluster(t *testing.T, size int, rng *rand.Rand, lists func(i int) []document.Host) *quorumCluster {
	c := &quorumCluster{cluster: newCluster(t, size)}
	c.run(2 * time.Second)
	var ids []string
	for _, i := range rng.Perm(size)[:8] {
		c.owners = append(c.owners, c.nodes[i])
		ids = append(ids, c.nodes[i].host.ID)
	}
	for i, n := range c.owners {
		list := c.list
		if lists != nil {
			list = lists(i)
		}
		n.SetQuorum(c.now, quorumService, ids, Voters(quorumService, list))
	}
	c.run(time.Duration(1000+rng.IntN(1000)) * time.Millisecond)
	return c
}

// mayRun reports whether an owner has a majority and has declared dead an owner
// for which excluded returns true. Only then may it run commands that the other
// owner would run too.
func (c *quorumCluster) mayRun(n *node, excluded func(*node) bool, majority func(*node) bool) bool {
	if !majority(n) {
		return false
	}
	return slices.ContainsFunc(c.owners, func(o *node) bool {
		return excluded(o) && slices.ContainsFunc(n.Members(), func(m Member) bool {
			return m.Host.ID == o.host.ID && m.Status == Dead
		})
	})
}

// bothSidesMayRun advances time by up to d and reports whether at some step
// owners on both sides of a partition may run the same commands.
func (c *quorumCluster) bothSidesMayRun(d time.Duration, side func(*node) bool, majority func(*node) bool) bool {
	for end := c.now.Add(d); c.now.Before(end); {
		c.run(step)
		var may [2]bool
		for _, n := range c.owners {
			other := func(o *node) bool { return side(o) != side(n) }
			if c.mayRun(n, other, majority) {
				may[map[bool]int{true: 1}[side(n)]] = true
			}
		}
		if may[0] && may[1] {
			return true
		}
	}
	return false
}

// Guards against commands that run on both sides of a partition of a fleet too
// large to probe every host in time. In about a third of the cases the owners
// have lists that differ in one voter.
func TestSingleQuorum(t *testing.T) {
	const size = 100
	// With Majority in place of Quorum, which only samples probes in a fleet of
	// this size, owners on both sides could run commands with seeds 143, 177, 209,
	// 224 and 252.
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 143, 177, 209, 224, 252} {
		rng := rand.New(rand.NewPCG(seed, 3))
		var lists func(int) []document.Host
		if seed%3 == 0 {
			all := newCluster(t, size).list
			voter := Voters(quorumService, all)[rng.IntN(MaxVoters)]
			lists = func(i int) []document.Host {
				if i%2 == 0 {
					return all
				}
				return slices.DeleteFunc(slices.Clone(all), func(h document.Host) bool { return h.ID == voter })
			}
		}
		c := newQuorumCluster(t, size, rng, lists)
		order, split := rng.Perm(size), 45+rng.IntN(11)
		side := func(n *node) bool { return order[slices.Index(c.nodes, n)] < split }
		c.partition(side)
		if c.bothSidesMayRun(6*time.Second, side, func(n *node) bool { return n.Quorum(quorumService) }) {
			t.Errorf("seed %d: owners on both sides have a quorum", seed)
		}
	}
}

// Guards against a quorum that stays lost after the failure of an owner, the loss
// of a data centre or a pause.
func TestQuorumReturns(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(c *quorumCluster)
		want  bool
	}{
		{"an owner fails", func(c *quorumCluster) { c.owners[1].down = true }, true},
		{"a data centre is lost", func(c *quorumCluster) {
			lost := c.owners[1].host.DataCentre
			for _, n := range c.nodes {
				n.down = n.down || n.host.DataCentre == lost
			}
		}, true},
		{"two of three data centres are lost", func(c *quorumCluster) {
			for _, n := range c.nodes {
				n.down = n.down || n.host.DataCentre != c.owners[0].host.DataCentre
			}
		}, false},
		{"this host pauses", func(c *quorumCluster) {
			c.owners[0].down = true
			c.run(3 * time.Second)
			c.owners[0].down = false
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newQuorumCluster(t, 100, rand.New(rand.NewPCG(1, 4)), nil)
			n := c.owners[0]
			if !n.Quorum(quorumService) {
				t.Fatal("no quorum without a fault")
			}
			tc.fault(c)
			missing := 0
			for range int(12 * time.Second / step) {
				c.run(step)
				if !n.Quorum(quorumService) {
					missing++
				}
			}
			if got := n.Quorum(quorumService); got != tc.want {
				t.Errorf("quorum %v, want %v", got, tc.want)
			}
			t.Logf("no quorum for %v of 12 s", time.Duration(missing)*step)
		})
	}
}

// Guards against voters that are all in one data centre or are leaving, and
// against a choice that depends on the order of the list.
func TestVoters(t *testing.T) {
	list := newCluster(t, 30).list
	voters := Voters(quorumService, list)
	perDC := make(map[string]int)
	for _, h := range list {
		if slices.Contains(voters, h.ID) {
			perDC[h.DataCentre]++
		}
	}
	if len(voters) != MaxVoters || perDC["dc-0"] != 3 || perDC["dc-1"] != 3 || perDC["dc-2"] != 3 {
		t.Errorf("%d voters: %v", len(voters), perDC)
	}
	for i := range list {
		if list[i].ID == voters[0] {
			list[i].State = document.HostLeaving
		}
	}
	slices.Reverse(list)
	changed := Voters(quorumService, list)
	if slices.Contains(changed, voters[0]) || len(changed) != MaxVoters {
		t.Errorf("a leaving host is a voter: %v", changed)
	}
	for _, id := range voters[1:] {
		if !slices.Contains(changed, id) {
			t.Errorf("the change of one voter also replaced voter %s", id)
		}
	}
	for n, want := range map[int]int{1: 1, 2: 2, 3: 2, 7: 5, 9: 6} {
		if got := threshold(n); got != want {
			t.Errorf("threshold of %d voters: %d, want %d", n, got, want)
		}
	}
	if got := Voters(quorumService, nil); got != nil {
		t.Error(fmt.Sprint(got))
	}
}
