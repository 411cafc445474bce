package affinity

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/withdrawal"
)

// Availability returns the backend servers of all services by data centre and region, whether or not the data centres are
// reachable. The counts are refreshed at the intervals of a scanLimiter. The slice is not modified later.
func (r *Router) Availability(now time.Duration) []withdrawal.Place {
	if !r.availabilityLimiter.due(now, r.availabilityScan) {
		return r.availability
	}
	places := make([]withdrawal.Place, 0, len(r.availability))
	r.availabilityScan = 0
	for _, sv := range r.services {
		for _, p := range sv.pools {
			p.refresh(now)
			r.availabilityScan += 1 + len(p.special)
			places = append(places, r.availabilityOf(sv, p, now))
		}
	}
	r.availability = places
	return places
}

// availabilityOf counts the backend servers of a pool. Lapsed ones are usable, but not listed.
func (r *Router) availabilityOf(sv *service, p *pool, now time.Duration) withdrawal.Place {
	ready := len(p.ready)
	place := withdrawal.Place{
		Service: sv.name, DataCentre: p.dataCentre, Out: r.view.OutDataCentres[p.dataCentre], Usable: ready, Listed: ready, Open: ready,
	}
	for _, s := range p.special {
		state := s.eligibility(now)
		if state == suspected || s.process.Ended() {
			place.Listed++
		}
		if s.present && !s.suspectOrSilent(now) {
			place.Open++
			if state == entryLapsed {
				place.Usable++
			}
		}
	}
	if r.view.RestoredColdUntil[p.dataCentre] > now {
		place.Usable, place.Listed = 0, 0
	}
	return place
}
