package membership

import "fmt"

// Counters holds the numbers of refused messages and lists, probe retries,
// suspicions and refutations of a State, by reason.
type Counters struct {
	UnlistedSenders uint64 // messages from hosts that are not listed
	ReplacedSenders uint64 // messages from processes that a later one has replaced
	UnmatchedAcks   uint64 // late, repeated or unexpected Acks
	RelaysRefused   uint64 // requests for indirect probes above maxRelays, or from or for unlisted hosts
	IndirectProbes  uint64 // probes that were not answered directly in time
	Suspicions      uint64 // probes that were answered neither directly nor indirectly in time
	Refutations     uint64 // suspicions or declarations of death of this host that it refuted
	EmptyLists      uint64 // empty lists rejected
	InvalidHostIDs  uint64 // listed hosts ignored because their id is invalid
}

// Each calls f with the metric name and the value of every counter.
func (c Counters) Each(f func(name string, value uint64)) {
	for _, m := range []struct {
		what, reason string
		value        uint64
	}{
		{"messages_refused", "unlisted_sender", c.UnlistedSenders},
		{"messages_refused", "replaced_sender", c.ReplacedSenders},
		{"messages_refused", "unmatched_ack", c.UnmatchedAcks},
		{"messages_refused", "probe_request", c.RelaysRefused},
		{"probe_retries", "no_direct_answer", c.IndirectProbes},
		{"suspicions", "no_answer", c.Suspicions},
		{"refutations", "suspected", c.Refutations},
		{"lists_refused", "empty", c.EmptyLists},
		{"hosts_refused", "invalid_id", c.InvalidHostIDs},
	} {
		f(fmt.Sprintf("nutmeglatch_membership_%s_total{reason=%q}", m.what, m.reason), m.value)
	}
}
