package entry

import (
	"net"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

// Guards against a check that takes a lost backend server for a live one, or waits without end.
func TestCheckServer(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	if got := checkServer(addr); got != affinity.Accepts {
		t.Errorf("listening: %v", got)
	}
	l.Close()
	if got := checkServer(addr); got != affinity.Refuses {
		t.Errorf("nothing listens: %v", got)
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
	order := affinity.CheckOrder{ServerID: "s1", Addr: l.Addr().(*net.TCPAddr).AddrPort()}
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
