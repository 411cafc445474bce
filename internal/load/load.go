// Package load opens many flows through entry hosts from one process and measures
// their results. It acts as the fabric and the callers: each packet is sent to a
// random entry host, and all answers arrive at one address.
package load

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Limits of Config.
const (
	MaxFlowsPerSecond = 100_000
	MaxOpenFlows      = 2_000_000
)

// Default values of Config.
const (
	DefaultFlowsPerSecond = 1000
	DefaultHold           = 10 * time.Second
	DefaultInterval       = time.Second
	DefaultFor            = 20 * time.Second
	DefaultGiveUp         = 6 * time.Second
	DefaultPayload        = 200 // bytes
)

// Config configures a run. Zero values select the defaults, except for Hosts,
// Listen and Service, which are required.
type Config struct {
	Hosts          []netip.AddrPort // GUE addresses of the entry hosts
	Listen         netip.AddrPort   // address for answers: fabric_return in the settings of the entry hosts
	Service        netip.AddrPort   // the service's address for flows
	Proto          uint8            // protocol of the flows, default TCP
	FlowsPerSecond int              // rate of new flows
	Hold           time.Duration    // lifetime of a flow
	Interval       time.Duration    // between the requests of a flow
	For            time.Duration    // period in which new flows are opened
	GiveUp         time.Duration    // time without an answer after which a flow is broken
	Payload        int              // bytes per request
	Seed           uint64
}

func (c *Config) setDefaults() {
	c.Proto = cmp.Or(c.Proto, packet.ProtoTCP)
	c.FlowsPerSecond = cmp.Or(c.FlowsPerSecond, DefaultFlowsPerSecond)
	c.Hold = cmp.Or(c.Hold, DefaultHold)
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.For = cmp.Or(c.For, DefaultFor)
	c.GiveUp = cmp.Or(c.GiveUp, DefaultGiveUp)
	c.Payload = cmp.Or(c.Payload, DefaultPayload)
}

// Check sets the defaults and returns an error for the first value out of bounds.
func (c *Config) Check() error {
	c.setDefaults()
	open := float64(c.FlowsPerSecond) * min(c.Hold, c.For).Seconds()
	switch {
	case len(c.Hosts) == 0:
		return errors.New("hosts: none; allowed: at least one entry host")
	case !c.Listen.IsValid() || !c.Service.IsValid():
		return errors.New("listen and service: both need an address and a port")
	case c.FlowsPerSecond < 1 || c.FlowsPerSecond > MaxFlowsPerSecond:
		return errors.Newf("flows per second: %d; allowed: 1 to %d", c.FlowsPerSecond, MaxFlowsPerSecond)
	case open > MaxOpenFlows:
		return errors.Newf("open flows: %.0f; allowed: %d", open, MaxOpenFlows)
	case c.Hold <= 0 || c.Interval <= 0 || c.For <= 0 || c.GiveUp <= 0:
		return errors.New("hold, interval, for and give-up: want times above 0")
	case c.Payload < minPayload || c.Payload > maxPayload:
		return errors.Newf("payload: %d bytes; allowed: %d to %d", c.Payload, minPayload, maxPayload)
	}
	return nil
}

// Latency is a distribution of times in microseconds.
type Latency struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

// Report is the result of a run.
type Report struct {
	DurationMS     int64          `json:"duration_ms"`
	Flows          int            `json:"flows"`
	NotOpened      int            `json:"flows_not_opened"`
	Completed      int            `json:"completed_flows"`
	Broken         int            `json:"broken_flows"`
	BrokenByCause  map[string]int `json:"broken_flows_by_cause"`
	PeakOpen       int            `json:"peak_open_flows"`
	FlowsPerSecond float64        `json:"flows_opened_per_second"`
	Sent           int64          `json:"packets_sent"`
	Answers        int64          `json:"answers"`
	Retransmitted  int64          `json:"packets_retransmitted"`
	Stray          int64          `json:"stray_packets"`
	OpenMicros     Latency        `json:"open_us"`   // SYN to SYN-ACK, without retransmitted SYNs
	AnswerMicros   Latency        `json:"answer_us"` // request to answer, without retransmitted requests
}

// Causes of broken flows.
const (
	causeReset   = "reset"
	causeTimeout = "timeout"
	causeMoved   = "moved" // another backend server process answered
)

// Run opens flows for the configured period, waits until they have ended, and
// reports their results. A cancelled context ends the run early.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen for answers")
	}
	defer conn.Close()
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	g := newGenerator(cfg, conn)
	received := make(chan struct{})
	go func() {
		defer close(received)
		g.receive()
	}()
	start := time.Now()
	g.send(ctx)
	_ = conn.Close()
	<-received
	return g.report(time.Since(start)), nil
}
