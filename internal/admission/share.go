package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// view is one state of the bucket table, reduced to counts.
type view struct {
	epoch uint32 // digest of the document version and the counts
	hosts []owner
	total int
}

type owner struct {
	id      string
	buckets int
	hash    uint64
}

func newView(version uint64, buckets map[string]int) *view {
	v := &view{hosts: make([]owner, 0, len(buckets))}
	for id, n := range buckets {
		v.hosts = append(v.hosts, owner{id: id, buckets: max(n, 0), hash: xxhash.Sum64String(id)})
		v.total += max(n, 0)
	}
	slices.SortFunc(v.hosts, func(a, b owner) int { return strings.Compare(a.id, b.id) })
	var d xxhash.Digest
	writeUint(&d, version)
	for i := range v.hosts {
		writeUint(&d, v.hosts[i].hash)
		writeUint(&d, uint64(v.hosts[i].buckets))
	}
	v.epoch = uint32(d.Sum64())
	return v
}

func writeUint(d *xxhash.Digest, x uint64) {
	var b [8]byte
	for i := range b {
		b[i] = byte(x >> (8 * i))
	}
	_, _ = d.Write(b[:]) // never fails
}

// buckets returns how many buckets the host is primary of.
func (v *view) buckets(id string) int {
	if v == nil {
		return 0
	}
	for i := range v.hosts {
		if v.hosts[i].id == id {
			return v.hosts[i].buckets
		}
	}
	return 0
}

// gain returns the fraction (num/den) of what moved between the two views
// that went to the host, by buckets or by parts of the allowance, whichever is
// larger: rounding can raise the part of a host that gained no bucket.
func (v *view) gain(base *view, self string, key uint64, level int) (num, den int) {
	var partNum, partDen int
	for i := range v.hosts {
		h := &v.hosts[i]
		n := max(h.buckets-base.buckets(h.id), 0)
		part := max(v.apportion(h.id, key, level)-base.apportion(h.id, key, level), 0)
		den += n
		partDen += part
		if h.id == self {
			num, partNum = n, part
		}
	}
	if partNum*den > num*partDen {
		return partNum, partDen
	}
	return num, den
}

// apportion returns the host's part of level flows by D'Hondt's method. Its
// parts sum to at most level and none falls when level rises, so hosts whose
// clocks differ during a ramp do not exceed the ramp together. Rounding every
// part down instead would leave nothing of a small allowance.
func (v *view) apportion(self string, key uint64, level int) int {
	if v == nil || level <= 0 {
		return 0
	}
	mine, rest := -1, level
	var parts [32]int
	list := parts[:0]
	for i := range v.hosts {
		n := level * v.hosts[i].buckets / Buckets
		list = append(list, n)
		rest -= n
		if v.hosts[i].id == self {
			mine = i
		}
	}
	if mine < 0 {
		return 0
	}
	if v.total != Buckets {
		return list[mine]
	}
	for ; rest > 0; rest-- {
		list[v.next(list, key)]++
	}
	return list[mine]
}

// next returns the host with the highest quotient. Ties depend on the backend
// server, so that the same host is not preferred at all of them.
func (v *view) next(parts []int, key uint64) int {
	best := 0
	for i := 1; i < len(parts); i++ {
		a := v.hosts[i].buckets * (parts[best] + 1)
		b := v.hosts[best].buckets * (parts[i] + 1)
		if a > b || a == b && v.hosts[i].hash^key > v.hosts[best].hash^key {
			best = i
		}
	}
	return best
}

// limits bound a host's part: the whole part by the view, or while members
// have not confirmed a newer one, the smallest part in any view since.
type limits struct {
	view  *view
	least int // fewest buckets since view, or wholePart
}

// wholePart means that the part by the view is not reduced.
const wholePart = Buckets + 1

func (l limits) part(self string, key uint64, level int) int {
	n := l.view.apportion(self, key, level)
	if l.least == wholePart {
		return n
	}
	return min(n, level*l.least/Buckets)
}

func (g *group) limits() limits {
	if g.complete {
		return limits{view: g.view, least: wholePart}
	}
	return limits{view: g.base, least: g.least}
}

// share returns this host's part of the allowance.
func (b *backend) share(self string, level int) int {
	if b.shareLevel != level {
		b.shareValue = b.group.limits().part(self, b.key, level)
		b.shareLevel = level
	}
	return b.shareValue
}

// level returns the allowance of the whole backend server at now, and whether
// it is still rising.
func (s *State) level(now time.Time, b *backend) (level int, cold bool) {
	full, ramp := b.doc.Connections, b.doc.Cold.Ramp.Std()
	return rampLevel(b.doc.Cold.Connections, full, ramp, now.Sub(s.coldSince(b)))
}

// coldSince returns the start of the ramp. Without a verdict a backend server
// counts as new since this host knows it; one with a load URL stays at its
// cold figures for one ramp longer, so that the first report finds it there.
func (s *State) coldSince(b *backend) time.Time {
	v := s.verdicts[b.addr]
	if !v.ColdSince.IsZero() || v.ColdKnown {
		return v.ColdSince
	}
	if b.doc.LoadURL != "" {
		return b.firstSeen.Add(b.doc.Cold.Ramp.Std())
	}
	return b.firstSeen
}

func rampLevel(cold, full int, ramp, elapsed time.Duration) (int, bool) {
	if elapsed >= ramp || cold >= full {
		return full, false
	}
	if elapsed <= 0 {
		return cold, true
	}
	return cold + int(int64(full-cold)*elapsed.Milliseconds()/max(ramp.Milliseconds(), 1)), true
}
