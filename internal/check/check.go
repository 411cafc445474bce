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

// Fields that only occur in one kind of file.
var distinctive = []struct {
	kind   Kind
	fields []string
}{
	{KindSettings, []string{"host_id", "peer_key", "fabric_return", "platform", "gue"}},
	{KindEntry, []string{"entry"}},
	{KindService, []string{"service", "data_centres", "flow_idle"}},
	{KindHosts, []string{"hosts", "leaving_backend_servers"}},
	{KindDataCentres, []string{"out"}},
}

// Check checks a file, or the files of a directory and the conflicts between
// them. The error is only set when the path cannot be read; an invalid file
// has faults.
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
	kind := recognise(filepath.Base(path), raw)
	if dataCentre, ok := hostListOf(path); ok && (kind == KindHosts || kind == KindUnknown) {
		_, err := document.ParseHostListOf(dataCentre, raw)
		return KindHosts, label(path, err), nil
	}
	return kind, label(path, checkAs(kind, raw)), nil
}

// repeatedHosts finds hosts that several host lists name. They count only once,
// so that one of the lists does not say what its author meant. The list of all
// data centres, which has no name, does not count for those with their own.
func repeatedHosts(root string, lists map[string]*document.HostList) []Fault {
	var faults []Fault
	first := map[string]string{} // list of a host, by id
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
		faults = append(faults, label(filepath.Join(root, listFile(dataCentre)), found.Err())...)
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

// hostListOf returns the data centre whose host list a file of that path
// holds: the path hosts/<data centre>.yaml stands for the key.
func hostListOf(path string) (dataCentre string, ok bool) {
	name, isValue := strings.CutSuffix(filepath.Base(path), kvstore.FileExtension)
	if !isValue || name == document.HostsKey || filepath.Base(filepath.Dir(path)) != document.HostsKey {
		return "", false
	}
	return document.HostListKey(document.HostsKeyPrefix + name)
}

// recognise determines the kind by the top-level fields, or by the name of the
// file when no field is distinctive.
func recognise(name string, raw []byte) Kind {
	fields := strictyaml.TopLevelFields(raw)
	for _, d := range distinctive {
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

// defaultApplyWithin stands for the time in which a deployment's configurations must be in force, which the check of
// limits does not know.
const defaultApplyWithin = 3 * time.Second

func checkAs(kind Kind, raw []byte) error {
	var err error
	switch kind {
	case KindSettings:
		_, err = settings.Parse(raw, os.Getenv)
	case KindEntry:
		_, err = settings.ParseEntry(raw, entry.DefaultLimits(defaultApplyWithin))
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

// unknownKind returns the faults of a file that is of no known kind.
func unknownKind(raw []byte) error {
	faults := strictyaml.Decode(raw, document.MaxValueBytes, &struct{}{})
	if len(faults) > 0 && faults.Kind() != strictyaml.UnknownField {
		return faults
	}
	return strictyaml.Faults{{Kind: strictyaml.UnknownField, Allowed: "settings, limits of an entry host, a service document, data centre state or a host list"}}
}

// label adds the file to the faults of err.
func label(file string, err error) []Fault {
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

// checkDirectory checks the values of a directory as the daemon accepts them,
// and the settings in it.
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
	state.Started()
	lists := map[string]*document.HostList{}
	for _, f := range files {
		raw, err := kvstore.ReadFile(f.Path, document.MaxValueBytes+1)
		if err != nil {
			return nil, err
		}
		result := state.Offer(time.Time{}, configsync.Platform, f.Key, raw)
		faults = append(faults, label(f.Path, result.Err)...)
		if dataCentre, ok := document.HostListKey(f.Key); ok && result.Accepted {
			lists[dataCentre], _ = document.ParseHostListOf(dataCentre, raw)
		}
	}
	faults = append(faults, crossChecks(root, state.Current())...)
	faults = append(faults, repeatedHosts(root, lists)...)
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
	return label(path, checkAs(KindSettings, raw)), true, nil
}

// crossChecks finds data centres that are named in the data centre state but
// hold neither entry hosts nor backend servers, which is a misspelling.
func crossChecks(root string, a *configsync.Accepted) []Fault {
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
	return label(filepath.Join(root, document.DataCentresKey+kvstore.FileExtension), faults.Err())
}
