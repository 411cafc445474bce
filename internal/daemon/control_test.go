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

// Guards against a host that goes on serving with an old view after a pause,
// or after others acted in its place.
func TestDistrustStopsServing(t *testing.T) {
	for name, outcome := range map[string]membership.Outcome{
		"paused":        membership.Paused{Gap: time.Minute},
		"declared dead": membership.DeclaredDead{},
	} {
		c := newBenchControl(t, 3, nil)
		now := c.d.started.Add(time.Second)
		c.sync.checking = true
		c.checked(now, "test")
		c.carryOut(now, []membership.Outcome{outcome})
		c.publish(now)
		if c.d.snapshot.Load().Serving {
			t.Errorf("%s: traffic is served before versions are compared", name)
		}
		c.checked(now, "test")
		c.publish(now)
		if !c.d.snapshot.Load().Serving {
			t.Errorf("%s: traffic is not served after the comparison", name)
		}
	}
}

// Guards against a graceful shutdown that ends before the answer of the last
// command has been sent, because only commands in progress were waited for.
func TestShutdownWaitsForAnswers(t *testing.T) {
	c := newBenchControl(t, 3, nil)
	quiet := c.d.settings.Shutdown.QuietFor.Std()
	now := c.d.started.Add(time.Second)
	c.leave(now)
	c.runCalls[1] = runCall{}
	now = now.Add(2 * quiet)
	if c.left(now) {
		t.Fatal("left with a command in progress")
	}
	delete(c.runCalls, 1)
	if c.left(now.Add(quiet / 2)) {
		t.Fatal("left while the answer of the last command may be on its way")
	}
	if !c.left(now.Add(quiet)) {
		t.Fatal("did not leave after the quiet time")
	}
}

// Guards against sizes of today that are read in shards, and against a plan
// that does not follow the documents.
func TestReadsFollowDocuments(t *testing.T) {
	documents := benchDocuments(101, 1)
	c := newBenchControl(t, 3, documents[:100])
	if c.d.plan.Load() != nil || !c.d.reader.Load() {
		t.Fatal("100 documents are not read as a whole")
	}
	c.offered(c.clock, "services/s0100", c.config.OfferParsed(c.clock, configsync.Platform, documents[100]))
	c.publish(c.clock)
	if plan := c.d.plan.Load(); plan == nil || len(plan.Watch) != len(plan.Shards) {
		t.Errorf("101 documents: plan %+v, want one in which the only host of a data centre watches every shard", plan)
	}
}

// Guards against a shutdown that waits without end for owners that do not
// answer, and against one that cuts off commands for that.
func TestHandOverIsBounded(t *testing.T) {
	c := newBenchControl(t, 3, nil)
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
		c.handOver(now)
		if c.leaving {
			t.Fatalf("left after %s, before the claims were handed over", now.Sub(stopped))
		}
	}
	c.handOver(now)
	if !c.leaving {
		t.Fatalf("did not leave after %s", now.Sub(stopped))
	}
	c.runCalls[1] = runCall{}
	if c.left(now.Add(s.Limits.CommandDeadline.Std())) {
		t.Fatal("left before the deadline of a command in progress")
	}
	if !c.left(stopped.Add(s.Shutdown.Limit.Std())) {
		t.Fatal("did not leave at the shutdown limit")
	}
}
