package daemon

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/flow"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// Status returns the state of this entry host for operators.
func (d *Daemon) Status(ctx context.Context) (admin.Status, error) {
	return runOnControl(ctx, d, func(c *control, now time.Time) admin.Status { return c.status(now) })
}

func (c *control) status(now time.Time) admin.Status {
	s, d := c.d.settings, c.d
	accepted := c.config.Current()
	st := admin.Status{
		Affinity:     admin.ByOwners,
		ID:           s.HostID,
		DataCentre:   s.DataCentre,
		Region:       s.Region,
		Version:      d.version,
		UptimeMS:     now.Sub(d.started).Milliseconds(),
		Serving:      c.serving,
		Leaving:      c.leaving,
		Majority:     c.members.Majority(c.dataCentresOut()),
		NoQuorum:     c.servicesWithoutQuorum(),
		Flows:        d.table.Len(),
		PlatformRead: "ok",
	}
	if c.platformError != "" {
		st.PlatformRead = c.platformError
	}
	if dc := accepted.DataCentres; dc != nil {
		st.DataCentres = admin.DataCentreStatus{Version: dc.Version, Out: dc.Out}
	}
	for _, m := range c.members.Members() {
		st.Hosts = append(st.Hosts, admin.HostStatus{ID: m.Host.ID, DataCentre: m.Host.DataCentre, State: m.Status.String()})
	}
	for name := range accepted.Services {
		st.Services = append(st.Services, c.serviceStatus(name))
	}
	slices.SortFunc(st.Services, func(a, b admin.ServiceStatus) int { return strings.Compare(a.Name, b.Name) })
	for _, r := range c.config.Refusals() {
		st.Refusals = append(st.Refusals, admin.Refusal{
			Key: r.Key, Version: r.Version, Reason: string(r.Reason), Detail: r.Error, At: r.Last.UTC().Format(time.RFC3339),
		})
	}
	return st
}

func (c *control) serviceStatus(name string) admin.ServiceStatus {
	doc := c.config.Current().Services[name]
	st := admin.ServiceStatus{Name: name, Version: doc.Version}
	if v, ok := c.config.Get(document.ServiceKeyPrefix + name); ok {
		st.Digest = fmt.Sprintf("%016x", v.Digest)
	}
	snap := c.d.snapshot.Load()
	svc := snap.ByName.Get(name)
	if svc == nil {
		return st
	}
	for _, b := range svc.Backends {
		st.Backends = append(st.Backends, c.backendStatus(b))
	}
	return st
}

// dataCentresOut returns the data centres that are out of service.
func (c *control) dataCentresOut() []string {
	if dc := c.config.Current().DataCentres; dc != nil {
		return dc.Out
	}
	return nil
}

// Explain returns where a flow is sent and the steps of that decision.
func (d *Daemon) Explain(_ context.Context, q admin.Query) (admin.Explanation, error) {
	snap := d.snapshot.Load()
	k := packet.NewKey(q.Source, q.Destination, q.Proto)
	var ex admin.Explanation
	step := func(format string, args ...any) { ex.Steps = append(ex.Steps, fmt.Sprintf(format, args...)) }
	if !snap.Serving {
		step("this entry host drops traffic: it has not compared versions with a peer yet")
	}
	svc := snap.Services.Get(route.ServiceAddr{Addr: q.Destination.Addr(), Port: q.Destination.Port(), Proto: q.Proto})
	if svc == nil {
		step("no accepted document names %s; packets are dropped as no_service", q.Destination)
		return ex, nil
	}
	ex.Service = svc.Name
	ex.Ownership = &admin.Ownership{
		Bucket:    int(k.Hash() % route.Buckets),
		Primary:   hostName(snap, svc.Primary(k)),
		Secondary: hostName(snap, svc.Secondary(k)),
	}
	step("service %s, bucket %d", svc.Name, ex.Bucket)
	step("primary owner %s, secondary owner %s", ex.Primary, ex.Secondary)
	if svc.CommandAddr.Addr == q.Destination.Addr() && svc.CommandAddr.Port == q.Destination.Port() {
		step("commands of this caller are claimed at the primary owner and run through the admitting host of the chosen backend server")
		return ex, nil
	}
	e, ok := d.table.Peek(k, k.Hash())
	if !ok {
		step("no entry here; packets are looked up at the owners")
		return ex, nil
	}
	ex.State, ex.Backend = stateName(e.State), netip.AddrPortFrom(netip.AddrFrom16(e.Addr).Unmap(), e.Port).String()
	step("entry here: %s, backend server %s, instance %d", ex.State, ex.Backend, e.Instance)
	return ex, nil
}

// Placement returns which owners would decide about a new flow. They choose the backend server when its first packet arrives.
func (d *Daemon) Placement(ctx context.Context, q admin.Query) (admin.Placement, error) {
	ex, err := d.Explain(ctx, q)
	if err != nil {
		return admin.Placement{}, err
	}
	snap := d.snapshot.Load()
	p := admin.Placement{
		Host: d.settings.HostID, DataCentre: d.settings.DataCentre, Ready: snap.Serving, Decision: "forward", Reason: "owner_decides",
		Service: ex.Service, Server: ex.Backend, Notes: ex.Steps,
	}
	if ex.Service == "" {
		p.Decision, p.Reason = "drop", "no_service"
	}
	return p, nil
}

func hostName(s *route.Snapshot, i uint16) string {
	if id := hostID(s, i); id != "" {
		return id
	}
	return "none"
}

var stateNames = map[flow.State]string{
	flow.Guess:     "guess",
	flow.Tentative: "tentative",
	flow.Settled:   "settled",
	flow.Proven:    "proven",
}

func (c *control) backendStatus(b *route.Backend) admin.BackendStatus {
	st := admin.BackendStatus{
		Addr:       b.Addr.String(),
		DataCentre: b.DataCentre,
		Verdict:    "judged by the owner group",
		Weight:     b.Weight,
		Instance:   b.Instance,
	}
	if limit := c.limits.backends[b.Addr]; limit != nil {
		st.Verdict = verdictText(c.limits.verdicts[b.Addr])
		st.Flows, st.NewFlows = limit.charged, max(limit.budget.Left(), 0)
	}
	return st
}

func stateName(s flow.State) string { return stateNames[s] }

func verdictText(v health.Verdict) string {
	if v.Usable && v.Reason == health.ReasonNone {
		return "usable"
	}
	if v.Usable {
		return "usable, " + v.Reason.String()
	}
	return v.Reason.String()
}
