package replay

import (
	"path/filepath"
	"reflect"
	"testing"
)

// TestTraces guards against regressions in the recorded failure cases, and
// against results that differ between two runs of the same trace.
func TestTraces(t *testing.T) {
	files, err := Files([]string{"../../testdata/traces"})
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			trace, err := Load(file)
			if err != nil {
				t.Fatal(err)
			}
			first := Play(trace)
			if !first.Passed {
				t.Errorf("failed: %v", first.Failures)
			}
			if second := Play(trace); !reflect.DeepEqual(first, second) {
				t.Errorf("two runs differ:\n%+v\n%+v", first, second)
			}
		})
	}
}
