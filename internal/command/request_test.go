package command

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func envelope(members string) string { return `{"jsonrpc":"2.0","method":"m",` + members + `}` }

// TestParseRequest guards against requests that exceed the bounds or have an
// ambiguous id and are accepted, and against valid requests that are refused.
func TestParseRequest(t *testing.T) {
	deep := strings.Repeat("[", MaxDepth) + strings.Repeat("]", MaxDepth)
	tests := []struct {
		name, body string
		want       Reason
		id         string
	}{
		{"integer id", envelope(`"id":-7`), "", "-7"},
		{"string id", envelope(`"id":"a<b"`), "", `"a<b"`},
		{"escaped id", envelope(`"id":"\u0061"`), "", `"a"`},
		{"brackets in strings", envelope(`"id":1,"params":["` + strings.Repeat("[", 99) + `\""]`), "", "1"},
		{"nested as deep as allowed", envelope(`"id":1,"params":` + deep[1:len(deep)-1]), "", "1"},
		{"too deep", envelope(`"id":1,"params":` + deep), ReasonTooDeep, ""},
		{"too large", strings.Repeat(" ", MaxRequestBytes+1), ReasonTooLarge, ""},
		{"empty", "", ReasonMalformed, ""},
		{"null", "null", ReasonNotification, ""},
		{"truncated", `{"jsonrpc":"2.0",`, ReasonMalformed, ""},
		{"batch", "\n[" + envelope(`"id":1`) + "]", ReasonBatch, ""},
		{"notification", `{"jsonrpc":"2.0","method":"m"}`, ReasonNotification, ""},
		{"member in another case", `{"jsonrpc":"2.0","method":"m","ID":1}`, ReasonNotification, ""},
		{"null id", envelope(`"id":null`), ReasonIDType, ""},
		{"fractional id", envelope(`"id":1.0`), ReasonIDType, ""},
		{"object id", envelope(`"id":{}`), ReasonIDType, ""},
		{"invalid escape in id", envelope(`"id":"\ud800"`), ReasonIDType, ""},
		{"long id", envelope(`"id":"` + strings.Repeat("x", MaxIDBytes+1) + `"`), ReasonIDType, ""},
		{"version", `{"jsonrpc":"1.0","method":"m","id":1}`, ReasonVersion, "1"},
		{"no method", `{"jsonrpc":"2.0","id":1}`, ReasonMethod, "1"},
		{"reserved method", `{"jsonrpc":"2.0","id":1,"method":"$/cancelRequest"}`, ReasonMethod, "1"},
		{"scalar params", envelope(`"id":1,"params":7`), ReasonParams, "1"},
		{"deadline", envelope(`"id":1,"deadline_ms":0`), ReasonDeadlineValue, "1"},
		{"invalid UTF-8", envelope("\"id\":\"\xff\""), ReasonMalformed, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r, err := ParseRequest([]byte(tc.body))
			var re *RequestError
			if errors.As(err, &re) {
				if re.Reason != tc.want || re.ID != tc.id {
					t.Fatalf("refused %s id %q, want %q id %q", re.Reason, re.ID, tc.want, tc.id)
				}
				if silent := re.Response() == nil; silent != (tc.want == ReasonNotification) {
					t.Errorf("response %q", re.Response())
				}
			} else if tc.want != "" || r.ID != tc.id {
				t.Fatalf("accepted with id %q, want %q %s", r.ID, tc.id, tc.want)
			}
		})
	}
}
