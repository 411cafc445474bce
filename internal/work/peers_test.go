package work

import (
	"math"
	"net/netip"
	"testing"
	"time"
)

func hostAddr(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
}

// Guards against reports that count twice, too long or too much, and against a sample of the hosts that is taken for all.
func TestCombine(t *testing.T) {
	var p Peers
	p.Receive(hostAddr(1), []Report{{Token: 7, Work: 9}}, time.Second)
	p.Receive(hostAddr(1), []Report{{Token: 7, Work: 2, Log: 1, Weight: 4}}, time.Second) // replaces the earlier one
	p.Receive(hostAddr(2), []Report{{Token: 7, Work: 4, Log: 0.5, Weight: 4}, {Token: 8, Work: 1e9, Log: 50, Weight: 255}}, time.Second)
	for _, tt := range []struct {
		after         time.Duration
		known         int
		work, log     float64
		hosts, bounds int
	}{
		{0, 2, 6, 0.75, 2, 1},
		{0, 4, 12, 0.75, 2, 1}, // only two of four hosts were heard
		{time.Second, 2, 3, 0.75, 2, 1},
		{reportLifetime, 2, 0, 0, 0, 0},
	} {
		shared := p.Combine(tt.known, time.Second+tt.after)
		got := shared.Servers[7]
		if math.Abs(got.Work-tt.work) > 1e-9 || math.Abs(got.Log-tt.log) > 1e-9 || shared.Hosts != tt.hosts {
			t.Errorf("after %v of %d: %+v by %d hosts, want work %v, log %v by %d", tt.after, tt.known, got, shared.Hosts, tt.work, tt.log, tt.hosts)
		}
		if b := shared.Servers[8]; b.Work > 2*maxReportedWork || b.Log > maxLogRatio || b.Weight > maxCallers {
			t.Errorf("a report of an absurd size counts as %+v", b)
		}
	}
	if len(p.reports) != 0 {
		t.Errorf("%d old reports kept", len(p.reports))
	}
	for port := range uint16(2 * maxReporters) {
		p.Receive(netip.AddrPortFrom(hostAddr(1).Addr(), port), nil, time.Second)
	}
	if len(p.reports) != maxReporters {
		t.Errorf("%d reports kept, want %d", len(p.reports), maxReporters)
	}
}

// Guards against hosts that report all servers, or those that are like the rest.
func TestReports(t *testing.T) {
	x := newFixture()
	f := x.flow()
	for range fewSamples {
		x.request(f, 24*ms)
	}
	servers := make([]Server, 10)
	for i := range servers {
		servers[i].SetService(x.tracker.Service("meter"), token(i+2))
	}
	x.flow().Observe(Packet{NewData: true}, x.now)
	x.tracker.Update(x.now)
	if r := x.tracker.Reports(); len(r) != 0 {
		t.Errorf("reports %+v, want none for one request", r)
	}
	x.servers[1].addOverdue(x.now)
	x.tracker.Update(x.now)
	if r := x.tracker.Reports(); len(r) != 1 || r[0].Token != 1 || r[0].Work < reportedExcess {
		t.Errorf("reports %+v, want the server with an overdue request", r)
	}
	for i := range servers {
		for range i + 1 {
			servers[i].addOverdue(x.now)
		}
	}
	x.tracker.Update(x.now)
	r := x.tracker.Reports()
	if len(r) != MaxReports || r[0].Token != 11 || r[1].Token != 10 {
		t.Errorf("reports %+v, want %d with the most work first", r, MaxReports)
	}
}

// Guards against a host that runs slowly, handles all answers late, and reports servers as slow for it: the others would give them
// fewer flows. What a host sees at most servers alike is not reported; what it sees at one or a few is.
func TestOwnSlownessIsNotReported(t *testing.T) {
	for _, tt := range []struct {
		name    string
		servers int
		slow    int // of them
		want    int // reported as slow
	}{
		{"all slow", 12, 12, 0},
		{"most slow", 12, 11, 0},
		{"one slow", 12, 1, 1},
		{"a quarter slow", 12, 3, 3},
		{"the only one", 1, 1, 1},
	} {
		x := newFixture()
		servers := make([]Server, tt.servers)
		for i := range servers {
			servers[i].SetService(x.tracker.Service("bill"), token(i+2))
			ratio := 1.0
			if i < tt.slow {
				ratio = 4
			}
			for caller := range 8 {
				servers[i].addSample(uint32(caller), ratio, x.now)
			}
		}
		x.tracker.Update(x.now)
		slow := 0
		for _, r := range x.tracker.Reports() {
			if r.Log > 0 {
				slow++
			}
		}
		if slow != tt.want {
			t.Errorf("%s: %d servers reported as slow, want %d", tt.name, slow, tt.want)
		}
	}
}

// Guards against a remote speed that outweighs the many hosts that report no difference.
func TestSilentHostsAreEvidence(t *testing.T) {
	x := newFixture()
	x.servers[0].SetRemote(Remote{Log: 1, Weight: 3})
	few := x.servers[0].Speed()
	x.tracker.SetReporters(40)
	if many := x.servers[0].Speed(); many < few+0.1 {
		t.Errorf("speed %.2f with one of 40 hosts reporting, %.2f with one", many, few)
	}
}
