package affinity

import "time"

// Health is the state of a backend server that a host infers from its callers' packets and from checks.
type Health uint8

// Health states.
const (
	Answers   Health = iota // answers again after it was suspect or silent
	Suspect                 // new flows avoid it
	Silent                  // its flows are reset as well
	Ended                   // its process has ended; it is cold when it answers again
	Restarted               // a new process answers, which is cold
)

var healthNames = [...]string{"answers", "suspect", "silent", "ended", "restarted"}

// String returns the name that logs and metrics use for the health state.
func (h Health) String() string { return healthNames[h] }

// Cause is the evidence for a health state.
type Cause uint8

// Causes.
const (
	PacketAcknowledged   Cause = iota // a caller acknowledged data of the server
	OpeningLate                       // an opening packet was not answered in time
	CallerRestarted                   // a caller opened another flow before its previous opening packet was answered
	OpeningRepeated                   // a caller retransmitted an opening packet
	ConnectionRefused                 // a check was refused: no process listens at the address
	ConnectionUnanswered              // a check got no answer
	ConnectionAccepted                // a check was accepted
)

var causeNames = [...]string{
	"packet_acknowledged", "opening_late", "caller_restarted", "opening_repeated", "connection_refused",
	"connection_unanswered", "connection_accepted",
}

// String returns the name that logs and metrics use for the cause.
func (c Cause) String() string { return causeNames[c] }

// HealthChange reports that the health of a backend server has changed.
type HealthChange struct {
	ServerID    string
	Instance    Instance
	Health      Health
	Cause       Cause
	Flows       int           // open flows of the server that this host tracks
	SinceAnswer time.Duration // time since the last answer that this host observed; 0 if it observed none
	For         time.Duration // how long the state lasts without new evidence; 0: indefinitely
}

// maxHealthChanges is the maximum number of changes kept until TakeHealthChanges; further ones are discarded.
const maxHealthChanges = 256

// healthChanges collects the changes since the last call of TakeHealthChanges.
type healthChanges struct{ list []HealthChange }

func (l *healthChanges) add(s *server, h Health, c Cause, now, lasts time.Duration) {
	if len(l.list) >= maxHealthChanges {
		return
	}
	change := HealthChange{ServerID: s.ID, Instance: s.instance(), Health: h, Cause: c, Flows: s.flows, For: lasts}
	if s.lastAnswerAt > 0 {
		change.SinceAnswer = now - s.lastAnswerAt
	}
	l.list = append(l.list, change)
}

// TakeHealthChanges returns the collected changes and discards them. The slice is valid until the next call of a Router
// method.
func (r *Router) TakeHealthChanges() []HealthChange {
	list := r.healthChanges.list
	r.healthChanges.list = r.healthChanges.list[:0]
	return list
}
