package configsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against comparisons of hosts that a push is about to reach, and
// against a difference that no comparison ever ends.
func TestDifferences(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	var d DigestTracker
	if !d.ShouldCompare(start, 1, waitingHosts-1) {
		t.Error("a small fleet waits")
	}
	for _, step := range []struct {
		at     time.Duration
		digest uint64
		want   bool
	}{
		{0, 1, false},
		{pushTime - 1, 1, false},
		{pushTime - 1, 2, false}, // a second change
		{pushTime, 1, true},
		{pushTime, 2, false},
		{2 * pushTime, 2, true},
		{differenceKept, 1, false}, // the digest of half of a fleet a minute later
		{differenceKept + pushTime, 1, true},
	} {
		if got := d.ShouldCompare(after(step.at), step.digest, waitingHosts); got != step.want {
			t.Errorf("digest %d after %s: %v, want %v", step.digest, step.at, got, step.want)
		}
	}
	for i := range uint64(10 * maxDifferences) {
		d.ShouldCompare(start, i, waitingHosts)
	}
	if len(d.first) > maxDifferences {
		t.Errorf("%d digests kept", len(d.first))
	}
}

// BenchmarkComparisons is a model of the comparisons that one change causes per
// host: pushes take 100 ms per round, and each host sees the digests of ten
// random hosts a second.
func BenchmarkComparisons(b *testing.B) {
	for _, wait := range []bool{false, true} {
		for _, hosts := range []int{100, 1900, 5700} {
			b.Run(fmt.Sprintf("wait=%v/hosts=%d", wait, hosts), func(b *testing.B) {
				sum, last := 0, time.Duration(0)
				for b.Loop() {
					comparisons, took := modelChange(hosts, wait)
					sum += comparisons
					last = max(last, took)
				}
				b.ReportMetric(float64(sum)/float64(b.N)/float64(hosts), "comparisons/host")
				b.ReportMetric(last.Seconds(), "spread-s")
			})
		}
	}
}

// modelChange spreads a change and returns the comparisons and the time until
// every host has it. A comparison gives the change to the host that lacks it.
func modelChange(hosts int, wait bool) (comparisons int, spread time.Duration) {
	const round = 100 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, uint64(hosts)))
	start := time.Unix(0, 0)
	reached := make([]bool, hosts)
	waiting := make([]DigestTracker, hosts)
	front := []int{0}
	reached[0] = true
	missing := hosts - 1
	reach := func(i int) bool {
		news := !reached[i]
		if news {
			reached[i] = true
			missing--
		}
		return news
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
			if !wait || waiting[i].ShouldCompare(start.Add(at), digest, hosts) {
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
