package command

import (
	"slices"
	"sort"
	"time"
)

const (
	// transferTimeout is the time after which a message without a result is sent
	// again.
	transferTimeout = 5 * time.Second
	// transferRetryAfter is the time after which a message that failed or was
	// refused is sent again. It is shorter than transferTimeout because a
	// receiver that refuses a message has usually just started.
	transferRetryAfter = 500 * time.Millisecond
	// transferOverhead is the size in bytes of a message and of a record, each
	// without its variable parts.
	transferOverhead = 200
	// maxTransferAnswer is the longest answer in bytes that is transferred.
	// Repeated requests with a longer answer get the answer "outcome unknown"
	// from the new owner.
	maxTransferAnswer = 1024
)

// transfer sends the claims of buckets to their new owner. One message is in
// flight at a time, so that a bucket is reported as done only after its claims
// have arrived.
type transfer struct {
	to, service string
	all         []uint8    // all buckets of the transfer, in the order of their claims
	buckets     []uint8    // the tail of all that is not yet reported as done
	generation  uint64     // generation of the receiver, 0 until its first reply
	claims      []ClaimKey // claims not yet sent of the loaded buckets
	loaded      int        // number of leading buckets whose claims are in claims or were sent
	sent        int        // number of leading claims in the message in flight
	done        int        // number of leading buckets reported as done in the message in flight
	seq         uint64     // sequence number of the message in flight
	inFlight    bool
	sentAt      time.Time
}

func (s *State) dropTransfers(drop func(*transfer) bool) {
	kept := s.transfers[:0]
	for _, t := range s.transfers {
		if !drop(t) {
			kept = append(kept, t)
		}
	}
	clear(s.transfers[len(kept):])
	s.transfers = kept
}

// planTransfers replaces the transfers of a service: those in progress are
// restarted for the buckets whose owners are still the same.
func (s *State) planTransfers(service string, so *serviceOwners, changed map[uint8]string) {
	for _, t := range s.transfers {
		if t.service != service {
			continue
		}
		for _, b := range t.all {
			if _, ok := changed[b]; !ok && so.owners[b].other(s.cfg.Self) == t.to {
				changed[b] = t.to
			}
		}
	}
	s.dropTransfers(func(t *transfer) bool { return t.service == service })
	byHost := make(map[string][]uint8)
	for b, to := range changed {
		byHost[to] = append(byHost[to], b)
	}
	for to, list := range byHost {
		sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
		s.transfers = append(s.transfers, &transfer{to: to, service: service, all: list, buckets: list})
	}
	sort.SliceStable(s.transfers, func(i, j int) bool {
		a, b := s.transfers[i], s.transfers[j]
		return a.service < b.service || a.service == b.service && a.to < b.to
	})
}

func (s *State) continueTransfers(now time.Time) {
	s.transferBudget.refill(now)
	for _, t := range s.transfers {
		if t.inFlight && now.Sub(t.sentAt) < transferTimeout {
			continue
		}
		if !s.conditions.Serving {
			return
		}
		s.loadClaims(now, t)
		// Wait for more budget: larger messages spend a smaller part of it on
		// their envelopes.
		wanted := float64(transferOverhead * (1 + len(t.claims)))
		if s.transferBudget.level < min(s.transferBudget.burst/2, wanted) {
			return
		}
		s.sendTransfer(now, t)
	}
}

// loadClaims collects the claims of the buckets unless it has done so already.
// The buckets that cover the longest time come first, so that few messages are
// needed to report buckets whose covered times differ.
func (s *State) loadClaims(now time.Time, t *transfer) {
	if t.loaded == len(t.buckets) {
		return
	}
	s.sortByCoverage(now, t.service, t.buckets)
	var place [buckets]int // position in t.buckets plus 1, 0 for other buckets
	for i, b := range t.buckets {
		place[b] = i + 1
	}
	t.loaded, t.claims = len(t.buckets), nil
	for _, c := range s.table.claims {
		if c.key.Service == t.service && place[c.bucket] > 0 {
			t.claims = append(t.claims, c.key)
		}
	}
	sort.Slice(t.claims, func(i, j int) bool {
		a, b := s.table.claims[t.claims[i]], s.table.claims[t.claims[j]]
		if a.bucket != b.bucket {
			return place[a.bucket] < place[b.bucket]
		}
		return a.owner.Nonce < b.owner.Nonce || a.owner.Nonce == b.owner.Nonce && a.key.ID < b.key.ID
	})
}

// sendTransfer sends as many claims as the budget allows and reports the buckets
// of which no claim is left after that.
func (s *State) sendTransfer(now time.Time, t *transfer) {
	m := TransferRequest{Service: t.service, Generation: t.generation}
	budget := s.transferBudget.level - transferOverhead
	t.sent = 0
	for _, key := range t.claims {
		c := s.table.claims[key]
		if c != nil && !c.idempotent {
			r := c.record(now)
			if len(r.Answer) > maxTransferAnswer {
				r.Answer, r.Reason = nil, ReasonAnswerTooLarge
			}
			size := recordBytes(&r)
			if budget < size && len(m.Claims) > 0 {
				break
			}
			budget -= size
			m.Claims = append(m.Claims, r)
		}
		t.sent++
	}
	if t.generation != 0 {
		m.Done, m.CoveredMS = s.doneBuckets(now, t)
	}
	t.done = len(m.Done)
	budget -= 2 * float64(t.done)
	s.transferBudget.level = budget // negative after a record larger than the budget
	t.inFlight, t.sentAt, t.seq = true, now, s.nextNonce()
	s.emit(Transfer{To: t.to, Seq: t.seq, Message: m})
}

// doneBuckets returns the next buckets that have no claim left after the message
// and cover about the same time, and that time in milliseconds.
func (s *State) doneBuckets(now time.Time, t *transfer) ([]uint8, int64) {
	rest := buckets // bucket of the next claim to send; initially no valid bucket
	for _, key := range t.claims[t.sent:] {
		if c := s.table.claims[key]; c != nil {
			rest = int(c.bucket)
			break
		}
	}
	n := slices.IndexFunc(t.buckets, func(b uint8) bool { return int(b) == rest })
	if n < 0 {
		n = len(t.buckets)
	}
	n, coverage := s.similarCoverage(now, t.service, t.buckets[:n])
	return slices.Clone(t.buckets[:n]), milliseconds(coverage)
}

func recordBytes(r *ClaimRecord) float64 {
	return float64(transferOverhead + len(r.Service) + len(r.ID) + len(r.Answer))
}

// TransferResult handles the result of the Transfer call seq.
func (s *State) TransferResult(now time.Time, seq uint64, reply TransferReply, status CallStatus) []Outcome {
	s.advance(now)
	for _, t := range s.transfers {
		if t.seq != seq || !t.inFlight {
			continue
		}
		if status != CallDone || reply.Refused != "" {
			countRetry(ReasonNotSent)
			t.sentAt = now.Add(transferRetryAfter - transferTimeout)
			return nil
		}
		t.inFlight = false
		if reply.Generation != t.generation {
			s.restart(t, reply.Generation)
			continue
		}
		t.claims = t.claims[t.sent:]
		t.buckets = t.buckets[t.done:]
		t.loaded = len(t.buckets)
		t.sent, t.done = 0, 0
	}
	before := len(s.transfers)
	s.dropTransfers(func(t *transfer) bool { return len(t.buckets) == 0 })
	if len(s.transfers) < before {
		s.queryCoverage(now)
	}
	return s.take()
}

// restart begins a transfer again for a new generation of the receiver. After
// the first reply, which only reports the generation, the claims of the first
// message count as sent.
func (s *State) restart(t *transfer, generation uint64) {
	first := t.generation == 0
	t.generation = generation
	if first {
		t.claims = t.claims[t.sent:]
	} else {
		t.buckets, t.loaded, t.claims = t.all, 0, nil
	}
	t.sent, t.done = 0, 0
}

// Transfer handles a TransferRequest of host from.
func (s *State) Transfer(now time.Time, from string, m TransferRequest) (TransferReply, []Outcome) {
	s.advance(now)
	so := s.services[m.Service]
	if so == nil || !s.conditions.Serving {
		return s.refuseTransfer(ReasonNotServing)
	}
	for i := range m.Claims {
		r := &m.Claims[i]
		if r.Service != m.Service || r.State < Pending || r.State > Unknown {
			return s.refuseTransfer(ReasonMalformed)
		}
		if so.owners[r.Bucket].other(s.cfg.Self) != from {
			return s.refuseTransfer(ReasonNotOwner)
		}
		if !s.merge(now, from, r) {
			return s.refuseTransfer(ReasonClaimsFull)
		}
	}
	if m.Generation != so.generation {
		return TransferReply{Generation: so.generation}, s.take()
	}
	coveredSince := now.Add(-time.Duration(min(m.CoveredMS, s.cfg.Retention.Milliseconds())) * time.Millisecond)
	for _, b := range m.Done {
		if so.owners[b].other(s.cfg.Self) != from {
			return s.refuseTransfer(ReasonNotOwner)
		}
		if so.coveredSince[b].IsZero() {
			// This host cannot cover the bucket yet because it has no majority.
			return s.refuseTransfer(ReasonNoMajority)
		}
		if coveredSince.Before(so.coveredSince[b]) {
			so.coveredSince[b] = coveredSince
		}
	}
	return TransferReply{Generation: so.generation}, s.take()
}

func (s *State) refuseTransfer(r Reason) (TransferReply, []Outcome) {
	countClaimRefused(r)
	return TransferReply{Refused: r}, s.take()
}
