package entry

import (
	"testing"
	"time"
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
