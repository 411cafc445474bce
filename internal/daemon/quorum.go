package daemon

import (
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/membership"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

const (
	// majorityGrace covers the time in which the members verify each other again
	// after a death: one round of probes of a fleet that is small enough for a
	// majority of all hosts.
	majorityGrace = 2 * time.Second
	// quorumGrace covers the probes of nine voters, two per tick. It is shorter
	// than the time in which others declare this host dead and take its place.
	quorumGrace = 500 * time.Millisecond
)

// setConditions passes to the command package whether this host serves and
// whether it sees a majority or quorums.
func (c *control) setConditions(now time.Time) {
	conditions, grace := command.Conditions{Serving: c.serving}, majorityGrace
	if c.members.MajorityIsVerified() {
		conditions.Majority = c.members.Majority(c.dataCentresOut())
	} else {
		conditions.Quorum, grace = c.members.Quorum, quorumGrace
	}
	c.commands.SetMajorityGrace(grace)
	c.commands.SetConditions(now, conditions)
}

// setQuorums passes to the membership the owners and voters of the services with
// commands of which this host owns buckets, in a fleet too large for a majority
// of all hosts. Voters depend only on the list and on the data centres that are
// out, so they are kept while members change.
func (c *control) setQuorums(now time.Time, snap *route.Snapshot, ch changes) {
	if c.members.MajorityIsVerified() {
		for name := range c.voters {
			c.removeQuorum(now, name)
		}
		return
	}
	if ch.all {
		clear(c.voters)
	}
	ch.each(snap, func(name string, svc *route.Service) { c.setQuorum(now, snap, name, svc) })
}

func (c *control) setQuorum(now time.Time, snap *route.Snapshot, name string, svc *route.Service) {
	if svc == nil || svc.CommandAddr == (route.ServiceAddr{}) || !svc.InGroup(snap.SelfIndex) {
		c.removeQuorum(now, name)
		return
	}
	var owners []string
	for _, i := range svc.Group() {
		owners = append(owners, snap.Hosts[i].ID)
	}
	voters := c.voters[name]
	if voters == nil {
		voters = membership.Voters(name, c.eligibleVoters(svc.Region))
		c.voters[name] = voters
	}
	c.members.SetQuorum(now, name, owners, voters)
}

func (c *control) removeQuorum(now time.Time, name string) {
	if _, ok := c.voters[name]; ok {
		delete(c.voters, name)
		c.members.SetQuorum(now, name, nil, nil)
	}
}

// eligibleVoters returns the listed hosts of a region, whether they answer or
// not, without the data centres that are out.
func (c *control) eligibleVoters(region string) []document.Host {
	out := c.dataCentresOut()
	var hosts []document.Host
	for _, m := range c.members.Members() {
		if m.Host.Region == region && !slices.Contains(out, m.Host.DataCentre) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// servicesWithoutQuorum returns the services of which this host is an owner and
// sees no quorum.
func (c *control) servicesWithoutQuorum() []string {
	var names []string
	for name := range c.voters {
		if !c.members.Quorum(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
