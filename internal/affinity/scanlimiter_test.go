package affinity

import (
	"testing"
	"time"
)

// A host of the largest planned deployment, with 35,088 flows and 40,000 backend servers, spent 73 ms of every second on
// sweeps. Guards against scans whose share of processor time grows with the number of entries, and against late removal on
// a small host.
func TestScanLimiter(t *testing.T) {
	for _, tt := range []struct {
		entries int
		scans   int // in ten seconds, with a call every 200 ms
	}{{0, 50}, {500, 50}, {10_000, 10}, {40_000, 3}} {
		var l scanLimiter
		scans := 0
		for now := time.Duration(0); now < 10*time.Second; now += 200 * time.Millisecond {
			if l.due(now, tt.entries) {
				scans++
			}
		}
		if scans != tt.scans {
			t.Errorf("%d entries: %d scans, want %d", tt.entries, scans, tt.scans)
		}
	}
}
