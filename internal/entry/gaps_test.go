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

// Guards against findings that become younger at a host that runs late, as they wait there before they are read: they would be
// passed on for longer than they count and outweigh later observations of other hosts (incident 29).
func TestFindingsWaitAtALateHost(t *testing.T) {
	const age = 300 * time.Millisecond
	for _, tt := range []struct {
		gap  time.Duration
		late bool
	}{{tickInterval, false}, {tickInterval + 60*time.Millisecond, false}, {700 * time.Millisecond, true}} {
		c := idleControl()
		c.host.checkInbox.wake = func() {}
		now := c.host.now()
		c.host.gaps.ran(now - tt.gap)
		c.host.gaps.ran(now)
		var findings []healthcheck.Finding
		for _, o := range []affinity.CheckOutcome{affinity.NoAnswer, affinity.Refuses, affinity.Accepts} {
			findings = append(findings, healthcheck.Finding{Instance: affinity.Instance{Identity: 1}, Outcome: o, At: now - age})
		}
		b, err := healthcheck.Encode(&healthcheck.Message{Findings: findings}, now)
		if err != nil {
			t.Fatal(err)
		}
		c.receiveCheckMessage(b, netip.MustParseAddrPort("10.0.0.2:7000"))
		handled := c.host.now()
		for _, f := range c.host.checkInbox.take()[0].message.Findings {
			switch noAnswer := f.Outcome == affinity.NoAnswer; {
			case handled-now > tickInterval: // this test was interrupted
			case f.Late != tt.late || noAnswer && tt.late:
				t.Errorf("gap of %v: %v is kept, late %v", tt.gap, f.Outcome, f.Late)
			case noAnswer && f.At > handled-age-tt.gap+tickInterval:
				t.Errorf("gap of %v: the check seems to have begun %v ago", tt.gap, handled-f.At)
			case !noAnswer && f.At < now-age-time.Millisecond:
				t.Errorf("gap of %v: %v is dated back to %v ago", tt.gap, f.Outcome, now-f.At)
			}
		}
	}
}
