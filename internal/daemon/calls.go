package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/admission"
	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/configsync"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/membership"
)

// methodMembers is the call that returns the membership state of a host.
const methodMembers = "membership.updates"

// callHandler answers one method.
type callHandler func(d *Daemon, ctx context.Context, from string, params json.RawMessage) (any, error)

// callHandlers maps the methods that peers may call.
var callHandlers = map[string]callHandler{
	configsync.MethodPush:     handlePush,
	configsync.MethodPartial:  handlePartial,
	configsync.MethodVersions: handleVersions,
	configsync.MethodFetch:    handleFetch,
	methodMembers:             handleMembers,
	command.MethodClaim:       handleClaim,
	command.MethodRun:         handleRun,
	command.MethodComplete:    handleComplete,
	command.MethodReply:       handleReply,
	command.MethodTransfer:    handleTransfer,
	command.MethodCoverage:    handleCoverage,
	admission.Method:          handleAdmission,
	admission.MethodSlots:     handleSlots,
	health.Method:             handleHealth,
}

// handleCall answers a call of another entry host.
func (d *Daemon) handleCall(ctx context.Context, from, method string, params json.RawMessage) (any, error) {
	h, ok := callHandlers[method]
	if !ok {
		countDroppedReason("call", "unknown_method")
		return nil, errors.Newf("unknown method %q", method)
	}
	return h(d, ctx, from, params)
}

// decodeParams decodes the parameters of a call and counts malformed ones.
func decodeParams[T any](params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		countDroppedReason("call", "malformed")
		return v, errors.Wrap(err, "parameters")
	}
	return v, nil
}

// answer decodes the parameters of a call, runs f on the control goroutine and
// returns its result.
func answer[P, R any](d *Daemon, ctx context.Context, params json.RawMessage, f func(c *control, now time.Time, p P) R) (any, error) {
	p, err := decodeParams[P](params)
	if err != nil {
		return nil, err
	}
	return runOnControl(ctx, d, func(c *control, now time.Time) R { return f(c, now, p) })
}

func handlePush(d *Daemon, ctx context.Context, from string, params json.RawMessage) (any, error) {
	p, err := decodeParams[configsync.PushMessage](params)
	if err != nil {
		return nil, err
	}
	if len(p.Values) > 0 || len(p.Announcements) == 0 {
		if err := d.offer(ctx, from, p.Values); err != nil {
			return nil, err
		}
	}
	if len(p.Announcements) == 0 {
		return true, nil
	}
	return runOnControl(ctx, d, func(c *control, now time.Time) bool {
		c.fetchAnnounced(now, from, p.Announcements)
		return true
	})
}

func handlePartial(d *Daemon, ctx context.Context, _ string, _ json.RawMessage) (any, error) {
	return runOnControl(ctx, d, func(c *control, _ time.Time) configsync.PartialMessage {
		return configsync.PartialMessage{Summary: c.config.Summary(), Parts: c.config.PartialDigests()}
	})
}

func handleMembers(d *Daemon, ctx context.Context, _ string, _ json.RawMessage) (any, error) {
	return runOnControl(ctx, d, func(c *control, _ time.Time) []membership.Update { return c.members.Updates() })
}

func handleVersions(d *Daemon, ctx context.Context, _ string, params json.RawMessage) (any, error) {
	return answer(d, ctx, params, func(c *control, _ time.Time, p configsync.VersionsRequest) configsync.VersionsResponse {
		return configsync.VersionsResponse{Versions: c.config.Versions(p.Parts)}
	})
}

func handleFetch(d *Daemon, ctx context.Context, _ string, params json.RawMessage) (any, error) {
	p, err := decodeParams[configsync.FetchRequest](params)
	if err != nil {
		return nil, err
	}
	values, err := runOnControl(ctx, d, func(c *control, _ time.Time) []configsync.Value { return c.config.Fetch(p) })
	if err != nil {
		return nil, err
	}
	if !p.Packed {
		return configsync.FetchResponse{Values: values}, nil
	}
	for i, v := range values {
		values[i] = v.Pack() // compressing here keeps the control goroutine free
	}
	return configsync.FetchResponse{Values: values}, nil
}
