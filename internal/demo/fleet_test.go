package demo

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/nutmeglatch/nutmeglatch/examples"
	"github.com/nutmeglatch/nutmeglatch/internal/daemon"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// waitLimit ends a test that hangs.
const waitLimit = 30 * time.Second

// testNetwork returns a loopback network for the n-th fleet of this process. It
// depends on the process ID, so that concurrent test processes do not conflict.
func testNetwork(n int) byte { return byte(100 + (os.Getpid()+n)%150) }

func newTestFleet(t *testing.T, network byte) (*Fleet, *load) {
	t.Helper()
	d, err := LoadDeployment(examples.FS, examples.Names[0], network)
	if err != nil {
		t.Fatal(err)
	}
	f, err := NewFleet(d, network, 1, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	waitFor(t, f.WaitServing)
	c, err := standin.NewCaller(f.addr(0, 3, 6080).String(), f.Fabric.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return f, &load{callers: []*standin.Caller{c}}
}

func waitFor(t *testing.T, condition func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	if err := condition(ctx); err != nil {
		t.Fatal(err)
	}
}

// openFlows opens n short flows in sequence and fails the test if one is not
// served.
func (l *load) openFlows(t *testing.T, s *document.Service, n int) {
	t.Helper()
	for range n {
		r := l.callers[0].RunFlow(t.Context(), standin.FlowConfig{
			Source: l.source(), Destination: s.FlowAddr(), Proto: packet.ProtoTCP,
			Interval: time.Millisecond, Duration: time.Millisecond, Timeout: waitLimit,
		})
		if r.Cause != standin.CauseNone {
			t.Fatalf("flow from %s: %s", r.Config.Source, r.Cause)
		}
	}
}

// TestNewFlowsOpenAfterOwnersMoved guards against budgets that stay charged when
// their buckets move to another owner. After a few moves, every new flow was
// refused with no_capacity.
func TestNewFlowsOpenAfterOwnersMoved(t *testing.T) {
	f, l := newTestFleet(t, testNetwork(0))
	s := f.Deployment.Services[0]
	// Buckets have budgets only after the cold start of the load reports.
	waitFor(t, func(ctx context.Context) error {
		return f.wait(ctx, func(ctx context.Context, d *daemon.Daemon) bool { return freeFlows(ctx, d, s.Name) > 300 })
	})
	for range 3 {
		for _, out := range [][]string{{"substation-a"}, nil} {
			if err := f.PublishDataCentres(out...); err != nil {
				t.Fatal(err)
			}
			version := f.Deployment.DataCentres.Version
			waitFor(t, func(ctx context.Context) error {
				return f.wait(ctx, func(ctx context.Context, d *daemon.Daemon) bool {
					st, err := d.Status(ctx)
					return err == nil && st.DataCentres.Version == version
				})
			})
			l.openFlows(t, s, 20)
		}
	}
	waitFor(t, func(ctx context.Context) error {
		return f.wait(ctx, func(ctx context.Context, d *daemon.Daemon) bool { return freeFlows(ctx, d, s.Name) > 300 })
	})
}

// freeFlows returns the number of new flows that a host may admit to all backend
// servers of a service.
func freeFlows(ctx context.Context, d *daemon.Daemon, service string) int {
	st, err := d.Status(ctx)
	if err != nil {
		return 0
	}
	n := 0
	for _, s := range st.Services {
		if s.Name == service {
			for _, b := range s.Backends {
				n += b.NewFlows
			}
		}
	}
	return n
}
