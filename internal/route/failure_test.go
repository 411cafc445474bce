package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

const testFlows = 240

// open starts flows through random hosts and spreads a few of their packets.
func (f *fleet) open(first, count int, proto uint8) {
	f.t.Helper()
	for i := first; i < first+count; i++ {
		k := callerKey(i, proto)
		if got := f.send(f.up(), k, packet.FlagSYN); got != delivered {
			f.t.Fatalf("flow %d did not open: %v", i, got)
		}
		for range 2 {
			f.send(f.up(), k, packet.FlagACK)
		}
	}
}

// rounds lets every flow send packets through random hosts and returns the
// flows that broke.
func (f *fleet) rounds(n, flows int, proto uint8) map[packet.Key]bool {
	failed := make(map[packet.Key]bool)
	for range n {
		f.now += Time(300 * time.Millisecond)
		for i := range flows {
			k := callerKey(i, proto)
			if f.send(f.up(), k, packet.FlagACK) == broken {
				failed[k] = true
			}
		}
	}
	return failed
}

// atBackend returns a condition on flows: the backend server holds them.
func atBackend(f *fleet, b ...BackendConfig) func(packet.Key) bool {
	held := make(map[packet.Key]bool)
	for k, addr := range f.serving {
		for _, c := range b {
			if c.Addr == addr {
				held[k] = true
			}
		}
	}
	return func(k packet.Key) bool { return held[k] }
}

func never(packet.Key) bool { return false }

// changeBoth makes a backend server join, another one drain and a host die.
func changeBoth(f *fleet) {
	c := &f.services[0]
	c.Backends = append(c.Backends[:len(c.Backends):len(c.Backends)], testBackend(10, len(c.Backends)))
	c.Backends[3].Draining = true
	f.kill("entry-2")
}

// Guards against flows that break although nothing ended them, and against
// flows that outlive what ended them, under changes that reach the hosts at
// different times. Each change returns the flows that it may end.
func TestFailures(t *testing.T) {
	for _, c := range []struct {
		name   string
		protos []uint8
		change func(f *fleet, proto uint8) func(packet.Key) bool
	}{
		{"host and backend servers change, views lag", []uint8{packet.ProtoTCP, packet.ProtoUDP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			changeBoth(f)
			f.update("entry-0", "entry-1", "entry-4")
			return never
		}},
		{"dead host returns empty", []uint8{packet.ProtoTCP, packet.ProtoUDP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			f.hosts[5].Boot++
			f.start("entry-5")
			f.update("entry-5")
			return never
		}},
		{"both owners lost", []uint8{packet.ProtoTCP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			changeBoth(f)
			f.kill("entry-4")
			f.kill("entry-3")
			for _, h := range f.hosts {
				f.start(h.ID) // no cache is left either
				f.update(h.ID)
			}
			return never
		}},
		{"paused owner resumes with an old snapshot", []uint8{packet.ProtoTCP, packet.ProtoUDP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			changeBoth(f)
			listed := f.hosts
			f.kill("entry-1")
			f.update("entry-0", "entry-3", "entry-4", "entry-5", "entry-6")
			f.open(testFlows/2, testFlows/2, proto)
			f.nodes["entry-1"].down = false
			f.hosts = listed
			f.update("entry-0", "entry-3")
			return never
		}},
		{"address given to another service", []uint8{packet.ProtoTCP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			moved := f.services[0].Backends[5]
			c := &f.services[0]
			c.Backends = append(append([]BackendConfig{}, c.Backends[:5]...), c.Backends[6:]...)
			other := testService("ledgerdesk", 11, packet.ProtoTCP, 2)
			other.Backends = append(other.Backends, moved)
			f.services = append([]ServiceConfig{other}, f.services...)
			f.update()
			return atBackend(f, moved)
		}},
		{"new process on an old address", []uint8{packet.ProtoTCP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			b := &f.services[0].Backends[5]
			b.Instance++
			f.update()
			return atBackend(f, *b)
		}},
		{"data centre out", []uint8{packet.ProtoTCP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			var out []BackendConfig
			for i := range f.services[0].Backends {
				if b := &f.services[0].Backends[i]; b.DataCentre == "dc-1" {
					b.DataCentreOut = true
					out = append(out, *b)
				}
			}
			for i := range f.hosts {
				f.hosts[i].Leaving = f.hosts[i].DataCentre == "dc-1"
			}
			f.update()
			return atBackend(f, out...)
		}},
		{"forwarded packets repeated and reordered", []uint8{packet.ProtoTCP, packet.ProtoUDP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			changeBoth(f)
			f.update("entry-0", "entry-1", "entry-4")
			return never
		}},
		{"suspect host", []uint8{packet.ProtoTCP, packet.ProtoUDP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			f.hosts[2].Suspect = true
			f.nodes["entry-2"].down = true
			f.update("entry-0", "entry-1", "entry-4")
			return never
		}},
	} {
		for _, proto := range c.protos {
			t.Run(fmt.Sprintf("%s/%d", c.name, proto), func(t *testing.T) {
				f := newFleet(t, 7, 14)
				f.services[0].Addr.Proto = proto
				f.update()
				f.repeat = c.name == "forwarded packets repeated and reordered"
				f.open(0, testFlows/2, proto)
				f.now += Time(3 * time.Second)
				mayEnd := c.change(f, proto)
				flows := len(f.serving)
				failed := f.rounds(6, flows, proto)
				f.update()
				// Enough rounds for wrong guesses at each host to be excluded.
				for k := range f.rounds(40, flows, proto) {
					failed[k] = true
				}
				for i := range flows {
					k := callerKey(i, proto)
					if failed[k] != mayEnd(k) {
						t.Errorf("flow %d at %v: broken %v, want %v", i, f.serving[k], failed[k], mayEnd(k))
					}
					for _, h := range f.hosts {
						if !failed[k] && !f.nodes[h.ID].down && f.send(h.ID, k, packet.FlagACK) != delivered {
							t.Errorf("flow %d is not delivered by %s", i, h.ID)
						}
					}
				}
			})
		}
	}
}

// Guards against flows that a new process accepted before a load report told of
// its start and that are reset when the report arrives, and against flows of
// the old process that reach the new one.
func TestRestartBeforeTheReport(t *testing.T) {
	const restart, margin = 10 * time.Second, time.Second // the start, and its uncertainty
	for _, c := range []struct {
		opened   time.Duration
		empty    bool // the primary restarts after the report
		survives bool
	}{
		{0, false, false}, {restart, false, false}, {restart + margin/2, false, false},
		{restart + 2*margin, false, true}, {restart + 2*margin, true, true},
	} {
		x := newTrio(t)
		began := x.now
		x.now += Time(c.opened)
		for _, flags := range []uint8{packet.FlagSYN, packet.FlagACK} {
			if got := x.send(x.arrival, x.k, flags); got != delivered {
				t.Fatal(got)
			}
		}
		x.now = began + Time(restart+5*margin)
		for i := range x.services[0].Backends {
			if b := &x.services[0].Backends[i]; b.Addr == x.serving[x.k] {
				b.Instance, b.StartedBy = 2, began+Time(restart+margin)
			}
		}
		x.update(x.arrival)
		order := []string{x.arrival, x.primary, x.secondary, x.arrival}
		for n, host := range order {
			if got := x.send(host, x.k, packet.FlagACK); (got == delivered) != c.survives {
				t.Errorf("%+v: packet %d: %v", c, n, got)
			}
			if !c.survives {
				break // hosts without an entry guess
			}
			if c.empty && n == 0 {
				i := slices.IndexFunc(x.hosts, func(h Host) bool { return h.ID == x.primary })
				x.hosts[i].Boot++
				x.start(x.primary)
			}
			x.update()
			x.now += Time(time.Second)
		}
	}
}
