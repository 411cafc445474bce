package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

const step = 10 * time.Millisecond

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// cluster simulates a fleet: it delivers messages between States in virtual time.
type cluster struct {
	t        *testing.T
	now      time.Time
	nodes    []*node
	list     []document.Host
	lost     func(from, to *node) bool // whether messages are lost; nil: never
	inFlight []delivery
	encode   bool // encode and decode each message
}

type node struct {
	*State
	host   document.Host
	boot   uint64
	down   bool // neither ticks nor receives messages
	events []Outcome
}

type delivery struct {
	from *node
	send Send
}

func host(i int) document.Host {
	return document.Host{
		ID: fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3),
		Address: netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), PeerPort: 7100,
	}
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, now: start}
	for i := range n {
		c.list = append(c.list, host(i))
	}
	for i := range n {
		c.start(i, 1000)
	}
	return c
}

// start starts a process for the listed host with index i.
func (c *cluster) start(i int, boot uint64) *node {
	n := &node{host: c.list[i], boot: boot}
	n.State = New(Config{Self: n.host, Boot: boot, Seed: uint64(i)}, c.now)
	c.nodes = append(c.nodes, n)
	c.handle(n, n.SetListed(c.now, c.list))
	return n
}

func (c *cluster) handle(n *node, out []Outcome) {
	for _, o := range out {
		if s, ok := o.(Send); ok {
			c.inFlight = append(c.inFlight, delivery{n, s})
			continue
		}
		n.events = append(n.events, o)
	}
}

// run advances time in steps. Each message is delivered one step after it was sent.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		batch := c.inFlight
		c.inFlight = nil
		for _, m := range batch {
			c.deliver(m)
		}
		for _, n := range c.nodes {
			if !n.down {
				c.handle(n, n.Tick(c.now))
			}
		}
	}
}

func (c *cluster) deliver(m delivery) {
	msg := m.send.Message
	if c.encode {
		b, err := msg.Encode()
		if err == nil {
			msg, err = DecodeMessage(b)
		}
		if err != nil {
			c.t.Fatalf("%s: %v", b, err)
		}
	}
	for _, to := range c.nodes {
		if to.host.PeerAddr() != m.send.Addr || to.down || c.lost != nil && c.lost(m.from, to) {
			continue
		}
		from := Sender{ID: m.from.host.ID, Boot: m.from.boot, Addr: m.from.host.PeerAddr()}
		c.handle(to, to.Receive(c.now, from, msg))
	}
}

func (n *node) status(id string) Status {
	for _, m := range n.Members() {
		if m.Host.ID == id {
			return m.Status
		}
	}
	return statusNone
}

const statusNone = Status(99)

func (c *cluster) expect(want Status, id string, on ...*node) {
	c.t.Helper()
	for _, n := range on {
		if got := n.status(id); got != want {
			c.t.Errorf("%s sees %s as %v, want %v", n.host.ID, id, got, want)
		}
	}
}
