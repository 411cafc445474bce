package daemon

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
)

// noCallsEnvironment drops background work, so that the daemon starts no
// goroutines.
type noCallsEnvironment struct{ processEnvironment }

func (noCallsEnvironment) Go(func()) {}

// Guards against report datagrams that are not applied or not acknowledged, and
// against reports that are applied although they are malformed, were sent by a
// replaced process or were received before a pause.
func TestReportDatagrams(t *testing.T) {
	const sender = 3 // in the region of this host
	c := newTestControlIn(t, noCallsEnvironment{}, 7, testDocuments(10, 1))
	c.d.lastTick.Store(int64(c.d.now()))
	w := c.d.newWorker()
	messages := c.reportsOf(t, sender)
	if len(messages) == 0 {
		t.Fatal("the sender reports nothing")
	}
	service := &messages[0]
	seq := uint64(0)
	deliver := func(boot uint64, kind byte, content []byte) []datagram {
		seq++
		c.conn.sent = nil
		body := append([]byte{kind}, content...)
		w.handlePeer(peer.SealDatagram(nil, &c.d.key, c.hosts[sender].ID, boot, seq, body), c.hosts[sender].PeerAddr())
		return c.conn.sent
	}
	report := func(boot uint64) []datagram {
		service.Seq++
		return deliver(boot, kindHealth, service.AppendContent(nil))
	}
	sent := report(2)
	if len(sent) != 1 || sent[0].to != c.hosts[sender].PeerAddr() {
		t.Fatalf("%d datagrams after a report, want one acknowledgement to its sender", len(sent))
	}
	opened, err := peer.OpenDatagram(sent[0].raw, &c.d.key)
	if err != nil || opened.Body[0] != kindHealthAnswer {
		t.Fatalf("body %q, error %v", opened.Body, err)
	}
	if answer, err := health.ParseContent(opened.Body[1:]); err != nil || answer.Seq != service.Seq || answer.Service != service.Service {
		t.Errorf("acknowledgement %+v, error %v", answer, err)
	}
	if n := len(report(1)); n != 0 {
		t.Error("report of a replaced process acknowledged")
	}
	for _, kind := range []byte{kindAdmission, kindHealth, kindHealthAnswer} {
		if n := len(deliver(2, kind, []byte("{"))); n != 0 {
			t.Errorf("malformed report of kind %c acknowledged", kind)
		}
	}
	c.d.lastTick.Store(int64(c.d.now()) - int64(2*c.d.settings.PauseLimit.Std()))
	if n := len(report(2)); n != 0 {
		t.Error("report from before a pause used")
	}
}

// reportsOf returns the health reports of another host about one warm
// backend server of each service that this host owns.
func (c *testControl) reportsOf(t *testing.T, host int) []health.Message {
	t.Helper()
	snap := c.d.snapshot.Load()
	in := health.Input{Hosts: c.hosts}
	for name, doc := range c.config.Current().Services {
		if snap.ByName.Get(name).InGroup(snap.SelfIndex) {
			in.Services = append(in.Services, health.ServiceInput{Doc: doc, Group: []string{c.hosts[0].ID}})
		}
	}
	s := health.New(health.Config{})
	s.SetServices(c.clock, c.hosts[host].ID, in)
	for _, target := range s.Targets() {
		name := snap.Backends.Get(target.Backend).Service.Name
		s.Report(c.clock, target.Backend, health.LoadReport{Service: name, Instance: 5, UptimeMillis: time.Hour.Milliseconds()})
	}
	return s.Messages(c.clock)
}

// Guards against a restarted member that does not receive again the verdicts
// that it lost.
func TestRestartedMemberReceivesVerdicts(t *testing.T) {
	c := newTestControl(t, 7, testDocuments(10, 1))
	target := c.limits.health.Targets()[0].Backend
	name := c.d.snapshot.Load().Backends.Get(target).Service.Name
	c.limits.health.Report(c.clock, target, health.LoadReport{Service: name, Instance: 1, Draining: true})
	send := func() (hosts []string) {
		for _, m := range c.limits.health.Messages(c.clock) {
			hosts = append(hosts, m.To)
			c.limits.health.Delivered(m)
		}
		return hosts
	}
	receivers := send()
	if len(receivers) == 0 {
		t.Fatal("no host receives the verdict on a draining backend server")
	}
	for i := range c.hosts {
		if c.hosts[i].ID == receivers[0] {
			c.restart(i)
		}
	}
	c.publish(c.clock)
	if again := send(); len(again) != 1 || again[0] != receivers[0] {
		t.Errorf("%v received the verdict after a restart of %s", again, receivers[0])
	}
}
