package gossip

import "time"

// silencePerHost is the time per host of the own data centre after which a silent host no longer counts in the population
// that votes are a sample of. A host of a large fleet receives a message of a given one every 83 ms times their number on
// average.
const silencePerHost = 660 * time.Millisecond

// minForShare is the inverse of the share of votes in favour from which hosts pass votes on. A single host with a false view
// must not make all messages longer.
const minForShare = 4

// Votes summarises the votes of the other hosts of the own data centre within aliveTimeout.
type Votes struct {
	Known      int // hosts that are not leaving
	FirstHand  int // hosts whose own messages were received
	Heard      int // hosts whose vote is known
	For        int // of those, the hosts that vote for the withdrawal
	Population int // hosts of which Heard is a sample; equal to Heard if it is no sample
}

// Votes returns the votes on the withdrawal of the own data centre.
func (m *Members) Votes(now time.Duration) Votes {
	var v Votes
	hosts := m.current().localMembers
	sampled := m.sampled() && len(hosts) > fanOut/2
	retention := aliveTimeout + time.Duration(len(hosts))*silencePerHost
	for _, h := range hosts {
		if h.leaving {
			continue
		}
		v.Known++
		if h.alive(now) {
			v.FirstHand++
		}
		heard := h.voteAt >= 0 && now-h.voteAt < aliveTimeout
		if heard {
			v.Heard++
		}
		if heard && h.vote {
			v.For++
		}
		if heard || sampled && now-max(h.lastMessageAt, h.addedAt, h.voteAt) < retention {
			v.Population++
		}
	}
	return v
}

// HostVotes returns votes to be sent to hosts of the own data centre, or nil if few of them vote for the withdrawal. own is
// the vote of this host. Only votes that came from the voters themselves are listed, so that a vote cannot circulate.
func (m *Members) HostVotes(own bool, now time.Duration) []HostVote {
	if !m.sampled() {
		return nil
	}
	if v := m.Votes(now); !own && (v.For == 0 || v.For*minForShare < v.Heard) {
		return nil
	}
	hosts := m.current().localMembers
	var votes []HostVote
	seen := 0
	for _, h := range hosts {
		if !h.alive(now) {
			continue
		}
		vote := HostVote{Host: h.digest, AgeMs: (now - h.lastMessageAt).Milliseconds(), Withdraw: h.withdraw}
		seen++
		if len(votes) < maxVotes {
			votes = append(votes, vote)
		} else if j := m.random.IntN(seen); j < maxVotes {
			votes[j] = vote
		}
	}
	return votes
}

// mergeVotes records the votes that another host of the own data centre has received, unless later ones are known.
func (m *Members) mergeVotes(msg *Message, now time.Duration) {
	if len(msg.Votes) == 0 || msg.From.DataCentre != m.self.DataCentre {
		return
	}
	l := m.current()
	if l.byDigest == nil {
		l.byDigest = make(map[uint32]*member, len(l.localMembers))
		for _, h := range l.localMembers {
			l.byDigest[h.digest] = h
		}
	}
	for _, v := range msg.Votes {
		at := now - time.Duration(v.AgeMs)*time.Millisecond
		if h := l.byDigest[v.Host]; h != nil && at > h.voteAt {
			h.vote, h.voteAt = v.Withdraw, at
		}
	}
}
