package healthcheck

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

// Times of the simulated data centre, as in the router and the checker.
const (
	simDelay        = time.Millisecond       // of a message between hosts
	simOpeningWait  = 60 * time.Millisecond  // after which an unanswered opening packet is late
	simCheckTime    = 250 * time.Millisecond // until a check is given up
	simSuspicion    = 1500 * time.Millisecond
	simSilence      = 3 * time.Second
	simFlowsPerS    = 20 // new flows to the backend server, from all hosts together
	simFailedAt     = time.Second
	simObserved     = 6 * time.Second // after the failure
	simConnections  = 2               // of an unanswered check, see the checker's retry
	simHeaderBytes  = 28
	simFanOut       = 3
	simCheckSpacing = 500 * time.Millisecond
)

// way is a way for the hosts of a data centre to learn that a backend server has failed.
type way int

const (
	eachAlone      way = iota // each host checks by itself and tells nobody
	rankedCheckers            // this package
	packetsOnly               // late packets of two hosts are enough; no checks
)

var wayNames = [...]string{"each host alone", "ranked checkers", "packets only"}

// event is an action at a simulated time.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any          { last := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return last }

// simHost is a simulated host.
type simHost struct {
	state         *State
	avoidUntil    time.Duration
	silentUntil   time.Duration
	checking      bool
	checkedAt     time.Duration
	origins       map[int]time.Duration // packetsOnly: hosts that reported late packets, and when
	reportedAt    time.Duration
	avoidedFirst  time.Duration // 0: never
	silentFirst   time.Duration // 0: never
	dead          bool          // does nothing
	late          bool          // its checks are inconclusive, and it has no callers
	silentVerdict int
}

// simulation is a data centre with one backend server.
type simulation struct {
	way         way
	hosts       []*simHost
	index       map[netip.AddrPort]int
	queue       eventQueue
	now         time.Duration
	silentFor   time.Duration // how long the backend server leaves everything unanswered
	slowHost    int           // host behind a bad link; -1: none
	random      *rand.Rand
	lostTries   int
	connections int
	bytes       int
}

func newSimulation(w way, n int, silentFor time.Duration) *simulation {
	s := &simulation{way: w, index: map[netip.AddrPort]int{}, silentFor: silentFor, slowHost: -1, random: rand.New(rand.NewPCG(7, uint64(n)))}
	for i := range n {
		s.hosts = append(s.hosts, &simHost{state: newState(i, n), origins: map[int]time.Duration{}, checkedAt: never, reportedAt: never})
		s.index[addr(i)] = i
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{at: s.now + d, do: do})
}

// run opens flows at random hosts until the time of observation is over.
func (s *simulation) run() {
	for at := time.Duration(0); at < simFailedAt+simObserved; at += time.Second / simFlowsPerS {
		heap.Push(&s.queue, event{at: at, do: func() { s.open(s.random.IntN(len(s.hosts))) }})
	}
	for at := time.Duration(0); s.slowHost >= 0 && at < simFailedAt+simObserved; at += simCheckSpacing {
		heap.Push(&s.queue, event{at: at, do: func() { s.doubt(s.slowHost) }})
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// down reports whether the backend server answers nothing.
func (s *simulation) down() bool { return s.now >= simFailedAt && s.now < simFailedAt+s.silentFor }

// open opens a flow at a host, which has a doubt if the opening packet goes unanswered.
func (s *simulation) open(i int) {
	if s.hosts[i].dead || s.hosts[i].late || s.hosts[i].avoidUntil > s.now || !s.down() {
		return
	}
	s.lostTries++
	s.after(simOpeningWait, func() {
		if s.down() {
			s.doubt(i)
		}
	})
}

func (s *simulation) doubt(i int) {
	h := s.hosts[i]
	h.avoid(s.now, simSuspicion)
	switch s.way {
	case eachAlone:
		s.check(i)
	case packetsOnly:
		if s.now-h.reportedAt >= simCheckSpacing {
			h.reportedAt = s.now
			s.report(i, i)
		}
	case rankedCheckers:
		p := h.state.Doubt(instance, s.now)
		if p.CheckSelf {
			s.check(i)
		}
		for _, to := range p.Ask {
			s.send(i, s.index[to], &Message{Asks: []affinity.Instance{instance}})
		}
		s.decide(i)
	}
}

// check checks the backend server from a host. A host behind a bad link loses each packet with a probability of one half.
func (s *simulation) check(i int) {
	h := s.hosts[i]
	if h.checking || s.now-h.checkedAt < simCheckSpacing {
		return
	}
	h.checking, h.checkedAt = true, s.now
	lost := s.down() || i == s.slowHost && s.random.IntN(4) == 0
	took := simDelay
	s.connections++
	if lost {
		took = simCheckTime
		s.connections += simConnections - 1
	}
	s.after(took, func() {
		h.checking = false
		outcome := affinity.Accepts
		if lost && (s.down() || i == s.slowHost) {
			outcome = affinity.NoAnswer
		}
		if h.late {
			outcome = affinity.Unchecked
		}
		s.checked(i, outcome)
	})
}

func (s *simulation) checked(i int, o affinity.CheckOutcome) {
	h := s.hosts[i]
	if s.way == eachAlone {
		if o == affinity.NoAnswer {
			h.silence(s.now)
		}
		return
	}
	f, waiting := h.state.Checked(instance, o, s.now)
	for _, to := range waiting {
		s.send(i, s.index[to], &Message{Findings: []Finding{f}})
	}
	if f.unfavourable() {
		s.spread(i, f)
	}
	s.decide(i)
}

// spread passes a finding on to a sample of the hosts.
func (s *simulation) spread(i int, f Finding) {
	for _, to := range s.hosts[i].state.SamplePeers(simFanOut) {
		s.send(i, s.index[to], &Message{Findings: []Finding{f}})
	}
}

func (s *simulation) send(from, to int, m *Message) {
	b, err := Encode(m, s.now)
	if err != nil {
		panic(err)
	}
	s.bytes += len(b) + simHeaderBytes
	s.after(simDelay, func() { s.receive(from, to, b) })
}

func (s *simulation) receive(from, to int, b []byte) {
	m, err := Decode(b, s.now)
	if err != nil {
		panic(err)
	}
	h := s.hosts[to]
	if h.dead {
		return
	}
	for _, i := range m.Asks {
		answer, check := h.state.Asked(addr(from), i, s.now)
		if answer != nil {
			s.send(to, from, &Message{Findings: []Finding{*answer}})
		}
		if check {
			s.check(to)
		}
	}
	for _, f := range m.Findings {
		if h.state.Receive(f, s.now) {
			s.spread(to, f)
		}
		s.decide(to)
	}
}

// decide puts the verdict of a host in force.
func (s *simulation) decide(i int) {
	switch s.hosts[i].state.Assess(instance, s.now).Health {
	case affinity.Suspect:
		s.hosts[i].avoid(s.now, simSuspicion)
	case affinity.Silent:
		s.hosts[i].silence(s.now)
	}
}

// report spreads late packets of the host origin, for packetsOnly.
func (s *simulation) report(i, origin int) {
	h := s.hosts[i]
	h.origins[origin] = s.now
	recent := 0
	for _, at := range h.origins {
		if s.now-at < evidenceLifetime {
			recent++
		}
	}
	if recent > 1 {
		h.silence(s.now)
	}
	for _, to := range h.state.SamplePeers(simFanOut) {
		to := s.index[to]
		s.bytes += 30 + simHeaderBytes
		s.after(simDelay, func() {
			if at, known := s.hosts[to].origins[origin]; !known || s.now-at >= simCheckSpacing {
				s.report(to, origin)
			}
		})
	}
}

func (h *simHost) avoid(now, d time.Duration) {
	h.avoidUntil = max(h.avoidUntil, now+d)
	if h.avoidedFirst == 0 {
		h.avoidedFirst = now
	}
}

func (h *simHost) silence(now time.Duration) {
	if h.silentUntil <= now {
		h.silentVerdict++
	}
	if h.silentFirst == 0 {
		h.silentFirst = now
	}
	h.silentUntil = now + simSilence
	h.avoid(now, simSilence)
}

// avoidedBy returns the time from the failure until a share of the hosts had avoided the backend server.
func (s *simulation) avoidedBy(share float64) string {
	for d := time.Duration(0); d < simObserved; d += 10 * time.Millisecond {
		avoiding := 0
		for _, h := range s.hosts {
			if h.avoidedFirst != 0 && h.avoidedFirst <= simFailedAt+d {
				avoiding++
			}
		}
		if float64(avoiding) >= share*float64(len(s.hosts)) {
			return d.String()
		}
	}
	return "never"
}

// silentHosts returns the number of hosts that gave the backend server up.
func (s *simulation) silentHosts() int {
	n := 0
	for _, h := range s.hosts {
		if h.silentVerdict > 0 {
			n++
		}
	}
	return n
}

// fleets maps sizes of fleets to the hosts of one of their data centres.
var fleets = []struct{ hosts, inDataCentre int }{{9, 3}, {67, 22}, {195, 39}, {300, 60}, {1000, 143}}

// Guards against connections to a failed backend server that grow with the fleet, and against hosts that lose their callers'
// first tries to it although others know that it has failed. With -v it prints the comparison of three ways.
func TestSharedFindings(t *testing.T) {
	t.Logf("%-16s %6s %10s %10s %12s %12s", "way", "hosts", "95% avoid", "lost tries", "connections", "bytes/host/s")
	for w := range way(len(wayNames)) {
		for _, size := range fleets {
			s := newSimulation(w, size.inDataCentre, time.Hour)
			s.run()
			avoided := s.avoidedBy(0.95)
			bytes := float64(s.bytes) / float64(size.inDataCentre) / simObserved.Seconds()
			t.Logf("%-16s %6d %10s %10d %12d %12.0f", wayNames[w], size.hosts, avoided, s.lostTries, s.connections, bytes)
			if w != rankedCheckers {
				continue
			}
			if limit := checkersPerServer * simConnections * int(simObserved/simCheckSpacing); s.connections > limit {
				t.Errorf("%d connections with %d hosts, want at most %d", s.connections, size.hosts, limit)
			}
			const rounds = 2 * 250 * time.Millisecond
			if d, err := time.ParseDuration(avoided); err != nil || d > simOpeningWait+simCheckTime+rounds {
				t.Errorf("%d hosts avoid a failed backend server after %s", size.hosts, avoided)
			}
		}
	}
}

// Guards against a backend server that is given up by hosts because another one's link is bad. With -v it also prints how
// many hosts give up a backend server that only pauses.
func TestFalseVerdicts(t *testing.T) {
	t.Logf("%-16s %6s %10s %8s %8s %8s", "way", "hosts", "slow link", "0.4 s", "1 s", "3 s")
	for w := range way(len(wayNames)) {
		for _, size := range fleets {
			slow := newSimulation(w, size.inDataCentre, 0)
			// A checker of the backend server, as the checks of other hosts do not count.
			slow.slowHost = slow.index[slow.hosts[0].state.ranked(instance, 1)[0].addr]
			slow.run()
			others := slow.silentHosts()
			if slow.hosts[slow.slowHost].silentVerdict > 0 {
				others--
			}
			row := fmt.Sprintf("%-16s %6d %10d", wayNames[w], size.hosts, others)
			for _, pause := range []time.Duration{400 * time.Millisecond, time.Second, 3 * time.Second} {
				s := newSimulation(w, size.inDataCentre, pause)
				s.run()
				row += fmt.Sprintf(" %8d", s.silentHosts())
			}
			t.Log(row)
			if w == rankedCheckers && others > 0 {
				t.Errorf("%d of %d hosts give up a live backend server because of one bad link", others, size.inDataCentre)
			}
		}
	}
}

// Guards against flows that wait for their callers' deadlines at a failed backend server because hosts that rank first as its
// checkers are down or come to no conclusion: the hosts that rank next have to be asked.
func TestFailedServerWithoutItsFirstCheckers(t *testing.T) {
	everyCheck := make([]time.Duration, int(simObserved/simCheckSpacing))
	for n := range everyCheck {
		everyCheck[n] = simOpeningWait + time.Duration(n)*simCheckSpacing
	}
	for _, tt := range []struct {
		name   string
		late   bool            // the first checkers run late, so that their checks are inconclusive
		doubts []time.Duration // of each host, after the failure
		again  []time.Duration // doubts after which the checkers that rank next are asked
	}{
		{"down, many callers", false, everyCheck, everyCheck},
		{"late, many callers", true, everyCheck, everyCheck},
		{"down, one caller", false, callerRepeats, []time.Duration{callerRepeats[0], callerRepeats[2], callerRepeats[3]}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, size := range fleets {
				for n := range min(4, size.inDataCentre) {
					last := silentWithoutCheckers(t, size.inDataCentre, n, tt.late, tt.doubts)
					t.Logf("%d hosts, %d of the first checkers fail: all others reset flows after %v", size.inDataCentre, n, last)
					attempts := (n + checkersPerServer - 1) / checkersPerServer // without a conclusion
					const rounds, messages = 2 * 250 * time.Millisecond, 4 * simDelay
					if limit := tt.again[attempts] + simCheckTime + rounds + messages; last > limit {
						t.Errorf("%d hosts, %d fail: flows are reset after %v, want at most %v", size.inDataCentre, n, last, limit)
					}
				}
			}
		})
	}
}

// callerRepeats are the times after a failure at which a caller that has just sent a request repeats it.
var callerRepeats = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond}

// silentWithoutCheckers returns the time from the failure of a backend server until all hosts but its first n checkers, which are
// down or late, have found it silent.
func silentWithoutCheckers(t *testing.T, hosts, n int, late bool, doubts []time.Duration) time.Duration {
	t.Helper()
	s := newSimulation(rankedCheckers, hosts, time.Hour)
	for _, h := range s.hosts[0].state.ranked(instance, n) {
		failing := s.hosts[s.index[h.addr]]
		failing.dead, failing.late = !late, late
	}
	for i, h := range s.hosts {
		for _, after := range doubts {
			if !h.dead && !h.late {
				heap.Push(&s.queue, event{at: simFailedAt + after, do: func() { s.doubt(i) }})
			}
		}
	}
	s.run()
	last := time.Duration(0)
	for i, h := range s.hosts {
		if h.silentFirst == 0 && !h.dead && !h.late {
			t.Fatalf("%d hosts, %d fail: host %d never resets the flows of the failed backend server", hosts, n, i)
		}
		if !h.dead && !h.late {
			last = max(last, h.silentFirst-simFailedAt)
		}
	}
	return last
}
