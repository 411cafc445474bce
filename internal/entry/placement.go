package entry

import (
	"context"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

var placementText = [...]string{affinity.Drop: "drop", affinity.Forward: "forward", affinity.Reject: "reject", affinity.Hold: "wait"}

// Placement states where a new flow would go now. It has no effect on the flow or on later ones.
func (o operators) Placement(ctx context.Context, q admin.Query) (admin.Placement, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	key := affinity.FlowKey{Caller: q.Source, Service: q.Destination}
	preview, err := queryRouter(ctx, o.traffic, func(r *affinity.Router, now time.Duration) affinity.Preview {
		return r.Preview(key, now)
	})
	if err != nil {
		return admin.Placement{}, err
	}
	p := placementOf(&preview)
	p.Host, p.DataCentre, p.Ready = o.host.config.Name, o.host.config.DataCentre, o.host.takesPackets()
	if !p.Ready {
		p.Notes = append(p.Notes, "this host is not ready: the routers send it no packets")
	}
	return p, nil
}

func placementOf(preview *affinity.Preview) admin.Placement {
	p := admin.Placement{
		Decision: placementText[preview.Action], Reason: preview.Reason.String(), Route: preview.Route, Service: preview.Service,
		Full: preview.Full,
	}
	if preview.Server != nil {
		p.Server = preview.Server.ID
	}
	for _, t := range preview.Targets {
		if t.Spillover {
			p.Notes = append(p.Notes, "service "+t.Service+": flows spill over, since the own data centre is too busy")
		}
		for i := range t.Candidates {
			p.Candidates = append(p.Candidates, candidateOf(&t.Candidates[i]))
		}
	}
	return p
}

func candidateOf(s *affinity.ServerReport) admin.Candidate {
	c := admin.Candidate{
		Server: s.ID, Service: s.Place.Service, DataCentre: s.Place.DataCentre, Preference: s.Preference.String(), Why: s.Eligibility,
		Cause: s.Cause, Slots: s.Slots, Flows: s.Flows, Running: s.Work.Running, Work: round(s.Work.Work), Speed: round(s.Work.Speed),
		Samples: s.Work.Samples, SampleAgeMS: -1,
	}
	if s.Work.Age >= 0 {
		c.SampleAgeMS = s.Work.Age.Milliseconds()
	}
	return c
}
