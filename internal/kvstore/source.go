// Package kvstore reads the values that the platform publishes, from a
// configuration service that speaks the Consul KV HTTP API or from a local
// directory. It never writes.
package kvstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Source reads values and reports changes.
type Source interface {
	// Watch sends the values below prefix, and then those that change, until
	// ctx ends; it returns the error of ctx. A failed read is sent as an
	// Update with an error and repeated after a delay.
	Watch(ctx context.Context, prefix string, out chan<- Update) error
}

// KeyValue is a value of the platform. The key is relative to the prefix. A
// value that exceeds the platform's limit is truncated to one byte above it, so
// that its receiver rejects it.
type KeyValue struct {
	Key   string
	Value []byte
}

// Update holds the values that changed since the previous update of the same
// source, and the error of a read that failed or returned only some values. An
// update without values and error reports that the first read succeeded, or that
// reads succeed again. Values that were removed from the platform are not
// reported: they stay in effect.
type Update struct {
	Values []KeyValue
	Index  uint64
	Err    error
}

// Reason classifies failed reads.
type Reason string

// Reasons of failed reads.
const (
	ReasonConnect   Reason = "connect"
	ReasonTimeout   Reason = "timeout"
	ReasonStatus    Reason = "status"
	ReasonIndex     Reason = "index"
	ReasonMalformed Reason = "malformed"
	ReasonTooLarge  Reason = "too_large"
	ReasonFile      Reason = "file"
)

// ReadError is the error of a failed read.
type ReadError struct {
	Reason Reason
	Err    error
}

// Error states the reason and the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("read platform: %s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

func readError(reason Reason, format string, args ...any) error {
	return &ReadError{reason, errors.Newf(format, args...)}
}

func wrapRead(reason Reason, err error) error { return &ReadError{reason, err} }

// counters of a source. The kinds of reads are watch, poll, name (a single key
// found in a list of names) and directory.
type counters struct{ set *metrics.Set }

func newCounters(set *metrics.Set) counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return counters{set}
}

func (c counters) read(kind string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("nutmeglatch_platform_reads_total{kind=%q}", kind)).Inc()
}

// watches sets the number of open blocking reads of shards.
func (c counters) watches(n int) {
	c.set.GetOrCreateGauge("nutmeglatch_platform_shard_watches", nil).Set(float64(n))
}

func (c counters) unchanged() {
	c.set.GetOrCreateCounter("nutmeglatch_platform_reads_unchanged_total").Inc()
}

func (c counters) failed(err error) {
	reason := ReasonConnect
	var re *ReadError
	if errors.As(err, &re) {
		reason = re.Reason
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("nutmeglatch_platform_read_failures_total{reason=%q}", reason)).Inc()
}

func (c counters) indexReset() {
	c.set.GetOrCreateCounter("nutmeglatch_platform_index_resets_total").Inc()
}

func (c counters) entrySkipped(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("nutmeglatch_platform_entries_skipped_total{reason=%q}", reason)).Inc()
}

// truncateValue limits a value to one byte above the platform's limit.
func truncateValue(v []byte) []byte {
	return v[:min(len(v), document.MaxValueBytes+1)]
}

// backoff computes the delays between failed reads.
type backoff struct {
	min, max time.Duration
	failures int
}

// maxDoublings bounds the exponent of the delay.
const maxDoublings = 16

// next returns a random delay whose bound doubles with each failure. The jitter
// keeps hosts from reading at the same time after an outage.
func (b *backoff) next() time.Duration {
	limit := min(b.max, b.min<<min(b.failures, maxDoublings))
	b.failures++
	return jitter(limit)
}

func (b *backoff) reset() { b.failures = 0 }

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// send sends u unless ctx ends first.
func send(ctx context.Context, out chan<- Update, u Update) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case out <- u:
		return nil
	}
}
