package work

import (
	"math"
	"net/netip"
	"time"
)

const (
	// reportLifetime is the time after which a host's report no longer counts. It is that after which a silent host no
	// longer counts as alive.
	reportLifetime = 1200 * time.Millisecond
	// reportHalfLife is the time in which the weight of the work in a report halves. Most requests end sooner.
	reportHalfLife = time.Second
	// maxReportedWork bounds the requests that a report adds at a server.
	maxReportedWork = 64
	// maxReporters bounds the number of reports kept. Up to 24 messages a second arrive.
	maxReporters = 1024
)

// Report is what a host knows of a server that differs from the rest.
type Report struct {
	Token  uint32  // of the server
	Work   float64 // requests above the mean of the host
	Log    float64 // logarithm of the relative time of requests
	Weight float64 // of Log, in callers
}

// Remote is what other hosts know of a server together.
type Remote struct {
	Work   float64
	Log    float64
	Weight float64
}

// Shared is what other hosts know of servers.
type Shared struct {
	Servers map[uint32]Remote // by token
	Hosts   int               // number of hosts whose reports count
}

// Peers keeps the latest report of each host.
type Peers struct{ reports map[netip.AddrPort]hostReport }

type hostReport struct {
	at      time.Duration // when it arrived
	servers []Report
}

// Receive replaces the report of a host by one that arrived at a time. A host that knows of no server that differs reports
// none.
func (p *Peers) Receive(from netip.AddrPort, servers []Report, at time.Duration) {
	if p.reports == nil {
		p.reports = map[netip.AddrPort]hostReport{}
	}
	if _, known := p.reports[from]; !known && len(p.reports) >= maxReporters {
		return
	}
	p.reports[from] = hostReport{at, servers}
}

// Combine adds up the reports and removes old ones. Hosts hear from a sample of the others only, so the work is scaled to
// the number of other hosts of the data centre.
func (p *Peers) Combine(hosts int, now time.Duration) Shared {
	shared := Shared{Servers: map[uint32]Remote{}}
	for from, r := range p.reports {
		if now-r.at >= reportLifetime {
			delete(p.reports, from)
		}
	}
	shared.Hosts = len(p.reports)
	scale := float64(max(hosts, shared.Hosts)) / float64(max(shared.Hosts, 1))
	for _, r := range p.reports {
		weight := math.Exp2(-float64(now-r.at) / float64(reportHalfLife))
		for _, s := range r.servers {
			sum := shared.Servers[s.Token]
			sum.Work += min(s.Work, maxReportedWork) * weight * scale
			if w := min(s.Weight, maxCallers) * weight; w > 0 {
				log := min(max(s.Log, -maxLogRatio), maxLogRatio)
				sum.Log = (sum.Log*sum.Weight + log*w) / (sum.Weight + w)
				sum.Weight += w
			}
			shared.Servers[s.Token] = sum
		}
	}
	return shared
}
