package affinity

import (
	"net/netip"
	"time"
)

const (
	// minOpeningWait is the least time that a backend server is given to answer an opening packet.
	minOpeningWait = 60 * time.Millisecond
	// openingWaitFactor is how many times the usual time of an answer is waited for.
	openingWaitFactor = 4
	// answerTimeWeight is the weight of a new measurement in the usual time of an answer, as a divisor.
	answerTimeWeight = 16
	// maxOpenings bounds the opening packets that are watched.
	maxOpenings = 8192
)

// opening is an opening packet whose answer is awaited.
type opening struct {
	key    FlowKey
	flow   *flow
	server *server
	at     time.Duration
}

// openings watches the latest opening packets. A backend server whose process has ended refuses them, or says nothing;
// either way the host sees only that the flow does not go on, and at best that its caller starts another one.
type openings struct {
	queue      []opening
	byCaller   map[netip.Addr]opening
	late       []*server     // what expire returns
	answerTime time.Duration // usual time from an opening packet to the caller's next packet
}

func (o *openings) add(n opening) {
	if len(o.queue) >= maxOpenings {
		return
	}
	o.queue = append(o.queue, n)
	o.byCaller[n.key.Caller.Addr()] = n
}

// answered takes the time that an answer took.
func (o *openings) answered(took time.Duration) {
	o.answerTime += (took - o.answerTime) / answerTimeWeight
}

func (o *openings) wait() time.Duration {
	return max(minOpeningWait, openingWaitFactor*o.answerTime)
}

// expire suspects the servers that did not answer in time, and returns them.
func (o *openings) expire(now time.Duration) []*server {
	o.late = o.late[:0]
	wait := o.wait()
	n := 0
	for n < len(o.queue) && now-o.queue[n].at >= wait {
		if o.queue[n].judge(OpeningLate, now) {
			o.late = append(o.late, o.queue[n].server)
		}
		caller := o.queue[n].key.Caller.Addr()
		if o.byCaller[caller].at <= o.queue[n].at {
			delete(o.byCaller, caller)
		}
		n++
	}
	o.queue = append(o.queue[:0], o.queue[n:]...)
	return o.late
}

// restarted suspects the server of a caller's last opening packet when the caller opens another flow before an answer,
// as it does after a refusal. It returns that server, or nil.
func (o *openings) restarted(key FlowKey, now time.Duration) *server {
	last, ok := o.byCaller[key.Caller.Addr()]
	if !ok || last.key == key || !last.judge(CallerRestarted, now) {
		return nil
	}
	return last.server
}

// judge suspects the server if nothing has proved an answer since the opening packet. It reports whether it did.
func (n *opening) judge(cause Cause, now time.Duration) bool {
	if n.flow.open || n.flow.server != n.server || n.server.lastSign >= n.at {
		return false
	}
	n.server.suspect(cause, now)
	return true
}

// forget drops what is watched, after a pause of the host.
func (o *openings) forget() {
	o.queue = o.queue[:0]
	clear(o.byCaller)
}
