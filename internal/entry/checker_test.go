package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

// Guards against an accepted or refused connection being reported as another outcome.
func TestConnect(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	if got := connect(t.Context(), addr); got != affinity.Accepts {
		t.Errorf("listening: %v", got)
	}
	l.Close()
	if got := connect(t.Context(), addr); got != affinity.Refuses {
		t.Errorf("nothing listens: %v", got)
	}
}

// Guards against a live backend server being reported as silent because of one lost packet or of a fault of this host's own
// network.
func TestCheck(t *testing.T) {
	server, reference := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	for _, test := range []struct {
		name      string
		server    []affinity.CheckOutcome // outcome of each connection; NoAnswer is returned when the check ends
		reference affinity.CheckOutcome
		want      affinity.CheckOutcome
	}{
		{"live", []affinity.CheckOutcome{affinity.Accepts}, affinity.Accepts, affinity.Accepts},
		{"first packet lost", []affinity.CheckOutcome{affinity.NoAnswer, affinity.Accepts}, affinity.Accepts, affinity.Accepts},
		{"silent", []affinity.CheckOutcome{affinity.NoAnswer, affinity.NoAnswer}, affinity.Accepts, affinity.NoAnswer},
		{"refuses", []affinity.CheckOutcome{affinity.Refuses}, affinity.Accepts, affinity.Refuses},
		{"host cut off", []affinity.CheckOutcome{affinity.NoAnswer, affinity.NoAnswer}, affinity.NoAnswer, affinity.Unchecked},
		{"own sockets used up", []affinity.CheckOutcome{affinity.Unchecked}, affinity.Unchecked, affinity.Unchecked},
	} {
		t.Run(test.name, func(t *testing.T) {
			var tries atomic.Int32
			fake := connectFunc(func(ctx context.Context, addr netip.AddrPort) affinity.CheckOutcome {
				outcome := test.reference
				if addr == server {
					outcome = test.server[min(int(tries.Add(1)), len(test.server))-1]
				}
				if outcome == affinity.NoAnswer {
					<-ctx.Done()
				}
				return outcome
			})
			if got := fake.check(affinity.CheckRequest{Addr: server, Reference: reference}); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
			tries.Store(0)
			if test.want == affinity.NoAnswer {
				test.want = affinity.Unchecked
			}
			if got := fake.check(affinity.CheckRequest{Addr: server}); got != test.want {
				t.Errorf("without a reference: %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a live backend server that is reported as silent by a host whose process gets the processor late: the time
// limit passes before it handles the connection, which was accepted in time (incident 29).
func TestCheckByALateHost(t *testing.T) {
	for _, resumesAfter := range []time.Duration{checkTimeout + 20*time.Millisecond, checkTimeout + 70*time.Millisecond, 2 * checkTimeout} {
		t.Run(resumesAfter.String(), func(t *testing.T) {
			p := newPausedProcess(resumesAfter)
			if got := connectFunc(p.connect).check(affinity.CheckRequest{Addr: p.server, Reference: p.reference}); got == affinity.NoAnswer {
				t.Errorf("%v by a process that did not run until %v after the begin of the check", got, resumesAfter)
			}
		})
	}
}

// pausedProcess simulates a process that stops when a check has begun and resumes some time later. All connections are accepted
// at once, but the process handles that only when it runs: first the connection to the reference server that is open when it
// resumes, then those to the server, then connections that are opened later.
type pausedProcess struct {
	server, reference netip.AddrPort
	resumed           chan struct{}
	references        atomic.Int32
	servers           sync.WaitGroup // the two connections to the server, until they are handled
}

func newPausedProcess(resumesAfter time.Duration) *pausedProcess {
	p := &pausedProcess{
		server: netip.MustParseAddrPort("10.0.0.1:80"), reference: netip.MustParseAddrPort("10.0.0.2:80"), resumed: make(chan struct{}),
	}
	p.servers.Add(2)
	time.AfterFunc(resumesAfter, func() { close(p.resumed) })
	return p
}

func (p *pausedProcess) connect(ctx context.Context, addr netip.AddrPort) affinity.CheckOutcome {
	if addr == p.server {
		defer p.servers.Done()
		return p.handledAfter(ctx, 20*time.Millisecond)
	}
	if p.references.Add(1) == 1 {
		return affinity.Accepts // handled before the process stopped
	}
	select {
	case <-p.resumed:
		p.servers.Wait()
		return affinity.Accepts
	default:
		return p.handledAfter(ctx, 0)
	}
}

// handledAfter returns when the process handles a connection that was accepted while it was stopped.
func (p *pausedProcess) handledAfter(ctx context.Context, delay time.Duration) affinity.CheckOutcome {
	select {
	case <-p.resumed:
		time.Sleep(delay)
		return affinity.Accepts
	case <-ctx.Done():
		return affinity.NoAnswer
	}
}

// Guards against results that are not handled before the next packet arrives because the traffic goroutine is not woken, and
// against an unlimited number of concurrent checks.
func TestCheckerWakesAndLimitsChecks(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	woken := make(chan struct{}, 10*maxChecks)
	c := newChecker(func() { woken <- struct{}{} })
	request := affinity.CheckRequest{ServerID: "s1", Instance: affinity.Instance{Identity: 1}, Addr: l.Addr().(*net.TCPAddr).AddrPort(), Reference: l.Addr().(*net.TCPAddr).AddrPort()}
	c.start(request)
	select {
	case <-woken:
	case <-time.After(5 * time.Second):
		t.Fatal("wake was not called")
	}
	if got := c.takeResults(); len(got) != 1 || got[0].outcome != affinity.Accepts || got[0].request != request {
		t.Fatalf("results %+v", got)
	}
	for range maxChecks {
		c.running <- struct{}{}
	}
	c.start(request)
	if got := c.takeResults(); len(got) != 1 || got[0].outcome != affinity.Unchecked {
		t.Fatalf("results %+v, want one with outcome Unchecked", got)
	}
}
