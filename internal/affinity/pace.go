package affinity

import "time"

// pausePerEntry is the pause after a look at many entries, for each of them. A look takes up to a tenth of a microsecond,
// so that each kind of look takes at most a thousandth of a processor.
const pausePerEntry = 100 * time.Microsecond

// pace spaces looks at many entries, so that their processor time does not grow with the number of entries.
type pace struct{ next time.Duration }

// due reports whether a look at n entries may be taken now, and notes it.
func (p *pace) due(now time.Duration, n int) bool {
	if now < p.next {
		return false
	}
	p.next = now + time.Duration(n)*pausePerEntry
	return true
}
