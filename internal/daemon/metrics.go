package daemon

import (
	"fmt"
	"net"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// errClosed is the error of operations on closed sockets.
var errClosed = net.ErrClosed

var counters = struct {
	socketErrors, sendErrors, eventsDropped, pauses, accepted, compareFailures *metrics.Counter
}{
	socketErrors:    metrics.NewCounter("nutmeglatch_daemon_socket_errors_total"),
	sendErrors:      metrics.NewCounter("nutmeglatch_daemon_send_errors_total"),
	eventsDropped:   metrics.NewCounter("nutmeglatch_daemon_events_dropped_total"),
	pauses:          metrics.NewCounter("nutmeglatch_daemon_pauses_total"),
	accepted:        metrics.NewCounter("nutmeglatch_configsync_accepted_total"),
	compareFailures: metrics.NewCounter("nutmeglatch_configsync_compare_failures_total"),
}

// actionNames are the label values of the counters of packets.
var actionNames = map[route.ActionKind]string{
	route.ToBackend:   "to_backend_server",
	route.ToPeer:      "to_entry_host",
	route.ToCaller:    "to_caller",
	route.ResetCaller: "reset_caller",
	route.ToCommand:   "command",
	route.Drop:        "drop",
}

// packetCounters are indexed by action and reason, so that counting a packet
// needs no lookup by name.
var packetCounters = newPacketCounters()

func newPacketCounters() map[route.ActionKind][]*metrics.Counter {
	all := map[route.ActionKind][]*metrics.Counter{}
	for kind, name := range actionNames {
		for _, r := range route.Reasons() {
			metric := fmt.Sprintf(`nutmeglatch_route_packets_total{action=%q,reason=%q}`, name, r)
			all[kind] = append(all[kind], metrics.GetOrCreateCounter(metric))
		}
	}
	return all
}

func countAction(a route.Action) { packetCounters[a.Kind][a.Reason].Inc() }

// countDropped counts bad input by port and error.
func countDropped(port string, err error) {
	countDroppedReason(port, strings.ReplaceAll(err.Error(), " ", "_"))
}

func countDroppedReason(port, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nutmeglatch_daemon_dropped_total{port=%q,reason=%q}`, port, reason)).Inc()
}

func countRefused(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nutmeglatch_configsync_refused_total{reason=%q}`, reason)).Inc()
}

func countCallFailure(method string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nutmeglatch_peer_call_failures_total{method=%q}`, method)).Inc()
}
