package demo

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// significantDigits is the precision of latencies.
const significantDigits = 3

// evaluate fills the report from the records of the callers and of the
// backend servers.
func (r *run) evaluate() {
	backends := r.fleet.Backends()
	rep := &r.report
	rep.Deployment, rep.Seed = r.cfg.Deployment, r.cfg.Seed
	rep.EntryHosts, rep.BackendServers = len(r.hostByID), len(backends)
	rep.ConfigSpreadMS = r.spread.Milliseconds()
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
	rep.judge()
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
		if r.duringMove(r.load.attempts[i]) {
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

// servedBy returns the backend server process that served a flow, also when
// the flow was reset before its first answer.
func servedBy(f *standin.FlowResult) uint64 {
	if f.Instance != 0 {
		return f.Instance
	}
	return uint64(f.AcceptedInstance)
}

// describe classifies a broken flow. Flows of the data centre that was taken
// out may be lost once it is out.
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

// lastEvent returns the name of the newest event before t.
func (r *run) lastEvent(t time.Time) string {
	name := "start"
	for _, e := range r.report.Events {
		if t.Sub(r.start).Milliseconds() >= e.AtMS {
			name = e.Name
		}
	}
	return name
}

func (r *run) duringMove(t time.Time) bool {
	return t.After(r.takenOut) && t.Before(r.takenBack)
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
	took := hdrhistogram.New(1, commandGiveUp.Milliseconds(), significantDigits)
	for i, c := range r.load.commands {
		if c.Outcome == standin.CommandAnswered {
			_ = took.RecordValue(c.Elapsed.Milliseconds()) // bounded by commandGiveUp
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
	rep.CommandMS = Latency{P50: took.ValueAtQuantile(50), P99: took.ValueAtQuantile(99), Max: took.Max()}
}

// imbalance returns the greatest ratio of a backend server's flows to the mean
// of its service, over the servers that could take flows all the time.
func (r *run) imbalance() float64 {
	byService := map[string][]float64{}
	for _, b := range r.initialSet {
		if b != r.drained && b.DataCentre() != r.outDC {
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
