package work

import "time"

// A window covers windowBuckets of bucketTime, one second together.
const (
	windowBuckets = 10
	bucketTime    = 100 * time.Millisecond
)

// window counts events of the last second, in buckets.
type window struct {
	counts [windowBuckets]int32
	newest int64 // number of the newest bucket since time 0
}

// advance clears the buckets that have become too old.
func (w *window) advance(now time.Duration) {
	bucket := int64(now / bucketTime)
	for range min(max(bucket-w.newest, 0), windowBuckets) {
		w.newest++
		w.counts[w.newest%windowBuckets] = 0
	}
	w.newest = max(w.newest, bucket)
}

func (w *window) add(now time.Duration) {
	w.advance(now)
	w.counts[w.newest%windowBuckets]++
}

func (w *window) sum(now time.Duration) int {
	w.advance(now)
	n := 0
	for _, c := range w.counts {
		n += int(c)
	}
	return n
}
