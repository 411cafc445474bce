// Package check validates files for the check command: settings, service
// documents, data centre state, host lists, or a directory of them.
package check

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/configsync"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/entry"
	"github.com/nutmeglatch/nutmeglatch/internal/kvstore"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
	"github.com/nutmeglatch/nutmeglatch/internal/strictyaml"
)

// Kind is the kind of a checked file.
type Kind string

// Kinds of files.
const (
	KindSettings    Kind = "settings"
	KindEntry       Kind = "entry"
	KindService     Kind = "service"
	KindDataCentres Kind = "datacentres"
	KindHosts       Kind = "hosts"
	KindDirectory   Kind = "directory"
	KindUnknown     Kind = "unknown"
)

// Fault is a fault in a file.
type Fault struct {
	File string `json:"file"`
	strictyaml.Fault
}

// String states the file and the fault.
func (f Fault) String() string { return f.File + ": " + f.Fault.String() }

// kindFields holds the top-level fields that occur in only one kind of file.
var kindFields = []struct {
	kind   Kind
	fields []string
}{
	{KindSettings, []string{"host_id", "peer_key", "fabric_return", "platform", "gue"}},
	{KindEntry, []string{"entry"}},
	{KindService, []string{"service", "data_centres", "flow_idle"}},
	{KindHosts, []string{"hosts", "leaving_backend_servers"}},
	{KindDataCentres, []string{"out"}},
}

// Check checks a file, or the files of a directory and their consistency. It
// returns an error only when the path cannot be read; an invalid file has
// faults.
func Check(path string) (Kind, []Fault, error) {
	info, err := os.Stat(path)
	if err != nil {
		return KindUnknown, nil, err
	}
	if info.IsDir() {
		faults, err := checkDirectory(path)
		return KindDirectory, faults, err
	}
	raw, err := kvstore.ReadFile(path, document.MaxValueBytes+1)
	if err != nil {
		return KindUnknown, nil, err
	}
	kind := detectKind(filepath.Base(path), raw)
	if dataCentre, ok := hostListDataCentre(path); ok && (kind == KindHosts || kind == KindUnknown) {
		_, err := document.ParseHostListOf(dataCentre, raw)
		return KindHosts, withFile(path, err), nil
	}
	return kind, withFile(path, checkAs(kind, raw)), nil
}

// duplicateHosts returns a fault for each host that several host lists name. Only
// one of the entries takes effect, which the author of the other does not expect.
// Entries of the list of all data centres, whose key in lists is empty, are
// ignored for data centres that have a list of their own.
func duplicateHosts(root string, lists map[string]*document.HostList) []Fault {
	var faults []Fault
	first := map[string]string{} // data centre of the first list that names a host, by host id
	for _, dataCentre := range slices.Sorted(maps.Keys(lists)) {
		var found strictyaml.Faults
		for i, h := range lists[dataCentre].Hosts {
			if dataCentre == "" && lists[h.DataCentre] != nil {
				continue
			}
			if other, named := first[h.ID]; named {
				found.Invalid(fmt.Sprintf("hosts[%d].id", i), h.ID, "a host that "+listFile(other)+" does not name")
				continue
			}
			first[h.ID] = dataCentre
		}
		faults = append(faults, withFile(filepath.Join(root, listFile(dataCentre)), found.Err())...)
	}
	return faults
}

// listFile returns the path of the host list of a data centre in a directory.
func listFile(dataCentre string) string {
	if dataCentre == "" {
		return document.HostsKey + kvstore.FileExtension
	}
	return filepath.Join(document.HostsKey, dataCentre+kvstore.FileExtension)
}

// hostListDataCentre returns the data centre whose host list is in the file at
// path, which is hosts/<data centre>.yaml.
func hostListDataCentre(path string) (dataCentre string, ok bool) {
	name, isValue := strings.CutSuffix(filepath.Base(path), kvstore.FileExtension)
	if !isValue || name == document.HostsKey || filepath.Base(filepath.Dir(path)) != document.HostsKey {
		return "", false
	}
	return document.HostListKey(document.HostsKeyPrefix + name)
}

// detectKind determines the kind of a file by its top-level fields, or by its
// name when no field occurs in only one kind.
func detectKind(name string, raw []byte) Kind {
	fields := strictyaml.TopLevelFields(raw)
	for _, d := range kindFields {
		for _, f := range d.fields {
			if slices.Contains(fields, f) {
				return d.kind
			}
		}
	}
	switch strings.TrimSuffix(name, kvstore.FileExtension) {
	case "settings":
		return KindSettings
	case document.DataCentresKey:
		return KindDataCentres
	case document.HostsKey:
		return KindHosts
	default:
		return KindUnknown
	}
}

// defaultConfigApplyTime replaces the time within which configurations must take effect in a deployment, which is not
// available when a file of limits is checked by itself.
const defaultConfigApplyTime = 3 * time.Second

func checkAs(kind Kind, raw []byte) error {
	var err error
	switch kind {
	case KindSettings:
		_, err = settings.Parse(raw, os.Getenv)
	case KindEntry:
		_, err = settings.ParseEntry(raw, entry.DefaultLimits(defaultConfigApplyTime))
	case KindService:
		_, err = document.ParseService(raw)
	case KindDataCentres:
		_, err = document.ParseDataCentres(raw)
	case KindHosts:
		_, err = document.ParseHostList(raw)
	default:
		err = unknownKind(raw)
	}
	return err
}

// unknownKind returns the faults of a file whose kind cannot be determined.
func unknownKind(raw []byte) error {
	faults := strictyaml.Decode(raw, document.MaxValueBytes, &struct{}{})
	if len(faults) > 0 && faults.Kind() != strictyaml.UnknownField {
		return faults
	}
	return strictyaml.Faults{{Kind: strictyaml.UnknownField, Allowed: "settings, limits of an entry host, a service document, data centre state or a host list"}}
}

// withFile returns the faults of err as faults of file.
func withFile(file string, err error) []Fault {
	if err == nil {
		return nil
	}
	found, ok := strictyaml.AsFaults(err)
	if !ok {
		found = strictyaml.Faults{{Kind: strictyaml.Malformed, Value: strictyaml.Abbreviate(err.Error()), Allowed: "a valid file"}}
	}
	faults := make([]Fault, len(found))
	for i, f := range found {
		faults[i] = Fault{file, f}
	}
	return faults
}

// checkDirectory checks the values in a directory with the rules by which the
// daemon accepts them, and the settings in it.
func checkDirectory(root string) ([]Fault, error) {
	files, err := kvstore.Files(root)
	if err != nil {
		return nil, err
	}
	faults, found, err := checkSettings(root)
	if err != nil {
		return nil, err
	}
	if len(files) == 0 && !found {
		return nil, errors.Newf("%s holds no files; allowed: settings.yaml, datacentres.yaml, hosts.yaml, hosts/*.yaml, services/*.yaml", root)
	}
	state := configsync.New(configsync.Config{})
	state.EndStartPhase()
	lists := map[string]*document.HostList{}
	for _, f := range files {
		raw, err := kvstore.ReadFile(f.Path, document.MaxValueBytes+1)
		if err != nil {
			return nil, err
		}
		result := state.Offer(time.Time{}, configsync.Platform, f.Key, raw)
		faults = append(faults, withFile(f.Path, result.Err)...)
		if dataCentre, ok := document.HostListKey(f.Key); ok && result.Accepted {
			lists[dataCentre], _ = document.ParseHostListOf(dataCentre, raw)
		}
	}
	faults = append(faults, unknownDataCentres(root, state.Current())...)
	faults = append(faults, duplicateHosts(root, lists)...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.File, b.File) })
	return faults, nil
}

func checkSettings(root string) (faults []Fault, found bool, err error) {
	path := filepath.Join(root, "settings"+kvstore.FileExtension)
	if _, err := os.Stat(path); err != nil {
		return nil, false, nil
	}
	raw, err := kvstore.ReadFile(path, settings.MaxBytes+1)
	if err != nil {
		return nil, true, err
	}
	return withFile(path, checkAs(KindSettings, raw)), true, nil
}

// unknownDataCentres returns a fault for each data centre in the data centre
// state that has neither entry hosts nor backend servers: its name is misspelt.
func unknownDataCentres(root string, a *configsync.Accepted) []Fault {
	if a.DataCentres == nil {
		return nil
	}
	known := map[string]bool{}
	for _, s := range a.Services {
		for _, dc := range s.DataCentres {
			known[dc.Name] = true
		}
	}
	if a.Hosts != nil {
		for _, h := range a.Hosts.Hosts {
			known[h.DataCentre] = true
		}
	}
	var faults strictyaml.Faults
	for _, name := range a.DataCentres.Out {
		if !known[name] {
			faults.Invalid("out", name, "a data centre of the host list or of a service")
		}
	}
	return withFile(filepath.Join(root, document.DataCentresKey+kvstore.FileExtension), faults.Err())
}
