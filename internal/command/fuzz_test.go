package command

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// FuzzParseRequest guards against panics, refusals without a reason, and requests
// that change when they are encoded for a backend server.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"method":"shutoff","params":{"meter":7},"deadline_ms":500}`))
	f.Add([]byte(`[{"jsonrpc":"2.0","id":"a","method":"x"}]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := ParseRequest(b)
		if err != nil {
			var re *RequestError
			if !errors.As(err, &re) {
				t.Fatalf("error without a reason: %v", err)
			}
			if body := re.Response(); body != nil && !json.Valid(body) {
				t.Fatalf("response is not JSON: %q", body)
			}
			return
		}
		m := RunRequest{ClaimKey: ClaimKey{ID: r.ID}, Method: r.Method, Params: r.Params}
		again, err := ParseRequest(backendRequest(&m, time.Second))
		if len(b) < MaxRequestBytes/2 && (err != nil || again.ID != r.ID || again.Digest != r.Digest) {
			t.Fatalf("request %q changed when it was encoded for the backend server: %v", b, err)
		}
	})
}

// FuzzParseReply guards against panics and against replies that are accepted
// without an id or without valid JSON.
func FuzzParseReply(f *testing.F) {
	f.Add([]byte(testAnswer))
	f.Add([]byte(testShed))
	f.Fuzz(func(t *testing.T, b []byte) {
		if p, ok := parseReply(b); ok && (p.id == "" || !json.Valid(b)) {
			t.Fatalf("accepted %q", b)
		}
	})
}

// FuzzMessages guards against messages of a peer that cause a panic or leave state
// that does not expire.
func FuzzMessages(f *testing.F) {
	f.Add(uint8(0), []byte(`{"service":"gridwatch","caller":"203.0.113.5:4000","id":"1","origin":"b","state":1,"remaining_ms":5000}`))
	f.Add(uint8(1), []byte(`{"service":"gridwatch","id":"1","state":2,"answer":{}}`))
	f.Add(uint8(2), []byte(`{"service":"gridwatch","claims":[{"service":"gridwatch","state":3}],"done":"AAE=","age_ms":30000}`))
	f.Add(uint8(3), []byte(`{"service":"gridwatch","target":"198.51.100.10:7002","backend":"127.0.10.1:6080","deadline_ms":50,"id":"1"}`))
	f.Add(uint8(4), []byte(`{"backend":"127.0.10.1:6080","body":{"jsonrpc":"2.0","id":1,"result":1}}`))
	f.Add(uint8(5), []byte(`{"service":"gridwatch","buckets":"AAE=","age_ms":-1}`))
	f.Fuzz(func(t *testing.T, kind uint8, b []byte) {
		s := newSim(t, "a", "b")
		setViews(ab, "a", "b")(s)
		h := s.hosts["a"]
		var (
			claim    ClaimRequest
			complete CompleteRequest
			transfer TransferRequest
			run      RunRequest
			passed   ReplyRequest
			coverage CoverageRequest
		)
		target := []any{&claim, &complete, &transfer, &run, &passed, &coverage}[kind%6]
		if json.Unmarshal(b, target) != nil {
			return
		}
		switch target {
		case &claim:
			h.state.Claim(s.now, "b", claim)
		case &complete:
			h.state.Complete(s.now, "b", complete)
		case &transfer:
			h.state.Transfer(s.now, "b", transfer)
		case &coverage:
			h.state.Coverage(s.now, "b", coverage)
		case &run:
			h.runner.Run(s.now, 1, run, true)
		case &passed:
			h.runner.Reply(s.now, passed.Backend, passed.Flow(), passed.Body, false)
		}
		for d := time.Duration(0); d < 3*DefaultRetention; d += 500 * time.Millisecond {
			h.state.Expire(s.now.Add(d))
			h.runner.Expire(s.now.Add(d))
		}
		if n, bytes := h.state.Claims(); n != 0 || bytes != 0 ||
			len(h.runner.runHistory)+len(h.runner.expiryQueue)+len(h.runner.order) != 0 {
			t.Fatalf("%d claims of %d bytes and %d run histories left", n, bytes, len(h.runner.runHistory))
		}
	})
}
