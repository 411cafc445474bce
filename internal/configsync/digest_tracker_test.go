package configsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestDigestTracker guards against comparisons with hosts that a push is about to
// reach, and against a lasting difference that never starts a comparison.
func TestDigestTracker(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	var d DigestTracker
	if !d.ShouldCompare(start, 1, minDelayHosts-1) {
		t.Error("a small fleet delays the comparison")
	}
	for _, step := range []struct {
		at     time.Duration
		digest uint64
		want   bool
	}{
		{0, 1, false},
		{pushSpreadTime - 1, 1, false},
		{pushSpreadTime - 1, 2, false}, // digest after a second change
		{pushSpreadTime, 1, true},
		{pushSpreadTime, 2, false},
		{2 * pushSpreadTime, 2, true},
		{digestRetention, 1, false}, // seen again after its retention, for instance in half of a fleet
		{digestRetention + pushSpreadTime, 1, true},
	} {
		if got := d.ShouldCompare(after(step.at), step.digest, minDelayHosts); got != step.want {
			t.Errorf("digest %d after %s: %v, want %v", step.digest, step.at, got, step.want)
		}
	}
	for i := range uint64(10 * maxTrackedDigests) {
		d.ShouldCompare(start, i, minDelayHosts)
	}
	if len(d.firstSeen) > maxTrackedDigests {
		t.Errorf("%d digests are tracked", len(d.firstSeen))
	}
}

// BenchmarkComparisons simulates the comparisons that one change causes per host.
// Pushes take 100 ms per round, and each host receives the digests of ten random
// hosts a second.
func BenchmarkComparisons(b *testing.B) {
	for _, wait := range []bool{false, true} {
		for _, hosts := range []int{100, 1900, 5700} {
			b.Run(fmt.Sprintf("wait=%v/hosts=%d", wait, hosts), func(b *testing.B) {
				sum, last := 0, time.Duration(0)
				for b.Loop() {
					comparisons, spread := simulateChange(hosts, wait)
					sum += comparisons
					last = max(last, spread)
				}
				b.ReportMetric(float64(sum)/float64(b.N)/float64(hosts), "comparisons/host")
				b.ReportMetric(last.Seconds(), "spread-s")
			})
		}
	}
}

// simulateChange spreads a change and returns the number of comparisons and the
// time until every host has the change. A comparison gives the change to the
// host that lacks it.
func simulateChange(hosts int, wait bool) (comparisons int, spread time.Duration) {
	const round = 100 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, uint64(hosts)))
	start := time.Unix(0, 0)
	reached := make([]bool, hosts)
	trackers := make([]DigestTracker, hosts)
	front := []int{0}
	reached[0] = true
	missing := hosts - 1
	reach := func(i int) bool {
		isNew := !reached[i]
		if isNew {
			reached[i] = true
			missing--
		}
		return isNew
	}
	for at := time.Duration(0); missing > 0; at += round {
		var next []int
		for range front {
			for range DefaultFanout {
				if i := rnd.IntN(hosts); reach(i) {
					next = append(next, i)
				}
			}
		}
		for i := range hosts {
			peer := rnd.IntN(hosts)
			if reached[i] == reached[peer] {
				continue
			}
			digest := map[bool]uint64{true: 1}[reached[peer]]
			if !wait || trackers[i].ShouldCompare(start.Add(at), digest, hosts) {
				comparisons++
				for _, h := range []int{i, peer} {
					if reach(h) {
						next = append(next, h)
					}
				}
			}
		}
		front, spread = next, at+round
	}
	return comparisons, spread
}
