package health

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Defaults of PollerConfig.
const (
	DefaultPollTimeout     = 800 * time.Millisecond
	DefaultPollConcurrency = 8
)

// userAgent is the User-Agent header of load requests. The default of net/http is
// longer and does not identify nutmeglatch.
const userAgent = "nutmeglatch"

// PollerConfig holds the tunables of a Poller. Zero values select defaults.
type PollerConfig struct {
	Timeout     time.Duration // deadline of one poll, connection included
	Concurrency int           // polls in progress at a time
	Transport   http.RoundTripper
	// Wrap wraps the connections of the default transport, for example to count
	// their bytes. The default is nil.
	Wrap func(net.Conn) net.Conn
}

// Poller reads load URLs. It keeps no state about backend servers.
type Poller struct {
	cfg    PollerConfig
	client *http.Client
}

// Observation is the outcome of one poll.
type Observation struct {
	Backend netip.AddrPort
	Report  LoadReport
	Err     error
}

// NewPoller returns a Poller. It follows no redirects, since the response of
// another address tells nothing about this backend server.
func NewPoller(cfg PollerConfig) *Poller {
	cfg.Timeout = cmp.Or(cfg.Timeout, DefaultPollTimeout)
	cfg.Concurrency = cmp.Or(cfg.Concurrency, DefaultPollConcurrency)
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        30 * time.Second,
			ResponseHeaderTimeout:  cfg.Timeout,
			MaxResponseHeaderBytes: MaxLoadReportBytes,
			DisableCompression:     true,
			DialContext:            cfg.dial,
		}
	}
	return &Poller{cfg: cfg, client: &http.Client{
		Transport: cfg.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

func (cfg *PollerConfig) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: cfg.Timeout}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil || cfg.Wrap == nil {
		return conn, err
	}
	return cfg.Wrap(conn), nil
}

// Poll reads every target once and passes each outcome to deliver, which is
// called from several goroutines. It returns when all polls have ended.
func (p *Poller) Poll(ctx context.Context, targets []Target, deliver func(Observation)) {
	var g errgroup.Group
	g.SetLimit(p.cfg.Concurrency)
	for _, t := range targets {
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error {
			r, err := p.fetch(ctx, t.URL)
			deliver(Observation{Backend: t.Backend, Report: r, Err: err})
			return nil
		})
	}
	_ = g.Wait() // the polls return no error: each outcome is delivered
}

// Run polls the current targets every interval until ctx ends.
func (p *Poller) Run(ctx context.Context, interval time.Duration, targets func() []Target, deliver func(Observation)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		p.Poll(ctx, targets(), deliver)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// fetch reads and parses the load report at url.
func (p *Poller) fetch(ctx context.Context, url string) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return LoadReport{}, pollFailed("connection", err)
	}
	req.Header.Set("User-Agent", userAgent)
	resp, err := p.client.Do(req)
	if err != nil {
		return LoadReport{}, pollFailed(connectionReason(ctx, err), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return LoadReport{}, pollFailed("status", errors.Newf("status %d, allowed 200", resp.StatusCode))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxLoadReportBytes+1))
	if err != nil {
		return LoadReport{}, pollFailed(connectionReason(ctx, err), err)
	}
	if len(body) > MaxLoadReportBytes {
		return LoadReport{}, pollFailed("too_large", errors.Newf("body exceeds the allowed %d bytes", MaxLoadReportBytes))
	}
	r, err := ParseLoadReport(body)
	if err != nil {
		return LoadReport{}, pollFailed("malformed", err)
	}
	return r, nil
}

// connectionReason returns the failure reason of an exchange. It checks for both
// kinds of timeout, since the deadline of the context and the timeout of the
// response header expire at about the same time.
func connectionReason(ctx context.Context, err error) string {
	var timed net.Error
	if ctx.Err() != nil || errors.As(err, &timed) && timed.Timeout() {
		return "timeout"
	}
	return "connection"
}

// pollFailed counts a failed poll and wraps its error.
func pollFailed(reason string, err error) error {
	pollTotal[reason].Inc()
	return errors.Wrapf(err, "poll load URL: %s", reason)
}
