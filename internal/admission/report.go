package admission

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// maxBackoff limits how often the interval of unanswered reports doubles.
	maxBackoff = 3
	// burstSeconds is how many seconds of report bytes may be saved up for the
	// exchange after a change of the buckets.
	burstSeconds = 60
	// maxDatagrams is how many reports are sent as datagrams while the member
	// acknowledges none. Later ones are sent as calls: it may not know report
	// datagrams.
	maxDatagrams = 4
	// chargedPart is the change (1/n of the last figure) of the charged flows
	// that is worth a report.
	chargedPart = 8
)

// member is the state of the reports to and from one member of a group.
type member struct {
	rows map[netip.AddrPort]remote // by its reports
	sent map[netip.AddrPort]sentRow

	confirmed bool   // it confirmed the view and has received ours
	movedSeen bool   // its handed over charges are retained
	ready     uint64 // first report sent to it with flagReady in this view
	first     uint64 // first report sent to it in this view
	acked     uint64 // newest of our reports that it accepted
	accepted  uint64 // newest of its reports that was accepted in this view
	ackDue    bool
	waits     bool // it waits for our confirmation
	lastOut   time.Time
	backoff   int
	unacked   int // reports sent since it last acknowledged one
}

// remote is what a member reported about a backend server.
type remote struct{ charged, want, owed, moved int }

// toldFigures are computed once per round for all members.
type toldFigures struct{ charged, want int }

// sentRow is what was last sent about a backend server.
type sentRow struct {
	values fields
	seq    uint64 // first report that carried these values
}

func newMember() *member {
	return &member{rows: make(map[netip.AddrPort]remote)}
}

// restart begins the exchange for a new view. Indexes may have changed, so
// that everything is sent again. The last reported charges stay known.
func (p *member) restart() {
	p.sent = make(map[netip.AddrPort]sentRow)
	p.confirmed, p.movedSeen, p.waits = false, false, false
	p.ready, p.first, p.accepted, p.backoff = 0, 0, 0, 0
	p.lastOut = time.Time{}
	for addr, r := range p.rows {
		p.rows[addr] = remote{charged: r.charged}
	}
}

// Report returns the reports to send now: at once while buckets change hands,
// otherwise what changed, at most one per service, host and ReportInterval.
// What exceeds ReportBytes per second is sent later.
func (s *State) Report(now time.Time) []Report {
	s.refillBytes(now)
	var out []Report
	groups := s.sortedGroups()
	for _, g := range groups {
		s.advance(now, g)
		for _, b := range g.order {
			s.returnLoans(now, b)
			b.told = toldFigures{charged: b.occupied(now), want: s.want(now, b)}
		}
	}
	slices.SortStableFunc(groups, func(a, b *group) int { return a.urgency() - b.urgency() })
	for _, g := range groups {
		for _, id := range g.peerIDs(now) {
			if s.bytes <= 0 {
				countDropped(dropByteLimit)
				return out
			}
			if r, ok := s.reportTo(now, g, id); ok {
				s.bytes -= float64(r.cost())
				out = append(out, r)
			}
		}
	}
	return out
}

// urgency orders groups by who waits: first those whose buckets change hands.
func (g *group) urgency() int {
	if !g.complete {
		return 0
	}
	for _, p := range g.peers {
		if p.waits {
			return 0
		}
	}
	return 1
}

// peerIDs returns the members, those that waited longest for a report first.
func (g *group) peerIDs(now time.Time) []string {
	ids := make([]string, 0, len(g.peers))
	for id := range g.peers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		if c := g.peers[a].lastOut.Compare(g.peers[b].lastOut); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	return ids
}

func (s *State) refillBytes(now time.Time) {
	burst := float64(s.cfg.ReportBytes * burstSeconds)
	if s.refill.IsZero() {
		s.bytes = burst
	} else if d := now.Sub(s.refill); d > 0 {
		s.bytes = min(s.bytes+d.Seconds()*float64(s.cfg.ReportBytes), burst)
	}
	s.refill = now
}

func (s *State) reportTo(now time.Time, g *group, id string) (Report, bool) {
	p := g.peers[id]
	if now.Sub(p.lastOut) < s.interval(g, p) {
		return Report{}, false
	}
	seq := max(s.seq+1, uint64(now.UnixMilli()))
	r := Report{To: id, Service: g.name, Epoch: g.view.epoch, Seq: seq, Ack: p.accepted}
	r.Rows = s.rowsFor(now, g, id, p, seq)
	if len(r.Rows) == 0 && !p.ackDue && p.confirmed && p.ready != 0 && p.acked >= p.ready {
		return Report{}, false
	}
	s.seq = seq
	s.setFlags(g, p, &r)
	if len(r.Rows) > 0 || r.Flags&flagWait != 0 {
		p.backoff = min(p.backoff+1, maxBackoff)
		p.unacked++
	}
	r.Call = p.unacked > maxDatagrams || !r.fits()
	p.ackDue, p.waits, p.lastOut = false, false, now
	return r, true
}

func (s *State) setFlags(g *group, p *member, r *Report) {
	if p.first == 0 {
		p.first = r.Seq
	}
	if p.acked < p.first {
		r.Flags |= flagFull
	}
	if !g.awaitSweep {
		r.Flags |= flagReady
		if p.ready == 0 {
			p.ready = r.Seq
		}
	}
	if !g.complete {
		r.Base = g.base.digest()
	}
	if !p.confirmed || p.ready == 0 || p.acked < p.ready {
		r.Flags |= flagWait
	}
}

func (v *view) digest() uint32 {
	if v == nil {
		return 0
	}
	return v.epoch
}

// interval grows while a member does not answer.
func (s *State) interval(g *group, p *member) time.Duration {
	base := s.cfg.ReportInterval
	if !g.complete || p.waits {
		base = s.cfg.HandoverInterval
	}
	return base << max(p.backoff-1, 0)
}

// rowsFor returns the rows with values that the member has not acknowledged,
// and new loans.
func (s *State) rowsFor(now time.Time, g *group, id string, p *member, seq uint64) []int {
	var rows []int
	for i, b := range g.order {
		last, known := p.sent[b.addr]
		f := b.fieldsFor(id, &last.values)
		mask, unacked := 0, known && last.seq > p.acked
		for k := fieldCharged; k <= fieldMoved; k++ {
			if f[k] != last.values[k] || unacked {
				mask |= 1 << k
			}
		}
		if mask != 0 && !(unacked && f == last.values) {
			last.seq = seq
		}
		if w := p.rows[b.addr].want; w > 0 {
			if f[fieldLoan] = s.lend(now, b, id, w, seq); f[fieldLoan] > 0 {
				f[fieldLevel], _ = s.level(now, b)
				mask |= loanMask
			}
		}
		rows = appendRow(rows, i, mask, &f)
		if mask != 0 {
			f[fieldLoan], f[fieldLevel] = 0, 0
			p.sent[b.addr] = sentRow{values: f, seq: last.seq}
		}
	}
	return rows
}

// fieldsFor returns the present values. The charged flows keep the last sent
// figure as long as the difference is small.
func (b *backend) fieldsFor(id string, last *fields) fields {
	var f fields
	f[fieldCharged] = b.told.charged
	if d := f[fieldCharged] - last[fieldCharged]; max(d, -d) <= last[fieldCharged]/chargedPart {
		f[fieldCharged] = last[fieldCharged]
	}
	f[fieldMoved] = b.moved
	if l := b.borrowed[id]; l != nil {
		f[fieldOwed] = l.flows
	}
	if n := len(b.group.peers); n > 0 {
		f[fieldWant] = ceilDiv(b.told.want, n)
	}
	return f
}

// Receive records another host's report.
func (s *State) Receive(now time.Time, from string, r Report) Result {
	g := s.groups[r.Service]
	if g == nil {
		return refused(dropUnknownService)
	}
	p := g.peers[from]
	switch {
	case p == nil:
		return refused(dropNotMember)
	case r.check() != nil:
		return refused(dropMalformed)
	}
	k := stream{from, r.Service}
	if r.Seq <= s.received[k].seq {
		return refused(dropOld)
	}
	s.received[k] = received{seq: r.Seq, at: now}
	if r.Epoch != g.view.epoch {
		return refused(dropEpoch)
	}
	s.accept(now, g, from, p, &r)
	return Result{Accepted: true, WantReply: r.Flags&flagWait != 0}
}

func (s *State) accept(now time.Time, g *group, from string, p *member, r *Report) {
	if r.Ack < p.acked {
		p.restartSending()
	}
	if r.Ack > p.acked {
		p.unacked = 0
	}
	p.acked = r.Ack
	p.accepted = r.Seq
	p.backoff = 0
	p.waits = p.waits || r.Flags&flagWait != 0
	p.ackDue = p.ackDue || p.waits || len(r.Rows) > 0
	s.acceptRows(now, g, from, p, r)
	g.settleLoans(from, p, r.Ack)
	if r.Flags&flagReady == 0 {
		return
	}
	if !p.movedSeen && !g.complete {
		s.retainMoved(now, g, p, r.Base)
	}
	p.movedSeen = true
	if p.ready != 0 && r.Ack >= p.ready {
		p.confirmed = true
	}
	s.advance(now, g)
}

// restartSending sends everything again: the member lost what it had accepted.
func (p *member) restartSending() {
	p.sent = make(map[netip.AddrPort]sentRow)
	p.first = 0
}

func (s *State) acceptRows(now time.Time, g *group, from string, p *member, r *Report) {
	if r.Flags&flagFull != 0 {
		clear(p.rows)
	}
	_ = r.eachRow(func(index, mask int, f *fields) {
		if index >= len(g.order) {
			countDropped(dropUnknownBackend)
			return
		}
		b := g.order[index]
		row := p.rows[b.addr]
		for i, to := range []*int{&row.charged, &row.want, &row.owed, &row.moved} {
			if mask&(1<<i) != 0 {
				*to = f[i]
			}
		}
		p.rows[b.addr] = row
		if mask&(1<<fieldLoan) != 0 {
			s.borrow(now, b, from, f[fieldLoan], f[fieldLevel])
		}
	})
}

func (g *group) settleLoans(from string, p *member, ack uint64) {
	for _, b := range g.order {
		l := b.lent[from]
		if l == nil {
			continue
		}
		l.settle(ack, p.rows[b.addr].owed)
		if l.flows() == 0 {
			delete(b.lent, from)
		}
	}
}
