package overload

import "time"

const (
	// evidenceLifetime is how long evidence that a service is full counts.
	evidenceLifetime = 2 * time.Second
	// quietTime is the time without waiting flows after which the limit of a service with few running requests is lifted.
	quietTime = 500 * time.Millisecond
	// slowFactor is the multiple of its usual time that an answer takes when the service is full.
	slowFactor = 2
	// clipFactor bounds the weight of a single sample: one long request does not make a service slow.
	clipFactor = 4
	// minSamples is the number of answers from which on their usual time is known.
	minSamples = 32
	// recentSamples and usualSamples are the numbers of samples over which the recent and the usual times are averaged.
	recentSamples = 16
	usualSamples  = 64
	// maxUsualRatio is the ratio of recent to usual times above which samples do not count as usual. Otherwise the beginning
	// of an overload would become usual before it counts as evidence.
	maxUsualRatio = 4.0 / 3
	// driftTime is the time in which the usual time follows answers that are slow: a lasting change becomes usual within
	// minutes, an overload does not.
	driftTime = 2 * time.Minute
	// firstLearnTime is how long a service must have been full without known usual times for its present times to count as
	// usual: its backend servers may have more slots than they state.
	firstLearnTime = 30 * time.Second
	// excessFactor is the multiple of an equal part of the room that a host must use to count a service as full by itself.
	excessFactor = 2
)

// Evidence states why a service counts as full.
type Evidence uint8

// Evidence.
const (
	SlowAnswers Evidence = iota
	UnansweredOpening
	ManyRunning // the usual times are not known yet
)

var evidenceNames = [...]string{"slow_answers", "unanswered_opening", "many_running"}

// String returns the name that logs use for the evidence.
func (e Evidence) String() string { return evidenceNames[e] }

// Change reports that the limit of a service began or ceased to bind.
type Change struct {
	Service  string
	Binds    bool
	Limit    int // 0: no backend server is ready
	Running  int
	Waiting  int
	Evidence string // or, when the limit ceased to bind, the reason
}

// binding is the state that decides whether the limit of a service binds.
type binding struct {
	binds      bool
	evidence   Evidence
	evidenceAt time.Duration // time of the latest evidence; 0: none
	waitedAt   time.Duration // last time at which a flow was waiting
	fullSince  time.Duration // since when the running requests are near the room or the limit binds; 0: neither
}

// learns reports whether the times of answers may be usual ones. A host that starts during an overload knows no usual times
// and must not take those of the overload for usual.
func (sv *service) learns(now time.Duration) bool {
	if sv.timesKnown() {
		return !sv.binds
	}
	return sv.fullSince == 0 || now-sv.fullSince >= firstLearnTime
}

func (b *binding) recordEvidence(e Evidence, now time.Duration) { b.evidence, b.evidenceAt = e, now }

// hasEvidence reports whether there is evidence that counts.
func (b *binding) hasEvidence(now time.Duration) bool {
	return b.evidenceAt > 0 && now-b.evidenceAt < evidenceLifetime
}

// update moves the state of a service to now: it ends waits, decides whether the limit binds, and releases flows that have
// room.
func (s *State) update(sv *service, now time.Duration) {
	s.expire(sv, now)
	sv.updatedAt = now
	running := 0
	for _, c := range sv.classes {
		n := c.running(now)
		c.peak.add(n, now)
		running += n
	}
	if sv.numWaiting > 0 {
		sv.waitedAt = now
	}
	limit := s.limit(sv)
	roomUsed := s.roomUsed(sv, running)
	switch {
	case !roomUsed && !sv.binds:
		sv.fullSince = 0
	case sv.fullSince == 0:
		sv.fullSince = now
	}
	if roomUsed && !sv.timesKnown() {
		sv.recordEvidence(ManyRunning, now)
	}
	switch {
	case !sv.binds && roomUsed && 2*running >= limit && sv.hasEvidence(now):
		sv.binds, sv.waitedAt = true, now
		s.recordChange(sv, limit, running, sv.evidence.String())
	case sv.binds && !sv.hasEvidence(now):
		s.lift(sv, limit, running, "no_evidence")
	case sv.binds && !roomUsed && 2*running < limit && now-sv.waitedAt >= quietTime:
		s.lift(sv, limit, running, "few_running")
	}
	s.release(sv, now)
	if !sv.active && (sv.binds || sv.numWaiting > 0) {
		sv.active = true
		s.active = append(s.active, sv)
	}
}

func (s *State) lift(sv *service, limit, running int, reason string) {
	sv.binds, sv.evidenceAt = false, 0
	s.recordChange(sv, limit, running, reason)
}

func (s *State) recordChange(sv *service, limit, running int, why string) {
	if sv.slots == 0 {
		limit = 0
	}
	s.changes = append(s.changes, Change{
		Service: sv.name, Binds: sv.binds, Limit: limit, Running: running, Waiting: sv.numWaiting, Evidence: why,
	})
}

// roomUsed reports whether the running requests are near the room: those of all hosts, or far more of this one than an equal part
// of the room, as the reports of the others are up to a second old.
func (s *State) roomUsed(sv *service, running int) bool {
	if sv.slots == 0 {
		return false
	}
	room := requestsPerSlot * float64(sv.slots)
	total := running + sv.numWaiting + s.fleet.Own.Demand[sv.digest]
	for _, o := range s.fleet.Others {
		total += o.Demand[sv.digest]
	}
	if float64(total) >= room {
		return true
	}
	equal := room / float64(len(s.fleet.Others)+1) / float64(max(s.fleet.Hosts, 1))
	return float64(running) >= excessFactor*max(equal, minLimit)
}

// timesKnown reports whether the usual time of some route is known.
func (sv *service) timesKnown() bool {
	for _, rt := range sv.routes {
		if rt.times.samples >= minSamples {
			return true
		}
	}
	return false
}

// answerTimes tracks the times that answers to the requests of a route take.
type answerTimes struct {
	usual, recent time.Duration // moving averages
	samples       int           // up to minSamples
	at            time.Duration // of the latest sample
}

// add adds a sample. learn states that the sample may be usual.
func (a *answerTimes) add(took, now time.Duration, learn bool) {
	since := min(now-a.at, time.Second)
	a.at = now
	if a.samples < minSamples {
		if !learn {
			return
		}
		a.samples++
		a.usual += (took - a.usual) / time.Duration(a.samples)
		a.recent = a.usual
		return
	}
	took = min(took, clipFactor*a.usual)
	a.recent += (took - a.recent) / recentSamples
	if learn && float64(a.recent) < maxUsualRatio*float64(a.usual) {
		a.usual += (took - a.usual) / usualSamples
	} else {
		a.usual += time.Duration(float64(took-a.usual) * float64(since) / float64(driftTime))
	}
}

// slow reports whether recent answers take much longer than usual.
func (a *answerTimes) slow() bool { return a.samples >= minSamples && a.recent >= slowFactor*a.usual }
