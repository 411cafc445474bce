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

// Take takes one flow from the budget and reports whether one was left.
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

// Set sets the number of flows left.
func (b *Budget) Set(n int) { b.left.Store(int64(n)) }

// Add adds n, which may be negative, to the number of flows left. The result may
// be negative when flows were admitted after the caller computed n; the next
// refill takes them into account.
func (b *Budget) Add(n int) { b.left.Add(int64(n)) }

// Left returns the number of flows left.
func (b *Budget) Left() int { return int(b.left.Load()) }

// hasLeft reports whether take may succeed. A nil budget is unlimited.
func (b *Budget) hasLeft() bool { return b == nil || b.left.Load() > 0 }

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
		b, exhausted := bestWithBudget(s, hash, prefer)
		if exhausted {
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

// bestWithBudget returns the highest-ranked backend server with budget left,
// and whether any was skipped because its budget is exhausted.
func bestWithBudget(s *Service, hash uint64, prefer string) (first *Backend, exhausted bool) {
	var bestScore float64
	var bestPreferred bool
	for _, b := range s.Backends {
		if !b.mayAdmit() {
			continue
		}
		if !b.NewFlowBudget.hasLeft() {
			exhausted = true
			continue
		}
		preferred := prefer != "" && b.DataCentre == prefer
		if first != nil && bestPreferred && !preferred {
			continue
		}
		score := b.weightedScore(hash)
		if first == nil || preferred && !bestPreferred || score > bestScore {
			first, bestScore, bestPreferred = b, score, preferred
		}
	}
	return first, exhausted
}

// rank returns the backend server's rendezvous score for a flow, regardless of
// weights.
func (b *Backend) rank(hash uint64) uint64 { return mix(hash ^ b.seed) }

// weightedScore returns the backend server's weighted rendezvous score for a
// flow. The probability of the highest score is proportional to the weight:
// -w/ln(u) with u uniform in (0, 1).
func (b *Backend) weightedScore(hash uint64) float64 {
	const scale = 1 << 53
	u := (float64(b.rank(hash)>>11) + 0.5) / scale
	return -b.Weight / math.Log(u)
}

// firstGuess returns the backend server that most probably serves a flow without
// an entry: a stable one if there is any, because a flow that lost its entries
// is older than a backend server that has just joined.
func firstGuess(s *Service, hash uint64) *Backend {
	var first *Backend
	for _, b := range s.Backends {
		switch {
		case !b.isCandidate():
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
// change between two guesses: a host that has just started considers every
// backend server cold until the first load reports arrive.
func nextGuess(s *Service, hash uint64, previous *Backend, tried int) *Backend {
	var top, next *Backend
	candidates := 0
	for _, b := range s.Backends {
		if !b.isCandidate() {
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

// isCandidate reports whether a flow without an entry may be sent to the
// backend server.
func (b *Backend) isCandidate() bool { return !b.DataCentreOut && !b.Unusable }

// bucketOf returns the bucket of a flow's hash.
func bucketOf(hash uint64) int { return int(hash % Buckets) }

// Primary returns the host that owns the bucket of flow k, or NoHost.
func (s *Service) Primary(k packet.Key) uint16 { return s.owned(bucketOf(k.Hash())).hosts[0] }

// Secondary returns the second owner of the bucket of flow k, or NoHost.
func (s *Service) Secondary(k packet.Key) uint16 { return s.owned(bucketOf(k.Hash())).hosts[1] }
