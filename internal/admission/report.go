package admission

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// maxBackoff limits the backoff of unacknowledged reports: their interval
	// doubles after each report but the first, at most maxBackoff-1 times.
	maxBackoff = 3
	// burstSeconds limits the unused report bytes that accumulate, in seconds of
	// Config.ReportBytes. They serve the exchange after a change of the buckets.
	burstSeconds = 60
	// maxDatagrams is the number of unacknowledged reports that are sent to a
	// member as datagrams. Later ones are sent as calls, because the member may
	// not support report datagrams.
	maxDatagrams = 4
	// chargedPart is the threshold (1/n of the last sent value) above which a
	// change of the charged flows is reported.
	chargedPart = 8
)

// member is the state of the reports to and from one member of a group.
type member struct {
	rows map[netip.AddrPort]memberRow // from its reports
	sent map[netip.AddrPort]sentRow   // last values sent to it

	confirmed    bool   // it has confirmed the view and received this host's confirmation
	movedApplied bool   // the charges that it handed over in this view are retained
	readySeq     uint64 // first report sent to it with flagReady in this view
	firstSeq     uint64 // first report sent to it in this view
	ackedSeq     uint64 // newest report of this host that it accepted
	acceptedSeq  uint64 // newest of its reports that this host accepted in this view
	ackDue       bool
	awaitsReply  bool // it waits for a report of this host
	lastSent     time.Time
	backoff      int
	unacked      int // reports sent since its last acknowledgement
}

// memberRow holds the values that a member reported about a backend server.
type memberRow struct{ charged, requested, held, moved int }

// commonValues are the values that are the same for all members of a group.
// They are computed once per round.
type commonValues struct{ charged, requestedLoan int }

// sentRow holds the values that were last sent to a member about a backend server.
type sentRow struct {
	values fields
	seq    uint64 // first report that carried these values
}

func newMember() *member {
	return &member{rows: make(map[netip.AddrPort]memberRow)}
}

// restart resets the exchange for a new view. All values are sent again, since
// the indexes of backend servers may have changed. The charges that the member
// reported last are kept.
func (p *member) restart() {
	p.sent = make(map[netip.AddrPort]sentRow)
	p.confirmed, p.movedApplied, p.awaitsReply = false, false, false
	p.readySeq, p.firstSeq, p.acceptedSeq, p.backoff = 0, 0, 0, 0
	p.lastSent = time.Time{}
	for addr, r := range p.rows {
		p.rows[addr] = memberRow{charged: r.charged}
	}
}

// Report returns the reports to send now. Each holds the values that changed. At
// most one report per service and host is returned in ReportInterval, or in
// HandoverInterval during a handover. Reports beyond ReportBytes per second are
// returned by later calls.
func (s *State) Report(now time.Time) []Report {
	s.refillBytes(now)
	var out []Report
	groups := s.sortedGroups()
	for _, g := range groups {
		s.advance(now, g)
		for _, b := range g.order {
			s.returnLoans(now, b)
			b.common = commonValues{charged: b.occupied(now), requestedLoan: s.requestedLoan(now, b)}
		}
	}
	slices.SortStableFunc(groups, func(a, b *group) int { return a.urgency() - b.urgency() })
	for _, g := range groups {
		for _, id := range g.memberIDs(now) {
			if s.byteBudget <= 0 {
				countDropped(dropByteLimit)
				return out
			}
			if r, ok := s.reportTo(now, g, id); ok {
				s.byteBudget -= float64(r.cost())
				out = append(out, r)
			}
		}
	}
	return out
}

// urgency returns the sort key of a group: 0 during a handover or when a member
// waits for a report, else 1.
func (g *group) urgency() int {
	if !g.complete {
		return 0
	}
	for _, p := range g.members {
		if p.awaitsReply {
			return 0
		}
	}
	return 1
}

// memberIDs returns the members, in the order of the last report to them, oldest
// first.
func (g *group) memberIDs(now time.Time) []string {
	ids := make([]string, 0, len(g.members))
	for id := range g.members {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		if c := g.members[a].lastSent.Compare(g.members[b].lastSent); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	return ids
}

func (s *State) refillBytes(now time.Time) {
	burst := float64(s.cfg.ReportBytes * burstSeconds)
	if s.refilledAt.IsZero() {
		s.byteBudget = burst
	} else if d := now.Sub(s.refilledAt); d > 0 {
		s.byteBudget = min(s.byteBudget+d.Seconds()*float64(s.cfg.ReportBytes), burst)
	}
	s.refilledAt = now
}

func (s *State) reportTo(now time.Time, g *group, id string) (Report, bool) {
	p := g.members[id]
	if now.Sub(p.lastSent) < s.interval(g, p) {
		return Report{}, false
	}
	seq := max(s.seq+1, uint64(now.UnixMilli()))
	r := Report{To: id, Service: g.name, Epoch: g.view.epoch, Seq: seq, Ack: p.acceptedSeq}
	r.Rows = s.rowsFor(now, g, id, p, seq)
	if len(r.Rows) == 0 && !p.ackDue && p.confirmed && p.readySeq != 0 && p.ackedSeq >= p.readySeq {
		return Report{}, false
	}
	s.seq = seq
	s.setFlags(g, p, &r)
	if len(r.Rows) > 0 || r.Flags&flagWantReply != 0 {
		p.backoff = min(p.backoff+1, maxBackoff)
		p.unacked++
	}
	r.Call = p.unacked > maxDatagrams || !r.fits()
	p.ackDue, p.awaitsReply, p.lastSent = false, false, now
	return r, true
}

func (s *State) setFlags(g *group, p *member, r *Report) {
	if p.firstSeq == 0 {
		p.firstSeq = r.Seq
	}
	if p.ackedSeq < p.firstSeq {
		r.Flags |= flagFull
	}
	if !g.awaitSweep {
		r.Flags |= flagReady
		if p.readySeq == 0 {
			p.readySeq = r.Seq
		}
	}
	if !g.complete {
		r.Base = g.base.digest()
	}
	if !p.confirmed || p.readySeq == 0 || p.ackedSeq < p.readySeq {
		r.Flags |= flagWantReply
	}
}

func (v *view) digest() uint32 {
	if v == nil {
		return 0
	}
	return v.epoch
}

// interval returns the interval between reports to a member. It grows while the
// member does not acknowledge reports.
func (s *State) interval(g *group, p *member) time.Duration {
	base := s.cfg.ReportInterval
	if !g.complete || p.awaitsReply {
		base = s.cfg.HandoverInterval
	}
	return base << max(p.backoff-1, 0)
}

// rowsFor returns the rows with new loans and with the values that the member
// has not acknowledged.
func (s *State) rowsFor(now time.Time, g *group, id string, p *member, seq uint64) []int {
	var rows []int
	for i, b := range g.order {
		last, known := p.sent[b.addr]
		f := b.fieldsFor(id, &last.values)
		mask, unacked := 0, known && last.seq > p.ackedSeq
		for k := fieldCharged; k <= fieldMoved; k++ {
			if f[k] != last.values[k] || unacked {
				mask |= 1 << k
			}
		}
		if mask != 0 && !(unacked && f == last.values) {
			last.seq = seq
		}
		if w := p.rows[b.addr].requested; w > 0 {
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

// fieldsFor returns the current values for one member. The number of charged
// flows stays at the last sent value while it differs by at most 1/chargedPart.
func (b *backend) fieldsFor(id string, last *fields) fields {
	var f fields
	f[fieldCharged] = b.common.charged
	if d := f[fieldCharged] - last[fieldCharged]; max(d, -d) <= last[fieldCharged]/chargedPart {
		f[fieldCharged] = last[fieldCharged]
	}
	f[fieldMoved] = b.moved
	if l := b.borrowed[id]; l != nil {
		f[fieldHeld] = l.flows
	}
	if n := len(b.group.members); n > 0 {
		f[fieldRequested] = ceilDiv(b.common.requestedLoan, n)
	}
	return f
}

// Receive records another host's report.
func (s *State) Receive(now time.Time, from string, r Report) Result {
	g := s.groups[r.Service]
	if g == nil {
		return refused(dropUnknownService)
	}
	p := g.members[from]
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
	return Result{Accepted: true, WantReply: r.Flags&flagWantReply != 0}
}

func (s *State) accept(now time.Time, g *group, from string, p *member, r *Report) {
	if r.Ack < p.ackedSeq {
		p.restartSending()
	}
	if r.Ack > p.ackedSeq {
		p.unacked = 0
	}
	p.ackedSeq = r.Ack
	p.acceptedSeq = r.Seq
	p.backoff = 0
	p.awaitsReply = p.awaitsReply || r.Flags&flagWantReply != 0
	p.ackDue = p.ackDue || p.awaitsReply || len(r.Rows) > 0
	s.acceptRows(now, g, from, p, r)
	g.acknowledgeLoans(from, p, r.Ack)
	if r.Flags&flagReady == 0 {
		return
	}
	if !p.movedApplied && !g.complete {
		s.retainMoved(now, g, p, r.Base)
	}
	p.movedApplied = true
	if p.readySeq != 0 && r.Ack >= p.readySeq {
		p.confirmed = true
	}
	s.advance(now, g)
}

// restartSending causes all values to be sent again, after the member has lost
// the reports that it had accepted.
func (p *member) restartSending() {
	p.sent = make(map[netip.AddrPort]sentRow)
	p.firstSeq = 0
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
		for i, to := range []*int{&row.charged, &row.requested, &row.held, &row.moved} {
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

func (g *group) acknowledgeLoans(from string, p *member, ack uint64) {
	for _, b := range g.order {
		l := b.lent[from]
		if l == nil {
			continue
		}
		l.acknowledge(ack, p.rows[b.addr].held)
		if l.flows() == 0 {
			delete(b.lent, from)
		}
	}
}
