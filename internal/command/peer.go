package command

import "time"

// Claim handles a ClaimRequest of host from, the other owner of the bucket.
// A claim is stored only if both hosts agree that they are the bucket's owners:
// a host with a stale view must not start a command that the current owners
// could start too.
func (s *State) Claim(now time.Time, from string, m ClaimRequest) ClaimReply {
	s.advance(now)
	owners := s.owners(m.Service, m.Bucket)
	switch {
	case m.State != Pending:
		return s.refuseClaim(ReasonMalformed)
	case !s.conditions.Serving:
		return s.refuseClaim(ReasonNotServing)
	case m.Origin != from || from == s.cfg.Self || !owners.has(s.cfg.Self) || owners.other(s.cfg.Self) != from:
		return s.refuseClaim(ReasonNotOwner)
	}
	c := s.table.claims[m.ClaimKey]
	if c != nil && (c.owner != m.ClaimOwner || c.digest != m.Digest) {
		known := c.record(now)
		s.table.touch(now, c)
		return ClaimReply{Known: &known}
	}
	if c == nil {
		if s.table.full() {
			return s.refuseClaim(ReasonClaimsFull)
		}
		s.insertRemote(now, &m.ClaimRecord)
	}
	return ClaimReply{Stored: true, Complete: s.complete(now, m.Service, m.Bucket)}
}

func (s *State) refuseClaim(r Reason) ClaimReply {
	countClaimRefused(r)
	return ClaimReply{Refused: r}
}

// insertRemote stores a claim whose command another host may run.
func (s *State) insertRemote(now time.Time, r *ClaimRecord) *claim {
	c := &claim{
		key: r.ClaimKey, owner: r.ClaimOwner, bucket: r.Bucket, digest: r.Digest, state: r.State,
		reason: r.Reason, answer: r.Answer, deadline: now.Add(s.remoteWait(r)), syncedAt: now,
	}
	s.table.insert(now, c)
	return c
}

// remoteWait returns how long to wait for the result of another host's run.
func (s *State) remoteWait(r *ClaimRecord) time.Duration {
	ms := min(max(0, r.RemainingMS), s.cfg.Retention.Milliseconds())
	return time.Duration(ms)*time.Millisecond + remoteResultGrace
}

// Complete handles a CompleteRequest of host from.
func (s *State) Complete(now time.Time, from string, m CompleteRequest) []Outcome {
	s.advance(now)
	if m.State != Answered && m.State != Unknown {
		countResultDropped(ReasonMalformed)
		return nil
	}
	s.merge(now, from, &m.ClaimRecord)
	return s.take()
}

// merge applies a claim record of another host and reports whether the claim is
// stored afterwards.
func (s *State) merge(now time.Time, from string, r *ClaimRecord) bool {
	c := s.table.claims[r.ClaimKey]
	switch {
	case c == nil && s.table.full():
		countClaimRefused(ReasonClaimsFull)
		return false
	case c == nil:
		s.insertRemote(now, r)
		return true
	case c.owner != r.ClaimOwner || c.digest != r.Digest:
		countResultDropped(ReasonMismatch)
		return true
	}
	s.table.touch(now, c)
	if c.run != nil || c.state == Answered || r.State == Pending || r.State == c.state {
		return true
	}
	c.syncedAt = now
	s.table.settle(now, c, r.State, r.Answer, r.Reason)
	if c.callerWaiting {
		c.callerWaiting = false
		s.emit(Answer{c.flow, s.storedAnswer(c)})
	}
	s.notifyOwners(now, c, from)
	return true
}

// notifyOwners sends a settled claim to the owners of its bucket except this host
// and from.
func (s *State) notifyOwners(now time.Time, c *claim, from string) {
	c.syncedAt = now
	owners := s.owners(c.key.Service, c.bucket)
	for _, to := range []string{owners.Primary, owners.Secondary} {
		if to != "" && to != s.cfg.Self && to != from {
			s.emit(Complete{To: to, Message: CompleteRequest{c.record(now)}})
		}
	}
}
