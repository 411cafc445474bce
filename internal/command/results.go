package command

import "time"

// Bounds of the answers in a Results.
const (
	maxResults     = 4096
	maxResultBytes = 1 << 20
)

// Results keeps the answers that this host has received as an admitting host for
// half the retention period. If the owner that requested a run dies, the other
// owner has only the pending claim of the command; its callers then get these
// answers. A Results does no I/O and is not safe for concurrent use.
type Results struct {
	retention time.Duration
	results   []result // in order of arrival
	bytes     int
}

type result struct {
	addedAt time.Time
	process uint64 // id of the origin's process
	record  ClaimRecord
}

// NewResults returns a Results that keeps answers for as long as callers may
// wait for them.
func NewResults(cfg Config) *Results {
	cfg.setDefaults()
	return &Results{retention: cfg.Retention / 2}
}

// Add keeps the answer of a non-idempotent command. process identifies the
// origin's process that requested the run; a restart of the origin gives it
// another value. Answers longer than maxTransferAnswer are not kept.
func (r *Results) Add(now time.Time, process uint64, m RunRequest, reply RunReply) {
	r.expire(now)
	if m.Idempotent || reply.Outcome != RunAnswered || len(reply.Answer) > maxTransferAnswer {
		return
	}
	r.bytes += len(reply.Answer)
	r.results = append(r.results, result{addedAt: now, process: process, record: ClaimRecord{
		ClaimKey: m.ClaimKey, ClaimOwner: m.ClaimOwner, Bucket: uint8(m.flow().Hash() % buckets),
		Digest: m.Digest, State: Answered, Answer: reply.Answer,
	}})
}

func (r *Results) expire(now time.Time) {
	n := 0
	for n < len(r.results) &&
		(now.Sub(r.results[n].addedAt) >= r.retention || len(r.results)-n >= maxResults || r.bytes > maxResultBytes) {
		r.bytes -= len(r.results[n].record.Answer)
		n++
	}
	clear(r.results[:n])
	r.results = r.results[n:]
}

// TakeOrphaned removes and returns the results of origins that have died or
// restarted. process returns the id of the process that runs on a host, 0 for
// none.
func (r *Results) TakeOrphaned(now time.Time, process func(host string) uint64) []ClaimRecord {
	r.expire(now)
	var orphaned []ClaimRecord
	results := r.results[:0]
	for _, k := range r.results {
		if process(k.record.Origin) == k.process {
			results = append(results, k)
			continue
		}
		r.bytes -= len(k.record.Answer)
		orphaned = append(orphaned, k.record)
	}
	clear(r.results[len(results):])
	r.results = results
	return orphaned
}

// ForwardResults sends the results of dead origins to the owners of their
// buckets.
func (s *State) ForwardResults(now time.Time, records []ClaimRecord) []Outcome {
	s.advance(now)
	for i := range records {
		r := &records[i]
		owners := s.owners(r.Service, r.Bucket)
		if owners.has(s.cfg.Self) {
			s.merge(now, r.Origin, r)
		}
		for _, to := range []string{owners.Primary, owners.Secondary} {
			if to != "" && to != r.Origin && to != s.cfg.Self {
				s.emit(Complete{To: to, Message: CompleteRequest{*r}})
			}
		}
	}
	return s.take()
}
