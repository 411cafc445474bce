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

// simulatedFlow is an open flow.
type simulatedFlow struct {
	bucket  int
	entries map[int]bool // hosts that have a flow table entry for it
}

type simulatedHost struct {
	state     *State
	coldDelay time.Duration // delay until it learns of the cold start
	table     [Buckets]uint8
	budget    int
	used      int
}

type simulatedMessage struct {
	from, to int
	raw      []byte
}

// simulation is an owner group with one backend server. Hosts learn of changes of
// the bucket table at different times, and reports between them may be lost,
// duplicated and delayed.
type simulation struct {
	now   time.Time
	doc   *document.Service
	cold  time.Time // start of the ramp, zero when warm
	hosts []*simulatedHost
	table [Buckets]uint8
	flows []*simulatedFlow
	queue []simulatedMessage
}

func hostID(i int) string { return fmt.Sprintf("host-%d", i) }

func newSimulation(hosts, connections, cold int) *simulation {
	sim := &simulation{now: epoch, doc: testDoc("gridwatch", 1, 1, connections, cold)}
	for b := range sim.table {
		sim.table[b] = uint8(b % hosts)
	}
	for range hosts {
		sim.hosts = append(sim.hosts, &simulatedHost{state: New(Config{HandoverTimeout: 24 * time.Hour}), table: sim.table})
	}
	for h := range sim.hosts {
		sim.sync(h)
	}
	return sim
}

// sync applies the current bucket table to one host.
func (sim *simulation) sync(h int) {
	host := sim.hosts[h]
	counts, lost := make(map[string]int), 0
	for i := range sim.hosts {
		counts[hostID(i)] = 0
	}
	for b, owner := range sim.table {
		counts[hostID(int(owner))]++
		if int(host.table[b]) == h && int(owner) != h {
			lost++
		}
	}
	host.table = sim.table
	host.state.SetServices(sim.now, hostID(h), Input{
		Services: []ServiceInput{{Doc: sim.doc, Buckets: counts, LostBuckets: lost}},
		Verdicts: sim.verdicts(host),
	})
}

// verdicts returns the verdict of a host, whose cold start is delayed by the
// host's coldDelay.
func (sim *simulation) verdicts(host *simulatedHost) map[netip.AddrPort]health.Verdict {
	v := health.Verdict{Usable: true, ColdKnown: true}
	if !sim.cold.IsZero() {
		v.ColdSince = sim.cold.Add(host.coldDelay)
	}
	return map[netip.AddrPort]health.Verdict{backendAddr(1): v}
}

// limit returns the allowance of the backend server at now.
func (sim *simulation) limit() int {
	b := &sim.doc.DataCentres[0].BackendServers[0]
	n, _ := rampLevel(b.Cold.Connections, b.Connections, b.Cold.Ramp.Std(), sim.now.Sub(sim.cold))
	return n
}

// tick runs one round of the control loop of a host.
func (sim *simulation) tick(h int, sweep bool) {
	host := sim.hosts[h]
	host.state.RecordAdmitted(sim.now, map[netip.AddrPort]int{backendAddr(1): host.used})
	host.used, host.budget = 0, 0
	if sweep {
		host.state.RecordCharged(sim.now, map[netip.AddrPort]int{backendAddr(1): sim.counted(h)})
	}
	for _, r := range host.state.Report(sim.now) {
		raw, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		var to int
		fmt.Sscanf(r.To, "host-%d", &to)
		sim.queue = append(sim.queue, simulatedMessage{h, to, raw})
	}
	host.budget = host.state.Allowances(sim.now)[backendAddr(1)].NewFlows
}

// counted returns the flows that a sweep of a host finds.
func (sim *simulation) counted(h int) int {
	n := 0
	for _, f := range sim.flows {
		if int(sim.hosts[h].table[f.bucket]) == h && f.entries[h] {
			n++
		}
	}
	return n
}

// admit opens up to n flows in one bucket of the host.
func (sim *simulation) admit(h, bucket, n int) {
	host := sim.hosts[h]
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
		sim.flows = append(sim.flows, &simulatedFlow{bucket: bucket % Buckets, entries: map[int]bool{h: true}})
	}
}

// refresh creates the entry of a flow at its primary owner, according to the
// bucket table of host h.
func (sim *simulation) refresh(flow, h int) {
	if len(sim.flows) > 0 {
		f := sim.flows[flow%len(sim.flows)]
		f.entries[int(sim.hosts[h].table[f.bucket])] = true
	}
}

func (sim *simulation) end(flow int) {
	if len(sim.flows) > 0 {
		i := flow % len(sim.flows)
		sim.flows[i] = sim.flows[len(sim.flows)-1]
		sim.flows = sim.flows[:len(sim.flows)-1]
	}
}

// deliver delivers one queued report. It stays queued if it is to be duplicated.
func (sim *simulation) deliver(i int, duplicate bool) {
	if len(sim.queue) == 0 {
		return
	}
	i %= len(sim.queue)
	m := sim.queue[i]
	if !duplicate {
		sim.queue = append(sim.queue[:i], sim.queue[i+1:]...)
	}
	r, err := ParseReport(m.raw)
	if err != nil {
		panic(err)
	}
	sim.hosts[m.to].state.Receive(sim.now, hostID(m.from), r)
}

// move moves up to n buckets to another host.
func (sim *simulation) move(from, to uint8, n int) {
	for b := range sim.table {
		if n > 0 && sim.table[b] == from {
			sim.table[b] = to
			n--
		}
	}
}

// admissible returns the number of open flows and of those that the hosts may
// still admit.
func (sim *simulation) admissible() int {
	n := len(sim.flows)
	for _, h := range sim.hosts {
		n += h.budget
	}
	return n
}

// settle runs a number of rounds of all hosts without loss of reports.
func (sim *simulation) settle(rounds int) {
	for range rounds {
		for h := range sim.hosts {
			sim.tick(h, true)
		}
		for len(sim.queue) > 0 {
			sim.deliver(0, false)
		}
		sim.now = sim.now.Add(100 * time.Millisecond)
	}
}

// step runs one random action.
func (sim *simulation) step(rng *rand.Rand) {
	n := len(sim.hosts)
	h := rng.Intn(n)
	switch rng.Intn(12) {
	case 0, 1, 2:
		sim.tick(h, rng.Intn(3) > 0)
	case 3, 4:
		sim.deliver(rng.Intn(1+len(sim.queue)), false)
	case 5:
		sim.deliver(rng.Intn(1+len(sim.queue)), true)
	case 6:
		sim.admit(h, rng.Intn(Buckets), rng.Intn(30))
	case 7:
		sim.refresh(rng.Intn(1000), h)
		sim.refresh(rng.Intn(1000), h)
	case 8:
		sim.end(rng.Intn(1000))
	case 9:
		if rng.Intn(4) == 0 {
			sim.move(uint8(h), uint8(rng.Intn(n)), rng.Intn(100))
		}
		sim.sync(h)
	case 10:
		sim.now = sim.now.Add(time.Duration(rng.Intn(400)) * time.Millisecond)
	case 11:
		if len(sim.queue) > 0 && rng.Intn(2) == 0 { // lost
			sim.queue = sim.queue[1:]
		}
		if rng.Intn(6) == 0 {
			sim.settle(1 + rng.Intn(12))
		}
	}
}
