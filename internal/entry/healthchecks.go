package entry

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/healthcheck"
	"github.com/nutmeglatch/nutmeglatch/internal/restart"
)

const (
	// findingInterval is the minimum time between two datagrams with findings to a sample of the hosts.
	findingInterval = 250 * time.Millisecond
	// findingFanOut is the number of hosts of the own data centre that a finding is passed on to.
	findingFanOut = 3
	// maxPendingFindings is the maximum number of findings that wait to be passed on; further ones are not.
	maxPendingFindings = 64
	// maxInbox is the maximum number of messages about checks that wait for the traffic goroutine.
	maxInbox = 256
)

// checkMessage is a message about checks from another host.
type checkMessage struct {
	from    netip.AddrPort
	message *healthcheck.Message
}

// checkInbox holds messages that the control goroutine has received for the traffic goroutine.
type checkInbox struct {
	mu       sync.Mutex
	messages []checkMessage
	wake     func() // called when a message is available
}

// put adds a message. It reports whether there was room.
func (i *checkInbox) put(m checkMessage) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.messages) >= maxInbox {
		return false
	}
	i.messages = append(i.messages, m)
	i.wake()
	return true
}

// take returns the messages and empties the inbox.
func (i *checkInbox) take() []checkMessage {
	i.mu.Lock()
	defer i.mu.Unlock()
	messages := i.messages
	i.messages = nil
	return messages
}

// healthChecks runs the checks of this host and exchanges their findings with the other hosts of its data centre. The
// traffic goroutine owns it.
type healthChecks struct {
	traffic  *traffic
	state    *healthcheck.State
	hosts    []affinity.Host // of the fleet that the state's peers come from
	checker  *checker
	start    func(affinity.CheckRequest)        // starts a check, whose result the checker returns
	transmit func([]byte, netip.AddrPort) error // sends a datagram to a host
	clock    func() time.Duration               // reads the present time; it is later than the time of an event that has waited
	pending  []healthcheck.Finding              // to be passed on
	sentAt   time.Duration                      // when findings were last passed on
	// news are the findings that show an end or a start which this host did not know, to be passed on to all data centres
	// before the pending ones.
	news   []newsItem
	fleet  *affinity.Fleet                     // nil: not known yet
	remote []netip.AddrPort                    // hosts of other data centres
	ended  restart.Schedule[affinity.Instance] // backend servers that may come back
	probes map[affinity.Instance]bool          // running checks whether an ended backend server is back
}

// newsItem is a finding that is passed on newsCopies times.
type newsItem struct {
	finding healthcheck.Finding
	sent    int
}

func newHealthChecks(t *traffic, wake func()) *healthChecks {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	h := &healthChecks{
		traffic: t,
		state:   healthcheck.New(t.host.config.Peer, random),
		checker: newChecker(wake),
		clock:   t.host.now,
		probes:  map[affinity.Instance]bool{},
	}
	h.start = h.checker.start
	h.transmit = func(b []byte, to netip.AddrPort) error {
		_, err := t.host.control.conn.WriteToUDPAddrPort(b, to)
		return err
	}
	return h
}

// run handles what has happened since the last call: doubts of the router, results of checks, and messages.
func (h *healthChecks) run(now time.Duration) {
	for _, m := range h.traffic.host.checkInbox.take() {
		h.receive(m, now)
	}
	for _, result := range h.checker.takeResults() {
		h.checked(result, now)
	}
	for _, i := range h.traffic.router.TakeChecks() {
		h.doubt(i, now)
	}
	h.ended.Run(now, func(i affinity.Instance) time.Duration { return h.probe(i, now) })
	h.passOn(now)
}

// doubt has a backend server checked whose answers to this host's callers are missing.
func (h *healthChecks) doubt(i affinity.Instance, now time.Duration) {
	plan := h.state.Doubt(i, now)
	if plan.CheckSelf {
		h.check(i, now)
	}
	if len(plan.Ask) > 0 {
		checksAsked.Add(len(plan.Ask))
		h.send(plan.Ask, &healthcheck.Message{Asks: []affinity.Instance{i}})
	}
	h.decide(i, now)
}

// check starts a check by this host. If it can't check the backend server, the hosts that asked for it are told at once.
func (h *healthChecks) check(i affinity.Instance, now time.Duration) {
	request, ok := h.traffic.router.StartCheck(i, now)
	switch {
	case ok:
		h.start(request)
	case !h.traffic.router.Checking(i, now):
		h.report(i, affinity.Unchecked, now, now)
	}
}

// checked handles the result of a check by this host.
func (h *healthChecks) checked(result checkResult, now time.Duration) {
	outcome, at := h.conclusion(result, now)
	countCheck(outcome)
	if outcome == affinity.Unchecked && h.traffic.router.Checking(result.request.Instance, now) {
		return // the result of an earlier check; hosts wait for that of the running one
	}
	h.report(result.request.Instance, outcome, at, now, "took", result.took)
}

// conclusion returns what the result of a check shows, and the time from which on it is evidence. A result that is handled too late
// to be dated shows nothing.
func (h *healthChecks) conclusion(result checkResult, now time.Duration) (outcome affinity.CheckOutcome, at time.Duration) {
	i, startedAt := result.request.Instance, result.request.StartedAt
	if result.outcome == affinity.Accepts && now-startedAt > checkTimeout {
		result.outcome = affinity.Unchecked // learn assumes that the connection was made within checkTimeout
	}
	outcome = h.traffic.router.HandleCheckResult(result.request, result.outcome)
	switch {
	case outcome == affinity.Accepts && result.outcome == affinity.NoAnswer: // by an answer to a caller
		since, _ := h.traffic.router.SinceAnswer(i, now)
		return outcome, now - since
	case outcome != affinity.Refuses && outcome != affinity.NoAnswer:
		return outcome, now
	case healthcheck.Expired(startedAt, now):
		return affinity.Unchecked, now
	}
	return outcome, startedAt
}

// report records this host's finding, which is evidence from a time on, tells the hosts that asked for it, and queues an
// unfavourable one for the others. fields are added to the log line.
func (h *healthChecks) report(i affinity.Instance, outcome affinity.CheckOutcome, at, now time.Duration, fields ...any) {
	refutes := h.state.Refutes(healthcheck.Finding{Instance: i, Outcome: outcome, At: at}, now)
	finding, waiting := h.state.Checked(i, outcome, at)
	h.send(waiting, &healthcheck.Message{Findings: []healthcheck.Finding{finding}})
	probe := h.probes[i]
	delete(h.probes, i)
	if outcome == affinity.Refuses || outcome == affinity.NoAnswer {
		h.log("check of a backend server failed", &finding, now, append(fields, "process_gap", h.traffic.host.gaps.recent(now))...)
		if !probe { // the others know already that it has ended
			h.enqueue(finding)
		}
	}
	if refutes {
		h.enqueue(finding)
	}
	h.decide(i, now)
	h.learn(finding, now)
}

// receive handles a message of another host.
func (h *healthChecks) receive(m checkMessage, now time.Duration) {
	if !h.state.IsPeer(m.from) {
		h.receiveRemote(m, now)
		return
	}
	for _, i := range m.message.Asks {
		answer, check := h.state.Asked(m.from, i, now)
		if answer != nil {
			h.send([]netip.AddrPort{m.from}, &healthcheck.Message{Findings: []healthcheck.Finding{*answer}})
		}
		if check {
			h.check(i, now)
		}
	}
	for _, f := range m.message.Findings {
		if h.state.Receive(f, now) {
			h.enqueue(f)
			h.recordFailure(f, now)
		}
		h.decide(f.Instance, now)
		h.learn(f, now)
	}
}

// decide puts the present assessment of a backend server in force.
func (h *healthChecks) decide(i affinity.Instance, now time.Duration) {
	h.traffic.router.SetHealth(i, h.state.Assess(i, now), now)
}

// enqueue adds a finding to those that are passed on.
func (h *healthChecks) enqueue(f healthcheck.Finding) {
	if len(h.pending) >= maxPendingFindings {
		findingsDropped.Inc()
		return
	}
	h.pending = append(h.pending, f)
}

// passOn sends news to other hosts, or else pending findings to those of the own data centre, a datagram in each
// findingInterval at most.
func (h *healthChecks) passOn(now time.Duration) {
	h.pending = slices.DeleteFunc(h.pending, func(f healthcheck.Finding) bool { return f.Expired(now) })
	h.news = slices.DeleteFunc(h.news, func(item newsItem) bool { return item.finding.Expired(now) })
	if len(h.pending)+len(h.news) == 0 || now-h.sentAt < findingInterval {
		return
	}
	h.sentAt = now
	if len(h.news) > 0 {
		h.passOnNews(now)
		return
	}
	n := min(len(h.pending), healthcheck.MaxFindings)
	h.send(h.state.SamplePeers(findingFanOut), &healthcheck.Message{Findings: h.pending[:n]})
	h.pending = append(h.pending[:0], h.pending[n:]...)
}

// send sends a message, without outdated findings. It reads the clock, because on a host that gets the processor late much time may have passed since the
// event was taken up, and receivers compare the age of findings with their own observations.
func (h *healthChecks) send(receivers []netip.AddrPort, m *healthcheck.Message) {
	if len(receivers) == 0 {
		return
	}
	now := h.clock()
	m.DropExpired(now)
	if len(m.Asks)+len(m.Findings) == 0 {
		return
	}
	b, err := healthcheck.Encode(m, now)
	if err != nil {
		level.Error(h.traffic.logger).Log("msg", "encoding a message about checks failed", "err", err)
		return
	}
	for _, to := range receivers {
		if err := h.transmit(b, to); err != nil {
			peerErrors.Inc()
			level.Debug(h.traffic.logger).Log("msg", "sending a message about checks failed", "to", to, "err", err)
		}
	}
}

// recordFailure logs a failed check of another host, and counts it if this host saw an answer of the server after its start.
func (h *healthChecks) recordFailure(f healthcheck.Finding, now time.Duration) {
	if f.Outcome != affinity.Refuses && f.Outcome != affinity.NoAnswer {
		return
	}
	var fields []any
	if since, ok := h.traffic.router.SinceAnswer(f.Instance, now); ok {
		fields = append(fields, "since_answer", since)
		if since < now-f.At {
			findingsContradicted.Inc()
		}
	}
	h.log("another host's check of a backend server failed", &f, now, fields...)
}

// log logs a finding together with further fields.
func (h *healthChecks) log(msg string, f *healthcheck.Finding, now time.Duration, fields ...any) {
	t := h.traffic
	t.healthLimiter.do(now, func() {
		line := []any{"msg", msg, "server", t.router.ServerID(f.Instance), "outcome", f.Outcome, "checker", h.state.CheckerAddr(f), "age", now - f.At}
		level.Info(t.logger).Log(append(line, fields...)...)
	})
}

// setPeers replaces the hosts that checks are shared with, the others of the own data centre.
func (h *healthChecks) setPeers(f *affinity.Fleet) {
	h.fleet = f
	if len(f.Hosts) == len(h.hosts) && (len(f.Hosts) == 0 || &f.Hosts[0] == &h.hosts[0]) {
		return // the slice is replaced when the hosts change
	}
	h.hosts = f.Hosts
	var peers []netip.AddrPort
	h.remote = h.remote[:0]
	for _, other := range f.Hosts {
		if other.DataCentre == f.Self.DataCentre {
			peers = append(peers, other.Addr)
		} else {
			h.remote = append(h.remote, other.Addr)
		}
	}
	h.state.SetPeers(peers)
}
