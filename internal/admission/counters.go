package admission

import "github.com/VictoriaMetrics/metrics"

// dropReason says why an input was not used.
type dropReason uint8

const (
	dropUnknownBackend dropReason = iota
	dropUnknownService
	dropNotMember
	dropMalformed
	dropOld
	dropEpoch
	dropByteLimit
	dropCount
)

var dropNames = [dropCount]string{
	"unknown_backend", "unknown_service", "not_member", "malformed", "old", "epoch", "byte_limit",
}

// handover is the outcome of a handover of buckets.
type handover uint8

const (
	handoverComplete handover = iota
	handoverTimeout
	handoverCount
)

var handoverNames = [handoverCount]string{"complete", "timeout"}

var (
	droppedTotal  [dropCount]*metrics.Counter
	handoverTotal [handoverCount]*metrics.Counter
	refusedTotal  [refusalCount]*metrics.Counter
)

func init() {
	for i, name := range dropNames {
		droppedTotal[i] = metrics.GetOrCreateCounter(`nutmeglatch_admission_dropped_total{reason="` + name + `"}`)
	}
	for i, name := range handoverNames {
		handoverTotal[i] = metrics.GetOrCreateCounter(`nutmeglatch_admission_handovers_total{reason="` + name + `"}`)
	}
	for i, name := range refusalNames {
		refusedTotal[i] = metrics.GetOrCreateCounter(`nutmeglatch_admission_slots_refused_total{reason="` + name + `"}`)
	}
}

func countDropped(r dropReason)  { droppedTotal[r].Inc() }
func countHandover(h handover)   { handoverTotal[h].Inc() }
func countSlotRefusal(r Refusal) { refusedTotal[r].Inc() }

func refused(r dropReason) Result {
	countDropped(r)
	return Result{Refusal: dropNames[r]}
}
