package health

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 10, byte(i)}), 6080)
}

var testHosts = []document.Host{
	{ID: "host-a", DataCentre: "substation-a"},
	{ID: "host-b", DataCentre: "substation-a"},
	{ID: "host-c", DataCentre: "substation-b"},
}

// newState returns the state of a host with n backend servers.
func newState(self string, n int, change func(*Input)) *State {
	dc := document.DataCentre{Name: "substation-a"}
	for i := 1; i <= n; i++ {
		dc.BackendServers = append(dc.BackendServers, document.BackendServer{
			Address: addr(i).Addr(), Port: 6080, LoadURL: "http://" + addr(i).Addr().String() + ":6081/load",
			Cold: document.Cold{Ramp: document.Duration(time.Minute)},
		})
	}
	doc := &document.Service{Name: "gridwatch", DataCentres: []document.DataCentre{dc}}
	in := Input{
		Services: []ServiceInput{{Doc: doc, Group: []string{"host-a", "host-b", "host-c"}}},
		Hosts:    testHosts,
	}
	if change != nil {
		change(&in)
	}
	s := New(Config{})
	s.SetServices(start, self, in)
	return s
}

func report(uptime time.Duration, change func(*LoadReport)) LoadReport {
	r := LoadReport{Service: "gridwatch", Instance: 7, UptimeMillis: uptime.Milliseconds()}
	if change != nil {
		change(&r)
	}
	return r
}

// Guards against a cold start that is not detected, and against warm backend
// servers that are treated as cold.
func TestColdStarts(t *testing.T) {
	warm := report(time.Hour, nil)
	tests := []struct {
		name string
		run  func(s *State)
		cold float64 // start of the ramp in seconds; negative if derived from the uptime
	}{
		{"warm", func(s *State) { s.Report(at(0), addr(1), warm) }, -3600},
		{"uptime continues", func(s *State) {
			s.Report(at(0), addr(1), warm)
			s.Report(at(9), addr(1), report(time.Hour+9*time.Second, nil))
		}, -3600},
		{"uptime falls", func(s *State) {
			s.Report(at(0), addr(1), warm)
			s.Report(at(9), addr(1), report(time.Second, nil))
		}, 9},
		{"new instance that claims a long uptime", func(s *State) {
			s.Report(at(0), addr(1), warm)
			s.Report(at(9), addr(1), report(time.Hour, func(r *LoadReport) { r.Instance = 8 }))
		}, 9},
		{"shedding in a report", func(s *State) {
			s.Report(at(0), addr(1), warm)
			s.Report(at(9), addr(1), report(time.Hour+9*time.Second, func(r *LoadReport) { r.Shedding = true }))
		}, 9},
		{"shedding just after a cold start", func(s *State) {
			s.Report(at(0), addr(1), report(0, nil))
			s.Evidence(at(3), addr(1), Evidence{Replies: 4, Sheds: 1})
		}, 3},
		{"shedding continues", func(s *State) {
			s.Evidence(at(3), addr(1), Evidence{Sheds: 1})
			s.Evidence(at(8), addr(1), Evidence{Sheds: 1})
		}, 3},
		{"back after a silence, reports are stale", func(s *State) {
			s.Report(at(0), addr(1), warm)
			s.Evidence(at(1), addr(1), Evidence{Unanswered: 9})
			s.Evidence(at(6), addr(1), Evidence{Replies: 1})
		}, 6},
		{"packet loss is no restart", func(s *State) {
			s.Report(at(0), addr(1), warm)
			s.Evidence(at(1), addr(1), Evidence{Unanswered: 9})
			s.Evidence(at(2), addr(1), Evidence{Replies: 1})
		}, -3600},
		{"stale report after the restart", func(s *State) {
			s.Report(at(0), addr(1), warm)
			s.Report(at(9), addr(1), report(time.Second, func(r *LoadReport) { r.Instance = 8 }))
			s.Report(at(10), addr(1), report(time.Hour, nil))
		}, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newState("host-a", 1, nil)
			tt.run(s)
			if got := s.Verdicts(at(10))[addr(1)].ColdSince; !got.Equal(at(tt.cold)) {
				t.Errorf("cold since %v, want %v", got.Sub(start), at(tt.cold).Sub(start))
			}
		})
	}
}

// Guards against a verdict whose reason does not follow the order of precedence.
func TestVerdicts(t *testing.T) {
	foreign := report(time.Hour, func(r *LoadReport) { r.Service = "ledgerdesk" })
	shedding := report(time.Hour, func(r *LoadReport) { r.Shedding = true })
	draining := report(time.Hour, func(r *LoadReport) { r.Draining = true })
	silence := Evidence{Unanswered: 9}
	drainDoc := func(in *Input) { in.Services[0].Doc.DataCentres[0].BackendServers[0].Draining = true }
	out := func(in *Input) { in.OutDataCentres = map[string]bool{"substation-a": true} }
	tests := []struct {
		name   string
		input  func(*Input)
		run    func(s *State)
		when   float64
		usable bool
		reason Reason
	}{
		{"nothing known", nil, func(*State) {}, 1, true, ReasonNone},
		{"other service outranks data centre out", out, func(s *State) { s.Report(at(1), addr(1), foreign) }, 1, false, ReasonForeign},
		{"data centre out outranks draining", out, func(s *State) { s.Report(at(1), addr(1), draining) }, 1, false, ReasonDataCentreOut},
		{"draining by load report", nil, func(s *State) { s.Report(at(1), addr(1), draining) }, 1, false, ReasonDraining},
		{"draining by document", drainDoc, func(*State) {}, 1, false, ReasonDraining},
		{"draining by host list", func(in *Input) { in.Leaving = map[netip.AddrPort]bool{addr(1): true} }, func(*State) {}, 1, false, ReasonDraining},
		{"silent", nil, func(s *State) { s.Evidence(at(1), addr(1), silence) }, 1, false, ReasonEvidence},
		{"silence ends with the evidence", nil, func(s *State) { s.Evidence(at(1), addr(1), silence) }, 12, true, ReasonNone},
		{"resets", nil, func(s *State) { s.Evidence(at(1), addr(1), Evidence{Resets: 5, Replies: 3}) }, 1, false, ReasonEvidence},
		{"shedding by load report", nil, func(s *State) { s.Report(at(1), addr(1), shedding) }, 1, false, ReasonLoadReport},
		{"stale load report", nil, func(s *State) { s.Report(at(1), addr(1), shedding) }, 7, true, ReasonNone},
		{"replies outrank a misleading load report", nil, func(s *State) {
			s.Evidence(at(1), addr(1), Evidence{Replies: 9})
			s.Report(at(1), addr(1), shedding)
		}, 1, true, ReasonNone},
		{"good report does not outrank silence", nil, func(s *State) {
			s.Evidence(at(1), addr(1), silence)
			s.Report(at(2), addr(1), report(time.Hour, nil))
		}, 2, false, ReasonEvidence},
		{"own service again", nil, func(s *State) {
			s.Report(at(1), addr(1), foreign)
			s.Report(at(2), addr(1), report(time.Hour, nil))
		}, 2, true, ReasonNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newState("host-a", 4, tt.input)
			tt.run(s)
			if v := s.Verdicts(at(tt.when))[addr(1)]; v.Usable != tt.usable || v.Reason != tt.reason {
				t.Errorf("usable %v because of %v, want %v because of %v", v.Usable, v.Reason, tt.usable, tt.reason)
			}
		})
	}
}

// Guards against load reports or evidence that make more than half of the backend
// servers of a service unusable.
func TestHalfStaysUsable(t *testing.T) {
	tests := []struct {
		name                           string
		servers, silent, shed, drained int
		usable                         int
	}{
		{"all shed", 4, 0, 4, 0, 2},
		{"all silent", 5, 5, 0, 0, 3},
		{"only one, silent", 1, 1, 0, 0, 1},
		{"draining ones do not count", 6, 4, 0, 2, 2},
		{"less than half bad", 5, 2, 0, 0, 3},
		{"both reasons", 4, 2, 2, 0, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newState("host-a", tt.servers, func(in *Input) {
				for i := range tt.drained {
					in.Services[0].Doc.DataCentres[0].BackendServers[tt.servers-1-i].Draining = true
				}
			})
			for i := 1; i <= tt.silent; i++ {
				s.Evidence(at(1), addr(i), Evidence{Unanswered: 9})
			}
			for i := tt.silent + 1; i <= tt.silent+tt.shed; i++ {
				s.Report(at(1), addr(i), report(time.Hour, func(r *LoadReport) { r.Shedding = true }))
			}
			usable := 0
			for a, v := range s.Verdicts(at(1)) {
				if v.Usable {
					usable++
				}
				if tt.name == "both reasons" && v.Usable && a.Compare(addr(2)) <= 0 {
					t.Errorf("%v is silent and kept instead of one with a bad load report", a)
				}
			}
			if usable != tt.usable {
				t.Errorf("%d backend servers usable, want %d", usable, tt.usable)
			}
		})
	}
}

// Guards against observations that do not reach the owner group, and against
// accepting reports that are duplicates, malformed or of another view.
func TestMessages(t *testing.T) {
	a, c := newState("host-a", 2, nil), newState("host-c", 2, nil)
	a.Report(at(0), addr(1), report(time.Hour, nil))
	send := func(now float64) (sent int) {
		for _, m := range a.Messages(at(now)) {
			raw, err := json.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			got, err := ParseMessage(raw)
			if err != nil {
				t.Fatal(err)
			}
			if m.To == "host-c" {
				c.Receive(at(now+0.5), "host-a", got)
				if c.Receive(at(now+0.6), "host-a", got).Accepted {
					t.Error("duplicate accepted")
				}
			}
			a.Delivered(m)
			sent++
		}
		return sent
	}
	if n := send(1); n != 2 {
		t.Fatalf("%d messages after a report, want one per other host", n)
	}
	if n := send(20); n != 0 {
		t.Errorf("%d messages without a change, want 0", n)
	}
	if v := c.Verdicts(at(20))[addr(1)]; !v.ColdKnown || v.Instance != 7 || !v.ColdSince.IsZero() {
		t.Errorf("verdict %+v of a warm backend server", v)
	}
	a.Report(at(21), addr(1), report(0, func(r *LoadReport) { r.Instance, r.Draining = 8, true }))
	send(22)
	if v := c.Verdicts(at(23))[addr(1)]; !v.Draining || v.Instance != 8 || v.ColdSince.Before(at(21)) || v.ColdSince.After(at(22)) {
		t.Errorf("verdict %+v after a restart at 21 s", v)
	}
	a.Report(at(24), addr(1), report(2*time.Second, func(r *LoadReport) { r.Service = "ledgerdesk" }))
	send(25)
	if v := c.Verdicts(at(26))[addr(1)]; !v.Foreign {
		t.Errorf("verdict %+v after a report of another service", v)
	}
	for name, m := range map[string]Message{
		"unknown_service": {Service: "ledgerdesk", Seq: 1 << 62},
		"epoch":           {Service: "gridwatch", Epoch: 1, Seq: 1 << 62},
		"malformed":       {Service: "gridwatch", Epoch: c.services["gridwatch"].epoch, Seq: 1 << 62, Rows: []uint64{0}},
	} {
		if r := c.Receive(at(30), "host-a", m); r.Refusal != name {
			t.Errorf("refusal %q, want %q", r.Refusal, name)
		}
	}
}

func FuzzParseLoadReport(f *testing.F) {
	f.Add([]byte(`{"service":"gridwatch","instance":7,"uptime_ms":1000,"connections":3,"slots_busy":1,"draining":false,"shedding":true}`))
	f.Add([]byte(`{"service":"gridwatch"} {}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := ParseLoadReport(raw)
		if err == nil && (r.Service == "" || r.UptimeMillis < 0 || r.SlotsBusy < 0) {
			t.Errorf("accepted %+v", r)
		}
	})
}

func FuzzParseContent(f *testing.F) {
	m := Message{Service: "gridwatch", Epoch: 1 << 31, Seq: 1764824465123, WantAck: true, Rows: []uint64{0, 24, 7, 1000, 1, 1}}
	f.Add(m.AppendContent(nil))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := ParseContent(raw)
		if err != nil {
			return
		}
		if again, err := ParseContent(m.AppendContent(nil)); err != nil || !reflect.DeepEqual(again, m) {
			t.Errorf("%+v is read as %+v, error %v", m, again, err)
		}
	})
}

func FuzzParseMessage(f *testing.F) {
	f.Add([]byte(`{"s":"gridwatch","e":1,"n":2,"r":[0,24,7,1000,1,1]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := ParseMessage(raw)
		if err != nil {
			return
		}
		s := newState("host-c", 2, nil)
		m.Service, m.Epoch, m.Seq = "gridwatch", s.services["gridwatch"].epoch, 1
		if r := s.Receive(start, "host-a", m); !r.Accepted {
			t.Errorf("checked message refused: %s", r.Refusal)
		}
		s.Verdicts(start)
	})
}

// Guards against a reported process start that is too early: flows of the previous
// process would be treated as flows of the new one.
func TestStartOfANewProcess(t *testing.T) {
	a, c := newState("host-a", 1, nil), newState("host-c", 1, nil)
	a.Report(at(10), addr(1), report(time.Hour, nil))
	a.Report(at(13), addr(1), report(500*time.Millisecond, func(r *LoadReport) { r.Instance = 8 }))
	for _, m := range a.Messages(at(13)) {
		if m.To == "host-c" {
			c.Receive(at(14), "host-a", m)
		}
	}
	a.Report(at(16), addr(1), report(3500*time.Millisecond, func(r *LoadReport) { r.Instance = 8 }))
	if got := a.Verdicts(at(16))[addr(1)].StartedBy; !got.Equal(at(13.5)) {
		t.Errorf("by the load report: %v", got.Sub(start))
	}
	if got := c.Verdicts(at(16))[addr(1)]; got.Instance != 8 || !got.StartedBy.Equal(at(14.5)) {
		t.Errorf("by the message: instance %d, %v", got.Instance, got.StartedBy.Sub(start))
	}
	a.Report(at(20), addr(1), report(time.Minute, func(r *LoadReport) { r.Instance = 9 }))
	if got := a.Verdicts(at(20))[addr(1)].StartedBy; !got.Equal(at(17)) {
		t.Errorf("by an uptime that starts before the last report of the previous process: %v", got.Sub(start))
	}
}
