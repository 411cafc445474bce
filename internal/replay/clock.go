package replay

import (
	"cmp"
	"container/heap"
	"iter"
	"time"
)

// timer is one event of the simulation. Events at the same time run in the
// order of their lanes and, within a lane, in the order in which they were
// added. The order of independent senders therefore does not depend on the map
// iteration order of the code under test.
type timer struct {
	at   time.Time
	lane string
	seq  uint64
	run  func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	if c := q[i].at.Compare(q[j].at); c != 0 {
		return c < 0
	}
	return cmp.Or(cmp.Compare(q[i].lane, q[j].lane), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*q = old[:len(old)-1]
	return t
}

// clock holds the simulated time and the pending events.
type clock struct {
	now     time.Time
	pending timers
	seqs    map[string]uint64
	routine *routine // currently running, nil if none
	// waiting holds the routines that have not ended.
	waiting map[*routine]bool
}

func newClock(start time.Time) *clock {
	return &clock{now: start, seqs: map[string]uint64{}, waiting: map[*routine]bool{}}
}

// after schedules f in a lane after a delay.
func (c *clock) after(delay time.Duration, lane string, f func()) {
	c.seqs[lane]++
	heap.Push(&c.pending, timer{at: c.now.Add(delay), lane: lane, seq: c.seqs[lane], run: f})
}

// every schedules f after first and then at an interval, until f returns false.
func (c *clock) every(first, interval time.Duration, lane string, f func() bool) {
	c.after(first, lane, func() {
		if f() {
			c.every(interval, interval, lane, f)
		}
	})
}

// run executes the events up to and including the time end.
func (c *clock) run(end time.Time) {
	for len(c.pending) > 0 && !c.pending[0].at.After(end) {
		t := heap.Pop(&c.pending).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// routine is a coroutine that runs a goroutine of the code under test and is
// suspended during calls to other hosts. Only one runs at a time, and the clock
// does not advance meanwhile.
type routine struct {
	next func() (func(), bool) // resumes f and returns the function that starts its next call
	stop func()
	wait func(func()) bool // suspends f; the argument starts the call
}

// spawn schedules f in a new routine. f is not started if canceled returns true
// by then.
func (c *clock) spawn(lane string, f func(), canceled func() bool) {
	r := &routine{}
	r.next, r.stop = iter.Pull(func(yield func(func()) bool) {
		r.wait = yield
		f()
	})
	c.waiting[r] = true
	c.after(0, lane, func() {
		if !canceled() {
			c.resume(r)
		}
	})
}

// resume runs a routine until it makes its next call or ends.
func (c *clock) resume(r *routine) {
	previous := c.routine
	c.routine = r
	begin, ok := r.next()
	c.routine = previous
	if !ok {
		delete(c.waiting, r)
		return
	}
	begin()
}

// stop ends the routines that are still suspended.
func (c *clock) stop() {
	for r := range c.waiting {
		c.routine = r
		r.stop()
	}
	clear(c.waiting)
}
