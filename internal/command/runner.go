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

// Refusal is the reason for which no slot was granted, empty if one was granted.
type Refusal string

// Temporary refusals, on which a command may wait for a slot.
const (
	SlotsBusy     Refusal = "busy"
	SlotsTakeover Refusal = "takeover" // commands of the previous admitting host may still occupy the slots
)

func (r Refusal) temporary() bool { return r == SlotsBusy || r == SlotsTakeover }

// Slots grants the command slots of backend servers. Check returns the refusal
// that Acquire would return. It takes no slot and counts no refusal.
type Slots interface {
	Check(now time.Time, backend netip.AddrPort, deadline time.Time) Refusal
	Acquire(now time.Time, backend netip.AddrPort, deadline time.Time) (Token, Refusal)
	Release(Token)
}

const (
	// cancelGrace is the time that a backend server has to stop a cancelled
	// command before its slot is granted to another command.
	cancelGrace = 500 * time.Millisecond
	// MaxTrackedCommands bounds the non-idempotent commands whose run history a
	// Runner keeps.
	MaxTrackedCommands = 40000
)

// runKey matches the reply of a backend server to its run.
type runKey struct {
	backend netip.AddrPort
	flow    packet.Key
	id      string
}

// run is a command that was sent to a backend server or is queued for one of its
// slots.
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

	request *RunRequest // set while the run is queued for a slot
	startBy time.Time   // latest time to leave the queue
}

// runHistory records the runs of a non-idempotent command, so that duplicates of
// its run messages are not run.
type runHistory struct {
	digest          uint64
	owner           ClaimOwner
	running         *run
	mayHaveRun      bool // a run was started and is not known to have been rejected
	triedBackends   []netip.AddrPort
	refusedAttempts []attempt
	expires         time.Time
}

// attempt identifies a run message.
type attempt struct {
	owner  ClaimOwner
	number int
}

// historyExpiry is when a run history may be removed.
type historyExpiry struct {
	key ClaimKey
	at  time.Time
}

// Runner implements the admitting host's side of commands.
type Runner struct {
	cfg         Config
	slots       Slots
	runs        map[runKey]*run
	order       []*run // in order of arrival
	runHistory  map[ClaimKey]*runHistory
	expiryQueue []historyExpiry
	out         []Outcome

	slotQueues map[netip.AddrPort]*slotQueue
	waiting    map[string]int // commands that are queued for a slot, by owner
	lastTick   time.Time      // time of the last Expire
	leaving    bool
}

// NewRunner returns a Runner without commands in progress.
func NewRunner(cfg Config, slots Slots) *Runner {
	cfg.setDefaults()
	return &Runner{
		cfg: cfg, slots: slots, runs: make(map[runKey]*run), runHistory: make(map[ClaimKey]*runHistory),
		slotQueues: make(map[netip.AddrPort]*slotQueue), waiting: make(map[string]int),
	}
}

// Leave refuses new runs and the runs queued for a slot. Runs at backend servers
// finish.
func (r *Runner) Leave(now time.Time) []Outcome {
	r.leaving = true
	r.refuseAllQueued(now, ReasonLeaving, func(*run) bool { return true })
	return r.take()
}

// InProgress returns the number of commands at backend servers and in slot
// queues.
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

// refuseAttempt refuses a run that might be accepted at another time. Duplicates
// of the run message are refused later as well, since the caller may have
// received the answer "not run".
func (r *Runner) refuseAttempt(now time.Time, call uint64, m *RunRequest, reason Reason, wait time.Duration) []Outcome {
	if !m.Idempotent {
		s := r.recordHistory(now, m)
		s.refusedAttempts = append(s.refusedAttempts, attempt{m.ClaimOwner, m.Attempt})
	}
	countRunRefused(reason)
	if reason.isSlotWait() {
		reason = ReasonNoSlot
	}
	r.finish(now, call, RunReply{Outcome: RunNotRun, Reason: reason, WaitMS: milliseconds(wait)})
	return r.take()
}

// Run handles a command.run call. admits reports that this host is the admitting
// host of the backend server and that the backend server belongs to the service.
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
	s := r.runHistory[m.ClaimKey]
	if s != nil && !m.Idempotent {
		if outcome, reason := s.rejects(&m); reason != "" {
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
	case s == nil && !m.Idempotent && len(r.runHistory) >= MaxTrackedCommands:
		return r.refuse(now, call, RunNotRun, ReasonSeenFull)
	case !admits:
		return r.refuseAttempt(now, call, &m, ReasonNotAdmittingHost, 0)
	}
	return r.startOrQueue(now, call, &m, key, deadline)
}

// startOrQueue starts a command if a slot is free and no other command is queued
// for it.
func (r *Runner) startOrQueue(now time.Time, call uint64, m *RunRequest, key runKey, deadline time.Time) []Outcome {
	if q := r.slotQueues[m.Backend]; q != nil {
		r.startQueued(now, q)
		if len(q.waiting) > 0 {
			return r.queueOrRefuse(now, call, m, key, deadline)
		}
	}
	token, refusal := r.slots.Acquire(now, m.Backend, deadline.Add(cancelGrace))
	switch {
	case refusal.temporary():
		return r.queueOrRefuse(now, call, m, key, deadline)
	case refusal != "":
		return r.refuseAttempt(now, call, m, ReasonNoSlot, 0)
	}
	r.send(now, r.register(now, call, m, key, deadline), m, token)
	return r.take()
}

// rejects returns the outcome and reason with which a run of a command that has a
// history is refused. The reason is empty if the command may run.
func (s *runHistory) rejects(m *RunRequest) (RunOutcome, Reason) {
	switch {
	case s.digest != m.Digest:
		return RunMismatch, ReasonMismatch
	case slices.Contains(s.refusedAttempts, attempt{m.ClaimOwner, m.Attempt}):
		return RunNotRun, ReasonBackendTried
	case len(s.triedBackends) > 0 && (s.mayHaveRun || s.owner != m.ClaimOwner):
		return RunUnknown, ReasonAlreadySeen
	}
	if slices.Contains(s.triedBackends, m.Backend) {
		// A duplicate of the backend server's earlier rejection would be taken
		// for a rejection of this run.
		return RunNotRun, ReasonBackendTried
	}
	return 0, ""
}

// join lets a repeated call wait for the run in progress. A queued command may
// still be refused as not run, after which only one owner may try it on another
// backend server. A call of another owner is therefore refused as unknown.
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

// register records a run that is sent or queued, so that repeated calls join it.
func (r *Runner) register(now time.Time, call uint64, m *RunRequest, key runKey, deadline time.Time) *run {
	current := &run{
		key: key, claim: m.ClaimKey, digest: m.Digest, idempotent: m.Idempotent,
		calls: []uint64{call}, deadline: deadline,
	}
	r.runs[key] = current
	r.order = append(r.order, current)
	if !m.Idempotent {
		s := r.recordHistory(now, m)
		s.owner, s.running, s.mayHaveRun, s.triedBackends = m.ClaimOwner, current, true, append(s.triedBackends, m.Backend)
	}
	return current
}

func (r *Runner) send(now time.Time, current *run, m *RunRequest, token Token) {
	current.token, current.sentAt, current.request = token, now, nil
	r.queueOf(now, m.Backend).running++
	r.out = append(r.out, SendBackend{m.Backend, current.key.flow, backendRequest(m, current.deadline.Sub(now))})
}

// recordHistory returns the run history of a command, which it creates if needed,
// and extends its expiry.
func (r *Runner) recordHistory(now time.Time, m *RunRequest) *runHistory {
	s := r.runHistory[m.ClaimKey]
	if s == nil {
		s = &runHistory{digest: m.Digest}
		r.runHistory[m.ClaimKey] = s
		r.expiryQueue = append(r.expiryQueue, historyExpiry{m.ClaimKey, now.Add(r.cfg.Retention)})
	}
	end := now.Add(time.Duration(m.DeadlineMS)*time.Millisecond + r.cfg.Retention)
	s.expires = laterOf(s.expires, end)
	return s
}

// Reply handles a packet of flow that a backend server sent to the caller.
// forward is set if another host is the backend server's admitting host and the
// reply has not been forwarded yet.
func (r *Runner) Reply(now time.Time, backend netip.AddrPort, flow packet.Key, body []byte, forward bool) []Outcome {
	p, ok := parseReply(body)
	if !ok {
		countReplyDropped(ReasonMalformed)
		return nil
	}
	current := r.runs[runKey{backend, flow, p.id}]
	if current != nil && current.request != nil {
		current = nil // the command is queued and has not been sent
	}
	switch {
	case current == nil && forward:
		r.out = append(r.out, ForwardReply{ReplyRequest{
			Backend: backend, Caller: flow.Source(), Target: flow.Destination(), Body: body,
		}})
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
	r.endRun(now, current, r.result(p, body))
	r.release(now, current)
	return r.take()
}

// result converts a backend server's reply to the result of its run.
func (r *Runner) result(p reply, body []byte) RunReply {
	switch {
	case p.shed:
		return RunReply{Outcome: RunNotRun, Reason: ReasonShed}
	case len(body) > r.cfg.MaxAnswer:
		return RunReply{Outcome: RunUnknown, Reason: ReasonAnswerTooLarge}
	}
	return RunReply{Outcome: RunAnswered, Answer: json.RawMessage(body)}
}

// endRun answers the calls that wait for a run.
func (r *Runner) endRun(now time.Time, current *run, reply RunReply) {
	for _, call := range current.calls {
		r.finish(now, call, reply)
	}
	current.calls = nil
	if s := r.runHistory[current.claim]; s != nil && s.running == current {
		s.running = nil
		s.mayHaveRun = reply.Outcome != RunNotRun
	}
}

// release frees the slot of a run and starts queued commands.
func (r *Runner) release(now time.Time, current *run) {
	delete(r.runs, current.key)
	r.slots.Release(current.token)
	q := r.queueOf(now, current.key.backend)
	q.running--
	r.startQueued(now, q)
}

// Expire cancels runs whose deadline has passed, refuses runs that have been
// queued too long and removes expired run histories. It must be called several
// times per second.
func (r *Runner) Expire(now time.Time) []Outcome {
	r.tick(now)
	for _, current := range r.order {
		if r.runs[current.key] == current {
			r.expireRun(now, current)
		}
	}
	r.order = slices.DeleteFunc(r.order, func(current *run) bool { return r.runs[current.key] != current })
	r.expireHistories(now)
	return r.take()
}

func (r *Runner) expireRun(now time.Time, current *run) {
	switch {
	case current.request != nil:
		if now.After(current.startBy) {
			r.refuseQueued(now, current, ReasonWaitExpired)
		}
	case current.cancelled && !now.Before(current.deadline.Add(cancelGrace)):
		r.release(now, current)
	case !current.cancelled && !now.Before(current.deadline):
		current.cancelled = true
		r.queueOf(now, current.key.backend).runTime.add(now.Sub(current.sentAt))
		r.out = append(r.out, Cancel{current.key.backend, current.key.flow, cancelNotification(current.key.id)})
		countRunRefused(ReasonNoAnswer)
		r.endRun(now, current, RunReply{Outcome: RunUnknown, Reason: ReasonNoAnswer})
	}
}

func (r *Runner) expireHistories(now time.Time) {
	n := 0
	for ; n < len(r.expiryQueue) && !r.expiryQueue[n].at.After(now); n++ {
		key := r.expiryQueue[n].key
		s := r.runHistory[key]
		if s.expires.After(now) {
			r.expiryQueue = append(r.expiryQueue, historyExpiry{key, s.expires})
			continue
		}
		delete(r.runHistory, key)
	}
	r.expiryQueue = r.expiryQueue[n:]
}
