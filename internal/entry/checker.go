package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

const (
	// checkTimeout bounds a check.
	checkTimeout = 250 * time.Millisecond
	// referenceTimeout bounds the answer of the reference; a host whose link or processor delays it more judges nobody.
	referenceTimeout = 100 * time.Millisecond
	// checkRepeat is when a second connection is tried, in case the first one's packet was lost.
	checkRepeat = 100 * time.Millisecond
	// maxChecks bounds the checks that run at once.
	maxChecks = 32
)

// checkResult is what a check of a backend server found.
type checkResult struct {
	id      string
	outcome affinity.CheckOutcome
}

// checker finds out whether backend servers accept connections. It sends them nothing.
type checker struct {
	places  chan struct{}
	wake    func() // called when a result is there
	connect connectFunc

	mu      sync.Mutex
	results []checkResult
}

// connectFunc tries to open a connection.
type connectFunc func(ctx context.Context, addr netip.AddrPort) affinity.CheckOutcome

func newChecker(wake func()) *checker {
	return &checker{places: make(chan struct{}, maxChecks), wake: wake, connect: connect}
}

// start begins a check.
func (c *checker) start(order affinity.CheckRequest) {
	select {
	case c.places <- struct{}{}:
	default:
		c.add(checkResult{id: order.ServerID, outcome: affinity.Unchecked})
		return
	}
	go func() {
		outcome := c.connect.check(order)
		<-c.places
		c.add(checkResult{id: order.ServerID, outcome: outcome})
		c.wake()
	}()
}

func (c *checker) add(r checkResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// take returns the results since the last call.
func (c *checker) take() []checkResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	results := c.results
	c.results = nil
	return results
}

// check compares a backend server with the reference: only a host that reaches the reference at once can tell that
// the server does not answer.
func (connect connectFunc) check(order affinity.CheckRequest) affinity.CheckOutcome {
	reference := make(chan affinity.CheckOutcome, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), referenceTimeout)
		defer cancel()
		reference <- connect(ctx, order.Reference)
	}()
	outcome := connect.twice(order.Addr)
	if <-reference != affinity.Accepts && outcome == affinity.NoAnswer {
		return affinity.Unchecked
	}
	return outcome
}

// twice opens a connection, and another one if the first is not answered soon. The first answer counts.
func (connect connectFunc) twice(addr netip.AddrPort) affinity.CheckOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	outcomes := make(chan affinity.CheckOutcome, 2)
	go func() { outcomes <- connect(ctx, addr) }()
	select {
	case outcome := <-outcomes:
		return outcome
	case <-time.After(checkRepeat):
	}
	go func() { outcomes <- connect(ctx, addr) }()
	first := <-outcomes
	if first == affinity.Accepts || first == affinity.Refuses {
		return first
	}
	return min(first, <-outcomes)
}

func connect(ctx context.Context, addr netip.AddrPort) affinity.CheckOutcome {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", addr.String())
	switch {
	case err == nil:
		conn.Close()
		return affinity.Accepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return affinity.Refuses
	case ctx.Err() != nil:
		return affinity.NoAnswer
	}
	return affinity.Unchecked
}
