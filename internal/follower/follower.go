// Package follower schedules a host's calls to the published store.
//
// The reader of the fleet keeps a watch on the store and forwards changes to the other hosts. Those read the store
// themselves only if their copy has not been confirmed for a while. The schedule itself does no I/O; Do makes a call
// through a Source.
package follower

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Kind is the kind of a call to the store.
type Kind uint8

// Kinds of call.
const (
	None    Kind = iota // no call
	ReadAll             // reads the full contents
	Watch               // reads the changes after a revision, waiting for the first one
)

// Call describes a call to the store.
type Call struct {
	Kind    Kind
	Era     uint64        // newest era that this host knows
	After   uint64        // revision after which a Watch reads changes
	Wait    time.Duration // time for which the store may wait for a change
	Timeout time.Duration // for the call, or for each page of a full read
	// FirstPageOnly ends a full read after the first page. The outcome is Incomplete if there are more pages.
	FirstPageOnly bool
}

// Outcome is the way in which a call ended.
type Outcome uint8

// Outcomes.
const (
	Done        Outcome = iota
	HistoryLost         // the store no longer keeps the changes after the revision
	Refused             // the store rejected the call, for example because of overload
	Failed              // no answer or an invalid one
	Incomplete          // FirstPageOnly was set and there are more pages
	Truncated           // the answer to a watch broke off or is invalid
	EraChanged          // the answer to a watch is of a newer era, in which its revision means other contents
)

var outcomeNames = [...]string{"done", "history_lost", "refused", "failed", "incomplete", "truncated", "era_changed"}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

const (
	// copyWaitAlone is the time for which a host without a live peer waits for a copy when the contents have many pages.
	copyWaitAlone = 500 * time.Millisecond
	// maxCopyWait is the maximum time for which a host with a live peer waits for a copy.
	maxCopyWait = 8 * time.Second
	// copyWaitRoot is the order of the root that shapes the distribution of waits so that only a few are short: of 5,700
	// hosts, one waits less than a third of maxCopyWait.
	copyWaitRoot = 8
)

// minWatchInterval is the minimum time between the starts of two watches. The changes of many backend servers come together
// in the answer to the second one, in place of one call for each.
const minWatchInterval = 200 * time.Millisecond

// staleJitterDivisor sets the jitter of StaleAfter: each host subtracts a random part of up to StaleAfter divided by it.
const staleJitterDivisor = 5

// Config holds the timing of a Follower.
type Config struct {
	WatchWait   time.Duration // maximum wait of a watch
	CallTimeout time.Duration // time for an answer, beyond the wait
	StaleAfter  time.Duration // age of the last confirmation at which a host other than the reader reads the store itself
	RetryMin    time.Duration // backoff after the first failed call
	RetryMax    time.Duration // maximum backoff
}

// Fleet is the state of the fleet that the schedule depends on.
type Fleet struct {
	Reader    bool // this host reads the store for the others
	PeerAlive bool // another host has recently sent a message
}

// Follower is the schedule of a host's calls. It is not safe for concurrent use: the control goroutine owns it.
type Follower struct {
	config       Config
	isSeed       bool // read all pages at once, without waiting for a copy
	inFlight     Call
	startedAt    time.Duration    // start of the call in flight, or of the last one
	confirmedAt  time.Duration    // time at which the copy last matched the store; negative: never
	notBefore    time.Duration    // earliest time of the next call
	failures     int              // consecutive failed or refused calls
	outageAt     time.Duration    // end of the last call that failed or was the first answered after a failure; negative: never
	gapEndedAt   time.Duration    // end of the last gap between confirmations, see Confirm; negative: never
	needFullRead bool             // the next call is a full read
	copyAwaited  bool             // a copy is or was awaited, so the next full read reads all pages
	copyDeadline time.Duration    // end of the wait for a copy while a peer is alive
	manyPages    bool             // the contents had more than one page when this host last read the first
	eraChanged   bool             // the next full read is due because of a newer era
	newestEra    uint64           // that an answer has stated
	truncations  int              // truncated watches since the last one that was answered in full
	truncatedAt  registry.Version // after which the last truncated watch read, if truncations > 0
	random       *rand.Rand
}

// New returns a Follower that starts with a full read. A seed reads all pages at once, because other hosts get their
// copies from it.
func New(c Config, isSeed bool, random *rand.Rand) *Follower {
	f := &Follower{confirmedAt: -1, outageAt: -1, gapEndedAt: -1, needFullRead: true, isSeed: isSeed, random: random}
	f.SetConfig(c)
	return f
}

// SetConfig replaces the configuration. StaleAfter gets a random jitter, so that hosts do not find their copies stale at
// the same time and one call can refresh the copies of the others.
func (f *Follower) SetConfig(c Config) {
	c.StaleAfter -= time.Duration(f.random.Int64N(int64(c.StaleAfter / staleJitterDivisor)))
	f.config = c
}

// Next returns the call that is due, if any, and records it as in flight.
func (f *Follower) Next(at registry.Version, fleet Fleet, now time.Duration) Call {
	// A watch that was truncated is not repeated with the same revision. Until that rises, full reads take its place.
	repeats := !f.needFullRead && f.truncations > 0 && !f.truncatedAt.Before(at)
	switch {
	case f.inFlight.Kind != None || now < f.notBefore:
		return Call{}
	case f.needFullRead && f.copyAwaited && fleet.PeerAlive && now < f.copyDeadline:
		return Call{}
	case !f.needFullRead && !fleet.Reader && f.Fresh(now):
		return Call{}
	case repeats && now < f.startedAt+f.config.RetryMax:
		return Call{}
	}
	f.needFullRead = f.needFullRead || repeats
	if f.needFullRead && f.eraChanged && f.manyPages && !f.copyAwaited && !fleet.Reader && !f.isSeed && fleet.PeerAlive {
		f.awaitCopy(now) // the first page would tell nothing new
		return Call{}
	}
	f.startedAt = now
	f.inFlight = f.nextCall(at, fleet.Reader, now)
	return f.inFlight
}

// maxTimeoutDoublings bounds how often the timeout of a call doubles while calls fail. The longer timeout lets a host read
// a slow store.
const maxTimeoutDoublings = 2

func (f *Follower) nextCall(at registry.Version, reader bool, now time.Duration) Call {
	timeout := f.config.CallTimeout << min(f.failures, maxTimeoutDoublings)
	if f.needFullRead {
		all := f.isSeed || f.copyAwaited || reader && f.confirmedAt >= 0
		return Call{Kind: ReadAll, Era: max(at.Era, f.newestEra), Timeout: timeout, FirstPageOnly: !all}
	}
	wait := f.config.WatchWait
	if !reader || !f.Fresh(now) {
		wait = 0
	}
	return Call{Kind: Watch, Era: at.Era, After: at.Revision, Wait: wait, Timeout: wait + timeout}
}

// CallEnded records the outcome of the call in flight. changed states that it read changes, see Result.
func (f *Follower) CallEnded(outcome Outcome, changed bool, now time.Duration) {
	call := f.inFlight
	f.inFlight = Call{}
	if f.failures > 0 || outcome == Refused || outcome == Failed || outcome == Truncated {
		f.outageAt = now
	}
	switch outcome {
	case Done:
		f.failures = 0
		f.Confirm(f.confirmedAsOf(call, changed, now))
		if call.Kind == Watch {
			f.notBefore = f.startedAt + minWatchInterval
			f.truncations = 0
		}
		if call.Kind == ReadAll {
			f.needFullRead, f.copyAwaited, f.eraChanged = false, false, false
		}
		return
	case Incomplete:
		f.failures, f.manyPages = 0, true
		f.awaitCopy(now)
		return
	case EraChanged:
		f.failures = 0
		f.EraChanged(f.newestEra)
		return
	case HistoryLost:
		f.failures, f.needFullRead = 0, true
		return
	case Truncated:
		f.truncated(call, now)
		return
	}
	f.failures++
	f.notBefore = now + f.backoff(f.failures)
}

// EraChanged records that the store has entered a newer era than that of the contents. The next call is a full read, of which
// pages of an older era count as failed.
func (f *Follower) EraChanged(era uint64) {
	f.needFullRead, f.eraChanged, f.truncations = true, true, 0
	f.newestEra = max(f.newestEra, era)
}

// awaitCopy makes the next full read wait for a copy of another host.
func (f *Follower) awaitCopy(now time.Duration) {
	f.copyAwaited = true
	f.notBefore, f.copyDeadline = now+copyWaitAlone, now+f.copyWait()
}

// truncated schedules a full read after a truncated watch. The first one follows at once. Its pages get the longest timeout,
// because what cannot be read in one answer is large or arrives slowly.
func (f *Follower) truncated(call Call, now time.Duration) {
	f.failures = max(f.failures+1, maxTimeoutDoublings)
	f.needFullRead = true
	f.truncations++
	f.truncatedAt = registry.Version{Era: call.Era, Revision: call.After}
	f.notBefore = now
	if f.truncations > 1 {
		f.notBefore += f.backoff(f.truncations)
	}
}

// Interrupted records that the store may have been unavailable during the call that ended last, although it succeeded.
func (f *Follower) Interrupted(now time.Duration) { f.outageAt = now }

// confirmedAsOf returns the latest time at which the store is certain to have had the contents that a completed call read:
// the end of the wait for a watch that waited in full, else the start of the call. The store does not wait further once there
// is a change, however late this host handles the answer.
func (f *Follower) confirmedAsOf(call Call, changed bool, now time.Duration) time.Duration {
	if !changed && now-f.startedAt >= call.Wait {
		return f.startedAt + call.Wait
	}
	return f.startedAt
}

// backoff returns the time to wait after a number of consecutive failures. It doubles with each failure and has jitter, so
// that hosts do not retry at the same time.
func (f *Follower) backoff(failures int) time.Duration {
	backoff := f.config.RetryMin << min(failures-1, 10)
	backoff = min(backoff, f.config.RetryMax)
	return backoff/2 + time.Duration(f.random.Int64N(int64(backoff/2)+1))
}

// copyWait returns a random time to wait for the copy of another host before reading all pages. Only a few waits are short:
// of thousands of hosts that start at once, a few read all pages, and the others get copies from them in the meantime.
func (f *Follower) copyWait() time.Duration {
	part := f.random.Float64()
	return time.Duration(math.Pow(part, 1.0/copyWaitRoot) * float64(maxCopyWait))
}

// Confirm records that the copy matched the store at the given time. If the previous confirmation is older than a watch of
// the reader usually takes, the store may have been unavailable in between without a failed call of this host.
func (f *Follower) Confirm(at time.Duration) {
	if f.confirmedAt >= 0 && at-f.confirmedAt > f.config.WatchWait+f.config.CallTimeout/2 {
		f.gapEndedAt = at
	}
	f.confirmedAt = max(f.confirmedAt, at)
}

// CopyReceived records that a complete copy has arrived from another host, so that no full read is needed.
func (f *Follower) CopyReceived() {
	if f.copyAwaited {
		f.notBefore = 0
	}
	f.needFullRead, f.copyAwaited, f.eraChanged = false, false, false
}

// Confirmed returns the time at which the copy was last confirmed, and false if it never was.
func (f *Follower) Confirmed() (time.Duration, bool) { return f.confirmedAt, f.confirmedAt >= 0 }

// OutageAt returns the time at which the store was last known to be unavailable, and false if it never was. An outage lasts
// until the first answered call after a failed one.
func (f *Follower) OutageAt() (time.Duration, bool) { return f.outageAt, f.outageAt >= 0 }

// PossibleOutageAt returns the last time at which the store may have been unavailable, by this host's own evidence, or a
// negative value if never. Unlike OutageAt it includes gaps between confirmations, which are no evidence for other hosts.
func (f *Follower) PossibleOutageAt() time.Duration { return max(f.outageAt, f.gapEndedAt) }

// Fresh reports whether the copy was confirmed within StaleAfter.
func (f *Follower) Fresh(now time.Duration) bool {
	return f.confirmedAt >= 0 && now-f.confirmedAt < f.config.StaleAfter
}
