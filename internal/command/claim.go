package command

import (
	"encoding/json"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// claimOverhead is the memory in bytes of a claim without its variable parts:
// the struct, its map entry and its queue entries.
const claimOverhead = 640

// phase is the progress of a command that this host may run.
type phase uint8

const (
	phaseClaiming phase = iota + 1 // waiting for the other owner to store the claim
	phaseRunning                   // a Run outcome was returned
)

// claim is the record of one request of a caller. A command whose claim has
// another host as Origin is never run here.
type claim struct {
	key    ClaimKey
	owner  ClaimOwner
	bucket uint8
	digest uint64
	state  ClaimState
	reason Reason
	answer json.RawMessage
	size   int // memory in bytes

	idempotent bool // if set, the claim is not stored at the other owner

	flow          packet.Key
	callerWaiting bool // the caller waits for the answer of this host

	deadline time.Time
	expires  time.Time // end of the retention period
	syncedAt time.Time // when the claim was last exchanged with the other owner

	run *runState // nil unless this host may run the command and has not finished it
}

// runState is the state of a command that is pending at its origin.
type runState struct {
	phase         phase
	request       Request
	candidateSet  candidateSet
	attempt       int
	claimingSince time.Time
	attemptEnds   time.Time // when an idempotent command is tried on the next candidate
	claimPeer     string    // owner that was last asked to store the claim
	claimSentAt   time.Time
	claimInFlight bool // a command.claim call is in progress
	claimStored   bool // claimPeer has stored the claim
	peerComplete  bool // claimPeer has held every claim of the bucket for the retention period
	noEarlierRun  bool // no earlier run of the request can exist
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

// claimTable holds claims for the retention period. It never evicts a claim
// early, because a command without its claim could be run again. When the table
// is full, new requests are refused.
type claimTable struct {
	claims      map[ClaimKey]*claim
	expiryQueue []claimExpiry // in order of at; claims that are still retained are queued again
	unsettled   []*claim      // claims that were pending when last visited or inserted, in order of arrival
	bytes       int
	maxClaims   int
	maxBytes    int
	retention   time.Duration
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
	t.expiryQueue = append(t.expiryQueue, claimExpiry{c, c.expires})
	if c.state == Pending {
		t.unsettled = append(t.unsettled, c)
	}
}

// settle records the final state of a claim. An answer that would exceed
// maxBytes is dropped; repeated requests then get the answer "outcome unknown".
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

// touch restarts the retention period of a claim, so that the claim does not
// expire while its caller keeps repeating the request.
func (t *claimTable) touch(now time.Time, c *claim) { c.expires = now.Add(t.retention) }

func (t *claimTable) remove(c *claim) {
	if t.claims[c.key] == c {
		delete(t.claims, c.key)
		t.bytes -= c.size
	}
}

func (t *claimTable) expire(now time.Time) {
	n := 0
	for ; n < len(t.expiryQueue) && !t.expiryQueue[n].at.After(now); n++ {
		c := t.expiryQueue[n].claim
		switch {
		case t.claims[c.key] != c: // the claim was removed or replaced
		case c.state == Pending || c.expires.After(now):
			t.expiryQueue = append(t.expiryQueue, claimExpiry{c, laterOf(c.expires, now.Add(t.retention/8))})
		default:
			t.remove(c)
		}
	}
	t.expiryQueue = t.expiryQueue[n:]
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// visitPending calls visit for each pending claim and removes the claims that
// are no longer pending from t.unsettled.
func (t *claimTable) visitPending(visit func(*claim)) {
	unsettled := t.unsettled
	t.unsettled = nil
	kept := unsettled[:0]
	for _, c := range unsettled {
		if c.state == Pending && t.claims[c.key] == c {
			visit(c)
		}
		if c.state == Pending && t.claims[c.key] == c {
			kept = append(kept, c)
		}
	}
	clear(unsettled[len(kept):])
	t.unsettled = append(kept, t.unsettled...)
}
