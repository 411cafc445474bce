package command

import "time"

// Claim handles a ClaimRequest of host from, the other owner of the bucket.
// A claim is stored only while both hosts agree that they are the bucket's
// owners: a host with a stale view must not start a command that the current
// owners could start as well.
func (s *State) Claim(now time.Time, from string, m ClaimRequest) ClaimReply {
	s.begin(now)
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
		s.insertForeign(now, &m.ClaimRecord)
	}
	return ClaimReply{Stored: true, Complete: s.complete(now, m.Service, m.Bucket)}
}

func (s *State) refuseClaim(r Reason) ClaimReply {
	countClaimRefused(r)
	return ClaimReply{Refused: r}
}

// insertForeign stores a claim that another host may run.
func (s *State) insertForeign(now time.Time, r *ClaimRecord) *claim {
	c := &claim{
		key: r.ClaimKey, owner: r.ClaimOwner, bucket: r.Bucket, digest: r.Digest, state: r.State,
		reason: r.Reason, answer: r.Answer, deadline: now.Add(s.remaining(r)), synced: now,
	}
	s.table.insert(now, c)
	return c
}

// remaining returns how long to wait for another host's run. The grace is for
// the message that tells the result.
func (s *State) remaining(r *ClaimRecord) time.Duration {
	ms := min(max(0, r.RemainingMS), s.cfg.Retention.Milliseconds())
	return time.Duration(ms)*time.Millisecond + foreignGrace
}

// Complete handles a CompleteRequest of host from.
func (s *State) Complete(now time.Time, from string, m CompleteRequest) []Outcome {
	s.begin(now)
	if m.State != Answered && m.State != Unknown {
		countResultDropped(ReasonMalformed)
		return nil
	}
	s.merge(now, from, &m.ClaimRecord)
	return s.take()
}

// merge takes over what another host knows about a claim and reports whether
// the claim is held afterwards.
func (s *State) merge(now time.Time, from string, r *ClaimRecord) bool {
	c := s.table.claims[r.ClaimKey]
	switch {
	case c == nil && s.table.full():
		countClaimRefused(ReasonClaimsFull)
		return false
	case c == nil:
		s.insertForeign(now, r)
		return true
	case c.owner != r.ClaimOwner || c.digest != r.Digest:
		countResultDropped(ReasonMismatch)
		return true
	}
	s.table.touch(now, c)
	if c.run != nil || c.state == Answered || r.State == Pending || r.State == c.state {
		return true
	}
	c.synced = now
	s.table.settle(now, c, r.State, r.Answer, r.Reason)
	if c.waiting {
		c.waiting = false
		s.emit(Answer{c.flow, s.answerFor(c)})
	}
	s.tellOthers(now, c, from)
	return true
}

// tellOthers sends a settled claim to the owners of its bucket except from,
// and to the host that stored it.
func (s *State) tellOthers(now time.Time, c *claim, from string) {
	c.synced = now
	owners := s.owners(c.key.Service, c.bucket)
	for _, to := range []string{owners.Primary, owners.Secondary} {
		if to != "" && to != s.cfg.Self && to != from {
			s.emit(Complete{To: to, Message: CompleteRequest{c.record(now)}})
		}
	}
}
