package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	directionIn  = "in"
	directionOut = "out"

	reasonUnlisted = "unlisted"
	reasonDial     = "dial_failed"
)

// counters increments the metrics of this package.
type counters struct{ set *metrics.Set }

func (c counters) inc(format string, labels ...any) {
	c.set.GetOrCreateCounter(fmt.Sprintf("nutmeglatch_peer_"+format, labels...)).Inc()
}

func (c counters) call(outcome string) { c.inc("calls_total{outcome=%q}", outcome) }

func (c counters) retry(reason string) { c.inc("call_retries_total{reason=%q}", reason) }

func (c counters) closed(direction, reason string) {
	c.inc("connections_closed_total{direction=%q,reason=%q}", direction, reason)
}

func (c counters) refused(direction, reason string) {
	c.inc("connections_refused_total{direction=%q,reason=%q}", direction, reason)
}

func (c counters) request(reason string) { c.inc("requests_refused_total{reason=%q}", reason) }

func handshakeReason(err error) string {
	switch {
	case errors.Is(err, errMAC):
		return "wrong_key"
	case errors.Is(err, ErrUnlisted):
		return reasonUnlisted
	case errors.Is(err, errWrongHost):
		return "wrong_host"
	case errors.Is(err, errHandshake):
		return "malformed"
	case errors.Is(err, errFrameSize):
		return "too_large"
	default:
		return "handshake_incomplete"
	}
}

// datagramReasons are the counter labels of refused datagrams.
var datagramReasons = []struct {
	err    error
	reason string
}{
	{ErrTruncated, "truncated"},
	{ErrTooLarge, "too_large"},
	{ErrUnknownVersion, "unknown_version"},
	{ErrInvalidSender, "invalid_sender"},
	{ErrWrongTag, "wrong_tag"},
	{ErrReplayed, "replayed"},
	{ErrTooOld, "too_old"},
	{ErrOldBoot, "old_boot"},
}

// CountRefusedDatagram counts a datagram that was refused with err. Datagrams
// counts those that it refuses itself. Errors that are not of this package, such
// as those of the body, are counted as malformed.
func CountRefusedDatagram(set *metrics.Set, err error) {
	counters{set}.inc("datagrams_refused_total{reason=%q}", datagramReason(err))
}

func datagramReason(err error) string {
	for _, r := range datagramReasons {
		if errors.Is(err, r.err) {
			return r.reason
		}
	}
	return "malformed"
}
