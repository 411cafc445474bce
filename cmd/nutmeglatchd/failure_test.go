package main

import "testing"

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
