package configsync

import "time"

const (
	// pushTime is the time in which pushes reach nearly every host of a large
	// fleet that they reach at all.
	pushTime = time.Second
	// waitingHosts is the fleet size from which comparisons wait for pushes.
	// Below it a comparison costs less than the delay.
	waitingHosts = 64
	// maxDifferences bounds the digests that are remembered, and
	// differenceKept the time after which one is forgotten.
	maxDifferences = 64
	differenceKept = time.Minute
)

// DigestTracker decides when the digest of a peer calls for a comparison. While a
// change spreads, most digests of a large fleet differ for a short time, and
// comparisons would cost more than the pushes. So a digest calls for one only
// when it is still seen after the time that pushes take.
type DigestTracker struct{ first map[uint64]time.Time }

// ShouldCompare reports whether a peer's digest, which differs from this host's, calls
// for a comparison in a fleet of the given size.
func (d *DigestTracker) ShouldCompare(now time.Time, digest uint64, hosts int) bool {
	if hosts < waitingHosts {
		return true
	}
	first, known := d.first[digest]
	if known && now.Sub(first) < differenceKept {
		return now.Sub(first) >= pushTime
	}
	d.forget(now)
	d.first[digest] = now
	return false
}

func (d *DigestTracker) forget(now time.Time) {
	if d.first == nil || len(d.first) >= maxDifferences {
		d.first = make(map[uint64]time.Time)
	}
	for digest, first := range d.first {
		if now.Sub(first) >= differenceKept {
			delete(d.first, digest)
		}
	}
}
