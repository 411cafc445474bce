package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

const (
	// queryTimeout bounds the wait for the answer to an operator's question.
	queryTimeout = 2 * time.Second
	// maxQueries bounds the questions that wait for the traffic goroutine.
	maxQueries = 4
)

// query is a question to the traffic goroutine about its router.
type query func(r *affinity.Router, now time.Duration)

// askRouter lets the traffic goroutine answer a question.
func askRouter[T any](ctx context.Context, t *traffic, question func(r *affinity.Router, now time.Duration) T) (T, error) {
	var none T
	reply := make(chan T, 1)
	select {
	case t.queries <- func(r *affinity.Router, now time.Duration) { reply <- question(r, now) }:
		interrupt(t.conn)
	case <-ctx.Done():
		return none, errors.Wrap(ctx.Err(), "question not taken by the traffic goroutine")
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, errors.Wrap(ctx.Err(), "question not answered by the traffic goroutine")
	}
}

// operators answers what operators ask about a host. It is the admin.Source of a host that keeps flows by token.
type operators struct {
	host    *Host
	control *control
	traffic *traffic
}

// Status returns what the host believes.
func (o operators) Status(ctx context.Context) (admin.TokenStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	status, err := o.control.askStatus(ctx)
	if err != nil {
		return admin.TokenStatus{}, err
	}
	report, err := askRouter(ctx, o.traffic, (*affinity.Router).Report)
	if err != nil {
		return admin.TokenStatus{}, err
	}
	addReport(&status, &report)
	return status, nil
}

func (c *control) askStatus(ctx context.Context) (admin.TokenStatus, error) {
	reply := make(chan admin.TokenStatus, 1)
	c.post(ctx, statusEvent{reply: reply})
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return admin.TokenStatus{}, errors.Wrap(ctx.Err(), "question not answered by the control goroutine")
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
		Ready:         c.host.ready.Load(),
		Revision:      c.state.Revision(),
		RevisionFrom:  c.from,
		ConfigVersion: c.version,
		AgeMS:         c.host.ageMs(now),
		StoreAnswers:  !c.storeDown,
		Reader:        own && !c.leaving.Load(),
		ReaderHost:    reader.String(),
		ReaderAgeMS:   readerAge.Milliseconds(),
	}
	for _, h := range c.members.All() {
		s.Hosts = append(s.Hosts, h.Addr.String()+" "+h.DataCentre)
	}
	for dataCentre := range c.members.Unreachable(now) {
		s.Unreachable = append(s.Unreachable, dataCentre)
	}
	return s
}

// addReport adds what the traffic goroutine knows.
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

// Explain says where the packets of a flow go and why, as far as this host knows.
func (o operators) Explain(ctx context.Context, q admin.Query) (admin.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	key := affinity.FlowKey{Caller: q.Source, Service: q.Destination}
	e, err := askRouter(ctx, o.traffic, func(r *affinity.Router, now time.Duration) affinity.Explanation {
		return r.Explain(key, q.Token, now)
	})
	if err != nil {
		return admin.Explanation{}, err
	}
	ex := explanationText(&e, q)
	if !o.host.ready.Load() {
		ex.Steps = append([]string{"this host is not ready: the routers send it no packets"}, ex.Steps...)
	}
	return ex, nil
}

// explanationText puts an explanation into steps: the route, the flow and its token, then the ranks for a new flow.
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
		step("this host saw the flow first %s ago and last %s ago: %s, at %s (%s)", brief(f.Age), brief(f.LastPacket),
			ex.State, f.ID, serverText(&f.ServerReport))
	} else {
		step("this host has seen no packet of the flow lately; other hosts may have")
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
		crossing := ""
		if t.Spillover {
			crossing = "; the own data centre is too busy"
		}
		step("a new flow to service %s (weight %d, %d backend servers%s) takes the first of:", t.Service, t.Weight, t.Servers, crossing)
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

// serverText tells what the host believes of a backend server.
func serverText(s *affinity.ServerReport) string {
	text := fmt.Sprintf("%s in %s, %d flows here on %d slots", s.Eligibility, s.Place.DataCentre, s.Flows, s.Slots)
	if s.Cause != "" {
		text += ", cause " + s.Cause
	}
	if s.For > 0 {
		text += ", for " + brief(s.For)
	}
	if s.SinceAnswer < 0 {
		return text + ", no sign of life seen"
	}
	return text + ", sign of life " + brief(s.SinceAnswer) + " ago"
}

// brief returns a duration in milliseconds' precision.
func brief(d time.Duration) string { return d.Round(time.Millisecond).String() }
