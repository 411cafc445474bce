// Package restart infers that a backend server has started again although the store can't report it.
//
// A refused connection shows that no process listens at the address of a backend server, over whichever link it was tried.
// The first answer after it comes from a new process, which is cold. The package does no I/O and reads no clock.
package restart

import "time"

// transitTolerance is how much later than it happened a refused connection may seem to be at a host that another one told of
// it: the time of the message is not known.
const transitTolerance = 50 * time.Millisecond

// Process is what a host infers about the process behind the present entry of a backend server. The zero value is a process
// about which nothing is known but its entry.
type Process struct {
	refusedAt time.Duration // latest refused connection that no start has followed; 0: none
	startedAt time.Duration // when the start that was inferred last was seen; 0: none
	coldUntil time.Duration // end of the cold period after that start
	sentAt    time.Duration // when the latest opening packet or connection attempt that was answered had been sent
	answerAt  time.Duration // when it was answered
}

// Kind is the kind of an Observation.
type Kind uint8

// Kinds of observations.
const (
	Refused   Kind = iota // a connection was refused
	Answered              // an opening packet or a connection was answered
	Restarted             // another host has seen the first answer of a new process
)

// Observation is what an opening packet or a connection to a backend server has shown.
type Observation struct {
	Kind   Kind
	SentAt time.Duration // when the answered attempt was made; At for findings of other hosts
	At     time.Duration
	Sure   bool // this host's own evidence, or more than one other host, speaks for it
}

// Observe records an observation. It reports whether it shows an end or a start that was not known.
func (p *Process) Observe(o Observation, coldPeriod time.Duration) bool {
	switch o.Kind {
	case Refused:
		return p.refused(o.At, coldPeriod)
	case Answered:
		return p.answered(o.SentAt, o.At, coldPeriod)
	}
	return p.restarted(o.At, coldPeriod)
}

// refused records a refused connection. If an answer to a later attempt has been seen, the backend server has started in
// between.
func (p *Process) refused(at, coldPeriod time.Duration) bool {
	if p.startedAt != 0 && at <= p.startedAt+transitTolerance {
		return false
	}
	if p.AnsweredSince(at) {
		p.started(p.answerAt, coldPeriod)
		return true
	}
	known := p.Ended()
	p.refusedAt = max(p.refusedAt, at)
	return !known
}

func (p *Process) answered(sentAt, at, coldPeriod time.Duration) bool {
	if sentAt > p.sentAt {
		p.sentAt, p.answerAt = sentAt, at
	}
	if !p.Ended() || sentAt <= p.refusedAt {
		return false
	}
	p.started(at, coldPeriod)
	return true
}

// restarted records a start that another host has seen. Several hosts may see the same one at different times.
func (p *Process) restarted(at, coldPeriod time.Duration) bool {
	known := !p.Ended() && p.startedAt != 0 && at < p.startedAt+coldPeriod
	if known || at <= p.refusedAt {
		return false
	}
	p.started(at, coldPeriod)
	return true
}

func (p *Process) started(at, coldPeriod time.Duration) {
	p.refusedAt, p.startedAt = 0, at
	p.coldUntil = max(p.coldUntil, at+coldPeriod)
}

// AnsweredSince reports whether an attempt that was made after a time has been answered.
func (p *Process) AnsweredSince(at time.Duration) bool { return p.sentAt > at }

// Ended reports whether the process has ended and no answer of a new one has been seen.
func (p *Process) Ended() bool { return p.refusedAt != 0 }

// Cold reports whether new flows must be limited to what a cold backend server can bear: a new process was first seen less
// than the cold period ago, or will be there when the backend server answers again.
func (p *Process) Cold(now time.Duration) bool { return p.Ended() || p.coldUntil > now }

// ColdUntil returns the end of the inferred cold period, which is in the past or 0 if there is none.
func (p *Process) ColdUntil() time.Duration { return p.coldUntil }
