package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// JSON-RPC error codes of answers that nutmeglatch generates.
const (
	codeNotRun  = -32001
	codeUnknown = -32002
)

// CommandOutcome is the outcome of a command as seen by its caller.
type CommandOutcome string

// Outcomes of commands.
const (
	CommandAnswered CommandOutcome = "answered"
	CommandNotRun   CommandOutcome = "not_run"
	CommandUnknown  CommandOutcome = "unknown"
	CommandRefused  CommandOutcome = "refused" // any other JSON-RPC error
	CommandTimeout  CommandOutcome = "timeout"
	CommandWrong    CommandOutcome = "wrong_answer"
)

// CommandConfig configures a command.
type CommandConfig struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	ID          uint64
	Method      string
	Params      string
	Repeat      time.Duration // interval at which the caller repeats the request
	Timeout     time.Duration // limit for the answer
}

// CommandResult is the result of a command.
type CommandResult struct {
	ID      CommandID
	Method  string
	Outcome CommandOutcome
	Sent    int           // transmissions of the request
	Elapsed time.Duration // from the first transmission to the outcome
	Message string        // reason of an outcome other than answered
}

// RunCommand sends a command, repeats it until an answer arrives or the timeout
// expires, and checks that the answer belongs to it.
func (c *Caller) RunCommand(ctx context.Context, cfg CommandConfig) CommandResult {
	id := strconv.FormatUint(cfg.ID, 10)
	res := CommandResult{ID: CommandID{Caller: cfg.Source, ID: id}, Method: cfg.Method}
	params, err := json.Marshal([]string{cfg.Params})
	if err != nil {
		res.Outcome = CommandRefused
		return res
	}
	body, err := json.Marshal(rpcRequest{Version: "2.0", ID: json.RawMessage(id), Method: cfg.Method, Params: params})
	if err != nil {
		res.Outcome = CommandRefused
		return res
	}
	key := packet.NewKey(cfg.Source, cfg.Destination, packet.ProtoUDP)
	inbox := c.register(key)
	defer c.unregister(key)
	start := time.Now()
	res.Outcome, res.Message = c.repeatCommand(ctx, cfg, &res, inbox, packet.AppendUDP(nil, key, body), params)
	res.Elapsed = time.Since(start)
	return res
}

func (c *Caller) repeatCommand(ctx context.Context, cfg CommandConfig, res *CommandResult, inbox <-chan answer, out, params []byte) (CommandOutcome, string) {
	timeout := time.NewTimer(cfg.Timeout)
	defer timeout.Stop()
	repeat := time.NewTicker(cfg.Repeat)
	defer repeat.Stop()
	for {
		c.send(out)
		res.Sent++
		select {
		case <-ctx.Done():
			return CommandTimeout, "cancelled"
		case <-timeout.C:
			return CommandTimeout, "no answer"
		case a := <-inbox:
			return classifyAnswer(a.payload, cfg, params)
		case <-repeat.C:
		}
	}
}

// classifyAnswer returns the outcome that an answer stands for, and a message.
func classifyAnswer(body []byte, cfg CommandConfig, params []byte) (CommandOutcome, string) {
	var r rpcResponse
	if err := json.Unmarshal(body, &r); err != nil {
		return CommandWrong, err.Error()
	}
	if string(r.ID) != strconv.FormatUint(cfg.ID, 10) {
		return CommandWrong, "answer to another request"
	}
	if r.Error != nil {
		switch r.Error.Code {
		case codeNotRun:
			return CommandNotRun, string(r.Error.Data)
		case codeUnknown:
			return CommandUnknown, string(r.Error.Data)
		default:
			return CommandRefused, r.Error.Message
		}
	}
	var result commandResult
	if err := json.Unmarshal(r.Result, &result); err != nil {
		return CommandWrong, err.Error()
	}
	if result.Method != cfg.Method || !bytes.Equal(result.Params, params) {
		return CommandWrong, "answer to another request"
	}
	return CommandAnswered, ""
}
