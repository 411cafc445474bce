package admission

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
)

// fill opens as many flows as the budget of a host allows.
func (sim *simulation) fill(h int) {
	sim.tick(h, true)
	sim.admit(h, 0, 1<<20)
	sim.tick(h, true)
}

// Guards against a new owner that admits too many flows because the open flows
// of the moved buckets are not charged, and against charges that stay after
// refreshes have recreated the flow table entries.
func TestHandoverKeepsCharges(t *testing.T) {
	sim := newSimulation(2, 200, 200)
	sim.settle(10)
	sim.fill(0)
	sim.fill(1)
	if len(sim.flows) != 200 {
		t.Fatalf("%d flows open, want the allowance of 200", len(sim.flows))
	}
	sim.move(0, 1, 128)
	sim.sync(0)
	sim.sync(1)
	sim.settle(10)
	if n := sim.hosts[1].budget; n != 0 {
		t.Errorf("the new owner may admit %d flows beside the 200 open ones", n)
	}
	for i := range sim.flows {
		sim.refresh(i, 0)
	}
	sim.settle(3)
	b := sim.hosts[1].state.groups["gridwatch"].order[0]
	if b.charged != 200 || b.retainedFlows(sim.now) != 0 {
		t.Errorf("%d charged and %d retained after all refreshes, want 200 and 0", b.charged, b.retainedFlows(sim.now))
	}
	for range 50 {
		sim.end(0)
	}
	sim.settle(3)
	if n := sim.hosts[1].budget; n != 50 {
		t.Errorf("%d new flows after 50 ended, want 50", n)
	}
}

// Guards against too many flows after the previous owner has died: the charges
// that it reported last count until flow_idle has passed.
func TestDepartedHostStaysCharged(t *testing.T) {
	sim := newSimulation(2, 200, 200)
	sim.settle(10)
	sim.fill(0)
	sim.settle(12)
	s := sim.hosts[1].state
	s.SetServices(sim.now, hostID(1), Input{
		Services: []ServiceInput{{Doc: sim.doc, Buckets: map[string]int{hostID(1): Buckets}}},
		Verdicts: sim.verdicts(sim.hosts[1]),
	})
	s.RecordAdmitted(sim.now, nil)
	if n := s.Allowances(sim.now)[backendAddr(1)].NewFlows; n != 100 {
		t.Errorf("%d new flows while 100 of the lost host are open, want 100", n)
	}
	s.RecordAdmitted(sim.now, nil)
	idle := sim.now.Add(sim.doc.FlowIdle.Std())
	if n := s.Allowances(idle)[backendAddr(1)].NewFlows; n != 200 {
		t.Errorf("%d new flows after flow_idle, want 200", n)
	}
}

// newBorrower returns a simulation of two hosts. The first has used up its share
// and borrows from the second.
func newBorrower() *simulation {
	sim := newSimulation(2, 200, 200)
	sim.settle(10)
	sim.fill(0)
	for range 3 {
		sim.settle(12)
		sim.admit(0, 0, 1<<20)
	}
	return sim
}

// Guards against unused allowance that a busy host cannot use, and against loans
// that are never returned to the lender.
func TestLoans(t *testing.T) {
	sim := newBorrower()
	open := len(sim.flows)
	if open <= 100 {
		t.Errorf("%d flows open at the busy host, want more than its part of 100", open)
	}
	for len(sim.flows) > 50 {
		sim.end(0)
	}
	lender := sim.hosts[1].state.groups["gridwatch"].order[0]
	sim.settle(60)
	if n := lender.lentFlows(); n != 0 {
		t.Errorf("%d flows still lent 6 s after the borrower stopped to need them, want 0", n)
	}
	if n := sim.hosts[1].budget; n != 100 {
		t.Errorf("the lender may admit %d flows, want its part of 100", n)
	}
}

// Guards against a lender that takes back an expired loan while the borrower's
// open flows still use it.
func TestUsedLoanStaysLent(t *testing.T) {
	sim := newBorrower()
	sim.queue = nil
	sim.now = sim.now.Add(30 * time.Second)
	for h := range sim.hosts {
		sim.tick(h, true)
	}
	if a := sim.admissible(); a > 200 {
		t.Errorf("%d flows open or admissible while no reports are delivered, allowed 200", a)
	}
}

// Guards against new work at a backend server that is draining, unusable, of
// another service or in a data centre out of service.
func TestNoNewWork(t *testing.T) {
	first := backendAddr(1)
	verdict := func(v health.Verdict) func(*Input) {
		return func(in *Input) { in.Verdicts = map[netip.AddrPort]health.Verdict{first: v} }
	}
	tests := []struct {
		name   string
		change func(*Input)
		admits bool
	}{
		{"nothing", func(*Input) {}, true},
		{"kept although it looks bad", verdict(health.Verdict{Usable: true, ColdKnown: true, Reason: health.ReasonKept}), true},
		{"draining by document", func(in *Input) { in.Services[0].Doc.DataCentres[0].BackendServers[0].Draining = true }, false},
		{"draining by host list", func(in *Input) { in.Leaving = map[netip.AddrPort]bool{first: true} }, false},
		{"draining by load report", verdict(health.Verdict{Draining: true, ColdKnown: true}), false},
		{"data centre out", func(in *Input) { in.OutDataCentres = map[string]bool{"substation-a": true} }, false},
		{"not usable", verdict(health.Verdict{ColdKnown: true}), false},
		{"another service", verdict(health.Verdict{Usable: true, Foreign: true}), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := Input{Services: []ServiceInput{{Doc: testDoc("gridwatch", 1, 2, 100, 10), Buckets: map[string]int{hostID(0): Buckets}}}}
			tt.change(&in)
			s := New(Config{})
			s.SetServices(epoch, hostID(0), in)
			a := s.Allowances(epoch)
			if got := a[first]; (got.NewFlows > 0) != tt.admits || (got.Weight > 0) != tt.admits {
				t.Errorf("allowance %+v, want new work: %v", got, tt.admits)
			}
			if got := a[backendAddr(2)]; got.NewFlows == 0 && tt.name != "data centre out" {
				t.Error("the other backend server admits nothing")
			}
		})
	}
}

// Guards against an allowance off the cold ramp, also after a restart or shedding
// has started the ramp again.
func TestRamp(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	tests := []struct {
		name    string
		verdict health.Verdict
		loadURL bool
		when    int
		want    int
		cold    bool
	}{
		{"new", health.Verdict{}, false, 0, 100, true},
		{"halfway", health.Verdict{}, false, 30, 550, true},
		{"warm", health.Verdict{}, false, 60, 1000, false},
		{"new, load report awaited", health.Verdict{}, true, 59, 100, true},
		{"no load report ever", health.Verdict{}, true, 120, 1000, false},
		{"known to be warm", health.Verdict{Usable: true, ColdKnown: true}, true, 0, 1000, false},
		{"cold again", health.Verdict{Usable: true, ColdKnown: true, ColdSince: at(90)}, true, 93, 145, true},
		{"cold start ahead of this clock", health.Verdict{Usable: true, ColdKnown: true, ColdSince: at(95)}, true, 93, 100, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			doc := testDoc("gridwatch", 1, 1, 1000, 100)
			if tt.loadURL {
				doc.DataCentres[0].BackendServers[0].LoadURL = "http://10.0.0.1/load"
			}
			in := Input{Services: []ServiceInput{{Doc: doc, Buckets: map[string]int{hostID(0): Buckets}}}}
			if tt.verdict != (health.Verdict{}) {
				in.Verdicts = map[netip.AddrPort]health.Verdict{backendAddr(1): tt.verdict}
			}
			s := New(Config{})
			s.SetServices(epoch, hostID(0), in)
			got := s.Allowances(at(tt.when))[backendAddr(1)]
			if got.NewFlows != tt.want || got.Cold != tt.cold || got.Weight != float64(tt.want) {
				t.Errorf("allowance %+v, want %d new flows, cold %v", got, tt.want, tt.cold)
			}
		})
	}
}

// Guards against a budget that is granted twice: one that was replaced without a
// report of the admitted flows counts as used until the next sweep.
func TestUnreportedBudgetCounts(t *testing.T) {
	s := New(Config{})
	s.SetServices(epoch, hostID(0), Input{Services: []ServiceInput{{
		Doc: testDoc("gridwatch", 1, 1, 100, 100), Buckets: map[string]int{hostID(0): Buckets},
	}}})
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{"first", func() {}, 100},
		{"not reported", func() {}, 0},
		{"swept", func() { s.RecordCharged(epoch, map[netip.AddrPort]int{backendAddr(1): 30}) }, 70},
		{"reported", func() { s.RecordAdmitted(epoch, map[netip.AddrPort]int{backendAddr(1): 5}) }, 65},
		{"sweep in progress", func() {
			s.RecordAdmitted(epoch, map[netip.AddrPort]int{backendAddr(1): 10})
			s.StartSweep(epoch)
			s.RecordAdmitted(epoch, map[netip.AddrPort]int{backendAddr(1): 20})
		}, 35},
		{"swept without the last 20", func() {
			s.RecordAdmitted(epoch, nil)
			s.RecordCharged(epoch, map[netip.AddrPort]int{backendAddr(1): 40})
		}, 40},
	}
	for _, step := range steps {
		step.do()
		if n := s.Allowances(epoch)[backendAddr(1)].NewFlows; n != step.want {
			t.Fatalf("%s: %d new flows, want %d", step.name, n, step.want)
		}
	}
}

// Guards against accepting reports that are malformed, outdated, of another view
// or from outside the owner group, and against refusals with a wrong reason.
func TestRefusals(t *testing.T) {
	sim := newSimulation(2, 100, 100)
	s := sim.hosts[0].state
	ok := Report{Service: "gridwatch", Epoch: s.groups["gridwatch"].view.epoch, Seq: 5}
	tests := []struct {
		from    string
		change  func(*Report)
		refusal string
	}{
		{"host-1", func(r *Report) { r.Service = "ledgerdesk" }, "unknown_service"},
		{"host-9", func(*Report) {}, "not_member"},
		{"host-1", func(r *Report) { r.Rows = []int{1} }, "malformed"},
		{"host-1", func(r *Report) { r.Epoch++ }, "epoch"},
		{"host-1", func(r *Report) { r.Seq++ }, ""},
		{"host-1", func(r *Report) { r.Seq++ }, "old"},
	}
	for _, tt := range tests {
		r := ok
		tt.change(&r)
		if got := s.Receive(sim.now, tt.from, r); got.Refusal != tt.refusal || got.Accepted != (tt.refusal == "") {
			t.Errorf("result %+v, want refusal %q", got, tt.refusal)
		}
	}
}

func FuzzParseContent(f *testing.F) {
	r := Report{Service: "gridwatch", Epoch: 1 << 31, Base: 3, Seq: 1764824465123, Ack: 7, Flags: flagReady, Rows: []int{32 + 1, 500}}
	f.Add(r.AppendContent(nil))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := ParseContent(raw)
		if err != nil {
			return
		}
		if again, err := ParseContent(r.AppendContent(nil)); err != nil || !reflect.DeepEqual(again, r) {
			t.Errorf("%+v is read as %+v, error %v", r, again, err)
		}
	})
}

func FuzzParseReport(f *testing.F) {
	f.Add([]byte(`{"s":"gridwatch","e":1,"b":2,"n":3,"a":4,"f":7,"r":[1,5,63,1,2,3,4,5,6]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := ParseReport(raw)
		if err != nil {
			return
		}
		sim := newSimulation(2, 100, 100)
		s := sim.hosts[0].state
		r.Service, r.Epoch, r.Seq = "gridwatch", s.groups["gridwatch"].view.epoch, 1
		if got := s.Receive(sim.now, "host-1", r); !got.Accepted {
			t.Errorf("checked report refused: %s", got.Refusal)
		}
		if n := s.Allowances(sim.now)[backendAddr(1)].NewFlows; n < 0 {
			t.Errorf("%d new flows", n)
		}
		var again Report
		out, _ := json.Marshal(r)
		if err := json.Unmarshal(out, &again); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a member that receives no reports because it does not support
// report datagrams, and against calls to a member that acknowledges datagrams.
func TestUnacknowledgedReportsBecomeCalls(t *testing.T) {
	f := newFleet(6, 2, DefaultReportBytes)
	s, other := f.states[0], f.states[1]
	calls := func() (n int) {
		for range 50 {
			f.now = f.now.Add(200 * time.Millisecond)
			for _, r := range s.Report(f.now) {
				if r.Call {
					n++
					other.Receive(f.now, hostID(0), r)
				}
			}
			f.exchange(other.Report(f.now), 1)
		}
		return n
	}
	if calls() == 0 {
		t.Error("no call to a member that uses no datagrams")
	}
	if large := (&Report{Service: "gridwatch", Rows: make([]int, peer.MaxReport)}); large.fits() {
		t.Error("a report that is larger than a datagram fits in one")
	}
	f.confirm()
	f.confirm()
	for range 50 {
		s.RecordCharged(f.now, f.charges())
		for _, r := range s.Report(f.now) {
			if r.Call {
				t.Fatalf("call of a report with %d rows to a member that uses datagrams", len(r.Rows))
			}
			other.Receive(f.now, hostID(0), r)
		}
		f.tickOthers()
		f.now = f.now.Add(time.Second)
	}
}
