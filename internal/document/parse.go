package document

import (
	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/strictyaml"
)

// Fault is one reason why a value is rejected.
type Fault = strictyaml.Fault

// Faults lists every fault of a value. It is the error of the parsers.
type Faults = strictyaml.Faults

// ParseService parses and checks a service document. The error is of type
// Faults and lists every fault.
func ParseService(raw []byte) (*Service, error) {
	return parse(raw, (*Service).check)
}

// ParseDataCentres parses and checks the data centre state.
func ParseDataCentres(raw []byte) (*DataCentres, error) {
	return parse(raw, (*DataCentres).check)
}

// ParseHostList parses and checks the list of entry hosts.
func ParseHostList(raw []byte) (*HostList, error) {
	return parse(raw, (*HostList).check)
}

func parse[T any](raw []byte, check func(*T) Faults) (*T, error) {
	v := new(T)
	faults := strictyaml.Decode(raw, MaxValueBytes, v)
	if len(faults) > 0 && (faults.Kind() == strictyaml.Malformed || faults.Kind() == strictyaml.TooLarge) {
		return nil, faults
	}
	faults.Merge(check(v))
	if len(faults) > 0 {
		return nil, faults
	}
	return v, nil
}

// Digest identifies the content of a value.
func Digest(raw []byte) uint64 {
	return xxhash.Sum64(raw)
}
