package command

import (
	"encoding/json"
	"time"
)

// freeSearch is the number of candidates that are asked for a free slot before
// the retry budget limits the search. The second one shortens waiting most.
const freeSearch = 2

func (s *State) storeClaim(now time.Time, c *claim, to string) {
	c.run.claimTo, c.run.claimSent, c.run.claimWaiting = to, now, true
	c.run.stored, c.run.peerComplete = false, false
	s.emit(StoreClaim{To: to, Ref: s.ref(c), Message: ClaimRequest{c.record(now)}})
}

func (s *State) ref(c *claim) Ref { return Ref{c.key, c.owner.Nonce, c.run.attempt} }

// current returns the pending claim that a result belongs to.
func (s *State) current(ref Ref) *claim {
	c := s.table.claims[ref.Key]
	if c == nil || c.run == nil || c.owner.Nonce != ref.Nonce || c.owner.Origin != s.cfg.Self {
		countResultDropped(ReasonLate)
		return nil
	}
	return c
}

// ClaimResult handles the result of a StoreClaim call to host from.
func (s *State) ClaimResult(now time.Time, from string, ref Ref, reply ClaimReply, status CallStatus) []Outcome {
	s.begin(now)
	c := s.current(ref)
	if c == nil || c.run.claimTo != from {
		return nil
	}
	c.run.claimWaiting = false
	switch {
	case status != CallDone:
		countRetry(ReasonClaimNotStored)
	case reply.Known != nil:
		s.known(now, c, reply.Known)
	case reply.Refused == ReasonClaimsFull && c.run.phase == phaseClaiming:
		s.unknown(now, c, reply.Refused)
	case reply.Refused != "" || !reply.Stored:
		countRetry(reply.Refused)
	default:
		c.run.stored, c.run.peerComplete = true, reply.Complete
		if c.run.phase == phaseClaiming {
			s.start(now, c)
		}
	}
	return s.take()
}

// known handles a request that the other owner already has a claim for. Its
// run belongs to that claim, so this host does not run it.
func (s *State) known(now time.Time, c *claim, r *ClaimRecord) {
	if c.run.phase != phaseClaiming {
		return // this claim's run has started; the other owner's claim came later
	}
	if r.Digest != c.digest {
		// The content that was claimed first may still be repeated.
		s.table.remove(c)
		c.state = Unknown
		countRepeat(ReasonMismatch)
		s.emit(Answer{c.flow, ErrorResponse(c.key.ID, CodeMismatch, ReasonMismatch)})
		return
	}
	c.owner = r.ClaimOwner
	if r.State == Pending {
		countRepeat(ReasonPending)
		c.run = nil
		c.deadline = now.Add(s.remaining(r))
		return
	}
	countRepeat(ReasonReplayed)
	s.table.settle(now, c, r.State, r.Answer, r.Reason)
	s.emit(Answer{c.flow, s.answerFor(c)})
}

// allowed says whether a non-idempotent command may start now. The same
// conditions make sure that no other host will start it, so they also decide
// whether the caller may be told "not run". A host that no longer owns the
// bucket may finish a claim that a present owner has stored.
func (s *State) allowed(now time.Time, c *claim) (Reason, bool) {
	owners := s.owners(c.key.Service, c.bucket)
	storedAtOwner := c.run.stored && owners.has(c.run.claimTo)
	switch {
	case !s.conditions.Serving:
		return ReasonNotServing, false
	case !s.majority(c.key.Service):
		return ReasonNoMajority, false
	case !owners.has(s.cfg.Self) && !storedAtOwner:
		return ReasonNotOwner, false
	case owners.has(s.cfg.Self) && !s.secured(c, owners):
		return ReasonClaimNotStored, false
	case c.run.cleared:
		return "", true
	case !s.complete(now, c.key.Service, c.bucket) && !(storedAtOwner && c.run.peerComplete):
		return ReasonClaimsIncomplete, false
	}
	c.run.cleared = true
	return "", true
}

// secured reports whether the other owner, if there is one, holds the claim.
func (s *State) secured(c *claim, owners Owners) bool {
	other := owners.other(s.cfg.Self)
	return other == "" || c.run.stored && c.run.claimTo == other
}

// start runs a command that is claimed, or lets it wait until the majority is
// verified again.
func (s *State) start(now time.Time, c *claim) {
	if !c.idempotent {
		reason, ok := s.allowed(now, c)
		if reason == ReasonNoMajority && s.verifying(now, c.key.Service) {
			return
		}
		if !ok {
			s.unknown(now, c, reason)
			return
		}
	}
	s.nextRun(now, c, ReasonNoBackend)
}

// nextRun runs the command on the next candidate. The caller makes sure that
// no earlier run of a non-idempotent command can have started.
func (s *State) nextRun(now time.Time, c *claim, last Reason) {
	r := c.run
	remaining := c.deadline.Sub(now) - runMargin
	if remaining < minAttempt {
		s.notRun(now, c, ReasonDeadline)
		return
	}
	more := r.options.left() > 1
	candidate, wait, ok := r.options.next()
	if !ok {
		s.notRun(now, c, last)
		return
	}
	if c.idempotent && more {
		remaining = max(minAttempt, remaining/2)
	}
	r.attempt++
	r.phase = phaseRunning
	r.attemptEnds = now.Add(remaining + runMargin)
	s.emit(Run{Host: candidate.Host, Ref: s.ref(c), Message: RunRequest{
		ClaimKey: c.key, ClaimOwner: c.owner, Digest: c.digest, Target: c.flow.Destination(),
		Backend: candidate.Backend, Attempt: r.attempt, Idempotent: c.idempotent,
		Method: r.request.Method, Params: r.request.Params, DeadlineMS: milliseconds(remaining),
		Expires: s.expires(candidate.Host, now.Add(remaining)), Wait: wait,
	}})
}

// expires returns a time of this host on the clock of another one.
func (s *State) expires(host string, t time.Time) int64 {
	offset, ok := s.clocks[host]
	if !ok {
		return 0
	}
	return t.Add(offset).UnixMilli()
}

// RunResult handles the result of a Run call to host from.
func (s *State) RunResult(now time.Time, from string, ref Ref, reply RunReply, status CallStatus) []Outcome {
	s.begin(now)
	if status == CallDone && reply.Clock != 0 {
		if len(s.clocks) >= maxClocks {
			clear(s.clocks)
		}
		s.clocks[from] = time.UnixMilli(reply.Clock).Sub(now)
	}
	c := s.current(ref)
	if c == nil {
		return nil
	}
	if (c.run.attempt != ref.Attempt || c.run.phase != phaseRunning) && !(c.idempotent && reply.Outcome == RunAnswered) {
		countResultDropped(ReasonLate)
		return nil
	}
	s.runEnded(now, c, reply, status)
	return s.take()
}

func (s *State) runEnded(now time.Time, c *claim, reply RunReply, status CallStatus) {
	switch {
	case status == CallNotSent:
		s.retry(now, c, ReasonNotSent)
	case status == CallLost:
		s.lost(now, c, ReasonCallLost)
	case reply.Outcome == RunAnswered && len(reply.Answer) > s.cfg.MaxAnswer:
		s.unknown(now, c, ReasonAnswerTooLarge)
	case reply.Outcome == RunAnswered:
		s.answered(now, c, reply.Answer)
	case reply.Outcome == RunNotRun:
		c.run.options.refused(time.Duration(reply.WaitMS) * time.Millisecond)
		s.retry(now, c, reply.Reason)
	case reply.Outcome == RunMismatch:
		s.unknown(now, c, ReasonMismatch)
	case reply.Reason == ReasonAnswerTooLarge:
		s.unknown(now, c, reply.Reason)
	default:
		s.lost(now, c, reply.Reason)
	}
}

// lost handles a run that may have happened.
func (s *State) lost(now time.Time, c *claim, reason Reason) {
	if c.idempotent {
		s.retry(now, c, reason)
		return
	}
	s.unknown(now, c, reason)
}

// retry handles a run that surely did not happen, or one of an idempotent command.
func (s *State) retry(now time.Time, c *claim, reason Reason) {
	if !c.idempotent {
		why, ok := s.allowed(now, c)
		if why == ReasonClaimNotStored || why == ReasonNoMajority && s.verifying(now, c.key.Service) {
			// The other owner has changed and its reply decides, or the members
			// are verified again.
			c.run.phase, c.run.claimingSince = phaseClaiming, now
			return
		}
		if !ok {
			s.unknown(now, c, why)
			return
		}
	}
	options := &c.run.options
	if reason.moved() {
		options.stopped = false
		options.move(s.cfg.AdmittingHost)
	}
	free := reason.moved() || reason == ReasonNoSlot && c.run.attempt < freeSearch
	if !free && options.search() && !s.retries.take(now, 1) {
		countRetry(ReasonRetryBudget)
		options.stopped = true
		if options.left() == 0 {
			s.notRun(now, c, reason)
			return
		}
	}
	countRetry(reason)
	s.nextRun(now, c, reason)
}

func (s *State) answered(now time.Time, c *claim, answer json.RawMessage) {
	answers.Inc()
	s.finish(now, c, Answered, answer, "")
}

func (s *State) unknown(now time.Time, c *claim, reason Reason) {
	countUnknown(reason)
	s.finish(now, c, Unknown, nil, reason)
}

// notRun tells the caller that the command was not run, which the conditions of
// allowed have to permit. The claim is kept, so that a delayed duplicate of the
// request is not run either. An idempotent command starts without these
// conditions: the other side of a partition, or an earlier owner, may have run
// it, so its outcome is unknown.
func (s *State) notRun(now time.Time, c *claim, reason Reason) {
	if c.idempotent {
		s.unknown(now, c, reason)
		return
	}
	countNotRun(reason)
	s.finish(now, c, Answered, ErrorResponse(c.key.ID, CodeNotRun, reason), reason)
}

func (s *State) finish(now time.Time, c *claim, state ClaimState, answer json.RawMessage, reason Reason) {
	s.table.settle(now, c, state, answer, reason)
	if c.waiting {
		c.waiting = false
		s.emit(Answer{c.flow, s.told(c, answer)})
	}
	if !c.idempotent {
		s.tellOthers(now, c, "")
	}
}

// told returns the answer even when the table had no room to keep it.
func (s *State) told(c *claim, answer []byte) []byte {
	if len(answer) > 0 {
		return answer
	}
	return s.answerFor(c)
}

// Expire handles deadlines, repeats claim calls, removes old claims and
// continues transfers and the handover. It must be called several times per second.
func (s *State) Expire(now time.Time) []Outcome {
	s.begin(now)
	s.table.pending(func(c *claim) { s.expirePending(now, c) })
	s.table.expire(now)
	s.continueTransfers(now)
	s.continueHandOver(now)
	return s.take()
}

func (s *State) expirePending(now time.Time, c *claim) {
	if c.run == nil {
		if !now.Before(c.deadline) {
			s.expireForeign(now, c)
		}
		return
	}
	r := c.run
	owners := s.owners(c.key.Service, c.bucket)
	other := owners.other(s.cfg.Self)
	switch {
	case r.phase == phaseClaiming && (now.Sub(r.claimingSince) >= s.cfg.ClaimTimeout || !now.Before(c.deadline)):
		s.unknown(now, c, s.waitsFor(c, owners))
	case r.phase == phaseClaiming && s.secured(c, owners) && (r.stored || owners.has(s.cfg.Self)):
		s.start(now, c)
	case r.phase == phaseRunning && !now.Before(c.deadline):
		s.unknown(now, c, ReasonNoAnswer)
	case r.phase == phaseRunning && c.idempotent && !now.Before(r.attemptEnds):
		s.lost(now, c, ReasonNoAnswer)
	}
	s.repeatClaim(now, c, other)
}

// waitsFor returns what a command that has not started is waiting for.
func (s *State) waitsFor(c *claim, owners Owners) Reason {
	if s.secured(c, owners) && !s.majority(c.key.Service) {
		return ReasonNoMajority
	}
	return ReasonClaimNotStored
}

// expireForeign ends the wait for another host's run.
func (s *State) expireForeign(now time.Time, c *claim) {
	countUnknown(ReasonNoAnswer)
	s.table.settle(now, c, Unknown, nil, ReasonNoAnswer)
	if c.waiting {
		c.waiting = false
		s.emit(Answer{c.flow, s.answerFor(c)})
	}
}

// repeatClaim stores a pending claim at the current other owner.
func (s *State) repeatClaim(now time.Time, c *claim, other string) {
	r := c.run
	if r == nil || c.idempotent || other == "" || c.state != Pending {
		return
	}
	if r.claimTo != other || (!r.stored && !r.claimWaiting && now.Sub(r.claimSent) >= claimRetryAfter) {
		s.storeClaim(now, c, other)
	}
}
