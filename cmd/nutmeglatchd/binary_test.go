package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against changed exit statuses and messages of the real process, which
// service managers and operators rely on.
func TestBinaryReportsUsageAndFaults(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	text := "host_id: host-1\ngue: not-an-address\nworkers: -1\nunknown_field: 1\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args   []string
		status int
		output []string // each on a separate line
	}{
		"help":         {[]string{"--help"}, exitOK, []string{"-settings"}},
		"unknown flag": {[]string{"--no-such-flag"}, exitUsage, []string{"no-such-flag"}},
		"no settings":  {nil, exitUsage, []string{"--settings"}},
		"missing file": {[]string{"--settings", file + ".missing"}, exitUsage, []string{"no such file"}},
		"faulty settings": {[]string{"--settings", file}, exitUsage, []string{
			"gue: invalid_value", "workers: invalid_value", "unknown_field: unknown_field", "peer_key: invalid_value", "region: invalid_value",
		}},
	} {
		var stderr bytes.Buffer
		cmd := daemonCommand(c.args...)
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		if status := cmd.ProcessState.ExitCode(); status != c.status {
			t.Errorf("%s: exit status %d, want %d; output:\n%s", name, status, c.status, &stderr)
		}
		lines := strings.Split(strings.TrimSpace(stderr.String()), "\n")
		used := map[int]bool{}
		for _, want := range c.output {
			found := -1
			for i, line := range lines {
				if found < 0 && !used[i] && strings.Contains(line, want) {
					found = i
				}
			}
			if found < 0 {
				t.Errorf("%s: no line of its own with %q in:\n%s", name, want, &stderr)
			}
			used[found] = true
		}
	}
}
