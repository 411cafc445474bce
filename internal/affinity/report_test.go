package affinity

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Guards against a report that leaves out why a backend server gets no new flows, each reason in turn.
func TestReportNamesWhatKeepsFlowsAway(t *testing.T) {
	for _, tt := range []struct {
		name   string
		away   func(w *world, id string)
		want   string
		cause  string
		prefer Preference
	}{
		{"draining", func(w *world, id string) { w.change(id, func(s *registry.Server) { s.Draining = true }) }, "draining", "", preferNone},
		{"lapsed", func(w *world, id string) { w.change(id, func(s *registry.Server) { s.Lapsed = true }) }, "lapsed", "", preferLapsed},
		{"cold", func(w *world, id string) {
			w.change(id, func(s *registry.Server) { s.ColdUntil = w.now + 2*time.Second })
		}, "cold", "", preferCold},
		{"data centre out", func(w *world, _ string) { w.view.OutDataCentres["b"] = true; w.show() }, "data_centre_out", "", preferNone},
		{"unreachable", func(w *world, _ string) {
			w.router.SetFleet(Fleet{Self: selfHost, Unreachable: map[string]bool{"b": true}})
		}, "data_centre_unreachable", "", preferSuspect},
		{"doubted", func(w *world, id string) { w.router.servers[id].suspect(OpeningLate, w.now) }, "doubted", "opening_late", preferSuspect},
		{"silent", func(w *world, id string) {
			w.router.servers[id].check = check{running: true, startedAt: w.now}
			w.router.HandleCheckResult(id, Refuses, w.now)
		}, "doubted", "connection_refused", preferSuspect},
		{"doubted and unreachable", func(w *world, id string) {
			w.router.servers[id].suspect(CallerRestarted, w.now)
			w.router.SetFleet(Fleet{Self: selfHost, Unreachable: map[string]bool{"b": true}})
		}, "doubted_and_unreachable", "caller_restarted", preferNone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t)
			w.server("meter", "a")
			id := w.server("meter", "b")
			w.show()
			if report := w.router.Report(w.now); len(report.Avoided) != 0 || report.Routes != 2 || len(report.Places) != 2 {
				t.Fatalf("before: %+v, want two places and nobody avoided", report)
			}
			tt.away(w, id)
			report := w.router.Report(w.now)
			if len(report.Avoided) != 1 || report.Places[1].Avoided != 1 || report.Places[1].Servers != 1 {
				t.Fatalf("report %+v, want one avoided server in the second place", report)
			}
			got := report.Avoided[0]
			if got.ID != id || got.Eligibility != tt.want || got.Cause != tt.cause || got.Preference != tt.prefer {
				t.Errorf("got %+v, want %s %s %v of %s", got, tt.want, tt.cause, tt.prefer, id)
			}
			if tt.cause != "" && (got.For <= 0 || got.SinceAnswer >= 0) {
				t.Errorf("doubt for %v, sign %v ago; want a time that is left and no sign", got.For, got.SinceAnswer)
			}
		})
	}
}

// Guards against reports that grow with the fleet.
func TestReportIsBounded(t *testing.T) {
	w := newWorld(t)
	for range 3 * maxAvoided {
		w.server("meter", "b", func(s *registry.Server) { s.Draining = true })
	}
	w.server("meter", "a")
	w.server("meter", "a")
	for range 3 * maxCandidates {
		w.server("bill", "a")
	}
	w.show()
	w.router.SetFleet(Fleet{Self: selfHost, Flows: map[PlaceDigest]int{Place{"meter", "b"}.Digest(): 7}})
	report := w.router.Report(w.now)
	if len(report.Avoided) != maxAvoided || report.Places[2].Avoided != 3*maxAvoided || report.Places[2].OtherFlows != 7 {
		t.Errorf("%d servers listed, %d counted", len(report.Avoided), report.Places[2].Avoided)
	}
	e := w.router.Explain(w.caller(billAddr).key, 0, w.now)
	if len(e.Targets) != 1 || len(e.Targets[0].Candidates) != maxCandidates || e.Targets[0].Servers != 3*maxCandidates {
		t.Errorf("explanation %+v", e)
	}
}

// Guards against an explanation that names another backend server than the one that a new flow then gets.
func TestExplanationAgreesWithTheChoice(t *testing.T) {
	w := newWorld(t)
	for range 3 {
		w.server("meter", "a", func(s *registry.Server) { s.Slots = 1 + int(w.nextID)%3 })
	}
	w.server("meter", "b")
	drains := w.server("meter", "a", func(s *registry.Server) { s.Draining = true })
	w.show()
	for range 20 {
		c := w.caller(meterAddr)
		e := w.router.Explain(c.key, 0, w.now)
		if last := e.Targets[0].Candidates[len(e.Targets[0].Candidates)-1]; last.ID == drains || last.Preference != preferOther {
			t.Fatalf("last candidate %+v, want the server of the other data centre", last)
		}
		best := e.Targets[0].Candidates[0]
		v := c.connect()
		chosen := w.router.servers[v.ServerID]
		bestOrder := float64(best.Flows+1) / float64(best.Slots)
		if order := float64(chosen.flows) / float64(chosen.Slots); v.Preference != best.Preference || order != bestOrder {
			t.Fatalf("flow went to %s (%v, %.2f a slot), the explanation named %s (%v, %.2f)",
				v.ServerID, v.Preference, order, best.ID, best.Preference, bestOrder)
		}
		after := w.router.Explain(c.key, v.Token, w.now)
		if after.Remembered == nil || after.Remembered.ID != v.ServerID || !after.Remembered.Open || after.Named == nil || after.Named.ID != v.ServerID {
			t.Fatalf("explanation of an open flow: %+v, want it at %s", after, v.ServerID)
		}
	}
}

// Guards against an operator's question that changes what is decided afterwards.
func TestQuestionsChangeNothing(t *testing.T) {
	run := func(ask bool) (chosen []string) {
		w := newWorld(t)
		for range 4 {
			w.server("meter", "a")
		}
		w.server("meter", "b", func(s *registry.Server) { s.ColdUntil = time.Hour })
		w.show()
		for i := range 40 {
			c := w.caller(meterAddr)
			if ask {
				w.router.Explain(c.key, uint32(i), w.now)
				w.router.Report(w.now)
			}
			chosen = append(chosen, c.connect().ServerID)
			w.wait(10 * time.Millisecond)
		}
		return chosen
	}
	quiet, asked := run(false), run(true)
	for i := range quiet {
		if quiet[i] != asked[i] {
			t.Fatalf("flow %d went to %s, and to %s after questions", i, quiet[i], asked[i])
		}
	}
}

// Guards against an explanation of a removed or unknown route that looks like one in force.
func TestExplanationOfRoutes(t *testing.T) {
	w := newWorld(t)
	w.server("meter", "a")
	w.show()
	c := w.caller(billAddr)
	if e := w.router.Explain(c.key, 0, w.now); !e.RouteKnown || e.RouteRemoved || len(e.Targets[0].Candidates) != 0 {
		t.Errorf("route without backend servers: %+v", e)
	}
	config := *w.view.Config
	config.Version, config.Routes = 2, config.Routes[:1]
	w.view.Config = &config
	w.show()
	if e := w.router.Explain(c.key, 0, w.now); !e.RouteKnown || !e.RouteRemoved || len(e.Targets) != 0 {
		t.Errorf("removed route: %+v", e)
	}
	c.key.Service = addrOfHost(99)
	if e := w.router.Explain(c.key, 12345, w.now); e.RouteKnown || e.Named != nil || e.Remembered != nil {
		t.Errorf("unknown route: %+v", e)
	}
}
