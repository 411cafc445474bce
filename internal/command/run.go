package command

import (
	"encoding/json"
	"time"
)

// budgetFreeAttempts is the number of candidates that are asked for a free slot
// without use of the retry budget. Asking a second candidate shortens the wait
// most.
const budgetFreeAttempts = 2

// storeClaim sends the claim to the other owner, whose host id is to.
func (s *State) storeClaim(now time.Time, c *claim, to string) {
	c.run.claimPeer, c.run.claimSentAt, c.run.claimInFlight = to, now, true
	c.run.claimStored, c.run.peerComplete = false, false
	s.emit(StoreClaim{To: to, Ref: s.ref(c), Message: ClaimRequest{c.record(now)}})
}

func (s *State) ref(c *claim) Ref { return Ref{c.key, c.owner.Nonce, c.run.attempt} }

// pendingClaim returns the claim that a call result belongs to, nil if this host
// no longer runs its command.
func (s *State) pendingClaim(ref Ref) *claim {
	c := s.table.claims[ref.Key]
	if c == nil || c.run == nil || c.owner.Nonce != ref.Nonce || c.owner.Origin != s.cfg.Self {
		countResultDropped(ReasonLate)
		return nil
	}
	return c
}

// ClaimResult handles the result of a StoreClaim call to host from.
func (s *State) ClaimResult(now time.Time, from string, ref Ref, reply ClaimReply, status CallStatus) []Outcome {
	s.advance(now)
	c := s.pendingClaim(ref)
	if c == nil || c.run.claimPeer != from {
		return nil
	}
	c.run.claimInFlight = false
	switch {
	case status != CallDone:
		countRetry(ReasonClaimNotStored)
	case reply.Known != nil:
		s.handleKnown(now, c, reply.Known)
	case reply.Refused == ReasonClaimsFull && c.run.phase == phaseClaiming:
		s.finishUnknown(now, c, reply.Refused)
	case reply.Refused != "" || !reply.Stored:
		countRetry(reply.Refused)
	default:
		c.run.claimStored, c.run.peerComplete = true, reply.Complete
		if c.run.phase == phaseClaiming {
			s.start(now, c)
		}
	}
	return s.take()
}

// handleKnown handles a request for which the other owner already holds claim r.
// The command is run under that claim, so this host does not run it.
func (s *State) handleKnown(now time.Time, c *claim, r *ClaimRecord) {
	if c.run.phase != phaseClaiming {
		return // the run of c has started; the other owner's claim was made later
	}
	if r.Digest != c.digest {
		// Remove c, so that a repeat of the request that was claimed first is
		// still answered.
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
		c.deadline = now.Add(s.remoteWait(r))
		return
	}
	countRepeat(ReasonReplayed)
	s.table.settle(now, c, r.State, r.Answer, r.Reason)
	s.emit(Answer{c.flow, s.storedAnswer(c)})
}

// startAllowed reports whether a non-idempotent command may start now. The same
// conditions ensure that no other host will start it, so they also decide
// whether the answer "not run" may be given. A host that no longer owns the
// bucket may still run a command whose claim a present owner has stored.
func (s *State) startAllowed(now time.Time, c *claim) (Reason, bool) {
	owners := s.owners(c.key.Service, c.bucket)
	storedAtOwner := c.run.claimStored && owners.has(c.run.claimPeer)
	switch {
	case !s.conditions.Serving:
		return ReasonNotServing, false
	case !s.majority(c.key.Service):
		return ReasonNoMajority, false
	case !owners.has(s.cfg.Self) && !storedAtOwner:
		return ReasonNotOwner, false
	case owners.has(s.cfg.Self) && !s.replicated(c, owners):
		return ReasonClaimNotStored, false
	case c.run.noEarlierRun:
		return "", true
	case !s.complete(now, c.key.Service, c.bucket) && !(storedAtOwner && c.run.peerComplete):
		return ReasonClaimsIncomplete, false
	}
	c.run.noEarlierRun = true
	return "", true
}

// replicated reports whether the other owner, if there is one, has stored the
// claim.
func (s *State) replicated(c *claim, owners Owners) bool {
	other := owners.other(s.cfg.Self)
	return other == "" || c.run.claimStored && c.run.claimPeer == other
}

// start runs a command whose claim is stored. If the majority is being verified
// again, the command stays in phaseClaiming.
func (s *State) start(now time.Time, c *claim) {
	if !c.idempotent {
		reason, ok := s.startAllowed(now, c)
		if reason == ReasonNoMajority && s.inMajorityGrace(now, c.key.Service) {
			return
		}
		if !ok {
			s.finishUnknown(now, c, reason)
			return
		}
	}
	s.runNext(now, c, ReasonNoBackend)
}

// runNext runs the command on the next candidate. The caller ensures that no
// earlier run of a non-idempotent command can have started. last is the reason
// that is reported if no candidate is left. An attempt of an idempotent command
// gets half of the remaining time, but at least minAttempt, while another candidate
// is left.
func (s *State) runNext(now time.Time, c *claim, last Reason) {
	r := c.run
	remaining := c.deadline.Sub(now) - runMargin
	if remaining < minAttempt {
		s.finishNotRun(now, c, ReasonDeadline)
		return
	}
	more := r.candidateSet.attemptsLeft() > 1
	candidate, wait, ok := r.candidateSet.next()
	if !ok {
		s.finishNotRun(now, c, last)
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
		Expires: s.hostClockMS(candidate.Host, now.Add(remaining)), Wait: wait,
	}})
}

// hostClockMS converts a time of this host to the clock of another host, in Unix
// milliseconds. It returns 0 if the offset of that clock is not known.
func (s *State) hostClockMS(host string, t time.Time) int64 {
	offset, ok := s.clockOffsets[host]
	if !ok {
		return 0
	}
	return t.Add(offset).UnixMilli()
}

// RunResult handles the result of a Run call to host from.
func (s *State) RunResult(now time.Time, from string, ref Ref, reply RunReply, status CallStatus) []Outcome {
	s.advance(now)
	if status == CallDone && reply.Clock != 0 {
		if len(s.clockOffsets) >= maxClocks {
			clear(s.clockOffsets)
		}
		s.clockOffsets[from] = time.UnixMilli(reply.Clock).Sub(now)
	}
	c := s.pendingClaim(ref)
	if c == nil {
		return nil
	}
	if (c.run.attempt != ref.Attempt || c.run.phase != phaseRunning) && !(c.idempotent && reply.Outcome == RunAnswered) {
		countResultDropped(ReasonLate)
		return nil
	}
	s.handleRunEnd(now, c, reply, status)
	return s.take()
}

func (s *State) handleRunEnd(now time.Time, c *claim, reply RunReply, status CallStatus) {
	switch {
	case status == CallNotSent:
		s.retry(now, c, ReasonNotSent)
	case status == CallLost:
		s.handleUncertain(now, c, ReasonCallLost)
	case reply.Outcome == RunAnswered && len(reply.Answer) > s.cfg.MaxAnswer:
		s.finishUnknown(now, c, ReasonAnswerTooLarge)
	case reply.Outcome == RunAnswered:
		s.finishAnswered(now, c, reply.Answer)
	case reply.Outcome == RunNotRun:
		c.run.candidateSet.setWait(time.Duration(reply.WaitMS) * time.Millisecond)
		s.retry(now, c, reply.Reason)
	case reply.Outcome == RunMismatch:
		s.finishUnknown(now, c, ReasonMismatch)
	case reply.Reason == ReasonAnswerTooLarge:
		s.finishUnknown(now, c, reply.Reason)
	default:
		s.handleUncertain(now, c, reply.Reason)
	}
}

// handleUncertain handles a run that may have started and has no known outcome.
func (s *State) handleUncertain(now time.Time, c *claim, reason Reason) {
	if c.idempotent {
		s.retry(now, c, reason)
		return
	}
	s.finishUnknown(now, c, reason)
}

// retry handles a run that certainly did not happen, or any failed run of an
// idempotent command.
func (s *State) retry(now time.Time, c *claim, reason Reason) {
	if !c.idempotent {
		blocked, ok := s.startAllowed(now, c)
		if blocked == ReasonClaimNotStored || blocked == ReasonNoMajority && s.inMajorityGrace(now, c.key.Service) {
			// The new other owner has not stored the claim yet, or the majority
			// is being verified again.
			c.run.phase, c.run.claimingSince = phaseClaiming, now
			return
		}
		if !ok {
			s.finishUnknown(now, c, blocked)
			return
		}
	}
	candidateSet := &c.run.candidateSet
	if reason.otherHostAdmits() {
		candidateSet.searchStopped = false
		candidateSet.redirect(s.cfg.AdmittingHost)
	}
	free := reason.otherHostAdmits() || reason == ReasonNoSlot && c.run.attempt < budgetFreeAttempts
	if !free && candidateSet.hasUnasked() && !s.retryBudget.take(now, 1) {
		countRetry(ReasonRetryBudget)
		candidateSet.searchStopped = true
		if candidateSet.attemptsLeft() == 0 {
			s.finishNotRun(now, c, reason)
			return
		}
	}
	countRetry(reason)
	s.runNext(now, c, reason)
}

func (s *State) finishAnswered(now time.Time, c *claim, answer json.RawMessage) {
	answers.Inc()
	s.finish(now, c, Answered, answer, "")
}

func (s *State) finishUnknown(now time.Time, c *claim, reason Reason) {
	countUnknown(reason)
	s.finish(now, c, Unknown, nil, reason)
}

// finishNotRun answers that the command was not run, which requires that
// startAllowed holds. The claim is kept, so that a delayed duplicate of the
// request is not run either. An idempotent command starts without these
// conditions: the other side of a partition, or an earlier owner, may have run
// it, so its outcome is unknown.
func (s *State) finishNotRun(now time.Time, c *claim, reason Reason) {
	if c.idempotent {
		s.finishUnknown(now, c, reason)
		return
	}
	countNotRun(reason)
	s.finish(now, c, Answered, ErrorResponse(c.key.ID, CodeNotRun, reason), reason)
}

// finish settles the claim, answers a waiting caller and notifies the owners.
func (s *State) finish(now time.Time, c *claim, state ClaimState, answer json.RawMessage, reason Reason) {
	s.table.settle(now, c, state, answer, reason)
	if c.callerWaiting {
		c.callerWaiting = false
		s.emit(Answer{c.flow, s.answerOrStored(c, answer)})
	}
	if !c.idempotent {
		s.notifyOwners(now, c, "")
	}
}

// answerOrStored returns answer if there is one, since the table may have had no
// room to keep it, and otherwise what storedAnswer returns.
func (s *State) answerOrStored(c *claim, answer []byte) []byte {
	if len(answer) > 0 {
		return answer
	}
	return s.storedAnswer(c)
}

// Expire handles deadlines, retries claim calls, removes expired claims and
// continues transfers and the handover. It must be called several times per
// second.
func (s *State) Expire(now time.Time) []Outcome {
	s.advance(now)
	s.table.visitPending(func(c *claim) { s.expirePending(now, c) })
	s.table.expire(now)
	s.continueTransfers(now)
	s.continueHandover(now)
	return s.take()
}

func (s *State) expirePending(now time.Time, c *claim) {
	if c.run == nil {
		if !now.Before(c.deadline) {
			s.expireRemote(now, c)
		}
		return
	}
	r := c.run
	owners := s.owners(c.key.Service, c.bucket)
	other := owners.other(s.cfg.Self)
	switch {
	case r.phase == phaseClaiming && (now.Sub(r.claimingSince) >= s.cfg.ClaimTimeout || !now.Before(c.deadline)):
		s.finishUnknown(now, c, s.blockedBy(c, owners))
	case r.phase == phaseClaiming && s.replicated(c, owners) && (r.claimStored || owners.has(s.cfg.Self)):
		s.start(now, c)
	case r.phase == phaseRunning && !now.Before(c.deadline):
		s.finishUnknown(now, c, ReasonNoAnswer)
	case r.phase == phaseRunning && c.idempotent && !now.Before(r.attemptEnds):
		s.handleUncertain(now, c, ReasonNoAnswer)
	}
	s.ensureClaimStored(now, c, other)
}

// blockedBy returns the reason for which a command has not started.
func (s *State) blockedBy(c *claim, owners Owners) Reason {
	if s.replicated(c, owners) && !s.majority(c.key.Service) {
		return ReasonNoMajority
	}
	return ReasonClaimNotStored
}

// expireRemote settles a claim as unknown whose result another host did not send
// in time.
func (s *State) expireRemote(now time.Time, c *claim) {
	countUnknown(ReasonNoAnswer)
	s.table.settle(now, c, Unknown, nil, ReasonNoAnswer)
	if c.callerWaiting {
		c.callerWaiting = false
		s.emit(Answer{c.flow, s.storedAnswer(c)})
	}
}

// ensureClaimStored asks the present other owner to store a pending claim, and
// asks again after claimRetryAfter.
func (s *State) ensureClaimStored(now time.Time, c *claim, other string) {
	r := c.run
	if r == nil || c.idempotent || other == "" || c.state != Pending {
		return
	}
	if r.claimPeer != other || (!r.claimStored && !r.claimInFlight && now.Sub(r.claimSentAt) >= claimRetryAfter) {
		s.storeClaim(now, c, other)
	}
}
