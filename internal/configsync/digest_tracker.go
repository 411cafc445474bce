package configsync

import "time"

const (
	// pushSpreadTime is the time within which a push reaches nearly every host
	// of a large fleet that it reaches at all.
	pushSpreadTime = time.Second
	// minDelayHosts is the number of hosts from which comparisons wait for
	// pushes. In smaller fleets a comparison costs less than the delay.
	minDelayHosts = 64
	// maxTrackedDigests bounds the number of digests that are tracked, and
	// digestRetention is the time after which one is removed.
	maxTrackedDigests = 64
	digestRetention   = time.Minute
)

// DigestTracker decides when a differing digest of a peer starts a comparison of
// versions. While a change spreads, most digests of a large fleet differ for a
// short time, and comparisons would cost more than the pushes. So a digest
// starts one only if it is still received after the time that pushes take.
type DigestTracker struct{ firstSeen map[uint64]time.Time }

// ShouldCompare reports whether a peer's digest, which differs from this host's,
// starts a comparison in a fleet of the given number of hosts.
func (d *DigestTracker) ShouldCompare(now time.Time, digest uint64, hosts int) bool {
	if hosts < minDelayHosts {
		return true
	}
	firstSeen, known := d.firstSeen[digest]
	if known && now.Sub(firstSeen) < digestRetention {
		return now.Sub(firstSeen) >= pushSpreadTime
	}
	d.expire(now)
	d.firstSeen[digest] = now
	return false
}

// expire removes the digests first seen digestRetention or more before now, and
// all digests when maxTrackedDigests are tracked.
func (d *DigestTracker) expire(now time.Time) {
	if d.firstSeen == nil || len(d.firstSeen) >= maxTrackedDigests {
		d.firstSeen = make(map[uint64]time.Time)
	}
	for digest, firstSeen := range d.firstSeen {
		if now.Sub(firstSeen) >= digestRetention {
			delete(d.firstSeen, digest)
		}
	}
}
