package work

import "time"

// Meter counts the requests of the flows that it is set for, and reports their ends. OnFirst and OnEnd must be set. OnEnd gets the time that a request
// took: of one that was given up, the time since its last data; 0 if the time is unknown.
type Meter struct {
	OnFirst     func() // a flow has sent its first request
	OnEnd       func(took, now time.Duration)
	running     int
	completions window
}

// Running returns the number of requests in progress.
func (m *Meter) Running() int { return m.running }

// Completions returns the number of requests that were answered within the last second.
func (m *Meter) Completions(now time.Duration) int { return m.completions.sum(now) }

// SetMeter sets the meter that the requests of a flow count for until it is detached. It must be called before the first one.
func (f *Flow) SetMeter(m *Meter) { f.meter = m }

// start counts a request. A nil Meter counts nothing.
func (m *Meter) start(first bool) {
	if m == nil {
		return
	}
	m.running++
	if first {
		m.OnFirst()
	}
}

// stop no longer counts a request.
func (m *Meter) stop() {
	if m != nil {
		m.running--
	}
}

// answered reports a request that was answered.
func (m *Meter) answered(took, now time.Duration) {
	if m != nil {
		m.completions.add(now)
		m.OnEnd(took, now)
	}
}

// givenUp reports a request that was not answered in time.
func (m *Meter) givenUp(took, now time.Duration) {
	if m != nil {
		m.OnEnd(took, now)
	}
}
