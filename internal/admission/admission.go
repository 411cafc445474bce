// Package admission divides the allowance of each backend server, the number of
// flows that may be open to it, between the entry hosts of a service's owner
// group. A host's share is proportional to the number of the service's buckets
// that it is primary owner of. Hosts lend unused allowance to one another.
// When a bucket moves to another host, its open flows stay charged against the
// allowance. Slots admits commands to a backend server at the one host that is
// responsible for it.
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
	ReportInterval   time.Duration // shortest interval between reports about one service to one host
	HandoverInterval time.Duration // the same during a handover of buckets
	HandoverTimeout  time.Duration // a member that does not confirm a view within it counts as departed
	LoanDuration     time.Duration // how long new flows may use a loan
	ReportBytes      int           // limit of all reports in bytes per second, headers included
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
	// is primary owner of, including this host. A host that is leaving but still
	// answers is listed with 0; a dead host is not listed.
	Buckets map[string]int
	// LostBuckets is the number of buckets that this host was primary owner of
	// in the previous input and no longer is. It may be left 0 when it equals
	// the decrease of this host's count in Buckets.
	LostBuckets int
}

// Input is the control state that the shares depend on.
type Input struct {
	Services       []ServiceInput
	OutDataCentres map[string]bool         // data centres out of service
	Leaving        map[netip.AddrPort]bool // backend servers that the host list marks as leaving
	Verdicts       map[netip.AddrPort]health.Verdict
}

// Allowance is what this host may admit to one backend server.
type Allowance struct {
	// NewFlows is the number of flows that this host may admit until the next
	// call of Allowances. The unused rest of the previous budget is void.
	NewFlows int
	Weight   float64 // for choosing among the backend servers; 0 for no new work
	Cold     bool    // its allowance is still below the full value
}

// Result is the outcome of a received report.
type Result struct {
	Accepted  bool
	Refusal   string // why the report was not used; empty when it was accepted
	WantReply bool   // the sender waits for a report; the next call of Report returns it
}
