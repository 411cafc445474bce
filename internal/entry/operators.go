package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/overload"
	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

const (
	// queryTimeout limits the time to answer an operator's query.
	queryTimeout = 2 * time.Second
	// maxQueries is the maximum number of queries that wait for the traffic goroutine.
	maxQueries = 4
)

// query reads the state of the router. The traffic goroutine runs it.
type query func(r *affinity.Router, now time.Duration)

// queryRouter runs read in the traffic goroutine and returns its result.
func queryRouter[T any](ctx context.Context, t *traffic, read func(r *affinity.Router, now time.Duration) T) (T, error) {
	var zero T
	reply := make(chan T, 1)
	select {
	case t.queries <- func(r *affinity.Router, now time.Duration) { reply <- read(r, now) }:
		interrupt(t.conn)
	case <-ctx.Done():
		return zero, errors.Wrap(ctx.Err(), "query not accepted by the traffic goroutine")
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return zero, errors.Wrap(ctx.Err(), "query not answered by the traffic goroutine")
	}
}

// operators answers operators' queries about a host. It implements admin.Source for hosts that keep flows by token.
type operators struct {
	host    *Host
	control *control
	traffic *traffic
}

// Status returns the state of the host, including the registry and the flows.
func (o operators) Status(ctx context.Context) (admin.TokenStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	status, err := o.control.queryStatus(ctx)
	if err != nil {
		return admin.TokenStatus{}, err
	}
	report, err := queryRouter(ctx, o.traffic, (*affinity.Router).Report)
	if err != nil {
		return admin.TokenStatus{}, err
	}
	addReport(&status, &report)
	limits, err := queryRouter(ctx, o.traffic, func(r *affinity.Router, now time.Duration) []overload.Report {
		return r.Admission().Report(now)
	})
	if err != nil {
		return admin.TokenStatus{}, err
	}
	for _, l := range limits {
		status.Limits = append(status.Limits, admin.LimitStatus(l))
	}
	return status, nil
}

// queryStatus returns the part of the status that the control goroutine owns.
func (c *control) queryStatus(ctx context.Context) (admin.TokenStatus, error) {
	reply := make(chan admin.TokenStatus, 1)
	c.post(ctx, statusEvent{reply: reply})
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return admin.TokenStatus{}, errors.Wrap(ctx.Err(), "query not answered by the control goroutine")
	}
}

func (c *control) status() admin.TokenStatus {
	now := c.host.now()
	own, reader, readerAge := c.members.Reader(now)
	s := admin.TokenStatus{
		Affinity:      admin.ByToken,
		Host:          c.host.config.Name,
		Version:       c.host.config.Version,
		DataCentre:    c.host.config.DataCentre,
		UptimeMS:      now.Milliseconds(),
		Ready:         c.host.takesPackets(),
		Era:           c.state.Version().Era,
		Revision:      c.state.Revision(),
		RevisionFrom:  c.origin,
		ConfigVersion: c.version,
		AgeMS:         c.host.ageMs(now),
		StoreAnswers:  !c.storeDown,
		Reader:        own && !c.host.leaving.Load(),
		ReaderHost:    reader.String(),
		ReaderAgeMS:   readerAge.Milliseconds(),
	}
	c.withdrawal.addStatus(&s, now)
	s.Withdrawal.Yielding = c.host.yielding.Load()
	for _, h := range c.members.All() {
		s.Hosts = append(s.Hosts, h.Addr.String()+" "+h.DataCentre)
	}
	for dataCentre := range c.members.Unreachable(now) {
		s.Unreachable = append(s.Unreachable, dataCentre)
	}
	return s
}

// addReport adds the router's report to a status.
func addReport(s *admin.TokenStatus, r *affinity.Report) {
	s.Flows, s.Routes = r.Flows, r.Routes
	for _, p := range r.Places {
		s.Places = append(s.Places, admin.PlaceStatus{
			Service: p.Service, DataCentre: p.DataCentre, Servers: p.Servers, Avoided: p.Avoided, Slots: p.Slots,
			Flows: p.Flows, OtherFlows: p.OtherFlows,
		})
	}
	for _, a := range r.Avoided {
		avoided := admin.AvoidedStatus{
			Server: a.ID, Service: a.Place.Service, DataCentre: a.Place.DataCentre, Why: a.Eligibility, Cause: a.Cause,
			ForMS: a.For.Milliseconds(), Flows: a.Flows, SignMS: -1,
		}
		if a.SinceAnswer >= 0 {
			avoided.SignMS = a.SinceAnswer.Milliseconds()
		}
		s.Avoided = append(s.Avoided, avoided)
	}
}

// Explain explains where the packets of a flow are sent and why, by the state of this host.
func (o operators) Explain(ctx context.Context, q admin.Query) (admin.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	key := affinity.FlowKey{Caller: q.Source, Service: q.Destination}
	e, err := queryRouter(ctx, o.traffic, func(r *affinity.Router, now time.Duration) affinity.Explanation {
		return r.Explain(key, q.Token, now)
	})
	if err != nil {
		return admin.Explanation{}, err
	}
	ex := explanationText(&e, q)
	if !o.host.takesPackets() {
		ex.Steps = append([]string{"this host is not ready: the routers send it no packets"}, ex.Steps...)
	}
	return ex, nil
}

// explanationText describes an explanation in steps: the route, the flow and its token, then the ranking of the backend
// servers for a new flow.
func explanationText(e *affinity.Explanation, q admin.Query) admin.Explanation {
	var ex admin.Explanation
	step := func(format string, args ...any) { ex.Steps = append(ex.Steps, fmt.Sprintf(format, args...)) }
	switch {
	case e.RouteRemoved:
		step("the route of %s was removed; its packets are answered with a reset", q.Destination)
	case !e.RouteKnown:
		step("no route for %s; opening packets are answered with a reset", q.Destination)
	case len(e.Targets) == 0:
		step("the route of %s names no service with a weight; opening packets are answered with a reset", q.Destination)
	default:
		ex.Service = e.Targets[0].Service
	}
	explainFlow(e, q, &ex, step)
	if !e.RouteRemoved {
		explainNewFlow(e, step)
	}
	return ex
}

func explainFlow(e *affinity.Explanation, q admin.Query, ex *admin.Explanation, step func(string, ...any)) {
	if f := e.Remembered; f != nil {
		ex.Backend, ex.State = f.ID, flowState(f)
		step("this host saw the flow first %s ago and last %s ago: %s, at %s (%s)", formatDuration(f.Age), formatDuration(f.LastPacket),
			ex.State, f.ID, serverText(&f.ServerReport))
	} else {
		step("this host has seen no packet of the flow recently; other hosts may have")
	}
	switch {
	case q.Token == 0:
	case e.Named == nil:
		step("token %d names no backend server known here: later packets are dropped at first, then reset", q.Token)
	case !e.RouteRemoved:
		ex.Backend = e.Named.ID
		step("token %d names %s (%s): later packets go there, unless it is lost", q.Token, e.Named.ID, serverText(e.Named))
	}
}

func explainNewFlow(e *affinity.Explanation, step func(string, ...any)) {
	for _, t := range e.Targets {
		spillover := ""
		if t.Spillover {
			spillover = "; the own data centre is too busy"
		}
		step("a new flow to service %s (weight %d, %d backend servers%s) takes the first of:", t.Service, t.Weight, t.Servers, spillover)
		if len(t.Candidates) == 0 {
			step("  none: it is answered with a reset")
		}
		for i := range t.Candidates {
			c := &t.Candidates[i]
			step("  %s, %s, %s", c.ID, c.Preference, serverText(c))
		}
	}
}

func flowState(f *affinity.FlowExplanation) string {
	switch {
	case f.Closed:
		return "closing"
	case f.Open:
		return "open"
	}
	return "opening"
}

// serverText describes the state of a backend server by the information of this host.
func serverText(s *affinity.ServerReport) string {
	text := fmt.Sprintf("%s in %s, %d flows here on %d slots", s.Eligibility, s.Place.DataCentre, s.Flows, s.Slots)
	if s.Cause != "" {
		text += ", cause " + s.Cause
	}
	if s.For > 0 {
		text += ", for " + formatDuration(s.For)
	}
	text += workText(&s.Work)
	if s.SinceAnswer < 0 {
		return text + ", no answer observed"
	}
	return text + ", last answer " + formatDuration(s.SinceAnswer) + " ago"
}

// workText describes what a host knows of the requests at a backend server.
func workText(w *work.State) string {
	text := fmt.Sprintf(", %d requests running, work %.2f, ", w.Running, w.Work)
	if w.Samples == 0 {
		return text + "speed not measured"
	}
	text += fmt.Sprintf("speed %d%% by %d callers", percent(w.Speed), w.Samples)
	if w.Age >= 0 {
		text += ", the latest " + formatDuration(w.Age) + " ago"
	}
	return text
}

// formatDuration formats a duration rounded to milliseconds.
func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }
