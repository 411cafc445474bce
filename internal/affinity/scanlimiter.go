package affinity

import "time"

// pausePerEntry is the minimum pause after a scan, per entry scanned. A scan takes up to 0.1 µs per entry, so that each
// kind of scan uses at most a thousandth of a processor.
const pausePerEntry = 100 * time.Microsecond

// scanLimiter spaces scans over many entries, so that the share of processor time they use does not grow with the number
// of entries.
type scanLimiter struct{ next time.Duration }

// due reports whether a scan of n entries may run now. If so, it schedules the next one.
func (l *scanLimiter) due(now time.Duration, n int) bool {
	if now < l.next {
		return false
	}
	l.next = now + time.Duration(n)*pausePerEntry
	return true
}
