package configsync

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// maxRefusalText bounds the error text in a record, in bytes.
const maxRefusalText = 2048

// RefusalRecord describes a rejected value for status output.
type RefusalRecord struct {
	Key     string    `json:"key"`
	Source  string    `json:"source"`
	Reason  Refusal   `json:"reason"`
	Version uint64    `json:"version"` // 0 when the value could not be parsed
	Digest  uint64    `json:"digest"`
	Error   string    `json:"error"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	Count   uint64    `json:"count"`
}

// refusalID identifies a record. Repeated rejections of the same value for the
// same reason share one.
type refusalID struct {
	key    string
	reason Refusal
	digest uint64
}

// refusals holds records of the most recent rejections, at most max.
type refusals struct {
	max     int
	records map[refusalID]*RefusalRecord
}

func newRefusals(max int) refusals {
	return refusals{max: max, records: map[refusalID]*RefusalRecord{}}
}

// refuse records the rejection of a value and returns the result for it.
func (s *State) refuse(now time.Time, src Source, key string, reason Refusal, raw []byte, version uint64, err error) Result {
	s.countRefusal(reason)
	s.refusals.add(now, src, truncate(key, maxKeyBytes), reason, document.Digest(raw), version, err)
	return Result{Refusal: reason, Err: err}
}

func (s *State) countRefusal(reason Refusal) {
	s.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("nutmeglatch_configsync_rejected_total{reason=%q}", reason)).Inc()
}

func (r *refusals) add(now time.Time, src Source, key string, reason Refusal, digest, version uint64, err error) {
	id := refusalID{key, reason, digest}
	if rec := r.records[id]; rec != nil {
		rec.Last, rec.Source = now, src.String()
		rec.Count++
		return
	}
	if len(r.records) >= r.max {
		r.evict()
	}
	r.records[id] = &RefusalRecord{
		Key: key, Source: src.String(), Reason: reason, Version: version, Digest: digest,
		Error: truncate(err.Error(), maxRefusalText), First: now, Last: now, Count: 1,
	}
}

// evict removes the record whose last rejection is the oldest.
func (r *refusals) evict() {
	if sorted := r.sorted(); len(sorted) > 0 {
		last := sorted[len(sorted)-1]
		delete(r.records, refusalID{last.Key, last.Reason, last.Digest})
	}
}

// resolve removes the records of a key up to the accepted version.
func (r *refusals) resolve(key string, version uint64) {
	for id, rec := range r.records {
		if id.key == key && rec.Version <= version {
			delete(r.records, id)
		}
	}
}

// find returns the reason for which a value was rejected. It does not compare
// the version, because that of a value that could not be parsed is not recorded.
func (r *refusals) find(key string, digest uint64) (Refusal, bool) {
	for id := range r.records {
		if id.key == key && id.digest == digest {
			return id.reason, true
		}
	}
	return RefusalNone, false
}

func (r *refusals) sorted() []RefusalRecord {
	list := make([]RefusalRecord, 0, len(r.records))
	for _, rec := range r.records {
		list = append(list, *rec)
	}
	slices.SortFunc(list, func(a, b RefusalRecord) int {
		return cmp.Or(b.Last.Compare(a.Last), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Digest, b.Digest))
	})
	return list
}

// Refusals returns the recorded rejections, the most recent first. A record is
// removed when a version of its key that is at least as high is accepted.
func (s *State) Refusals() []RefusalRecord { return s.refusals.sorted() }

func truncate(text string, max int) string {
	if len(text) <= max {
		return text
	}
	return text[:max]
}
