package command

import (
	"net/netip"
	"time"
)

// minWait is the shortest expected wait.
const minWait = time.Millisecond

// options are the candidates of a request. Each is first asked to run the
// command at once. When none of them has a free slot, the command waits where
// the wait is shortest.
type options struct {
	list    []option
	asked   int  // those before this index have been asked
	current int  // asked last
	stopped bool // the candidates that have not been asked are left out
}

type option struct {
	Candidate
	wait  time.Duration // expected wait for a slot, 0 when the command may not wait there
	moved bool          // Host is no longer the one of the candidate
}

func newOptions(candidates []Candidate) options {
	list := make([]option, min(maxCandidates, len(candidates)))
	for i := range list {
		list[i].Candidate = candidates[i]
	}
	return options{list: list}
}

// search reports whether there are candidates that have not been asked.
func (o *options) search() bool { return !o.stopped && o.asked < len(o.list) }

// refused records what the candidate that was asked last says about waiting.
func (o *options) refused(wait time.Duration) { o.list[o.current].wait = wait }

// move asks the candidate that was asked last again at its present admitting
// host. It does so once, since the hosts may disagree about who admits.
func (o *options) move(host func(netip.AddrPort) string) {
	c := &o.list[o.current]
	if host == nil || c.moved {
		return
	}
	if to := host(c.Backend); to != "" && to != c.Host {
		c.Host, c.wait, c.moved = to, minWait, true
	}
}

// left returns how many more times a candidate can be asked.
func (o *options) left() (n int) {
	if o.search() {
		n = len(o.list) - o.asked
	}
	for i := range o.list {
		if o.list[i].wait > 0 {
			n++
		}
	}
	return n
}

// next returns the candidate to ask, and whether the command may wait there.
func (o *options) next() (c Candidate, wait, ok bool) {
	if o.search() {
		wait = o.left() == 1
		o.current = o.asked
		o.asked++
		return o.list[o.current].Candidate, wait, true
	}
	best := -1
	for i := range o.list {
		if o.list[i].wait > 0 && (best < 0 || o.list[i].wait < o.list[best].wait) {
			best = i
		}
	}
	if best < 0 {
		return Candidate{}, false, false
	}
	o.list[best].wait, o.current = 0, best
	return o.list[best].Candidate, true, true
}
