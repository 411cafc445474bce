package entry

import (
	"math"

	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/gossip"
	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

const (
	// maxReportsSent bounds the backend servers in all messages of a round, as messages go to up to 12 hosts in a small fleet.
	// A backend server takes up to 13 bytes.
	maxReportsSent = 16
	// workUnit is the part of a request in which messages state work.
	workUnit = 1000
)

// serverLoads returns what this host knows of backend servers for a message to a number of hosts.
func (c *control) serverLoads(receivers int) []gossip.ServerLoad {
	reports := c.host.workReports.Load()
	if reports == nil || receivers == 0 || c.limits.Choice != ChooseByWork {
		return nil
	}
	var loads []gossip.ServerLoad
	for _, r := range (*reports)[:min(len(*reports), maxReportsSent/receivers)] {
		l := gossip.ServerLoad{Token: r.Token, Work: uint32(r.Work * workUnit)}
		if r.Weight > 0 {
			l.Speed = uint8(min(max(math.Round(100*math.Exp(-r.Log)), 1), math.MaxUint8))
			l.Samples = uint8(min(math.Ceil(r.Weight), math.MaxUint8))
		}
		loads = append(loads, l)
	}
	return loads
}

// workReports returns the contents of a message about backend servers.
func workReports(loads []gossip.ServerLoad) []work.Report {
	reports := make([]work.Report, 0, len(loads))
	for _, l := range loads {
		r := work.Report{Token: l.Token, Work: float64(l.Work) / workUnit}
		if l.Speed > 0 {
			r.Log, r.Weight = -math.Log(float64(l.Speed)/100), float64(l.Samples)
		}
		reports = append(reports, r)
	}
	return reports
}

// logSlow logs and counts the backend servers that have become slow.
func (t *traffic) logSlow() {
	for _, s := range t.router.TakeSlow() {
		slowServers.Inc()
		t.healthLimiter.do(t.host.now(), func() {
			level.Info(t.logger).Log("msg", "backend server slow", "server", s.ServerID, "speed", percent(s.Speed),
				"samples", s.Samples, "sample_age", s.Age, "running", s.Running, "work", round(s.Work))
		})
	}
}

// percent returns a fraction in per cent.
func percent(x float64) int { return int(math.Round(100 * x)) }

// round rounds to two decimals.
func round(x float64) float64 { return math.Round(100*x) / 100 }
