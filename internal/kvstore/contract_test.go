package kvstore

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// fault is a failure mode of a platform.
type fault string

const (
	none      fault = "none"
	down      fault = "down"
	slow      fault = "slow"
	silent    fault = "silent"
	stalled   fault = "stalled"
	malformed fault = "malformed"
	endless   fault = "endless"
	redirect  fault = "redirect"
	noIndex   fault = "no index"
)

// fakePlatform is a platform whose values and faults a test sets.
type fakePlatform interface {
	set(key, value string)
	setFault(f fault)
	source(m *metrics.Set) Source
}

// pipeListener connects clients and a server through in-memory pipes, so that
// the connections work under the fake clock of synctest.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 8500} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fakeConsul is a fake of the Consul KV HTTP API.
type fakeConsul struct {
	listener *pipeListener
	reader   func() bool
	maxBody  int64

	mu      sync.Mutex
	index   uint64
	values  map[string]string
	fault   fault
	changed chan struct{}
}

func newFakeConsul(t *testing.T) *fakeConsul {
	b := &fakeConsul{
		listener: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})},
		maxBody:  256 << 10,
		index:    10, values: map[string]string{}, fault: none, changed: make(chan struct{}),
	}
	server := httptest.NewUnstartedServer(b)
	server.Listener = b.listener
	server.Start()
	t.Cleanup(server.Close)
	return b
}

func (b *fakeConsul) set(key, value string) {
	b.change(func() { b.values[key] = value; b.index++ })
}

func (b *fakeConsul) setFault(f fault) { b.change(func() { b.fault = f }) }

// change applies f and wakes all blocking reads.
func (b *fakeConsul) change(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *fakeConsul) state() (fault, uint64, chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fault, b.index, b.changed
}

func (b *fakeConsul) source(m *metrics.Set) Source {
	return NewHTTP(HTTPConfig{URL: "http://platform.test/", Dial: b.listener.dial, Metrics: m, MaxBody: b.maxBody, Reader: b.reader})
}

func (b *fakeConsul) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	current, index, changed := b.state()
	if query.Get("index") == fmt.Sprint(index) && current == none {
		wait, _ := time.ParseDuration(query.Get("wait"))
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	current, index, _ = b.state()
	w.Header().Set("X-Consul-Index", fmt.Sprint(index+1))
	switch current {
	case down:
		http.Error(w, "no leader", http.StatusInternalServerError)
	case redirect:
		http.Redirect(w, r, "http://elsewhere.test/", http.StatusFound)
	case silent:
		<-r.Context().Done()
	case stalled:
		fmt.Fprint(w, `[{"Key":`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	case malformed:
		fmt.Fprint(w, `[{"Key": 7}]`)
	case endless:
		chunk := []byte(`{"Key":"n/services/x","Value":"` + strings.Repeat("x", 1<<14) + `"},`)
		for _, err := w.Write([]byte("[")); err == nil; {
			_, err = w.Write(chunk)
		}
	case noIndex:
		w.Header().Set("X-Consul-Index", "0")
		fmt.Fprint(w, `[]`)
	case slow:
		time.Sleep(5 * time.Second)
		b.respond(w)
	default:
		b.respond(w)
	}
}

func (b *fakeConsul) respond(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("X-Consul-Index", fmt.Sprint(b.index))
	if len(b.values) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	entries := []string{`{"Key":"n/","Value":null}`, `{"Key":"elsewhere","Value":"eA=="}`, `{"Key":"n/bad","Value":"?"}`}
	for key, value := range b.values {
		entries = append(entries, fmt.Sprintf(`{"Key":"n/%s","ModifyIndex":1,"Value":%q}`, key, base64.StdEncoding.EncodeToString([]byte(value))))
	}
	fmt.Fprintf(w, "[%s]", strings.Join(entries, ","))
}

// fakeDirectory is a platform of type directory.
type fakeDirectory struct {
	t    *testing.T
	root string
}

func newFakeDirectory(t *testing.T) *fakeDirectory {
	b := &fakeDirectory{t, filepath.Join(t.TempDir(), "values")}
	b.must(os.MkdirAll(filepath.Join(b.root, "n", "services"), 0o755))
	return b
}

func (b *fakeDirectory) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}

func (b *fakeDirectory) set(key, value string) {
	b.must(os.WriteFile(filepath.Join(b.root, "n", key+FileExtension), []byte(value), 0o644))
}

// setFault renames the directory, so that it cannot be read, for every fault
// except slow, which does not apply to a directory.
func (b *fakeDirectory) setFault(f fault) {
	moved := b.root + ".away"
	switch f {
	case none:
		if _, err := os.Stat(moved); err == nil {
			b.must(os.Rename(moved, b.root))
		}
	case slow:
	default:
		b.must(os.Rename(b.root, moved))
	}
}

func (b *fakeDirectory) source(m *metrics.Set) Source {
	return NewDirectory(DirectoryConfig{Path: b.root, Metrics: m})
}

// watchedSource is a source whose Watch is running.
type watchedSource struct {
	out  chan Update
	done chan error
	last error // of the newest update
}

func watch(t *testing.T, b fakePlatform, m *metrics.Set) *watchedSource {
	ctx, cancel := context.WithCancel(t.Context())
	w := &watchedSource{out: make(chan Update), done: make(chan error, 1)}
	go func() { w.done <- b.source(m).Watch(ctx, "n/", w.out) }()
	t.Cleanup(func() {
		cancel()
		if err := <-w.done; !errors.Is(err, context.Canceled) {
			t.Errorf("Watch returned %v, want the error of the context", err)
		}
	})
	return w
}

// collect waits for d and returns the values and the last error reported in that
// time.
func (w *watchedSource) collect(d time.Duration) (map[string]string, error) {
	values := map[string]string{}
	var failure error
	for end := time.After(d); ; {
		select {
		case u := <-w.out:
			w.last = u.Err
			for _, v := range u.Values {
				values[v.Key] = string(v.Value)
			}
			if u.Err != nil {
				failure = u.Err
			}
		case <-end:
			return values, failure
		}
	}
}

var fakePlatforms = map[string]func(*testing.T) fakePlatform{
	"http":      func(t *testing.T) fakePlatform { return newFakeConsul(t) },
	"directory": func(t *testing.T) fakePlatform { return newFakeDirectory(t) },
}

// recoveryTime exceeds the deadline of a blocking read plus the longest backoff.
const recoveryTime = 2 * time.Minute

// TestContract guards against sources that lose values or changes, do not report
// a fault, or do not recover from it. Both sources must meet the same contract.
func TestContract(t *testing.T) {
	faults := []fault{none, down, slow, silent, stalled, malformed, endless, redirect, noIndex}
	for name, start := range fakePlatforms {
		for _, f := range faults {
			t.Run(name+"/"+string(f), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := start(t)
					b.set("services/a", "one")
					b.set("datacentres", "two")
					w := watch(t, b, nil)
					values, err := w.collect(time.Second / 2)
					if err != nil || len(values) != 2 || values["services/a"] != "one" {
						t.Fatalf("first read: %v, %v", values, err)
					}
					b.setFault(f)
					values, err = w.collect(recoveryTime)
					if wantErr := f != none && f != slow; (err != nil) != wantErr || len(values) != 0 {
						t.Errorf("during the fault: values %v, error %v", values, err)
					}
					b.setFault(none)
					b.set("services/a", "three")
					values, _ = w.collect(recoveryTime)
					if len(values) != 1 || values["services/a"] != "three" {
						t.Errorf("after the fault: %v", values)
					}
					if values, err = w.collect(recoveryTime); err != nil || len(values) != 0 {
						t.Errorf("unchanged values were reported again: %v, %v", values, err)
					}
				})
			})
		}
	}
}

// TestRevertedValues guards against a source that drops an older value. Only the
// receiver may reject it, because the receiver reports the rejection.
func TestRevertedValues(t *testing.T) {
	for name, start := range fakePlatforms {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := start(t)
				b.set("services/a", "new")
				w := watch(t, b, nil)
				w.collect(recoveryTime)
				b.set("services/a", "old")
				if values, _ := w.collect(recoveryTime); values["services/a"] != "old" {
					t.Errorf("reverted value: %v", values)
				}
			})
		})
	}
}

// TestOversizedValue guards against values above the platform's size limit that
// are dropped without a report or held in memory in full.
func TestOversizedValue(t *testing.T) {
	for name, start := range fakePlatforms {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := start(t)
				if h, ok := b.(*fakeConsul); ok {
					h.maxBody = 4 << 20
				}
				b.set("services/a", strings.Repeat("x", document.MaxValueBytes+100))
				b.set("hosts", "small")
				values, err := watch(t, b, nil).collect(time.Second)
				if err != nil || len(values["services/a"]) != document.MaxValueBytes+1 || values["hosts"] != "small" {
					t.Errorf("lengths %d and %d, error %v", len(values["services/a"]), len(values["hosts"]), err)
				}
			})
		})
	}
}

// TestNoValues guards against an empty platform that is reported as a failure.
func TestNoValues(t *testing.T) {
	for name, start := range fakePlatforms {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := <-watch(t, start(t), nil).out
				if u.Err != nil || len(u.Values) != 0 {
					t.Errorf("update %+v, want an empty one", u)
				}
			})
		})
	}
}

// counter returns the value of a counter.
func counter(m *metrics.Set, name string) uint64 { return m.GetOrCreateCounter(name).Get() }

// TestReadLoad guards against reads that exceed the rate allowed by the platform:
// one blocking read per wait, a slow poll in parallel, and exponential backoff
// while the platform fails.
func TestReadLoad(t *testing.T) {
	rows := []struct {
		name        string
		fault       fault
		reader      bool
		watch, poll uint64 // at most, in 10 minutes
	}{
		{"reader", none, true, 13, 12},
		{"not a reader", none, false, 1, 12},
		{"down", down, true, 50, 13},
		{"silent", silent, true, 35, 13},
		{"no index", noIndex, true, 50, 13},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFakeConsul(t)
				b.reader = func() bool { return row.reader }
				b.set("hosts", "x")
				b.setFault(row.fault)
				m := metrics.NewSet()
				watch(t, b, m).collect(10 * time.Minute)
				watches := counter(m, `nutmeglatch_platform_reads_total{kind="watch"}`)
				polls := counter(m, `nutmeglatch_platform_reads_total{kind="poll"}`)
				if watches > row.watch || polls > row.poll || watches == 0 || polls < 7 {
					t.Errorf("%d watches and %d polls, want at most %d and %d", watches, polls, row.watch, row.poll)
				}
			})
		})
	}
}

// TestIndexGoesBackwards guards against a watch that keeps waiting for an old
// index after the service was restored from a backup with a lower one.
func TestIndexGoesBackwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFakeConsul(t)
		b.index = 100
		b.set("hosts", "old")
		m := metrics.NewSet()
		w := watch(t, b, m)
		w.collect(time.Second)
		b.change(func() { b.index, b.values["hosts"] = 3, "restored" })
		if values, _ := w.collect(time.Second); values["hosts"] != "restored" {
			t.Errorf("values after the restore: %v", values)
		}
		if n := counter(m, "nutmeglatch_platform_index_resets_total"); n != 1 {
			t.Errorf("%d resets, want 1", n)
		}
		b.set("hosts", "next")
		if values, _ := w.collect(time.Second); values["hosts"] != "next" {
			t.Errorf("values after the next change: %v", values)
		}
	})
}

// TestSilentWatch guards against missed changes when the connection of the watch
// stops delivering data. The poll reports them over its own connection.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFakeConsul(t)
		b.set("hosts", "old")
		w := watch(t, b, nil)
		w.collect(time.Second)
		b.mu.Lock()
		b.values["hosts"] = "new" // without the end of the blocking read
		b.index++
		b.mu.Unlock()
		values, err := w.collect(DefaultPoll * 5 / 4)
		if err != nil || values["hosts"] != "new" {
			t.Errorf("values %v, error %v", values, err)
		}
	})
}

// TestFailureReasons guards against failures counted under a wrong reason, which
// would mislead an operator.
func TestFailureReasons(t *testing.T) {
	reasons := map[fault]Reason{
		down: ReasonStatus, redirect: ReasonStatus, silent: ReasonTimeout, stalled: ReasonTimeout,
		malformed: ReasonMalformed, endless: ReasonTooLarge, noIndex: ReasonIndex,
	}
	for f, want := range reasons {
		synctest.Test(t, func(t *testing.T) {
			b := newFakeConsul(t)
			b.setFault(f)
			_, err := watch(t, b, nil).collect(15 * time.Second)
			var re *ReadError
			if !errors.As(err, &re) || re.Reason != want {
				t.Errorf("%s: got %v, want reason %s", f, err, want)
			}
		})
	}
}

// FuzzDecoder guards against responses that panic the decoder.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte(`[{"Key":"n/hosts","ModifyIndex":1,"Value":"eA=="}]`))
	f.Add([]byte(`["n/hosts","n/services/a"]`))
	f.Add([]byte(`[{"Key":null,"Value":[[[`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d := newDecoder(strings.NewReader(string(raw)), int64(len(raw)))
		n := 0
		err := d.each(func(kvEntry) { n++ })
		_ = decodeEach(newDecoder(strings.NewReader(string(raw)), int64(len(raw))), func(string) {})
		var re *ReadError
		if err != nil && !errors.As(err, &re) {
			t.Errorf("error %v has no reason", err)
		}
		if n > len(raw) {
			t.Errorf("%d elements in %d bytes", n, len(raw))
		}
	})
}
