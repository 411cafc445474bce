// Package admission divides the allowance of each backend server between the
// entry hosts of a service's owner group. A host's share follows the fraction
// of the service's buckets that it is primary owner of; unused allowance is
// lent; flows of buckets that change hands stay charged. Slots admits commands
// at the one host that is responsible for a backend server.
//
// The package does no I/O and reads no clock. Its types are not safe for
// concurrent use.
package admission

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
)

// Buckets is the number of buckets of a service.
const Buckets = 256

// Defaults of Config.
const (
	DefaultReportInterval   = time.Second
	DefaultHandoverInterval = 100 * time.Millisecond
	DefaultHandoverTimeout  = 10 * time.Second
	DefaultLoanDuration     = 3 * time.Second
	DefaultReportBytes      = 2000
)

// Config holds the tunables of a State. Zero values select the defaults.
type Config struct {
	ReportInterval   time.Duration // shortest interval of reports of a service to one host
	HandoverInterval time.Duration // the same while buckets change hands
	HandoverTimeout  time.Duration // a member that does not confirm for so long counts as gone
	LoanDuration     time.Duration // how long lent allowance may be used
	ReportBytes      int           // bytes per second of all reports, headers included
}

func (c Config) withDefaults() Config {
	c.ReportInterval = cmp.Or(c.ReportInterval, DefaultReportInterval)
	c.HandoverInterval = cmp.Or(c.HandoverInterval, DefaultHandoverInterval)
	c.HandoverTimeout = cmp.Or(c.HandoverTimeout, DefaultHandoverTimeout)
	c.LoanDuration = cmp.Or(c.LoanDuration, DefaultLoanDuration)
	c.ReportBytes = cmp.Or(c.ReportBytes, DefaultReportBytes)
	return c
}

// ServiceInput is one service whose owner group this host belongs to.
type ServiceInput struct {
	Doc *document.Service
	// Buckets holds, by host ID, how many buckets each host of the owner group
	// is primary of, this host included. A host that leaves but still answers
	// is listed with 0; a dead host is not listed.
	Buckets map[string]int
	// LostBuckets is how many buckets this host was primary of in the previous input
	// and is not any more. It may be left 0 when it equals the fall of the
	// own count.
	LostBuckets int
}

// Input is the control state that the shares depend on.
type Input struct {
	Services       []ServiceInput
	OutDataCentres map[string]bool         // data centres out of service
	Leaving        map[netip.AddrPort]bool // backend servers leaving by the host list
	Verdicts       map[netip.AddrPort]health.Verdict
}

// Allowance is what this host may admit to one backend server.
type Allowance struct {
	// NewFlows is the number of flows that this host may admit until the next
	// call of Allowances. It replaces what is left of the previous figure.
	NewFlows int
	Weight   float64 // of the backend server in the choice; 0 for no new work
	Cold     bool    // its allowance is still rising
}

// Result says what became of a received report.
type Result struct {
	Accepted  bool
	Refusal   string // reason of a report that was not used
	WantReply bool   // the sender waits for a report; Report returns it at once
}
