package command

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxWaiting bounds the commands that wait for a slot of one backend
	// server.
	MaxWaiting = 64
	// MaxWaitingOfOwner bounds the commands of one owner that wait. Each is a
	// call in progress on the owner's connection, which also carries claims.
	MaxWaitingOfOwner = 32
	// initialRunTime is the estimate before the first run has ended.
	initialRunTime = 250 * time.Millisecond
)

// runTime estimates the run time of a backend server's commands by the mean
// and the mean deviation, as RFC 6298 estimates a round trip.
type runTime struct{ mean, deviation time.Duration }

func (t *runTime) add(d time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = d, d/2
		return
	}
	t.deviation += ((t.mean - d).Abs() - t.deviation) / 4
	t.mean += (d - t.mean) / 8
}

// expected is the run time that most commands do not exceed.
func (t *runTime) expected() time.Duration { return t.average() + 4*t.deviation }

func (t *runTime) average() time.Duration {
	if t.mean == 0 {
		return initialRunTime
	}
	return t.mean
}

// slotQueue holds the commands that wait for a slot of one backend server, in
// order of arrival.
type slotQueue struct {
	backend netip.AddrPort
	waiting []*run
	running int
	runTime runTime
	used    time.Time
}

// expectedWait is the time until a slot is free for one more command.
func (q *slotQueue) expectedWait() time.Duration {
	return time.Duration(len(q.waiting)+1) * q.runTime.average() / time.Duration(max(1, q.running))
}

// startBy returns the latest time at which a command may leave the queue. A
// command that starts later would probably be cut off, and its outcome would
// be unknown. One long run must not end all waiting, so that at most half of
// the time is kept for the run.
func (q *slotQueue) startBy(now, deadline time.Time) time.Time {
	left := deadline.Sub(now)
	return deadline.Add(-min(max(minAttempt, q.runTime.expected()), left/2))
}

func (r *Runner) queueOf(now time.Time, backend netip.AddrPort) *slotQueue {
	q := r.queues[backend]
	if q == nil {
		q = &slotQueue{backend: backend}
		r.queues[backend] = q
	}
	q.used = now
	return q
}

// noSlot handles a command for which no slot is free now. It waits when the
// owner wants that; otherwise the owner learns how long it would wait.
func (r *Runner) noSlot(now time.Time, call uint64, m *RunRequest, key runKey, deadline time.Time) []Outcome {
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
	current := r.accept(now, call, m, key, deadline)
	request := *m
	current.request, current.startBy = &request, startBy
	q.waiting = append(q.waiting, current)
	r.waiting[m.Origin]++
	slotWaits.Inc()
	return r.take()
}

// dequeue takes a command out of its queue.
func (r *Runner) dequeue(current *run) {
	q := r.queues[current.key.backend]
	i := slices.Index(q.waiting, current)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	owner := current.request.Origin
	if r.waiting[owner]--; r.waiting[owner] == 0 {
		delete(r.waiting, owner)
	}
}

// startWaiting starts the commands that have waited longest for a slot of a
// backend server, as far as slots are free. After a pause another host may
// admit the backend server's commands; Expire then ends the waiting.
func (r *Runner) startWaiting(now time.Time, q *slotQueue) {
	for len(q.waiting) > 0 && !r.pausedAt(now) {
		current := q.waiting[0]
		end := current.deadline.Add(cancelGrace)
		switch refusal := r.slots.Check(now, q.backend, end); {
		case now.After(current.startBy):
			r.refuseWaiting(now, current, ReasonWaitExpired)
			continue
		case refusal.temporary():
			return
		case refusal != "":
			r.refuseWaiting(now, current, ReasonNoSlot)
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

// refuseWaiting ends the wait of a command. It has not been sent.
func (r *Runner) refuseWaiting(now time.Time, current *run, reason Reason) {
	r.dequeue(current)
	delete(r.runs, current.key)
	countRunRefused(reason)
	if reason.isWait() {
		reason = ReasonNoSlot
	}
	r.end(now, current, RunReply{Outcome: RunNotRun, Reason: reason})
}

// RecheckQueued ends the wait for slots that this host does not admit any more. It
// must be called after each change of what Run's argument admits depends on.
func (r *Runner) RecheckQueued(now time.Time, admits func(m *RunRequest) bool) []Outcome {
	r.endWaiting(now, ReasonNotAdmittingHost, func(current *run) bool { return !admits(current.request) })
	return r.take()
}

func (r *Runner) endWaiting(now time.Time, reason Reason, ends func(*run) bool) {
	for _, current := range r.order {
		if current.request != nil && r.runs[current.key] == current && ends(current) {
			r.refuseWaiting(now, current, reason)
		}
	}
}

func (r *Runner) pausedAt(now time.Time) bool {
	return !r.ticked.IsZero() && now.Sub(r.ticked) > r.cfg.PauseLimit
}

// tick ends waiting after a pause, starts commands for which a slot became
// free without the end of a run, and forgets idle backend servers.
func (r *Runner) tick(now time.Time) {
	if r.pausedAt(now) {
		r.endWaiting(now, ReasonNotServing, func(*run) bool { return true })
	}
	r.ticked = now
	for _, current := range r.order {
		if current.request != nil && r.runs[current.key] == current {
			r.startWaiting(now, r.queues[current.key.backend])
		}
	}
	for backend, q := range r.queues {
		if q.running == 0 && len(q.waiting) == 0 && now.Sub(q.used) > r.cfg.Retention {
			delete(r.queues, backend)
		}
	}
}
