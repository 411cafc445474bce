package demo

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// significantDigits is the precision of latencies in decimal digits.
const significantDigits = 3

// evaluate fills in the report from the results of the callers and the counters of
// the backend servers.
func (r *run) evaluate() {
	backends := r.fleet.Backends()
	rep := &r.report
	rep.Deployment, rep.Seed = r.cfg.Deployment, r.cfg.Seed
	rep.EntryHosts, rep.BackendServers = len(r.hostByID), len(backends)
	rep.ConfigSpreadMS = r.configSpread.Milliseconds()
	r.evaluateFlows(backends)
	r.evaluateCommands(backends)
	for _, b := range backends {
		s := b.Stats()
		rep.WrongServicePackets += s.WrongServicePackets
		rep.PacketsAfterTakeout += s.PacketsAfterTakeout
		rep.NewWorkAfterLeaving += s.NewWorkAfterLeaving
		rep.Sheds += s.Sheds
		rep.MaxOverLimit = max(rep.MaxOverLimit, s.MaxOverConnections, s.MaxOverSlots)
	}
	rep.Imbalance = r.imbalance()
	rep.checkBounds()
}

func (r *run) evaluateFlows(backends []*standin.Backend) {
	rep := &r.report
	rep.BrokenFlowsByCause = map[string]int{}
	rep.FlowsNotOpenedAfter = map[string]int{}
	servers := map[uint64]*standin.Backend{}
	for _, b := range backends {
		servers[b.Stats().Instance] = b
	}
	served, attempted := 0, 0
	for i := range r.load.flows {
		f := &r.load.flows[i]
		rep.Flows++
		rep.FlowAnswers += f.Answers
		if f.Cause == standin.CauseNotOpened {
			rep.FlowsNotOpened++
			rep.FlowsNotOpenedAfter[r.lastEvent(r.load.attempts[i])]++
		}
		if f.Broken() {
			rep.BrokenFlows++
			r.describe(f, servers[servedBy(f)])
		}
		if r.duringTakeout(r.load.attempts[i]) {
			attempted++
			if f.Answers > 0 {
				served++
			}
		}
	}
	if attempted > 0 {
		rep.ServedShareDuringMove = float64(served) / float64(attempted)
	}
}

// servedBy returns the instance of the backend server process that served a flow,
// also if the flow was reset before its first answer.
func servedBy(f *standin.FlowResult) uint64 {
	if f.Instance != 0 {
		return f.Instance
	}
	return uint64(f.AcceptedInstance)
}

// describe counts a broken flow by cause and adds its details to the report. Flows
// of the data centre that was taken out are allowed to break from then on.
func (r *run) describe(f *standin.FlowResult, server *standin.Backend) {
	d := BrokenFlow{
		Source:   f.Config.Source.String(),
		Cause:    string(f.Cause),
		OpenedMS: f.Opened.Sub(r.start).Milliseconds(),
		EndedMS:  f.Ended.Sub(r.start).Milliseconds(),
		Answers:  f.Answers,
	}
	if server != nil {
		d.Backend, d.DataCentre = server.Addr().String(), server.DataCentre()
	}
	if d.DataCentre == r.outDC && f.Ended.After(r.takenOut) {
		d.Cause = causeDataCentreOut
	} else if len(r.report.BrokenFlowDetails) < maxDetails {
		r.report.BrokenFlowDetails = append(r.report.BrokenFlowDetails, d)
	}
	r.report.BrokenFlowsByCause[d.Cause]++
}

// lastEvent returns the name of the last event at or before t.
func (r *run) lastEvent(t time.Time) string {
	name := "start"
	for _, e := range r.report.Events {
		if t.Sub(r.start).Milliseconds() >= e.AtMS {
			name = e.Name
		}
	}
	return name
}

// duringTakeout reports whether the data centre was out at t.
func (r *run) duringTakeout(t time.Time) bool {
	return t.After(r.takenOut) && t.Before(r.broughtBack)
}

func (r *run) evaluateCommands(backends []*standin.Backend) {
	rep := &r.report
	rep.CommandsByOutcome = map[string]int{}
	rep.CommandsNotAnswered = map[string]int{}
	runs := map[standin.CommandID]int{}
	for _, b := range backends {
		for id, n := range b.Runs() {
			runs[id] += n
		}
	}
	latencies := hdrhistogram.New(1, commandTimeout.Milliseconds(), significantDigits)
	for i, c := range r.load.commands {
		if c.Outcome == standin.CommandAnswered {
			_ = latencies.RecordValue(c.Elapsed.Milliseconds()) // bounded by commandTimeout
		}
		rep.Commands++
		rep.CommandsByOutcome[string(c.Outcome)]++
		if c.Outcome != standin.CommandAnswered {
			rep.CommandsNotAnswered[r.lastEvent(r.load.requests[i])+": "+c.Message]++
		}
		switch {
		case c.Outcome == standin.CommandWrong:
			rep.WrongAnswers++
		case c.Outcome == standin.CommandNotRun && runs[c.ID] > 0:
			rep.FalseNotRun++
		}
		if c.Method != methodStatus && runs[c.ID] > 1 {
			rep.CommandsRunTwice++
		}
	}
	rep.CommandMS = Latency{P50: latencies.ValueAtQuantile(50), P99: latencies.ValueAtQuantile(99), Max: latencies.Max()}
}

// imbalance returns the largest ratio of the flows of a backend server to the mean
// of its service, over the servers that accepted new flows during the whole run.
func (r *run) imbalance() float64 {
	byService := map[string][]float64{}
	for _, b := range r.initialBackends {
		if b != r.drainedBackend && b.DataCentre() != r.outDC {
			byService[b.Service()] = append(byService[b.Service()], float64(b.Stats().FlowsOpened))
		}
	}
	worst := 0.0
	for _, flows := range byService {
		sum, most := 0.0, 0.0
		for _, n := range flows {
			sum += n
			most = max(most, n)
		}
		if sum > 0 {
			worst = max(worst, most*float64(len(flows))/sum)
		}
	}
	return worst
}
