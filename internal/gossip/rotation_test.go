package gossip

import (
	"slices"
	"testing"
	"time"
)

// Guards against callers whose packets go to frozen or dead hosts for as long as these stay down, because most hosts of
// their data centre are and the routers then use all of them, and against hosts that leave their callers without any host.
func TestYieldToAnotherDataCentre(t *testing.T) {
	const a, b = "a", "b"
	for _, tt := range []struct {
		name        string
		hosts       []string // data centres of the hosts; the first one decides
		silent      []int
		leaving     []int
		neverHeard  []int
		fleetSize   int
		shouldYield bool
	}{
		{name: "all alive", hosts: []string{a, a, a, b, b, b}},
		{name: "one of three silent", hosts: []string{a, a, a, b, b, b}, silent: []int{1}},
		{name: "two of three silent", hosts: []string{a, a, a, b, b, b}, silent: []int{1, 2}, shouldYield: true},
		{name: "one of two silent", hosts: []string{a, a, b, b}, silent: []int{1}},
		{name: "most silent in both", hosts: []string{a, a, a, b, b, b}, silent: []int{1, 2, 3, 4}},
		{name: "half of the other one silent", hosts: []string{a, a, a, b, b}, silent: []int{1, 2, 3}, shouldYield: true},
		{name: "cut off from all", hosts: []string{a, a, a, b, b, b}, silent: []int{1, 2, 3, 4, 5}},
		{name: "two stop as planned", hosts: []string{a, a, a, b, b, b}, leaving: []int{1, 2}},
		{name: "the other one stops", hosts: []string{a, a, a, b}, silent: []int{1, 2}, leaving: []int{3}},
		{name: "listed by others, never heard", hosts: []string{a, a, a, b}, neverHeard: []int{1, 2}},
		{name: "only host of its data centre", hosts: []string{a, b, b}},
		{name: "large fleet", hosts: []string{a, a, a, b, b, b}, silent: []int{1, 2}, fleetSize: 40},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := newMembers(host(0, tt.hosts[0]))
			now := time.Second
			receive := func(silent []int) {
				for i := 1; i < len(tt.hosts); i++ {
					from := host(byte(i), tt.hosts[i])
					switch {
					case slices.Contains(tt.neverHeard, i):
						m.add(from, now)
					case !slices.Contains(silent, i):
						m.Receive(&Message{From: from, Leaving: slices.Contains(tt.leaving, i), NumKnown: tt.fleetSize}, now)
					}
				}
			}
			receive(nil)
			if m.ShouldYield(now) {
				t.Error("yields although no host is silent")
			}
			now += yieldTimeout
			receive(tt.silent)
			if got := m.ShouldYield(now); got != tt.shouldYield {
				t.Errorf("yields: %v, want %v", got, tt.shouldYield)
			}
			receive(nil)
			if m.ShouldYield(now) {
				t.Error("yields although the silent hosts are back")
			}
		})
	}
}
