package command

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Config holds the settings of a State and a Runner. Zero values select the
// defaults.
type Config struct {
	Self string
	// Boot is the base of the nonces that distinguish the claims of this process
	// from those of an earlier process of the host.
	Boot uint64
	// Retention must be at least twice the longest command deadline.
	Retention time.Duration
	// ClaimTimeout bounds the wait for the other owner to store a claim, and
	// for the majority to be verified again. It should exceed the time in which
	// the death of a host is detected, after which the bucket has a new owner.
	ClaimTimeout time.Duration
	// PauseLimit is the longest gap between two calls. After a longer one, this
	// host is treated as paused and no longer counts as having seen every claim.
	PauseLimit    time.Duration
	MaxClaims     int
	MaxClaimBytes int
	MaxAnswer     int // bytes
	// TransferRate limits the transfer of claims to new owners, in bytes per
	// second.
	TransferRate int
	// AdmittingHost returns the present admitting host of a backend server. It
	// is called when a candidate's host has refused a run because another host
	// admits the backend server's commands.
	AdmittingHost func(netip.AddrPort) string
}

// Defaults of Config.
const (
	DefaultRetention     = 30 * time.Second
	DefaultClaimTimeout  = 2500 * time.Millisecond
	DefaultPauseLimit    = time.Second
	DefaultMaxClaims     = 20000
	DefaultMaxClaimBytes = 24 << 20
	DefaultTransferRate  = 2048
)

const (
	// claimRetryAfter is the time after a failed command.claim call before the
	// claim is sent again.
	claimRetryAfter = 100 * time.Millisecond
	// runMargin is the part of the deadline that is reserved for the reply of the
	// admitting host.
	runMargin = 100 * time.Millisecond
	// remoteResultGrace is added to the deadline of a command that another host
	// runs, so that the message with its result can arrive.
	remoteResultGrace = 250 * time.Millisecond
	// maxClocks bounds the clock offsets kept of admitting hosts.
	maxClocks = 1024
	// minAttempt is the shortest time that is given to an attempt. A command with
	// less time left is not started.
	minAttempt = 50 * time.Millisecond
	// maxCandidates bounds the backend servers on which one request is tried.
	maxCandidates = 4
)

func (c *Config) setDefaults() {
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, DefaultClaimTimeout)
	c.PauseLimit = cmp.Or(c.PauseLimit, DefaultPauseLimit)
	c.MaxClaims = cmp.Or(c.MaxClaims, DefaultMaxClaims)
	c.MaxClaimBytes = cmp.Or(c.MaxClaimBytes, DefaultMaxClaimBytes)
	c.MaxAnswer = cmp.Or(c.MaxAnswer, MaxAnswerBytes)
	c.TransferRate = cmp.Or(c.TransferRate, DefaultTransferRate)
}

// Conditions are the conditions under which this host may start commands.
type Conditions struct {
	// Serving is false while this host must not start commands, for example after
	// others have declared it dead.
	Serving bool
	// Majority reports whether this host sees a majority of the listed entry
	// hosts as alive.
	Majority bool
	// Quorum replaces Majority if it is set, which is meant for deployments too
	// large for a majority of all hosts. It reports whether this host sees a
	// quorum of the voters of a service.
	Quorum func(service string) bool
}

func (c *Conditions) majority(service string) bool {
	if c.Quorum != nil {
		return c.Quorum(service)
	}
	return c.Majority
}

// Candidate is a backend server that may run a command, and its admitting host.
type Candidate struct {
	Backend netip.AddrPort
	Host    string
}

// Input is the context of a request at the owner of its bucket. Candidates are
// in order of preference; each is tried at most once, and at most four of them.
type Input struct {
	Service    string
	Bucket     uint8
	Flow       packet.Key // of the caller's packet
	Idempotent bool
	Deadline   time.Duration // configured for the service
	Candidates []Candidate
}

// State implements the owner side of commands.
type State struct {
	cfg            Config
	table          claimTable
	conditions     Conditions
	majorityGrace  time.Duration
	leaving        bool
	services       map[string]*serviceOwners
	transfers      []*transfer
	transferBudget tokenBucket
	handover       *handover // nil until a planned stop begins
	// confirmedStops holds the hosts for whose planned stop this host has
	// confirmed buckets, and when it last did so.
	confirmedStops map[string]time.Time
	retryBudget    tokenBucket
	nonce          uint64
	clockOffsets   map[string]time.Duration // admitting hosts' clocks minus this host's
	last           time.Time
	out            []Outcome
}

// New returns a State that owns no bucket and starts no non-idempotent command
// until SetConditions and SetOwners are called.
func New(cfg Config, now time.Time) *State {
	cfg.setDefaults()
	return &State{
		cfg: cfg, table: newClaimTable(&cfg), services: make(map[string]*serviceOwners),
		transferBudget: tokenBucket{rate: float64(cfg.TransferRate), burst: float64(cfg.TransferRate), last: now},
		retryBudget:    tokenBucket{level: retryBurst, rate: retryPerSecond, burst: retryBurst, last: now},
		nonce:          cfg.Boot, clockOffsets: make(map[string]time.Duration),
		confirmedStops: make(map[string]time.Time), last: now,
	}
}

// advance records the time of an event. During a pause longer than PauseLimit
// other hosts may have run commands of this host's buckets. After such a pause
// no bucket counts as complete, and this host starts no command until
// SetConditions is called again.
func (s *State) advance(now time.Time) {
	if now.Sub(s.last) > s.cfg.PauseLimit {
		s.conditions = Conditions{}
		for _, so := range s.services {
			so.majority = false
			s.resetCoverage(so)
		}
	}
	s.last = laterOf(now, s.last)
}

func (s *State) nextNonce() uint64 {
	s.nonce++
	return s.nonce
}

func (s *State) emit(o Outcome) { s.out = append(s.out, o) }

func (s *State) take() []Outcome {
	out := s.out
	s.out = nil
	return out
}

// SetConditions must be called after each change of the membership and with
// each Expire. After this host has learned that others had declared it dead,
// SetConditions must be called once with Serving false, since these hosts may
// have run commands that this host has not seen.
func (s *State) SetConditions(now time.Time, c Conditions) {
	s.advance(now)
	resumed := c.Serving && !s.conditions.Serving
	s.conditions = c
	for service, so := range s.services {
		s.setMajority(now, so, c.majority(service), resumed)
	}
}

// setMajority records whether this host sees a majority, or a quorum, for a
// service. resumed is set if this host has just started to serve.
func (s *State) setMajority(now time.Time, so *serviceOwners, majority, resumed bool) {
	if majority {
		so.majorityAt = s.last
	}
	switch {
	case !s.conditions.Serving || !majority && s.last.Sub(so.majorityAt) >= s.majorityGrace:
		s.resetCoverage(so)
	case majority && (resumed || !so.majority):
		s.startCoverage(now, so)
	}
	so.majority = majority
}

// SetMajorityGrace sets for how long the majority may be missing before this
// host no longer counts as complete. d may exceed 0 only if each host of a
// majority has answered since the last suspicion: if other hosts had run
// commands as owners in the meantime, one of these answers would have reported
// that this host was declared dead. After the death of any entry host, the
// majority is unverified for some tenths of a second.
func (s *State) SetMajorityGrace(d time.Duration) { s.majorityGrace = d }

// inMajorityGrace reports whether this host has seen a majority for the service
// within the grace period of SetMajorityGrace.
func (s *State) inMajorityGrace(now time.Time, service string) bool {
	so := s.services[service]
	return so != nil && now.Sub(so.majorityAt) < s.majorityGrace
}

// Leave makes this host forward new requests to another owner of their bucket, or
// reject them if there is none. Commands in progress finish.
func (s *State) Leave() { s.leaving = true }

// InProgress returns the number of commands, waiting callers and transfers
// that a graceful shutdown has to wait for.
func (s *State) InProgress() int {
	n := 0
	for _, c := range s.table.unsettled {
		if c.state == Pending && (c.run != nil || c.callerWaiting) {
			n++
		}
	}
	return n + len(s.transfers)
}

// Claims returns the number of claims held and an estimate of their memory in
// bytes.
func (s *State) Claims() (n, bytes int) { return len(s.table.claims), s.table.bytes }

// Request handles a caller's request that was sent to this host as an owner of
// its bucket.
func (s *State) Request(now time.Time, in Input, req Request) []Outcome {
	s.advance(now)
	s.retryBudget.refill(now)
	s.retryBudget.add(retryShare)
	requests.Inc()
	key := ClaimKey{Service: in.Service, Caller: in.Flow.Source(), ID: req.ID}
	switch c := s.table.claims[key]; {
	case c == nil:
		s.handleNew(now, key, in, req)
	case in.Idempotent && c.state == Unknown && c.digest == req.Digest:
		s.table.remove(c)
		s.handleNew(now, key, in, req)
	default:
		s.handleRepeat(now, c, in, req)
	}
	return s.take()
}

// handleRepeat handles a request that has a claim.
func (s *State) handleRepeat(now time.Time, c *claim, in Input, req Request) {
	if c.digest != req.Digest {
		countRepeat(ReasonMismatch)
		s.emit(Answer{in.Flow, ErrorResponse(req.ID, CodeMismatch, ReasonMismatch)})
		return
	}
	s.table.touch(now, c)
	c.flow = in.Flow
	if c.state == Pending {
		countRepeat(ReasonPending)
		c.callerWaiting = true
		return
	}
	countRepeat(ReasonReplayed)
	s.emit(Answer{c.flow, s.storedAnswer(c)})
	if !c.idempotent && now.Sub(c.syncedAt) >= s.cfg.Retention/4 {
		s.notifyOwners(now, c, "")
	}
}

// storedAnswer returns the answer to the caller of a settled claim.
func (s *State) storedAnswer(c *claim) []byte {
	if c.state == Answered && len(c.answer) > 0 {
		return c.answer
	}
	reason := c.reason
	if reason == "" {
		reason = ReasonNoAnswer
	}
	return ErrorResponse(c.key.ID, CodeUnknown, reason)
}

// handleNew handles a request without a claim.
func (s *State) handleNew(now time.Time, key ClaimKey, in Input, req Request) {
	owners := s.owners(in.Service, in.Bucket)
	if s.leaving || owners.Primary != s.cfg.Self {
		s.forwardRequest(owners, in, req)
		return
	}
	if reason, ok := s.claimAllowed(now, in); !ok {
		s.reject(in, req, reason)
		return
	}
	deadline := in.Deadline
	if req.Deadline > 0 {
		deadline = min(deadline, req.Deadline)
	}
	c := &claim{
		key: key, owner: ClaimOwner{s.cfg.Self, s.nextNonce()}, bucket: in.Bucket, digest: req.Digest,
		state: Pending, idempotent: in.Idempotent, flow: in.Flow, callerWaiting: true, deadline: now.Add(deadline),
		run: &runState{
			request: req, claimingSince: now, candidateSet: newCandidateSet(in.Candidates),
		},
	}
	s.table.insert(now, c)
	c.run.phase = phaseClaiming
	if c.idempotent || owners.other(s.cfg.Self) == "" {
		s.start(now, c)
		return
	}
	s.storeClaim(now, c, owners.other(s.cfg.Self))
}

// claimAllowed checks the conditions that are known before the claim is stored.
func (s *State) claimAllowed(now time.Time, in Input) (Reason, bool) {
	switch {
	case !s.conditions.Serving:
		return ReasonNotServing, false
	case s.table.full():
		return ReasonClaimsFull, false
	case !in.Idempotent && !s.majority(in.Service) && !s.inMajorityGrace(now, in.Service):
		return ReasonNoMajority, false
	}
	return "", true
}

// reject answers a request for which this host holds no claim. The answer is
// "outcome unknown" because a duplicate of the request may have run on another
// host or may still run.
func (s *State) reject(in Input, req Request, reason Reason) {
	countUnknown(reason)
	s.emit(Answer{in.Flow, ErrorResponse(req.ID, CodeUnknown, reason)})
}

// forwardRequest forwards a request to another owner of its bucket, or rejects it
// if there is none.
func (s *State) forwardRequest(owners Owners, in Input, req Request) {
	to := owners.Primary
	if to == s.cfg.Self {
		to = owners.Secondary
	}
	reason := ReasonNotOwner
	if s.leaving {
		reason = ReasonLeaving
	}
	if to == "" {
		s.reject(in, req, reason)
		return
	}
	count("forwarded", reason)
	s.emit(Forward{to})
}
