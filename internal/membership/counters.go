package membership

import "fmt"

// Counters counts what a State refused or retried, by reason.
type Counters struct {
	UnlistedSenders uint64 // messages of hosts that are not listed
	ReplacedSenders uint64 // messages of processes that another one replaced
	UnmatchedAcks   uint64 // late, repeated or unexpected answers
	RelaysRefused   uint64 // indirect probes above the limit, or for unknown hosts
	IndirectProbes  uint64 // probes without a direct answer in time
	Suspicions      uint64 // probes without any answer in time
	Refutations     uint64 // suspicions of this host that it refuted
	EmptyLists      uint64 // empty lists rejected
	InvalidHostIDs  uint64 // listed hosts ignored because of their id
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
