package entry

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/healthcheck"
	"github.com/nutmeglatch/nutmeglatch/internal/restart"
)

const (
	// newsCopies is how often a host passes news on. With one copy, some hosts would not get it.
	newsCopies = 2
	// newsLifetime is the age from which news are not passed on again.
	newsLifetime = time.Second
	// remoteFanOut is the number of receivers of news that are hosts of other data centres.
	remoteFanOut = 1
)

// learn records what a finding of any host says about the process of a backend server. What is new is passed on.
func (h *healthChecks) learn(f healthcheck.Finding, now time.Duration) {
	o := restart.Observation{SentAt: f.At, At: f.At, Sure: true}
	switch f.Outcome {
	case affinity.Refuses:
		end, ok := h.state.End(f.Instance, now)
		if !ok {
			return
		}
		o = restart.Observation{Kind: restart.Refused, SentAt: end.At, At: end.At, Sure: end.Sure}
	case affinity.Accepts:
		o.Kind, o.SentAt = restart.Answered, f.At-checkTimeout
		f.Outcome = affinity.AcceptsAgain // to others, if it is news
	case affinity.AcceptsAgain:
		o.Kind = restart.Restarted
	default:
		return
	}
	isNews := h.traffic.router.RecordObservation(f.Instance, o, now)
	if _, ended := h.traffic.router.Ended(f.Instance); ended {
		h.ended.Add(f.Instance, now)
	}
	switch {
	case !isNews || f.Late: // hosts that run on time pass it on
	case len(h.news) < maxPendingFindings:
		h.addNews(f)
	default:
		findingsDropped.Inc()
	}
}

// tellRestart adds a start to the news that a caller's packet has shown.
func (h *healthChecks) tellRestart(c *affinity.HealthChange, now time.Duration) {
	if c.Health == affinity.Restarted && c.Cause == affinity.PacketAcknowledged && len(h.news) < maxPendingFindings {
		self := healthcheck.Digest(h.traffic.host.config.Peer)
		h.addNews(healthcheck.Finding{Instance: c.Instance, Outcome: affinity.AcceptsAgain, Checker: self, At: now})
	}
}

// addNews adds a finding to the news, in random order among those that have not been sent: when many backend servers end at
// once, the hosts begin with different ones.
func (h *healthChecks) addNews(f healthcheck.Finding) {
	unsent := slices.IndexFunc(h.news, func(item newsItem) bool { return item.sent > 0 })
	if unsent < 0 {
		unsent = len(h.news)
	}
	h.news = slices.Insert(h.news, rand.IntN(unsent+1), newsItem{finding: f})
}

// receiveRemote handles a message of a host of another data centre: only findings about ends and starts count.
func (h *healthChecks) receiveRemote(m checkMessage, now time.Duration) {
	if !slices.Contains(h.remote, m.from) {
		checkMessagesRefused.Inc()
		return
	}
	if len(m.message.Asks) > 0 {
		checkMessagesRefused.Inc()
	}
	for _, f := range m.message.Findings {
		if f.ReachesAll() {
			h.state.Receive(f, now)
			h.learn(f, now)
		}
	}
}

// passOnNews sends the news that were sent least often to hosts of the own data centre and of another one.
func (h *healthChecks) passOnNews(now time.Duration) {
	n := min(len(h.news), healthcheck.MaxFindings)
	m := &healthcheck.Message{}
	for _, item := range h.news[:n] {
		m.Findings = append(m.Findings, item.finding)
	}
	h.send(h.newsReceivers(), m)
	for _, item := range h.news[:n] {
		if item.sent++; item.sent < newsCopies && now-item.finding.At < newsLifetime {
			h.news = append(h.news, item)
		}
	}
	h.news = append(h.news[:0], h.news[n:]...)
}

// newsReceivers returns findingFanOut other hosts, remoteFanOut of them in other data centres, if there are as many.
func (h *healthChecks) newsReceivers() []netip.AddrPort {
	local := h.state.SamplePeers(findingFanOut)
	remote := min(len(h.remote), max(remoteFanOut, findingFanOut-len(local)))
	receivers := local[:min(len(local), findingFanOut-remote)]
	for k := range remote {
		j := k + rand.IntN(len(h.remote)-k)
		h.remote[k], h.remote[j] = h.remote[j], h.remote[k]
		receivers = append(receivers, h.remote[k])
	}
	return receivers
}

// probe finds out whether an ended backend server is back. It returns the time until the next probe, or 0 if none is needed.
func (h *healthChecks) probe(i affinity.Instance, now time.Duration) time.Duration {
	dataCentre, ended := h.traffic.router.Ended(i)
	if !ended {
		return 0
	}
	plan := h.state.Probe(i, h.isNear(dataCentre), now)
	if len(plan.Ask) > 0 {
		checksAsked.Add(len(plan.Ask))
		h.send(plan.Ask, &healthcheck.Message{Asks: []affinity.Instance{i}})
	}
	if !plan.CheckSelf {
		return restart.InquiryInterval
	}
	h.probes[i] = true
	h.check(i, now)
	return restart.ProbeInterval
}

// isNear reports whether it is for the hosts of this data centre to check backend servers of a data centre: it is theirs, or no
// host there is known or reachable.
func (h *healthChecks) isNear(dataCentre string) bool {
	f := h.fleet
	return f == nil || dataCentre == f.Self.DataCentre || f.Unreachable[dataCentre] ||
		!slices.ContainsFunc(f.Hosts, func(other affinity.Host) bool { return other.DataCentre == dataCentre })
}
