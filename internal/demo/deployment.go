package demo

import (
	"io/fs"
	"net/netip"
	"path"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Deployment is the set of documents that the platform publishes for one
// organisation.
type Deployment struct {
	Hosts       document.HostList
	DataCentres document.DataCentres
	Services    []*document.Service
}

// LoadDeployment reads a deployment directory and maps its loopback addresses to
// 127.network.0.0/16, so that concurrent runs on one machine do not conflict.
func LoadDeployment(files fs.FS, dir string, network byte) (*Deployment, error) {
	d := &Deployment{}
	hosts, err := readValue(files, path.Join(dir, "hosts.yaml"), document.ParseHostList)
	if err != nil {
		return nil, err
	}
	centres, err := readValue(files, path.Join(dir, "datacentres.yaml"), document.ParseDataCentres)
	if err != nil {
		return nil, err
	}
	d.Hosts, d.DataCentres = *hosts, *centres
	names, err := fs.Glob(files, path.Join(dir, "services", "*.yaml"))
	if err != nil {
		return nil, errors.Wrap(err, "services")
	}
	for _, name := range names {
		s, err := readValue(files, name, document.ParseService)
		if err != nil {
			return nil, err
		}
		d.Services = append(d.Services, s)
	}
	d.remapLoopback(network)
	return d, nil
}

func readValue[T any](files fs.FS, name string, parse func([]byte) (*T, error)) (*T, error) {
	raw, err := fs.ReadFile(files, name)
	if err != nil {
		return nil, errors.Wrap(err, "deployment")
	}
	v, err := parse(raw)
	return v, errors.Wrapf(err, "deployment %s", name)
}

// remapLoopback sets the second byte of all addresses of hosts and backend servers.
// It clears the load URLs, which are set when the backend servers start.
func (d *Deployment) remapLoopback(network byte) {
	for i := range d.Hosts.Hosts {
		d.Hosts.Hosts[i].Address = remapAddr(d.Hosts.Hosts[i].Address, network)
	}
	for _, s := range d.Services {
		for i := range s.DataCentres {
			for j := range s.DataCentres[i].BackendServers {
				b := &s.DataCentres[i].BackendServers[j]
				b.Address = remapAddr(b.Address, network)
				b.LoadURL = ""
			}
		}
	}
}

func remapAddr(a netip.Addr, network byte) netip.Addr {
	b := a.As4()
	b[1] = network
	return netip.AddrFrom4(b)
}

// encode returns a value as YAML, the format that the platform publishes.
func encode(v any) ([]byte, error) {
	raw, err := yaml.Marshal(v)
	return raw, errors.Wrap(err, "encode value")
}
