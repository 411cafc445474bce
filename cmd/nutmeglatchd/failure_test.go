package main

import (
	"syscall"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// Guards established flows against the death of an entry host: caches, the
// second owner and replies must carry them until the empty replacement serves.
func TestKilledEntryHostBreaksNoFlow(t *testing.T) {
	t.Parallel()
	b := newBench(t, 32, 3, 6)
	flows := b.openFlows(&b.service, 100)
	for _, p := range b.hosts {
		b.kill(p)
		b.waitMember(p.host.ID, "dead", b.others(p)...)
		b.start(p)
		b.waitServing(p)
		b.waitMember(p.host.ID, "alive", b.others(p)...)
	}
	flows.endUnbroken()
	b.checkService()
}

// Guards a planned stop: flows keep their backend servers, every command in
// progress ends with its result, and the process ends by itself with status 0.
func TestPlannedStopsInterruptNothing(t *testing.T) {
	t.Parallel()
	b := newBench(t, 33, 3, 6, func(c *standin.BackendConfig) { c.CommandTime = 150 * time.Millisecond })
	b.waitCommands(methodShutoff)
	flows := b.openFlows(&b.service, 60)
	idempotent, others := b.startCommands(2, methodStatus), b.startCommands(4, methodShutoff)
	for _, p := range b.hosts {
		b.signal(p, syscall.SIGTERM)
		b.waitMember(p.host.ID, "leaving", b.others(p)...)
		b.openFlows(&b.service, 10).endUnbroken()
		b.spray(p.host.ID)
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("%s: %v", p.host.ID, err)
		}
		b.start(p)
		b.waitServing(p)
		b.spray()
		b.waitMember(p.host.ID, "alive", b.others(p)...)
	}
	flows.endUnbroken()
	results := append(idempotent.end(), others.end()...)
	b.checkCommands(results)
	b.checkUncut(results)
	b.checkService()
}
