package work

import (
	"math"
	"time"
)

// Route is what a host knows of the requests of a route.
type Route struct {
	// first and last are the ends of a list of the flows with a running request and of those whose first request is still to
	// come, in the order of their last new data or their opening packet.
	first, last *Flow
	cost        average
	frequency   frequency
	expired     int // requests without an answer in time since the last sample
}

// Cost returns the usual time from a request to its answer, less the round trip, or 0 if it is unknown.
func (rt *Route) Cost() time.Duration { return rt.cost.value() }

// timeout returns the time after which an unanswered request no longer counts as running.
func (rt *Route) timeout() time.Duration {
	if rt.cost.samples < fewSamples {
		return unknownTimeout
	}
	return max(minTimeout, timeoutFactor*rt.cost.value())
}

// Expire ends the running requests that have not been answered in time, and the wait for first requests that have not come.
// Requests sent before reliableFrom say nothing about their server: this host was paused, and their answers may have waited.
func (rt *Route) Expire(now, reliableFrom time.Duration) {
	for rt.first != nil && now-rt.first.sentAt >= rt.timeout()+rt.first.roundTrip {
		f := rt.first
		running := f.running
		f.end()
		if !running {
			continue
		}
		if f.sentAt < reliableFrom {
			f.meter.givenUp(0, now)
			continue
		}
		f.meter.givenUp(now-f.sentAt, now)
		f.server.addOverdue(now)
		if rt.expired++; rt.expired >= maxExpired {
			rt.cost, rt.expired = average{}, 0
		}
	}
}

// sample takes a sample of the time of a request of a flow.
func (rt *Route) sample(f *Flow, took, now time.Duration) {
	rt.expired = 0
	took = max(took, minSample)
	if rt.cost.samples >= fewSamples {
		f.server.addSample(f.caller, float64(took)/float64(rt.cost.value()), now)
	}
	rt.cost.add(took)
	f.server.service.cost.add(took)
}

// usualWork returns the work that an idle flow of the route is expected to have in progress: the share of the time during
// which such a flow has a request, times the cost of the request.
func (rt *Route) usualWork() time.Duration {
	cost := rt.cost.value()
	busy := min(rt.frequency.perFlow()*cost.Seconds(), 1)
	return time.Duration(busy * float64(cost))
}

// link appends a flow to the list.
func (rt *Route) link(f *Flow) {
	f.listed, f.prev, f.next = true, rt.last, nil
	if rt.last == nil {
		rt.first = f
	} else {
		rt.last.next = f
	}
	rt.last = f
}

// unlink removes a flow from the list, if it is there.
func (rt *Route) unlink(f *Flow) {
	if !f.listed {
		return
	}
	if f.prev == nil {
		rt.first = f.next
	} else {
		f.prev.next = f.next
	}
	if f.next == nil {
		rt.last = f.prev
	} else {
		f.next.prev = f.prev
	}
	f.listed, f.prev, f.next = false, nil, nil
}

const (
	// minSample is the shortest time that counts for a request. The round trip varies by about as much.
	minSample = 500 * time.Microsecond
	// averagedSamples is the number of samples over which the time of a route's requests is averaged. At 10 requests/s it
	// follows a change of the work within some seconds.
	averagedSamples = 64
	// maxLogStep bounds the logarithm of a sample over the average, so that a very long request
	// counts no more than one that takes e times as long.
	maxLogStep = 1
)

// average is a moving average of the logarithms of times, which a few very long times hardly change.
type average struct {
	log     float64 // of the time in seconds
	samples int     // up to averagedSamples
}

// add adds a sample.
func (a *average) add(d time.Duration) {
	x := math.Log(d.Seconds())
	if a.samples < averagedSamples {
		a.samples++
	}
	step := x - a.log
	if a.samples > 1 {
		step = min(max(step, -maxLogStep), maxLogStep)
	}
	a.log += step / float64(a.samples)
}

// value returns the average, or 0 without samples.
func (a *average) value() time.Duration {
	if a.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(a.log) * float64(time.Second))
}

// maxFlowSeconds is the flow time over which the requests per second of a route's flows are averaged, half of it at least.
const maxFlowSeconds = 64

// frequency estimates the requests per second of an open flow of a route.
type frequency struct {
	flows    int
	requests float64
	seconds  float64 // sum of the times for which flows were open
	at       time.Duration
}

// advance moves the clock.
func (q *frequency) advance(now time.Duration) {
	if now > q.at {
		q.seconds += float64(q.flows) * (now - q.at).Seconds()
		q.at = now
	}
	if q.seconds > maxFlowSeconds {
		q.requests *= maxFlowSeconds / 2 / q.seconds
		q.seconds = maxFlowSeconds / 2
	}
}

func (q *frequency) addFlows(n int, now time.Duration) {
	q.advance(now)
	q.flows += n
}

func (q *frequency) addRequest(now time.Duration) {
	q.advance(now)
	q.requests++
}

// perFlow returns the requests per second of an open flow, or 0 while it is unknown.
func (q *frequency) perFlow() float64 {
	if q.seconds < 1 {
		return 0
	}
	return q.requests / q.seconds
}
