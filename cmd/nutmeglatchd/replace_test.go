package main

import (
	"encoding/json"
	"syscall"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// Guards against non-idempotent commands that are refused during planned
// replacements. Each host is stopped as soon as the replacement of the previous
// one serves, which is within the claim retention.
func TestPlannedReplacementsAnswerCommands(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 41, 3, 6, func(c *standin.BackendConfig) { c.CommandTime = 50 * time.Millisecond })
	// All owners have complete claims once the commands of many callers succeed.
	b.wait("20 commands in a row are answered", func() bool {
		for range 20 {
			if b.command(methodShutoff).Outcome != standin.CommandAnswered {
				return false
			}
		}
		return true
	})
	load := b.startCommands(4, methodShutoff)
	for _, p := range b.hosts {
		b.replace(p)
	}
	results := load.end()
	b.checkCommands(results)
	b.checkNoLostResults(results)
	reasons := reasonsOf(results)
	t.Logf("answered %d of %d, others by reason: %v", reasons[""], len(results), reasons)
	for _, r := range []string{"claims_incomplete", "no_majority"} {
		if reasons[r] > 0 {
			t.Errorf("%d of %d commands were answered %s", reasons[r], len(results), r)
		}
	}
}

// replace stops an entry host as planned and starts its replacement.
func (b *testFleet) replace(p *hostProcess) {
	b.t.Helper()
	b.signal(p, syscall.SIGTERM)
	b.waitMember(p.host.ID, "leaving", b.others(p)...)
	b.setFabricHosts(p.host.ID)
	b.must(p.cmd.Wait())
	b.start(p)
	b.waitServing(p)
	b.setFabricHosts()
	b.waitMember(p.host.ID, "alive", b.others(p)...)
}

// reasonsOf counts commands by the reason in the answer to their callers.
func reasonsOf(results []standin.CommandResult) map[string]int {
	reasons := map[string]int{}
	for _, r := range results {
		var data struct{ Reason string }
		_ = json.Unmarshal([]byte(r.Message), &data)
		reasons[data.Reason]++
	}
	return reasons
}
