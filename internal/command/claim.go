package command

import (
	"encoding/json"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// claimOverhead is the memory of a claim without its variable parts: the
// struct, its map entry and its place in the queues.
const claimOverhead = 640

// phase is the progress of a claim that this host may run.
type phase uint8

const (
	phaseClaiming phase = iota + 1 // waits for the other owner to store the claim
	phaseRunning                   // a run was asked for
)

// claim is one request of a caller. A claim whose Origin is another host is
// never run here.
type claim struct {
	key    ClaimKey
	owner  ClaimOwner
	bucket uint8
	digest uint64
	state  ClaimState
	reason Reason
	answer json.RawMessage
	size   int

	idempotent bool // the other owner does not hold the claim

	flow    packet.Key
	waiting bool // the caller waits at this host

	deadline time.Time
	expires  time.Time
	synced   time.Time // when the other owner was last told

	run *runState // nil unless this host may run it and has not finished
}

// runState is what is needed while a command is pending at its origin.
type runState struct {
	phase         phase
	request       Request
	options       options
	attempt       int
	claimingSince time.Time
	attemptEnds   time.Time
	claimTo       string // owner that was asked to store the claim
	claimSent     time.Time
	claimWaiting  bool // a claim call is in progress
	stored        bool // claimTo has stored the claim
	peerComplete  bool
	cleared       bool // surely no earlier run of the request exists
}

func (c *claim) record(now time.Time) ClaimRecord {
	r := ClaimRecord{
		ClaimKey: c.key, ClaimOwner: c.owner, Bucket: c.bucket, Digest: c.digest,
		State: c.state, Answer: c.answer, Reason: c.reason,
	}
	if c.state == Pending {
		r.RemainingMS = milliseconds(c.deadline.Sub(now))
	}
	return r
}

type claimExpiry struct {
	claim *claim
	at    time.Time
}

// claimTable holds claims for the retention period. It never removes a claim
// early, because a removed claim could be run again: when it is full, new
// requests are refused.
type claimTable struct {
	claims    map[ClaimKey]*claim
	queue     []claimExpiry // in order of at; entries of extended claims are requeued
	open      []*claim      // claims that were pending, in order of arrival
	bytes     int
	maxClaims int
	maxBytes  int
	retention time.Duration
}

func newClaimTable(cfg *Config) claimTable {
	return claimTable{
		claims: make(map[ClaimKey]*claim), maxClaims: cfg.MaxClaims,
		maxBytes: cfg.MaxClaimBytes, retention: cfg.Retention,
	}
}

func (t *claimTable) full() bool {
	return len(t.claims) >= t.maxClaims || t.bytes+claimOverhead > t.maxBytes
}

func (t *claimTable) insert(now time.Time, c *claim) {
	c.size = claimOverhead + len(c.key.Service) + 2*len(c.key.ID) + len(c.answer)
	if c.run != nil {
		c.size += len(c.run.request.Params) + len(c.run.request.Method)
	}
	t.bytes += c.size
	t.claims[c.key] = c
	c.expires = now.Add(t.retention)
	t.queue = append(t.queue, claimExpiry{c, c.expires})
	if c.state == Pending {
		t.open = append(t.open, c)
	}
}

// settle records how a claim ended. An answer that does not fit the table's
// bound is dropped; repeats are then told that the outcome is unknown.
func (t *claimTable) settle(now time.Time, c *claim, state ClaimState, answer json.RawMessage, reason Reason) {
	released := 0
	if c.run != nil {
		released = len(c.run.request.Params) + len(c.run.request.Method)
	}
	released += len(c.answer)
	c.state, c.reason, c.run = state, reason, nil
	c.answer = answer
	if t.bytes-released+len(answer) > t.maxBytes {
		c.answer = nil
	}
	delta := len(c.answer) - released
	c.size += delta
	t.bytes += delta
	t.touch(now, c)
}

// touch extends the retention, so that a caller that keeps repeating a request
// does not outlive its claim.
func (t *claimTable) touch(now time.Time, c *claim) { c.expires = now.Add(t.retention) }

func (t *claimTable) remove(c *claim) {
	if t.claims[c.key] == c {
		delete(t.claims, c.key)
		t.bytes -= c.size
	}
}

func (t *claimTable) expire(now time.Time) {
	n := 0
	for ; n < len(t.queue) && !t.queue[n].at.After(now); n++ {
		c := t.queue[n].claim
		switch {
		case t.claims[c.key] != c: // removed or replaced
		case c.state == Pending || c.expires.After(now):
			t.queue = append(t.queue, claimExpiry{c, laterOf(c.expires, now.Add(t.retention/8))})
		default:
			t.remove(c)
		}
	}
	t.queue = t.queue[n:]
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pending calls visit for each pending claim and forgets the others.
func (t *claimTable) pending(visit func(*claim)) {
	open := t.open
	t.open = nil
	kept := open[:0]
	for _, c := range open {
		if c.state == Pending && t.claims[c.key] == c {
			visit(c)
		}
		if c.state == Pending && t.claims[c.key] == c {
			kept = append(kept, c)
		}
	}
	clear(open[len(kept):])
	t.open = append(kept, t.open...)
}
