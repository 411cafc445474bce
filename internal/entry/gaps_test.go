package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/healthcheck"
)

// Guards against a failed check that can't be told from the checker's own lack of processor time: gaps that are not seen while
// they last, that hide behind shorter ones, or that are reported long after they ended.
func TestGapRecorder(t *testing.T) {
	var g gapRecorder
	start := time.Minute
	g.ran(start)
	g.ran(start + tickInterval)
	if got := g.recent(start + tickInterval); got != tickInterval {
		t.Errorf("%v on time, want %v", got, tickInterval)
	}
	const gap = 240 * time.Millisecond
	resumed := start + tickInterval + gap
	if got := g.recent(resumed); got != gap {
		t.Errorf("%v during a gap of %v", got, gap)
	}
	g.ran(resumed)
	g.ran(resumed + tickInterval)
	if got := g.recent(resumed + tickInterval); got != gap {
		t.Errorf("%v after a gap of %v", got, gap)
	}
	for now := resumed; now < resumed+2*gapWindow; now += tickInterval {
		g.ran(now)
	}
	if got := g.recent(resumed + 2*gapWindow); got > 2*tickInterval {
		t.Errorf("%v long after the gap", got)
	}
}

// Guards against findings that become younger at a host that runs late, as they wait there before they are read, and so are passed
// on for longer than they count and outweigh later observations of other hosts (incident 29).
func TestFindingsWaitAtALateHost(t *testing.T) {
	const age = 300 * time.Millisecond
	for _, gap := range []time.Duration{tickInterval, 700 * time.Millisecond} {
		c := idleControl()
		c.host.checkInbox.wake = func() {}
		now := c.host.now()
		c.host.gaps.ran(now - gap)
		c.host.gaps.ran(now)
		finding := healthcheck.Finding{Instance: affinity.Instance{Identity: 1}, Outcome: affinity.NoAnswer, At: now - age}
		b, err := healthcheck.Encode(&healthcheck.Message{Findings: []healthcheck.Finding{finding}}, now)
		if err != nil {
			t.Fatal(err)
		}
		c.receiveCheckMessage(b, netip.MustParseAddrPort("10.0.0.2:7000"))
		got := c.host.checkInbox.take()[0].message.Findings[0].At
		handled := c.host.now()
		if latest := handled - age - gap + tickInterval; got > latest {
			t.Errorf("gap of %v: dated %v before it was handled, want %v at least", gap, handled-got, handled-latest)
		}
		if earliest := now - age - max(gap, handled-now) - time.Millisecond; got < earliest {
			t.Errorf("gap of %v: dated %v before it was sent, want %v at most", gap, now-got, now-earliest)
		}
	}
}
