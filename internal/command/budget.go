package command

import "time"

// The retry budget allows retries for 20% of the requests plus 3 retries per
// second, with bursts of up to 30.
const (
	retryShare     = 0.2
	retryPerSecond = 3
	retryBurst     = 30
)

// tokenBucket is a token bucket whose callers pass in the current time. rate is
// in tokens per second.
type tokenBucket struct {
	level, rate, burst float64
	last               time.Time
}

func (t *tokenBucket) refill(now time.Time) {
	if d := now.Sub(t.last); d > 0 {
		t.add(t.rate * d.Seconds())
		t.last = now
	}
}

func (t *tokenBucket) add(n float64) { t.level = min(t.burst, t.level+n) }

func (t *tokenBucket) take(now time.Time, n float64) bool {
	t.refill(now)
	if t.level < n {
		return false
	}
	t.level -= n
	return true
}
