package membership

import (
	"slices"
	"time"
)

// Receive handles a message from an authenticated sender. A probe from a host
// that is not on this host's list is answered, because the lists of two hosts may
// differ for a while and the sender would otherwise declare this host dead. Such
// a sender does not become a member, and its updates are ignored unless they are
// about this host.
func (s *State) Receive(now time.Time, from Sender, m Message) []Outcome {
	out := s.advance(now)
	sender := s.members[from.ID]
	if sender != nil && from.Boot < sender.boot {
		s.counters.ReplacedSenders++
		return append(out, s.answerReplaced(from, m)...)
	}
	if sender == nil {
		s.counters.UnlistedSenders++
	} else {
		out = append(out, PeerDigest{From: from.ID, Digest: m.Digest})
		out = s.applyUpdate(now, Update{
			ID: from.ID, Boot: from.Boot, Incarnation: m.Incarnation, Status: Alive, Leaving: m.Leaving,
		}, out)
	}
	for _, u := range m.Updates {
		if sender != nil || u.ID == s.cfg.Self.ID {
			out = s.applyUpdate(now, u, out)
		}
	}
	if from.ID == s.cfg.Self.ID {
		return out
	}
	switch m.Kind {
	case Probe:
		addr := from.Addr
		if sender != nil {
			addr = sender.host.PeerAddr()
		}
		out = append(out, s.newSend(from.ID, addr, Message{Kind: Ack, Seq: m.Seq}))
	case Request:
		out = s.relay(now, from, m, out)
	case Ack:
		out = s.receiveAck(now, from, m, out)
	}
	return dedupChanged(s.probeUnverified(now, out))
}

// answerReplaced answers a probe of a process that a later one has replaced with
// the update that supersedes it. The answer is sent to the sender's own address,
// because the list may contain that of the new process.
func (s *State) answerReplaced(from Sender, m Message) []Outcome {
	if m.Kind != Probe {
		return nil
	}
	return []Outcome{s.newSend(from.ID, from.Addr, Message{
		Kind: Ack, Seq: m.Seq, Updates: []Update{s.members[from.ID].update()},
	})}
}

func (s *State) relay(now time.Time, from Sender, m Message, out []Outcome) []Outcome {
	if s.members[from.ID] == nil || s.members[m.Target] == nil || len(s.probes) >= maxRelays {
		s.counters.RelaysRefused++
		return out
	}
	return append(out, s.startProbe(now, m.Target, probe{relayFor: &from, relaySeq: m.Seq}))
}

func (s *State) receiveAck(now time.Time, from Sender, m Message, out []Outcome) []Outcome {
	p := s.probes[m.Seq]
	direct := p != nil && from.ID == p.target && m.Target == ""
	if !direct && (p == nil || m.Target != p.target || !p.indirect) {
		s.counters.UnmatchedAcks++
		return out
	}
	delete(s.probes, m.Seq)
	target := s.members[p.target]
	if direct {
		target.answered = later(target.answered, p.sent)
	}
	if p.relayFor != nil {
		return s.answerRelay(p, out)
	}
	s.majority.recordProbe(true)
	// The probe may be older than the suspicion. Another probe notifies the host
	// of the suspicion, so that it can refute it before it is declared dead.
	if target.status == Suspect {
		out = append(out, s.startProbe(now, p.target, probe{}))
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *State) answerRelay(p *probe, out []Outcome) []Outcome {
	requester := s.members[p.relayFor.ID]
	if requester == nil {
		return out
	}
	m := Message{Kind: Ack, Seq: p.relaySeq, Target: p.target}
	return append(out, s.newSend(p.relayFor.ID, requester.host.PeerAddr(), m))
}

// applyUpdate merges an update and, if it changed the recorded state, queues it
// for other hosts. See member.joined for the first updates that are not queued.
func (s *State) applyUpdate(now time.Time, u Update, out []Outcome) []Outcome {
	if u.ID == s.cfg.Self.ID {
		return s.applySelf(u, out)
	}
	m := s.members[u.ID]
	if m == nil {
		return out
	}
	before := m.export()
	if !m.merge(u) {
		return out
	}
	if before.Confirmed() || m.joined || u.Status != Alive || u.Leaving {
		s.updates.add(u.ID)
	}
	if m.boot != before.Boot {
		m.answered, m.verifyProbeSent = time.Time{}, false
	}
	if before.Status == Alive && m.status != Alive {
		s.majority.restart(now, s.cfg.ProbeTimeout)
		s.restartQuorums(now, u.ID)
	}
	if m.status != Suspect {
		delete(s.suspects, u.ID)
	} else {
		s.suspects[u.ID] = now.Add(s.cfg.SuspectFor)
	}
	if m.export() != before {
		out = append(out, Changed{})
	}
	return out
}

// merge adopts the update if it is greater in the order (boot, incarnation,
// status). Leaving stays set within a boot, whatever the incarnation. It reports
// whether anything changed.
func (m *member) merge(u Update) bool {
	if u.Boot < m.boot {
		return false
	}
	if u.Boot > m.boot {
		m.boot, m.incarnation, m.status, m.leaving = u.Boot, u.Incarnation, u.Status, u.Leaving
		return true
	}
	changed := u.Leaving && !m.leaving
	m.leaving = m.leaving || u.Leaving
	if u.Incarnation > m.incarnation || u.Incarnation == m.incarnation && u.Status > m.status {
		m.incarnation, m.status = u.Incarnation, u.Status
		return true
	}
	return changed
}

func (s *State) applySelf(u Update, out []Outcome) []Outcome {
	if u.Boot > s.cfg.Boot && !s.superseded {
		s.superseded = true
		return append(out, Superseded{Boot: u.Boot})
	}
	if u.Boot == s.cfg.Boot && u.Status != Alive && u.Incarnation >= s.incarnation {
		s.incarnation = u.Incarnation + 1
		s.counters.Refutations++
		if u.Status == Dead {
			out = append(out, DeclaredDead{})
		}
		return append(out, Changed{})
	}
	return out
}

// dedupChanged keeps only the first Changed, because it carries no data.
func dedupChanged(out []Outcome) []Outcome {
	seen := false
	return slices.DeleteFunc(out, func(o Outcome) bool {
		_, changed := o.(Changed)
		drop := changed && seen
		seen = seen || changed
		return drop
	})
}
