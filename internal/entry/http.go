package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// httpTimeout limits the time to read a request and the time to write the response.
	httpTimeout = 5 * time.Second
	// httpIdle is how long an idle connection is kept open.
	httpIdle = 30 * time.Second
)

func serveHTTP(l net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: httpIdle}
	if err := server.Serve(l); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}

// serveReady handles readiness checks: status 200 if callers' packets may be sent to this host, 503 if not.
func (h *Host) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != h.config.ReadyPath:
		http.NotFound(w, r)
	case !h.takesPackets():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// takesPackets reports whether the routers may send callers' packets to this host.
func (h *Host) takesPackets() bool {
	return h.ready.Load() && !h.leaving.Load() && !h.yielding.Load() && !h.withdrawn.Load()
}
