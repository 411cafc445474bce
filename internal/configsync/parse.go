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

// maxKeyBytes bounds the length of valid keys and of keys in records.
const maxKeyBytes = len(document.ServiceKeyPrefix) + document.MaxNameBytes

// parsed is a parsed value. One of service, dataCentres and hosts is set, by the
// kind of the value.
type parsed struct {
	version     uint64
	service     *document.Service
	dataCentres *document.DataCentres
	hosts       *document.HostList
}

// Candidate is a value that can be offered to a State.
type Candidate struct {
	key      string
	raw      []byte
	parsed   parsed
	err      error
	unparsed bool // see UnparsedCandidate
}

// Parse parses and validates a value. It needs no State, so that the values of
// the first read can be parsed outside the goroutine that owns the State.
func Parse(key string, raw []byte) Candidate {
	p, err := parse(key, raw)
	return Candidate{key: key, raw: raw, parsed: p, err: err}
}

// UnparsedCandidate returns a value as a Candidate that has not been parsed, and
// reports whether the value is in effect. If it is not, the caller uses Parse.
// Most values that peers push arrive several times, and parsing each copy of a
// host list of thousands of hosts would take a tenth of a core.
func (s *State) UnparsedCandidate(key string, raw []byte) (Candidate, bool) {
	return Candidate{key: key, raw: raw, unparsed: true}, s.inEffect(key, raw)
}

// parse parses the value of key. The key determines the kind of the value.
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

// refusalReason returns the reason of rejection for an error of parse.
func refusalReason(err error) Refusal {
	faults, ok := strictyaml.AsFaults(err)
	if !ok {
		return RefusalMalformed
	}
	return Refusal(faults.Kind())
}

// checkVersion rejects e if it is older than the value in effect, or if it has
// the version of the value in effect or of a pending document but different
// content. A newer pending document does not prevent an older version from being
// accepted, so that the result does not depend on the order of arrival.
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

// claims returns the addresses that a value claims for its service: those of the
// service, of its commands and of its backend servers.
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
	other string // key of the other service, whose accepted document claims addr
}

func conflictError(conflicts []conflict) error {
	var faults document.Faults
	for _, c := range conflicts {
		name := strings.TrimPrefix(c.other, document.ServiceKeyPrefix)
		faults.Invalid("address", c.addr.String(), fmt.Sprintf("an address that service %s does not hold", name))
	}
	return faults
}
