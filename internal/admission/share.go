package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// view is one version of the bucket table, reduced to the number of buckets of
// each host.
type view struct {
	epoch uint32 // digest of the document version and the counts
	hosts []owner
	total int // buckets of all hosts
}

// owner is one host of an owner group.
type owner struct {
	id      string
	buckets int // that it is primary owner of
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

// buckets returns the number of buckets that a host is primary owner of.
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

// gain returns the fraction num/den of all gains from base to v that went to the
// host self. Gains are measured in buckets and in parts of the allowance, and the
// larger fraction is returned: by rounding, the part of a host that gained no
// bucket can grow.
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

// apportion returns the host's part of level flows by D'Hondt's method. The
// parts of all hosts sum to at most level, and no part decreases when level
// rises. Hosts whose clocks differ therefore do not exceed a cold ramp together.
// Rounding down each part instead would reduce all parts of a small allowance
// to 0.
func (v *view) apportion(self string, key uint64, level int) int {
	if v == nil || level <= 0 {
		return 0
	}
	selfIndex, remaining := -1, level
	var parts [32]int
	list := parts[:0]
	for i := range v.hosts {
		n := level * v.hosts[i].buckets / Buckets
		list = append(list, n)
		remaining -= n
		if v.hosts[i].id == self {
			selfIndex = i
		}
	}
	if selfIndex < 0 {
		return 0
	}
	if v.total != Buckets {
		return list[selfIndex]
	}
	for ; remaining > 0; remaining-- {
		list[v.highestQuotient(list, key)]++
	}
	return list[selfIndex]
}

// highestQuotient returns the index of the host with the highest D'Hondt
// quotient. Ties are decided by a hash of host and backend server, so that no
// host is preferred at all backend servers.
func (v *view) highestQuotient(parts []int, key uint64) int {
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

// limits determine a host's part of an allowance: its part by the view or, while
// members have not confirmed a newer view, its smallest part in any view since.
type limits struct {
	view       *view
	minBuckets int // smallest number of buckets since view, or noReduction
}

// noReduction is the value of limits.minBuckets that leaves the part by the view
// as it is.
const noReduction = Buckets + 1

// part returns a host's part of level flows.
func (l limits) part(self string, key uint64, level int) int {
	n := l.view.apportion(self, key, level)
	if l.minBuckets == noReduction {
		return n
	}
	return min(n, level*l.minBuckets/Buckets)
}

// limits returns the limits that apply now.
func (g *group) limits() limits {
	if g.complete {
		return limits{view: g.view, minBuckets: noReduction}
	}
	return limits{view: g.base, minBuckets: g.minBuckets}
}

// share returns this host's part of the allowance level. The result is cached.
func (b *backend) share(self string, level int) int {
	if b.shareLevel != level {
		b.shareValue = b.group.limits().part(self, b.key, level)
		b.shareLevel = level
	}
	return b.shareValue
}

// level returns the allowance of a backend server at now, for all hosts together,
// and whether it is still on the cold ramp.
func (s *State) level(now time.Time, b *backend) (level int, cold bool) {
	full, ramp := b.doc.Connections, b.doc.Cold.Ramp.Std()
	return rampLevel(b.doc.Cold.Connections, full, ramp, now.Sub(s.coldSince(b)))
}

// coldSince returns the start of the cold ramp. Without a verdict, the ramp starts
// when this host first saw the backend server in a document. With a load URL it
// starts one ramp duration later, so that the allowance is still the cold one
// when the first load report arrives.
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

// rampLevel returns the value of a linear ramp from cold to full after elapsed,
// and whether it is below full.
func rampLevel(cold, full int, ramp, elapsed time.Duration) (int, bool) {
	if elapsed >= ramp || cold >= full {
		return full, false
	}
	if elapsed <= 0 {
		return cold, true
	}
	return cold + int(int64(full-cold)*elapsed.Milliseconds()/max(ramp.Milliseconds(), 1)), true
}
