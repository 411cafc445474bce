// Package health decides which backend servers may receive new work. It
// combines the load reports of the backend servers, which may be stale or
// misleading, with passive evidence from their traffic, and tracks their
// instances to find cold starts. The State does no I/O and reads no clock;
// the Poller fetches load reports for it.
package health

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Defaults of Config.
const (
	DefaultReportStaleAfter = 5 * time.Second
	DefaultEvidenceDuration = 10 * time.Second
	DefaultSilentPackets    = 5
	DefaultResetLimit       = 5
	DefaultReportInterval   = 5 * time.Second
	DefaultUptimeSlack      = 2 * time.Second
	DefaultReportBytes      = 1000
	DefaultColdSilence      = 3 * time.Second
)

// Config holds the tunables of a State. Zero values select the defaults.
type Config struct {
	ReportStaleAfter time.Duration // a load report older than this has no effect
	EvidenceDuration time.Duration // how long negative evidence stays in effect
	SilentPackets    int           // packets without a reply that count as silence
	ResetLimit       int           // resets without a reply in between that count as a failure
	ReportInterval   time.Duration // longest interval of unacknowledged reports
	UptimeSlack      time.Duration // a smaller decrease of the uptime is measurement noise
	ColdSilence      time.Duration // a longer silence counts as a restart
	ReportBytes      int           // bytes per second of reports to other entry hosts, headers included
}

func (c Config) withDefaults() Config {
	c.ReportStaleAfter = cmp.Or(c.ReportStaleAfter, DefaultReportStaleAfter)
	c.EvidenceDuration = cmp.Or(c.EvidenceDuration, DefaultEvidenceDuration)
	c.SilentPackets = cmp.Or(c.SilentPackets, DefaultSilentPackets)
	c.ResetLimit = cmp.Or(c.ResetLimit, DefaultResetLimit)
	c.ReportInterval = cmp.Or(c.ReportInterval, DefaultReportInterval)
	c.UptimeSlack = cmp.Or(c.UptimeSlack, DefaultUptimeSlack)
	c.ColdSilence = cmp.Or(c.ColdSilence, DefaultColdSilence)
	c.ReportBytes = cmp.Or(c.ReportBytes, DefaultReportBytes)
	return c
}

// Verdict is the judgement about one backend server.
type Verdict struct {
	Usable    bool      // may receive new work
	Reason    Reason    // why it is not usable, or why it is kept although it looks bad
	Draining  bool      // receives no new work; established flows remain
	Foreign   bool      // load reports name another service: never used for this one
	Shedding  bool      // sheds load at present
	Instance  uint64    // start generation, 0 when unknown
	StartedBy time.Time // when the process of Instance had surely started; zero when unknown
	ColdKnown bool      // ColdSince comes from a load report or evidence
	ColdSince time.Time // start of the cold ramp; zero when no cold start is known
	SlotsBusy int       // command slots in use by the newest load report
	Observed  time.Time // time of the newest load report, zero when none
}

// Reason says what decided a verdict.
type Reason uint8

// Reasons of verdicts, in order of precedence.
const (
	ReasonNone Reason = iota
	ReasonForeign
	ReasonDataCentreOut
	ReasonDraining
	ReasonKept // looks bad, but kept so that half of the backend servers remain
	ReasonEvidence
	ReasonLoadReport
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "other_service", "data_centre_out", "draining", "kept", "evidence", "load_report",
}

// String returns the name used in logs and counters.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Evidence is what traffic showed about a backend server since the last call.
type Evidence struct {
	Replies    int // packets received from it
	Resets     int // TCP resets instead of an accepted connection
	Sheds      int // explicit rejections because of load
	Unanswered int // packets of new flows or commands without a reply
}

// ServiceInput is one service with its owner group.
type ServiceInput struct {
	Doc   *document.Service
	Group []string // entry hosts that receive reports about the service
}

// Input is the control state that the verdicts depend on.
type Input struct {
	Services       []ServiceInput
	Hosts          []document.Host // live entry hosts; observers are ranked among them
	Ranking        *Ranking        // of Hosts, when the caller keeps one
	OutDataCentres map[string]bool // data centres out of service
	Leaving        map[netip.AddrPort]bool
}

// Target is a load URL that this host polls as a ranked observer.
type Target struct {
	Backend netip.AddrPort
	URL     string
}
