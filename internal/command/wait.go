package command

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxWaiting bounds the commands that are queued for a slot of one backend
	// server.
	MaxWaiting = 64
	// MaxWaitingOfOwner bounds the commands of one owner that are queued. Each is
	// a call in progress on the owner's connection, which also carries claims.
	MaxWaitingOfOwner = 32
	// initialRunTime is the estimated run time until the first run has ended.
	initialRunTime = 250 * time.Millisecond
)

// runTime estimates the run time of a backend server's commands by the smoothed
// mean and mean deviation, as RFC 6298 estimates a round-trip time.
type runTime struct{ mean, deviation time.Duration }

func (t *runTime) add(d time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = d, d/2
		return
	}
	t.deviation += ((t.mean - d).Abs() - t.deviation) / 4
	t.mean += (d - t.mean) / 8
}

// expected returns the run time that most commands do not exceed: the mean plus
// 4 times the mean deviation.
func (t *runTime) expected() time.Duration { return t.average() + 4*t.deviation }

func (t *runTime) average() time.Duration {
	if t.mean == 0 {
		return initialRunTime
	}
	return t.mean
}

// slotQueue holds the commands that are queued for a slot of one backend server.
type slotQueue struct {
	backend  netip.AddrPort
	waiting  []*run // in order of arrival
	running  int
	runTime  runTime
	lastUsed time.Time
}

// expectedWait estimates the time until a slot is free for one more command.
func (q *slotQueue) expectedWait() time.Duration {
	return time.Duration(len(q.waiting)+1) * q.runTime.average() / time.Duration(max(1, q.running))
}

// startBy returns the latest time at which a command may leave the queue. A
// command that starts later would probably be cancelled at its deadline, with an
// unknown outcome. At most half of the remaining time is reserved for the run,
// since otherwise a single long run would prevent all queueing.
func (q *slotQueue) startBy(now, deadline time.Time) time.Time {
	left := deadline.Sub(now)
	return deadline.Add(-min(max(minAttempt, q.runTime.expected()), left/2))
}

func (r *Runner) queueOf(now time.Time, backend netip.AddrPort) *slotQueue {
	q := r.slotQueues[backend]
	if q == nil {
		q = &slotQueue{backend: backend}
		r.slotQueues[backend] = q
	}
	q.lastUsed = now
	return q
}

// queueOrRefuse handles a command for which no slot is free. It queues the
// command if the owner has set Wait; otherwise it replies with the expected wait.
func (r *Runner) queueOrRefuse(now time.Time, call uint64, m *RunRequest, key runKey, deadline time.Time) []Outcome {
	q := r.queueOf(now, m.Backend)
	wait, startBy := q.expectedWait(), q.startBy(now, deadline)
	switch {
	case len(q.waiting) >= MaxWaiting || r.waiting[m.Origin] >= MaxWaitingOfOwner:
		return r.refuseAttempt(now, call, m, ReasonQueueFull, 0)
	case now.Add(wait).After(startBy):
		return r.refuseAttempt(now, call, m, ReasonWaitTooLong, 0)
	case !m.Wait:
		return r.refuseAttempt(now, call, m, ReasonNoSlot, max(minWait, wait))
	}
	current := r.register(now, call, m, key, deadline)
	request := *m
	current.request, current.startBy = &request, startBy
	q.waiting = append(q.waiting, current)
	r.waiting[m.Origin]++
	slotWaits.Inc()
	return r.take()
}

// dequeue removes a command from its slot queue.
func (r *Runner) dequeue(current *run) {
	q := r.slotQueues[current.key.backend]
	i := slices.Index(q.waiting, current)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	owner := current.request.Origin
	if r.waiting[owner]--; r.waiting[owner] == 0 {
		delete(r.waiting, owner)
	}
}

// startQueued starts queued commands in order of arrival while slots of the
// backend server are free. It starts none after a pause, since another host may
// admit the backend server's commands by then; Expire then refuses the queued
// commands.
func (r *Runner) startQueued(now time.Time, q *slotQueue) {
	for len(q.waiting) > 0 && !r.pausedAt(now) {
		current := q.waiting[0]
		end := current.deadline.Add(cancelGrace)
		switch refusal := r.slots.Check(now, q.backend, end); {
		case now.After(current.startBy):
			r.refuseQueued(now, current, ReasonWaitExpired)
			continue
		case refusal.temporary():
			return
		case refusal != "":
			r.refuseQueued(now, current, ReasonNoSlot)
			continue
		}
		token, refusal := r.slots.Acquire(now, q.backend, end)
		if refusal != "" {
			return
		}
		r.dequeue(current)
		r.send(now, current, current.request, token)
	}
}

// refuseQueued removes a queued command, which has not been sent, and refuses it
// as not run.
func (r *Runner) refuseQueued(now time.Time, current *run, reason Reason) {
	r.dequeue(current)
	delete(r.runs, current.key)
	countRunRefused(reason)
	if reason.isSlotWait() {
		reason = ReasonNoSlot
	}
	r.endRun(now, current, RunReply{Outcome: RunNotRun, Reason: reason})
}

// RecheckQueued refuses the queued commands that this host no longer admits. It
// must be called after each change that affects the argument admits of Run.
func (r *Runner) RecheckQueued(now time.Time, admits func(m *RunRequest) bool) []Outcome {
	r.refuseAllQueued(now, ReasonNotAdmittingHost, func(current *run) bool { return !admits(current.request) })
	return r.take()
}

// refuseAllQueued refuses the queued commands for which match returns true.
func (r *Runner) refuseAllQueued(now time.Time, reason Reason, match func(*run) bool) {
	for _, current := range r.order {
		if current.request != nil && r.runs[current.key] == current && match(current) {
			r.refuseQueued(now, current, reason)
		}
	}
}

// pausedAt reports whether the last Expire is longer ago than PauseLimit.
func (r *Runner) pausedAt(now time.Time) bool {
	return !r.lastTick.IsZero() && now.Sub(r.lastTick) > r.cfg.PauseLimit
}

// tick refuses all queued commands after a pause, starts commands for which a
// slot became free without the end of a run, and removes the queues of idle
// backend servers.
func (r *Runner) tick(now time.Time) {
	if r.pausedAt(now) {
		r.refuseAllQueued(now, ReasonNotServing, func(*run) bool { return true })
	}
	r.lastTick = now
	for _, current := range r.order {
		if current.request != nil && r.runs[current.key] == current {
			r.startQueued(now, r.slotQueues[current.key.backend])
		}
	}
	for backend, q := range r.slotQueues {
		if q.running == 0 && len(q.waiting) == 0 && now.Sub(q.lastUsed) > r.cfg.Retention {
			delete(r.slotQueues, backend)
		}
	}
}
