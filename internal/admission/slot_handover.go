package admission

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// MethodSlots is the JSON-RPC method by which the admitting host of backend
// servers asks the previous one which of their slots are in use.
const MethodSlots = "admission.slots"

const (
	// handoverInterval is the interval of queries. The previous host may not
	// have learned yet that it does not admit any more.
	handoverInterval = 100 * time.Millisecond
	// handoverFor is how long a host remembers what it gave up: its commands
	// have ended by then.
	handoverFor = 20 * time.Second
	// maxHandover bounds the backend servers of one query.
	maxHandover = 1000
)

// SlotQuery is the body of admission.slots.
type SlotQuery struct {
	To       string           `json:"-"`
	Backends []netip.AddrPort `json:"backends"`
	sent     time.Time
}

// SlotReply answers a SlotQuery. Backend servers that the host still admits
// commands to, or never did, are left out.
type SlotReply struct {
	Rows []SlotRow `json:"rows,omitempty"`
}

// SlotRow says how many slots of a backend server may be in use by commands
// that this host or earlier ones admitted, and for how long.
type SlotRow struct {
	Backend netip.AddrPort `json:"backend"`
	Busy    int            `json:"busy"`
	LeftMS  int64          `json:"left_ms,omitempty"`
}

// inUse returns how many slots may be in use, and until when.
func (b *slots) inUse(now time.Time) (n int, until time.Time) {
	if n = b.inheritedNow(now); n > 0 {
		until = b.until
	}
	for _, deadline := range b.held {
		if deadline.After(until) {
			until = deadline
		}
	}
	return n + len(b.held), until
}

// forget removes what nobody needs any more of the backend servers that this
// host gave up.
func (s *Slots) forget(now time.Time) {
	for addr, b := range s.backends {
		if !b.owned && len(b.held) == 0 && now.Sub(b.gaveUp) > handoverFor {
			delete(s.backends, addr)
		}
	}
}

// Queries returns the queries that are due to the previous admitting hosts.
func (s *Slots) Queries(now time.Time) []SlotQuery {
	s.forget(now)
	var queries []SlotQuery
	for addr, b := range s.backends {
		if !b.owned || b.previous == "" || b.inheritedNow(now) == 0 || now.Sub(b.asked) < handoverInterval {
			continue
		}
		b.asked = now
		i := slices.IndexFunc(queries, func(q SlotQuery) bool { return q.To == b.previous })
		if i < 0 {
			i = len(queries)
			queries = append(queries, SlotQuery{To: b.previous, sent: now})
		}
		queries[i].Backends = append(queries[i].Backends, addr)
	}
	for i := range queries {
		slices.SortFunc(queries[i].Backends, netip.AddrPort.Compare)
		queries[i].Backends = queries[i].Backends[:min(maxHandover, len(queries[i].Backends))]
	}
	slices.SortFunc(queries, func(a, b SlotQuery) int { return cmp.Compare(a.To, b.To) })
	return queries
}

// Answer answers a query of another host. Only the first host that asks for a
// backend server learns what is in use, since it may then grant the rest.
func (s *Slots) Answer(now time.Time, from string, q SlotQuery) SlotReply {
	var reply SlotReply
	for _, addr := range q.Backends[:min(maxHandover, len(q.Backends))] {
		b := s.backends[addr]
		if b == nil || b.owned || b.next != "" && b.next != from {
			continue
		}
		b.next = from
		busy, until := b.inUse(now)
		row := SlotRow{Backend: addr, Busy: busy}
		if busy > 0 {
			row.LeftMS = max(0, until.Sub(now).Milliseconds()+1)
		}
		reply.Rows = append(reply.Rows, row)
	}
	return reply
}

// HandleReply handles the answer to a query. It is used only when the backend
// server was taken over from the host that answers and before the query was
// sent, since no other host can have granted slots then.
func (s *Slots) HandleReply(now time.Time, q SlotQuery, reply SlotReply) {
	for _, row := range reply.Rows {
		b := s.backends[row.Backend]
		if b == nil || !b.owned || b.previous != q.To || q.sent.Before(b.takenOver) {
			continue
		}
		if row.Busy < 0 || row.LeftMS < 0 {
			countDropped(dropMalformed)
			continue
		}
		b.inherited = min(b.inherited, row.Busy)
		if until := now.Add(time.Duration(row.LeftMS) * time.Millisecond); until.Before(b.until) && row.LeftMS < handoverFor.Milliseconds() {
			b.until = until
		}
	}
}

// PreviousHost returns the host that admitted the commands of a backend server
// before this one, while commands that it has started may still run.
func (s *Slots) PreviousHost(now time.Time, addr netip.AddrPort) string {
	b := s.backends[addr]
	if b == nil || !b.owned || !now.Before(b.until) {
		return ""
	}
	return b.previous
}
