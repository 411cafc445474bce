package affinity

import "time"

const (
	// minSilence is the minimum time without an answer from any backend server of a data centre before flows to it are reset.
	// The routers may also send this host the callers of a data centre whose hosts have failed and whose servers have not.
	minSilence = 400 * time.Millisecond
	// minSilentFlows is the minimum number of flows that repeat data in that time. A single one may wait for a long request,
	// which its server acknowledges only with the answer.
	minSilentFlows = 3
)

// dataCentreSilence is the evidence of callers' packets that the backend servers of a data centre are out of reach.
type dataCentreSilence struct {
	lastAnswerAt time.Duration
	answerers    recentAnswerers         // of the data centre
	repeating    [minSilentFlows]FlowKey // flows that have repeated data since then
	numRepeating int
	awaitedSince time.Duration // when this host had forwarded the data of all of them
	repeatedAt   time.Duration // last repeat of any flow
}

// silenceOf returns the evidence about a data centre.
func (r *Router) silenceOf(dataCentre string) *dataCentreSilence {
	d := r.silences[dataCentre]
	if d == nil {
		d = &dataCentreSilence{}
		r.silences[dataCentre] = d
	}
	return d
}

// answered records an answer of a backend server.
func (d *dataCentreSilence) answered(now time.Duration) { d.lastAnswerAt, d.numRepeating = now, 0 }

// repeated records that a flow has repeated data, which this host first forwarded at sentAt. Callers that wait for an answer
// repeat their data more often than every retransmitWindow; after such a gap, the evidence begins anew.
func (d *dataCentreSilence) repeated(key FlowKey, sentAt, now time.Duration) {
	if now-d.repeatedAt > retransmitWindow {
		d.numRepeating = 0
	}
	d.repeatedAt = now
	for _, known := range d.repeating[:d.numRepeating] {
		if known == key {
			return
		}
	}
	if d.numRepeating == minSilentFlows {
		return
	}
	if d.numRepeating == 0 {
		d.awaitedSince = sentAt
	}
	d.awaitedSince = max(d.awaitedSince, sentAt)
	d.repeating[d.numRepeating] = key
	d.numRepeating++
}

// cutOff reports whether a flow that repeats data is cut off from its backend server: this host receives no messages from the
// hosts of the server's data centre, and none of its servers answers callers. The silence counts from when this host had
// answers to wait for: before that, it would have seen none. A reset lets the caller try another server at once, in place of
// repeating data until its deadline.
func (r *Router) cutOff(s *server, seen PacketEvidence, now time.Duration) bool {
	if !seen.Repeated || !r.fleet.Unreachable[s.DataCentre] {
		return false
	}
	d := r.silenceOf(s.DataCentre)
	return d.numRepeating == minSilentFlows && now-max(d.lastAnswerAt, d.awaitedSince, r.evidenceSince) >= minSilence
}
