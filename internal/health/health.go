// Package health decides which backend servers may receive new work. It
// combines the load reports of the backend servers, which may be stale or
// wrong, with passive evidence from their traffic, and tracks their process
// instances to detect cold starts. State does no I/O and reads no clock; Poller
// fetches the load reports.
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
	ReportInterval   time.Duration // longest interval between retries of an unacknowledged report
	UptimeSlack      time.Duration // a smaller decrease of the uptime is ignored as measurement noise
	ColdSilence      time.Duration // a silence of at least this long counts as a restart
	ReportBytes      int           // limit of reports to other entry hosts in bytes per second, headers included
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

// Verdict is the health of one backend server.
type Verdict struct {
	Usable    bool      // may receive new work
	Reason    Reason    // why it is not usable, or ReasonKept; ReasonNone otherwise
	Draining  bool      // receives no new work; established flows remain
	Foreign   bool      // its load reports name another service, so it gets no work of this one
	Shedding  bool      // currently sheds load
	Instance  uint64    // instance number of the process, 0 when unknown
	StartedBy time.Time // latest possible start time of the process; zero when unknown
	ColdKnown bool      // ColdSince is based on a load report or evidence
	ColdSince time.Time // start of the cold ramp; zero when no cold start is known
	SlotsBusy int       // command slots in use according to the newest load report
	Observed  time.Time // time of the newest load report, zero when none
}

// Reason is the reason of a verdict.
type Reason uint8

// Reasons of verdicts, in order of precedence.
const (
	ReasonNone Reason = iota
	ReasonForeign
	ReasonDataCentreOut
	ReasonDraining
	ReasonKept // unhealthy, but kept usable so that half of the backend servers remain
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
	Sheds      int // requests that it rejected because of load
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
	Hosts          []document.Host // live entry hosts, among which observers are ranked
	Ranking        *Ranking        // ranking of Hosts; nil to compute a new one
	OutDataCentres map[string]bool // data centres out of service
	Leaving        map[netip.AddrPort]bool
}

// Target is a load URL that this host polls as a ranked observer.
type Target struct {
	Backend netip.AddrPort
	URL     string
}
