// Package admin serves metrics, status and explanations to operators over
// HTTP. The interface is read-only; operators change the system through their
// documents.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = 10 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Affinity methods, as named in the status.
const (
	// ByOwners assigns flows by entries that their owner hosts keep.
	ByOwners = "owners"
	// ByToken assigns flows by a token that callers and backend servers return
	// in each packet.
	ByToken = "token"
)

// State is the status of an entry host with any affinity method.
type State interface {
	// Available reports whether the host accepts new traffic.
	Available() bool
}

// Status is the status of an entry host that assigns flows by owners.
type Status struct {
	Affinity     string           `json:"affinity"`
	ID           string           `json:"id"`
	DataCentre   string           `json:"data_centre"`
	Region       string           `json:"region"`
	Version      string           `json:"version"`
	UptimeMS     int64            `json:"uptime_ms"`
	Serving      bool             `json:"serving"`
	Leaving      bool             `json:"leaving"`
	Majority     bool             `json:"majority"`
	NoQuorum     []string         `json:"services_without_quorum,omitempty"` // only filled in fleets of 64 entry hosts or more
	Flows        int              `json:"flows"`
	DataCentres  DataCentreStatus `json:"data_centres"`
	Hosts        []HostStatus     `json:"entry_hosts"`
	Services     []ServiceStatus  `json:"services"`
	Refusals     []Refusal        `json:"refusals"`
	PlatformRead string           `json:"platform"`
}

// Available reports whether the host accepts new traffic.
func (s Status) Available() bool { return s.Serving && !s.Leaving }

// DataCentreStatus is the content of the last accepted data centre document.
type DataCentreStatus struct {
	Version uint64   `json:"version"`
	Out     []string `json:"out"`
}

// HostStatus is one entry host in the membership.
type HostStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

// ServiceStatus is one accepted service document and its backend servers.
type ServiceStatus struct {
	Name     string          `json:"service"`
	Version  uint64          `json:"version"`
	Digest   string          `json:"digest"`
	Backends []BackendStatus `json:"backend_servers"`
}

// BackendStatus is the state of a backend server by the information of this
// entry host.
type BackendStatus struct {
	Addr       string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Verdict    string  `json:"verdict"`
	Weight     float64 `json:"weight"`
	Flows      int     `json:"flows"`     // flows charged to this host
	NewFlows   int     `json:"new_flows"` // new flows that this host may admit now
	Instance   uint64  `json:"instance"`
}

// Refusal is a value that this entry host refused.
type Refusal struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail"`
	At      string `json:"at"`
}

// Query identifies the flow or command that an operator asks about.
type Query struct {
	Source, Destination netip.AddrPort
	Proto               uint8
	Token               uint32 // token in the flow's packets; 0: not known
}

// Explanation describes where a flow is sent and why.
type Explanation struct {
	Service string `json:"service"`
	*Ownership
	Backend string   `json:"backend_server,omitempty"`
	State   string   `json:"state,omitempty"`
	Steps   []string `json:"steps"`
}

// Ownership lists the owners of a flow. Hosts that assign flows by token have none.
type Ownership struct {
	Bucket    int    `json:"bucket"`
	Primary   string `json:"primary"`
	Secondary string `json:"secondary"`
}

// Source provides the state and the explanations that are served.
type Source[S State] interface {
	Status(ctx context.Context) (S, error)
	Explain(ctx context.Context, q Query) (Explanation, error)
	Placement(ctx context.Context, q Query) (Placement, error)
}

// protocols maps the protocol names of a query to IP protocol numbers.
var protocols = map[string]uint8{"tcp": 6, "udp": 17}

// ParseQuery parses the parameters of a query. An empty token means that the
// token is not known.
func ParseQuery(src, dst, proto, token string) (Query, error) {
	s, err := netip.ParseAddrPort(src)
	if err != nil {
		return Query{}, errors.Wrapf(err, "src %q: want address:port", src)
	}
	d, err := netip.ParseAddrPort(dst)
	if err != nil {
		return Query{}, errors.Wrapf(err, "dst %q: want address:port", dst)
	}
	p, ok := protocols[proto]
	if !ok {
		return Query{}, errors.Newf("proto %q: want tcp or udp", proto)
	}
	q := Query{Source: s, Destination: d, Proto: p}
	if token == "" {
		return q, nil
	}
	n, err := strconv.ParseUint(token, 10, 32)
	if err != nil {
		return Query{}, errors.Newf("token %q: want a number below 2^32", token)
	}
	q.Token = uint32(n)
	return q, nil
}

// Handler returns the HTTP handler of the operators' interface.
func Handler[S State](src Source[S]) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		st, err := src.Status(r.Context())
		if err != nil || !st.Available() {
			http.Error(w, "not serving", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		st, err := src.Status(r.Context())
		respond(w, st, err)
	})
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		form := r.URL.Query()
		q, err := ParseQuery(form.Get("src"), form.Get("dst"), form.Get("proto"), form.Get("token"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ex, err := src.Explain(r.Context(), q)
		respond(w, ex, err)
	})
	mux.HandleFunc("GET /placement", func(w http.ResponseWriter, r *http.Request) {
		form := r.URL.Query()
		q, err := ParseQuery(form.Get("src"), form.Get("dst"), form.Get("proto"), "")
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p, err := src.Placement(r.Context(), q)
		respond(w, p, err)
	})
	return mux
}

func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// Serve serves HTTP requests on the listener until the context ends.
func Serve[S State](ctx context.Context, l net.Listener, src Source[S]) error {
	server := &http.Server{
		Handler:           Handler[S](src),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "admin")
}
