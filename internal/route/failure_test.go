package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

const testFlows = 240

// openFlows opens flows through random hosts, and sends two more packets of each
// through random hosts, so that several hosts cache the flow.
func (f *fleet) openFlows(first, count int, proto uint8) {
	f.t.Helper()
	for i := first; i < first+count; i++ {
		k := callerKey(i, proto)
		if got := f.send(f.randomHost(), k, packet.FlagSYN); got != delivered {
			f.t.Fatalf("flow %d did not open: %v", i, got)
		}
		for range 2 {
			f.send(f.randomHost(), k, packet.FlagACK)
		}
	}
}

// sendRounds sends a packet of every flow through a random host in each of n
// rounds, and returns the flows that broke.
func (f *fleet) sendRounds(n, flows int, proto uint8) map[packet.Key]bool {
	failed := make(map[packet.Key]bool)
	for range n {
		f.now += Time(300 * time.Millisecond)
		for i := range flows {
			k := callerKey(i, proto)
			if f.send(f.randomHost(), k, packet.FlagACK) == broken {
				failed[k] = true
			}
		}
	}
	return failed
}

// atBackend returns a function that reports whether one of the given backend
// servers served a flow when atBackend was called.
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

func noFlow(packet.Key) bool { return false }

// changeHostsAndBackends adds a backend server, drains another one and kills a
// host.
func changeHostsAndBackends(f *fleet) {
	c := &f.services[0]
	c.Backends = append(c.Backends[:len(c.Backends):len(c.Backends)], testBackend(10, len(c.Backends)))
	c.Backends[3].Draining = true
	f.kill("entry-2")
}

// Guards against flows that break although their backend server still serves
// them, and against flows that continue although a change must end them. Changes
// reach the hosts at different times. Each change returns a function that
// reports which flows it must end.
func TestFailures(t *testing.T) {
	for _, c := range []struct {
		name   string
		protos []uint8
		change func(f *fleet, proto uint8) func(packet.Key) bool
	}{
		{"host and backend servers change, views lag", []uint8{packet.ProtoTCP, packet.ProtoUDP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			changeHostsAndBackends(f)
			f.update("entry-0", "entry-1", "entry-4")
			return noFlow
		}},
		{"host restarts with an empty table", []uint8{packet.ProtoTCP, packet.ProtoUDP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			f.hosts[5].Boot++
			f.start("entry-5")
			f.update("entry-5")
			return noFlow
		}},
		{"both owners lost", []uint8{packet.ProtoTCP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			changeHostsAndBackends(f)
			f.kill("entry-4")
			f.kill("entry-3")
			for _, h := range f.hosts {
				f.start(h.ID) // no cached entry is left either
				f.update(h.ID)
			}
			return noFlow
		}},
		{"paused owner resumes with an old snapshot", []uint8{packet.ProtoTCP, packet.ProtoUDP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			changeHostsAndBackends(f)
			listed := f.hosts
			f.kill("entry-1")
			f.update("entry-0", "entry-3", "entry-4", "entry-5", "entry-6")
			f.openFlows(testFlows/2, testFlows/2, proto)
			f.nodes["entry-1"].down = false
			f.hosts = listed
			f.update("entry-0", "entry-3")
			return noFlow
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
			changeHostsAndBackends(f)
			f.update("entry-0", "entry-1", "entry-4")
			return noFlow
		}},
		{"suspect host", []uint8{packet.ProtoTCP, packet.ProtoUDP}, func(f *fleet, proto uint8) func(packet.Key) bool {
			f.hosts[2].Suspect = true
			f.nodes["entry-2"].down = true
			f.update("entry-0", "entry-1", "entry-4")
			return noFlow
		}},
	} {
		for _, proto := range c.protos {
			t.Run(fmt.Sprintf("%s/%d", c.name, proto), func(t *testing.T) {
				f := newFleet(t, 7, 14)
				f.services[0].Addr.Proto = proto
				f.update()
				f.duplicate = c.name == "forwarded packets repeated and reordered"
				f.openFlows(0, testFlows/2, proto)
				f.now += Time(3 * time.Second)
				mustEnd := c.change(f, proto)
				flows := len(f.serving)
				failed := f.sendRounds(6, flows, proto)
				f.update()
				// Enough rounds for every host to exclude its wrong guesses.
				for k := range f.sendRounds(40, flows, proto) {
					failed[k] = true
				}
				for i := range flows {
					k := callerKey(i, proto)
					if failed[k] != mustEnd(k) {
						t.Errorf("flow %d at %v: broken %v, want %v", i, f.serving[k], failed[k], mustEnd(k))
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

// Guards against a reset of flows that a new process accepted before a load
// report announced its start, and against flows of the old process that reach
// the new one.
func TestRestartBeforeLoadReport(t *testing.T) {
	const restart, margin = 10 * time.Second, time.Second // time of the start, and its uncertainty
	for _, c := range []struct {
		opened   time.Duration
		empty    bool // the primary restarts after the report
		survives bool
	}{
		{0, false, false}, {restart, false, false}, {restart + margin/2, false, false},
		{restart + 2*margin, false, true}, {restart + 2*margin, true, true},
	} {
		x := newRoleFleet(t)
		startedAt := x.now
		x.now += Time(c.opened)
		for _, flags := range []uint8{packet.FlagSYN, packet.FlagACK} {
			if got := x.send(x.arrival, x.k, flags); got != delivered {
				t.Fatal(got)
			}
		}
		x.now = startedAt + Time(restart+5*margin)
		for i := range x.services[0].Backends {
			if b := &x.services[0].Backends[i]; b.Addr == x.serving[x.k] {
				b.Instance, b.StartedBy = 2, startedAt+Time(restart+margin)
			}
		}
		x.update(x.arrival)
		order := []string{x.arrival, x.primary, x.secondary, x.arrival}
		for n, host := range order {
			if got := x.send(host, x.k, packet.FlagACK); (got == delivered) != c.survives {
				t.Errorf("%+v: packet %d: %v", c, n, got)
			}
			if !c.survives {
				break // hosts without an entry send packets by guess
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
