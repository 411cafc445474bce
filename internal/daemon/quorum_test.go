package daemon

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/membership"
)

// Guards against commands in a large fleet that depend on hearing from every
// host, that go on without a quorum of the voters, or that never get one.
func TestLargeFleetsUseQuorums(t *testing.T) {
	c := newBenchControl(t, 100, benchDocuments(600, 1))
	if len(c.voters) == 0 {
		t.Fatal("this host owns no service with commands")
	}
	for range time.Second / tickInterval {
		c.step()
	}
	for name, voters := range c.voters {
		if len(voters) != membership.MaxVoters {
			t.Errorf("%s: %d voters", name, len(voters))
		}
		if !c.members.Quorum(name) {
			t.Errorf("%s: no quorum although every host answers", name)
		}
	}
	if got := c.servicesWithoutQuorum(); len(got) != 0 {
		t.Errorf("status reports services without a quorum: %v", got)
	}
	name, owner := c.otherOwner()
	c.carryOut(c.clock, c.members.Merge(c.clock, []membership.Update{{ID: owner, Boot: benchBoot + 1, Status: membership.Suspect}}))
	if c.members.Quorum(name) {
		t.Errorf("%s: quorum from answers before the suspicion of an owner", name)
	}
	for range quorumGrace / tickInterval {
		c.step()
	}
	if !c.members.Quorum(name) {
		t.Errorf("%s: no quorum %s after the suspicion of an owner", name, quorumGrace)
	}
}

// otherOwner returns a service with commands of this host and another host of
// its owner group.
func (c *benchControl) otherOwner() (service, host string) {
	snap := c.d.snapshot.Load()
	for name := range c.voters {
		for _, i := range snap.ByName.Get(name).Group() {
			if id := snap.Hosts[i].ID; id != snap.Self {
				return name, id
			}
		}
	}
	c.b.Fatal("no other owner")
	return "", ""
}
