package route

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// sweep removes idle entries at every host. It returns the number of flows that
// are charged at their primary owners, and of entries left at all hosts.
func (f *fleet) sweep() (charged, entries int) {
	for _, n := range f.nodes {
		for _, flows := range Sweep(n.snap, n.router.Table, f.now).Charged {
			charged += flows
		}
		entries += n.router.Table.Len()
	}
	return charged, entries
}

// finishFlow sends a complete flow of n packets, the last of them with a FIN.
func (f *fleet) finishFlow(k packet.Key, n int) {
	flags := packet.FlagSYN
	for i := range n {
		if i == n-1 {
			flags = packet.FlagFIN | packet.FlagACK
		}
		if got := f.send(f.randomHost(), k, flags); got != delivered {
			f.t.Fatalf("packet %d of %v: %v", i, k, got)
		}
		flags = packet.FlagACK
	}
	delete(f.serving, k)
}

// Guards against flows that remain charged, or in the owners' tables, after they
// have ended.
func TestFinishedFlowsAreNotCharged(t *testing.T) {
	const flows = 1000
	f := newFleet(t, 2, 4) // both hosts own every bucket
	for i := range flows {
		f.finishFlow(callerKey(i, packet.ProtoTCP), 10)
	}
	if charged, _ := f.sweep(); charged != 0 {
		t.Errorf("%d of %d finished flows are charged", charged, flows)
	}
	f.now += Time(time.Minute)
	if _, entries := f.sweep(); entries != 0 {
		t.Errorf("%d entries a minute after %d flows finished", entries, flows)
	}
}

// BenchmarkShortFlow reports the forwards per flow of 10 packets, and the charges
// and entries that remain after its end.
func BenchmarkShortFlow(b *testing.B) {
	for b.Loop() {
		f := newFleet(b, 7, 14)
		const flows = 2000
		for i := range flows {
			f.finishFlow(callerKey(i, packet.ProtoTCP), 10)
		}
		charged, _ := f.sweep()
		f.now += Time(time.Minute)
		_, entries := f.sweep()
		b.ReportMetric(float64(f.hops)/flows, "forwards/flow")
		b.ReportMetric(float64(charged)/flows, "charged/flow")
		b.ReportMetric(float64(entries)/flows, "entries/flow")
	}
}

// segment returns a packet of the caller with a sequence number and payload.
func (x *roleFleet) segment(flags uint8, seq uint32, payload string) []byte {
	return packet.AppendTCP(nil, x.k, flags, seq, 1, []byte(payload))
}

// closingHosts returns which of arrival host, primary and secondary have a
// closing entry, as the letters A, P and S.
func (x *roleFleet) closingHosts() (hosts string) {
	for i, host := range []string{x.arrival, x.primary, x.secondary} {
		if e, ok := x.nodes[host].router.Table.Peek(x.k, x.k.Hash()); ok && e.Closing {
			hosts += "APS"[i : i+1]
		}
	}
	return hosts
}

const finAck = packet.FlagFIN | packet.FlagACK

// Guards against a flow end that does not reach the owners, against forwards of
// packets that follow the end, and against a FIN that ends a flow which
// continues, in any order of arrival.
func TestClosing(t *testing.T) {
	fin := func(x *roleFleet) outcome { return x.arrive(x.arrival, x.segment(finAck, 100, "")) }
	ack := func(x *roleFleet) outcome { return x.arrive(x.arrival, x.segment(packet.FlagACK, 101, "")) }
	data := func(x *roleFleet) outcome { return x.arrive(x.arrival, x.segment(packet.FlagACK, 100, "more")) }
	lateData := func(x *roleFleet) outcome { return x.arrive(x.arrival, x.segment(packet.FlagACK, 90, "last ones!")) }
	wait := func(x *roleFleet) outcome { x.now += Time(time.Second); return outcome{} }
	newOwners := func(x *roleFleet) outcome {
		for i := range x.hosts {
			x.hosts[i].Boot++
		}
		x.update()
		return wait(x)
	}
	deleteEntry := func(x *roleFleet) outcome {
		x.nodes[x.arrival].router.Table.Delete(x.k, x.k.Hash())
		return outcome{}
	}
	from := func(flags uint8) func(x *roleFleet) outcome {
		return func(x *roleFleet) outcome { return x.reply(x.arrival, x.backend(1), replyTo(x.k, flags)) }
	}
	type steps []func(x *roleFleet) outcome
	for _, c := range []struct {
		name  string
		steps steps
		want  string
		hops  int
	}{
		{"FIN", steps{fin}, "APS", 3},
		{"reset", steps{func(x *roleFleet) outcome { return x.arrive(x.arrival, x.segment(packet.FlagRST, 100, "")) }}, "APS", 3},
		{"FIN at the primary", steps{func(x *roleFleet) outcome { return x.arrive(x.primary, x.segment(finAck, 100, "")) }}, "PS", 2},
		{"FIN at the secondary", steps{func(x *roleFleet) outcome { return x.arrive(x.secondary, x.segment(finAck, 100, "")) }}, "PS", 2},
		{"FIN at a host without an entry", steps{deleteEntry, fin}, "APS", 3},
		{"FIN and data in one packet", steps{func(x *roleFleet) outcome { return x.arrive(x.arrival, x.segment(finAck, 100, "x")) }}, "APS", 3},
		{"repeated FIN", steps{fin, fin, fin}, "APS", 3},
		{"FIN sent again later", steps{fin, wait, fin}, "APS", 6},
		{"last ACK", steps{fin, ack}, "APS", 3},
		{"last ACK at a host without an entry", steps{fin, deleteEntry, ack}, "APS", 5},
		{"owners change after the FIN", steps{fin, newOwners, ack, ack}, "APS", 3},
		{"FIN before the last data", steps{fin, lateData}, "APS", 3},
		{"last data at a host without an entry", steps{fin, deleteEntry, lateData}, "APS", 5},
		{"data after a forged FIN", steps{fin, data}, "", 6},
		{"data after a forged FIN at a host without an entry", steps{fin, deleteEntry, data}, "", 6},
		{"FIN after data after a forged FIN", steps{fin, data, fin}, "APS", 9},
		{"backend server's FIN", steps{from(finAck)}, "A", 0},
		{"FIN answers the backend server's", steps{from(finAck), fin}, "APS", 3},
		{"backend server's reset", steps{from(packet.FlagRST)}, "AP", 1},
		{"same connection opens again", steps{fin, func(x *roleFleet) outcome { return x.arrive(x.arrival, x.segment(packet.FlagSYN, 7, "")) }}, "", 6},
	} {
		x := newRoleFleet(t)
		for _, host := range []string{x.arrival, x.primary, x.secondary} {
			x.storeEntry(host, 1, flow.Proven)
		}
		for i, step := range c.steps {
			got := step(x)
			if got.Backend != nil && got.Backend.Addr != x.backend(1) || got.Kind != ToBackend && got.Kind != ToCaller && got.host != "" {
				t.Errorf("%s: step %d: %v", c.name, i, got)
			}
		}
		if got := x.closingHosts(); got != c.want || x.hops != c.hops {
			t.Errorf("%s: closing at %q after %d hops, want %q after %d", c.name, got, x.hops, c.want, c.hops)
		}
	}
}

// Guards against a caller that reuses its port and is sent to its former backend
// server, which is draining by then, and against cached entries that still name
// that server afterwards.
func TestPortReuse(t *testing.T) {
	for _, closed := range []bool{true, false} { // whether the owners still have the closing entry
		x := newRoleFleet(t)
		var others []string
		for _, h := range x.hosts {
			x.storeEntry(h.ID, 1, flow.Proven) // every host has served the flow
			if h.ID != x.primary && h.ID != x.secondary && h.ID != x.arrival {
				others = append(others, h.ID)
			}
		}
		x.serving[x.k] = x.backend(1)
		x.arrive(x.arrival, x.segment(finAck, 100, ""))
		delete(x.serving, x.k)
		x.services[0].Backends[1].Draining = true
		x.update()
		if !closed {
			x.now += Time(flow.ClosingIdleSeconds+1) * Time(time.Second)
			x.sweep()
		}
		if got := x.send(others[0], x.k, packet.FlagSYN); got != delivered || x.serving[x.k] == x.backend(1) {
			t.Fatalf("closed %v: SYN: %v at %v", closed, got, x.serving[x.k])
		}
		x.now += Time(5 * time.Minute) // refreshes of the old entries are due
		for _, h := range x.hosts {
			for try := range 3 {
				raw := x.segment(packet.FlagACK, 5000, "data")
				if got := x.simulateBackend(x.k, raw, x.arrive(h.ID, raw)); got == broken || try == 2 && got != delivered {
					t.Errorf("closed %v: packet %d through %s: %v", closed, try, h.ID, got)
				}
			}
		}
	}
}

// Guards against a late reply or a cached entry of an earlier connection from
// the same port that takes precedence over the owners' entry. Packets then reach
// the wrong backend server, and its reset reaches the caller.
func TestEntriesOfAnEarlierConnection(t *testing.T) {
	for n := 1; n < 4; n++ {
		lateReply, restart := n&1 != 0, n&2 != 0
		x := newRoleFleet(t)
		deliver := func(host string, flags uint8, seq uint32, payload string) result {
			raw := x.segment(flags, seq, payload)
			return x.simulateBackend(x.k, raw, x.arrive(host, raw))
		}
		deliver(x.arrival, packet.FlagSYN, 7, "")
		other := x.arrival // another host that is no owner
		for _, h := range x.hosts {
			deliver(h.ID, packet.FlagACK, 8, "data") // after the replies, every entry is proven
			if h.ID != x.primary && h.ID != x.secondary && other == x.arrival {
				other = h.ID
			}
		}
		former := x.serving[x.k]
		for i := range x.services[0].Backends {
			x.services[0].Backends[i].Draining = x.services[0].Backends[i].Addr == former
		}
		x.update()
		// The second of two more connections stays at the backend server of the first.
		for n := range uint32(2) {
			x.now += Time(time.Second)
			deliver(x.primary, finAck, 12+n<<30, "")
			delete(x.serving, x.k)
			if got := deliver(other, packet.FlagSYN, 11+(n+1)<<30, ""); got != delivered || x.serving[x.k] == former {
				t.Fatalf("SYN: %v at %v", got, x.serving[x.k])
			}
		}
		if lateReply {
			x.nodes[x.arrival].router.Table.Delete(x.k, x.k.Hash())
			x.reply(x.arrival, former, replyTo(x.k, packet.FlagACK))
		}
		if restart {
			for i := range x.hosts {
				x.hosts[i].Boot++
			}
			x.start(x.primary)
			x.update()
			x.now += Time(time.Second)
		}
		for try, host := range []string{x.arrival, x.arrival, x.arrival, x.primary, x.secondary, other} {
			if got := deliver(host, packet.FlagACK, 12+2<<30, "data"); got == broken || try > 1 && got != delivered {
				t.Errorf("late reply %v, restart %v: packet %d through %s: %v", lateReply, restart, try, host, got)
			}
		}
	}
}

// Guards against half-closed downloads that break because the owners have
// removed their entries.
func TestHalfClosed(t *testing.T) {
	f := newFleet(t, 7, 14)
	f.openFlows(0, 100, packet.ProtoTCP)
	for i := range 100 {
		if got := f.send(f.randomHost(), callerKey(i, packet.ProtoTCP), finAck); got == broken {
			t.Fatalf("FIN of flow %d: %v", i, got)
		}
	}
	for range 20 {
		f.now += Time(15 * time.Second)
		f.sweep()
		for k := range f.sendRounds(1, 100, packet.ProtoTCP) {
			t.Errorf("flow %v broke", k)
		}
	}
}

// Guards against allocation when flows end.
func TestClosingDoesNotAllocate(t *testing.T) {
	x := newRoleFleet(t)
	n := x.nodes[x.arrival]
	fin, data := parse(t, x.segment(finAck, 100, "")), parse(t, x.segment(packet.FlagACK, 100, "more"))
	x.storeEntry(x.arrival, 1, flow.Proven)
	if allocs := testing.AllocsPerRun(100, func() {
		x.now += Time(time.Second)
		sink = n.router.FromFabric(n.snap, fin, x.now)
		sink = n.router.FromFabric(n.snap, data, x.now)
	}); allocs != 0 {
		t.Errorf("%v allocations", allocs)
	}
}

// connection is a TCP connection of a caller, which may use its address and port
// for several in turn.
type connection struct {
	k              packet.Key
	seq, sent      uint32 // sequence numbers of the next packet and of the one before
	open, finished bool
}

// next sends the connection's next packet: a SYN, data, a retransmission, a FIN,
// or the ACK of a half-closed download.
func (c *connection) next(f *fleet, reuse bool) result {
	flags, seq, payload := packet.FlagACK, c.seq, "data"
	n := f.rng.IntN(10)
	switch {
	case !c.open:
		flags, payload = packet.FlagSYN, ""
	case c.finished && n == 0 && reuse:
		delete(f.serving, c.k)
		*c = connection{k: c.k, seq: f.rng.Uint32()}
		return delivered
	case c.finished && n < 3, n == 3:
		seq = c.sent
	case n == 4, c.finished && n < 6:
		flags, payload = finAck, ""
	case c.finished:
		payload = ""
	}
	raw := packet.AppendTCP(nil, c.k, flags, seq, 1, []byte(payload))
	id := f.randomHost()
	got := f.simulateBackend(c.k, raw, f.arrive(id, raw))
	if got != delivered {
		return got // the caller retransmits
	}
	switch {
	case flags == packet.FlagSYN:
		c.open, c.seq, c.sent = true, c.seq+1, c.seq+1
	case flags == finAck:
		c.finished = true
	case seq == c.seq && payload != "":
		c.sent, c.seq = seq, seq+uint32(len(payload))
	}
	return got
}

// Guards against flows that break because they are closing while owners, cached
// entries and backend servers change.
func TestClosingFlowsSurviveChanges(t *testing.T) { testClosingUnderChanges(t, false) }

// Guards against flows that break because an earlier connection from the same
// port left entries for another backend server.
func TestPortReuseSurvivesChanges(t *testing.T) { testClosingUnderChanges(t, true) }

func testClosingUnderChanges(t *testing.T, reuse bool) {
	for seed := range uint64(8) {
		f := newFleet(t, 7, 14)
		f.rng = rand.New(rand.NewPCG(seed, 0))
		f.duplicate = !reuse // a duplicate of an earlier connection's packet may be reset
		var connections []connection
		for i := range 60 {
			connections = append(connections, connection{k: callerKey(i, packet.ProtoTCP), seq: f.rng.Uint32()})
		}
		for step := range 300 {
			f.now += Time(f.rng.IntN(1000)) * Time(time.Millisecond)
			switch step % 20 {
			case 3:
				b := &f.services[0].Backends[f.rng.IntN(14)]
				b.Draining = !b.Draining
				f.update()
			case 7:
				i := f.rng.IntN(7)
				f.hosts = slices.Clone(f.hosts)
				f.hosts[i].Boot++
				f.start(f.hosts[i].ID)
				f.update(f.randomHost(), f.randomHost(), f.randomHost())
			case 13:
				f.update()
				f.sweep()
			}
			for i := range connections {
				if got := connections[i].next(f, reuse); got == broken {
					t.Fatalf("reuse %v, seed %d, step %d: connection %d broke: %+v", reuse, seed, step, i, connections[i])
				}
			}
		}
		f.duplicate = false
		for i := range connections {
			for _, h := range f.hosts {
				c, got := connections[i], lost
				for try := 0; c.open && !c.finished && got != delivered; try++ {
					raw := packet.AppendTCP(nil, c.k, packet.FlagACK, c.seq, 1, []byte("data"))
					if got = f.simulateBackend(c.k, raw, f.arrive(h.ID, raw)); got == broken || try == 14 {
						t.Fatalf("reuse %v, seed %d: connection %d through %s: %v", reuse, seed, i, h.ID, got)
					}
				}
			}
		}
	}
}
