package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/follower"
)

var (
	packetsMalformed = metrics.NewCounter(`nutmeglatch_entry_dropped_total{port="packets",reason="malformed"}`)
	peerMalformed    = metrics.NewCounter(`nutmeglatch_entry_dropped_total{port="peer",reason="malformed"}`)
	packetErrors     = metrics.NewCounter(`nutmeglatch_entry_socket_errors_total{port="packets"}`)
	peerErrors       = metrics.NewCounter(`nutmeglatch_entry_socket_errors_total{port="peer"}`)
	eventsDropped    = metrics.NewCounter(`nutmeglatch_entry_events_dropped_total`)
	linesSuppressed  = metrics.NewCounter(`nutmeglatch_entry_log_lines_total{outcome="over_budget"}`)
	linesLost        = metrics.NewCounter(`nutmeglatch_entry_log_lines_total{outcome="queue_full"}`)
	fetchFailures    = metrics.NewCounter(`nutmeglatch_entry_fetch_failures_total`)
	bootstrapReplies = metrics.NewCounter(`nutmeglatch_entry_introductions_total`)
	// checkMessagesRefused counts messages about checks from unknown hosts, and requests for checks of another data centre.
	checkMessagesRefused = metrics.NewCounter(`nutmeglatch_entry_dropped_total{port="peer",reason="not_of_own_data_centre"}`)

	checksAsked     = metrics.NewCounter(`nutmeglatch_healthcheck_requests_total`)
	findingsDropped = metrics.NewCounter(`nutmeglatch_healthcheck_findings_dropped_total`)
	// findingsContradicted counts failed checks of other hosts after whose start this host saw an answer of the server.
	findingsContradicted = metrics.NewCounter(`nutmeglatch_healthcheck_findings_contradicted_total`)
	// findingsOutdated counts failed checks of other hosts that may have waited too long at this host to be dated.
	findingsOutdated = metrics.NewCounter(`nutmeglatch_healthcheck_findings_outdated_total`)
	configVersion    = metrics.NewGauge(`nutmeglatch_entry_config_version`, nil)

	withdrawnGauge = metrics.NewGauge(`nutmeglatch_withdrawal_withdrawn`, nil)
	returns        = metrics.NewCounter(`nutmeglatch_withdrawal_returns_total`)
	contactAsks    = metrics.NewCounter(`nutmeglatch_gossip_questions_total{reason="contact"}`)
	voteAsks       = metrics.NewCounter(`nutmeglatch_gossip_questions_total{reason="vote"}`)
	choicesByFlows = metrics.NewCounter(`nutmeglatch_work_choices_total{reason="flows"}`)
	choicesByWork  = metrics.NewCounter(`nutmeglatch_work_choices_total{reason="expected_work"}`)
	slowServers    = metrics.NewCounter(`nutmeglatch_work_slow_servers_total`)

	openingTime   = metrics.NewHistogram(`nutmeglatch_affinity_opening_answer_seconds`)
	storeCallTime = metrics.NewHistogram(`nutmeglatch_follower_call_seconds`)

	verdictCounters [4][affinity.ReasonCount]*metrics.Counter
	resetCounters   [affinity.ReasonCount]*metrics.Counter
)

func init() {
	for a, action := range []string{"drop", "forward", "reject", "hold"} {
		for reason := range affinity.ReasonCount {
			name := fmt.Sprintf(`nutmeglatch_affinity_packets_total{action=%q,reason=%q}`, action, reason)
			verdictCounters[a][reason] = metrics.NewCounter(name)
		}
	}
	for reason := range affinity.ReasonCount {
		resetCounters[reason] = metrics.NewCounter(fmt.Sprintf(`nutmeglatch_affinity_resets_ordered_total{reason=%q}`, reason))
	}
}

func countVerdict(v affinity.Verdict) {
	verdictCounters[v.Action][v.Reason].Inc()
	switch {
	case v.Reason != affinity.NewFlow && v.Reason != affinity.OpeningCopy:
	case v.ExpectedWork > 0:
		choicesByWork.Inc()
	default:
		choicesByFlows.Inc()
	}
}

func countReset(r affinity.FlowReset) { resetCounters[r.Reason].Inc() }

func countCall(kind follower.Kind) {
	name := "watch"
	if kind == follower.ReadAll {
		name = "read_all"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`nutmeglatch_follower_calls_total{kind=%q}`, name)).Inc()
}

func countOutcome(o follower.Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nutmeglatch_follower_outcomes_total{outcome=%q}`, o)).Inc()
}

func countHealthChange(c affinity.HealthChange) {
	name := fmt.Sprintf(`nutmeglatch_affinity_beliefs_total{belief=%q,cause=%q}`, c.Health, c.Cause)
	metrics.GetOrCreateCounter(name).Inc()
}

func countCheck(o affinity.CheckOutcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nutmeglatch_affinity_checks_total{outcome=%q}`, o)).Inc()
}

// countWithdrawal counts a withdrawal of this host from the routers.
func countWithdrawal(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nutmeglatch_withdrawal_withdrawals_total{reason=%q}`, reason)).Inc()
}

func countVoteChange(vote bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nutmeglatch_withdrawal_vote_changes_total{vote="%t"}`, vote)).Inc()
}
