package demo

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/daemon"
	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// countHosts returns the number of entry hosts that a daemon reports in a state, -1
// on error.
func countHosts(ctx context.Context, d *daemon.Daemon, state string) int {
	st, err := d.Status(ctx)
	if err != nil {
		return -1
	}
	n := 0
	for _, h := range st.Hosts {
		if h.State == state {
			n++
		}
	}
	return n
}

// TestPartitionRunsNoCommandTwice guards against a command that runs on both sides
// of a partition, since callers repeat their requests and the fabric sends them to
// both sides. It also guards against a document that one side read during the
// partition and that does not reach the other side after the partition heals.
func TestPartitionRunsNoCommandTwice(t *testing.T) {
	f, l := newTestFleet(t, testNetwork(1))
	l.rnd = rand.New(rand.NewPCG(1, 1))
	s := f.Deployment.Services[0]
	const isolated = "substation-c"
	f.Partition.SetZone(f.addr(0, 1, 8500).Addr(), "substation-a")
	for _, dc := range s.DataCentres {
		for _, b := range dc.BackendServers {
			f.Partition.SetZone(b.Address, dc.Name)
		}
	}
	waitFor(t, func(ctx context.Context) error {
		r := standin.CommandResult{}
		for ctx.Err() == nil && r.Outcome != standin.CommandAnswered {
			l.startCommand(ctx, s)
			l.wg.Wait()
			time.Sleep(commandTime)
			r = l.commands[len(l.commands)-1]
		}
		return ctx.Err()
	})
	ctx, cancel := context.WithCancel(t.Context())
	l.wg.Go(func() { l.every(ctx, 50, func(int) { l.startCommand(t.Context(), s) }) })

	f.Partition.Isolate(isolated, true)
	waitFor(t, func(ctx context.Context) error {
		return f.wait(ctx, func(ctx context.Context, d *daemon.Daemon) bool { return countHosts(ctx, d, "dead") >= 2 })
	})
	s.Version++
	if err := f.PublishService(s); err != nil {
		t.Fatal(err)
	}
	// Claims from before the partition expire during this time.
	time.Sleep(2 * claimRetention)
	f.Partition.Isolate(isolated, false)
	waitFor(t, func(ctx context.Context) error { return f.WaitVersion(ctx, s.Name, s.Version) })
	waitFor(t, func(ctx context.Context) error {
		return f.wait(ctx, func(ctx context.Context, d *daemon.Daemon) bool { return countHosts(ctx, d, "dead") == 0 })
	})
	cancel()
	l.wg.Wait()
	l.openFlows(t, s, 20)
	checkCommands(t, f, l)
}

// checkCommands compares the answers that callers received with the commands that
// backend servers ran.
func checkCommands(t *testing.T, f *Fleet, l *load) {
	t.Helper()
	r := &run{fleet: f, load: l}
	r.evaluateCommands(f.Backends())
	t.Logf("%d commands: %v", r.report.Commands, r.report.CommandsByOutcome)
	if r.report.CommandsRunTwice > 0 || r.report.FalseNotRun > 0 || r.report.WrongAnswers > 0 {
		t.Errorf("%d run twice, %d false \"not run\", %d wrong answers", r.report.CommandsRunTwice, r.report.FalseNotRun, r.report.WrongAnswers)
	}
	if r.report.CommandsByOutcome[string(standin.CommandAnswered)] == 0 {
		t.Error("no command was answered")
	}
}
