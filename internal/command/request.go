package command

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Bounds of requests. MaxRequestBytes is the largest UDP payload over IPv4.
// MaxDepth is the deepest nesting of objects and arrays.
const (
	MaxRequestBytes = 65507
	MaxDepth        = 32
	MaxIDBytes      = 128
	MaxMethodBytes  = 128
	maxDeadlineMS   = int64(time.Hour / time.Millisecond)
)

// Request is a parsed JSON-RPC 2.0 request of a caller.
type Request struct {
	// ID is the request id in one JSON form per value, a string or an integer.
	ID     string
	Method string
	Params json.RawMessage
	// Deadline is the deadline_ms of the request, 0 if it has none.
	Deadline time.Duration
	// Digest covers the method and the parameters.
	Digest uint64
}

// RequestError is the reason for which a request was refused. ID is empty if the
// request has no valid id.
type RequestError struct {
	Reason Reason
	ID     string
	cause  error
}

func (e *RequestError) Error() string { return e.cause.Error() }

// Unwrap returns the error that describes the refused value.
func (e *RequestError) Unwrap() error { return e.cause }

// Response returns the error response for the caller, nil for notifications,
// which JSON-RPC 2.0 does not answer.
func (e *RequestError) Response() []byte {
	switch e.Reason {
	case ReasonNotification:
		return nil
	case ReasonMalformed:
		return ErrorResponse(e.ID, CodeParse, e.Reason)
	}
	return ErrorResponse(e.ID, CodeInvalidRequest, e.Reason)
}

func refuse(reason Reason, id, format string, args ...any) error {
	countRequestRefused(reason)
	return &RequestError{Reason: reason, ID: id, cause: errors.Newf(format, args...)}
}

// ParseRequest parses one request. Batches are refused, since their requests
// could be neither answered nor claimed together. Notifications are refused
// without an answer: a request without an id has no claim, so a duplicate of it
// could not be distinguished from a new request.
func ParseRequest(b []byte) (Request, error) {
	var r Request
	if err := checkBounds(b); err != nil {
		return r, err
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(b, &members); err != nil {
		return r, refuse(ReasonMalformed, "", "request is not a JSON object: %v", err)
	}
	rawID, present := members["id"]
	if !present {
		return r, refuse(ReasonNotification, "", "request has no id; notifications are not run")
	}
	id, ok := canonicalID(rawID)
	if !ok {
		return r, refuse(ReasonIDType, "", "id is neither a string of at most %d bytes nor a 64-bit integer", MaxIDBytes)
	}
	r.ID = id
	if string(members["jsonrpc"]) != `"2.0"` {
		return r, refuse(ReasonVersion, id, `jsonrpc is %.16q, allowed: "2.0"`, members["jsonrpc"])
	}
	if err := json.Unmarshal(members["method"], &r.Method); err != nil || !validMethod(r.Method) {
		return r, refuse(ReasonMethod, id, "method is not a string of 1 to %d bytes", MaxMethodBytes)
	}
	if err := parseParams(members["params"], &r); err != nil {
		return r, err
	}
	if err := parseDeadline(members["deadline_ms"], &r); err != nil {
		return r, err
	}
	r.Digest = digest(r.Method, r.Params)
	return r, nil
}

// validMethod checks the length of a method name. It also refuses the prefixes
// that the protocol reserves and the cancellation, which only the admitting host
// may send.
func validMethod(m string) bool {
	if m == "" || len(m) > MaxMethodBytes {
		return false
	}
	return !strings.HasPrefix(m, "rpc.") && !strings.HasPrefix(m, "$/")
}

func checkBounds(b []byte) error {
	if len(b) > MaxRequestBytes {
		return refuse(ReasonTooLarge, "", "request has %d bytes, allowed: %d", len(b), MaxRequestBytes)
	}
	if !utf8.Valid(b) {
		return refuse(ReasonMalformed, "", "request is not valid UTF-8")
	}
	if depth := nesting(b); depth > MaxDepth {
		return refuse(ReasonTooDeep, "", "request is nested %d deep, allowed: %d", depth, MaxDepth)
	}
	if t := bytes.TrimLeft(b, " \t\r\n"); len(t) > 0 && t[0] == '[' {
		return refuse(ReasonBatch, "", "request is a batch, allowed: one request per datagram")
	}
	return nil
}

// nesting returns the greatest depth of objects and arrays in b. It accepts input
// that is not valid JSON, since it runs before the parser.
func nesting(b []byte) int {
	depth, deepest, quoted := 0, 0, false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			depth++
			deepest = max(deepest, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return deepest
}

// canonicalID returns the id in one form per value, so that "a" and "\u0061"
// identify the same claim. Ids with the Unicode replacement character are refused
// because all invalid escapes decode to that character.
func canonicalID(raw json.RawMessage) (string, bool) {
	if len(raw) == 0 || len(raw) > 8*MaxIDBytes {
		return "", false
	}
	if raw[0] != '"' {
		n, err := strconv.ParseInt(string(raw), 10, 64)
		return strconv.FormatInt(n, 10), err == nil
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil || len(s) > MaxIDBytes || strings.ContainsRune(s, utf8.RuneError) {
		return "", false
	}
	return quote(s), true
}

func quote(s string) string {
	var buf bytes.Buffer
	e := json.NewEncoder(&buf)
	e.SetEscapeHTML(false)
	if err := e.Encode(s); err != nil {
		panic(err) // encoding a string cannot fail
	}
	return strings.TrimSuffix(buf.String(), "\n")
}

func parseParams(raw json.RawMessage, r *Request) error {
	if len(raw) == 0 {
		return nil
	}
	if raw[0] != '{' && raw[0] != '[' {
		return refuse(ReasonParams, r.ID, "params is neither an object nor an array")
	}
	var buf bytes.Buffer
	if err := json.Compact(&buf, raw); err != nil {
		return refuse(ReasonMalformed, r.ID, "params: %v", err)
	}
	r.Params = buf.Bytes()
	return nil
}

func parseDeadline(raw json.RawMessage, r *Request) error {
	if len(raw) == 0 {
		return nil
	}
	ms, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil || ms < 1 || ms > maxDeadlineMS {
		return refuse(ReasonDeadlineValue, r.ID, "deadline_ms is %.24q, allowed: 1 to %d", raw, maxDeadlineMS)
	}
	r.Deadline = time.Duration(ms) * time.Millisecond
	return nil
}

func digest(method string, params []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(method)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(params)
	return d.Sum64()
}
