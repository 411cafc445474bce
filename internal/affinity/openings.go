package affinity

import (
	"net/netip"
	"time"
)

const (
	// minOpeningWait is the minimum time that a backend server has to answer an opening packet.
	minOpeningWait = 60 * time.Millisecond
	// openingWaitFactor is the multiple of the average answer time after which an answer counts as missing.
	openingWaitFactor = 4
	// answerTimeWeight is the divisor that weights a new sample in the moving average of the answer time.
	answerTimeWeight = 16
	// maxOpenings is the maximum number of opening packets whose answers are awaited.
	maxOpenings = 8192
)

// opening is a forwarded opening packet whose answer is awaited.
type opening struct {
	key    FlowKey
	flow   *flow
	server *server
	at     time.Duration // when it was forwarded
}

// openings tracks the latest opening packets. A backend server whose process has ended refuses them or does not respond.
// The host does not see a refusal: it sees only that the flow does not continue, and possibly that its caller opens
// another one.
type openings struct {
	queue      []opening              // in the order in which they were forwarded
	byCaller   map[netip.Addr]opening // the latest of each caller
	late       []*server              // result of expire; its memory is reused
	answerTime time.Duration          // moving average of the time from an opening packet to the caller's next packet
}

func (o *openings) add(n opening) {
	if len(o.queue) >= maxOpenings {
		return
	}
	o.queue = append(o.queue, n)
	o.byCaller[n.key.Caller.Addr()] = n
}

// answered adds a sample to the average answer time.
func (o *openings) answered(took time.Duration) {
	o.answerTime += (took - o.answerTime) / answerTimeWeight
}

// wait returns the time after which an answer to an opening packet counts as missing.
func (o *openings) wait() time.Duration {
	return max(minOpeningWait, openingWaitFactor*o.answerTime)
}

// expire marks the servers that did not answer in time as suspect and returns them.
func (o *openings) expire(now time.Duration) []*server {
	o.late = o.late[:0]
	wait := o.wait()
	n := 0
	for n < len(o.queue) && now-o.queue[n].at >= wait {
		if o.queue[n].suspectIfUnanswered(OpeningLate, now) {
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

// restarted marks the server of a caller's last opening packet as suspect when the caller opens another flow before that
// packet was answered, as callers do when a connection is refused. It returns that server, or nil.
func (o *openings) restarted(key FlowKey, now time.Duration) *server {
	last, ok := o.byCaller[key.Caller.Addr()]
	if !ok || last.key == key || !last.suspectIfUnanswered(CallerRestarted, now) {
		return nil
	}
	return last.server
}

// suspectIfUnanswered marks the server as suspect if no answer from it has been observed since the opening packet. It
// reports whether it did.
func (n *opening) suspectIfUnanswered(cause Cause, now time.Duration) bool {
	if n.flow.open || n.flow.server != n.server || n.server.provenAt() >= n.at {
		return false
	}
	n.server.suspect(cause, now)
	return true
}

// reset discards the tracked opening packets. After a pause of this host, missing answers are no evidence.
func (o *openings) reset() {
	o.queue = o.queue[:0]
	clear(o.byCaller)
}
