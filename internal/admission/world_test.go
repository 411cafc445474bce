package admission

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
)

var epoch = time.Unix(1_700_000_000, 0)

func backendAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 6080)
}

func testDoc(name string, first, backends, connections, cold int) *document.Service {
	dc := document.DataCentre{Name: "substation-a"}
	for i := range backends {
		addr := backendAddr(first + i)
		dc.BackendServers = append(dc.BackendServers, document.BackendServer{
			Address: addr.Addr(), Port: addr.Port(), Connections: connections, Slots: 2,
			Cold: document.Cold{Connections: cold, Slots: 1, Ramp: document.Duration(60 * time.Second)},
		})
	}
	return &document.Service{Name: name, Version: 1, FlowIdle: document.Duration(time.Hour), DataCentres: []document.DataCentre{dc}}
}

// worldFlow is an open flow and the hosts that have an entry for it.
type worldFlow struct {
	bucket  int
	entries map[int]bool
}

type worldHost struct {
	state  *State
	learns time.Duration // delay after which it learns of the cold start
	table  [Buckets]uint8
	budget int
	used   int
}

type worldMessage struct {
	from, to int
	raw      []byte
}

// world is a group of hosts in front of one backend server. The hosts learn
// of changes of the bucket table one by one, and reports between them may be
// lost, duplicated and delayed.
type world struct {
	now   time.Time
	doc   *document.Service
	cold  time.Time // start of the ramp, zero when warm
	hosts []*worldHost
	table [Buckets]uint8
	flows []*worldFlow
	queue []worldMessage
}

func hostID(i int) string { return fmt.Sprintf("host-%d", i) }

func newWorld(hosts, connections, cold int) *world {
	w := &world{now: epoch, doc: testDoc("gridwatch", 1, 1, connections, cold)}
	for b := range w.table {
		w.table[b] = uint8(b % hosts)
	}
	for range hosts {
		w.hosts = append(w.hosts, &worldHost{state: New(Config{HandoverTimeout: 24 * time.Hour}), table: w.table})
	}
	for h := range w.hosts {
		w.sync(h)
	}
	return w
}

// sync tells one host the present bucket table.
func (w *world) sync(h int) {
	host := w.hosts[h]
	counts, lost := make(map[string]int), 0
	for i := range w.hosts {
		counts[hostID(i)] = 0
	}
	for b, owner := range w.table {
		counts[hostID(int(owner))]++
		if int(host.table[b]) == h && int(owner) != h {
			lost++
		}
	}
	host.table = w.table
	host.state.SetServices(w.now, hostID(h), Input{
		Services: []ServiceInput{{Doc: w.doc, Buckets: counts, LostBuckets: lost}},
		Verdicts: w.verdicts(host),
	})
}

// verdicts returns what a host knows about the cold start. Each host learns of
// it at another time.
func (w *world) verdicts(host *worldHost) map[netip.AddrPort]health.Verdict {
	v := health.Verdict{Usable: true, ColdKnown: true}
	if !w.cold.IsZero() {
		v.ColdSince = w.cold.Add(host.learns)
	}
	return map[netip.AddrPort]health.Verdict{backendAddr(1): v}
}

// limit is the true allowance at present.
func (w *world) limit() int {
	b := &w.doc.DataCentres[0].BackendServers[0]
	n, _ := rampLevel(b.Cold.Connections, b.Connections, b.Cold.Ramp.Std(), w.now.Sub(w.cold))
	return n
}

// tick is one round of the control loop of a host.
func (w *world) tick(h int, sweep bool) {
	host := w.hosts[h]
	host.state.RecordAdmitted(w.now, map[netip.AddrPort]int{backendAddr(1): host.used})
	host.used, host.budget = 0, 0
	if sweep {
		host.state.RecordCharged(w.now, map[netip.AddrPort]int{backendAddr(1): w.counted(h)})
	}
	for _, r := range host.state.Report(w.now) {
		raw, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		var to int
		fmt.Sscanf(r.To, "host-%d", &to)
		w.queue = append(w.queue, worldMessage{h, to, raw})
	}
	host.budget = host.state.Allowances(w.now)[backendAddr(1)].NewFlows
}

func (w *world) counted(h int) int {
	n := 0
	for _, f := range w.flows {
		if int(w.hosts[h].table[f.bucket]) == h && f.entries[h] {
			n++
		}
	}
	return n
}

// admit opens up to n flows in one bucket of the host.
func (w *world) admit(h, bucket, n int) {
	host := w.hosts[h]
	for range Buckets {
		if int(host.table[bucket%Buckets]) == h {
			break
		}
		bucket++
	}
	if int(host.table[bucket%Buckets]) != h {
		return
	}
	for ; n > 0 && host.budget > 0; n-- {
		host.budget--
		host.used++
		w.flows = append(w.flows, &worldFlow{bucket: bucket % Buckets, entries: map[int]bool{h: true}})
	}
}

// refresh lets one packet of a flow reach the primary that a host sees.
func (w *world) refresh(flow, h int) {
	if len(w.flows) > 0 {
		f := w.flows[flow%len(w.flows)]
		f.entries[int(w.hosts[h].table[f.bucket])] = true
	}
}

func (w *world) end(flow int) {
	if len(w.flows) > 0 {
		i := flow % len(w.flows)
		w.flows[i] = w.flows[len(w.flows)-1]
		w.flows = w.flows[:len(w.flows)-1]
	}
}

func (w *world) deliver(i int, keep bool) {
	if len(w.queue) == 0 {
		return
	}
	i %= len(w.queue)
	m := w.queue[i]
	if !keep {
		w.queue = append(w.queue[:i], w.queue[i+1:]...)
	}
	r, err := ParseReport(m.raw)
	if err != nil {
		panic(err)
	}
	w.hosts[m.to].state.Receive(w.now, hostID(m.from), r)
}

func (w *world) move(from, to uint8, n int) {
	for b := range w.table {
		if n > 0 && w.table[b] == from {
			w.table[b] = to
			n--
		}
	}
}

// admissible is what is open and what the hosts may still admit.
func (w *world) admissible() int {
	n := len(w.flows)
	for _, h := range w.hosts {
		n += h.budget
	}
	return n
}

// settle runs the hosts without losses for a number of rounds.
func (w *world) settle(rounds int) {
	for range rounds {
		for h := range w.hosts {
			w.tick(h, true)
		}
		for len(w.queue) > 0 {
			w.deliver(0, false)
		}
		w.now = w.now.Add(100 * time.Millisecond)
	}
}

func (w *world) step(rng *rand.Rand) {
	n := len(w.hosts)
	h := rng.Intn(n)
	switch rng.Intn(12) {
	case 0, 1, 2:
		w.tick(h, rng.Intn(3) > 0)
	case 3, 4:
		w.deliver(rng.Intn(1+len(w.queue)), false)
	case 5:
		w.deliver(rng.Intn(1+len(w.queue)), true)
	case 6:
		w.admit(h, rng.Intn(Buckets), rng.Intn(30))
	case 7:
		w.refresh(rng.Intn(1000), h)
		w.refresh(rng.Intn(1000), h)
	case 8:
		w.end(rng.Intn(1000))
	case 9:
		if rng.Intn(4) == 0 {
			w.move(uint8(h), uint8(rng.Intn(n)), rng.Intn(100))
		}
		w.sync(h)
	case 10:
		w.now = w.now.Add(time.Duration(rng.Intn(400)) * time.Millisecond)
	case 11:
		if len(w.queue) > 0 && rng.Intn(2) == 0 { // lost
			w.queue = w.queue[1:]
		}
		if rng.Intn(6) == 0 {
			w.settle(1 + rng.Intn(12))
		}
	}
}
