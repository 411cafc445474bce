package route

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Conditions of the users' measures: entry hosts and backend servers change
// as on the design page, and one data centre is out for a third of the time.
const (
	measuredFor = 60 * time.Second
	outAt       = 20 * time.Second
	backAt      = 40 * time.Second
	measuredFPS = 500

	// servedWithin allows two retransmissions of a lost first packet.
	servedWithin = 2 * packetInterval
)

// deployment is a user's service with many flows, at its size of today.
type deployment struct {
	name    string
	centres int
	hosts   int
	servers int
}

var deployments = []deployment{
	{"peachtree-hollow/gridwatch", 3, 7, 14},
	{"qadri-brothers/booking-desk", 4, 7, 14},
}

// measures are what the users ask for.
type measures struct {
	flows     int
	brokenOut int // flows of the data centre that was taken out
	broken    int // all other broken flows
	imbalance float64
	served    float64 // share of the flows attempted while the data centre was out
}

// measure runs a method on a deployment.
func measure(t testing.TB, d deployment, m method, seed uint64, rate int) measures {
	x := newTrial(t, m, true, seed)
	x.centres, x.out = d.centres, map[string]bool{}
	x.active = d.servers
	for i := range x.services[0].Backends {
		x.services[0].Backends[i].DataCentre = fmt.Sprintf("dc-%d", i%d.centres)
	}
	x.setActive()
	x.setOut("")
	x.update()
	out := fmt.Sprintf("dc-%d", d.centres-1)
	start := x.now
	var got measures
	opened := map[netip.AddrPort]int{}
	attempted, served := 0, 0
	pending := map[packet.Key]Time{} // attempts while out, by the time of the first packet
	for ; x.now < start+Time(measuredFor); x.now += Time(comparedStep) {
		switch x.now - start {
		case Time(outAt):
			x.setOut(out)
			x.changed()
		case Time(backAt):
			x.setOut("")
			x.changed()
		}
		x.events()
		fresh := x.open(rate)
		before := x.holders()
		ended := x.ended
		x.step()
		got.count(x, before, ended, out, x.now-start >= Time(outAt))
		for _, o := range fresh {
			lasts := o.ends-x.now > Time(servedWithin) // else its caller does not retransmit
			if lasts && x.now-start >= Time(outAt) && x.now-start < Time(backAt) {
				attempted++
				pending[o.k] = x.now
			}
			if b, ok := x.serving[o.k]; ok {
				opened[b]++
			}
		}
		for k, since := range pending {
			if _, ok := x.serving[k]; ok {
				served++
				delete(pending, k)
			} else if x.now-since > Time(servedWithin) {
				delete(pending, k)
			}
		}
	}
	got.flows = x.opened
	got.imbalance = x.imbalance(opened, out)
	got.served = float64(served) / float64(attempted)
	return got
}

// open adds the flows of one step and returns them.
func (x *trial) open(rate int) []openFlow {
	before := len(x.flows)
	x.add(rate * int(comparedStep) / int(time.Second))
	return slices.Clone(x.flows[before:])
}

// holders returns the data centre that serves each open flow.
func (x *trial) holders() map[packet.Key]string {
	at := map[netip.AddrPort]string{}
	for _, b := range x.services[0].Backends {
		at[b.Addr] = b.DataCentre
	}
	held := make(map[packet.Key]string, len(x.serving))
	for k, addr := range x.serving {
		held[k] = at[addr]
	}
	return held
}

// count attributes the flows that broke in the last step. A finished flow
// leaves the serving map as well, so only as many as ended are attributed.
func (m *measures) count(x *trial, before map[packet.Key]string, ended int, out string, wasOut bool) {
	n := x.ended - ended
	if n == 0 {
		return
	}
	for _, k := range x.brokenNow {
		if wasOut && before[k] == out {
			m.brokenOut++
		} else {
			m.broken++
		}
	}
	x.brokenNow = x.brokenNow[:0]
}

// setOut takes a data centre out of service, or none.
func (x *trial) setOut(out string) {
	x.out = map[string]bool{out: out != ""}
	for i := range x.services[0].Backends {
		b := &x.services[0].Backends[i]
		b.DataCentreOut = x.out[b.DataCentre]
	}
	for i := range comparedHosts {
		id := testHost(i).ID
		if at := slices.IndexFunc(x.hosts, func(h Host) bool { return h.ID == id }); at >= 0 {
			x.place(&x.hosts[at], i)
		}
	}
}

// imbalance compares the backend servers that took flows all the time.
func (x *trial) imbalance(opened map[netip.AddrPort]int, out string) float64 {
	sum, most, n := 0, 0, 0
	for i, b := range x.services[0].Backends {
		if i >= minBackends || b.DataCentre == out {
			continue
		}
		sum += opened[b.Addr]
		most = max(most, opened[b.Addr])
		n++
	}
	return float64(most) * float64(n) / float64(sum)
}

// Guards against entries of attempts that the caller gave up: when their data
// centre was taken out, they reset flows that lived elsewhere.
func TestMeasures(t *testing.T) {
	for _, d := range deployments {
		got := measure(t, d, methods[len(methods)-1], 1, 250)
		t.Logf("%s: %+v", d.name, got)
		if got.broken != 0 || got.served != 1 {
			t.Errorf("%s: %d flows broke outside the data centre that was out; served share %v", d.name, got.broken, got.served)
		}
	}
}

// BenchmarkMeasures compares baselines A and B with the shipped method E on
// both deployments.
func BenchmarkMeasures(b *testing.B) {
	for _, d := range deployments {
		for _, m := range methods {
			if m.name == "C" || m.name == "D" {
				continue
			}
			for _, seed := range []uint64{1, 2} {
				b.Run(fmt.Sprintf("%s/%s/seed=%d", d.name, m.name, seed), func(b *testing.B) {
					for b.Loop() {
						got := measure(b, d, m, seed, measuredFPS)
						b.ReportMetric(float64(got.flows), "flows")
						b.ReportMetric(float64(got.broken), "broken")
						b.ReportMetric(float64(got.brokenOut), "broken-out")
						b.ReportMetric(got.imbalance, "imbalance")
						b.ReportMetric(100*got.served, "served-%")
					}
				})
			}
		}
	}
}
