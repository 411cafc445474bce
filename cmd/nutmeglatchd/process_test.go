package main

import "testing"

// Guards the whole path: a caller's packets reach the right backend server
// through whichever entry host the fabric picks, and the answers come back.
func TestEveryEntryHostServesEveryPacket(t *testing.T) {
	t.Parallel()
	b := newBench(t, 31, 3, 6)
	b.openFlows(&b.service, 50).endUnbroken()
	b.waitCommands(methodStatus)
	b.checkService()
}
