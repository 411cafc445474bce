package admission

import (
	"slices"
	"time"
)

// reservePart is the fraction (1/n) of its share that a host keeps for itself
// when it lends, and below which it asks for loans.
const reservePart = 4

// lending is what this host lent to one other host. A loan stays deducted
// until the borrower's answer to it says what it still needs, so that safety
// depends on no clock.
type lending struct {
	grants []grant
	owed   int // by the borrower's last answer
}

type grant struct {
	flows int
	seq   uint64 // of the report that carried it
}

// borrowing is the newest loan of one host.
type borrowing struct {
	flows int
	level int // allowance for which it was lent
	until time.Time
}

func (l *lending) flows() int {
	n := l.owed
	for _, g := range l.grants {
		n = max(n, g.flows)
	}
	return n
}

// settle applies a report that answers everything up to ack.
func (l *lending) settle(ack uint64, owed int) {
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool { return g.seq <= ack })
	l.owed = owed
}

// lentFlows sums what is lent.
func (b *backend) lentFlows() int {
	sum := 0
	for _, l := range b.lent {
		sum += l.flows()
	}
	return sum
}

// usableLoans sums the loans that new flows may use. A loan of a larger
// allowance than this host knows of is not used: the lender may not have
// learned yet that the backend server returned to cold.
func (b *backend) usableLoans(now time.Time, level int) int {
	sum := 0
	for _, l := range b.borrowed {
		if now.Before(l.until) && level >= l.level {
			sum += l.flows
		}
	}
	return sum
}

// heldLoans sums the loans that lenders still count as lent.
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

// want returns the total loan that this host asks for, rounded up so that it
// does not change with every flow.
func (s *State) want(now time.Time, b *backend) int {
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

// spare returns what this host may lend in addition to what is lent already.
func (s *State) spare(now time.Time, b *backend) int {
	if !b.group.complete || !s.admits(b) || len(b.borrowed) > 0 {
		return 0
	}
	level, _ := s.level(now, b)
	share := b.share(s.self, level)
	return max(share-b.occupied(now)-max(share/reservePart, 1), 0)
}

// lend grants part of the spare allowance to a host that asks for it and
// returns the size of the loan.
func (s *State) lend(now time.Time, b *backend, id string, want int, seq uint64) int {
	l := b.lent[id]
	if l == nil {
		l = &lending{}
	}
	flows := min(want, l.flows()+s.spare(now, b)/2)
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

// maxGrants bounds the unanswered loans to one host. The oldest two merge
// into one of the larger size and the later answer.
const maxGrants = 8

// borrow records a loan. Flows that use an older, larger one keep it.
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
