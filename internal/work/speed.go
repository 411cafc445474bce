package work

import (
	"math"
	"slices"
	"time"
)

const (
	// maxCallers is the number of callers whose samples a server's speed is estimated from.
	maxCallers = 12
	// callerSamples is the number of samples over which the times of a caller are averaged.
	callerSamples = 4
	// sampleRetention is how long a caller's samples count. A server may be slow for some seconds only.
	sampleRetention = 8 * time.Second
	// maxLogRatio bounds a sample to a factor of about 8, which is e to this power.
	maxLogRatio = 2.1
)

// speed collects how long requests take at a server, relative to the usual time of their routes. It keeps one average per
// caller and takes a trimmed mean of these, so that neither a long request nor a slow caller makes a server slow.
type speed struct{ callers [maxCallers]callerAverage }

// callerAverage is the average logarithm of the relative times of a caller's requests at a server.
type callerAverage struct {
	caller  uint32
	samples uint8 // up to callerSamples; 0: unused
	log     float32
	at      time.Duration // of the latest sample
}

// add adds the time of a request relative to the usual one. It replaces the oldest average if the caller is new.
func (s *speed) add(caller uint32, ratio float64, now time.Duration) {
	x := float32(min(max(math.Log(ratio), -maxLogRatio), maxLogRatio))
	a := &s.callers[0]
	for i := range s.callers {
		c := &s.callers[i]
		if c.samples > 0 && c.caller == caller {
			a = c
			break
		}
		if c.at < a.at {
			a = c
		}
	}
	if a.samples == 0 || a.caller != caller {
		*a = callerAverage{caller: caller}
	}
	a.samples = min(a.samples+1, callerSamples)
	a.log += (x - a.log) / float32(a.samples)
	a.at = now
}

// mean returns the trimmed mean of the callers' averages, the sum of their weights and the time of the latest sample. The
// weight of a caller falls from 1 to 0 within sampleRetention.
func (s *speed) mean(now time.Duration) (log, weight float64, latest time.Duration) {
	var logs [maxCallers]float64
	n := 0
	for i := range s.callers {
		c := &s.callers[i]
		age := now - c.at
		if c.samples == 0 || age >= sampleRetention {
			continue
		}
		logs[n] = float64(c.log)
		n++
		weight += 1 - float64(age)/float64(sampleRetention)
		latest = max(latest, c.at)
	}
	return trimmedMean(logs[:n]), weight, latest
}

// trimmedMean returns the mean without the lowest and the highest quarter, but at least without the lowest and the highest
// value. Of two values it returns the one closer to 0, and of one value 0: one caller alone proves nothing.
func trimmedMean(logs []float64) float64 {
	slices.Sort(logs)
	switch n := len(logs); {
	case n < 2 || n == 2 && logs[0] < 0 && logs[1] > 0:
		return 0
	case n == 2 && logs[0] >= 0:
		return logs[0]
	case n == 2:
		return logs[1]
	default:
		trimmed := max(n/4, 1)
		sum := 0.0
		for _, x := range logs[trimmed : n-trimmed] {
			sum += x
		}
		return sum / float64(n-2*trimmed)
	}
}
