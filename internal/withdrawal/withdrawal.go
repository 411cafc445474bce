// Package withdrawal decides when an entry host withdraws from the routers because its data centre cannot serve its callers
// while another data centre can.
//
// Routers only send a data centre's callers elsewhere when all of its hosts withdraw. Hosts therefore vote, and each
// withdraws and returns with the majority of the hosts of its data centre. The package does no I/O and reads no clock.
package withdrawal

import (
	"math"
	"time"
)

const (
	// returnDelay is the time for which the reason of a withdrawal must have been absent before the host returns.
	returnDelay = 500 * time.Millisecond
	// minWithdrawal is the minimum length of a withdrawal.
	minWithdrawal = 2 * time.Second
	// maxMinWithdrawal is the largest minimum length, to which repeated withdrawals double it.
	maxMinWithdrawal = 16 * time.Second
	// repeatWindow is the time after a return within which another withdrawal counts as a repetition.
	repeatWindow = 30 * time.Second
	// ownReturnDelay is the time after which a host that itself votes against the withdrawal returns without a majority. A
	// host that hears few others could otherwise stay withdrawn for ever.
	ownReturnDelay = 5 * time.Second
	// minHeard is the number of other hosts of the data centre that a host must hear itself, unless there are fewer.
	minHeard = 2
	// voteMargin is the number of standard deviations of a random sample by which the votes heard must exceed one half. The
	// votes of hosts that announce them are heard more often than others.
	voteMargin = 7
	// announceTime is the time after a change of its vote in which a host sends it to further hosts every announceInterval.
	announceTime     = 250 * time.Millisecond
	announceInterval = 50 * time.Millisecond
	// askTime is the time after the change until which a host whose state differs from its vote asks for votes every
	// askInterval, once it has announced its own. By chance, some hosts of a large data centre hear too few to decide.
	askTime     = 600 * time.Millisecond
	askInterval = 50 * time.Millisecond
	// announcePause is the minimum time between the beginnings of two such periods. A vote that changes meanwhile is sent once.
	announcePause = time.Second
)

// Votes summarises the votes of the other hosts of the own data centre that were heard recently.
type Votes struct {
	Known      int // other hosts of the data centre
	FirstHand  int // hosts whose own messages were heard
	Heard      int // hosts whose vote is known, also from other hosts
	For        int // of those, the hosts that vote for the withdrawal
	Population int // hosts of which Heard is a sample; equal to Heard if it is no sample
}

// Input is what a host knows at one time.
type Input struct {
	DataCentre  string // the host's own
	Demand      []Demand
	Places      []Place
	Unreachable map[string]bool // data centres
	// Uninformed is set while this host has heard no host of another data centre since its start, so that it cannot tell
	// whether they are reachable.
	Uninformed bool
	Votes      Votes
}

// Reason states why a host votes for the withdrawal of its data centre.
type Reason string

const (
	// TakenOut states that the own data centre is taken out and the others cannot be reached.
	TakenOut Reason = "taken_out"
	// NoBackendServer states that the own data centre has no usable backend server and the others cannot be reached.
	NoBackendServer Reason = "no_backend_server"
)

// Change is a change of the state of a host.
type Change uint8

// Changes.
const (
	Unchanged Change = iota
	Withdrawn
	Returned
)

// Decision is the outcome of a step, with the figures that it is based on.
type Decision struct {
	Assessment
	Votes       Votes
	Vote        bool // for the withdrawal of the own data centre
	VoteChanged bool
	SendVote    bool // the vote must be sent to a sample of the data centre's hosts now
	AskVotes    bool // with SendVote: they should answer with the votes that they know
	Withdrawn   bool // the host must tell the routers that it takes no packets
	Change      Change
	Lasted      time.Duration // when Change is Returned: length of the withdrawal
	Minimum     time.Duration // minimum length of the present or last withdrawal
}

// Machine is the state of one host. It must be used by one goroutine only.
type Machine struct {
	vote         bool
	withdrawn    bool
	withdrawnAt  time.Duration
	returnedAt   time.Duration
	minimum      time.Duration // of the present or last withdrawal; 0: there was none
	absentSince  time.Duration // since when the reason has been absent; endOfTime: it is present
	againstSince time.Duration // since when this host has voted against; endOfTime: it votes for
	announcedAt  time.Duration // beginning of the last period in which a changed vote was announced
	sentAt       time.Duration // last time at which it was sent in such a period
	demand       []Demand      // seen recently, or before the present withdrawal
}

// endOfTime is later than any time.
const endOfTime = time.Duration(math.MaxInt64)

// New returns a Machine that is not withdrawn.
func New() *Machine {
	return &Machine{absentSince: endOfTime, announcedAt: -announcePause}
}

// Step returns the decision at a time. Slices in the input must not be modified afterwards.
func (m *Machine) Step(in *Input, now time.Duration) Decision {
	if !m.withdrawn {
		m.demand = in.Demand // a withdrawn host receives no packets, so that its earlier demand remains the measure
	}
	d := Decision{Assessment: assess(in, m.demand), Votes: in.Votes}
	d.Vote = d.votesToWithdraw()
	d.VoteChanged = d.Vote != m.vote
	if d.Vote {
		m.againstSince = endOfTime
	} else if m.againstSince == endOfTime {
		m.againstSince = now
	}
	m.vote = d.Vote
	m.announce(&d, now)
	if m.withdrawn {
		m.tryReturn(&d, now)
	} else if d.follows(in) && in.Votes.heardEnough() && in.Votes.majority(d.Vote, true) {
		m.withdraw(&d, now)
	}
	d.Withdrawn, d.Minimum = m.withdrawn, m.minimum
	return d
}

// follows reports whether the host withdraws with a majority: it votes for it, or another data centre could serve a part of
// its demand that this one cannot. The routers send all callers to the hosts that stay. A host without such demand stays,
// since the view of the others may be false, unless it has just started and has no view of its own.
func (d *Decision) follows(in *Input) bool { return d.Vote || d.FallbackRequests > 0 || in.Uninformed }

// announce decides whether the vote must be sent now.
func (m *Machine) announce(d *Decision, now time.Duration) {
	if d.VoteChanged && now-m.announcedAt >= announcePause {
		m.announcedAt = now
	}
	due := now-m.announcedAt < announceTime && now-m.sentAt >= announceInterval
	d.AskVotes = d.Vote != m.withdrawn && now-m.announcedAt >= announceTime && now-m.announcedAt < askTime &&
		now-m.sentAt >= askInterval
	if d.SendVote = d.VoteChanged || due || d.AskVotes; d.SendVote {
		m.sentAt = now
	}
}

func (m *Machine) withdraw(d *Decision, now time.Duration) {
	if m.minimum > 0 && now-m.returnedAt < repeatWindow {
		m.minimum = min(2*m.minimum, maxMinWithdrawal)
	} else {
		m.minimum = minWithdrawal
	}
	m.withdrawn, m.withdrawnAt, m.absentSince = true, now, endOfTime
	d.Change = Withdrawn
}

// tryReturn ends the withdrawal when its reason has been absent for long enough.
func (m *Machine) tryReturn(d *Decision, now time.Duration) {
	if !m.reasonAbsent(d, now) {
		m.absentSince = endOfTime
		return
	}
	m.absentSince = min(m.absentSince, now)
	if now-m.absentSince < returnDelay || now-m.withdrawnAt < m.minimum {
		return
	}
	m.withdrawn, m.returnedAt = false, now
	d.Change, d.Lasted = Returned, now-m.withdrawnAt
}

// reasonAbsent reports whether the hosts of the data centre no longer want to be withdrawn. A host follows the majority also
// against its own vote: a single host that returned would bring the whole data centre back into use.
func (m *Machine) reasonAbsent(d *Decision, now time.Duration) bool {
	if d.Votes.heardEnough() && d.Votes.majority(d.Vote, false) {
		return true
	}
	return !d.Vote && (!d.Votes.heardEnough() || now-m.againstSince >= ownReturnDelay)
}

// heardEnough reports whether enough hosts were heard for a decision. The only host of a data centre decides alone.
func (v Votes) heardEnough() bool { return v.FirstHand >= min(minHeard, v.Known) }

// majority reports whether more than half of the hosts vote as asked, including this host, which votes own. While only a
// part of the hosts was heard, the excess must be larger than chance explains.
func (v Votes) majority(own, asked bool) bool {
	heard := v.Heard + 1
	matching := v.For
	if !asked {
		matching = v.Heard - v.For
	}
	if own == asked {
		matching++
	}
	unheard := max(0, 1-float64(heard)/float64(v.Population+1))
	margin := voteMargin * math.Sqrt(float64(heard)*unheard)
	return float64(2*matching) > float64(heard)+margin
}
