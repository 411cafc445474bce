package entry

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

// startingFor is how long a host may be unaware of the fleet's size after its start. All hosts may start within 0.3 s of
// each other, and the seeds that answer it know by then how many there are.
const startingFor = time.Second

// fleet returns what the router needs to know of the other hosts.
func (c *control) fleet(now time.Duration) *affinity.Fleet {
	unreachable := c.members.Unreachable(now)
	c.logReach(unreachable)
	f := &affinity.Fleet{
		Self:          c.host.self(),
		Hosts:         c.fleetHosts(),
		Size:          c.members.Size(now),
		Starting:      now < startingFor || !c.members.Joined(),
		ConfirmedAt:   c.confirmed(),
		StoreOutageAt: c.awayAt(),
		Unreachable:   unreachable,
		Flows:         map[affinity.PlaceDigest]int{},
	}
	for _, l := range c.members.Loads(now) {
		f.Flows[affinity.PlaceDigest(l.Place)] += l.Flows
	}
	return f
}

// confirmed returns when the registry was last known to be the store's contents; negative when never.
func (c *control) confirmed() time.Duration {
	at, _ := c.follower.Confirmed()
	return at
}

// awayAt returns when the store may last have been away from this host or from one that has told it; negative when never.
func (c *control) awayAt() time.Duration { return max(c.follower.PossibleOutageAt(), c.toldAway) }

// fleetHosts returns the other hosts as the router knows them. The slice is not changed later.
func (c *control) fleetHosts() []affinity.Host {
	if generation := c.members.Generation(); c.hosts == nil || c.hostsOf != generation {
		c.hosts, c.hostsOf = make([]affinity.Host, 0, c.members.NumKnown()), generation
		for _, h := range c.members.All() {
			c.hosts = append(c.hosts, affinity.Host{Addr: h.Addr, DataCentre: h.DataCentre})
		}
	}
	return c.hosts
}

// logReach writes a line for each data centre that went out of reach, or came back.
func (c *control) logReach(unreachable map[string]bool) {
	for dataCentre := range unreachable {
		if !c.unreached[dataCentre] {
			level.Info(c.logger).Log("msg", "data centre out of reach", "data_centre", dataCentre, "hosts_known", c.members.NumKnown())
		}
	}
	for dataCentre := range c.unreached {
		if !unreachable[dataCentre] {
			level.Info(c.logger).Log("msg", "data centre heard again", "data_centre", dataCentre)
		}
	}
	c.unreached = unreachable
}
