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
	// Boot distinguishes the runs of this process from those of an earlier one.
	Boot uint64
	// Retention must be at least twice the longest command deadline.
	Retention time.Duration
	// ClaimTimeout bounds the wait for the other owner to store a claim, and
	// for the majority to be verified again. It should exceed the time in which
	// a death is detected, after which the bucket has another owner.
	ClaimTimeout time.Duration
	// PauseLimit is the gap between two calls after which the host no longer
	// counts as having seen every claim.
	PauseLimit    time.Duration
	MaxClaims     int
	MaxClaimBytes int
	MaxAnswer     int
	// TransferRate is the budget for passing claims to new owners, in bytes
	// per second.
	TransferRate int
	// AdmittingHost returns the present admitting host of a backend server. It
	// is asked when a candidate's host has refused because it is another one.
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
	claimRetryAfter = 100 * time.Millisecond
	// runMargin is left of the deadline for the admitting host's answer.
	runMargin    = 100 * time.Millisecond
	foreignGrace = 250 * time.Millisecond
	// maxClocks bounds the clocks kept of admitting hosts.
	maxClocks = 1024
	// minAttempt is the shortest time in which a command is given a chance.
	minAttempt = 50 * time.Millisecond
	// maxCandidates bounds the runs of one request.
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

// Conditions are what a host knows about its place in the fleet.
type Conditions struct {
	Serving bool
	// Majority says that this host sees a majority of the listed entry hosts as
	// alive.
	Majority bool
	// Quorum takes the place of Majority in fleets too large for it: it reports
	// whether this host sees a quorum of the voters of a service.
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

// Input is what the owner knows about a request. Candidates are in order of
// preference; each is tried at most once, and at most four of them.
type Input struct {
	Service    string
	Bucket     uint8
	Flow       packet.Key // of the caller's packet
	Idempotent bool
	Deadline   time.Duration // of the service's document
	Candidates []Candidate
}

// State is the owner side of commands.
type State struct {
	cfg           Config
	table         claimTable
	conditions    Conditions
	majorityGrace time.Duration
	leaving       bool
	services      map[string]*serviceOwners
	transfers     []*transfer
	transferBy    tokens
	handover      *handover // nil until a planned stop begins
	// stopping holds the hosts that stop with this host's confirmation, and
	// when they last asked for it.
	stopping map[string]time.Time
	retries  tokens
	nonce    uint64
	clocks   map[string]time.Duration // admitting hosts' clocks minus this host's
	last     time.Time
	out      []Outcome
}

// New returns a State that owns no bucket and starts no non-idempotent command
// until SetConditions and SetOwners are called.
func New(cfg Config, now time.Time) *State {
	cfg.setDefaults()
	return &State{
		cfg: cfg, table: newClaimTable(&cfg), services: make(map[string]*serviceOwners),
		transferBy: tokens{rate: float64(cfg.TransferRate), burst: float64(cfg.TransferRate), last: now},
		retries:    tokens{level: retryBurst, rate: retryPerSecond, burst: retryBurst, last: now},
		nonce:      cfg.Boot, clocks: make(map[string]time.Duration), stopping: make(map[string]time.Time), last: now,
	}
}

// begin notes the time of an event. After a pause other hosts may have run
// commands for this host's buckets, so it no longer counts as complete, and it
// starts nothing until SetConditions is called again.
func (s *State) begin(now time.Time) {
	if now.Sub(s.last) > s.cfg.PauseLimit {
		s.conditions = Conditions{}
		for _, so := range s.services {
			so.majority = false
			s.resetAges(so)
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
// each Expire. A host that learns that others had declared it dead must call it
// once with Serving false, since they may have run commands without it.
func (s *State) SetConditions(now time.Time, c Conditions) {
	s.begin(now)
	resumed := c.Serving && !s.conditions.Serving
	s.conditions = c
	for service, so := range s.services {
		s.setMajority(now, so, c.majority(service), resumed)
	}
}

// setMajority records whether this host sees a majority, or a quorum, for a
// service. resumed says that it has just started to serve.
func (s *State) setMajority(now time.Time, so *serviceOwners, majority, resumed bool) {
	if majority {
		so.majorityAt = s.last
	}
	switch {
	case !s.conditions.Serving || !majority && s.last.Sub(so.majorityAt) >= s.majorityGrace:
		s.resetAges(so)
	case majority && (resumed || !so.majority):
		s.startAges(now, so)
	}
	so.majority = majority
}

// SetMajorityGrace sets for how long the majority may be missing before this
// host no longer counts as complete. It may only be more than 0 while a
// majority means that each of its hosts has answered since the last suspicion:
// had others run commands as owners in the meantime, one of these answers would
// have told this host that it was declared dead. The death of any entry host
// leaves the majority unverified for some tenths of a second.
func (s *State) SetMajorityGrace(d time.Duration) { s.majorityGrace = d }

// verifying reports whether the majority of a service is missing only for as
// long as it may take to verify it again.
func (s *State) verifying(now time.Time, service string) bool {
	so := s.services[service]
	return so != nil && now.Sub(so.majorityAt) < s.majorityGrace
}

// Leave stops the start of new requests; those in progress finish.
func (s *State) Leave() { s.leaving = true }

// InProgress returns the number of commands, waiting callers and transfers
// that a graceful shutdown has to wait for.
func (s *State) InProgress() int {
	n := 0
	for _, c := range s.table.open {
		if c.state == Pending && (c.run != nil || c.waiting) {
			n++
		}
	}
	return n + len(s.transfers)
}

// Claims returns the number of claims held and an estimate of their memory.
func (s *State) Claims() (n, bytes int) { return len(s.table.claims), s.table.bytes }

// Request handles a caller's request that reached this host as the owner of
// its bucket.
func (s *State) Request(now time.Time, in Input, req Request) []Outcome {
	s.begin(now)
	s.retries.refill(now)
	s.retries.add(retryShare)
	requests.Inc()
	key := ClaimKey{Service: in.Service, Caller: in.Flow.Source(), ID: req.ID}
	switch c := s.table.claims[key]; {
	case c == nil:
		s.first(now, key, in, req)
	case in.Idempotent && c.state == Unknown && c.digest == req.Digest:
		s.table.remove(c)
		s.first(now, key, in, req)
	default:
		s.repeat(now, c, in, req)
	}
	return s.take()
}

func (s *State) repeat(now time.Time, c *claim, in Input, req Request) {
	if c.digest != req.Digest {
		countRepeat(ReasonMismatch)
		s.emit(Answer{in.Flow, ErrorResponse(req.ID, CodeMismatch, ReasonMismatch)})
		return
	}
	s.table.touch(now, c)
	c.flow = in.Flow
	if c.state == Pending {
		countRepeat(ReasonPending)
		c.waiting = true
		return
	}
	countRepeat(ReasonReplayed)
	s.emit(Answer{c.flow, s.answerFor(c)})
	if !c.idempotent && now.Sub(c.synced) >= s.cfg.Retention/4 {
		s.tellOthers(now, c, "")
	}
}

// answerFor returns what the caller of a settled claim is told.
func (s *State) answerFor(c *claim) []byte {
	if c.state == Answered && len(c.answer) > 0 {
		return c.answer
	}
	reason := c.reason
	if reason == "" {
		reason = ReasonNoAnswer
	}
	return ErrorResponse(c.key.ID, CodeUnknown, reason)
}

// first handles a request without a claim.
func (s *State) first(now time.Time, key ClaimKey, in Input, req Request) {
	owners := s.owners(in.Service, in.Bucket)
	if s.leaving || owners.Primary != s.cfg.Self {
		s.elsewhere(owners, in, req)
		return
	}
	if reason, ok := s.mayStart(now, in); !ok {
		s.reject(in, req, reason)
		return
	}
	deadline := in.Deadline
	if req.Deadline > 0 {
		deadline = min(deadline, req.Deadline)
	}
	c := &claim{
		key: key, owner: ClaimOwner{s.cfg.Self, s.nextNonce()}, bucket: in.Bucket, digest: req.Digest,
		state: Pending, idempotent: in.Idempotent, flow: in.Flow, waiting: true, deadline: now.Add(deadline),
		run: &runState{
			request: req, claimingSince: now, options: newOptions(in.Candidates),
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

// mayStart checks what can be checked before the claim is stored.
func (s *State) mayStart(now time.Time, in Input) (Reason, bool) {
	switch {
	case !s.conditions.Serving:
		return ReasonNotServing, false
	case s.table.full():
		return ReasonClaimsFull, false
	case !in.Idempotent && !s.majority(in.Service) && !s.verifying(now, in.Service):
		return ReasonNoMajority, false
	}
	return "", true
}

// reject answers a request for which no claim is held. A duplicate of it may
// have run elsewhere or may still run, so "not run" would be a guess.
func (s *State) reject(in Input, req Request, reason Reason) {
	countUnknown(reason)
	s.emit(Answer{in.Flow, ErrorResponse(req.ID, CodeUnknown, reason)})
}

func (s *State) elsewhere(owners Owners, in Input, req Request) {
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
