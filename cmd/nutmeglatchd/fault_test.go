package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// Guards against an owner that acts on outdated state after a pause: its peers
// have taken over its buckets, and a document has changed in the meantime.
func TestPausedEntryHostActsOnNoOldView(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 37, 3, 6)
	b.waitCommands(methodShutoff)
	flows := b.openFlows(&b.service, 60)
	idempotent, others := b.startCommands(2, methodStatus), b.startCommands(4, methodShutoff)
	for _, p := range b.hosts {
		b.signal(p, syscall.SIGSTOP)
		b.waitMember(p.host.ID, "dead", b.others(p)...)
		b.service.DataCentres[0].BackendServers[0].Draining = !b.service.DataCentres[0].BackendServers[0].Draining
		b.publish(&b.service)
		b.waitVersion(&b.service, b.others(p)...)
		b.signal(p, syscall.SIGCONT)
		b.waitVersion(&b.service, p)
		b.waitServing(p)
		b.waitMember(p.host.ID, "alive", b.others(p)...)
	}
	flows.endAndCheck()
	b.checkCommands(append(idempotent.end(), others.end()...))
	b.checkService()
}

// Guards against both owners of a flow failing at the same time, one dead and
// one paused: the cache of a third host and the replies must keep it working.
func TestTwoEntryHostsFailAtOnce(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 38, 4, 6)
	flows := b.openFlows(&b.service, 80)
	killed, paused := b.hosts[0], b.hosts[1]
	b.kill(killed)
	b.signal(paused, syscall.SIGSTOP)
	b.setFabricHosts(killed.host.ID, paused.host.ID)
	b.waitMember(killed.host.ID, "dead", b.hosts[2:]...)
	b.waitMember(paused.host.ID, "dead", b.hosts[2:]...)
	b.signal(paused, syscall.SIGCONT)
	b.start(killed)
	b.setFabricHosts()
	b.waitServing(b.hosts...)
	flows.endAndCheck()
	b.openFlows(&b.service, 20).endAndCheck()
	b.checkService()
}

// Guards against packets to a data centre that is out, also from a host that was
// paused while the data centre was taken out.
func TestDataCentreOutReceivesNothing(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 39, 4, 6)
	out, paused := dataCentreNames[2], b.hosts[2]
	flows := b.startFlows(&b.service, 60)
	b.wait("flows are established", func() bool { return b.connections(&b.service) >= 60 })
	for range 2 {
		b.signal(paused, syscall.SIGSTOP)
		b.publishOut(out)
		b.waitOut(out, b.others(paused)...)
		b.signal(paused, syscall.SIGCONT)
		b.waitOut(out, paused)
		before := b.packets(out)
		b.openFlows(&b.service, 40).endAndCheck()
		if n := b.packets(out) - before; n > 0 {
			t.Errorf("%d packets reached the data centre after it was out on every host", n)
		}
		b.publishOut()
		b.waitOut("", b.hosts...)
	}
	for _, r := range flows.end() {
		if r.Cause != standin.CauseNone && b.dataCentreOf(r.Instance) != out && r.Answers > 0 {
			t.Errorf("flow %s of instance %d: cause %q", r.Config.Source, r.Instance, r.Cause)
		}
	}
	b.checkService()
}

// waitOut waits until hosts have accepted that only the data centre out is out of
// service, or none if it is empty.
func (b *testFleet) waitOut(out string, hosts ...*hostProcess) {
	b.t.Helper()
	for _, p := range hosts {
		b.wait(p.host.ID+" accepts out "+out, func() bool {
			st, err := p.status()
			return err == nil && st.Serving && strings.Join(st.DataCentres.Out, ",") == out && st.DataCentres.Version == b.datacentres.Version
		})
	}
}

func (b *testFleet) packets(dc string) int64 {
	n := int64(0)
	for _, s := range b.backends {
		if s.DataCentre() == dc {
			n += s.Stats().Packets
		}
	}
	return n
}

func (b *testFleet) dataCentreOf(instance uint64) string {
	for _, s := range b.backends {
		if s.Stats().Instance == instance {
			return s.DataCentre()
		}
	}
	return ""
}

// Guards against exceeded limits of backend servers that drain, restart on their
// address or become cold without warning, while load reports are 2 s old.
func TestChangingBackendServersStayWithinLimits(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 40, 3, 6, func(c *standin.BackendConfig) { c.ReportLag = 2 * time.Second })
	b.waitCommands(methodShutoff)
	commands := b.startCommands(4, methodShutoff)
	drained := b.backends[0]
	b.service.DataCentres[0].BackendServers[0].Draining = true
	b.publish(&b.service)
	b.waitVersion(&b.service, b.hosts...)
	opened := drained.Stats().FlowsOpened
	b.instance++
	b.backends[1].Restart(b.instance)
	b.openFlows(&b.service, 100).endAndCheck()
	b.instance++
	b.backends[2].Restart(b.instance)
	b.openFlows(&b.service, 100).endAndCheck()
	if n := drained.Stats().FlowsOpened - opened; n > 0 {
		t.Errorf("%d new flows reached the drained backend server", n)
	}
	b.checkCommands(commands.end())
	for i, s := range b.backends {
		// A restart without warning is detected only by the first command
		// that the backend server sheds, or by the delayed load report.
		surprises := 0
		if i == 1 || i == 2 {
			surprises = 1
		}
		if st := s.Stats(); st.MaxOverConnections > 0 || st.MaxOverSlots > surprises || st.Sheds > int64(surprises) {
			t.Errorf("backend server %s: %d connections and %d slots over its allowance, %d commands shed", s.Addr(), st.MaxOverConnections, st.MaxOverSlots, st.Sheds)
		}
	}
	b.checkService()
}

// Guards against a backend server that became cold and keeps shedding commands
// because shed commands do not count as evidence of a restart.
func TestSheddingReturnsABackendServerToCold(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 43, 3, 3, func(c *standin.BackendConfig) {
		c.ReportLag, c.CommandTime = time.Minute, 100*time.Millisecond
		c.Cold.Ramp = document.Duration(8 * time.Second)
	})
	b.waitCommands(methodStatus)
	commands := b.startCommands(12, methodStatus)
	b.wait("both slots are in use", func() bool { return b.backends[0].Busy() == 2 })
	b.instance++
	b.backends[0].Restart(b.instance)
	before := b.backends[0].Stats()
	b.wait("commands run after the restart", func() bool { return b.backends[0].Stats().CommandsRun-before.CommandsRun >= 10 })
	commands.end()
	// One command per slot may be in transit while the first one is shed.
	if n := b.backends[0].Stats().Sheds - before.Sheds; n > 2 {
		t.Errorf("%d commands were shed", n)
	}
}

// Guards against invalid input at any port that ends or stalls the process.
func TestBadInputAtEveryPort(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 42, 3, 3)
	p := b.hosts[0]
	flows := b.openFlows(&b.service, 20)
	gue, peer := netip.AddrPortFrom(p.host.Address, p.host.GUEPort), p.host.PeerAddr()
	rng := rand.New(rand.NewPCG(1, 1))
	var key [16]byte
	key[0] = 1
	inner := packet.AppendUDP(nil, packet.NewKey(b.source(), netip.MustParseAddrPort("198.51.100.10:7002"), packet.ProtoUDP), []byte(`{"jsonrpc":"2.0","id":[1],"method":"x"}`))
	header := packet.ForwardHeader{Kind: packet.KindCommand, Hops: 3, Origin: peer, Sender: peer}
	datagrams := [][]byte{
		{}, {0x01}, {0x02}, {0x45}, bytes.Repeat([]byte{0x45}, 19), bytes.Repeat([]byte{0x02}, 1300),
		inner[:30], inner, packet.AppendForward(nil, &key, &header, inner), bytes.Repeat([]byte{0xff}, 60000),
	}
	conn, err := net.Dial("udp", gue.String())
	b.must(err)
	defer conn.Close()
	toPeer, err := net.Dial("udp", peer.String())
	b.must(err)
	defer toPeer.Close()
	for range 200 {
		random := make([]byte, rng.IntN(1400))
		for i := range random {
			random[i] = byte(rng.Uint32())
		}
		datagrams = append(datagrams, random)
	}
	for _, d := range datagrams {
		_, _ = conn.Write(d)
		_, _ = toPeer.Write(d)
	}
	b.must(floodTCP(t.Context(), peer, p.admin))
	b.waitServing(p)
	body, err := p.get("/metrics")
	b.must(err)
	for _, want := range []string{`nutmeglatch_daemon_dropped_total{port="gue",reason="truncated"}`, `nutmeglatch_daemon_dropped_total{port="peer",reason="tag"}`, `nutmeglatch_peer_datagrams_refused_total{reason=`, `nutmeglatch_peer_connections_refused_total{direction="in",reason=`, `nutmeglatch_membership_suspicions_total{`, `nutmeglatch_flow_entries `} {
		if !strings.Contains(string(body), want) {
			t.Errorf("no counter %s", want)
		}
	}
	flows.endAndCheck()
	b.openFlows(&b.service, 20).endAndCheck()
}

// floodTCP opens connections that send endless JSON, random bytes or nothing.
func floodTCP(ctx context.Context, addrs ...netip.AddrPort) error {
	var g errgroup.Group
	for _, addr := range addrs {
		for _, data := range []string{strings.Repeat("[", 1<<20), strings.Repeat("\xff", 1<<16), "GET /explain?src=x HTTP/1.1\r\nHost: x\r\n\r\n", ""} {
			g.Go(func() error {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr.String())
				if err != nil {
					return err
				}
				defer conn.Close()
				if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
					return err
				}
				_, _ = io.WriteString(conn, data)
				_, _ = io.Copy(io.Discard, conn)
				return nil
			})
		}
	}
	return g.Wait()
}
