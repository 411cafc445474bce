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
	// RetentionDeadlines is the least claim retention in command deadlines.
	RetentionDeadlines = 2
	// MinMaxMessage holds the largest value of the platform in base64.
	MinMaxMessage = 3 << 19
	MaxMaxMessage = 2 << 20
	MinMaxFlows   = 1 << 10
	MaxMaxFlows   = 1 << 28
	MaxGroupSize  = 64
	MaxWorkers    = 256
	MaxIndirect   = 16
	// MaxWait is the longest blocking read of the Consul API.
	MaxWait = 10 * time.Minute

	maxPrefixBytes = 256
)

type checker struct{ faults strictyaml.Faults }

func (c *checker) require(ok bool, field, value, allowed string) {
	if !ok {
		c.faults.Invalid(field, value, allowed)
	}
}

func (c *checker) between(field string, value, low, high int) {
	c.require(value >= low && value <= high, field, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high))
}

func (c *checker) duration(field string, value document.Duration, low, high time.Duration) {
	ok := value.Std() >= low && value.Std() <= high
	c.require(ok, field, value.Std().String(), fmt.Sprintf("%v to %v", low, high))
}

func (c *checker) name(field, value string) {
	text := ""
	if value != "" {
		text = strconv.Quote(value)
	}
	c.require(document.ValidName(value), field, text, "1 to 63 lower-case letters, digits and hyphens, starting and ending with a letter or digit")
}

func (c *checker) address(field string, value netip.AddrPort) {
	text := ""
	if value.IsValid() {
		text = value.String()
	}
	c.require(document.ValidAddress(value.Addr()) && value.Port() > 0, field, text, "a unicast IP address and a port, such as 192.0.2.1:6080")
}

func (s *Settings) check() strictyaml.Faults {
	c := &checker{}
	c.name("host_id", s.HostID)
	c.name("data_centre", s.DataCentre)
	c.name("region", s.Region)
	s.checkAddresses(c)
	if len(s.PeerKey) < MinKeyBytes {
		text := ""
		if len(s.PeerKey) > 0 {
			text = fmt.Sprintf("%d bytes", len(s.PeerKey))
		}
		c.faults.Invalid("peer_key", text, s.PeerKey.AllowedText())
	}
	s.Platform.check(c)
	s.Limits.check(c)
	s.Probe.check(c)
	c.duration("pause_limit", s.PauseLimit, 100*time.Millisecond, time.Minute)
	c.duration("start_check", s.StartCheck, 100*time.Millisecond, time.Minute)
	c.duration("shutdown.quiet_for", s.Shutdown.QuietFor, 100*time.Millisecond, time.Minute)
	c.duration("shutdown.limit", s.Shutdown.Limit, s.Limits.CommandDeadline.Std()+ShutdownMargin, 10*time.Minute)
	c.between("workers", s.Workers, 0, MaxWorkers)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.faults.Invalid("log_level", strconv.Quote(s.LogLevel), "debug, info, warn or error")
	}
	return c.faults
}

func (s *Settings) checkAddresses(c *checker) {
	c.address("gue", s.GUE)
	c.address("peer", s.Peer)
	c.address("admin", s.Admin)
	c.address("fabric_return", s.FabricReturn)
	if !s.GUE.IsValid() || !s.Peer.IsValid() {
		return
	}
	c.require(s.GUE.Addr() == s.Peer.Addr(), "peer", s.Peer.String(), "the address of gue, because the host list has one address per host")
	c.require(s.GUE.Port() != s.Peer.Port(), "peer", s.Peer.String(), "another port than that of gue")
	c.require(s.Admin != s.Peer, "admin", s.Admin.String(), "another port than that of peer")
	c.require(s.FabricReturn != s.GUE, "fabric_return", s.FabricReturn.String(), "another address than gue")
}

func (p *Platform) check(c *checker) {
	switch p.Type {
	case PlatformHTTP:
		c.require(validURL(p.URL), "platform.url", quote(p.URL), "an http or https URL with a host, without query and user information, for type http")
		c.require(p.Path == "", "platform.path", quote(p.Path), "not set for type http")
	case PlatformDirectory:
		c.require(p.Path != "", "platform.path", "", "a directory for type directory")
		c.require(p.URL == "", "platform.url", quote(p.URL), "not set for type directory")
	default:
		c.faults.Invalid("platform.type", quote(string(p.Type)), "http or directory")
	}
	ok := len(p.Prefix) <= maxPrefixBytes && (p.Prefix == "" || strings.HasSuffix(p.Prefix, "/")) && !strings.HasPrefix(p.Prefix, "/")
	c.require(ok, "platform.prefix", quote(p.Prefix), "empty, or text that ends with a slash and does not start with one")
	c.duration("platform.wait", p.Wait, time.Second, MaxWait)
	c.duration("platform.poll", p.Poll, time.Second, time.Hour)
}

func (l *Limits) check(c *checker) {
	c.between("limits.max_flows", l.MaxFlows, MinMaxFlows, MaxMaxFlows)
	c.between("limits.max_message", l.MaxMessage, MinMaxMessage, MaxMaxMessage)
	c.duration("limits.command_deadline", l.CommandDeadline, 100*time.Millisecond, document.MaxCommandDeadline)
	c.duration("limits.claim_retention", l.ClaimRetention, RetentionDeadlines*l.CommandDeadline.Std(), time.Hour)
	c.duration("limits.tentative_for", l.TentativeFor, 100*time.Millisecond, time.Minute)
	c.between("limits.group_size", l.GroupSize, 1, MaxGroupSize)
}

func (p *Probe) check(c *checker) {
	c.duration("probe.interval", p.Interval, 20*time.Millisecond, 10*time.Second)
	c.duration("probe.timeout", p.Timeout, 5*time.Millisecond, max(p.Interval.Std(), 5*time.Millisecond))
	c.duration("probe.suspect_for", p.SuspectFor, 100*time.Millisecond, time.Minute)
	c.between("probe.indirect_probes", p.IndirectProbes, 0, MaxIndirect)
}

func validURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil {
		return false
	}
	return (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" && u.User == nil && u.RawQuery == "" && u.Fragment == ""
}

func quote(text string) string {
	if text == "" {
		return ""
	}
	return strconv.Quote(text)
}
