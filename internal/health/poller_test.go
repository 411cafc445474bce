package health

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const goodReport = `{"service":"gridwatch","instance":7,"uptime_ms":1000}`

// Guards against accepting an unusable response of a load URL or waiting for it
// past the timeout: a stall, a redirect, an error status or an oversized body.
func TestPollerFailures(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	tests := []struct {
		name   string
		serve  http.HandlerFunc
		reason string
	}{
		{"good", func(w http.ResponseWriter, r *http.Request) {
			// The headers count against the control budget.
			if len(r.Header) != 1 || r.UserAgent() != userAgent {
				w.WriteHeader(http.StatusBadRequest)
			}
			w.Write([]byte(goodReport))
		}, ""},
		{"status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, "status"},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusFound)
		}, "status"},
		{"too large", func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(strings.Repeat(" ", MaxLoadReportBytes) + goodReport))
		}, "too_large"},
		{"malformed", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`{"service":""}`)) }, "malformed"},
		{"stalls before the header", func(http.ResponseWriter, *http.Request) { <-release }, "timeout"},
		{"stalls in the body", func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte("{"))
			w.(http.Flusher).Flush()
			<-release
		}, "timeout"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(tt.serve)
			t.Cleanup(server.CloseClientConnections)
			cfg := PollerConfig{Timeout: time.Minute}
			if tt.reason == "timeout" {
				cfg.Timeout = 50 * time.Millisecond
			}
			var got Observation
			NewPoller(cfg).Poll(context.Background(), []Target{{addr(1), server.URL}}, func(o Observation) { got = o })
			if tt.reason == "" {
				if got.Err != nil || got.Report.Instance != 7 {
					t.Errorf("report %+v, error %v", got.Report, got.Err)
				}
				return
			}
			if got.Err == nil || !strings.Contains(got.Err.Error(), "poll load URL: "+tt.reason) {
				t.Errorf("error %v, want reason %s", got.Err, tt.reason)
			}
		})
	}
}

// Guards against more polls at the same time than the configured concurrency.
func TestPollerConcurrency(t *testing.T) {
	var active, most atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := active.Add(1)
		defer active.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		w.Write([]byte(goodReport))
	}))
	defer server.Close()
	targets := make([]Target, 40)
	for i := range targets {
		targets[i] = Target{addr(i), server.URL}
	}
	var mu sync.Mutex
	seen := 0
	p := NewPoller(PollerConfig{Timeout: time.Minute, Concurrency: 3})
	p.Poll(context.Background(), targets, func(o Observation) {
		mu.Lock()
		defer mu.Unlock()
		if o.Err == nil {
			seen++
		}
	})
	if seen != len(targets) || most.Load() > 3 {
		t.Errorf("%d of %d polls succeeded, %d at a time, allowed 3", seen, len(targets), most.Load())
	}
}
