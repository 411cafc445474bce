package command

import (
	"encoding/json"
	"strconv"
	"time"
)

// Error codes of answers. CodeNotRun is also the code with which a backend
// server rejects a command before starting it.
const (
	CodeParse          = -32700
	CodeInvalidRequest = -32600
	CodeNotRun         = -32001
	CodeUnknown        = -32002
	CodeMismatch       = -32003
)

var messages = map[int]string{
	CodeParse:          "parse error",
	CodeInvalidRequest: "invalid request",
	CodeNotRun:         "command was not run",
	CodeUnknown:        "outcome of the command is unknown",
	CodeMismatch:       "request id was used with other content",
}

// MaxAnswerBytes is the largest answer. An inner IPv6 packet with a 40-byte IP
// header, an 8-byte UDP header and the answer must fit the 65507-byte payload of
// an outer IPv4 datagram.
const MaxAnswerBytes = 65507 - 40 - 8

const cancelMethod = "$/cancelRequest"

type responseError struct {
	Code    int       `json:"code"`
	Message string    `json:"message"`
	Data    errorData `json:"data"`
}

type errorData struct {
	Reason Reason `json:"reason"`
}

// ErrorResponse returns the error response to request id, null when id is empty.
func ErrorResponse(id string, code int, reason Reason) []byte {
	if id == "" {
		id = "null"
	}
	body, err := json.Marshal(struct {
		Version string          `json:"jsonrpc"`
		ID      json.RawMessage `json:"id"`
		Error   responseError   `json:"error"`
	}{"2.0", json.RawMessage(id), responseError{code, messages[code], errorData{reason}}})
	if err != nil {
		return nil // the id is not valid JSON
	}
	return body
}

// backendRequest returns the request as it is sent to a backend server.
func backendRequest(m *RunRequest, deadline time.Duration) []byte {
	b := make([]byte, 0, len(m.ID)+len(m.Method)+len(m.Params)+80)
	b = append(b, `{"jsonrpc":"2.0","id":`...)
	b = append(b, m.ID...)
	b = append(b, `,"method":`...)
	b = append(b, quote(m.Method)...)
	if len(m.Params) > 0 {
		b = append(b, `,"params":`...)
		b = append(b, m.Params...)
	}
	b = append(b, `,"deadline_ms":`...)
	b = strconv.AppendInt(b, deadline.Milliseconds(), 10)
	return append(b, '}')
}

func cancelNotification(id string) []byte {
	return []byte(`{"jsonrpc":"2.0","method":"` + cancelMethod + `","params":{"id":` + id + `}}`)
}

// reply is a parsed response of a backend server.
type reply struct {
	id   string
	shed bool // the backend server rejected the command before starting it
}

// parseReply parses b and reports whether it is one complete JSON-RPC 2.0
// response.
func parseReply(b []byte) (reply, bool) {
	if len(b) == 0 || nesting(b) > MaxDepth {
		return reply{}, false
	}
	var members map[string]json.RawMessage
	if json.Unmarshal(b, &members) != nil || string(members["jsonrpc"]) != `"2.0"` {
		return reply{}, false
	}
	id, ok := canonicalID(members["id"])
	_, result := members["result"]
	rawError, failed := members["error"]
	if !ok || result == failed {
		return reply{}, false
	}
	if !failed {
		return reply{id: id}, true
	}
	var e struct {
		Code *int64 `json:"code"`
	}
	if json.Unmarshal(rawError, &e) != nil || e.Code == nil {
		return reply{}, false
	}
	return reply{id: id, shed: *e.Code == CodeNotRun}, true
}
