package withdrawal

// Demand is a part of the recent demand of a host's callers.
type Demand struct {
	Service    string
	DataCentre string  // of the backend servers, for requests on open flows; empty for new flows
	Requests   float64 // weighted by age
}

// Place describes the backend servers of a service in a data centre. There may be several for the same pair.
type Place struct {
	Service    string
	DataCentre string
	Out        bool // the data centre is taken out
	Usable     int  // backend servers that may get new flows, by the registry and by the evidence of this host
	Listed     int  // the same by the registry only
	Open       int  // backend servers that can serve open flows, by the evidence of this host
}

// Assessment states how much of its demand a host can serve.
type Assessment struct {
	Demand           float64 // requests
	Served           float64 // those for which a backend server is available here; open flows that may be lost count less
	FallbackRequests float64 // those of the others that the data centre Fallback has backend servers for
	Fallback         string  // unreachable data centre that could serve most of the others
	Reason           Reason  // why the rest is not served
}

// votesToWithdraw reports whether less than half of the demand can be served and another data centre serves at least half of the
// rest.
func (a *Assessment) votesToWithdraw() bool {
	return 2*a.Served < a.Demand && a.Fallback != "" && 2*a.FallbackRequests >= a.Demand-a.Served
}

// openFlowWeight is the weight, against new flows, of requests on open flows to backend servers of a data centre that is taken
// out. These flows may be lost: each costs its caller one attempt, while new flows that are rejected cost all attempts.
const openFlowWeight = 0.75

// minDemand is the number of requests from which the demand of a host is its measure. With less, all services count alike.
const minDemand = 1

// service is what the host knows of a service in demand.
type service struct {
	usable    bool
	fallbacks []string // unreachable data centres with backend servers of the service
}

// assess compares a demand with the backend servers that the host can reach.
func assess(in *Input, demand []Demand) Assessment {
	if total(demand) < minDemand {
		demand = evenDemand(in.Places)
	}
	a := Assessment{Demand: total(demand)}
	if a.Demand == 0 {
		return a
	}
	a.Reason = in.reason()
	services, open := in.survey(demand)
	fallbackRequests := map[string]float64{}
	for _, d := range demand {
		s := services[d.Service]
		served := 0.0
		switch {
		case d.DataCentre == "" && s.usable:
			served = d.Requests
		case d.DataCentre == "" || !open[Demand{Service: d.Service, DataCentre: d.DataCentre}]:
		case d.DataCentre == in.DataCentre && a.Reason == TakenOut:
			served = openFlowWeight * d.Requests
		default:
			served = d.Requests
		}
		a.Served += served
		for _, dataCentre := range s.fallbacks {
			fallbackRequests[dataCentre] += d.Requests - served
		}
	}
	for dataCentre, requests := range fallbackRequests {
		if requests > a.FallbackRequests || requests == a.FallbackRequests && dataCentre < a.Fallback {
			a.Fallback, a.FallbackRequests = dataCentre, requests
		}
	}
	return a
}

// survey returns the state of the services in demand, and the places whose open flows the host can serve.
func (in *Input) survey(demand []Demand) (map[string]*service, map[Demand]bool) {
	services := make(map[string]*service, len(demand))
	for _, d := range demand {
		services[d.Service] = &service{}
	}
	open := map[Demand]bool{}
	for i := range in.Places {
		p := &in.Places[i]
		s := services[p.Service]
		switch {
		case s == nil:
		case p.DataCentre != in.DataCentre && in.Unreachable[p.DataCentre]:
			// Evidence of this host against these servers only shows that it does not reach them.
			if p.Listed > 0 && !p.Out {
				s.fallbacks = append(s.fallbacks, p.DataCentre)
			}
		default:
			s.usable = s.usable || p.Usable > 0 && !p.Out
			if p.Open > 0 {
				open[Demand{Service: p.Service, DataCentre: p.DataCentre}] = true
			}
		}
	}
	return services, open
}

// reason returns why backend servers are missing.
func (in *Input) reason() Reason {
	for i := range in.Places {
		if in.Places[i].DataCentre == in.DataCentre && in.Places[i].Out {
			return TakenOut
		}
	}
	return NoBackendServer
}

func total(demand []Demand) float64 {
	sum := 0.0
	for _, d := range demand {
		sum += d.Requests
	}
	return sum
}

// evenDemand returns one request for each service that has backend servers somewhere.
func evenDemand(places []Place) []Demand {
	var demand []Demand
	seen := map[string]bool{}
	for i := range places {
		if p := &places[i]; p.Listed > 0 && !seen[p.Service] {
			seen[p.Service] = true
			demand = append(demand, Demand{Service: p.Service, Requests: 1})
		}
	}
	return demand
}
