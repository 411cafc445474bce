package entry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/withdrawal"
)

const (
	// withdrawalInterval is the minimum time between two decisions on the withdrawal. It is shorter than tickInterval, so that
	// each tick decides.
	withdrawalInterval = tickInterval / 2
	// voteLinesPerS is the maximum number of log lines a second about changes of the vote.
	voteLinesPerS = 4
)

// withdrawalState is the part of the control goroutine's state that decides whether this host withdraws from the routers.
type withdrawalState struct {
	machine     *withdrawal.Machine
	last        withdrawal.Decision
	snapshot    *withdrawal.Snapshot // of the last decision
	unreachable []string             // data centres at the last decision
	nextAt      time.Duration
	withdrawnAt time.Duration
	voteLimiter logLimiter
}

func newWithdrawalState() withdrawalState {
	return withdrawalState{machine: withdrawal.New(), snapshot: &withdrawal.Snapshot{}, voteLimiter: logLimiter{perSecond: voteLinesPerS}}
}

// countDemand counts what the packet in t.packet shows of the demand of the callers and of the backend servers' answers.
func (t *traffic) countDemand(v *affinity.Verdict, now time.Duration) {
	p := &t.packet
	switch {
	case !p.Opening:
		if v.Answered {
			t.tally.Answer(v.DataCentre)
		}
		if v.FurtherRequest {
			t.tally.Request(v.Service, v.DataCentre)
		}
		return
	case v.Action == affinity.Forward:
		t.tally.Opening(v.DataCentre, now)
	case v.Service == "":
		return
	}
	if p.Copy == 0 {
		t.tally.NewFlow(v.Service, v.Action == affinity.Forward && !v.Preference.LastResort())
	}
}

// updateWithdrawal decides whether this host withdraws from the routers, sends its vote and asks other hosts when that is due.
func (c *control) updateWithdrawal(now time.Duration) {
	w := &c.withdrawal
	if now < w.nextAt {
		return
	}
	w.nextAt = now + withdrawalInterval
	if s := c.host.served.Load(); s != nil && s != w.snapshot {
		w.snapshot = s
		c.members.SetUnanswered(s.Unanswered)
	}
	unreachable := c.members.Unreachable(now)
	if !maps.Equal(unreachable, c.lastUnreachable) {
		c.fleetAt = now
	}
	in := withdrawal.Input{
		DataCentre: c.host.config.DataCentre, Demand: w.snapshot.Demand, Places: w.snapshot.Places, Unreachable: unreachable,
		Uninformed: !c.members.HeardOthers(), Votes: withdrawal.Votes(c.members.Votes(now)),
	}
	w.last, w.unreachable = w.machine.Step(&in, now), slices.Sorted(maps.Keys(unreachable))
	c.host.withdrawn.Store(w.last.Withdrawn)
	c.reportDecision(now)
	c.sendVote(now)
}

// sendVote sends the vote of this host, or a question for contacts or votes, to hosts of its data centre.
func (c *control) sendVote(now time.Duration) {
	d := &c.withdrawal.last
	ask := c.members.AskForContacts(now)
	if !ask && !d.SendVote {
		return
	}
	if ask {
		contactAsks.Inc()
	}
	if d.AskVotes {
		voteAsks.Inc()
	}
	m := c.stateMessage(0, nil)
	m.Ask = ask || d.AskVotes
	c.sendToLocal(c.members.VoteReceivers(), m)
}

// reportDecision logs and counts what the last decision changed.
func (c *control) reportDecision(now time.Duration) {
	w := &c.withdrawal
	d := &w.last
	if d.VoteChanged {
		countVoteChange(d.Vote)
		w.voteLimiter.do(now, func() { c.logDecision("vote on the withdrawal from the routers changed") })
	}
	switch d.Change {
	case withdrawal.Withdrawn:
		w.withdrawnAt = now
		withdrawnGauge.Set(1)
		countWithdrawal(string(d.Reason))
		c.logDecision("withdrawn from the routers", "minimum", d.Minimum)
	case withdrawal.Returned:
		withdrawnGauge.Set(0)
		returns.Inc()
		c.logDecision("returned to the routers", "after", d.Lasted)
	}
}

// logDecision logs the last decision with the figures that it is based on.
func (c *control) logDecision(msg string, fields ...any) {
	d := &c.withdrawal.last
	line := append([]any{"msg", msg, "vote", d.Vote, "reason", d.Reason, "demand", round(d.Demand), "served", round(d.Served),
		"fallback", d.Fallback, "fallback_requests", round(d.FallbackRequests), "unreachable", strings.Join(c.withdrawal.unreachable, ","), "votes_for", d.Votes.For,
		"votes_heard", d.Votes.Heard, "hosts_heard", d.Votes.FirstHand, "hosts_known", d.Votes.Known}, fields...)
	level.Info(c.logger).Log(line...)
}

// addStatus adds the last decision to a status.
func (w *withdrawalState) addStatus(s *admin.TokenStatus, now time.Duration) {
	d := &w.last
	s.Withdrawal = admin.WithdrawalStatus{
		Withdrawn: d.Withdrawn, MinimumMS: d.Minimum.Milliseconds(), Vote: d.Vote, Demand: round(d.Demand), Served: round(d.Served),
		Fallback: d.Fallback, FallbackRequests: round(d.FallbackRequests), VotesFor: d.Votes.For, VotesHeard: d.Votes.Heard, HostsKnown: d.Votes.Known,
	}
	if d.Vote {
		s.Withdrawal.Reason = string(d.Reason)
	}
	if d.Withdrawn {
		s.Withdrawal.ForMS = (now - w.withdrawnAt).Milliseconds()
	}
}
