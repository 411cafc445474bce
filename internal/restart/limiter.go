package restart

import "time"

// RateLimiter limits events in each window, wherever it begins. With fixed windows there could be twice as many around the end
// of one. The zero value has admitted nothing.
type RateLimiter struct{ admitted []time.Duration }

// Allows reports whether another event leaves at most limit of them in any window.
func (l *RateLimiter) Allows(limit int, window, now time.Duration) bool {
	n := len(l.admitted)
	return limit > 0 && (n < limit || now-l.admitted[n-limit] >= window)
}

// Admit is Allows, and counts an event that is allowed.
func (l *RateLimiter) Admit(limit int, window, now time.Duration) bool {
	if !l.Allows(limit, window, now) {
		return false
	}
	l.admitted = append(l.admitted[max(0, len(l.admitted)-limit+1):], now)
	return true
}
