package standin

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// ShedCode is the JSON-RPC error code of a command that was refused before it
// started because every slot was busy.
const ShedCode = -32001

// methodCancel is the notification that cancels a request, as in the Language
// Server Protocol.
const methodCancel = "$/cancelRequest"

// rpcRequest is a JSON-RPC 2.0 request as a backend server receives it.
type rpcRequest struct {
	Version    string          `json:"jsonrpc"`
	ID         json.RawMessage `json:"id,omitempty"`
	Method     string          `json:"method"`
	Params     json.RawMessage `json:"params,omitempty"`
	DeadlineMS int64           `json:"deadline_ms,omitempty"`
}

type rpcError struct {
	Code    int             `json:"code"`
	Message string          `json:"message"`
	Data    json.RawMessage `json:"data,omitempty"`
}

type rpcResponse struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Result  json.RawMessage `json:"result,omitempty"`
	Error   *rpcError       `json:"error,omitempty"`
}

// commandResult is the result of a command. It repeats the parameters, so that a
// caller can detect the answer to another request.
type commandResult struct {
	Instance uint64          `json:"instance"`
	Method   string          `json:"method"`
	Params   json.RawMessage `json:"params,omitempty"`
}

func (b *Backend) handleCommand(out, payload []byte, from netip.AddrPort, info *packet.Info, now time.Time) []byte {
	var req rpcRequest
	if err := json.Unmarshal(payload, &req); err != nil {
		return out
	}
	if req.Method == methodCancel {
		b.cancel(info.Key.Source(), req.Params)
		return out
	}
	id := CommandID{Caller: info.Key.Source(), ID: string(req.ID)}
	allowed := b.allowance(now, b.cfg.Cold.Slots, b.cfg.Slots)
	b.stats.MaxOverSlots = max(b.stats.MaxOverSlots, len(b.busy)+1-allowed)
	if len(b.busy) >= allowed {
		b.stats.Sheds++
		b.shedAt = now
		return appendResponse(out, info.Key, rpcResponse{ID: req.ID, Error: &rpcError{Code: ShedCode, Message: "all slots are busy; not started"}})
	}
	b.start(id, req, info.Key, from, now)
	return out
}

func (b *Backend) start(id CommandID, req rpcRequest, k packet.Key, from netip.AddrPort, now time.Time) {
	b.runs[id]++
	b.stats.CommandsRun++
	if !b.countNewWorkAfter.IsZero() && now.After(b.countNewWorkAfter) {
		b.stats.NewWorkAfterLeaving++
	}
	result, err := json.Marshal(commandResult{Instance: b.stats.Instance, Method: req.Method, Params: req.Params})
	if err != nil {
		return
	}
	b.busy[id] = time.AfterFunc(b.cfg.CommandTime, func() {
		b.locked(func() { delete(b.busy, id) })
		b.send(appendResponse(nil, k, rpcResponse{ID: req.ID, Result: result}), from)
	})
}

// Busy returns the number of commands in progress.
func (b *Backend) Busy() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.busy)
}

func (b *Backend) cancel(caller netip.AddrPort, params json.RawMessage) {
	var p struct {
		ID json.RawMessage `json:"id"`
	}
	if err := json.Unmarshal(params, &p); err != nil {
		return
	}
	id := CommandID{Caller: caller, ID: string(p.ID)}
	if t, ok := b.busy[id]; ok {
		t.Stop()
		delete(b.busy, id)
		b.stats.Cancellations++
	}
}

func appendResponse(out []byte, request packet.Key, r rpcResponse) []byte {
	r.Version = "2.0"
	body, err := json.Marshal(r)
	if err != nil {
		return out
	}
	return packet.AppendUDP(out, request.Reverse(), body)
}
