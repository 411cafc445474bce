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
	// checkTimeout is how long a check waits for the backend server.
	checkTimeout = 250 * time.Millisecond
	// finalReferenceChecks is the number of connections to the reference server, one after the other, that must be accepted after
	// checkTimeout. A process that has handled them has also handled what arrived before, even if it gets the processor late:
	// the first one may be handled together with the server's answer, the second one only after it.
	finalReferenceChecks = 2
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
	request affinity.CheckRequest
	outcome affinity.CheckOutcome
	took    time.Duration
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
		c.add(checkResult{request: request, outcome: affinity.Unchecked})
		return
	}
	go func() {
		began := time.Now()
		outcome := c.connect.check(request)
		took := time.Since(began)
		<-c.running
		c.add(checkResult{request: request, outcome: outcome, took: took})
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

// check checks a backend server. The outcome NoAnswer requires that a reference server accepts a connection within
// referenceTimeout at the beginning of the check and finalReferenceChecks after its time limit. Otherwise the fault may be this
// host's, and the outcome is Unchecked. An answer of the server that is only handled then is Accepts; that it came late is this
// host's fault, too.
func (connect connectFunc) check(request affinity.CheckRequest) affinity.CheckOutcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reference := make(chan affinity.CheckOutcome, 1)
	go func() { reference <- connect.connectPromptly(request.Reference) }()
	server := make(chan affinity.CheckOutcome, 2)
	connectServer := func() { server <- connect(ctx, request.Addr) }

	go connectServer()
	outcome := await(server, checkRetryDelay)
	if outcome == affinity.NoAnswer {
		go connectServer()
		outcome = await(server, checkTimeout-checkRetryDelay)
	}
	if outcome != affinity.NoAnswer {
		return outcome
	}
	if !request.Reference.IsValid() || <-reference != affinity.Accepts {
		return affinity.Unchecked
	}
	for range finalReferenceChecks {
		if connect.connectPromptly(request.Reference) != affinity.Accepts {
			return affinity.Unchecked
		}
	}
	return await(server, 0)
}

// connectPromptly tries to open a connection to a reference server within referenceTimeout.
func (connect connectFunc) connectPromptly(reference netip.AddrPort) affinity.CheckOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), referenceTimeout)
	defer cancel()
	return connect(ctx, reference)
}

// await returns the next outcome, or NoAnswer if there is none within a time.
func await(outcomes <-chan affinity.CheckOutcome, limit time.Duration) affinity.CheckOutcome {
	select {
	case outcome := <-outcomes:
		return outcome
	default:
	}
	select {
	case outcome := <-outcomes:
		return outcome
	case <-time.After(limit):
		return affinity.NoAnswer
	}
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
