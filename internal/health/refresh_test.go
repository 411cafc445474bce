package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Guards against refreshes that exceed the budget for control traffic, come in
// bursts, or omit an owner until its reports are stale.
func TestRefreshes(t *testing.T) {
	for _, tt := range []struct {
		services int
		longest  time.Duration // between two refreshes of one report
		most     int           // refreshes in 20 minutes
	}{
		{2, minRefreshAge + 17*time.Second, 640},
		{14, minRefreshAge + maxRefreshRound, 1200},
		{40, minRefreshAge + maxRefreshRound, 3200},
	} {
		t.Run(fmt.Sprintf("services=%d", tt.services), func(t *testing.T) {
			s := newState("host-a", 0, func(in *Input) {
				for i := range tt.services {
					doc := &document.Service{Name: fmt.Sprintf("service-%d", i), DataCentres: []document.DataCentre{{
						Name:           "substation-a",
						BackendServers: []document.BackendServer{{Address: addr(i).Addr(), Port: 6080, LoadURL: "http://a/load"}},
					}}}
					in.Services = append(in.Services, ServiceInput{Doc: doc, Group: []string{"host-b", "host-c", "d", "e", "f", "g", "h", "i"}})
				}
			})
			for i := range tt.services {
				s.Report(at(0), addr(i), LoadReport{Service: fmt.Sprintf("service-%d", i), Instance: 7, UptimeMillis: 1e6})
			}
			last := map[string]time.Time{}
			sent := 0
			for now := at(1); now.Before(at(1201)); now = now.Add(250 * time.Millisecond) {
				messages := s.Messages(now)
				for _, m := range messages {
					key := m.Service + m.To
					if before, ok := last[key]; ok && (now.Sub(before) > tt.longest || len(messages) > 2) {
						t.Fatalf("%s refreshed after %v, with %d others", key, now.Sub(before), len(messages)-1)
					}
					if _, ok := last[key]; ok {
						sent++
					}
					last[key] = now
					s.Delivered(m)
				}
			}
			for key, at := range last {
				if age := at.Sub(start) - 20*time.Minute; age < -tt.longest {
					t.Errorf("%s not refreshed for %v", key, -age)
				}
			}
			if len(last) != 8*tt.services || sent > tt.most {
				t.Errorf("%d reports, %d refreshes, allowed %d", len(last), sent, tt.most)
			}
		})
	}
}

// Guards against an owner that does not learn of draining backend servers after a
// restart until the next refresh.
func TestRestartedHostReceivesReports(t *testing.T) {
	a := newState("host-a", 1, nil)
	a.Report(at(0), addr(1), report(time.Hour, func(r *LoadReport) { r.Draining = true }))
	a.SetBootID("host-c", 1)
	send := func(now float64) (hosts []string) {
		for _, m := range a.Messages(at(now)) {
			hosts = append(hosts, m.To)
			a.Delivered(m)
		}
		return hosts
	}
	send(1)
	a.SetBootID("host-c", 1)
	if hosts := send(2); hosts != nil {
		t.Errorf("reports to %v without a change", hosts)
	}
	a.SetBootID("host-c", 2)
	if hosts := send(3); len(hosts) != 1 || hosts[0] != "host-c" {
		t.Errorf("reports to %v, want one to the host that restarted", hosts)
	}
}

// Guards against draining that expires between two refreshes, and against draining
// that stays in effect although the host that reported it is no longer an observer.
func TestStaleReports(t *testing.T) {
	a, c := newState("host-a", 1, nil), newState("host-c", 1, nil)
	a.Report(at(0), addr(1), report(time.Hour, func(r *LoadReport) { r.Draining = true }))
	for _, m := range a.Messages(at(1)) {
		if m.To == "host-c" {
			c.Receive(at(1), "host-a", m)
		}
	}
	draining := func(now float64) bool { return c.Verdicts(at(now))[addr(1)].Draining }
	if !draining(299) || draining(307) {
		t.Errorf("draining %v after 298 s and %v after 306 s", draining(299), draining(307))
	}
	c.backends[addr(1)].observers = []string{"host-b"}
	if !draining(65) || draining(67) {
		t.Errorf("draining %v after 64 s and %v after 66 s by a former observer", draining(65), draining(67))
	}
}
