package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
)

const (
	// httpTimeout bounds the reading of a request and the writing of an answer.
	httpTimeout = 5 * time.Second
	// httpIdle is how long an idle connection is kept.
	httpIdle = 30 * time.Second
)

// Status is what a host believes, for operators.
type Status struct {
	Host          string   `json:"host"`
	Version       string   `json:"version"`
	DataCentre    string   `json:"data_centre"`
	Ready         bool     `json:"ready"`
	Revision      uint64   `json:"revision"`
	ConfigVersion uint64   `json:"config_version"`
	AgeMs         int64    `json:"age_ms"` // since the store confirmed the revision; -1: never
	Reader        bool     `json:"reader"`
	Hosts         []string `json:"hosts"`
	Unreachable   []string `json:"unreachable_data_centres"`
}

func serveHTTP(l net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: httpIdle}
	if err := server.Serve(l); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}

// serveReady answers whether callers' packets may be sent here.
func (h *Host) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != h.config.ReadyPath:
		http.NotFound(w, r)
	case !h.ready.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *Host) adminHandler(c *control) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		status, err := c.askStatus(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(status); err != nil {
			level.Debug(h.logger).Log("part", "admin", "msg", "status not sent", "err", err)
		}
	})
	return mux
}

func (c *control) askStatus(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	c.post(ctx, statusEvent{reply: reply})
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

func (c *control) status() Status {
	now := c.host.now()
	s := Status{
		Host:          c.host.config.Name,
		Version:       c.host.config.Version,
		DataCentre:    c.host.config.DataCentre,
		Ready:         c.host.ready.Load(),
		Revision:      c.state.Revision(),
		ConfigVersion: c.version,
		AgeMs:         c.host.ageMs(now),
		Reader:        c.wasReader,
	}
	for _, h := range c.members.All() {
		s.Hosts = append(s.Hosts, h.Addr.String()+" "+h.DataCentre)
	}
	for dataCentre := range c.members.Unreachable(now) {
		s.Unreachable = append(s.Unreachable, dataCentre)
	}
	return s
}
