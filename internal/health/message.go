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

// Bounds and estimates of messages.
const (
	MaxMessageBytes = 256 << 10
	// firstRepeat is the time until an unacknowledged datagram is repeated. It
	// doubles with each repeat. Two lost datagrams delay a report by 0.6 s,
	// which with a poll every 3 s stays within 5 s.
	firstRepeat = 200 * time.Millisecond
	// maxContent leaves room for the sequence number and the wish for an
	// answer, which differ between the receivers of one report.
	maxContent = peer.MaxReport - 11
	// maxDatagrams is how often a report is sent as a datagram. After that it
	// is sent as a call: the receiver may not know report datagrams.
	maxDatagrams = 4
)

// Message is the body of health.report: what one host knows first hand about
// backend servers of one service. Rows holds, for each backend server, its
// index in address order, flags, and with flagKnown the instance, and with
// flagCold the age of the cold start, and with flagStarted that of the process,
// in milliseconds. Ages need no common clock; a delay of the message makes both
// starts later, which is safe.
type Message struct {
	To      string   `json:"-"`
	Call    bool     `json:"-"` // to be sent as a call, not as a datagram
	Service string   `json:"s"`
	Epoch   uint32   `json:"e,omitempty"` // digest of the backend server addresses
	Seq     uint64   `json:"n"`
	Answer  bool     `json:"a,omitempty"` // the sender waits for an acknowledgement
	Rows    []uint64 `json:"r,omitempty"`
}

// Acknowledgement returns the message that acknowledges m: it has the service
// and the sequence number of m, and no rows.
func (m *Message) Acknowledgement() Message { return Message{Service: m.Service, Seq: m.Seq} }

// Flags of a row.
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
	flags    uint64
	instance uint64
	cold     time.Duration // age of the cold start
	started  time.Duration // age of the process
	at       time.Time     // receipt
}

// member is the state of reports to and from one entry host.
type member struct {
	boot     uint64                 // of its process
	sent     map[string]*sentReport // by service
	received map[string]uint64      // newest sequence number by service
}

type sentReport struct {
	seq       uint64
	at        time.Time
	digest    uint64 // of the rows without ages
	tries     int    // how often it was sent without an acknowledgement
	call      bool   // sent as a call
	delivered bool
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

// eachRow visits the rows and reports the first fault. Rows before a fault
// are visited, so callers check a message before they use it.
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
		var instance, cold, started uint64
		for _, f := range []struct {
			flag uint64
			to   *uint64
		}{{flagKnown, &instance}, {flagCold, &cold}, {flagStarted, &started}} {
			if flags&f.flag == 0 {
				continue
			}
			if len(rest) == 0 {
				return errors.Wrap(ErrMalformed, "row is truncated")
			}
			*f.to, rest = rest[0], rest[1:]
		}
		if age := max(cold, started); age > maxUptimeMillis {
			return errors.Wrapf(ErrMalformed, "age of %d ms, allowed %d", age, int64(maxUptimeMillis))
		}
		visit(index, row{
			flags: flags, instance: instance,
			cold: time.Duration(cold) * time.Millisecond, started: time.Duration(started) * time.Millisecond,
		})
	}
	return nil
}

// setPeers forgets hosts that share no owner group with this host.
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
// flags, instances or cold starts change, repeated until Delivered confirms
// it, and refreshed after that. The rate is limited to ReportBytes per second;
// what exceeds it is sent later.
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

// outgoing is what this host reports about a service now.
type outgoing struct {
	svc    *service
	m      Message
	digest uint64
}

func (s *State) newOutgoing(now time.Time, svc *service) *outgoing {
	rows, digest := s.rows(now, svc)
	return &outgoing{svc: svc, digest: digest, m: Message{Service: svc.name, Epoch: svc.epoch, Rows: rows}}
}

// appendChanged appends the reports to the hosts that have not acknowledged
// what is reported now.
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

// send appends the report to one host, unless the byte limit is reached.
func (s *State) send(now time.Time, o *outgoing, id string, out *[]Message) bool {
	m, p := o.m, s.peers[id]
	s.seq = max(s.seq+1, uint64(now.UnixMilli()))
	large := len(m.AppendContent(nil)) > maxContent
	next := p.sent[m.Service].next(now, s.seq, o.digest, large)
	m.To, m.Seq, m.Call, m.Answer = id, s.seq, next.call, !next.delivered
	cost := float64(m.cost())
	if s.bytes < cost {
		return false
	}
	s.bytes -= cost
	p.sent[m.Service] = next
	*out = append(*out, m)
	return true
}

// next returns the state after the report is sent. A refresh of what was
// delivered needs no acknowledgement: the next refresh covers its loss.
func (r *sentReport) next(now time.Time, seq, digest uint64, large bool) *sentReport {
	n := &sentReport{seq: seq, at: now, digest: digest, tries: 1}
	if r != nil && r.digest == digest {
		n.tries, n.delivered = r.tries+1, r.delivered
	}
	n.call = large || !n.delivered && n.tries > maxDatagrams
	return n
}

// due reports whether a report that changed or was not acknowledged is due.
func (r *sentReport) due(now time.Time, digest uint64, interval time.Duration) bool {
	return r.digest != digest || !r.delivered && now.Sub(r.at) >= r.repeatAfter(interval)
}

// repeatAfter returns the time until an unacknowledged report is repeated. A
// call has a deadline of its own and is repeated after the longest interval.
func (r *sentReport) repeatAfter(longest time.Duration) time.Duration {
	if r.call {
		return longest
	}
	return min(firstRepeat<<(r.tries-1), longest)
}

// AppendContent appends the message in the form of a datagram's content: the
// service, then epoch, sequence number, 1 if an answer is wanted, and rows.
func (m *Message) AppendContent(dst []byte) []byte {
	answer := uint64(0)
	if m.Answer {
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
	m.Epoch, m.Answer = uint32(epoch), answer == 1
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

// Delivered records that the peer acknowledged m, by the answer of a call or
// by a datagram. Only To, Service and Seq are used.
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
	if s.refill.IsZero() {
		s.bytes = burst
	}
	if d := now.Sub(s.refill); !s.refill.IsZero() && d > 0 {
		s.bytes = min(s.bytes+d.Seconds()*float64(s.cfg.ReportBytes), burst)
	}
	s.refill = now
}

// Receive records another host's report. Result says why it was not used.
func (s *State) Receive(now time.Time, from string, m Message) Result {
	svc, p := s.services[m.Service], s.peers[from]
	switch {
	case svc == nil:
		return dropped(dropUnknownService)
	case !s.reporter(from):
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
	s.useRows(now, from, svc, &m)
	return Result{Accepted: true}
}

func (s *State) useRows(now time.Time, from string, svc *service, m *Message) {
	seen := make(map[netip.AddrPort]bool, len(svc.order))
	_ = m.eachRow(func(index uint64, r row) {
		if index >= uint64(len(svc.order)) {
			countDropped(dropUnknownBackend)
			return
		}
		b := svc.order[index]
		seen[b.addr] = true
		r.at = now
		b.useRow(now, from, r)
	})
	for _, b := range svc.order {
		if !seen[b.addr] {
			delete(b.remote, from)
		}
	}
}

// useRow records one row. The start of a cold ramp is the latest one heard:
// delays of messages then only make the ramp start later.
func (b *backend) useRow(now time.Time, from string, r row) {
	old, known := b.remote[from]
	if r.flags&flagCold != 0 {
		b.heardCold = later(b.heardCold, now.Add(-r.cold))
	}
	if r.flags&flagKnown != 0 && (!known || old.instance != r.instance) && b.instance != r.instance {
		b.instance, b.begun = r.instance, time.Time{}
	}
	if r.flags&flagStarted != 0 && b.instance == r.instance && b.begun.IsZero() {
		b.begun = now.Add(-r.started)
	}
	if b.remote == nil {
		b.remote = make(map[string]row)
	}
	b.remote[from] = r
}

// rows returns what this host knows first hand about the backend servers of a
// service, and a digest of it that does not depend on now.
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
			age := max(now.Sub(b.load.cold), 0)
			rows = append(rows, uint64(age.Milliseconds()))
			fmt.Fprint(&d, " c", b.load.cold.UnixNano())
		}
		if flags&flagStarted != 0 {
			age := max(now.Sub(b.load.begun), 0)
			rows = append(rows, uint64(age.Milliseconds()))
			fmt.Fprint(&d, " s", b.load.begun.UnixNano())
		}
	}
	if len(rows) == 0 {
		return nil, 0
	}
	return rows, d.Sum64()
}

// flags returns the flags of the row that reports b, 0 for no row.
func (b *backend) flags(now time.Time, stale time.Duration) uint64 {
	l := &b.load
	var f uint64
	set := func(on bool, flag uint64) {
		if on {
			f |= flag
		}
	}
	set(!l.cold.IsZero() && now.Sub(l.cold) < b.ramp, flagCold)
	if !b.observed || l.at.IsZero() {
		return f
	}
	set(l.report.Draining, flagDraining)
	set(l.report.Shedding && now.Sub(l.at) <= stale, flagShedding)
	set(l.foreign, flagForeign)
	set(l.known && !l.foreign, flagKnown)
	// A new instance is cold. After the ramp, its report has arrived.
	set(f&flagKnown != 0 && f&flagCold != 0 && !l.begun.IsZero(), flagStarted)
	return f
}

// reporter reports whether reports of the host are accepted: it must be on
// the list of live hosts, so that a host that left cannot speak any more.
func (s *State) reporter(id string) bool {
	return id != s.self && s.hosts[id]
}

// Result says what became of a report.
type Result struct {
	Accepted bool
	Refusal  string // reason of a report that was not used
}

func dropped(r dropReason) Result {
	countDropped(r)
	return Result{Refusal: dropNames[r]}
}
