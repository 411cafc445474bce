package route

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// roleFleet is a fleet with one flow, and the hosts that are the flow's primary
// owner, its secondary owner and the arrival host of its packets.
type roleFleet struct {
	*fleet
	k                           packet.Key
	primary, secondary, arrival string
}

// newRoleFleet returns a fleet with a flow whose owners and arrival host are
// three different hosts.
func newRoleFleet(t *testing.T) *roleFleet {
	f := newFleet(t, 5, 14)
	k := callerKey(1, packet.ProtoTCP)
	s := f.nodes["entry-0"].snap
	svc := s.ByName.Get("gridwatch")
	x := &roleFleet{fleet: f, k: k}
	x.primary, x.secondary = s.Hosts[svc.Primary(k)].ID, s.Hosts[svc.Secondary(k)].ID
	for _, h := range f.hosts {
		if h.ID != x.primary && h.ID != x.secondary {
			x.arrival = h.ID
		}
	}
	return x
}

// storeEntry stores an entry for the n-th backend server at a host.
func (x *roleFleet) storeEntry(host string, n int, state flow.State) {
	b := x.services[0].Backends[n]
	svc := x.nodes[host].snap.ByName.Get("gridwatch")
	e := flow.Entry{
		Addr: b.Addr.Addr().As16(), Port: b.Addr.Port(), Instance: b.Instance, Service: svc.Index, State: state,
		LastSeen: x.now.seconds(), RefreshedAt: x.now.milliseconds(), Epoch: svc.owned(bucketOf(x.k.Hash())).epoch,
	}
	x.nodes[host].router.Table.Replace(x.k, x.k.Hash(), e)
}

func (x *roleFleet) backend(n int) netip.AddrPort { return x.services[0].Backends[n].Addr }

// held returns the backend server and state of a host's entry.
func (x *roleFleet) held(host string) (netip.AddrPort, flow.State) {
	e, ok := x.nodes[host].router.Table.Peek(x.k, x.k.Hash())
	if !ok {
		return netip.AddrPort{}, flow.Guess
	}
	return e.AddrPort(), e.State
}

// Guards against two owners that keep different backend servers for a flow: the
// stronger entry must replace the other, and the secondary's on a tie.
func TestConflictBetweenOwners(t *testing.T) {
	for _, c := range []struct {
		primary, secondary flow.State
		flags              uint8
		want               int
	}{
		{flow.Tentative, flow.Tentative, packet.FlagSYN, 2},
		{flow.Tentative, flow.Settled, packet.FlagACK, 2},
		{flow.Tentative, flow.Proven, packet.FlagACK, 2},
		{flow.Guess, flow.Tentative, packet.FlagSYN, 2},
		{flow.Guess, flow.Settled, packet.FlagACK, 2},
		{flow.Tentative, flow.Guess, packet.FlagACK, 1},
	} {
		x := newRoleFleet(t)
		x.storeEntry(x.primary, 1, c.primary)
		x.storeEntry(x.secondary, 2, c.secondary)
		got := x.arrive(x.arrival, tcp(x.k, c.flags))
		if got.Kind != ToBackend || got.Backend.Addr != x.backend(c.want) || got.host != x.arrival {
			t.Errorf("%+v: %v", c, got)
		}
		for _, host := range []string{x.primary, x.secondary, x.arrival} {
			if held, _ := x.held(host); held != x.backend(c.want) {
				t.Errorf("%+v: %s holds %v", c, host, held)
			}
		}
	}
}

// Guards against a new flow that remains tentative, so that every lookup goes to
// both owners, and against one that settles before the secondary has confirmed it.
func TestConfirmation(t *testing.T) {
	x := newRoleFleet(t)
	x.arrive(x.arrival, tcp(x.k, packet.FlagSYN))
	if _, state := x.held(x.primary); state != flow.Tentative {
		t.Fatalf("state %v before the secondary answered", state)
	}
	x.nodes[x.arrival].router.Table.Delete(x.k, x.k.Hash())
	x.arrive(x.arrival, tcp(x.k, packet.FlagACK))
	if _, state := x.held(x.primary); state != flow.Settled {
		t.Fatalf("state %v after the secondary answered", state)
	}
}

// Guards against entries that lose their second copy because an entry in use is
// not refreshed: after a change of owners, for a reopened connection, and when
// packets use only cached entries.
func TestRefresh(t *testing.T) {
	for _, c := range []struct {
		name   string
		flags  uint8
		hops   int
		change func(x *roleFleet)
	}{
		{"nothing due", packet.FlagACK, 0, func(x *roleFleet) {}},
		{"owners change", packet.FlagACK, 3, func(x *roleFleet) {
			x.kill(x.primary)
			x.kill(x.secondary)
			x.update()
			x.now += Time(time.Second)
		}},
		{"both owners restart", packet.FlagACK, 3, func(x *roleFleet) {
			for i := range x.hosts {
				if id := x.hosts[i].ID; id == x.primary || id == x.secondary {
					x.hosts[i].Boot++
				}
			}
			x.update()
			x.now += Time(time.Second)
		}},
		{"a third of the idle time passes", packet.FlagACK, 3, func(x *roleFleet) { x.now += Time(200 * time.Second) }},
		{"connection opens again", packet.FlagSYN, 3, func(x *roleFleet) {}},
		{"an owner is suspect", packet.FlagACK, 0, func(x *roleFleet) {
			for i := range x.hosts {
				x.hosts[i].Suspect = x.hosts[i].ID == x.primary
			}
			x.update()
			x.now += Time(200 * time.Second)
		}},
	} {
		x := newRoleFleet(t)
		// The arrival host does not own the flow after the change either.
		x.storeEntry(x.arrival, 4, flow.Proven)
		c.change(x)
		svc := x.nodes[x.arrival].snap.ByName.Get("gridwatch")
		x.hops = 0
		got := x.arrive(x.arrival, tcp(x.k, c.flags))
		if got.Kind != ToBackend || got.Backend.Addr != x.backend(4) || got.host != x.arrival {
			t.Errorf("%s: %v", c.name, got)
		}
		owners := 0
		for _, i := range svc.owned(bucketOf(x.k.Hash())).hosts {
			id := x.nodes[x.arrival].snap.Hosts[i].ID
			if held, _ := x.held(id); id != x.arrival && held == x.backend(4) {
				owners++
			}
		}
		if c.hops > 0 && owners == 0 || c.hops == 0 && x.hops != 0 {
			t.Errorf("%s: %d hops, %d owners hold the entry", c.name, x.hops, owners)
		}
		hops := x.hops
		if x.arrive(x.arrival, tcp(x.k, packet.FlagACK)); x.hops != hops {
			t.Errorf("%s: the next packet is refreshed again", c.name)
		}
	}
}

// Guards against an entry that has no second copy after a suspect owner is
// available again: the flow was admitted while that owner was not asked.
func TestSuspectPrimary(t *testing.T) {
	x := newRoleFleet(t)
	for i := range x.hosts {
		x.hosts[i].Suspect = x.hosts[i].ID == x.primary
	}
	x.update()
	first := x.arrive(x.arrival, tcp(x.k, packet.FlagSYN))
	for i := range x.hosts {
		x.hosts[i].Suspect = false
	}
	x.update()
	x.now += Time(time.Second)
	x.arrive(x.arrival, tcp(x.k, packet.FlagACK))
	if held, _ := x.held(x.primary); first.Kind != ToBackend || held != first.Backend.Addr {
		t.Fatalf("%v, the primary holds %v", first, held)
	}
}

// Guards against owners that do not learn that a backend server has replied: the
// next packet after the reply must make their entries proven.
func TestReplyProves(t *testing.T) {
	x := newRoleFleet(t)
	if got := x.reply(x.arrival, x.backend(3), replyTo(x.k, packet.FlagACK)); got.Kind != ToCaller {
		t.Fatalf("reply: %v", got)
	}
	x.arrive(x.arrival, tcp(x.k, packet.FlagACK))
	for _, host := range []string{x.arrival, x.primary, x.secondary} {
		if held, state := x.held(host); held != x.backend(3) || state != flow.Proven {
			t.Errorf("%s holds %v in state %v", host, held, state)
		}
	}
}

// Guards against a reset from one backend server that ends a flow of another.
func TestBackendReset(t *testing.T) {
	for _, c := range []struct {
		name  string
		at    func(x *roleFleet) string // host with an entry for backend server 1
		state flow.State
		from  int
		want  Action
	}{
		{"own backend server", func(x *roleFleet) string { return x.arrival }, flow.Settled, 1, Action{Kind: ToCaller}},
		{"another backend server", func(x *roleFleet) string { return x.arrival }, flow.Settled, 2, drop(ReasonOtherBackendReset)},
		{"guess", func(x *roleFleet) string { return x.arrival }, flow.Guess, 1, drop(ReasonGuessReset)},
		{"earlier guess", func(x *roleFleet) string { return x.arrival }, flow.Guess, 2, drop(ReasonOtherBackendReset)},
		{"owner has an entry", func(x *roleFleet) string { return x.primary }, flow.Settled, 1, Action{Kind: ToCaller}},
		{"owner has an entry for another backend server", func(x *roleFleet) string { return x.primary }, flow.Settled, 2, drop(ReasonOtherBackendReset)},
		{"owner guesses", func(x *roleFleet) string { return x.primary }, flow.Guess, 1, drop(ReasonUnknownFlowReset)},
		{"primary has no entry", func(x *roleFleet) string { return x.secondary }, flow.Settled, 1, drop(ReasonUnknownFlowReset)},
	} {
		x := newRoleFleet(t)
		x.storeEntry(c.at(x), 1, c.state)
		got := x.reply(x.arrival, x.backend(c.from), replyTo(x.k, packet.FlagRST))
		if got.Kind != c.want.Kind || got.Reason != c.want.Reason {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against packets that are forwarded although they must be dropped, and
// against drops with the wrong reason.
func TestRefusals(t *testing.T) {
	syn := func(x *roleFleet) outcome { return x.arrive(x.arrival, tcp(x.k, packet.FlagSYN)) }
	forwarded := func(h packet.ForwardHeader) func(x *roleFleet) outcome {
		return func(x *roleFleet) outcome {
			n := x.nodes[x.arrival]
			h.Origin = testHost(0).Peer
			return outcome{n.router.FromPeer(n.snap, &h, parse(x.t, tcp(x.k, packet.FlagACK)), x.now), x.arrival}
		}
	}
	backends := func(change func(b *BackendConfig)) func(x *roleFleet) {
		return func(x *roleFleet) {
			for i := range x.services[0].Backends {
				change(&x.services[0].Backends[i])
			}
		}
	}
	nothing := func(*roleFleet) {}
	for _, c := range []struct {
		prepare func(x *roleFleet)
		do      func(x *roleFleet) outcome
		want    Reason
	}{
		{nothing, func(x *roleFleet) outcome { x.k.DstPort++; return syn(x) }, ReasonNoService},
		{backends(func(b *BackendConfig) { b.Weight = 0 }), syn, ReasonNoBackend},
		{backends(func(b *BackendConfig) { b.Draining = true }), syn, ReasonNoBackend},
		{backends(func(b *BackendConfig) { b.DataCentreOut = true }), syn, ReasonNoBackend},
		{backends(func(b *BackendConfig) { b.Unusable = true }), syn, ReasonNoBackend},
		{backends(func(b *BackendConfig) { b.NewFlowBudget = new(Budget) }), syn, ReasonNoCapacity},
		{func(x *roleFleet) { x.nodes[x.primary].router.Table = flow.NewTable(0) }, syn, ReasonTableFull},
		{backends(func(b *BackendConfig) { b.Unusable = true }), func(x *roleFleet) outcome {
			return x.arrive(x.arrival, tcp(x.k, packet.FlagACK))
		}, ReasonNoCandidate},
		{nothing, forwarded(packet.ForwardHeader{Kind: packet.KindCommand, Hops: 3}), ReasonBadKind},
		{nothing, forwarded(packet.ForwardHeader{Kind: packet.KindPropose, Hops: 3}), ReasonBadKind},
		{nothing, forwarded(packet.ForwardHeader{Kind: packet.KindLookup, Hops: 1}), ReasonHopLimit},
		{nothing, forwarded(packet.ForwardHeader{Kind: packet.KindReset, Hops: 3}), ReasonNoService},
		{nothing, func(x *roleFleet) outcome {
			n := x.nodes[x.arrival]
			h := packet.ForwardHeader{Kind: packet.KindReset, Hops: 3}
			return outcome{n.router.FromPeer(n.snap, &h, parse(x.t, replyTo(x.k, packet.FlagACK)), x.now), x.arrival}
		}, ReasonBadKind},
		{nothing, func(x *roleFleet) outcome {
			return x.reply(x.arrival, testBackend(12, 0).Addr, replyTo(x.k, packet.FlagACK))
		}, ReasonUnknownBackend},
		{func(x *roleFleet) { x.services = append(x.services, testService("ledgerdesk", 11, packet.ProtoTCP, 1)) }, func(x *roleFleet) outcome {
			return x.reply(x.arrival, testBackend(11, 0).Addr, replyTo(x.k, packet.FlagACK))
		}, ReasonForeignBackend},
		{func(x *roleFleet) { x.kill(x.arrival); x.nodes[x.arrival].down = false }, syn, ReasonNotListed},
	} {
		x := newRoleFleet(t)
		c.prepare(x)
		x.update()
		if got := c.do(x); got.Kind != Drop || got.Reason != c.want {
			t.Errorf("%v, want %v", got, c.want)
		}
	}
	paused := *newRoleFleet(t).nodes["entry-0"].snap
	paused.Serving = false
	for _, got := range []Action{
		new(Router).FromFabric(&paused, nil, 0), new(Router).FromPeer(&paused, nil, nil, 0), new(Router).FromBackend(&paused, netip.AddrPort{}, nil, 0),
	} {
		if got != drop(ReasonNotServing) {
			t.Errorf("a host that does not serve: %+v", got)
		}
	}
	for _, r := range Reasons() {
		if r.String() == "" {
			t.Errorf("reason %d has no name", r)
		}
	}
}

// Guards against commands that are handled by a host that does not own their
// claims.
func TestCommandsReachThePrimary(t *testing.T) {
	f := newFleet(t, 5, 14)
	for i := range 100 {
		k := callerKey(i, packet.ProtoUDP)
		k.DstPort = 7002
		s := f.nodes["entry-0"].snap
		primary := s.Hosts[s.ByName.Get("gridwatch").Primary(k)].ID
		for _, h := range f.hosts {
			if got := f.arrive(h.ID, packet.AppendUDP(nil, k, nil)); got.Kind != ToCommand || got.host != primary {
				t.Fatalf("from %s: %v, want %s", h.ID, got, primary)
			}
		}
		if got := f.reply("entry-0", testBackend(10, 0).Addr, replyTo(k, 0)); got.Kind != ToCommand || got.Backend == nil {
			t.Fatalf("reply: %v", got)
		}
	}
}

// Guards against a flow that is admitted by its former and by its current owners.
// The arrival host has an outdated view and asks a former owner, which has the
// current view and must pass the lookup on to the current owners.
func TestLookupFromOutdatedView(t *testing.T) {
	x := newRoleFleet(t)
	former := []string{x.primary, x.secondary}
	for i := range x.hosts {
		x.hosts[i].Leaving = x.hosts[i].ID == former[0] || x.hosts[i].ID == former[1]
	}
	x.update(former...)
	s := x.nodes[former[0]].snap
	owners := s.ByName.Get("gridwatch").owned(bucketOf(x.k.Hash())).hosts
	for i, h := range s.Hosts {
		if uint16(i) != owners[0] && uint16(i) != owners[1] && !h.Leaving {
			x.arrival = h.ID
		}
	}
	for _, i := range owners {
		x.update(s.Hosts[i].ID)
	}
	first := x.arrive(x.arrival, tcp(x.k, packet.FlagSYN))
	for _, i := range owners {
		if held, _ := x.held(s.Hosts[i].ID); first.Kind != ToBackend || held != first.Backend.Addr {
			t.Errorf("%v, but owner %s holds %v", first, s.Hosts[i].ID, held)
		}
	}
}

// Guards against an overruled proposal that is used later, because the backend
// server that replaces it is not in the proposer's documents yet.
func TestConflictWithUnknownBackend(t *testing.T) {
	x := newRoleFleet(t)
	x.services[0].Backends = append(x.services[0].Backends, testBackend(10, 14))
	x.update(x.secondary)
	x.storeEntry(x.secondary, 14, flow.Settled)
	if got := x.arrive(x.primary, tcp(x.k, packet.FlagSYN)); got.Kind != Drop || got.Reason != ReasonUnknownBackend {
		t.Fatalf("first packet: %v", got)
	}
	if held, _ := x.held(x.primary); held.IsValid() {
		t.Fatalf("the primary holds %v", held)
	}
}

// Guards against concurrent packets of one flow that are admitted to different
// backend servers, and against data races in the router.
func TestConcurrentFirstPackets(t *testing.T) {
	f := newFleet(t, 1, 14)
	for i := range f.services[0].Backends {
		// Small enough to run out, so that the choice changes while the packets race.
		f.services[0].Backends[i].NewFlowBudget = new(Budget)
		f.services[0].Backends[i].NewFlowBudget.Set(40)
	}
	f.update()
	n := f.nodes["entry-0"]
	for i := range 100 {
		info := parse(t, tcp(callerKey(i, packet.ProtoTCP), packet.FlagSYN))
		var group sync.WaitGroup
		var got [4]Action
		for g := range got {
			group.Go(func() { got[g] = n.router.FromFabric(n.snap, info, f.now) })
		}
		group.Wait()
		for _, a := range got {
			if a.Kind != ToBackend || a.Backend != got[0].Backend {
				t.Fatalf("flow %d: %+v", i, got)
			}
		}
	}
}
