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

// published is one publication of a value.
type published struct {
	number int // unique among all publications of all keys
	since  time.Time
	raw    []byte
}

// platformState is a fake of the platform's configuration service.
type platformState struct {
	state      string // up, down, or stale, which serves the values of staleSince
	staleSince time.Time
	keys       []string
	history    map[string][]published // by key, oldest first
	lastNumber int
}

// read returns the value that the platform served at a time, or the first value
// if there was none at that time. It returns false for an unknown key.
func (p *platformState) read(key string, at time.Time) (published, bool) {
	if p.state == "stale" && p.staleSince.Before(at) {
		at = p.staleSince
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
	p.lastNumber++
	p.history[key] = append(p.history[key], published{p.lastNumber, now, raw})
}

// publish increments the version of a value and publishes it on the platform.
func (f *fleet) publish(key string, version *uint64, value any) {
	*version++
	raw, err := yaml.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: the documents of this package can be encoded
	}
	f.platform.put(f.clock.now, key, raw)
}

// publishService publishes the document of a service with its listed backend
// servers.
func (f *fleet) publishService(name string) {
	doc := f.documents[name]
	doc.DataCentres = nil
	for _, b := range f.backendOrder {
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

// publishAgain publishes the unchanged content of a document under the next
// version.
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
	f.lastTakenOut[e.DataCentre] = f.clock.now
	f.dataCentres.Out = append(f.dataCentres.Out, e.DataCentre)
	f.publishDataCentres()
}

func (f *fleet) dataCentreIn(e *Event) {
	delete(f.outSince, e.DataCentre)
	f.dataCentres.Out = slices.DeleteFunc(slices.Clone(f.dataCentres.Out), func(dc string) bool { return dc == e.DataCentre })
	f.publishDataCentres()
}

func (f *fleet) setPlatform(e *Event) { f.platform.state, f.platform.staleSince = e.State, f.clock.now }

// listHost sets the state of a host in the host list, or removes it if the state
// is absent, and publishes the list.
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
