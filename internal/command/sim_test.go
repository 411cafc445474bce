package command

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/netip"
	"strings"
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

// sim connects owners, runners and fake backend servers by messages with
// explicit times. It is a fake at the interfaces of this package.
type sim struct {
	tb       testing.TB
	now      time.Time
	queue    simQueue
	seq      int
	rand     *rand.Rand
	hosts    map[string]*simHost
	backends map[netip.AddrPort]*simBackend
	// fault decides about each message: kind is a method, "backend", "reply" or "request".
	fault    func(kind, from, to string) simFault
	answers  map[string][]simAnswer // by request id
	messages map[string]int         // bytes by method
	methods  map[string]string
}

type simFault struct {
	lost, duplicate bool
	delay           time.Duration
}

type simAnswer struct {
	at   time.Duration
	body string
	code int
}

type simHost struct {
	id     string
	state  *State
	runner *Runner
	dead   bool
	paused time.Time
	boot   uint64
	calls  map[uint64]func(RunReply)
}

type simBackend struct {
	ran     map[string]int
	sheds   int // number of requests to reject first
	silent  bool
	service time.Duration
	answer  string
	cancels int
}

type simEvent struct {
	at   time.Time
	seq  int
	host string // "" runs always; otherwise not on a dead or paused host
	boot uint64
	run  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type freeSlots struct{ taken, limit int }

func (f *freeSlots) Acquire(time.Time, netip.AddrPort, time.Time) (Token, Refusal) {
	if f.limit > 0 && f.taken >= f.limit {
		return 0, "busy"
	}
	f.taken++
	return Token(f.taken), ""
}
func (f *freeSlots) Release(Token) { f.taken-- }

func newSim(tb testing.TB, hosts ...string) *sim {
	s := &sim{
		tb: tb, now: testStart, rand: rand.New(rand.NewSource(1)), hosts: make(map[string]*simHost),
		backends: make(map[netip.AddrPort]*simBackend), answers: make(map[string][]simAnswer),
		messages: make(map[string]int), methods: make(map[string]string),
		fault: func(string, string, string) simFault { return simFault{} },
	}
	for _, id := range hosts {
		s.hosts[id] = &simHost{id: id}
		s.restart(id)
	}
	return s
}

// restart replaces the host's memory, as after a crash.
func (s *sim) restart(id string) {
	h := s.hosts[id]
	h.boot++
	h.dead = false
	cfg := Config{Self: id, Boot: h.boot<<32 | uint64(id[0])<<24}
	h.state, h.runner = New(cfg, s.now), NewRunner(cfg, &freeSlots{})
	h.calls = make(map[uint64]func(RunReply))
	s.tick(h)
}

func (s *sim) tick(h *simHost) {
	s.at(s.now.Add(50*time.Millisecond), h, func() {
		s.do(h, h.state.Expire(s.now))
		s.do(h, h.runner.Expire(s.now))
		s.tick(h)
	})
}

func (s *sim) at(t time.Time, h *simHost, run func()) {
	e := simEvent{at: t, seq: s.seq, run: run}
	if h != nil {
		e.host, e.boot = h.id, h.boot
	}
	s.seq++
	heap.Push(&s.queue, e)
}

func (s *sim) after(d time.Duration, run func()) { s.at(testStart.Add(d), nil, run) }

func (s *sim) runTo(d time.Duration) {
	end := testStart.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		if h := s.hosts[e.host]; h != nil {
			if h.dead || h.boot != e.boot {
				continue
			}
			if h.paused.After(s.now) {
				e.at = h.paused
				heap.Push(&s.queue, e)
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
	var owners [buckets]Owners
	for b := range owners {
		owners[b] = o
	}
	h.state.SetConditions(s.now, Conditions{Majority: majority, Serving: true})
	s.do(h, h.state.SetOwners(s.now, testService, &owners))
}

// warm gives all hosts the same owners for longer than the retention.
func (s *sim) warm(o Owners) time.Duration {
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
	s.methods[id] = method
	in := Input{
		Service: testService, Bucket: 7, Flow: packet.NewKey(testCaller, testTarget, packet.ProtoUDP),
		Idempotent: method == "status", Deadline: 5 * time.Second, Candidates: candidates,
	}
	s.send("request", "", s.hosts[host], len(body), func(h *simHost) { s.forwardable(h, in, req, 3) }, nil)
}

func (s *sim) forwardable(h *simHost, in Input, req Request, hops int) {
	for _, o := range h.state.Request(s.now, in, req) {
		f, ok := o.(Forward)
		if !ok {
			s.do(h, []Outcome{o})
			continue
		}
		if to := s.hosts[f.To]; hops > 0 {
			s.send("request", h.id, to, 0, func(h *simHost) { s.forwardable(h, in, req, hops-1) }, nil)
		}
	}
}

// send delivers a message to a host. failed runs when it is lost.
func (s *sim) send(kind, from string, to *simHost, size int, run func(*simHost), failed func()) {
	s.messages[kind] += size
	f := s.fault(kind, from, to.id)
	if f.lost {
		if failed != nil {
			failed()
		}
		return
	}
	s.at(s.now.Add(testDelay+f.delay), to, func() { run(to) })
	if f.duplicate {
		s.at(s.now.Add(2*testDelay+2*f.delay), to, func() { run(to) })
	}
}

// call sends a request to a host and the reply back. result runs once, with
// CallLost when the call times out.
func (s *sim) call(kind string, from *simHost, to string, timeout time.Duration, message any, serve func(*simHost, func(any)), result func(any, CallStatus)) {
	raw, err := json.Marshal(message)
	if err != nil {
		s.tb.Fatal(err)
	}
	done := false
	finish := func(v any, status CallStatus) {
		if !done {
			done = true
			result(v, status)
		}
	}
	s.at(s.now.Add(timeout), from, func() { finish(nil, CallLost) })
	s.send(kind, from.id, s.hosts[to], len(raw), func(h *simHost) {
		serve(h, func(v any) {
			raw, _ := json.Marshal(v)
			s.send(kind, h.id, from, len(raw), func(*simHost) { finish(v, CallDone) }, nil)
		})
	}, nil)
}

func (s *sim) do(h *simHost, out []Outcome) {
	for _, o := range out {
		s.one(h, o)
	}
}

func (s *sim) one(h *simHost, o Outcome) {
	switch o := o.(type) {
	case StoreClaim:
		s.call(MethodClaim, h, o.To, callTimeout, o.Message,
			func(to *simHost, reply func(any)) { reply(to.state.Claim(s.now, h.id, o.Message)) },
			func(v any, status CallStatus) {
				r, _ := v.(ClaimReply)
				s.do(h, h.state.ClaimResult(s.now, o.To, o.Ref, r, status))
			})
	case Run:
		s.call(MethodRun, h, o.Host, 6*time.Second, o.Message,
			func(to *simHost, reply func(any)) {
				s.seq++
				id := uint64(s.seq)
				to.calls[id] = func(r RunReply) { reply(r) }
				s.do(to, to.runner.Run(s.now, id, o.Message, true))
			},
			func(v any, status CallStatus) {
				r, _ := v.(RunReply)
				s.do(h, h.state.RunResult(s.now, o.Host, o.Ref, r, status))
			})
	case Complete:
		s.call(MethodComplete, h, o.To, callTimeout, o.Message,
			func(to *simHost, _ func(any)) { s.do(to, to.state.Complete(s.now, h.id, o.Message)) },
			func(any, CallStatus) {})
	case Transfer:
		s.call(MethodTransfer, h, o.To, callTimeout, o.Message,
			func(to *simHost, reply func(any)) {
				r, out := to.state.Transfer(s.now, h.id, o.Message)
				s.do(to, out)
				reply(r)
			},
			func(v any, status CallStatus) {
				r, _ := v.(TransferReply)
				s.do(h, h.state.TransferResult(s.now, o.Seq, r, status))
			})
	case Answer:
		s.answered(o)
	case SendBackend:
		s.deliver(h, o)
	case Cancel:
		if b := s.backends[o.Backend]; b != nil {
			b.cancels++
		}
	case Finish:
		h.calls[o.Call](o.Reply)
	}
}

func (s *sim) answered(o Answer) {
	var m struct {
		ID    string
		Error struct{ Code int }
	}
	if err := json.Unmarshal(o.Body, &m); err != nil {
		s.tb.Fatalf("answer %q: %v", o.Body, err)
	}
	s.answers[m.ID] = append(s.answers[m.ID], simAnswer{s.now.Sub(testStart), string(o.Body), m.Error.Code})
}

// deliver hands a request to a fake backend server and returns its reply.
func (s *sim) deliver(h *simHost, o SendBackend) {
	b := s.backends[o.Backend]
	if b == nil {
		b = &simBackend{ran: make(map[string]int)}
		s.backends[o.Backend] = b
	}
	var m struct{ ID, Method string }
	if err := json.Unmarshal(o.Body, &m); err != nil {
		s.tb.Fatalf("request %q: %v", o.Body, err)
	}
	f := s.fault("backend", h.id, "")
	if f.lost || b.silent {
		return
	}
	body := fmt.Sprintf(`{"jsonrpc":"2.0","id":%q,"result":%q}`, m.ID, "done "+m.ID+b.answer)
	if b.sheds > 0 {
		b.sheds--
		body = fmt.Sprintf(`{"jsonrpc":"2.0","id":%q,"error":{"code":-32001,"message":"shed"}}`, m.ID)
	} else {
		b.ran[m.ID]++
	}
	s.at(s.now.Add(b.service), nil, func() {
		s.send("reply", "", h, 0, func(h *simHost) {
			s.do(h, h.runner.Reply(s.now, o.Backend, o.Flow, []byte(body), false))
		}, nil)
	})
}

func (s *sim) ran(id string) int {
	n := 0
	for _, b := range s.backends {
		n += b.ran[id]
	}
	return n
}

// last describes what the caller was told last: "answer", a code and reason, or "nothing".
func (s *sim) last(id string) string {
	a := s.answers[id]
	if len(a) == 0 {
		return "nothing"
	}
	body := a[len(a)-1].body
	if a[len(a)-1].code == 0 {
		return "answer"
	}
	_, reason, _ := strings.Cut(body, `"reason":"`)
	reason, _, _ = strings.Cut(reason, `"`)
	return fmt.Sprintf("%d %s", a[len(a)-1].code, reason)
}
