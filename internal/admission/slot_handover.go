package admission

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// MethodSlots is the JSON-RPC method by which the admitting host of backend
// servers queries the previous one for the slots that are in use.
const MethodSlots = "admission.slots"

const (
	// queryInterval is the interval between queries about one backend server.
	// They are repeated because the previous host may not have learned yet that
	// it no longer admits.
	queryInterval = 100 * time.Millisecond
	// releasedRetention is how long a host keeps the slots of a backend server
	// that it no longer admits to. Its commands have ended by then.
	releasedRetention = 20 * time.Second
	// maxQueryBackends limits the number of backend servers in one query.
	maxQueryBackends = 1000
)

// SlotQuery is the body of admission.slots.
type SlotQuery struct {
	To       string           `json:"-"`
	Backends []netip.AddrPort `json:"backends"`
	sentAt   time.Time
}

// SlotReply is the reply to a SlotQuery. It omits backend servers that the host
// still admits commands to or never did.
type SlotReply struct {
	Rows []SlotRow `json:"rows,omitempty"`
}

// SlotRow holds the number of slots of a backend server that may be in use by
// commands admitted by the replying host or earlier ones, and the time in
// milliseconds until the last of these commands ends.
type SlotRow struct {
	Backend netip.AddrPort `json:"backend"`
	Busy    int            `json:"busy"`
	LeftMS  int64          `json:"left_ms,omitempty"`
}

// inUse returns the number of slots that may be in use, and the time by which the
// last of their commands is due to end.
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

// removeReleased removes the backend servers that this host stopped admitting to
// longer than releasedRetention ago and that have no slot in use.
func (s *Slots) removeReleased(now time.Time) {
	for addr, b := range s.backends {
		if !b.owned && len(b.held) == 0 && now.Sub(b.releasedAt) > releasedRetention {
			delete(s.backends, addr)
		}
	}
}

// Queries returns the queries to send now to the previous admitting hosts.
func (s *Slots) Queries(now time.Time) []SlotQuery {
	s.removeReleased(now)
	var queries []SlotQuery
	for addr, b := range s.backends {
		if !b.owned || b.previous == "" || b.inheritedNow(now) == 0 || now.Sub(b.lastQuery) < queryInterval {
			continue
		}
		b.lastQuery = now
		i := slices.IndexFunc(queries, func(q SlotQuery) bool { return q.To == b.previous })
		if i < 0 {
			i = len(queries)
			queries = append(queries, SlotQuery{To: b.previous, sentAt: now})
		}
		queries[i].Backends = append(queries[i].Backends, addr)
	}
	for i := range queries {
		slices.SortFunc(queries[i].Backends, netip.AddrPort.Compare)
		queries[i].Backends = queries[i].Backends[:min(maxQueryBackends, len(queries[i].Backends))]
	}
	slices.SortFunc(queries, func(a, b SlotQuery) int { return cmp.Compare(a.To, b.To) })
	return queries
}

// Answer returns the reply to a query of another host. Only the first host that
// queries a backend server receives its slots in use, because that host may then
// grant the others.
func (s *Slots) Answer(now time.Time, from string, q SlotQuery) SlotReply {
	var reply SlotReply
	for _, addr := range q.Backends[:min(maxQueryBackends, len(q.Backends))] {
		b := s.backends[addr]
		if b == nil || b.owned || b.successor != "" && b.successor != from {
			continue
		}
		b.successor = from
		busy, until := b.inUse(now)
		row := SlotRow{Backend: addr, Busy: busy}
		if busy > 0 {
			row.LeftMS = max(0, until.Sub(now).Milliseconds()+1)
		}
		reply.Rows = append(reply.Rows, row)
	}
	return reply
}

// HandleReply applies the reply to a query. A row is used only if this host took
// the backend server over from the replying host, and did so before it sent the
// query: only then can no other host have granted slots in between.
func (s *Slots) HandleReply(now time.Time, q SlotQuery, reply SlotReply) {
	for _, row := range reply.Rows {
		b := s.backends[row.Backend]
		if b == nil || !b.owned || b.previous != q.To || q.sentAt.Before(b.takenOverAt) {
			continue
		}
		if row.Busy < 0 || row.LeftMS < 0 {
			countDropped(dropMalformed)
			continue
		}
		b.inherited = min(b.inherited, row.Busy)
		if until := now.Add(time.Duration(row.LeftMS) * time.Millisecond); until.Before(b.until) && row.LeftMS < releasedRetention.Milliseconds() {
			b.until = until
		}
	}
}

// PreviousHost returns the host that admitted commands to a backend server before
// this one, as long as commands that it admitted may still run. After that it
// returns an empty string.
func (s *Slots) PreviousHost(now time.Time, addr netip.AddrPort) string {
	b := s.backends[addr]
	if b == nil || !b.owned || !now.Before(b.until) {
		return ""
	}
	return b.previous
}
