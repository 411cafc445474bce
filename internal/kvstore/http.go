package kvstore

import (
	"cmp"
	"context"
	"encoding/base64"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// HTTPConfig configures a source that speaks the Consul KV HTTP API. Zero
// fields have defaults, except URL.
type HTTPConfig struct {
	// URL is the base URL of the service, such as http://192.0.2.1:8500.
	URL string
	// Wait is the longest time that the service holds a blocking read.
	// Default 55 s.
	Wait time.Duration
	// Poll is the mean interval of the slow poll. Default 60 s.
	Poll time.Duration
	// ReadTimeout bounds a read that does not block, and the time that a
	// blocking read takes beyond its wait. Default 10 s.
	ReadTimeout time.Duration
	// MinInterval is the shortest interval between the starts of blocking
	// reads. It bounds the load when values change continuously.
	// Default 250 ms.
	MinInterval time.Duration
	// BackoffMin and BackoffMax bound the delay after a failed read.
	// Defaults 500 ms and 30 s.
	BackoffMin, BackoffMax time.Duration
	// MaxBody bounds the body of a response. Default 64 MiB.
	MaxBody int64
	// Reader reports whether this host keeps a blocking read open. When it
	// returns false, the host reads once and then only polls. Default true.
	Reader func() bool
	// Plan divides the keys into shards that are watched and polled one by
	// one. When it returns nil, the keys are read as a whole. Default nil.
	Plan func() *Plan
	// Dial opens connections. Default net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Metrics receives the counters. Default none.
	Metrics *metrics.Set
}

// Defaults of HTTPConfig.
const (
	DefaultWait        = 55 * time.Second
	DefaultPoll        = 60 * time.Second
	DefaultReadTimeout = 10 * time.Second
	DefaultMinInterval = 250 * time.Millisecond
	DefaultBackoffMin  = 500 * time.Millisecond
	DefaultBackoffMax  = 30 * time.Second
	DefaultMaxBody     = 64 << 20
)

const (
	dialTimeout    = 3 * time.Second
	maxHeaderBytes = 64 << 10
	// assignmentInterval is the time between two checks of which blocking
	// reads this host is assigned.
	assignmentInterval = time.Second
	// waitSlackDivisor: the service may extend a wait by wait/waitSlackDivisor.
	waitSlackDivisor = 16
)

type httpSource struct {
	cfg      HTTPConfig
	counters counters
	failing  atomic.Bool // whether the last read of any loop failed
}

// NewHTTP returns a source that speaks the Consul KV HTTP API.
func NewHTTP(cfg HTTPConfig) Source {
	cfg.URL = strings.TrimSuffix(cfg.URL, "/")
	cfg.Wait = cmp.Or(cfg.Wait, DefaultWait)
	cfg.Poll = cmp.Or(cfg.Poll, DefaultPoll)
	cfg.ReadTimeout = cmp.Or(cfg.ReadTimeout, DefaultReadTimeout)
	cfg.MinInterval = cmp.Or(cfg.MinInterval, DefaultMinInterval)
	cfg.BackoffMin = cmp.Or(cfg.BackoffMin, DefaultBackoffMin)
	cfg.BackoffMax = cmp.Or(cfg.BackoffMax, DefaultBackoffMax)
	cfg.MaxBody = cmp.Or(cfg.MaxBody, DefaultMaxBody)
	if cfg.Reader == nil {
		cfg.Reader = func() bool { return true }
	}
	if cfg.Plan == nil {
		cfg.Plan = func() *Plan { return nil }
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &httpSource{cfg: cfg, counters: newCounters(cfg.Metrics)}
}

// Watch keeps a blocking read open, or one for each shard of the plan that is
// assigned to this host, and polls at long intervals in parallel. Each loop uses
// its own connection, so that the others keep working when one connection stops
// delivering data.
func (h *httpSource) Watch(ctx context.Context, prefix string, out chan<- Update) error {
	g, ctx := errgroup.WithContext(ctx)
	seen := &digests{byKey: map[string]uint64{}}
	all := h.newReader("watch", prefix, seen, out)
	g.Go(func() error { return all.watch(ctx, h.watchesAll) })
	shards := &shardWatches{httpSource: h, prefix: prefix, seen: seen, out: out, running: map[Shard]*shardWatch{}}
	g.Go(func() error { return shards.run(ctx) })
	g.Go(func() error { return h.newReader("poll", prefix, seen, out).poll(ctx) })
	return g.Wait()
}

// watchesAll reports whether this host keeps a blocking read open on all keys.
func (h *httpSource) watchesAll() bool { return h.cfg.Plan() == nil && h.cfg.Reader() }

// reader is the state of one watch or poll loop of a source.
type reader struct {
	*httpSource
	kind    string
	prefix  string // prefix of the source
	shard   Shard
	out     chan<- Update
	client  *http.Client
	backoff backoff
	index   uint64  // index of the last read; 0: the next read does not block
	missing []Shard // keys that the last list of names contained and no shard holds
	seen    *digests
	healthy bool // whether the last read succeeded
}

// digests holds, by key, the digest of the last value that was read. It is shared
// by the loops of a source.
type digests struct {
	mu    sync.Mutex
	byKey map[string]uint64
}

func (d *digests) has(key string, digest uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, known := d.byKey[key]
	return known && last == digest
}

func (d *digests) add(changed map[string]uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.Copy(d.byKey, changed)
}

func (h *httpSource) newReader(kind, prefix string, seen *digests, out chan<- Update) *reader {
	transport := &http.Transport{
		DialContext:            h.cfg.Dial,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	refuseRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &reader{
		httpSource: h,
		kind:       kind,
		prefix:     prefix,
		out:        out,
		client:     &http.Client{Transport: transport, CheckRedirect: refuseRedirects},
		backoff:    backoff{min: h.cfg.BackoffMin, max: h.cfg.BackoffMax},
		seen:       seen,
	}
}

// watch reads the values once and then keeps a blocking read open as long as
// this host is assigned to do so.
func (r *reader) watch(ctx context.Context, assigned func() bool) error {
	defer r.client.CloseIdleConnections()
	for {
		if err := r.watchOnce(ctx); err != nil {
			return err
		}
		for r.index > 0 && !assigned() {
			if err := sleep(ctx, assignmentInterval); err != nil {
				return err
			}
		}
	}
}

// watchOnce performs one read, which blocks if the index is known, and waits until
// the next may start.
func (r *reader) watchOnce(ctx context.Context) error {
	start := time.Now()
	if err := r.readAndSend(ctx, r.index > 0); err != nil {
		return err
	}
	return sleep(ctx, r.cfg.MinInterval-time.Since(start))
}

// readAndSend performs one read, sends the values that changed or the error, and
// backs off after a failure. It returns only the error of ctx.
func (r *reader) readAndSend(ctx context.Context, blocking bool) error {
	r.counters.read(r.kind)
	values, err := r.read(ctx, blocking)
	if err == nil && len(r.missing) > 0 {
		values, err = r.readMissing(ctx)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		r.counters.failed(err)
		r.healthy = false
		r.failing.Store(true)
		r.client.CloseIdleConnections()
		if err := send(ctx, r.out, Update{Values: values, Index: r.index, Err: err}); err != nil {
			return err
		}
		return sleep(ctx, r.backoff.next())
	}
	r.backoff.reset()
	recovered := r.failing.Swap(false) || !r.healthy
	r.healthy = true
	if len(values) == 0 && !recovered {
		return nil
	}
	return send(ctx, r.out, Update{Values: values, Index: r.index})
}

// errDeadline is the cause of a read that was cancelled at its deadline.
var errDeadline = errors.New("deadline exceeded")

// read performs one read and returns the values that changed. The headers of
// the response must arrive within the read timeout, plus the wait of a blocking
// read, and the body must end within another read timeout.
func (r *reader) read(ctx context.Context, blocking bool) ([]KeyValue, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := r.cfg.ReadTimeout
	if blocking {
		limit += r.cfg.Wait + r.cfg.Wait/waitSlackDivisor
	}
	timer := time.AfterFunc(limit, func() { cancel(errDeadline) })
	defer timer.Stop()
	values, err := r.fetch(ctx, blocking, func() { timer.Reset(r.cfg.ReadTimeout) })
	if err != nil && errors.Is(context.Cause(ctx), errDeadline) {
		return nil, wrapRead(ReasonTimeout, errDeadline)
	}
	return values, err
}

// fetch sends the request and reads the response. It calls started when the
// headers of the response have arrived.
func (r *reader) fetch(ctx context.Context, blocking bool, started func()) ([]KeyValue, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url(blocking), nil)
	if err != nil {
		return nil, wrapRead(ReasonConnect, err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, wrapRead(ReasonConnect, err)
	}
	defer resp.Body.Close()
	started()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return nil, readError(ReasonStatus, "status %d; allowed: 200, or 404 when there are no values", resp.StatusCode)
	}
	header := resp.Header.Get("X-Consul-Index")
	index, err := strconv.ParseUint(header, 10, 64)
	if err != nil || index == 0 {
		return nil, readError(ReasonIndex, "X-Consul-Index %q; allowed: an integer from 1", header)
	}
	if index == r.index {
		r.counters.unchanged()
		return nil, r.skipBody(resp)
	}
	if resp.StatusCode == http.StatusNotFound {
		r.advance(index)
		return nil, nil
	}
	return r.readBody(resp, index)
}

// maxDrain is the largest body, in bytes, that is read to its end only to reuse
// the connection. For a longer one, closing the connection is cheaper.
const maxDrain = 64 << 10

// skipBody discards the body of a response whose index is unchanged, as after a
// blocking read that timed out and in most polls.
func (r *reader) skipBody(resp *http.Response) error {
	if resp.ContentLength < 0 || resp.ContentLength > maxDrain {
		return nil
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return wrapRead(ReasonConnect, err)
	}
	return nil
}

// readBody decodes a body and records the index of the response when the body is
// complete.
func (r *reader) readBody(resp *http.Response, index uint64) ([]KeyValue, error) {
	d := newDecoder(resp.Body, r.cfg.MaxBody)
	var values []KeyValue
	var err error
	if r.shard.Scope == ScopeNames {
		err = r.decodeNames(d)
	} else {
		values, err = r.decodeValues(d)
	}
	if err != nil {
		return nil, err
	}
	r.advance(index)
	return values, nil
}

// decodeValues returns the values of a body that differ from those read before.
func (r *reader) decodeValues(d *decoder) ([]KeyValue, error) {
	var values []KeyValue
	changed := make(map[string]uint64)
	err := d.each(func(e kvEntry) {
		key, ok := strings.CutPrefix(e.Key, r.prefix)
		if !ok || key == "" || !r.shard.holds(key) {
			r.counters.entrySkipped("key")
			return
		}
		digest := xxhash.Sum64String(e.Value)
		if r.seen.has(key, digest) {
			return
		}
		value, err := base64.StdEncoding.DecodeString(e.Value)
		if err != nil {
			r.counters.entrySkipped("base64")
			return
		}
		values = append(values, KeyValue{key, truncateValue(value)})
		changed[key] = digest
	})
	if err != nil {
		return nil, err
	}
	r.seen.add(changed)
	return values, nil
}

// advance records the index of a read. A lower index than before means that the
// service was restored or restarted. The next read then does not block, because
// the service could hold it until the old index is reached.
func (r *reader) advance(index uint64) {
	if index < r.index {
		r.counters.indexReset()
		r.index = 0
		return
	}
	r.index = index
}

// url returns the request URL. A blocking read passes the last index and the
// longest wait: the service answers when a value changes or the wait is over.
func (r *reader) url(blocking bool) string {
	query := url.Values{}
	switch r.shard.Scope {
	case ScopePrefix:
		query.Set("recurse", "true")
	case ScopeNames:
		query.Set("keys", "true")
	case ScopeKey:
	}
	if blocking {
		query.Set("index", strconv.FormatUint(r.index, 10))
		query.Set("wait", strconv.FormatInt(r.cfg.Wait.Milliseconds(), 10)+"ms")
	}
	path := (&url.URL{Path: "/v1/kv/" + r.prefix + r.shard.Prefix}).EscapedPath()
	return r.cfg.URL + path + "?" + query.Encode()
}
