package daemon

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// errClosed is the error of operations on closed sockets.
var errClosed = net.ErrClosed

var counters = struct {
	socketErrors, sendErrors, eventsDropped, pauses, compareFailures, fetchFailures, cacheEvictions *metrics.Counter
}{
	socketErrors:    metrics.NewCounter("nutmeglatch_daemon_socket_errors_total"),
	sendErrors:      metrics.NewCounter("nutmeglatch_daemon_send_errors_total"),
	eventsDropped:   metrics.NewCounter("nutmeglatch_daemon_events_dropped_total"),
	pauses:          metrics.NewCounter("nutmeglatch_daemon_pauses_total"),
	compareFailures: metrics.NewCounter("nutmeglatch_configsync_compare_failures_total"),
	fetchFailures:   metrics.NewCounter("nutmeglatch_configsync_fetch_failures_total"),
	cacheEvictions:  metrics.NewCounter("nutmeglatch_flow_cache_evictions_total"),
}

// packetCounters are indexed by action and reason, so that counting a packet
// needs no lookup by name.
var packetCounters = newPacketCounters()

func newPacketCounters() [][]*metrics.Counter {
	all := make([][]*metrics.Counter, route.ToCommand+1)
	for kind := range all {
		name := route.ActionKind(kind).String()
		for _, r := range route.Reasons() {
			metric := fmt.Sprintf(`nutmeglatch_route_packets_total{action=%q,reason=%q}`, name, r)
			all[kind] = append(all[kind], metrics.GetOrCreateCounter(metric))
		}
	}
	return all
}

func countAction(a route.Action) { packetCounters[a.Kind][a.Reason].Inc() }

// dropReasons maps the errors of invalid input to the reason in the metrics.
var dropReasons = []struct {
	err  error
	name string
}{
	{packet.ErrTruncated, "truncated"},
	{packet.ErrVersion, "ip_version"},
	{packet.ErrProtocol, "protocol"},
	{packet.ErrFragment, "fragment"},
	{packet.ErrLength, "length"},
	{packet.ErrTag, "tag"},
	{packet.ErrForwardVersion, "version"},
	{packet.ErrKind, "kind"},
	{packet.ErrHops, "hop_limit"},
}

// countDropped counts invalid input by port and reason.
func countDropped(port string, err error) {
	for _, r := range dropReasons {
		if errors.Is(err, r.err) {
			countDroppedReason(port, r.name)
			return
		}
	}
	countDroppedReason(port, "malformed")
}

func countDroppedReason(port, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nutmeglatch_daemon_dropped_total{port=%q,reason=%q}`, port, reason)).Inc()
}

func countCallFailure(method string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nutmeglatch_peer_call_failures_total{method=%q}`, method)).Inc()
}

// countMembership adds the increase of the membership counters since the last
// call to the metrics, and sets the number of flow entries.
func (c *control) countMembership() {
	c.members.Counters().Each(func(name string, value uint64) {
		metrics.GetOrCreateCounter(name).AddInt64(int64(value - c.membersCounted[name]))
		c.membersCounted[name] = value
	})
	metrics.GetOrCreateGauge("nutmeglatch_flow_entries", nil).Set(float64(c.d.table.Len()))
}
