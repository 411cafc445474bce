package command

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

const (
	testService = "gridwatch"
	testDelay   = time.Millisecond
	callTimeout = 400 * time.Millisecond
)

var (
	testStart  = time.Unix(1_700_000_000, 0)
	testTarget = netip.MustParseAddrPort("198.51.100.10:7002")
	testCaller = netip.MustParseAddrPort("203.0.113.5:4000")
)

// sim simulates a network of owners, runners and fake backend servers. It calls
// the API of this package in place of the daemon and has its own clock.
type sim struct {
	tb       testing.TB
	now      time.Time
	queue    []simEvent // in order of at
	seq      int
	rand     *rand.Rand
	hosts    map[string]*simHost
	backends map[netip.AddrPort]*simBackend
	// fault returns the fault of a message. kind is a method, "backend", "reply" or
	// "request"; from and to are hosts, empty for callers and backend servers.
	fault   func(kind, from, to string) simFault
	answers map[string][]simAnswer // by request id
	slots   func() Slots           // returns the slots of a host that starts

	measureTo time.Time // end of the period that simBackend.busyTime covers
}

type simFault struct {
	lost, duplicate bool
	delay           time.Duration
}

type simAnswer struct {
	at     time.Duration
	body   string
	code   int
	reason Reason
}

type simHost struct {
	id     string
	state  *State
	runner *Runner
	dead   bool
	paused time.Time
	boot   uint64
	calls  map[uint64]func(RunReply)

	results *Results
	process map[string]uint64 // by host
}

type simBackend struct {
	runs            map[string]int
	shedFirst       int // number of requests that are rejected first
	runTime         time.Duration
	variableRunTime bool // run times are random, from 0.5 to 1.5 times runTime
	answer          string

	running, maxRunning int
	busyTime            time.Duration // sum of the run times before measureTo
}

type simEvent struct {
	at   time.Time
	host string // if set, the event is dropped if the host is dead and delayed while it is paused
	boot uint64
	run  func()
}

type freeSlots struct{ taken, limit int }

func (f *freeSlots) Check(time.Time, netip.AddrPort, time.Time) Refusal {
	if f.limit > 0 && f.taken >= f.limit {
		return SlotsBusy
	}
	return ""
}

func (f *freeSlots) Acquire(time.Time, netip.AddrPort, time.Time) (Token, Refusal) {
	if refusal := f.Check(time.Time{}, netip.AddrPort{}, time.Time{}); refusal != "" {
		return 0, refusal
	}
	f.taken++
	return Token(f.taken), ""
}
func (f *freeSlots) Release(Token) { f.taken-- }

func newSim(tb testing.TB, hosts ...string) *sim {
	s := &sim{
		tb: tb, now: testStart, rand: rand.New(rand.NewSource(1)), hosts: make(map[string]*simHost),
		backends: make(map[netip.AddrPort]*simBackend), answers: make(map[string][]simAnswer),
		fault: func(string, string, string) simFault { return simFault{} },
		slots: func() Slots { return &freeSlots{} },
	}
	for _, id := range hosts {
		s.hosts[id] = &simHost{id: id}
		s.restart(id)
	}
	for n := 1; n <= 3; n++ {
		s.setBackend(n, simBackend{})
	}
	return s
}

// restart starts a host with empty state, as after a crash.
func (s *sim) restart(id string) {
	h := s.hosts[id]
	h.boot++
	h.dead = false
	cfg := Config{Self: id, Boot: h.boot<<32 | uint64(id[0])<<24}
	h.state, h.runner = New(cfg, s.now), NewRunner(cfg, s.slots())
	h.calls = make(map[uint64]func(RunReply))
	h.results, h.process = NewResults(cfg), make(map[string]uint64)
	s.tick(h)
}

func (s *sim) tick(h *simHost) {
	s.at(s.now.Add(50*time.Millisecond), h, func() {
		s.perform(h, h.state.Expire(s.now))
		s.perform(h, h.runner.Expire(s.now))
		s.tick(h)
	})
}

func (s *sim) at(t time.Time, h *simHost, run func()) {
	e := simEvent{at: t, run: run}
	if h != nil {
		e.host, e.boot = h.id, h.boot
	}
	s.push(e)
}

func (s *sim) push(e simEvent) {
	i := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at.After(e.at) })
	s.queue = slices.Insert(s.queue, i, e)
}

func (s *sim) atOffset(d time.Duration, run func()) { s.at(testStart.Add(d), nil, run) }

func (s *sim) runTo(d time.Duration) {
	end := testStart.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		if h := s.hosts[e.host]; h != nil {
			if h.dead || h.boot != e.boot {
				continue
			}
			if h.paused.After(s.now) {
				e.at = h.paused
				s.push(e)
				continue
			}
		}
		e.run()
	}
	s.now = end
}

// setView gives a host a view of the owners of all buckets.
func (s *sim) setView(id string, o Owners, majority bool) {
	h := s.hosts[id]
	if h.dead {
		return
	}
	h.state.SetConditions(s.now, Conditions{Majority: majority, Serving: true})
	s.perform(h, h.state.SetOwners(s.now, testService, allBuckets(o)))
}

// allBuckets returns owners o for all buckets.
func allBuckets(o Owners) *[buckets]Owners {
	var owners [buckets]Owners
	for b := range owners {
		owners[b] = o
	}
	return &owners
}

// warmUp gives all hosts the same owners for longer than the retention period, so
// that the owners are complete. It returns the time since testStart.
func (s *sim) warmUp(o Owners) time.Duration {
	for id := range s.hosts {
		s.setView(id, o, true)
	}
	s.runTo(DefaultRetention + time.Second)
	return DefaultRetention + time.Second
}

func (s *sim) backend(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 10, byte(n)}), 6080)
}

// request sends a caller's request to a host.
func (s *sim) request(host, id, method string, candidates ...Candidate) {
	body := fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%q,"method":%q,"params":[1]}`, id, method)
	req, err := ParseRequest(body)
	if err != nil {
		s.tb.Fatal(err)
	}
	in := testInput(candidates)
	in.Idempotent = method == "status"
	s.send("request", "", s.hosts[host], func(h *simHost) { s.handleRequest(h, in, req, 3) })
}

func testInput(candidates []Candidate) Input {
	return Input{
		Service: testService, Bucket: 7, Flow: packet.NewKey(testCaller, testTarget, packet.ProtoUDP),
		Deadline: 5 * time.Second, Candidates: candidates,
	}
}

func (s *sim) handleRequest(h *simHost, in Input, req Request, hops int) {
	for _, o := range h.state.Request(s.now, in, req) {
		if f, ok := o.(Forward); !ok {
			s.perform(h, []Outcome{o})
		} else if hops > 0 {
			s.send("request", h.id, s.hosts[f.To], func(h *simHost) { s.handleRequest(h, in, req, hops-1) })
		}
	}
}

func (s *sim) send(kind, from string, to *simHost, run func(*simHost)) {
	f := s.fault(kind, from, to.id)
	if f.lost {
		return
	}
	s.at(s.now.Add(testDelay+f.delay), to, func() { run(to) })
	if f.duplicate {
		s.at(s.now.Add(2*testDelay+2*f.delay), to, func() { run(to) })
	}
}

// call sends message as JSON to a host and the reply back. result runs once,
// with CallLost when the call times out.
func call[M, R any](s *sim, kind string, from *simHost, to string, timeout time.Duration, message M, serve func(*simHost, M, func(R)), result func(R, CallStatus)) {
	raw, err := json.Marshal(message)
	if err != nil {
		s.tb.Fatal(err)
	}
	done := false
	finish := func(r R, status CallStatus) {
		if !done {
			done = true
			result(r, status)
		}
	}
	var none R
	s.at(s.now.Add(timeout), from, func() { finish(none, CallLost) })
	s.send(kind, from.id, s.hosts[to], func(h *simHost) {
		var m M
		s.decode(raw, &m)
		serve(h, m, func(r R) { s.send(kind, h.id, from, func(*simHost) { finish(r, CallDone) }) })
	})
}

func (s *sim) perform(h *simHost, out []Outcome) {
	for _, o := range out {
		switch o := o.(type) {
		case StoreClaim:
			call(s, MethodClaim, h, o.To, callTimeout, o.Message,
				func(to *simHost, m ClaimRequest, reply func(ClaimReply)) { reply(to.state.Claim(s.now, h.id, m)) },
				func(r ClaimReply, status CallStatus) {
					s.perform(h, h.state.ClaimResult(s.now, o.To, o.Ref, r, status))
				})
		case Run:
			call(s, MethodRun, h, o.Host, 6*time.Second, o.Message,
				func(to *simHost, m RunRequest, reply func(RunReply)) {
					s.seq++
					process := to.process[m.Origin]
					to.calls[uint64(s.seq)] = func(r RunReply) {
						to.results.Add(s.now, process, m, r)
						reply(r)
					}
					s.perform(to, to.runner.Run(s.now, uint64(s.seq), m, true))
				},
				func(r RunReply, status CallStatus) { s.perform(h, h.state.RunResult(s.now, o.Host, o.Ref, r, status)) })
		case Complete:
			call(s, MethodComplete, h, o.To, callTimeout, o.Message,
				func(to *simHost, m CompleteRequest, _ func(int)) { s.perform(to, to.state.Complete(s.now, h.id, m)) },
				func(int, CallStatus) {})
		case Transfer:
			call(s, MethodTransfer, h, o.To, callTimeout, o.Message,
				func(to *simHost, m TransferRequest, reply func(TransferReply)) {
					r, out := to.state.Transfer(s.now, h.id, m)
					s.perform(to, out)
					reply(r)
				},
				func(r TransferReply, status CallStatus) {
					s.perform(h, h.state.TransferResult(s.now, o.Seq, r, status))
				})
		case QueryCoverage:
			call(s, MethodCoverage, h, o.To, callTimeout, o.Message,
				func(to *simHost, m CoverageRequest, reply func(CoverageReply)) {
					reply(to.state.Coverage(s.now, h.id, m))
				},
				func(r CoverageReply, status CallStatus) {
					s.perform(h, h.state.CoverageResult(s.now, o.To, o.Message, r, status))
				})
		case Answer:
			s.answered(o)
		case SendBackend:
			s.deliver(h, o)
		case Finish:
			h.calls[o.Call](o.Reply)
		}
	}
}

func (s *sim) decode(b []byte, into any) {
	if err := json.Unmarshal(b, into); err != nil {
		s.tb.Fatalf("%q: %v", b, err)
	}
}

func (s *sim) answered(o Answer) {
	var m struct {
		ID    string
		Error struct {
			Code int
			Data errorData
		}
	}
	s.decode(o.Body, &m)
	s.answers[m.ID] = append(s.answers[m.ID], simAnswer{s.now.Sub(testStart), string(o.Body), m.Error.Code, m.Error.Data.Reason})
}

// deliver passes a request to a fake backend server and sends its reply.
func (s *sim) deliver(h *simHost, o SendBackend) {
	b := s.backends[o.Backend]
	var m struct{ ID, Method string }
	s.decode(o.Body, &m)
	if s.fault("backend", h.id, "").lost {
		return
	}
	runTime := b.runTime
	if b.variableRunTime {
		runTime += time.Duration((s.rand.Float64() - 0.5) * float64(runTime))
	}
	body := fmt.Sprintf(`{"jsonrpc":"2.0","id":%q,"result":%q}`, m.ID, "done "+m.ID+b.answer)
	if b.shedFirst > 0 {
		b.shedFirst--
		b.running++ // until the reply is sent
		body = fmt.Sprintf(`{"jsonrpc":"2.0","id":%q,"error":{"code":-32001,"message":"shed"}}`, m.ID)
	} else {
		b.runs[m.ID]++
		b.running++
		b.maxRunning = max(b.maxRunning, b.running)
		b.busyTime += max(0, min(runTime, s.measureTo.Sub(s.now)))
	}
	s.at(s.now.Add(runTime), nil, func() {
		b.running--
		s.send("reply", "", h, func(h *simHost) {
			s.perform(h, h.runner.Reply(s.now, o.Backend, o.Flow, []byte(body), false))
		})
	})
}

func (s *sim) setBackend(n int, b simBackend) {
	b.runs = make(map[string]int)
	s.backends[s.backend(n)] = &b
}

func (s *sim) runs(id string) (n int) {
	for _, b := range s.backends {
		n += b.runs[id]
	}
	return n
}

// lastAnswer describes the last answer to a request: "answer" for a result, the
// code and reason of an error, or "nothing".
func (s *sim) lastAnswer(id string) string {
	a := s.answers[id]
	if len(a) == 0 {
		return "nothing"
	}
	if a[len(a)-1].code == 0 {
		return "answer"
	}
	return fmt.Sprintf("%d %s", a[len(a)-1].code, a[len(a)-1].reason)
}
