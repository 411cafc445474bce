package configsync

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/strictyaml"
)

// maxKeyBytes bounds the length of keys that are parsed and recorded.
const maxKeyBytes = len(document.ServiceKeyPrefix) + document.MaxNameBytes

// parsed is a value of one of the three kinds.
type parsed struct {
	version     uint64
	service     *document.Service
	dataCentres *document.DataCentres
	hosts       *document.HostList
}

// Candidate is a value that has not been offered yet.
type Candidate struct {
	key      string
	raw      []byte
	parsed   parsed
	err      error
	unparsed bool
}

// Parse parses and checks a value. It uses no State, so that the values of a
// first read can be parsed outside the goroutine that owns the State.
func Parse(key string, raw []byte) Candidate {
	p, err := parse(key, raw)
	return Candidate{key: key, raw: raw, parsed: p, err: err}
}

// Known returns a value as a Candidate without parsing it, if it is in effect.
// Most values that peers push arrive several times; parsing each copy of a host
// list of thousands of hosts would take a tenth of a core.
func (s *State) Known(key string, raw []byte) (Candidate, bool) {
	return Candidate{key: key, raw: raw, unparsed: true}, s.inEffect(key, raw)
}

// parse parses the value of key, which selects its kind.
func parse(key string, raw []byte) (parsed, error) {
	name, isService := strings.CutPrefix(key, document.ServiceKeyPrefix)
	dataCentre, isHostList := document.HostListKey(key)
	switch {
	case isService && document.ValidName(name):
		return parseService(name, raw)
	case key == document.DataCentresKey:
		d, err := document.ParseDataCentres(raw)
		if err != nil {
			return parsed{}, err
		}
		return parsed{version: d.Version, dataCentres: d}, nil
	case isHostList:
		h, err := document.ParseHostListOf(dataCentre, raw)
		if err != nil {
			return parsed{}, err
		}
		return parsed{version: h.Version, hosts: h}, nil
	default:
		var faults document.Faults
		faults.Invalid("key", strconv.Quote(key), "datacentres, hosts, hosts/<data centre> or services/<name>")
		return parsed{}, faults
	}
}

func parseService(name string, raw []byte) (parsed, error) {
	s, err := document.ParseService(raw)
	if err != nil {
		return parsed{}, err
	}
	if s.Name != name {
		var faults document.Faults
		faults.Invalid("service", strconv.Quote(s.Name), strconv.Quote(name)+", the name in the key")
		return parsed{}, faults
	}
	return parsed{version: s.Version, service: s}, nil
}

// refusalOf maps the faults of a value to a reason.
func refusalOf(err error) Refusal {
	faults, ok := strictyaml.AsFaults(err)
	if !ok {
		return RefusalMalformed
	}
	return Refusal(faults.Kind())
}

// checkVersion rejects e unless it is newer than the value in effect. A newer
// document that is held back does not prevent a version below it, so that the
// order in which versions arrive does not matter.
func (s *State) checkVersion(e *entry) (Refusal, error) {
	if known := s.values[e.Key]; known != nil && e.Version < known.Version {
		return RefusalOlderVersion, errors.Newf("version: %d; allowed: above %d, the version in effect", e.Version, known.Version)
	}
	for _, known := range []*entry{s.values[e.Key], s.pending[e.Key]} {
		if known != nil && e.Version == known.Version && e.Digest != known.Digest {
			return RefusalSameVersion, sameVersionError(e.Version, e.Digest, known.Digest)
		}
	}
	return RefusalNone, nil
}

func sameVersionError(version, digest, known uint64) error {
	return errors.Newf("version: %d with digest %016x; allowed: digest %016x, or a version above %d", version, digest, known, version)
}

// claims returns the addresses that a value claims for its service.
func (p *parsed) claims() []netip.AddrPort {
	s := p.service
	if s == nil {
		return nil
	}
	claims := []netip.AddrPort{netip.AddrPortFrom(s.Address, s.Port)}
	if s.Commands != nil {
		command := netip.AddrPortFrom(s.Commands.Address, s.Commands.Port)
		if command != claims[0] {
			claims = append(claims, command)
		}
	}
	for i := range s.DataCentres {
		for j := range s.DataCentres[i].BackendServers {
			claims = append(claims, s.DataCentres[i].BackendServers[j].AddrPort())
		}
	}
	return claims
}

// conflict is an address that two services claim.
type conflict struct {
	addr  netip.AddrPort
	other string // key of the service that holds the address
}

func conflictError(conflicts []conflict) error {
	var faults document.Faults
	for _, c := range conflicts {
		name := strings.TrimPrefix(c.other, document.ServiceKeyPrefix)
		faults.Invalid("address", c.addr.String(), fmt.Sprintf("an address that service %s does not hold", name))
	}
	return faults
}
