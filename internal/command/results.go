package command

import "time"

// Bounds of Results.
const (
	maxResults     = 4096
	maxResultBytes = 1 << 20
)

// Results keeps the answers that this host has got as an admitting host for a
// while. When the owner that asked for a run dies, the other owner only knows
// that the command was claimed; its callers then get these answers. A Results
// is pure and not safe for concurrent use.
type Results struct {
	keep  time.Duration
	kept  []result // in order of arrival
	bytes int
}

type result struct {
	at      time.Time
	process uint64 // of the origin
	record  ClaimRecord
}

// NewResults returns a Results that keeps answers as long as callers may wait
// for them.
func NewResults(cfg Config) *Results {
	cfg.setDefaults()
	return &Results{keep: cfg.Retention / 2}
}

// Add keeps the answer of a non-idempotent command. Process is what the origin
// was when it asked for the run: it tells apart the processes that run at a
// host one after the other.
func (r *Results) Add(now time.Time, process uint64, m RunRequest, reply RunReply) {
	r.expire(now)
	if m.Idempotent || reply.Outcome != RunAnswered || len(reply.Answer) > maxTransferAnswer {
		return
	}
	r.bytes += len(reply.Answer)
	r.kept = append(r.kept, result{at: now, process: process, record: ClaimRecord{
		ClaimKey: m.ClaimKey, ClaimOwner: m.ClaimOwner, Bucket: uint8(m.flow().Hash() % buckets),
		Digest: m.Digest, State: Answered, Answer: reply.Answer,
	}})
}

func (r *Results) expire(now time.Time) {
	n := 0
	for n < len(r.kept) && (now.Sub(r.kept[n].at) >= r.keep || len(r.kept)-n >= maxResults || r.bytes > maxResultBytes) {
		r.bytes -= len(r.kept[n].record.Answer)
		n++
	}
	clear(r.kept[:n])
	r.kept = r.kept[n:]
}

// Take removes and returns the results of the origins that have died. Process
// returns the process that runs at a host, 0 for none.
func (r *Results) TakeOrphaned(now time.Time, process func(host string) uint64) []ClaimRecord {
	r.expire(now)
	var dead []ClaimRecord
	kept := r.kept[:0]
	for _, k := range r.kept {
		if process(k.record.Origin) == k.process {
			kept = append(kept, k)
			continue
		}
		r.bytes -= len(k.record.Answer)
		dead = append(dead, k.record)
	}
	clear(r.kept[len(kept):])
	r.kept = kept
	return dead
}

// ForwardResults gives the results of dead origins to the owners of their buckets.
func (s *State) ForwardResults(now time.Time, records []ClaimRecord) []Outcome {
	s.begin(now)
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
