package route

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Conditions under which the users' measures are taken: entry hosts and backend
// servers change as on the design page, and one data centre is out of service
// for a third of the time.
const (
	measuredFor    = 60 * time.Second
	outAt          = 20 * time.Second
	backAt         = 40 * time.Second
	flowsPerSecond = 500

	// servedWithin allows two retransmissions of a lost first packet.
	servedWithin = 2 * packetInterval
)

// deployment is a user's service with many flows, at its current size.
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

// measures are the results that the users set requirements for.
type measures struct {
	flows     int
	brokenOut int // flows of the data centre that was taken out
	broken    int // all other broken flows
	imbalance float64
	served    float64 // share of the flows attempted while the data centre was out
}

// measure runs a method on a deployment with rate new flows per second.
func measure(t testing.TB, d deployment, m method, seed uint64, rate int) measures {
	x := newTrial(t, m, true, seed)
	x.centres, x.out = d.centres, map[string]bool{}
	x.active = d.servers
	for i := range x.services[0].Backends {
		x.services[0].Backends[i].DataCentre = fmt.Sprintf("dc-%d", i%d.centres)
	}
	x.setActive()
	x.setDataCentreOut("")
	x.update()
	out := fmt.Sprintf("dc-%d", d.centres-1)
	start := x.now
	var got measures
	opened := map[netip.AddrPort]int{}
	attempted, served := 0, 0
	pending := map[packet.Key]Time{} // attempts while the data centre is out, with the time of the first packet
	for ; x.now < start+Time(measuredFor); x.now += Time(comparedStep) {
		switch x.now - start {
		case Time(outAt):
			x.setDataCentreOut(out)
			x.schedulePublish()
		case Time(backAt):
			x.setDataCentreOut("")
			x.schedulePublish()
		}
		x.events()
		fresh := x.openStep(rate)
		before := x.holders()
		brokenCount := x.brokenCount
		x.step()
		got.count(x, before, brokenCount, out, x.now-start >= Time(outAt))
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

// openStep adds the flows that one step opens, and returns them.
func (x *trial) openStep(rate int) []openFlow {
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

// count adds the flows that broke in the last step to the measures. Finished
// flows leave the serving map as well, but are not counted. before holds the data
// centres that served the flows before the step, and brokenCount the number of
// broken flows by then.
func (m *measures) count(x *trial, before map[packet.Key]string, brokenCount int, out string, wasOut bool) {
	n := x.brokenCount - brokenCount
	if n == 0 {
		return
	}
	for _, k := range x.brokenFlows {
		if wasOut && before[k] == out {
			m.brokenOut++
		} else {
			m.broken++
		}
	}
	x.brokenFlows = x.brokenFlows[:0]
}

// setDataCentreOut takes a data centre out of service, or none.
func (x *trial) setDataCentreOut(out string) {
	x.out = map[string]bool{out: out != ""}
	for i := range x.services[0].Backends {
		b := &x.services[0].Backends[i]
		b.DataCentreOut = x.out[b.DataCentre]
	}
	for i := range comparedHosts {
		id := testHost(i).ID
		if at := slices.IndexFunc(x.hosts, func(h Host) bool { return h.ID == id }); at >= 0 {
			x.placeHost(&x.hosts[at], i)
		}
	}
}

// imbalance returns the highest number of flows opened at a backend server,
// divided by the mean, among those that received new flows all the time.
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

// Guards against entries of connection attempts that the caller abandoned: when
// the data centre of such an entry is taken out of service, the entry must not
// reset the flow, which another backend server serves.
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
						got := measure(b, d, m, seed, flowsPerSecond)
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
