package command

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Reason is why a request, run, claim or reply was refused, dropped or retried.
// It is the value of the counters' reason label and of data.reason in answers.
type Reason string

// Reasons.
const (
	ReasonMalformed     Reason = "malformed"
	ReasonTooLarge      Reason = "too_large"
	ReasonTooDeep       Reason = "too_deep"
	ReasonBatch         Reason = "batch"
	ReasonNotification  Reason = "notification"
	ReasonIDType        Reason = "id_type"
	ReasonVersion       Reason = "version"
	ReasonMethod        Reason = "method"
	ReasonParams        Reason = "params"
	ReasonDeadlineValue Reason = "deadline_value"

	ReasonNotServing       Reason = "not_serving"
	ReasonLeaving          Reason = "leaving"
	ReasonNotOwner         Reason = "not_owner"
	ReasonNoMajority       Reason = "no_majority"
	ReasonClaimsIncomplete Reason = "claims_incomplete"
	ReasonClaimNotStored   Reason = "claim_not_stored"
	ReasonClaimsFull       Reason = "claims_full"
	ReasonMismatch         Reason = "digest_mismatch"
	ReasonPending          Reason = "pending"
	ReasonReplayed         Reason = "replayed"
	ReasonNoBackend        Reason = "no_backend_server"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonDeadline         Reason = "deadline"
	ReasonNotSent          Reason = "not_sent"
	ReasonCallLost         Reason = "call_lost"
	ReasonNoAnswer         Reason = "no_answer"
	ReasonAnswerTooLarge   Reason = "answer_too_large"

	ReasonShed             Reason = "shed"
	ReasonNotAdmittingHost Reason = "not_admitting_host"
	ReasonNoSlot           Reason = "no_slot"
	ReasonQueueFull        Reason = "slot_queue_full"
	ReasonWaitTooLong      Reason = "slot_wait_too_long"
	ReasonWaitExpired      Reason = "slot_wait_expired"
	ReasonAlreadySeen      Reason = "already_seen"
	ReasonBackendTried     Reason = "backend_server_tried"
	ReasonSeenFull         Reason = "seen_full"
	ReasonLate             Reason = "late"
	ReasonUnmatched        Reason = "unmatched"
)

// otherHostAdmits reports whether a run was refused because another host admits
// the commands of the backend server. Nothing was sent to the backend server, so
// another attempt adds no load to it and needs no retry budget.
func (r Reason) otherHostAdmits() bool {
	return r == ReasonLeaving || r == ReasonNotAdmittingHost || r == ReasonNotServing
}

// isSlotWait reports whether a command was refused because it may not wait, or
// not wait longer, for a slot. Only counters distinguish these reasons; callers
// receive ReasonNoSlot.
func (r Reason) isSlotWait() bool {
	return r == ReasonQueueFull || r == ReasonWaitTooLong || r == ReasonWaitExpired
}

var (
	requests  = metrics.NewCounter("nutmeglatch_command_requests_total")
	answers   = metrics.NewCounter("nutmeglatch_command_answers_total")
	slotWaits = metrics.NewCounter("nutmeglatch_command_slot_waits_total")
)

func count(event string, reason Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nutmeglatch_command_%s_total{reason=%q}`, event, string(reason))).Inc()
}

func countRequestRefused(r Reason) { count("request_refused", r) }
func countNotRun(r Reason)         { count("not_run", r) }
func countUnknown(r Reason)        { count("unknown", r) }
func countRepeat(r Reason)         { count("repeat", r) }
func countRetry(r Reason)          { count("retry", r) }
func countClaimRefused(r Reason)   { count("claim_refused", r) }
func countRunRefused(r Reason)     { count("run_refused", r) }
func countReplyDropped(r Reason)   { count("reply_dropped", r) }
func countResultDropped(r Reason)  { count("result_dropped", r) }
