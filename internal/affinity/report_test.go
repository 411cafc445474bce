package affinity

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Guards against a report that omits the reason why a backend server gets no new flows. Each reason is tested in turn.
func TestReportStatesWhyServerIsAvoided(t *testing.T) {
	for _, tt := range []struct {
		name   string
		avoid  func(h *harness, id string)
		want   string
		cause  string
		prefer Preference
	}{
		{"draining", func(h *harness, id string) { h.change(id, func(s *registry.Server) { s.Draining = true }) }, "draining", "", preferNone},
		{"lapsed", func(h *harness, id string) { h.change(id, func(s *registry.Server) { s.Lapsed = true }) }, "lapsed", "", preferLapsed},
		{"cold", func(h *harness, id string) {
			h.change(id, func(s *registry.Server) { s.ColdUntil = h.now + 2*time.Second })
		}, "cold", "", preferCold},
		{"data centre out", func(h *harness, _ string) { h.view.OutDataCentres["b"] = true; h.applyView() }, "data_centre_out", "", preferNone},
		{"unreachable", func(h *harness, _ string) {
			h.router.SetFleet(Fleet{Self: selfHost, Unreachable: map[string]bool{"b": true}})
		}, "data_centre_unreachable", "", preferSuspect},
		{"doubted", func(h *harness, id string) { h.router.servers[id].suspect(OpeningLate, h.now) }, "doubted", "opening_late", preferSuspect},
		{"silent", func(h *harness, id string) {
			h.silence(h.router.servers[id].instance(), ConnectionRefused)
		}, "doubted", "connection_refused", preferSuspect},
		{"doubted and unreachable", func(h *harness, id string) {
			h.router.servers[id].suspect(CallerRestarted, h.now)
			h.router.SetFleet(Fleet{Self: selfHost, Unreachable: map[string]bool{"b": true}})
		}, "doubted_and_unreachable", "caller_restarted", preferNone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.server("meter", "a")
			id := h.server("meter", "b")
			h.applyView()
			if report := h.router.Report(h.now); len(report.Avoided) != 0 || report.Routes != 2 || len(report.Places) != 2 {
				t.Fatalf("before: %+v, want two places and no avoided server", report)
			}
			tt.avoid(h, id)
			report := h.router.Report(h.now)
			if len(report.Avoided) != 1 || report.Places[1].Avoided != 1 || report.Places[1].Servers != 1 {
				t.Fatalf("report %+v, want one avoided server in the second place", report)
			}
			got := report.Avoided[0]
			if got.ID != id || got.Eligibility != tt.want || got.Cause != tt.cause || got.Preference != tt.prefer {
				t.Errorf("got %+v, want %s %s %v of %s", got, tt.want, tt.cause, tt.prefer, id)
			}
			if tt.cause != "" && (got.For <= 0 || got.SinceAnswer >= 0) {
				t.Errorf("suspect or silent for %v, answer %v ago; want a remaining time and no answer", got.For, got.SinceAnswer)
			}
		})
	}
}

// Guards against reports whose size grows with the fleet.
func TestReportIsBounded(t *testing.T) {
	h := newHarness(t)
	for range 3 * maxAvoided {
		h.server("meter", "b", func(s *registry.Server) { s.Draining = true })
	}
	h.server("meter", "a")
	h.server("meter", "a")
	for range 3 * maxCandidates {
		h.server("bill", "a")
	}
	h.applyView()
	h.router.SetFleet(Fleet{Self: selfHost, Flows: map[PlaceDigest]int{Place{"meter", "b"}.Digest(): 7}})
	report := h.router.Report(h.now)
	if len(report.Avoided) != maxAvoided || report.Places[2].Avoided != 3*maxAvoided || report.Places[2].OtherFlows != 7 {
		t.Errorf("%d servers listed, %d counted", len(report.Avoided), report.Places[2].Avoided)
	}
	e := h.router.Explain(h.caller(billAddr).key, 0, h.now)
	if len(e.Targets) != 1 || len(e.Targets[0].Candidates) != maxCandidates || e.Targets[0].Servers != 3*maxCandidates {
		t.Errorf("explanation %+v", e)
	}
}

// Guards against an explanation whose best candidate ranks differently from the backend server that a new flow then gets.
func TestExplanationMatchesChoice(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		h.server("meter", "a", func(s *registry.Server) { s.Slots = 1 + int(h.nextID)%3 })
	}
	h.server("meter", "b")
	draining := h.server("meter", "a", func(s *registry.Server) { s.Draining = true })
	h.applyView()
	for range 20 {
		c := h.caller(meterAddr)
		e := h.router.Explain(c.key, 0, h.now)
		if last := e.Targets[0].Candidates[len(e.Targets[0].Candidates)-1]; last.ID == draining || last.Preference != preferOther {
			t.Fatalf("last candidate %+v, want the server of the other data centre", last)
		}
		best := e.Targets[0].Candidates[0]
		v := c.connect()
		chosen := h.router.servers[v.ServerID]
		bestOrder := float64(best.Flows+1) / float64(best.Slots)
		if order := float64(chosen.flows) / float64(chosen.Slots); v.Preference != best.Preference || order != bestOrder {
			t.Fatalf("flow went to %s (%v, %.2f a slot), the explanation named %s (%v, %.2f)",
				v.ServerID, v.Preference, order, best.ID, best.Preference, bestOrder)
		}
		after := h.router.Explain(c.key, v.Token, h.now)
		if after.Remembered == nil || after.Remembered.ID != v.ServerID || !after.Remembered.Open || after.Named == nil || after.Named.ID != v.ServerID {
			t.Fatalf("explanation of an open flow: %+v, want it at %s", after, v.ServerID)
		}
	}
}

// Guards against operators' queries that change later decisions.
func TestReportAndExplainHaveNoSideEffects(t *testing.T) {
	run := func(ask bool) (chosen []string) {
		h := newHarness(t)
		for range 4 {
			h.server("meter", "a")
		}
		h.server("meter", "b", func(s *registry.Server) { s.ColdUntil = time.Hour })
		h.applyView()
		for i := range 40 {
			c := h.caller(meterAddr)
			if ask {
				h.router.Explain(c.key, uint32(i), h.now)
				h.router.Report(h.now)
			}
			chosen = append(chosen, c.connect().ServerID)
			h.advance(10 * time.Millisecond)
		}
		return chosen
	}
	quiet, asked := run(false), run(true)
	for i := range quiet {
		if quiet[i] != asked[i] {
			t.Fatalf("flow %d went to %s, and to %s after queries", i, quiet[i], asked[i])
		}
	}
}

// Guards against an explanation of a removed or unknown route that looks like one in force.
func TestExplanationOfRoutes(t *testing.T) {
	h := newHarness(t)
	h.server("meter", "a")
	h.applyView()
	c := h.caller(billAddr)
	if e := h.router.Explain(c.key, 0, h.now); !e.RouteKnown || e.RouteRemoved || len(e.Targets[0].Candidates) != 0 {
		t.Errorf("route without backend servers: %+v", e)
	}
	config := *h.view.Config
	config.Version, config.Routes = 2, config.Routes[:1]
	h.view.Config = &config
	h.applyView()
	if e := h.router.Explain(c.key, 0, h.now); !e.RouteKnown || !e.RouteRemoved || len(e.Targets) != 0 {
		t.Errorf("removed route: %+v", e)
	}
	c.key.Service = addrOfHost(99)
	if e := h.router.Explain(c.key, 12345, h.now); e.RouteKnown || e.Named != nil || e.Remembered != nil {
		t.Errorf("unknown route: %+v", e)
	}
}
