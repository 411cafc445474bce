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
	// checkTimeout limits the duration of a check.
	checkTimeout = 250 * time.Millisecond
	// referenceTimeout limits the time to connect to the reference server. If it takes longer, this host's own link or
	// processor may cause the delay, and a server that does not answer is reported as Unchecked.
	referenceTimeout = 100 * time.Millisecond
	// checkRetryDelay is the time after which a second connection is tried, in case a packet of the first one was lost.
	checkRetryDelay = 100 * time.Millisecond
	// maxChecks is the maximum number of concurrent checks.
	maxChecks = 32
)

// checkResult is the result of the check of a backend server.
type checkResult struct {
	instance affinity.Instance
	outcome  affinity.CheckOutcome
	took     time.Duration
}

// checker checks whether backend servers accept connections. It sends no data on them.
type checker struct {
	running chan struct{} // holds an element for each running check
	wake    func()        // called when the result of a check is available
	connect connectFunc

	mu      sync.Mutex
	results []checkResult
}

// connectFunc tries to open a TCP connection and returns the outcome.
type connectFunc func(ctx context.Context, addr netip.AddrPort) affinity.CheckOutcome

func newChecker(wake func()) *checker {
	return &checker{running: make(chan struct{}, maxChecks), wake: wake, connect: connect}
}

// start starts a check. If maxChecks are running, the result is Unchecked.
func (c *checker) start(request affinity.CheckRequest) {
	select {
	case c.running <- struct{}{}:
	default:
		c.add(checkResult{instance: request.Instance, outcome: affinity.Unchecked})
		return
	}
	go func() {
		began := time.Now()
		outcome := c.connect.check(request)
		took := time.Since(began)
		<-c.running
		c.add(checkResult{instance: request.Instance, outcome: outcome, took: took})
		c.wake()
	}()
}

func (c *checker) add(r checkResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// takeResults returns the results since the last call.
func (c *checker) takeResults() []checkResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	results := c.results
	c.results = nil
	return results
}

// check checks a backend server and the reference server, if there is one, at the same time. The outcome NoAnswer requires that
// the reference accepted a connection within referenceTimeout; otherwise the fault may be this host's, and the outcome is Unchecked.
func (connect connectFunc) check(request affinity.CheckRequest) affinity.CheckOutcome {
	reference := make(chan affinity.CheckOutcome, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), referenceTimeout)
		defer cancel()
		reference <- connect(ctx, request.Reference)
	}()
	outcome := connect.connectWithRetry(request.Addr)
	if !request.Reference.IsValid() && outcome == affinity.NoAnswer {
		return affinity.Unchecked
	}
	if <-reference != affinity.Accepts && outcome == affinity.NoAnswer {
		return affinity.Unchecked
	}
	return outcome
}

// connectWithRetry opens a connection, and a second one if the first is not answered within checkRetryDelay. It returns the
// first outcome that is Accepts or Refuses, otherwise the lower of the two outcomes.
func (connect connectFunc) connectWithRetry(addr netip.AddrPort) affinity.CheckOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	outcomes := make(chan affinity.CheckOutcome, 2)
	go func() { outcomes <- connect(ctx, addr) }()
	select {
	case outcome := <-outcomes:
		return outcome
	case <-time.After(checkRetryDelay):
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
