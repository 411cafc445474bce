package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/strictyaml"
)

const valid = `host_id: sub-a-1
data_centre: substation-a
region: ga-north
gue: 127.20.1.1:6080
peer: 127.20.1.1:6090
admin: 127.20.1.1:6070
fabric_return: 127.20.0.1:6081
peer_key: 000102030405060708090a0b0c0d0e0f
platform:
  url: http://127.20.0.2:8500
`

func noEnvironment(string) string { return "" }

// TestDefaults guards against a default that the checks reject or that
// overrides a configured value, and against a printed peer key.
func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(valid+"limits: {max_flows: 5000}\n"), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits.MaxFlows != 5000 || s.Limits.GroupSize != 8 || s.Platform.Prefix != DefaultPrefix || s.Shutdown.Limit != s.Limits.ClaimRetention+s.Limits.CommandDeadline+document.Duration(ShutdownMargin) {
		t.Errorf("settings: %+v", s)
	}
	if text := fmt.Sprintf("%v %+v %#v", s.PeerKey, *s, *s); strings.Contains(text, "0x01, 0x2") || strings.Contains(text, "1 2 3 4") {
		t.Errorf("the key is printed: %s", text)
	}
}

// TestPeerKeyFromEnvironment guards against a key in the environment that is
// ignored, accepted although it is invalid, or shown in an error.
func TestPeerKeyFromEnvironment(t *testing.T) {
	raw := []byte(strings.Replace(valid, "peer_key: 000102030405060708090a0b0c0d0e0f\n", "", 1))
	rows := map[string]bool{strings.Repeat("ab", 16): true, "": false, "abcd": false, "secretsecretsecretsecretsecretse": false}
	for text, ok := range rows {
		s, err := Parse(raw, func(string) string { return text })
		if (err == nil) != ok {
			t.Errorf("key %q: %v", text, err)
		}
		if ok && len(s.PeerKey) != 16 {
			t.Errorf("key %q: %d bytes", text, len(s.PeerKey))
		}
		if err != nil && text != "" && strings.Contains(err.Error(), text) {
			t.Errorf("the error shows the key: %v", err)
		}
	}
}

// TestFaults guards against invalid settings that are accepted, or reported
// without field and value. Each row changes or adds one setting.
func TestFaults(t *testing.T) {
	rows := []struct{ old, new, field, value string }{
		{"host_id: sub-a-1", "host_id: Sub A", "host_id", "Sub A"},
		{"data_centre: substation-a\n", "", "data_centre", ""},
		{"region: ga-north", "region: ~", "region", "null"},
		{"gue: 127.20.1.1:6080", "gue: 127.20.1.1", "gue", "127.20.1.1"},
		{"gue: 127.20.1.1:6080", "gue: 127.20.1.2:6080", "peer", "127.20.1.1:6090"},
		{"peer: 127.20.1.1:6090", "peer: 127.20.1.1:6080", "peer", "127.20.1.1:6080"},
		{"admin: 127.20.1.1:6070", "admin: 0.0.0.0:6070", "admin", "0.0.0.0:6070"},
		{"fabric_return: 127.20.0.1:6081", "fabric_return: 127.20.1.1:6080", "fabric_return", "127.20.1.1:6080"},
		{"0e0f", "0e", "peer_key", "15 bytes"},
		{"0e0f", "0e0x", "peer_key", strictyaml.HiddenValue},
		{"url: http://127.20.0.2:8500", "url: 127.20.0.2:8500", "platform.url", "127.20.0.2:8500"},
		{"url: http://127.20.0.2:8500", "type: directory", "platform.path", ""},
		{"url:", "type: etcd\n  url:", "platform.type", "etcd"},
		{"url:", "prefix: /x\n  url:", "platform.prefix", "/x"},
		{"url:", "wait: 11m\n  url:", "platform.wait", "11m0s"},
		{"url:", "poll: 0s\n  url:", "platform.poll", "0s"},
		{"url:", "path: x\n  url:", "platform.path", "x"},
		{"", "limits: {max_flows: 10}", "limits.max_flows", "10"},
		{"", "limits: {max_message: 3000000}", "limits.max_message", "3000000"},
		{"", "limits: {claim_retention: 29s}", "limits.claim_retention", "29s"},
		{"", "limits: {command_deadline: 16s, claim_retention: 40s}\nshutdown: {limit: 40s}", "limits.command_deadline", "16s"},
		{"", "limits: {group_size: 0}", "limits.group_size", "0"},
		{"", "probe: {interval: 1ms, timeout: 5ms}", "probe.interval", "1ms"},
		{"", "probe: {timeout: 300ms}", "probe.timeout", "300ms"},
		{"", "probe: {suspect_for: 1}", "probe.suspect_for", "1"},
		{"", "probe: {indirect_probes: -1}", "probe.indirect_probes", "-1"},
		{"", "pause_limit: 2m", "pause_limit", "2m0s"},
		{"", "start_check: 0s", "start_check", "0s"},
		{"", "shutdown: {quiet_for: 2m}", "shutdown.quiet_for", "2m0s"},
		{"", "shutdown: {limit: 15s}", "shutdown.limit", "15s"},
		{"", "workers: 257", "workers", "257"},
		{"", "log_level: loud", "log_level", "loud"},
		{"", "colour: red", "colour", "red"},
	}
	for _, row := range rows {
		raw := strings.Replace(valid, row.old, row.new, 1)
		if row.old == "" {
			raw = valid + row.new
		}
		_, err := Parse([]byte(raw), noEnvironment)
		faults, _ := strictyaml.AsFaults(err)
		if len(faults) != 1 || faults[0].Field != row.field || !strings.Contains(faults[0].Value, row.value) || faults[0].Allowed == "" {
			t.Errorf("%q: got %v, want one fault of %s with value %q", row.new, faults, row.field, row.value)
		}
	}
	_, err := Parse([]byte("workers: -1\n"), noEnvironment)
	if faults, _ := strictyaml.AsFaults(err); len(faults) != 10 {
		t.Errorf("got %d faults, want all 10 at once: %v", len(faults), faults)
	}
}

// FuzzParse guards against settings that panic the parser or are accepted
// without a host id, a GUE address or a sufficiently long peer key.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw, noEnvironment)
		if err == nil && (s.HostID == "" || !s.GUE.IsValid() || len(s.PeerKey) < MinKeyBytes) {
			t.Errorf("accepted %+v", s)
		}
	})
}
