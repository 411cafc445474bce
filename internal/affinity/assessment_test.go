package affinity

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Guards against findings that are told again and again and keep a live backend server out of use: the state lasts from the
// latest evidence, however often it is put in force.
func TestAssessmentHeals(t *testing.T) {
	h := newHarness(t)
	id := h.server("meter", "a")
	h.server("meter", "a")
	h.applyView()
	s := h.router.servers[id]
	a := Assessment{Health: Silent, Cause: ConnectionUnanswered, Since: h.now, Latest: h.now, OwnEvidence: true}
	for changes := 0; h.now < a.Latest+2*time.Second; changes++ {
		if changed := h.router.SetHealth(s.instance(), a, h.now); changed != (changes == 0) {
			t.Fatalf("application %d of the same assessment changed the state: %v", changes, changed)
		}
		h.advance(100 * time.Millisecond)
	}
	h.advance(a.Latest + silentPeriod - h.now)
	if s.suspectOrSilent(h.now) {
		t.Errorf("still avoided %v after the evidence", h.now-a.Latest)
	}
	if n := len(h.router.TakeHealthChanges()); n != 1 {
		t.Errorf("%d changes reported, want 1", n)
	}
}

// Guards against other hosts' findings that take most of a service out of use, as those of hosts behind a bad link could,
// against outdated ones, and against ones about an earlier start of the backend server.
func TestFindingsOfOthersAreBounded(t *testing.T) {
	h := newHarness(t)
	var ids []string
	for range 10 {
		ids = append(ids, h.server("meter", "a", func(s *registry.Server) { s.StartedMs = 5 }))
	}
	h.applyView()
	h.advance(time.Second)
	assess := func(id string, change func(*Assessment, *Instance)) bool {
		a := Assessment{Health: Silent, Cause: ConnectionUnanswered, Since: h.now, Latest: h.now}
		i := h.router.servers[id].instance()
		change(&a, &i)
		return h.router.SetHealth(i, a, h.now)
	}
	if assess(ids[0], func(_ *Assessment, i *Instance) { i.StartedMs-- }) {
		t.Error("a finding about an earlier start was put in force")
	}
	if assess(ids[0], func(a *Assessment, _ *Instance) { a.Latest -= silentPeriod }) {
		t.Error("an outdated finding was put in force")
	}
	avoided := 0
	for _, id := range ids {
		if assess(id, func(*Assessment, *Instance) {}) {
			avoided++
		}
	}
	if limit := len(ids) / maxAvoidedDivisor; avoided != limit {
		t.Errorf("%d of %d servers are avoided by the findings of others, want %d", avoided, len(ids), limit)
	}
	if !assess(ids[len(ids)-1], func(a *Assessment, _ *Instance) { a.OwnEvidence = true }) {
		t.Error("this host's own evidence is ignored because of others' findings")
	}
	answering := h.caller(meterAddr)
	id := answering.connect().ServerID
	if assess(id, func(a *Assessment, _ *Instance) { a.Since, a.OwnEvidence = h.now-time.Millisecond, true }) {
		t.Error("a finding outweighs a later answer")
	}
}
