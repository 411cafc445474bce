package health

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/peer"
)

// Method is the JSON-RPC method of messages between entry hosts.
const Method = "health.report"

// Limits and retries of messages.
const (
	MaxMessageBytes = 256 << 10
	// firstRetry is the time until an unacknowledged datagram is sent again. It
	// doubles with each retry. Two lost datagrams delay a report by 0.6 s, so
	// that with a poll every 3 s a change arrives within 5 s.
	firstRetry = 200 * time.Millisecond
	// maxContentBytes is the largest content that is sent as a datagram, encoded
	// without the sequence number and WantAck. The difference leaves room for
	// these two, which differ between the receivers of a report.
	maxContentBytes = peer.MaxReport - 11
	// maxDatagrams is how often a report is sent as a datagram. After that it is
	// sent as a call, because the receiver may not support report datagrams.
	maxDatagrams = 4
)

// Message is the body of health.report: the first-hand observations of one host
// about the backend servers of one service. Rows holds for each backend server
// its index in address order and its flags, followed by the instance (with
// flagKnown), the age of the cold start (with flagCold) and the age of the
// process (with flagStarted). Ages are in milliseconds and need no common clock.
// A delayed message makes both starts appear later, which is safe.
type Message struct {
	To      string   `json:"-"`
	Call    bool     `json:"-"` // to be sent as a call, not as a datagram
	Service string   `json:"s"`
	Epoch   uint32   `json:"e,omitempty"` // digest of the backend server addresses
	Seq     uint64   `json:"n"`
	WantAck bool     `json:"a,omitempty"` // the sender waits for an acknowledgement
	Rows    []uint64 `json:"r,omitempty"`
}

// Acknowledgement returns the message that acknowledges m: it has the service
// and the sequence number of m, and no rows.
func (m *Message) Acknowledgement() Message { return Message{Service: m.Service, Seq: m.Seq} }

// Flags of a row. flagKnown, flagCold and flagStarted add a value to the row.
const (
	flagDraining = 1 << iota
	flagShedding
	flagForeign
	flagKnown
	flagCold
	flagStarted
	flagMask = 1<<iota - 1
)

// row is the decoded form of a message's row.
type row struct {
	flags      uint64
	instance   uint64
	coldAge    time.Duration // time since the cold start
	processAge time.Duration // time since the start of the process
	at         time.Time     // time of receipt
}

// member is the state of reports to and from one entry host.
type member struct {
	boot     uint64                 // boot ID of its process, 0 when unknown
	sent     map[string]*sentReport // newest report to it, by service
	received map[string]uint64      // newest sequence number from it, by service
}

// sentReport is the state of the newest report about a service to one host.
type sentReport struct {
	seq       uint64
	at        time.Time
	digest    uint64 // of the rows without ages
	attempts  int    // how often a report with this digest was sent
	call      bool   // the newest one was sent as a call
	delivered bool   // acknowledged, or a refresh of an acknowledged report
}

// ParseMessage decodes and checks the body of a health.report.
func ParseMessage(raw []byte) (Message, error) {
	var m Message
	if len(raw) > MaxMessageBytes {
		return m, errors.Wrapf(ErrMalformed, "%d bytes, allowed %d", len(raw), MaxMessageBytes)
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return m, errors.Mark(errors.Wrap(err, "health report"), ErrMalformed)
	}
	return m, m.check()
}

func (m *Message) check() error {
	if m.Service == "" || len(m.Service) > maxServiceName {
		return errors.Wrapf(ErrMalformed, "service name of %d bytes, allowed 1 to %d", len(m.Service), maxServiceName)
	}
	return m.eachRow(func(uint64, row) {})
}

// eachRow calls visit for each row and returns the first error. Rows before a
// malformed one are visited, so callers check a message before they use it.
func (m *Message) eachRow(visit func(index uint64, r row)) error {
	rest := m.Rows
	for len(rest) > 0 {
		if len(rest) < 2 {
			return errors.Wrap(ErrMalformed, "row without flags")
		}
		index, flags := rest[0], rest[1]
		rest = rest[2:]
		if flags&^flagMask != 0 {
			return errors.Wrapf(ErrMalformed, "flags %#x, allowed %#x", flags, uint64(flagMask))
		}
		var instance, coldAge, processAge uint64
		for _, f := range []struct {
			flag uint64
			to   *uint64
		}{{flagKnown, &instance}, {flagCold, &coldAge}, {flagStarted, &processAge}} {
			if flags&f.flag == 0 {
				continue
			}
			if len(rest) == 0 {
				return errors.Wrap(ErrMalformed, "row is truncated")
			}
			*f.to, rest = rest[0], rest[1:]
		}
		if age := max(coldAge, processAge); age > maxUptimeMillis {
			return errors.Wrapf(ErrMalformed, "age of %d ms, allowed %d", age, int64(maxUptimeMillis))
		}
		visit(index, row{
			flags: flags, instance: instance,
			coldAge: time.Duration(coldAge) * time.Millisecond, processAge: time.Duration(processAge) * time.Millisecond,
		})
	}
	return nil
}

// setPeers sets the peers to the members of this host's owner groups. It drops
// the state of other hosts.
func (s *State) setPeers() {
	old := s.peers
	s.peers = make(map[string]*member, len(old))
	for _, svc := range s.services {
		for _, id := range svc.group {
			if id == s.self || s.peers[id] != nil {
				continue
			}
			p := old[id]
			if p == nil {
				p = &member{sent: make(map[string]*sentReport), received: make(map[string]uint64)}
			}
			s.peers[id] = p
		}
	}
}

// Messages returns the reports to send now. A report is sent at once when its
// flags, instances, cold starts or process starts change, retried until Delivered
// is called for it, and refreshed after that. Reports beyond ReportBytes per
// second are returned by later calls.
func (s *State) Messages(now time.Time) []Message {
	s.refillBytes(now)
	var out []Message
	reports := make([]*outgoing, 0, len(s.services))
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		o := s.newOutgoing(now, s.services[name])
		reports = append(reports, o)
		out = s.appendChanged(now, out, o)
	}
	return s.appendRefreshes(now, out, reports)
}

// outgoing is the current report about a service, before its receiver is set.
type outgoing struct {
	svc    *service
	m      Message
	digest uint64
}

func (s *State) newOutgoing(now time.Time, svc *service) *outgoing {
	rows, digest := s.rows(now, svc)
	return &outgoing{svc: svc, digest: digest, m: Message{Service: svc.name, Epoch: svc.epoch, Rows: rows}}
}

// appendChanged appends the report to each host that has not acknowledged its
// current content, if a retry is due.
func (s *State) appendChanged(now time.Time, out []Message, o *outgoing) []Message {
	for _, id := range o.svc.group {
		if id == s.self {
			continue
		}
		sent := s.peers[id].sent[o.svc.name]
		if sent == nil && len(o.m.Rows) == 0 || sent != nil && !sent.due(now, o.digest, s.cfg.ReportInterval) {
			continue
		}
		if !s.send(now, o, id, &out) {
			break
		}
	}
	return out
}

// send appends the report to one host. It reports false when the byte limit is
// reached.
func (s *State) send(now time.Time, o *outgoing, id string, out *[]Message) bool {
	m, p := o.m, s.peers[id]
	s.seq = max(s.seq+1, uint64(now.UnixMilli()))
	large := len(m.AppendContent(nil)) > maxContentBytes
	next := p.sent[m.Service].next(now, s.seq, o.digest, large)
	m.To, m.Seq, m.Call, m.WantAck = id, s.seq, next.call, !next.delivered
	cost := float64(m.cost())
	if s.byteBudget < cost {
		return false
	}
	s.byteBudget -= cost
	p.sent[m.Service] = next
	*out = append(*out, m)
	return true
}

// next returns the state after the report is sent. A refresh of an acknowledged
// report needs no acknowledgement: if it is lost, the next refresh replaces it.
func (r *sentReport) next(now time.Time, seq, digest uint64, large bool) *sentReport {
	n := &sentReport{seq: seq, at: now, digest: digest, attempts: 1}
	if r != nil && r.digest == digest {
		n.attempts, n.delivered = r.attempts+1, r.delivered
	}
	n.call = large || !n.delivered && n.attempts > maxDatagrams
	return n
}

// due reports whether the report must be sent because its digest has changed or
// because a retry is due.
func (r *sentReport) due(now time.Time, digest uint64, interval time.Duration) bool {
	return r.digest != digest || !r.delivered && now.Sub(r.at) >= r.retryAfter(interval)
}

// retryAfter returns the time until an unacknowledged report is sent again. A call
// has a deadline of its own and is retried after the longest interval.
func (r *sentReport) retryAfter(longest time.Duration) time.Duration {
	if r.call {
		return longest
	}
	return min(firstRetry<<(r.attempts-1), longest)
}

// AppendContent appends the message in the form of a datagram's content: the
// service, then epoch, sequence number, 1 or 0 for WantAck, and rows.
func (m *Message) AppendContent(dst []byte) []byte {
	answer := uint64(0)
	if m.WantAck {
		answer = 1
	}
	dst = peer.AppendText(dst, m.Service)
	dst = peer.AppendNumbers(dst, uint64(m.Epoch), m.Seq, answer)
	return peer.AppendNumbers(dst, m.Rows...)
}

// ParseContent decodes and checks the content of a report datagram.
func ParseContent(raw []byte) (Message, error) {
	c := peer.NewReportReader(raw)
	m := Message{Service: c.Text()}
	epoch := c.Number()
	m.Seq = c.Number()
	answer := c.Number()
	for c.More() {
		m.Rows = append(m.Rows, c.Number())
	}
	if c.Err() != nil {
		return Message{}, errors.Mark(c.Err(), ErrMalformed)
	}
	if epoch > math.MaxUint32 || answer > 1 {
		return Message{}, errors.Wrapf(ErrMalformed, "epoch %d or answer %d out of range", epoch, answer)
	}
	m.Epoch, m.WantAck = uint32(epoch), answer == 1
	return m, m.check()
}

// cost returns the bytes of the message on the wire, headers included.
func (m *Message) cost() int {
	if !m.Call {
		return len(m.AppendContent(nil)) + peer.DatagramOverhead
	}
	raw, err := json.Marshal(m)
	if err != nil {
		return MaxMessageBytes
	}
	return len(raw) + peer.CallOverhead
}

// Delivered records that the peer acknowledged m, by the reply to a call or by a
// datagram. Only To, Service and Seq are used.
func (s *State) Delivered(m Message) {
	p := s.peers[m.To]
	if p == nil {
		return
	}
	if sent := p.sent[m.Service]; sent != nil && sent.seq == m.Seq {
		sent.delivered = true
	}
}

func (s *State) refillBytes(now time.Time) {
	burst := float64(s.cfg.ReportBytes) * 10
	if s.refilledAt.IsZero() {
		s.byteBudget = burst
	}
	if d := now.Sub(s.refilledAt); !s.refilledAt.IsZero() && d > 0 {
		s.byteBudget = min(s.byteBudget+d.Seconds()*float64(s.cfg.ReportBytes), burst)
	}
	s.refilledAt = now
}

// Receive records another host's report. The result holds the reason if the
// report was refused.
func (s *State) Receive(now time.Time, from string, m Message) Result {
	svc, p := s.services[m.Service], s.peers[from]
	switch {
	case svc == nil:
		return dropped(dropUnknownService)
	case !s.acceptsReportsFrom(from):
		return dropped(dropUnknownHost)
	case m.Epoch != svc.epoch:
		return dropped(dropEpoch)
	case m.eachRow(func(uint64, row) {}) != nil:
		return dropped(dropMalformed)
	}
	if p == nil {
		p = &member{sent: make(map[string]*sentReport), received: make(map[string]uint64)}
		s.peers[from] = p
	}
	if m.Seq <= p.received[m.Service] {
		return dropped(dropOld)
	}
	p.received[m.Service] = m.Seq
	s.applyRows(now, from, svc, &m)
	return Result{Accepted: true}
}

// applyRows records the rows of a report and removes the earlier rows of the host
// about backend servers that it no longer reports.
func (s *State) applyRows(now time.Time, from string, svc *service, m *Message) {
	seen := make(map[netip.AddrPort]bool, len(svc.order))
	_ = m.eachRow(func(index uint64, r row) {
		if index >= uint64(len(svc.order)) {
			countDropped(dropUnknownBackend)
			return
		}
		b := svc.order[index]
		seen[b.addr] = true
		r.at = now
		b.applyRow(now, from, r)
	})
	for _, b := range svc.order {
		if !seen[b.addr] {
			delete(b.remote, from)
		}
	}
}

// applyRow records one row. Of the reported starts of a cold ramp the latest is
// used, so that a delayed message can only make the ramp start later.
func (b *backend) applyRow(now time.Time, from string, r row) {
	old, known := b.remote[from]
	if r.flags&flagCold != 0 {
		b.remoteColdSince = later(b.remoteColdSince, now.Add(-r.coldAge))
	}
	if r.flags&flagKnown != 0 && (!known || old.instance != r.instance) && b.instance != r.instance {
		b.instance, b.latestStart = r.instance, time.Time{}
	}
	if r.flags&flagStarted != 0 && b.instance == r.instance && b.latestStart.IsZero() {
		b.latestStart = now.Add(-r.processAge)
	}
	if b.remote == nil {
		b.remote = make(map[string]row)
	}
	b.remote[from] = r
}

// rows returns this host's first-hand observations about the backend servers of
// a service, and a digest of them that does not change with the ages.
func (s *State) rows(now time.Time, svc *service) ([]uint64, uint64) {
	var rows []uint64
	var d xxhash.Digest
	for i, b := range svc.order {
		flags := b.flags(now, s.cfg.ReportStaleAfter)
		if flags == 0 {
			continue
		}
		rows = append(rows, uint64(i), flags)
		fmt.Fprint(&d, i, flags)
		if flags&flagKnown != 0 {
			rows = append(rows, b.load.instance)
			fmt.Fprint(&d, " i", b.load.instance)
		}
		if flags&flagCold != 0 {
			age := max(now.Sub(b.load.coldSince), 0)
			rows = append(rows, uint64(age.Milliseconds()))
			fmt.Fprint(&d, " c", b.load.coldSince.UnixNano())
		}
		if flags&flagStarted != 0 {
			age := max(now.Sub(b.load.latestStart), 0)
			rows = append(rows, uint64(age.Milliseconds()))
			fmt.Fprint(&d, " s", b.load.latestStart.UnixNano())
		}
	}
	if len(rows) == 0 {
		return nil, 0
	}
	return rows, d.Sum64()
}

// flags returns the flags of the row for b, or 0 if b needs no row.
func (b *backend) flags(now time.Time, stale time.Duration) uint64 {
	l := &b.load
	var f uint64
	set := func(on bool, flag uint64) {
		if on {
			f |= flag
		}
	}
	set(!l.coldSince.IsZero() && now.Sub(l.coldSince) < b.ramp, flagCold)
	if !b.observed || l.at.IsZero() {
		return f
	}
	set(l.report.Draining, flagDraining)
	set(l.report.Shedding && now.Sub(l.at) <= stale, flagShedding)
	set(l.foreign, flagForeign)
	set(l.known && !l.foreign, flagKnown)
	// A new instance is cold. By the end of the ramp its report has arrived, so
	// that the start is no longer sent.
	set(f&flagKnown != 0 && f&flagCold != 0 && !l.latestStart.IsZero(), flagStarted)
	return f
}

// acceptsReportsFrom reports whether reports of a host are accepted. It must be on
// the list of live hosts, so that reports of a host that has left are refused.
func (s *State) acceptsReportsFrom(id string) bool {
	return id != s.self && s.hosts[id]
}

// Result is the outcome of a received report.
type Result struct {
	Accepted bool
	Refusal  string // why the report was not used; empty when it was accepted
}

func dropped(r dropReason) Result {
	countDropped(r)
	return Result{Refusal: dropNames[r]}
}
