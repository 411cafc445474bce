package health

import "github.com/VictoriaMetrics/metrics"

// dropReason is the reason why an input was dropped or used only in part.
type dropReason uint8

const (
	dropUnknownBackend dropReason = iota
	dropOtherService
	dropMalformed
	dropUnknownService
	dropUnknownHost
	dropOld
	dropEpoch
	dropCount
)

var dropNames = [dropCount]string{
	"unknown_backend", "other_service", "malformed", "unknown_service", "unknown_host", "old", "epoch",
}

// coldCause is the reason why the cold ramp of a backend server was restarted.
type coldCause uint8

const (
	coldInstance coldCause = iota
	coldUptime
	coldShedding
	coldSilence
	coldCount
)

var coldNames = [coldCount]string{"instance", "uptime", "shedding", "silence"}

var (
	droppedTotal [dropCount]*metrics.Counter
	coldTotal    [coldCount]*metrics.Counter
	pollTotal    = map[string]*metrics.Counter{}
)

func init() {
	for i, name := range dropNames {
		droppedTotal[i] = metrics.GetOrCreateCounter(`nutmeglatch_health_dropped_total{reason="` + name + `"}`)
	}
	for i, name := range coldNames {
		coldTotal[i] = metrics.GetOrCreateCounter(`nutmeglatch_health_cold_starts_total{reason="` + name + `"}`)
	}
	for _, name := range []string{"timeout", "status", "malformed", "too_large", "connection"} {
		pollTotal[name] = metrics.GetOrCreateCounter(`nutmeglatch_health_poll_failures_total{reason="` + name + `"}`)
	}
}

func countDropped(r dropReason) { droppedTotal[r].Inc() }
func countCold(c coldCause)     { coldTotal[c].Inc() }
