package affinity

import "time"

// Health is what a host believes of a backend server from the packets of its callers.
type Health uint8

// Beliefs.
const (
	Answers Health = iota // it answers, after it was doubted
	Suspect               // new flows go elsewhere
	Silent                // its flows are reset
)

var beliefNames = [...]string{"answers", "suspect", "silent"}

// String returns the name of the belief in logs.
func (b Health) String() string { return beliefNames[b] }

// Cause is the evidence for a belief.
type Cause uint8

// Causes.
const (
	PacketAcknowledged   Cause = iota // a caller acknowledged what the server sent
	OpeningLate                       // an opening packet was not answered in time
	CallerRestarted                   // a caller opened another flow before the first was answered
	OpeningRepeated                   // a caller sent a copy of an opening packet
	ConnectionRefused                 // a check found that nothing listens
	ConnectionUnanswered              // a check got no answer
)

var causeNames = [...]string{
	"packet_acknowledged", "opening_late", "caller_restarted", "opening_repeated", "connection_refused",
	"connection_unanswered",
}

// String returns the name of the cause in logs.
func (c Cause) String() string { return causeNames[c] }

// HealthChange tells that a belief has changed.
type HealthChange struct {
	ServerID    string
	Health      Health
	Cause       Cause
	Flows       int           // open flows of the server that this host remembers
	SinceAnswer time.Duration // since the last sign of life that this host saw; 0 when it saw none
	For         time.Duration // how long the belief holds without new evidence; 0 for good
}

// maxNotices bounds the notices that wait to be taken.
const maxNotices = 256

// notices collects the changes of beliefs since they were last taken.
type notices struct{ list []HealthChange }

func (n *notices) add(s *server, b Health, c Cause, now, holds time.Duration) {
	if len(n.list) >= maxNotices {
		return
	}
	notice := HealthChange{ServerID: s.ID, Health: b, Cause: c, Flows: s.flows, For: holds}
	if s.lastSign > 0 {
		notice.SinceAnswer = now - s.lastSign
	}
	n.list = append(n.list, notice)
}

// TakeHealthChanges returns the changes of beliefs and forgets them. The slice is valid until the next call of the Router.
func (r *Router) TakeHealthChanges() []HealthChange {
	list := r.notices.list
	r.notices.list = r.notices.list[:0]
	return list
}
