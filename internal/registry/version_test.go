package registry

import "testing"

// Guards against a version of an older era that counts as newer because of its revision, and against log lines of hosts whose
// store states no era that change.
func TestVersion(t *testing.T) {
	ordered := []Version{{}, {0, 7}, {0, 1 << 62}, {1, 0}, {1, 3}, {2, 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			if a.Before(b) != (i < j) || (a.Compare(b) == 0) != (i == j) {
				t.Errorf("%v before %v: %v", a, b, a.Before(b))
			}
		}
	}
	if a, b := (Version{0, 15}).String(), (Version{2, 15}).String(); a != "15" || b != "2/15" {
		t.Errorf("texts %q and %q", a, b)
	}
}
