package replay

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

var errPlatformDown = errors.New("platform is down")

// published is a value as the platform has it since a time.
type published struct {
	number int // distinguishes all publications
	since  time.Time
	raw    []byte
}

// platformState is the fake of the platform's configuration service.
type platformState struct {
	state   string // up, down, or stale: serves what it had when it became stale
	frozen  time.Time
	keys    []string
	history map[string][]published
	numbers int
}

// read returns the value that the platform served at a time, or the first one.
func (p *platformState) read(key string, at time.Time) (published, bool) {
	if p.state == "stale" && p.frozen.Before(at) {
		at = p.frozen
	}
	history := p.history[key]
	for i := len(history) - 1; i >= 0; i-- {
		if i == 0 || !history[i].since.After(at) {
			return history[i], len(history) > 0
		}
	}
	return published{}, false
}

func (p *platformState) put(now time.Time, key string, raw []byte) {
	if !slices.Contains(p.keys, key) {
		p.keys = append(p.keys, key)
	}
	p.numbers++
	p.history[key] = append(p.history[key], published{p.numbers, now, raw})
}

// publish makes the next version of a value known to the platform.
func (f *fleet) publish(key string, version *uint64, value any) {
	*version++
	raw, err := yaml.Marshal(value)
	if err != nil {
		panic(err) // the documents of this package can be encoded
	}
	f.platform.put(f.clock.now, key, raw)
}

func (f *fleet) publishService(name string) {
	doc := f.documents[name]
	doc.DataCentres = nil
	for _, b := range f.order {
		if b.service != name || !b.listed {
			continue
		}
		i := slices.IndexFunc(doc.DataCentres, func(dc document.DataCentre) bool { return dc.Name == b.dataCentre })
		if i < 0 {
			i = len(doc.DataCentres)
			doc.DataCentres = append(doc.DataCentres, document.DataCentre{Name: b.dataCentre})
		}
		dc := &doc.DataCentres[i]
		dc.BackendServers = append(dc.BackendServers, document.BackendServer{
			Address: b.addr.Addr(), Port: b.addr.Port(), LoadURL: "http://" + netip.AddrPortFrom(b.addr.Addr(), b.addr.Port()+1).String() + "/load",
			Connections: b.cfg.Connections, Slots: b.cfg.Slots, Draining: b.draining,
			Cold: document.Cold{Connections: b.cfg.ColdConnections, Slots: b.cfg.ColdSlots, Ramp: b.cfg.Ramp},
		})
	}
	f.publish(document.ServiceKeyPrefix+name, &doc.Version, doc)
}

func (f *fleet) publishAgain(e *Event) { f.publishService(e.Service) }

// publishOld makes the platform serve an earlier version of a document.
func (f *fleet) publishOld(e *Event) {
	key := document.ServiceKeyPrefix + e.Service
	if history := f.platform.history[key]; e.Version <= len(history) {
		f.platform.put(f.clock.now, key, history[e.Version-1].raw)
	}
}

func (f *fleet) publishDataCentres() {
	f.publish(document.DataCentresKey, &f.dataCentres.Version, &f.dataCentres)
}

func (f *fleet) dataCentreOut(e *Event) {
	f.outSince[e.DataCentre] = f.clock.now
	f.lastOut[e.DataCentre] = f.clock.now
	f.dataCentres.Out = append(f.dataCentres.Out, e.DataCentre)
	f.publishDataCentres()
}

func (f *fleet) dataCentreIn(e *Event) {
	delete(f.outSince, e.DataCentre)
	f.dataCentres.Out = slices.DeleteFunc(slices.Clone(f.dataCentres.Out), func(dc string) bool { return dc == e.DataCentre })
	f.publishDataCentres()
}

func (f *fleet) setPlatform(e *Event) { f.platform.state, f.platform.frozen = e.State, f.clock.now }

// listHost changes a host on the platform's list.
func (f *fleet) listHost(e *Event) {
	f.setListed(f.hosts[e.Host], e.State)
	f.publish(document.HostsKey, &f.hostList.Version, &f.hostList)
}

func (f *fleet) setListed(h *host, state string) {
	list := slices.DeleteFunc(slices.Clone(f.hostList.Hosts), func(o document.Host) bool { return o.ID == h.id })
	if state != "absent" {
		list = append(list, document.Host{
			ID: h.id, DataCentre: h.dataCentre, Region: f.trace.Region, Address: h.peer.Addr(),
			PeerPort: h.peer.Port(), GUEPort: h.gue.Port(), State: document.HostState(state),
		})
	}
	f.hostList.Hosts = list
}
