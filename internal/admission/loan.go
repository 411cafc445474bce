package admission

import (
	"slices"
	"time"
)

// reservePart is the fraction (1/n) of its share that a host does not lend. A
// host requests loans when less than this fraction is unused.
const reservePart = 4

// lending holds the loans of this host to one other host. A loan is deducted
// from this host's allowance until the borrower has acknowledged it and reported
// how much it still holds. No clock is involved, so clock differences between
// hosts cannot cause the allowance to be exceeded.
type lending struct {
	grants []grant
	held   int // by the borrower, according to its last report
}

// grant is one loan as it was sent.
type grant struct {
	flows int
	seq   uint64 // of the report that carried it
}

// borrowing is the newest loan from one other host.
type borrowing struct {
	flows int
	level int // allowance of the backend server at which it was granted
	until time.Time
}

// flows returns how many flows the borrower may have open on the loans.
func (l *lending) flows() int {
	n := l.held
	for _, g := range l.grants {
		n = max(n, g.flows)
	}
	return n
}

// acknowledge applies a report of the borrower that acknowledges all reports up
// to ack and says that it holds a loan of held flows.
func (l *lending) acknowledge(ack uint64, held int) {
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool { return g.seq <= ack })
	l.held = held
}

// lentFlows returns the sum of the loans to all other hosts.
func (b *backend) lentFlows() int {
	sum := 0
	for _, l := range b.lent {
		sum += l.flows()
	}
	return sum
}

// usableLoans returns the sum of the loans that new flows may use. A loan that
// was granted at a larger allowance than level is not used: the lender may not
// have learned yet that the backend server returned to cold.
func (b *backend) usableLoans(now time.Time, level int) int {
	sum := 0
	for _, l := range b.borrowed {
		if now.Before(l.until) && level >= l.level {
			sum += l.flows
		}
	}
	return sum
}

// heldLoans returns the sum of the loans that this host still holds, including
// the expired ones that are not returned yet.
func (b *backend) heldLoans() int {
	sum := 0
	for _, l := range b.borrowed {
		sum += l.flows
	}
	return sum
}

// returnLoans reduces expired loans to the part that open flows still use.
func (s *State) returnLoans(now time.Time, b *backend) {
	if len(b.borrowed) == 0 {
		return
	}
	level, _ := s.level(now, b)
	need := b.occupied(now) + b.moved - b.share(s.self, level)
	var expired []string
	for id, l := range b.borrowed {
		if now.Before(l.until) {
			need -= l.flows
			continue
		}
		expired = append(expired, id)
	}
	slices.Sort(expired)
	for _, id := range expired {
		l := b.borrowed[id]
		l.flows = min(l.flows, max(need, 0))
		need -= l.flows
		if l.flows == 0 {
			delete(b.borrowed, id)
		}
	}
}

// requestedLoan returns the total loan that this host requests. It is rounded up
// so that it does not change with every flow.
func (s *State) requestedLoan(now time.Time, b *backend) int {
	if !b.group.complete || !s.admits(b) {
		return 0
	}
	level, _ := s.level(now, b)
	share := b.share(s.self, level)
	reserve := max(share/reservePart, 1)
	need := b.occupied(now) + reserve - share
	step := max(share/8, 1)
	return max(ceilDiv(need, step)*step, 0)
}

// lendable returns the number of flows that this host may lend in addition to
// its present loans.
func (s *State) lendable(now time.Time, b *backend) int {
	if !b.group.complete || !s.admits(b) || len(b.borrowed) > 0 {
		return 0
	}
	level, _ := s.level(now, b)
	share := b.share(s.self, level)
	return max(share-b.occupied(now)-max(share/reservePart, 1), 0)
}

// lend grants up to half of the unused allowance to the host that requested it
// and returns the size of the loan, which includes what was lent before. seq is
// the sequence number of the report that carries the loan.
func (s *State) lend(now time.Time, b *backend, id string, requested int, seq uint64) int {
	l := b.lent[id]
	if l == nil {
		l = &lending{}
	}
	flows := min(requested, l.flows()+s.lendable(now, b)/2)
	if flows <= 0 {
		return 0
	}
	if b.lent == nil {
		b.lent = make(map[string]*lending)
	}
	b.lent[id] = l
	l.grants = append(l.grants, grant{flows: flows, seq: seq})
	if len(l.grants) > maxGrants {
		l.grants[1].flows = max(l.grants[0].flows, l.grants[1].flows)
		l.grants = l.grants[1:]
	}
	return flows
}

// maxGrants limits the unacknowledged grants to one host. Beyond it, the oldest
// two are merged into one with the larger size and the later sequence number.
const maxGrants = 8

// borrow records a loan from another host. It replaces the previous loan from
// that host, except for the part that open flows still need.
func (s *State) borrow(now time.Time, b *backend, from string, flows, level int) {
	if b.borrowed == nil {
		b.borrowed = make(map[string]*borrowing)
	}
	own, _ := s.level(now, b)
	need := b.occupied(now) + b.moved - b.share(s.self, own)
	for id, l := range b.borrowed {
		if id != from {
			need -= l.flows
		}
	}
	if old := b.borrowed[from]; old != nil {
		flows = max(flows, min(old.flows, need))
	}
	b.borrowed[from] = &borrowing{flows: flows, level: level, until: now.Add(s.cfg.LoanDuration)}
}
