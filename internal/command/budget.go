package command

import "time"

// The retry budget is 20% of requests and at least 3 retries per second.
const (
	retryShare     = 0.2
	retryPerSecond = 3
	retryBurst     = 30
)

// tokens is a token bucket without a clock.
type tokens struct {
	level, rate, burst float64
	last               time.Time
}

func (t *tokens) refill(now time.Time) {
	if d := now.Sub(t.last); d > 0 {
		t.add(t.rate * d.Seconds())
		t.last = now
	}
}

func (t *tokens) add(n float64) { t.level = min(t.burst, t.level+n) }

func (t *tokens) take(now time.Time, n float64) bool {
	t.refill(now)
	if t.level < n {
		return false
	}
	t.level -= n
	return true
}
