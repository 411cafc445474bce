package entry

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/overload"
)

// startDuration is how long after its start a host may not have learned the size of the fleet, nor which host is the reader
// of the store. All hosts may start within 0.3 s of each other, and by the end of this time the seeds that answer it have
// learned how many there are.
const startDuration = time.Second

// fleet returns the state of the other hosts and of the store for the router.
func (c *control) fleet(now time.Duration) *affinity.Fleet {
	unreachable := c.members.Unreachable(now)
	c.logReachability(unreachable)
	f := &affinity.Fleet{
		Self:          c.host.self(),
		Hosts:         c.fleetHosts(),
		Size:          c.members.Size(now),
		Starting:      now < startDuration || !c.members.Joined(),
		ConfirmedAt:   c.confirmedAt(),
		StoreOutageAt: c.storeOutageAt(),
		Unreachable:   unreachable,
		Flows:         map[affinity.PlaceDigest]int{},
		Work:          c.workPeers.Combine(c.members.NumLocal(), now),
		ChooseByWork:  c.limits.Choice == ChooseByWork,
	}
	for _, l := range c.members.Loads(now) {
		f.Flows[affinity.PlaceDigest(l.Place)] += l.Flows
	}
	return f
}

// sharers returns what the other hosts request, by data centre. Data centres that are unreachable have no part in the
// room of the backend servers that this host reaches.
func (c *control) sharers(unreachable map[string]bool, now time.Duration) *overload.Fleet {
	f := &overload.Fleet{Hosts: 1}
	for dataCentre, d := range c.members.Demand(now) {
		reported := overload.Reported{Known: d.Known, Demand: d.Services}
		switch {
		case dataCentre == c.host.config.DataCentre:
			f.Hosts, f.Own = d.Hosts+1, reported
		case !unreachable[dataCentre]:
			f.Others = append(f.Others, reported)
		}
	}
	return f
}

// confirmedAt returns when the registry was last confirmed to match the store; negative if never.
func (c *control) confirmedAt() time.Duration {
	at, _ := c.follower.Confirmed()
	return at
}

// storeOutageAt returns the last time at which the store was, or may have been, unavailable to this host or was unavailable
// to a host that reported it; negative if never.
func (c *control) storeOutageAt() time.Duration {
	return max(c.follower.PossibleOutageAt(), c.reportedOutageAt)
}

// fleetHosts returns the descriptions of the other hosts for the router. Callers may keep the slice: it is replaced, not
// modified, when the hosts change.
func (c *control) fleetHosts() []affinity.Host {
	if generation := c.members.Generation(); c.hosts == nil || c.hostsGeneration != generation {
		c.hosts, c.hostsGeneration = make([]affinity.Host, 0, c.members.NumKnown()), generation
		for _, h := range c.members.All() {
			c.hosts = append(c.hosts, affinity.Host{Addr: h.Addr, DataCentre: h.DataCentre})
		}
	}
	return c.hosts
}

// logReachability logs each data centre that became unreachable or reachable again.
func (c *control) logReachability(unreachable map[string]bool) {
	for dataCentre := range unreachable {
		if !c.lastUnreachable[dataCentre] {
			level.Info(c.logger).Log("msg", "data centre unreachable", "data_centre", dataCentre, "hosts_known", c.members.NumKnown())
		}
	}
	for dataCentre := range c.lastUnreachable {
		if !unreachable[dataCentre] {
			level.Info(c.logger).Log("msg", "data centre reachable again", "data_centre", dataCentre)
		}
	}
	c.lastUnreachable = unreachable
}

// updateYielding decides whether the routers should leave out this host, and logs a change.
func (c *control) updateYielding(now time.Duration) {
	yielding := c.members.ShouldYield(now)
	if c.host.yielding.Swap(yielding) != yielding {
		if yielding {
			countWithdrawal("hosts_silent")
		}
		level.Info(c.logger).Log("msg", "yielding to hosts of another data centre changed", "yielding", yielding,
			"hosts_known", c.members.NumKnown())
	}
}
