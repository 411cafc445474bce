package entry

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

// Guards against a connection that is taken for another outcome.
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

// Guards against a live backend server that is judged by one lost packet, or by the troubles of this host itself.
func TestCheck(t *testing.T) {
	server, reference := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	for _, test := range []struct {
		name      string
		server    []affinity.CheckOutcome // of each connection; silent ones end with the check
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
		})
	}
}

// Guards against results that wait for the next packet, and against checks without bound.
func TestCheckerWakesAndIsBounded(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	woken := make(chan struct{}, 10*maxChecks)
	c := newChecker(func() { woken <- struct{}{} })
	order := affinity.CheckRequest{ServerID: "s1", Addr: l.Addr().(*net.TCPAddr).AddrPort(), Reference: l.Addr().(*net.TCPAddr).AddrPort()}
	c.start(order)
	select {
	case <-woken:
	case <-time.After(5 * time.Second):
		t.Fatal("nobody was told")
	}
	if got := c.take(); len(got) != 1 || got[0].outcome != affinity.Accepts || got[0].id != "s1" {
		t.Fatalf("results %+v", got)
	}
	for range maxChecks {
		c.places <- struct{}{}
	}
	c.start(order)
	if got := c.take(); len(got) != 1 || got[0].outcome != affinity.Unchecked {
		t.Fatalf("results %+v, want one that was not checked", got)
	}
}
