package demo

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/daemon"
	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// hostsSeen counts the entry hosts that a daemon sees in a state.
func hostsSeen(ctx context.Context, d *daemon.Daemon, state string) int {
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

// Guards against two sides of a partition that both run a command: callers
// repeat their requests and the fabric hands them to both sides. After the
// partition heals, the document that only one side has read is in force
// everywhere.
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
		return f.wait(ctx, func(ctx context.Context, d *daemon.Daemon) bool { return hostsSeen(ctx, d, "dead") >= 2 })
	})
	s.Version++
	if err := f.PublishService(s); err != nil {
		t.Fatal(err)
	}
	// Long enough for the claims of before the cut to be forgotten.
	time.Sleep(2 * claimRetention)
	f.Partition.Isolate(isolated, false)
	waitFor(t, func(ctx context.Context) error { return f.WaitVersion(ctx, s.Name, s.Version) })
	waitFor(t, func(ctx context.Context) error {
		return f.wait(ctx, func(ctx context.Context, d *daemon.Daemon) bool { return hostsSeen(ctx, d, "dead") == 0 })
	})
	cancel()
	l.wg.Wait()
	l.openFlows(t, s, 20)
	checkCommands(t, f, l)
}

// checkCommands compares what callers were told with what backend servers ran.
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
