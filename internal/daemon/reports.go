package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/admission"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
)

// Kinds of report datagrams: the first byte of the body, before the content. The
// body of a probe is a JSON object, so its first byte differs from these.
const (
	kindAdmission    = 'a'
	kindHealth       = 'h'
	kindHealthAnswer = 'k' // acknowledges a health report
)

// sendReports sends the due reports of the health and admission packages.
func (c *control) sendReports(now time.Time) {
	for _, r := range c.limits.shares.Report(now) {
		if r.Call {
			c.call(r.To, admission.Method, r, nil)
			continue
		}
		c.sendReport(r.To, kindAdmission, &r)
	}
	for _, m := range c.limits.health.Messages(now) {
		if !m.Call {
			c.sendReport(m.To, kindHealth, &m)
			continue
		}
		c.call(m.To, health.Method, m, func(c *control, _ time.Time, err error) {
			if err == nil {
				c.limits.health.Delivered(m)
			}
		})
	}
}

// contentAppender is a report that can be sent in a datagram.
type contentAppender interface{ AppendContent(dst []byte) []byte }

// sendReport sends a report in one datagram. Its sender repeats it until it is
// acknowledged.
func (c *control) sendReport(to string, kind byte, report contentAppender) {
	addr, listed := (*c.d.listed.Load())[to]
	body := report.AppendContent([]byte{kind})
	if !listed || len(body)-1 > peer.MaxReport {
		counters.sendErrors.Inc()
		return
	}
	c.d.sendSealed(reportBytes, body, addr)
}

// isReport reports whether a datagram carries a report.
func isReport(body []byte) bool {
	return len(body) > 0 && (body[0] == kindAdmission || body[0] == kindHealth || body[0] == kindHealthAnswer)
}

// handleReport handles a report datagram of another entry host. After a pause
// of this process, reports that were queued in the socket are dropped, since
// their ages and loans are relative to the time of receipt.
func (d *Daemon) handleReport(dg peer.Datagram) {
	if dg.Replaced {
		countDroppedReason("report", "replaced_process")
		return
	}
	if d.isPaused(d.now()) {
		countDroppedReason("report", "paused")
		return
	}
	apply, err := decodeReport(dg.From, dg.Body[0], dg.Body[1:])
	if err != nil {
		countDroppedReason("report", "malformed")
		return
	}
	d.tryPost(apply)
}

// decodeReport decodes a report and returns the event that applies it on the
// control goroutine.
func decodeReport(from string, kind byte, content []byte) (event, error) {
	if kind == kindAdmission {
		r, err := admission.ParseContent(content)
		return func(c *control, now time.Time) { c.limits.shares.Receive(now, from, r) }, err
	}
	m, err := health.ParseContent(content)
	if kind == kindHealthAnswer {
		m.To = from
		return func(c *control, _ time.Time) { c.limits.health.Delivered(m) }, err
	}
	return func(c *control, now time.Time) {
		if c.limits.health.Receive(now, from, m).Accepted && m.WantAck {
			answer := m.Acknowledgement()
			c.sendReport(from, kindHealthAnswer, &answer)
		}
	}, err
}

// handleAdmission answers an admission report that came as a call.
func handleAdmission(d *Daemon, ctx context.Context, from string, params json.RawMessage) (any, error) {
	r, err := admission.ParseReport(params)
	if err != nil {
		countDroppedReason("call", "malformed")
		return nil, err
	}
	return runOnControl(ctx, d, func(c *control, now time.Time) bool {
		return c.limits.shares.Receive(now, from, r).Accepted
	})
}

// handleHealth answers a health report that came as a call. The sender repeats
// it after an error.
func handleHealth(d *Daemon, ctx context.Context, from string, params json.RawMessage) (any, error) {
	m, err := health.ParseMessage(params)
	if err != nil {
		countDroppedReason("call", "malformed")
		return nil, err
	}
	r, err := runOnControl(ctx, d, func(c *control, now time.Time) health.Result {
		return c.limits.health.Receive(now, from, m)
	})
	if err == nil && !r.Accepted {
		err = errors.Newf("health report refused: %s", r.Refusal)
	}
	return true, err
}
