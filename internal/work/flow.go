// Package work estimates what backend servers have to do from the packets that callers send.
//
// A request starts with new data of the caller and ends when the caller's acknowledgement number advances afterwards. The
// package does no I/O and reads no clock.
package work

import "time"

const (
	// timeoutFactor is the multiple of a route's usual time after which an unanswered request no longer counts as running.
	timeoutFactor = 4
	// minTimeout is the minimum time after which an unanswered request no longer counts as running. Requests of a few
	// milliseconds may wait in a backend server's queue for many times as long.
	minTimeout = 250 * time.Millisecond
	// unknownTimeout takes the place of both while a route has few samples. Requests of a route that usually take longer than
	// minTimeout would otherwise never give one.
	unknownTimeout = 2 * time.Second
	// fewSamples is the number of samples below which the usual time of a route is not relied on.
	fewSamples = 8
	// maxExpired is the number of successive requests without an answer in time after which the usual time of a route is
	// measured anew, since its requests may have become longer by more than timeoutFactor.
	maxExpired = 16
)

// Flow is the request that a flow has in progress. The zero value ignores all packets until Attach is called.
type Flow struct {
	server     *Server
	route      *Route
	prev, next *Flow         // neighbours in the route's list
	load       int64         // what the flow adds to the load of the server
	sentAt     time.Duration // time of the last new data, or of the opening packet
	roundTrip  time.Duration // from this host to the server, the caller and back, as seen at the handshake; 0: unknown
	caller     uint32
	listed     bool // in the route's list
	running    bool
	ambiguous  bool // the running request gives no sample
	closed     bool // no further request is expected

	openingRepeated bool
	requested       bool   // it has sent a request
	meter           *Meter // nil: none
}

// Packet describes a caller's packet on an open flow.
type Packet struct {
	Acknowledges bool // its acknowledgement number advances
	NewData      bool
	Retransmits  bool          // it repeats data
	Closing      bool          // the last packet of the caller
	ReliableFrom time.Duration // packets before this time may have waited while this host was paused
}

// Attach starts tracking the requests of a flow at a backend server. A flow that is being opened counts with the work of one
// request until that is answered, or has not come in time. Samples of one caller count together.
func (f *Flow) Attach(s *Server, rt *Route, caller uint32, opening bool, now time.Duration) {
	f.server, f.route, f.caller, f.sentAt, f.meter, f.requested = s, rt, caller, now, nil, false
	rt.frequency.addFlows(1, now)
	if !opening {
		f.setLoad(rt.usualWork())
		return
	}
	rt.link(f)
	f.setLoad(rt.Cost())
}

// Detach stops tracking the requests of the flow.
func (f *Flow) Detach(now time.Duration) {
	if f.server == nil {
		return
	}
	f.close(now)
	f.server, f.route, f.meter = nil, nil, nil
}

// Move moves the flow and its running request to another backend server. The round trip to that one is unknown.
func (f *Flow) Move(to *Server) {
	if f.server == nil {
		return
	}
	if f.running {
		f.server.addRunning(-1)
		to.addRunning(1)
	}
	load := time.Duration(f.load)
	f.setLoad(0)
	f.server, f.roundTrip = to, 0
	f.setLoad(load)
}

// OpeningRepeated records that the opening packet was transmitted again, so that it is unknown which transmission is answered.
func (f *Flow) OpeningRepeated() { f.openingRepeated = true }

// Opened sets the round trip that was seen at the handshake. Without it, the flow gives no samples.
func (f *Flow) Opened(roundTrip time.Duration) {
	if !f.openingRepeated {
		f.roundTrip = roundTrip
	}
}

// Observe updates the running request.
func (f *Flow) Observe(p Packet, now time.Duration) {
	if f.server == nil {
		return
	}
	if p.Retransmits {
		f.ambiguous = true
	}
	if p.Acknowledges && f.running {
		f.answered(p, now)
	}
	switch {
	case p.Closing:
		f.close(now)
	case p.NewData && !f.closed:
		f.send(now)
	}
}

// send records new data of the caller, which starts a request or continues the running one.
func (f *Flow) send(now time.Duration) {
	f.route.unlink(f)
	if !f.running {
		f.running, f.ambiguous = true, false
		f.server.addRunning(1)
		f.meter.start(!f.requested)
		f.requested = true
		f.route.frequency.addRequest(now)
		f.setLoad(f.route.Cost())
	}
	f.sentAt = now
	f.route.link(f)
}

// answered ends the running request and takes a sample of its time.
func (f *Flow) answered(p Packet, now time.Duration) {
	// The acknowledgement may have waited for the next request if it comes with data.
	reliable := f.roundTrip > 0 && !f.ambiguous && !p.NewData && f.sentAt >= p.ReliableFrom
	took := max(now-f.sentAt-f.roundTrip, minSample)
	f.end()
	if f.server.service != nil {
		f.server.service.completions.add(now)
	}
	if reliable && f.server.service != nil {
		f.route.sample(f, took, now)
	}
	if !reliable {
		took = 0
	}
	f.meter.answered(took, now)
}

// end ends the running request, or the wait for the first one.
func (f *Flow) end() {
	if !f.listed {
		return
	}
	f.route.unlink(f)
	if f.running {
		f.running = false
		f.server.addRunning(-1)
		f.meter.stop()
	}
	f.setLoad(f.route.usualWork())
}

// close ends the running request, if there is one, and expects no others.
func (f *Flow) close(now time.Duration) {
	f.end()
	if !f.closed {
		f.closed = true
		f.route.frequency.addFlows(-1, now)
	}
	f.setLoad(0)
}

// setLoad sets what the flow adds to the load of the server.
func (f *Flow) setLoad(d time.Duration) {
	if int64(d) == f.load {
		return
	}
	f.server.load += int64(d) - f.load
	f.load = int64(d)
	f.server.changed()
}
