package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

func newMembers(self Host, seeds ...netip.AddrPort) *Members {
	return NewMembers(self, seeds, rand.New(rand.NewPCG(1, 2)))
}

// Guards against hosts that never discover each other because some seeds are outdated or down.
func TestSeedsUntilFirstMessage(t *testing.T) {
	seed, dead := host(1, "a"), host(9, "a")
	m := newMembers(host(2, "a"), seed.Addr, dead.Addr)
	if got := receivers(m, 0); len(got) != 2 {
		t.Fatalf("receivers of a host that knows no other host: %v, want both seeds", got)
	}
	if !m.Receive(&Message{From: host(3, "b"), Hosts: []Host{seed}}, time.Second) {
		t.Fatal("the sender of a first message is not reported as new")
	}
	if got := receivers(m, time.Second); len(got) != 2 {
		t.Fatalf("receivers %v, want the sender and the host that it listed", got)
	}
	if got := receivers(m, time.Second+aliveTimeout); len(got) != 3 {
		t.Fatalf("receivers %v after a silence of all hosts, want the seeds again", got)
	}
}

// fleet simulates hosts that exchange messages in rounds, each with a sample of the others.
type fleet struct {
	hosts       []Host
	members     []*Members
	down        map[int]bool
	partitioned func(from, to int) bool // whether messages between two hosts are dropped
	now         time.Duration
	rounds      int
	index       map[netip.AddrPort]int
	tick        func() // called every 50 ms between rounds; nil: not called
	asked       int    // messages that ask for later contacts
	answers     int    // their answers
}

func newFleet(n int) *fleet { return newFleetIn(n, "a", "b", "c") }

func newFleetIn(n int, dataCentres ...string) *fleet {
	f := emptyFleet(n, dataCentres...)
	f.connectAll()
	return f
}

// emptyFleet returns hosts that know no other host.
func emptyFleet(n int, dataCentres ...string) *fleet {
	f := &fleet{down: map[int]bool{}, partitioned: func(int, int) bool { return false }, now: time.Second}
	for i := range n {
		h := Host{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000), DataCentre: dataCentres[i%len(dataCentres)]}
		f.hosts = append(f.hosts, h)
		f.members = append(f.members, NewMembers(h, nil, rand.New(rand.NewPCG(uint64(i), 2))))
	}
	return f
}

// connectAll makes all hosts known to each other.
func (f *fleet) connectAll() {
	for i, m := range f.members {
		for j, h := range f.hosts {
			if j != i {
				m.add(h, f.now)
			}
		}
	}
}

// run exchanges messages in rounds of 250 ms for the given time.
func (f *fleet) run(d time.Duration) {
	f.index = map[netip.AddrPort]int{}
	for i, h := range f.hosts {
		f.index[h.Addr] = i
	}
	for end := f.now + d; f.now < end; f.now += 250 * time.Millisecond {
		f.rounds++
		for i := range f.members {
			if !f.down[i] {
				f.sendRound(i)
			}
		}
		start := f.now
		for range 4 {
			f.now += 50 * time.Millisecond
			f.askForContacts()
			if f.tick != nil {
				f.tick()
			}
		}
		f.now = start
	}
}

// askForContacts sends the messages of the hosts that ask others for their contacts.
func (f *fleet) askForContacts() {
	for i, m := range f.members {
		if f.down[i] || !m.AskForContacts(f.now) {
			continue
		}
		for _, to := range m.VoteReceivers() {
			msg := f.localMessage(i)
			msg.Ask = true
			f.asked++
			f.send(i, f.index[to], msg)
		}
	}
}

// localMessage returns the message of a host to hosts of its own data centre.
func (f *fleet) localMessage(i int) *Message {
	msg := f.message(i)
	msg.LastContact, msg.SecondHand = f.members[i].ContactAges(f.now), f.members[i].SecondHandAges(f.now)
	return msg
}

// sendRound sends the messages of one host for the current round.
func (f *fleet) sendRound(i int) {
	const fullRounds = 4
	m := f.members[i]
	local, remote := m.Receivers(f.now)
	for _, to := range append(local, remote...) {
		msg := f.message(i)
		if slices.Contains(local, to) {
			msg = f.localMessage(i)
		}
		if f.rounds%fullRounds == 1 {
			msg.Hosts = m.Sample(SampleHosts)
		}
		f.send(i, f.index[to], msg)
	}
}

func (f *fleet) message(i int) *Message {
	_, reader, age := f.members[i].Reader(f.now)
	return &Message{From: f.hosts[i], Reader: reader, ReaderAgeMs: age.Milliseconds(), NumKnown: f.members[i].NumKnown(), ReaderHeartbeat: f.members[i].ReaderHeartbeat(f.now)}
}

// send delivers a message. The receiver answers a sender that is new or knows few hosts.
func (f *fleet) send(from, to int, msg *Message) {
	if f.down[to] || f.partitioned(from, to) {
		return
	}
	m := f.members[to]
	isNew := m.Receive(msg, f.now)
	if m.ShouldAnswer(msg, f.now) {
		f.answers++
		f.send(to, from, f.localMessage(to))
	}
	if bootstrap := m.BootstrapHosts(msg, f.now); isNew || len(bootstrap) > 0 {
		answer := f.message(to)
		answer.Hosts = bootstrap
		f.send(to, from, answer)
	}
}

// readers returns the hosts that act as reader of the store.
func (f *fleet) readers() []int {
	var out []int
	for i, m := range f.members {
		if own, _, _ := m.Reader(f.now); own && !f.down[i] {
			out = append(out, i)
		}
	}
	return out
}

// Guards against a fleet that has no reader after its reader failed, and against several readers in a large fleet, where
// each host receives messages from only some of the others.
func TestSingleReader(t *testing.T) {
	for _, n := range []int{1, 2, 7, 90, 300} {
		f := newFleet(n)
		f.run(4 * time.Second)
		for range min(3, n-1) {
			readers := f.readers()
			if len(readers) != 1 {
				t.Fatalf("%d hosts: readers %v, want one", n, readers)
			}
			f.down[readers[0]] = true
			f.run(readerTimeout + 3*time.Second)
		}
		if readers := f.readers(); len(readers) != 1 {
			t.Fatalf("%d hosts: readers %v after up to three failures, want one", n, readers)
		}
	}
}

// The reader fails while a third of the hosts runs slowly, so that messages wait in their sockets' buffers. Guards against a
// heartbeat that gets younger with each host that passes it on: the fleet would have no reader for as long as the hosts are slow.
func TestReaderFailsBesideSlowHosts(t *testing.T) {
	const (
		step  = 10 * time.Millisecond // also the time that messages take without delay
		bound = readerTimeout + time.Second
	)
	type delayed struct {
		at       time.Duration
		from, to int
		message  *Message
	}
	for _, n := range []int{12, 90} {
		for _, late := range []time.Duration{0, 50 * time.Millisecond, 250 * time.Millisecond} {
			f := newFleet(n)
			f.connectAll()
			f.run(4 * time.Second)
			var inTransit []delayed
			run := func(d time.Duration, until func() bool) time.Duration {
				start := f.now
				for ; f.now < start+d && !until(); f.now += step {
					for i, m := range f.members {
						if f.down[i] || f.now%(250*time.Millisecond) != time.Duration(i%25)*step {
							continue
						}
						local, remote := m.Receivers(f.now)
						for _, to := range append(local, remote...) {
							d := delayed{f.now + step, i, f.index[to], f.message(i)}
							if d.to%3 == 0 {
								d.at += late
							}
							inTransit = append(inTransit, d)
						}
					}
					inTransit = slices.DeleteFunc(inTransit, func(d delayed) bool {
						if d.at <= f.now {
							f.send(d.from, d.to, d.message)
						}
						return d.at <= f.now
					})
				}
				return f.now - start
			}
			run(3*time.Second, func() bool { return false })
			readers := f.readers()
			if len(readers) != 1 {
				t.Fatalf("%d hosts, a third late by %v: readers %v, want one", n, late, readers)
			}
			f.down[readers[0]] = true
			if took := run(2*bound, func() bool { return len(f.readers()) > 0 }); took > bound {
				t.Errorf("%d hosts, a third late by %v: no reader for %v after the last one failed, want %v at most", n, late, took, bound)
			}
			run(3*time.Second, func() bool { return false })
			if readers := f.readers(); len(readers) != 1 {
				t.Errorf("%d hosts, a third late by %v: readers %v, want one", n, late, readers)
			}
		}
	}
}

// Guards against a partition of the fleet that has no reader, and against several readers after it has healed.
func TestEachPartitionHasAReader(t *testing.T) {
	f := newFleet(12)
	part := func(i int) bool { return f.hosts[i].DataCentre == "b" }
	f.run(4 * time.Second)
	f.partitioned = func(from, to int) bool { return part(from) != part(to) }
	f.run(readerTimeout + 2*time.Second)
	readers := f.readers()
	if len(readers) != 2 || part(readers[0]) == part(readers[1]) {
		t.Fatalf("readers %v, want one on each side of the partition", readers)
	}
	f.partitioned = func(int, int) bool { return false }
	f.run(2 * time.Second)
	if readers := f.readers(); len(readers) != 1 {
		t.Fatalf("readers %v after the partition has healed, want one", readers)
	}
}

// Guards against a fleet that waits for the timeout of a reader that has announced that it is leaving.
func TestLeavingReaderIsReplacedAtOnce(t *testing.T) {
	hosts := []Host{host(1, "a"), host(2, "a")}
	for i, self := range hosts {
		m := newMembers(self)
		m.Receive(&Message{From: hosts[1-i], Reader: hosts[1-i].Addr}, time.Second)
		m.Receive(&Message{From: hosts[1-i], Reader: hosts[1-i].Addr, Leaving: true}, time.Second)
		if own, _, _ := m.Reader(time.Second); !own {
			t.Errorf("host %d is not the reader although the only other host is leaving", i)
		}
	}
}

// Guards against messages whose number of receivers or listed hosts grows with the fleet.
func TestReceiversAreBounded(t *testing.T) {
	m := newMembers(host(0, "a"))
	for i := range 200 {
		dataCentre := []string{"a", "b", "c"}[i%3]
		m.Receive(&Message{From: host(byte(i+1), dataCentre)}, time.Second)
	}
	if n := len(receivers(m, time.Second)); n != fanOut {
		t.Fatalf("%d receivers in a fleet of 200, want %d", n, fanOut)
	}
	if n := len(m.Sample(SampleHosts)); n != SampleHosts {
		t.Fatalf("%d hosts listed, want %d", n, SampleHosts)
	}
}

// Guards against forged messages that exhaust the memory, and against silent hosts that are never removed.
func TestMembersAreBounded(t *testing.T) {
	m := newMembers(host(0, "a"))
	for i := range 3 * maxMembers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
		m.Receive(&Message{From: Host{Addr: addr, DataCentre: "b"}}, time.Second)
	}
	if n := len(m.All()); n > maxMembers {
		t.Fatalf("%d members, allowed %d", n, maxMembers)
	}
	m.Sweep(2*time.Second + maxMembers*memberRetentionPerHost)
	if n := len(m.All()); n != 0 {
		t.Fatalf("%d members after a long silence", n)
	}
}

// Guards against a host that knows only part of a fleet of the target size. Each host limits its rate to a cold backend
// server to the configured rate divided by the number of hosts it knows, so the total rate would exceed the limit.
func TestLargeFleetIsFullyKnown(t *testing.T) {
	const (
		hosts        = 5700
		receivedPerS = 4 * fanOut       // messages received by a host per second
		learning     = 30 * time.Minute // before the number of known hosts is checked
		observed     = 15 * time.Minute
	)
	random := rand.New(rand.NewPCG(4, 5))
	address := func() Host {
		n := random.IntN(hosts)
		return Host{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 7000), DataCentre: "b"}
	}
	m := newMembers(host(0, "a"))
	least := hosts
	for now := time.Second; now < learning+observed; now += time.Second {
		for i := range receivedPerS {
			message := &Message{From: address()}
			for range SampleHosts * (1 - min(i%4, 1)) { // one message of four lists hosts
				message.Hosts = append(message.Hosts, address())
			}
			m.Receive(message, now)
		}
		m.Sweep(now)
		if now > learning {
			least = min(least, len(m.All()))
		}
	}
	if least < hosts*95/100 {
		t.Errorf("%d of %d hosts known at times, want 95%%", least, hosts)
	}
}

// Guards against a host that counts only itself after its start, and against an outdated size after the fleet has shrunk.
func TestFleetSize(t *testing.T) {
	m := newMembers(host(0, "a"))
	if got := m.Size(0); got != 1 {
		t.Errorf("size %d of a fleet of one", got)
	}
	m.Receive(&Message{From: host(1, "a"), NumKnown: 5700}, time.Second)
	m.Receive(&Message{From: host(2, "a"), NumKnown: 40}, 2*time.Second)
	for _, tt := range []struct {
		at   time.Duration
		want int
	}{{2 * time.Second, 5700}, {knownWindow, 5700}, {knownWindow + 20*time.Second, 5700}, {2*knownWindow + time.Second, 3}} {
		if got := m.Size(tt.at); got != tt.want {
			t.Errorf("at %v: size %d, want %d", tt.at, got, tt.want)
		}
	}
	if m.NumKnown() != 3 {
		t.Errorf("the host reports %d known hosts, want 3: itself and the two senders", m.NumKnown())
	}
}

// Guards against data centres that count as unreachable without a fault. In a large fleet each host receives messages from
// only some of the others, and from some data centres none for a second (deployment qbph-lahore grown to 91 hosts, run
// quiet-1: 990 false verdicts).
func TestSampledFleetReachesEveryDataCentre(t *testing.T) {
	t.Run("91 hosts in 3", func(t *testing.T) { checkReachability(t, newFleet(91)) })
	t.Run("420 hosts in 7", func(t *testing.T) { checkReachability(t, newFleetIn(420, "a", "b", "c", "d", "e", "f", "g")) })
}

func checkReachability(t *testing.T, f *fleet) {
	f.run(3 * time.Second)
	for range 80 {
		f.run(250 * time.Millisecond)
		for i, m := range f.members {
			if got := m.Unreachable(f.now); len(got) > 0 {
				t.Fatalf("at %v host %d counts %v as unreachable without a partition", f.now, i, got)
			}
		}
	}
	partitioned := func(i int) bool { return f.hosts[i].DataCentre == "b" }
	f.partitioned = func(from, to int) bool { return partitioned(from) != partitioned(to) }
	f.run(unreachableAfterSampled + 250*time.Millisecond)
	for i, m := range f.members {
		if got := m.Unreachable(f.now); partitioned(i) && !(got["a"] && got["c"]) || !partitioned(i) && !got["b"] {
			t.Fatalf("host %d of %s counts %v as unreachable after the partition", i, f.hosts[i].DataCentre, got)
		}
	}
}

// Guards against flows sent to a data centre that is cut off, and against a data centre that counts as unreachable although
// no message was ever received from it.
func TestUnreachable(t *testing.T) {
	m := newMembers(host(1, "a"))
	m.Receive(&Message{From: host(2, "b")}, time.Second)
	m.Receive(&Message{From: host(3, "a")}, time.Second)
	if got := m.Unreachable(1500 * time.Millisecond); len(got) != 0 {
		t.Fatalf("unreachable %v, want none", got)
	}
	if got := m.Unreachable(3 * time.Second); !got["b"] || len(got) != 1 {
		t.Fatalf("unreachable %v, want b only", got)
	}
}
