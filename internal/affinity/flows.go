package affinity

import "time"

const (
	// openingMemory is how long a copy of an opening packet is recognised; callers give up after 1.4 s.
	openingMemory = 2 * time.Second
	// closedMemory is how long a flow that its caller closed is remembered, for packets that are still under way.
	closedMemory = time.Second
)

// neverSent stands in a flow whose last data another host forwarded.
const neverSent = -time.Hour

// flow is what the host remembers of a flow that passed it.
type flow struct {
	server   *server
	earlier  *server       // receiver of an earlier opening packet that was not answered
	opening  uint32        // sequence number of the opening packet
	next     uint32        // sequence number after the caller's last data
	sentAt   time.Duration // when this host first forwarded that data
	ack      uint32        // the caller's last acknowledgement
	open     bool          // the caller has answered the backend server
	closed   bool
	lastAt   time.Duration
	openedAt time.Duration
}

// openingTime returns how long the answer to the opening packet took, when the caller's present packet is the first
// after it, else 0.
func (f *flow) openingTime(now time.Duration) time.Duration {
	if f.open {
		return 0
	}
	return now - f.sentAt
}

// flowTable remembers flows up to a bound; beyond it new ones are forwarded without being remembered.
type flowTable struct {
	flows map[FlowKey]*flow
	limit int
	idle  time.Duration // after which a flow is forgotten
	pace  pace          // of sweeps
}

func (t *flowTable) add(key FlowKey, f *flow) {
	if len(t.flows) >= t.limit {
		return
	}
	f.server.flows++
	t.flows[key] = f
}

func (t *flowTable) remove(key FlowKey, f *flow) {
	f.server.flows--
	delete(t.flows, key)
}

// move assigns a remembered flow to another backend server.
func (f *flow) move(to *server) {
	f.server.flows--
	to.flows++
	f.server = to
}

// sweep forgets flows whose time is over, those of a large table up to some seconds late.
func (t *flowTable) sweep(now time.Duration) {
	if !t.pace.due(now, len(t.flows)) {
		return
	}
	for key, f := range t.flows {
		if now-f.lastAt > t.lifetime(f) {
			t.remove(key, f)
		}
	}
}

func (t *flowTable) lifetime(f *flow) time.Duration {
	switch {
	case f.closed:
		return closedMemory
	case !f.open:
		return openingMemory
	}
	return t.idle
}

// newer reports whether sequence number a comes after b.
func newer(a, b uint32) bool { return int32(a-b) > 0 }
