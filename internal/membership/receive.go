package membership

import (
	"slices"
	"time"
)

// Receive handles a message from an authenticated sender. A probe from a host
// that is not on this host's list is answered, because the lists of two hosts
// differ for a while and the sender would otherwise declare this host dead; the
// sender does not become a member and its updates are ignored.
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
		out = s.apply(now, Update{
			ID: from.ID, Boot: from.Boot, Incarnation: m.Incarnation, Status: Alive, Leaving: m.Leaving,
		}, out)
	}
	for _, u := range m.Updates {
		if sender != nil || u.ID == s.cfg.Self.ID {
			out = s.apply(now, u, out)
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
		out = append(out, s.send(from.ID, addr, Message{Kind: Ack, Seq: m.Seq}))
	case Request:
		out = s.relay(now, from, m, out)
	case Ack:
		out = s.receiveAck(now, from, m, out)
	}
	return dedupChanged(s.verify(now, out))
}

// answerReplaced tells a process that another one has replaced it. The answer
// goes to its own address, since the list may hold that of the new process.
func (s *State) answerReplaced(from Sender, m Message) []Outcome {
	if m.Kind != Probe {
		return nil
	}
	return []Outcome{s.send(from.ID, from.Addr, Message{
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
	s.majority.record(true)
	// The answer may be older than the suspicion. Another probe carries the
	// suspicion to the host, which can then refute it before it is declared dead.
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
	return append(out, s.send(p.relayFor.ID, requester.host.PeerAddr(), m))
}

// apply merges an update and queues it for others when it was news.
func (s *State) apply(now time.Time, u Update, out []Outcome) []Outcome {
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
		m.answered, m.asked = time.Time{}, false
	}
	if before.Status == Alive && m.status != Alive {
		s.majority.trouble(now, s.cfg.ProbeTimeout)
		s.quorumTrouble(now, u.ID)
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

// merge takes over the update if it is greater in the order (boot, incarnation,
// status). Leaving is kept within a boot, whatever the incarnation.
func (m *member) merge(u Update) bool {
	if u.Boot < m.boot {
		return false
	}
	if u.Boot > m.boot {
		m.boot, m.incarnation, m.status, m.leaving = u.Boot, u.Incarnation, u.Status, u.Leaving
		return true
	}
	news := u.Leaving && !m.leaving
	m.leaving = m.leaving || u.Leaving
	if u.Incarnation > m.incarnation || u.Incarnation == m.incarnation && u.Status > m.status {
		m.incarnation, m.status = u.Incarnation, u.Status
		return true
	}
	return news
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

// dedupChanged keeps one Changed, since it says only that Members differs.
func dedupChanged(out []Outcome) []Outcome {
	seen := false
	return slices.DeleteFunc(out, func(o Outcome) bool {
		_, changed := o.(Changed)
		drop := changed && seen
		seen = seen || changed
		return drop
	})
}
