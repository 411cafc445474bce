// Package follower decides when a host reads the published store.
//
// A reader keeps a watch open and passes on what it learns. The other hosts read the store themselves only when nobody
// has confirmed their copy for a while. The package does no I/O.
package follower

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is a kind of call to the store.
type Kind uint8

// Kinds of call.
const (
	None    Kind = iota
	ReadAll      // the whole contents
	Watch        // the changes after a revision, waiting for the first one
)

// Call is a call that is due.
type Call struct {
	Kind    Kind
	After   uint64
	Wait    time.Duration // that the store may wait for a change
	Timeout time.Duration // after which the call has failed; of each page of a full reading
	// FirstPageOnly ends a full reading after its first page when there are more.
	FirstPageOnly bool
}

// Outcome says how a call ended.
type Outcome uint8

// Outcomes.
const (
	Done        Outcome = iota
	HistoryLost         // the changes after the revision are no longer kept
	Refused             // the store was too busy or turned the host away
	Failed              // no answer, or not a valid one
	Incomplete          // there are more pages than the call was to read
)

var outcomeNames = [...]string{"done", "history_lost", "refused", "failed", "incomplete"}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

const (
	// alonePatience is how long a host that hears no other one waits for a copy of contents that have many pages.
	alonePatience = 500 * time.Millisecond
	// copyPatience is the longest time for which a host that hears others waits for it.
	copyPatience = 8 * time.Second
	// copyPatienceRoot makes waits short for few hosts only: of 5,700, one waits less than a third of copyPatience.
	copyPatienceRoot = 8
)

// staleSpread is the part of StaleAfter, as a divisor, by which hosts differ.
const staleSpread = 5

// Config holds the times of a Follower.
type Config struct {
	WatchWait   time.Duration // longest wait of a watch
	CallTimeout time.Duration // for an answer, beyond the wait
	StaleAfter  time.Duration // age of the last confirmation at which a host that is no reader reads by itself
	RetryMin    time.Duration // first pause after a failed call
	RetryMax    time.Duration // longest pause
}

// Fleet is what the schedule needs to know of the other hosts.
type Fleet struct {
	Reader    bool // this host reads the store for the others
	PeerAlive bool // another host has been heard lately
}

// Follower holds what the schedule depends on. It belongs to the control goroutine.
type Follower struct {
	config    Config
	leads     bool
	inFlight  Call
	startedAt time.Duration
	confirmed time.Duration // when the copy was last known to be the store's contents; negative when never
	notBefore time.Duration
	failures  int
	awayAt    time.Duration // when a call last failed, or was the first to be answered after that; negative: never
	gapAt     time.Duration // end of the last long time without a confirmation; negative: never
	rereadAll bool
	waited    bool          // for a copy, so that the next full reading reads all pages
	copyBy    time.Duration // until when a copy is waited for while others are heard
	random    *rand.Rand
}

// New returns a Follower that has read nothing. One that leads reads all pages at once, as others take their copies from it.
func New(c Config, leads bool, random *rand.Rand) *Follower {
	f := &Follower{confirmed: -1, awayAt: -1, gapAt: -1, rereadAll: true, leads: leads, random: random}
	f.SetConfig(c)
	return f
}

// SetConfig replaces the times. Hosts differ in the age at which they read, so that one that finds its copy old spares
// the others the call.
func (f *Follower) SetConfig(c Config) {
	c.StaleAfter -= time.Duration(f.random.Int64N(int64(c.StaleAfter / staleSpread)))
	f.config = c
}

// Next returns the call that is due now, if any, and notes it as started.
func (f *Follower) Next(revision uint64, fleet Fleet, now time.Duration) Call {
	switch {
	case f.inFlight.Kind != None || now < f.notBefore:
		return Call{}
	case f.rereadAll && f.waited && fleet.PeerAlive && now < f.copyBy:
		return Call{}
	case !f.rereadAll && !fleet.Reader && f.Fresh(now):
		return Call{}
	}
	f.startedAt = now
	f.inFlight = f.due(revision, fleet.Reader, now)
	return f.inFlight
}

// maxTimeoutDoublings bounds how far the timeout grows while calls fail, so that a slow store is still read.
const maxTimeoutDoublings = 2

func (f *Follower) due(revision uint64, reader bool, now time.Duration) Call {
	timeout := f.config.CallTimeout << min(f.failures, maxTimeoutDoublings)
	if f.rereadAll {
		all := f.leads || f.waited || reader && f.confirmed >= 0
		return Call{Kind: ReadAll, Timeout: timeout, FirstPageOnly: !all}
	}
	wait := f.config.WatchWait
	if !reader || !f.Fresh(now) {
		wait = 0
	}
	return Call{Kind: Watch, After: revision, Wait: wait, Timeout: wait + timeout}
}

// CallEnded takes the outcome of the call in flight.
func (f *Follower) CallEnded(outcome Outcome, now time.Duration) {
	call := f.inFlight
	f.inFlight = Call{}
	if f.failures > 0 || outcome == Refused || outcome == Failed {
		f.awayAt = now
	}
	switch outcome {
	case Done:
		f.failures = 0
		f.Confirm(f.provenAt(call, now))
		if call.Kind == ReadAll {
			f.rereadAll, f.waited = false, false
		}
		return
	case Incomplete:
		f.failures, f.waited = 0, true
		f.notBefore, f.copyBy = now+alonePatience, now+f.patience()
		return
	case HistoryLost:
		f.failures, f.rereadAll = 0, true
		return
	}
	f.failures++
	f.notBefore = now + f.pause()
}

// provenAt returns the latest time at which a call that was done can have looked at the store: after the whole wait of a
// watch that saw no change, else at its start.
func (f *Follower) provenAt(call Call, now time.Duration) time.Duration {
	if now-f.startedAt >= call.Wait {
		return f.startedAt + call.Wait
	}
	return f.startedAt
}

// pause doubles with each failure, and varies so that hosts do not return together.
func (f *Follower) pause() time.Duration {
	pause := f.config.RetryMin << min(f.failures-1, 10)
	pause = min(pause, f.config.RetryMax)
	return pause/2 + time.Duration(f.random.Int64N(int64(pause/2)+1))
}

// patience returns how long the host waits for another one's copy before it reads all pages. Few hosts wait for a short
// time: of thousands that start at once, some read everything, and the others have their copies by then.
func (f *Follower) patience() time.Duration {
	part := f.random.Float64()
	return time.Duration(math.Pow(part, 1.0/copyPatienceRoot) * float64(copyPatience))
}

// Confirm notes that the copy was the store's contents at a time. The store may have been away unnoticed when the reader's
// watch has not confirmed it in the time that it takes.
func (f *Follower) Confirm(at time.Duration) {
	if f.confirmed >= 0 && at-f.confirmed > f.config.WatchWait+f.config.CallTimeout/2 {
		f.gapAt = at
	}
	f.confirmed = max(f.confirmed, at)
}

// CopyReceived notes that another host has given this one a complete copy, so that changes after it suffice.
func (f *Follower) CopyReceived() {
	if f.waited {
		f.notBefore = 0
	}
	f.rereadAll, f.waited = false, false
}

// Confirmed returns when the copy was last confirmed, and false when it never was.
func (f *Follower) Confirmed() (time.Duration, bool) { return f.confirmed, f.confirmed >= 0 }

// OutageAt returns when the store was last known to be away, which is until the first answer after a failed call, and false
// when it never was.
func (f *Follower) OutageAt() (time.Duration, bool) { return f.awayAt, f.awayAt >= 0 }

// PossibleOutageAt returns the last time at which the store may have been away, as far as this host knows by itself; negative when
// it never was. Unlike OutageAt it counts that no confirmation came, which says nothing to other hosts.
func (f *Follower) PossibleOutageAt() time.Duration { return max(f.awayAt, f.gapAt) }

// Fresh reports whether the copy was confirmed within the time that a host may rely on others.
func (f *Follower) Fresh(now time.Duration) bool {
	return f.confirmed >= 0 && now-f.confirmed < f.config.StaleAfter
}
