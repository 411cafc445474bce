package main

import "testing"

// Guards against packets of a caller that do not reach the right backend server
// through every entry host that the fabric may choose, and against lost answers.
func TestEveryEntryHostServesEveryPacket(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 31, 3, 6)
	b.openFlows(&b.service, 50).endAndCheck()
	b.waitCommands(methodStatus)
	b.checkService()
}
