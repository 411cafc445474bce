package daemon

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/configsync"
	"github.com/nutmeglatch/nutmeglatch/internal/membership"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
)

// Guards against a host that continues to serve with outdated documents and
// members after a pause, or after other hosts took over its buckets.
func TestServingStopsUntilVersionsAreCompared(t *testing.T) {
	for name, outcome := range map[string]membership.Outcome{
		"paused":        membership.Paused{Gap: time.Minute},
		"declared dead": membership.DeclaredDead{},
	} {
		c := newTestControl(t, 3, nil)
		now := c.d.started.Add(time.Second)
		c.sync.checking = true
		c.finishCheck(now, "test")
		c.performMembership(now, []membership.Outcome{outcome})
		c.publish(now)
		if c.d.snapshot.Load().Serving {
			t.Errorf("%s: traffic is served before versions are compared", name)
		}
		c.finishCheck(now, "test")
		c.publish(now)
		if !c.d.snapshot.Load().Serving {
			t.Errorf("%s: traffic is not served after the comparison", name)
		}
	}
}

// Guards against a graceful shutdown that ends before the answer of the last
// command has been sent, because the shutdown waited for commands in progress only.
func TestShutdownWaitsForAnswers(t *testing.T) {
	c := newTestControl(t, 3, nil)
	quiet := c.d.settings.Shutdown.QuietFor.Std()
	now := c.d.started.Add(time.Second)
	c.leave(now)
	c.runCalls[1] = runCall{}
	now = now.Add(2 * quiet)
	if c.shutdownComplete(now) {
		t.Fatal("left with a command in progress")
	}
	delete(c.runCalls, 1)
	if c.shutdownComplete(now.Add(quiet / 2)) {
		t.Fatal("left while the answer of the last command may be on its way")
	}
	if !c.shutdownComplete(now.Add(quiet)) {
		t.Fatal("did not leave after the quiet time")
	}
}

// Guards against a fleet of at most 100 documents that reads them in shards, and
// against a plan of reads that is not updated when documents are added.
func TestReadsFollowDocuments(t *testing.T) {
	documents := testDocuments(101, 1)
	c := newTestControl(t, 3, documents[:100])
	if c.d.plan.Load() != nil || !c.d.isReader.Load() {
		t.Fatal("100 documents are not read as a whole")
	}
	c.handleOfferResult(c.clock, "services/s0100", c.config.OfferParsed(c.clock, configsync.Platform, documents[100]))
	c.publish(c.clock)
	if plan := c.d.plan.Load(); plan == nil || len(plan.Watch) != len(plan.Shards) {
		t.Errorf("101 documents: plan %+v, want one in which the only host of a data centre watches every shard", plan)
	}
}

// Guards against a shutdown that waits forever for owners that do not answer,
// and against one that leaves too early and interrupts commands.
func TestHandoverIsBounded(t *testing.T) {
	c := newTestControl(t, 3, nil)
	s := c.d.settings
	now := c.d.started.Add(100 * time.Millisecond)
	var owners [route.Buckets]command.Owners
	for b := range owners {
		owners[b] = command.Owners{Primary: s.HostID, Secondary: "does-not-answer"}
	}
	c.commands.SetConditions(now, command.Conditions{Majority: true, Serving: true})
	c.commands.SetOwners(now, "service", &owners)
	now = now.Add(100 * time.Millisecond)
	c.stop(now)
	bound := s.Shutdown.Limit.Std() - s.Limits.CommandDeadline.Std() - settings.ShutdownMargin
	stopped := now
	for ; now.Sub(stopped) < bound; now = now.Add(500 * time.Millisecond) {
		c.commands.Expire(now)
		c.checkHandover(now)
		if c.leaving {
			t.Fatalf("left after %s, before the claims were handed over", now.Sub(stopped))
		}
	}
	c.checkHandover(now)
	if !c.leaving {
		t.Fatalf("did not leave after %s", now.Sub(stopped))
	}
	c.runCalls[1] = runCall{}
	if c.shutdownComplete(now.Add(s.Limits.CommandDeadline.Std())) {
		t.Fatal("left before the deadline of a command in progress")
	}
	if !c.shutdownComplete(stopped.Add(s.Shutdown.Limit.Std())) {
		t.Fatal("did not leave at the shutdown limit")
	}
}
