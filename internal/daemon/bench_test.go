package daemon

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/configsync"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/membership"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
)

const (
	testDataCentres = 7
	testRegions     = 3
	testBoot        = 1764824465123
)

// datagram is a datagram that the control loop sent.
type datagram struct {
	to  netip.AddrPort
	raw []byte
}

// captureConn records the datagrams that the control loop sends.
type captureConn struct{ sent []datagram }

func (c *captureConn) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, errClosed
}

func (c *captureConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	c.sent = append(c.sent, datagram{to, b})
	return len(b), nil
}

func (c *captureConn) Close() error { return nil }

// testNetwork has no other hosts: calls fail at once.
type testNetwork struct{ conn *captureConn }

func (n testNetwork) ListenUDP(netip.AddrPort) (PacketConn, error) { return n.conn, nil }

func (n testNetwork) Listen(netip.AddrPort) (net.Listener, error) {
	return SystemNetwork{}.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
}

func (n testNetwork) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	return nil, errors.New("no other hosts")
}

func testHost(i int) document.Host {
	dc := i % testDataCentres
	return document.Host{
		ID: fmt.Sprintf("host-%d", i), DataCentre: fmt.Sprintf("dc-%d", dc), Region: fmt.Sprintf("region-%d", dc%testRegions),
		Address:  netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}),
		PeerPort: 6090, GUEPort: 6080, State: document.HostLive,
	}
}

// testDocument has six backend servers in two data centres of a region. One
// service in ten takes commands.
func testDocument(i, version int) configsync.Candidate {
	region := i % testRegions
	raw := fmt.Appendf(nil, "service: s%04d\nversion: %d\nteam: t\naddress: 10.2.%d.%d\nport: 7001\nprotocol: tcp\nregion: region-%d\n", i, version, i>>8, i&255, region)
	if i%10 == 0 {
		raw = fmt.Appendf(raw, "commands: {address: 10.2.%d.%d, port: 7002, deadline: 5s}\n", i>>8, i&255)
	}
	raw = append(raw, "flow_idle: 10m\ndata_centres:\n"...)
	for b := range 6 {
		if b%3 == 0 {
			raw = fmt.Appendf(raw, "  - name: dc-%d\n    backend_servers:\n", region+b)
		}
		addr := netip.AddrFrom4([4]byte{10, byte(16 + b), byte(i >> 8), byte(i)})
		raw = fmt.Appendf(raw, "      - {address: %s, port: 6080, load_url: \"http://%s:6081/load\", connections: 2000, slots: 2, cold: {connections: 50, slots: 1, ramp: 60s}}\n", addr, addr)
	}
	return configsync.Parse(fmt.Sprintf("services/s%04d", i), raw)
}

// testControl is the control loop of one host among synthetic members.
type testControl struct {
	*control
	b      testing.TB
	conn   *captureConn
	hosts  []document.Host
	byAddr map[netip.AddrPort]int
	boots  []uint64
	clock  time.Time
}

func newTestControl(b testing.TB, hosts int, documents []configsync.Candidate) *testControl {
	return newTestControlIn(b, nil, hosts, documents)
}

// newTestControlIn is newTestControl with an environment, nil for that of a
// process.
func newTestControlIn(b testing.TB, env Environment, hosts int, documents []configsync.Candidate) *testControl {
	s := settings.Default()
	self := testHost(0)
	s.HostID, s.DataCentre, s.Region = self.ID, self.DataCentre, self.Region
	s.Peer, s.GUE = self.PeerAddr(), netip.AddrPortFrom(self.Address, self.GUEPort)
	s.Admin = netip.MustParseAddrPort("127.0.0.1:0")
	s.PeerKey = make(settings.Key, settings.MinKeyBytes)
	conn := &captureConn{}
	d, err := New(Options{Settings: &s, Network: testNetwork{conn}, environment: env})
	if err != nil {
		b.Fatal(err)
	}
	ended := make(chan struct{})
	go drainEvents(d.events, ended)
	b.Cleanup(func() { close(ended); d.closeSockets() })
	c := &testControl{control: d.control, b: b, conn: conn, byAddr: map[netip.AddrPort]int{}, clock: d.started}
	for i := range hosts {
		h := testHost(i)
		c.hosts, c.boots = append(c.hosts, h), append(c.boots, testBoot)
		c.byAddr[h.PeerAddr()] = i
	}
	for _, candidate := range documents {
		r := c.config.OfferParsed(c.clock, configsync.Platform, candidate)
		if !r.Accepted {
			b.Fatal(r.Err)
		}
	}
	c.members.SetListed(c.clock, c.hosts)
	for i := range c.hosts[1:] {
		c.restart(1 + i)
	}
	c.config.TakePushes(nil, nil)
	c.membersChanged(c.clock)
	c.finishCheck(c.clock, "benchmark")
	c.publish(c.clock)
	for range 4 {
		c.step()
	}
	return c
}

// drainEvents discards the results of the calls, all of which fail.
func drainEvents(events <-chan event, ended <-chan struct{}) {
	for {
		select {
		case <-events:
		case <-ended:
			return
		}
	}
}

// restart reports to the control loop that a host runs with a new boot id.
func (c *testControl) restart(i int) {
	c.boots[i]++
	out := c.members.Merge(c.clock, []membership.Update{{ID: c.hosts[i].ID, Boot: c.boots[i]}})
	if c.serving {
		c.performMembership(c.clock, out)
	}
}

// step runs one tick of the control loop. The probed hosts answer immediately.
func (c *testControl) step() {
	c.clock = c.clock.Add(tickInterval)
	c.tick(c.clock)
	sent := c.conn.sent
	c.conn.sent = nil
	for _, d := range sent {
		c.answer(d)
	}
	c.publish(c.clock)
}

func (c *testControl) answer(d datagram) {
	key := c.d.key
	opened, err := peer.OpenDatagram(d.raw, &key)
	if err != nil {
		c.b.Fatal(err)
	}
	if isReport(opened.Body) {
		return
	}
	m, err := membership.DecodeMessage(opened.Body)
	if err != nil {
		c.b.Fatal(err)
	}
	if m.Kind == membership.Probe {
		i := c.byAddr[d.to]
		from := membership.Sender{ID: c.hosts[i].ID, Boot: c.boots[i]}
		c.receiveProbe(c.clock, from, membership.Message{Kind: membership.Ack, Seq: m.Seq, Digest: m.Digest})
	}
}

func testDocuments(n, version int) []configsync.Candidate {
	documents := make([]configsync.Candidate, n)
	for i := range documents {
		documents[i] = testDocument(i, version)
	}
	return documents
}

func liveHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkControlLoop measures the control loop without traffic: ticks, and
// what one changed document, one restarted member and one draining backend
// server cost until the snapshot is published. Ticks cover one second each.
func BenchmarkControlLoop(b *testing.B) {
	for _, documents := range []int{10, 1000, 6900} {
		first := testDocuments(documents, 1)
		for _, hosts := range []int{7, 100, 1900} {
			b.Run(fmt.Sprintf("documents=%d/hosts=%d", documents, hosts), func(b *testing.B) {
				before := liveHeap()
				c := newTestControl(b, hosts, first)
				state := liveHeap() - before
				b.Run("second", func(b *testing.B) {
					for b.Loop() {
						for range time.Second / tickInterval {
							c.step()
						}
					}
					b.ReportMetric(state/1e6, "state-MB")
				})
				version := 1
				b.Run("document", func(b *testing.B) {
					for b.Loop() {
						b.StopTimer()
						version++
						candidate := testDocument(version%documents, version)
						b.StartTimer()
						c.handleOfferResult(c.clock, "", c.config.OfferParsed(c.clock, configsync.Platform, candidate))
						c.push()
						c.publish(c.clock)
					}
				})
				b.Run("member", func(b *testing.B) {
					for i := 0; b.Loop(); i++ {
						c.restart(1 + i%(hosts-1))
						c.publish(c.clock)
					}
				})
				b.Run("verdict", func(b *testing.B) {
					targets := c.limits.health.Targets()
					if len(targets) == 0 {
						b.Skip("this host observes no backend server")
					}
					service := c.d.snapshot.Load().Backends.Get(targets[0].Backend).Service.Name
					for i := 0; b.Loop(); i++ {
						c.limits.health.Report(c.clock, targets[0].Backend, health.LoadReport{Service: service, Instance: 1, Draining: i%2 == 0})
						c.limits.lastRound = time.Time{}
						c.updateLimits(c.clock)
						c.publish(c.clock)
					}
				})
			})
		}
	}
}
