package affinity

import (
	"testing"
	"time"
)

// Answers a host of the largest deployment planned, 35,088 flows and 40,000 backend servers, whose sweeps took 73 ms of
// every second. Guards against looks whose processor time grows with what is remembered, and against a small host that
// forgets late.
func TestLooksArePaced(t *testing.T) {
	for _, tt := range []struct {
		entries int
		looks   int // in ten seconds, with a call every 200 ms
	}{{0, 50}, {500, 50}, {10_000, 10}, {40_000, 3}} {
		var p pace
		looks := 0
		for now := time.Duration(0); now < 10*time.Second; now += 200 * time.Millisecond {
			if p.due(now, tt.entries) {
				looks++
			}
		}
		if looks != tt.looks {
			t.Errorf("%d entries: %d looks, want %d", tt.entries, looks, tt.looks)
		}
	}
}
