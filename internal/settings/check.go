package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/strictyaml"
)

// Bounds of settings.
const (
	// ShutdownMargin is added to the longest command deadline, so that every
	// command in progress can end before a graceful shutdown does.
	ShutdownMargin = time.Second
	// MinRetentionDeadlines is the shortest claim retention, as a multiple of the
	// command deadline.
	MinRetentionDeadlines = 2
	// MinMaxMessage is large enough for the largest value of the platform in
	// base64. MinMaxMessage and MaxMaxMessage are in bytes.
	MinMaxMessage     = 3 << 19
	MaxMaxMessage     = 2 << 20
	MinMaxFlows       = 1 << 10
	MaxMaxFlows       = 1 << 28
	MaxGroupSize      = 64
	MaxWorkers        = 256
	MaxIndirectProbes = 16
	// MaxWait is the longest wait of a blocking read that the Consul API allows.
	MaxWait = 10 * time.Minute

	maxPrefixBytes = 256
)

// checker collects the faults of settings.
type checker struct{ strictyaml.Checker }

func (c *checker) address(field string, value netip.AddrPort) {
	text := ""
	if value.IsValid() {
		text = value.String()
	}
	c.Require(document.ValidAddress(value.Addr()) && value.Port() > 0, field, text, "a unicast IP address and a port, such as 192.0.2.1:6080")
}

func (s *Settings) check() strictyaml.Faults {
	c := &checker{}
	c.Name("host_id", s.HostID)
	c.Name("data_centre", s.DataCentre)
	c.Name("region", s.Region)
	s.checkAddresses(c)
	if len(s.PeerKey) < MinKeyBytes {
		text := ""
		if len(s.PeerKey) > 0 {
			text = fmt.Sprintf("%d bytes", len(s.PeerKey))
		}
		c.Faults.Invalid("peer_key", text, s.PeerKey.AllowedText())
	}
	s.Platform.check(c)
	s.Limits.check(c)
	s.Probe.check(c)
	c.Duration("pause_limit", s.PauseLimit.Std(), 100*time.Millisecond, time.Minute)
	c.Duration("start_check", s.StartCheck.Std(), 100*time.Millisecond, time.Minute)
	c.Duration("shutdown.quiet_for", s.Shutdown.QuietFor.Std(), 100*time.Millisecond, time.Minute)
	c.Duration("shutdown.limit", s.Shutdown.Limit.Std(), s.Limits.CommandDeadline.Std()+ShutdownMargin, 10*time.Minute)
	c.Between("workers", s.Workers, 0, MaxWorkers)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.Faults.Invalid("log_level", strconv.Quote(s.LogLevel), "debug, info, warn or error")
	}
	return c.Faults
}

func (s *Settings) checkAddresses(c *checker) {
	c.address("gue", s.GUE)
	c.address("peer", s.Peer)
	c.address("admin", s.Admin)
	c.address("fabric_return", s.FabricReturn)
	if !s.GUE.IsValid() || !s.Peer.IsValid() {
		return
	}
	c.Require(s.GUE.Addr() == s.Peer.Addr(), "peer", s.Peer.String(), "the address of gue, because the host list has one address per host")
	c.Require(s.GUE.Port() != s.Peer.Port(), "peer", s.Peer.String(), "another port than that of gue")
	c.Require(s.Admin != s.Peer, "admin", s.Admin.String(), "another port than that of peer")
	c.Require(s.FabricReturn != s.GUE, "fabric_return", s.FabricReturn.String(), "another address than gue")
}

func (p *Platform) check(c *checker) {
	switch p.Type {
	case PlatformHTTP:
		c.Require(validURL(p.URL), "platform.url", strictyaml.Quote(p.URL), "an http or https URL with a host, without query and user information, for type http")
		c.Require(p.Path == "", "platform.path", strictyaml.Quote(p.Path), "not set for type http")
	case PlatformDirectory:
		c.Require(p.Path != "", "platform.path", "", "a directory for type directory")
		c.Require(p.URL == "", "platform.url", strictyaml.Quote(p.URL), "not set for type directory")
	default:
		c.Faults.Invalid("platform.type", strictyaml.Quote(string(p.Type)), "http or directory")
	}
	ok := len(p.Prefix) <= maxPrefixBytes && (p.Prefix == "" || strings.HasSuffix(p.Prefix, "/")) && !strings.HasPrefix(p.Prefix, "/")
	c.Require(ok, "platform.prefix", strictyaml.Quote(p.Prefix), "empty, or text that ends with a slash and does not start with one")
	c.Duration("platform.wait", p.Wait.Std(), time.Second, MaxWait)
	c.Duration("platform.poll", p.Poll.Std(), time.Second, time.Hour)
}

func (l *Limits) check(c *checker) {
	c.Between("limits.max_flows", l.MaxFlows, MinMaxFlows, MaxMaxFlows)
	c.Between("limits.max_message", l.MaxMessage, MinMaxMessage, MaxMaxMessage)
	c.Duration("limits.command_deadline", l.CommandDeadline.Std(), 100*time.Millisecond, document.MaxCommandDeadline)
	c.Duration("limits.claim_retention", l.ClaimRetention.Std(), MinRetentionDeadlines*l.CommandDeadline.Std(), time.Hour)
	c.Between("limits.group_size", l.GroupSize, 1, MaxGroupSize)
}

func (p *Probe) check(c *checker) {
	c.Duration("probe.interval", p.Interval.Std(), 20*time.Millisecond, 10*time.Second)
	c.Duration("probe.timeout", p.Timeout.Std(), 5*time.Millisecond, max(p.Interval.Std(), 5*time.Millisecond))
	c.Duration("probe.suspect_for", p.SuspectFor.Std(), 100*time.Millisecond, time.Minute)
	c.Between("probe.indirect_probes", p.IndirectProbes, 0, MaxIndirectProbes)
}

func validURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil {
		return false
	}
	return (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" && u.User == nil && u.RawQuery == "" && u.Fragment == ""
}
