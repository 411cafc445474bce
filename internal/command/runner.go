package command

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Token identifies a slot of a backend server.
type Token uint64

// Refusal says why no slot was given, empty when one was.
type Refusal string

// Refusals that end by themselves: a command may wait.
const (
	SlotsBusy     Refusal = "busy"
	SlotsTakeover Refusal = "takeover" // the previous admitting host's commands may hold them
)

func (r Refusal) temporary() bool { return r == SlotsBusy || r == SlotsTakeover }

// Slots gives out the command slots of backend servers. Check says what
// Acquire would, and does not count refusals.
type Slots interface {
	Check(now time.Time, backend netip.AddrPort, deadline time.Time) Refusal
	Acquire(now time.Time, backend netip.AddrPort, deadline time.Time) (Token, Refusal)
	Release(Token)
}

const (
	// cancelGrace is the time that a backend server has to stop a cancelled
	// command before its slot is given to another one.
	cancelGrace = 500 * time.Millisecond
	// MaxTrackedCommands bounds the runs that a Runner remembers.
	MaxTrackedCommands = 40000
)

// runKey matches replies.
type runKey struct {
	backend netip.AddrPort
	flow    packet.Key
	id      string
}

// run is one request at a backend server, or one that waits for a slot of it.
type run struct {
	key        runKey
	claim      ClaimKey
	digest     uint64
	idempotent bool
	calls      []uint64 // command.run calls that wait for the result
	deadline   time.Time
	cancelled  bool
	token      Token
	sentAt     time.Time

	request *RunRequest // while it waits
	startBy time.Time
}

// seen is what a Runner remembers of the runs of a non-idempotent command.
type seen struct {
	digest  uint64
	owner   ClaimOwner
	running *run
	mayRun  bool // a run was started and not surely rejected
	tried   []netip.AddrPort
	refused []attempt
	expires time.Time
}

// attempt names a run message.
type attempt struct {
	owner  ClaimOwner
	number int
}

// expiry is a place in the queue of claims to forget.
type expiry struct {
	key ClaimKey
	at  time.Time
}

// Runner is the admitting host's side of commands.
type Runner struct {
	cfg   Config
	slots Slots
	runs  map[runKey]*run
	order []*run
	seen  map[ClaimKey]*seen
	queue []expiry
	out   []Outcome

	queues  map[netip.AddrPort]*slotQueue
	waiting map[string]int // commands that wait for a slot, by owner
	ticked  time.Time      // newest Expire
	leaving bool
}

// NewRunner returns a Runner without commands in progress.
func NewRunner(cfg Config, slots Slots) *Runner {
	cfg.setDefaults()
	return &Runner{
		cfg: cfg, slots: slots, runs: make(map[runKey]*run), seen: make(map[ClaimKey]*seen),
		queues: make(map[netip.AddrPort]*slotQueue), waiting: make(map[string]int),
	}
}

// Leave refuses new runs and those that wait for a slot; those at backend
// servers finish.
func (r *Runner) Leave(now time.Time) []Outcome {
	r.leaving = true
	r.endWaiting(now, ReasonLeaving, func(*run) bool { return true })
	return r.take()
}

// InProgress returns the number of commands at backend servers and of those
// that wait for a slot.
func (r *Runner) InProgress() int { return len(r.runs) }

func (r *Runner) take() []Outcome {
	out := r.out
	r.out = nil
	return out
}

func (r *Runner) finish(now time.Time, call uint64, reply RunReply) {
	reply.Clock = now.UnixMilli()
	r.out = append(r.out, Finish{call, reply})
}

func (r *Runner) refuse(now time.Time, call uint64, outcome RunOutcome, reason Reason) []Outcome {
	countRunRefused(reason)
	r.finish(now, call, RunReply{Outcome: outcome, Reason: reason})
	return r.take()
}

// refuseAttempt refuses a run that was possible at another time. Its duplicates
// are not run, since the caller may have been told that it did not run.
func (r *Runner) refuseAttempt(now time.Time, call uint64, m *RunRequest, reason Reason, wait time.Duration) []Outcome {
	if !m.Idempotent {
		s := r.remember(now, m)
		s.refused = append(s.refused, attempt{m.ClaimOwner, m.Attempt})
	}
	countRunRefused(reason)
	if reason.isWait() {
		reason = ReasonNoSlot
	}
	r.finish(now, call, RunReply{Outcome: RunNotRun, Reason: reason, WaitMS: milliseconds(wait)})
	return r.take()
}

// Run handles a command.run call. admits says whether this host is the
// admitting host of the backend server and the backend server belongs to the
// service.
func (r *Runner) Run(now time.Time, call uint64, m RunRequest, admits bool) []Outcome {
	key := runKey{m.Backend, m.flow(), m.ID}
	deadline := now.Add(time.Duration(m.DeadlineMS) * time.Millisecond)
	if m.Expires != 0 {
		if end := time.UnixMilli(m.Expires); end.Before(deadline) {
			deadline = end
		}
	}
	if current := r.runs[key]; current != nil && !current.cancelled {
		return r.join(now, call, &m, current)
	}
	s := r.seen[m.ClaimKey]
	if s != nil && !m.Idempotent {
		if outcome, reason := s.refuses(&m); reason != "" {
			if s.running != nil && outcome == RunUnknown {
				return r.join(now, call, &m, s.running)
			}
			return r.refuse(now, call, outcome, reason)
		}
	}
	switch {
	case deadline.Sub(now) < minAttempt/2:
		return r.refuse(now, call, RunNotRun, ReasonDeadline)
	case r.leaving:
		return r.refuse(now, call, RunNotRun, ReasonLeaving)
	case r.runs[key] != nil:
		return r.refuse(now, call, RunNotRun, ReasonBackendTried)
	case s == nil && !m.Idempotent && len(r.seen) >= MaxTrackedCommands:
		return r.refuse(now, call, RunNotRun, ReasonSeenFull)
	case !admits:
		return r.refuseAttempt(now, call, &m, ReasonNotAdmittingHost, 0)
	}
	return r.acquire(now, call, &m, key, deadline)
}

// acquire starts a command when a slot is free and no other command waits for
// it.
func (r *Runner) acquire(now time.Time, call uint64, m *RunRequest, key runKey, deadline time.Time) []Outcome {
	if q := r.queues[m.Backend]; q != nil {
		r.startWaiting(now, q)
		if len(q.waiting) > 0 {
			return r.noSlot(now, call, m, key, deadline)
		}
	}
	token, refusal := r.slots.Acquire(now, m.Backend, deadline.Add(cancelGrace))
	switch {
	case refusal.temporary():
		return r.noSlot(now, call, m, key, deadline)
	case refusal != "":
		return r.refuseAttempt(now, call, m, ReasonNoSlot, 0)
	}
	r.send(now, r.accept(now, call, m, key, deadline), m, token)
	return r.take()
}

// refuses says why a non-idempotent command that was seen before is not run.
func (s *seen) refuses(m *RunRequest) (RunOutcome, Reason) {
	switch {
	case s.digest != m.Digest:
		return RunMismatch, ReasonMismatch
	case slices.Contains(s.refused, attempt{m.ClaimOwner, m.Attempt}):
		return RunNotRun, ReasonBackendTried
	case len(s.tried) > 0 && (s.mayRun || s.owner != m.ClaimOwner):
		return RunUnknown, ReasonAlreadySeen
	}
	if slices.Contains(s.tried, m.Backend) {
		// A duplicate of the earlier rejection would be taken for a rejection
		// of this run.
		return RunNotRun, ReasonBackendTried
	}
	return 0, ""
}

// join lets a repeated call wait for the run in progress. A command that has
// not been sent may still be refused as not run, and then only one owner may
// try it elsewhere.
func (r *Runner) join(now time.Time, call uint64, m *RunRequest, current *run) []Outcome {
	switch {
	case current.digest != m.Digest || current.claim != m.ClaimKey:
		return r.refuse(now, call, RunMismatch, ReasonMismatch)
	case current.request != nil && !m.Idempotent && current.request.ClaimOwner != m.ClaimOwner:
		return r.refuse(now, call, RunUnknown, ReasonAlreadySeen)
	}
	countRepeat(ReasonPending)
	current.calls = append(current.calls, call)
	return r.take()
}

// accept records a run that is sent or waits, so that repeats join it.
func (r *Runner) accept(now time.Time, call uint64, m *RunRequest, key runKey, deadline time.Time) *run {
	current := &run{
		key: key, claim: m.ClaimKey, digest: m.Digest, idempotent: m.Idempotent,
		calls: []uint64{call}, deadline: deadline,
	}
	r.runs[key] = current
	r.order = append(r.order, current)
	if !m.Idempotent {
		s := r.remember(now, m)
		s.owner, s.running, s.mayRun, s.tried = m.ClaimOwner, current, true, append(s.tried, m.Backend)
	}
	return current
}

func (r *Runner) send(now time.Time, current *run, m *RunRequest, token Token) {
	current.token, current.sentAt, current.request = token, now, nil
	r.queueOf(now, m.Backend).running++
	r.out = append(r.out, SendBackend{m.Backend, current.key.flow, backendRequest(m, current.deadline.Sub(now))})
}

func (r *Runner) remember(now time.Time, m *RunRequest) *seen {
	s := r.seen[m.ClaimKey]
	if s == nil {
		s = &seen{digest: m.Digest}
		r.seen[m.ClaimKey] = s
		r.queue = append(r.queue, expiry{m.ClaimKey, now.Add(r.cfg.Retention)})
	}
	end := now.Add(time.Duration(m.DeadlineMS)*time.Millisecond + r.cfg.Retention)
	s.expires = laterOf(s.expires, end)
	return s
}

// Reply handles a packet of flow that a backend server sent to the caller.
// passOn says that another host is the backend server's admitting host and the
// reply has not been passed on yet.
func (r *Runner) Reply(now time.Time, backend netip.AddrPort, flow packet.Key, body []byte, passOn bool) []Outcome {
	p, ok := parseReply(body)
	if !ok {
		countReplyDropped(ReasonMalformed)
		return nil
	}
	current := r.runs[runKey{backend, flow, p.id}]
	if current != nil && current.request != nil {
		current = nil // it has not been sent
	}
	switch {
	case current == nil && passOn:
		r.out = append(r.out, ForwardReply{ReplyRequest{Backend: backend, Caller: flow.Source(), Target: flow.Destination(), Body: body}})
		return r.take()
	case current == nil:
		countReplyDropped(ReasonUnmatched)
		return nil
	case current.cancelled:
		countReplyDropped(ReasonLate)
		r.release(now, current)
		return r.take()
	}
	if !p.shed {
		r.queueOf(now, backend).runTime.add(now.Sub(current.sentAt))
	}
	r.end(now, current, r.result(p, body))
	r.release(now, current)
	return r.take()
}

// result returns what a matching reply says about the run.
func (r *Runner) result(p reply, body []byte) RunReply {
	switch {
	case p.shed:
		return RunReply{Outcome: RunNotRun, Reason: ReasonShed}
	case len(body) > r.cfg.MaxAnswer:
		return RunReply{Outcome: RunUnknown, Reason: ReasonAnswerTooLarge}
	}
	return RunReply{Outcome: RunAnswered, Answer: json.RawMessage(body)}
}

// end answers the calls that wait for a run.
func (r *Runner) end(now time.Time, current *run, reply RunReply) {
	for _, call := range current.calls {
		r.finish(now, call, reply)
	}
	current.calls = nil
	if s := r.seen[current.claim]; s != nil && s.running == current {
		s.running = nil
		s.mayRun = reply.Outcome != RunNotRun
	}
}

// release returns the slot of a run to the command that has waited longest.
func (r *Runner) release(now time.Time, current *run) {
	delete(r.runs, current.key)
	r.slots.Release(current.token)
	q := r.queueOf(now, current.key.backend)
	q.running--
	r.startWaiting(now, q)
}

// Expire cancels runs whose deadline has passed, refuses those that have waited
// too long and forgets old claims. It must be called several times per second.
func (r *Runner) Expire(now time.Time) []Outcome {
	r.tick(now)
	for _, current := range r.order {
		if r.runs[current.key] == current {
			r.expireRun(now, current)
		}
	}
	r.order = slices.DeleteFunc(r.order, func(current *run) bool { return r.runs[current.key] != current })
	r.forget(now)
	return r.take()
}

func (r *Runner) expireRun(now time.Time, current *run) {
	switch {
	case current.request != nil:
		if now.After(current.startBy) {
			r.refuseWaiting(now, current, ReasonWaitExpired)
		}
	case current.cancelled && !now.Before(current.deadline.Add(cancelGrace)):
		r.release(now, current)
	case !current.cancelled && !now.Before(current.deadline):
		current.cancelled = true
		r.queueOf(now, current.key.backend).runTime.add(now.Sub(current.sentAt))
		r.out = append(r.out, Cancel{current.key.backend, current.key.flow, cancelNotification(current.key.id)})
		countRunRefused(ReasonNoAnswer)
		r.end(now, current, RunReply{Outcome: RunUnknown, Reason: ReasonNoAnswer})
	}
}

func (r *Runner) forget(now time.Time) {
	n := 0
	for ; n < len(r.queue) && !r.queue[n].at.After(now); n++ {
		key := r.queue[n].key
		s := r.seen[key]
		if s.expires.After(now) {
			r.queue = append(r.queue, expiry{key, s.expires})
			continue
		}
		delete(r.seen, key)
	}
	r.queue = r.queue[n:]
}
