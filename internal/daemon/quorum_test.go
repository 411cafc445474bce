package daemon

import (
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/membership"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// Guards against commands in a large fleet that require an answer of every host,
// that continue without a quorum of the voters, or that never get a quorum.
func TestLargeFleetsUseQuorums(t *testing.T) {
	c := newTestControl(t, 100, testDocuments(600, 1))
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
	c.performMembership(c.clock, c.members.Merge(c.clock, []membership.Update{{ID: owner, Boot: testBoot + 1, Status: membership.Suspect}}))
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
func (c *testControl) otherOwner() (service, host string) {
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

// Guards against control traffic of large fleets for differences that a push
// will resolve shortly, and for idle connections that are used only once.
func TestLargeFleetsMakeFewerCalls(t *testing.T) {
	for _, hosts := range []int{largeFleet - 1, largeFleet} {
		c := newTestControl(t, hosts, testDocuments(1, 1))
		large := hosts >= largeFleet
		differs := membership.PeerDigest{From: c.hosts[1].ID, Digest: c.config.Summary() + 1}
		c.compareDigest(c.clock, differs)
		if compared := !c.sync.lastCompared[differs.From].IsZero(); compared == large {
			t.Errorf("%d hosts: compared at once: %v", hosts, compared)
		}
		c.compareDigest(c.clock.Add(2*time.Second), differs)
		if c.sync.lastCompared[differs.From].IsZero() {
			t.Errorf("%d hosts: a difference that lasts is not compared", hosts)
		}
		if idle := idleTimeout(hosts); (idle < peer.DefaultHeartbeat) != large {
			t.Errorf("%d hosts: connections stay open for %s without calls", hosts, idle)
		}
	}
}

// Guards against commands that are dropped because this host does not own their
// service: the sender may have computed owners that include this host. The owners of
// such a service are only kept after a command has needed them.
func TestCommandsOfOtherServicesAreForwarded(t *testing.T) {
	c := newTestControl(t, 100, testDocuments(600, 1))
	snap := c.d.snapshot.Load()
	for name, svc := range snap.ByName.All() {
		if svc.CommandAddr == (route.ServiceAddr{}) || svc.InGroup(snap.SelfIndex) {
			continue
		}
		if c.commandServices[name] != nil {
			t.Fatalf("the owners of %s are kept", name)
		}
		caller := netip.MustParseAddrPort("203.0.113.5:4000")
		flow := packet.NewKey(caller, netip.AddrPortFrom(svc.CommandAddr.Addr, svc.CommandAddr.Port), packet.ProtoUDP)
		body := []byte(`{"jsonrpc":"2.0","id":1,"method":"shutoff"}`)
		req, err := command.ParseRequest(body)
		if err != nil {
			t.Fatal(err)
		}
		c.conn.sent = nil
		c.command(c.clock, commandPacket{flow: flow, service: name, request: req, inner: packet.AppendUDP(nil, flow, body), hops: 1})
		primary := snap.Hosts[svc.Primary(flow)]
		if len(c.conn.sent) != 1 || c.conn.sent[0].to != primary.Peer {
			t.Errorf("%d datagrams, want one to the primary owner %s", len(c.conn.sent), primary.ID)
		}
		return
	}
	t.Fatal("this host owns every service with commands")
}
