package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const valid = `trace: one
seed: 1
duration: 10s
region: ga-north
entry_hosts:
  - {id: eh-1, data_centre: substation-a}
services:
  - name: gridwatch
    protocol: tcp
    backend_servers:
      - {name: gw-1, data_centre: substation-a, connections: 10, slots: 2, cold_connections: 1, cold_slots: 1, ramp: 5s}
events:
  - {at: 1s, action: kill, host: eh-1}
`

// TestParseFaults guards against invalid traces that are accepted, since a
// misread trace checks nothing. The error must name the line, the field and the
// allowed values.
func TestParseFaults(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown field", "seed: 1", "sed: 1", "t.yaml:2: sed: unknown_field"},
		{"unknown action", "action: kill", "action: kil", `t.yaml:13: events[0].action: invalid_value: "kil"; allowed: answers, `},
		{"unknown host", "host: eh-1", "host: eh-2", `t.yaml:13: events[0].host: invalid_value: "eh-2"; allowed: one of eh-1`},
		{"missing host", ", host: eh-1", "", "t.yaml:13: events[0].host: invalid_value: not set; allowed: one of eh-1"},
		{"missing unit", "ramp: 5s", "ramp: 5", "t.yaml:11: services[0].backend_servers[0].ramp: invalid_value"},
		{"after the end", "at: 1s", "at: 11s", "t.yaml:13: events[0].at: invalid_value: 11s; allowed: 0s to 10s"},
		{"cold above full", "cold_slots: 1", "cold_slots: 3", "t.yaml:11: services[0].backend_servers[0].cold_slots: invalid_value: 3; allowed: 1 to 2"},
		{"no YAML", "entry_hosts:\n", "entry_hosts: [\n", "t.yaml: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("t.yaml", []byte(strings.Replace(valid, tt.old, tt.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error is %v, want one with %q", err, tt.want)
			}
		})
	}
	if _, err := Parse("t.yaml", []byte(valid)); err != nil {
		t.Errorf("the trace that the cases change is invalid: %v", err)
	}
}

// FuzzParse guards against panics in the parser and against traces that pass the
// checks but make the setup of the fleet panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	files, _ := filepath.Glob("../../testdata/traces/*.yaml")
	for _, name := range files {
		if raw, err := os.ReadFile(name); err == nil {
			f.Add(raw)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		trace, err := Parse("t.yaml", raw)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "t.yaml:") {
				t.Errorf("error does not name the file: %v", err)
			}
			return
		}
		newFleet(trace)
	})
}
