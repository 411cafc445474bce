package route

import (
	"math"
	"sync/atomic"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Budget is the number of new flows that this host may still send to a
// backend server. The control loop refills it.
type Budget struct {
	left atomic.Int64
}

// Take uses one of the budget and reports whether there was one left.
func (b *Budget) Take() bool {
	for {
		left := b.left.Load()
		if left <= 0 {
			return false
		}
		if b.left.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// Set replaces what is left.
func (b *Budget) Set(n int) { b.left.Store(int64(n)) }

// Add changes what is left. It may become negative when flows were admitted
// since the caller decided on n; the next refill takes them into account.
func (b *Budget) Add(n int) { b.left.Add(int64(n)) }

// Left returns what is left.
func (b *Budget) Left() int { return int(b.left.Load()) }

// open reports whether a Take may succeed.
func (b *Budget) open() bool { return b == nil || b.left.Load() > 0 }

func (b *Budget) take() bool { return b == nil || b.Take() }

// mayAdmit reports whether a backend server may receive new flows at all.
func (b *Backend) mayAdmit() bool {
	return b.Weight > 0 && !b.DataCentreOut && !b.Draining && !b.Unusable
}

// Choose admits a new flow: it takes the first backend server in the weighted
// rendezvous order of hash whose budget allows one more flow. Backend servers
// in the data centre prefer, if any, come first.
func Choose(s *Service, hash uint64, prefer string) (*Backend, Refusal) {
	refusal := RefusedNoBackend
	for {
		b, full := firstOpen(s, hash, prefer)
		if full {
			refusal = RefusedCapacity
		}
		if b == nil {
			return nil, refusal
		}
		if b.NewFlowBudget.take() {
			return b, Admitted
		}
	}
}

// firstOpen returns the first backend server with a budget, and whether one
// was passed over for lack of it.
func firstOpen(s *Service, hash uint64, prefer string) (first *Backend, full bool) {
	var bestScore float64
	var bestNear bool
	for _, b := range s.Backends {
		if !b.mayAdmit() {
			continue
		}
		if !b.NewFlowBudget.open() {
			full = true
			continue
		}
		near := prefer != "" && b.DataCentre == prefer
		if first != nil && bestNear && !near {
			continue
		}
		score := b.weightedScore(hash)
		if first == nil || near && !bestNear || score > bestScore {
			first, bestScore, bestNear = b, score, near
		}
	}
	return first, full
}

// rank is the backend server's place for a flow with equal weights.
func (b *Backend) rank(hash uint64) uint64 { return mix(hash ^ b.seed) }

// weightedScore makes the probability of the highest score proportional to
// the weight: -w/ln(u) with u uniform in (0, 1).
func (b *Backend) weightedScore(hash uint64) float64 {
	const scale = 1 << 53
	u := (float64(b.rank(hash)>>11) + 0.5) / scale
	return -b.Weight / math.Log(u)
}

// firstGuess returns the backend server that an unknown flow most probably
// belongs to: a stable one if there is any, since a flow that lost its entries
// is older than a backend server that has just joined.
func firstGuess(s *Service, hash uint64) *Backend {
	var first *Backend
	for _, b := range s.Backends {
		switch {
		case !b.guessable():
		case first == nil || b.Stable && !first.Stable:
			first = b
		case b.Stable == first.Stable && b.rank(hash) > first.rank(hash):
			first = b
		}
	}
	return first
}

// nextGuess returns the backend server after previous in a cyclic order, nil
// when all have been tried. The order does not depend on Stable, which may
// change between two guesses: a host that has just started sees every backend
// server as cold until the first load reports.
func nextGuess(s *Service, hash uint64, previous *Backend, tried int) *Backend {
	var top, next *Backend
	candidates := 0
	for _, b := range s.Backends {
		if !b.guessable() {
			continue
		}
		candidates++
		rank := b.rank(hash)
		if top == nil || rank > top.rank(hash) {
			top = b
		}
		if rank < previous.rank(hash) && (next == nil || rank > next.rank(hash)) {
			next = b
		}
	}
	switch {
	case tried >= candidates:
		return nil
	case next == nil:
		return top
	}
	return next
}

func (b *Backend) guessable() bool { return !b.DataCentreOut && !b.Unusable }

// bucketOf returns the bucket of a flow's hash.
func bucketOf(hash uint64) int { return int(hash % Buckets) }

// Primary returns the host that owns the bucket of flow k, or NoHost.
func (s *Service) Primary(k packet.Key) uint16 { return s.owned(bucketOf(k.Hash())).hosts[0] }

// Secondary returns the second owner of the bucket of flow k, or NoHost.
func (s *Service) Secondary(k packet.Key) uint16 { return s.owned(bucketOf(k.Hash())).hosts[1] }
