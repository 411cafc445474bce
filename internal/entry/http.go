package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// httpTimeout bounds the reading of a request and the writing of an answer.
	httpTimeout = 5 * time.Second
	// httpIdle is how long an idle connection is kept.
	httpIdle = 30 * time.Second
)

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
