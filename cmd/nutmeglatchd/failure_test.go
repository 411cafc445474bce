package main

import (
	"syscall"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// Guards against flows that break when an entry host dies: caches, the secondary
// owner and replies must keep them working until the replacement, which starts
// without state, serves.
func TestKilledEntryHostBreaksNoFlow(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 32, 3, 6)
	flows := b.openFlows(&b.service, 100)
	for _, p := range b.hosts {
		b.kill(p)
		b.waitMember(p.host.ID, "dead", b.others(p)...)
		b.start(p)
		b.waitServing(p)
		b.waitMember(p.host.ID, "alive", b.others(p)...)
	}
	flows.endAndCheck()
	b.checkService()
}

// Guards against a planned stop that breaks flows, loses the result of a command
// in progress, or does not end the process with status 0.
func TestPlannedStopsInterruptNothing(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 33, 3, 6, func(c *standin.BackendConfig) { c.CommandTime = 150 * time.Millisecond })
	b.waitCommands(methodShutoff)
	flows := b.openFlows(&b.service, 60)
	idempotent, others := b.startCommands(2, methodStatus), b.startCommands(4, methodShutoff)
	for _, p := range b.hosts {
		b.signal(p, syscall.SIGTERM)
		b.waitMember(p.host.ID, "leaving", b.others(p)...)
		b.openFlows(&b.service, 10).endAndCheck()
		b.setFabricHosts(p.host.ID)
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("%s: %v", p.host.ID, err)
		}
		b.start(p)
		b.waitServing(p)
		b.setFabricHosts()
		b.waitMember(p.host.ID, "alive", b.others(p)...)
	}
	flows.endAndCheck()
	results := append(idempotent.end(), others.end()...)
	b.checkCommands(results)
	b.checkNoLostResults(results)
	b.checkService()
}
