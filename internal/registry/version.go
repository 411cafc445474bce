package registry

import (
	"cmp"
	"fmt"
	"strconv"
)

// Version identifies contents of the store. The store counts its restores from older copies as eras. After one it gives
// revisions out again, so revisions of different eras can't be compared. A store that states no era has era 0.
type Version struct {
	Era      uint64
	Revision uint64
}

// Compare returns a negative number if v is older than other, 0 if they are equal and a positive number if v is newer.
func (v Version) Compare(other Version) int {
	if order := cmp.Compare(v.Era, other.Era); order != 0 {
		return order
	}
	return cmp.Compare(v.Revision, other.Revision)
}

// Before reports whether v is older than other.
func (v Version) Before(other Version) bool { return v.Compare(other) < 0 }

// String returns the version as in logs: the era and the revision, or the revision alone in era 0.
func (v Version) String() string {
	if v.Era == 0 {
		return strconv.FormatUint(v.Revision, 10)
	}
	return fmt.Sprintf("%d/%d", v.Era, v.Revision)
}
