package check

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/kvstore"
)

const examples = "../../examples"

// deployments holds the number of backend servers of each service, by example.
var deployments = map[string]map[string]int{
	"peachtree-hollow": {"gridwatch": 14, "ledgerdesk": 4},
	"qadri-brothers":   {"booking-desk": 14, "catalogue-house": 4},
}

// TestExamples guards against example deployments that the daemon rejects, or
// whose sizes differ from those of the users' deployments.
func TestExamples(t *testing.T) {
	for name, services := range deployments {
		root := filepath.Join(examples, name)
		if kind, faults, err := Check(root); kind != KindDirectory || len(faults) > 0 || err != nil {
			t.Errorf("%s: %s %v %v", name, kind, faults, err)
		}
		kinds := map[string]Kind{"settings": KindSettings, "datacentres": KindDataCentres, "hosts": KindHosts}
		for service := range services {
			kinds["services/"+service] = KindService
		}
		for file, want := range kinds {
			if kind, faults, err := Check(filepath.Join(root, file+".yaml")); kind != want || len(faults) > 0 || err != nil {
				t.Errorf("%s/%s: %s %v %v", name, file, kind, faults, err)
			}
		}
		hosts, err := document.ParseHostList(read(t, filepath.Join(root, "hosts.yaml")))
		if err != nil || len(hosts.Hosts) != 7 {
			t.Errorf("%s: host list %v, %v", name, hosts, err)
		}
		for service, want := range services {
			s, err := document.ParseService(read(t, filepath.Join(root, "services", service+".yaml")))
			if err != nil {
				t.Fatal(err)
			}
			got := 0
			for _, dc := range s.DataCentres {
				got += len(dc.BackendServers)
			}
			if got != want {
				t.Errorf("%s: %d backend servers, want %d", service, got, want)
			}
		}
	}
}

func read(t *testing.T, path string) []byte {
	t.Helper()
	raw, err := kvstore.ReadFile(path, document.MaxValueBytes)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestDirectoryFaults guards against missing faults that are only visible across
// several files, and against a check that stops at the first faulty file.
func TestDirectoryFaults(t *testing.T) {
	root := t.TempDir()
	if err := os.CopyFS(root, os.DirFS(filepath.Join(examples, "peachtree-hollow"))); err != nil {
		t.Fatal(err)
	}
	edit := func(file, old, new string) {
		path := filepath.Join(root, file)
		changed := strings.Replace(string(read(t, path)), old, new, 1)
		if err := os.WriteFile(path, []byte(changed), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	edit("settings.yaml", "workers: 0", "workers: -1")
	edit("datacentres.yaml", "out: []", "out: [substation-x]")
	edit("hosts.yaml", "state: live", "state: dead")
	listed := "version: 1\nhosts: [{id: x-1, data_centre: substation-a, region: ga-north, address: 127.20.1.1, peer_port: 1, gue_port: 2, state: live}]\n"
	own := filepath.Join(root, "hosts", "substation-b.yaml")
	if err := errors.Join(os.Mkdir(filepath.Dir(own), 0o755), os.WriteFile(own, []byte("version: 1\n"), 0o644),
		os.WriteFile(filepath.Join(root, "hosts", "substation-a.yaml"), []byte(listed), 0o644),
		os.WriteFile(filepath.Join(root, "hosts", "substation-c.yaml"), []byte(strings.Replace(listed, "n-a", "n-c", 1)), 0o644)); err != nil {
		t.Fatal(err)
	}
	if kind, faults, _ := Check(own); kind != KindHosts || len(faults) != 1 {
		t.Errorf("list of one data centre: %s %v", kind, faults)
	}
	edit("services/ledgerdesk.yaml", "address: 127.20.21.1", "address: 127.20.11.1")
	_, faults, err := Check(root)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, f := range faults {
		got = append(got, filepath.Base(f.File)+" "+f.Field+" "+f.Value)
	}
	want := `datacentres.yaml out substation-x
hosts.yaml hosts[0].state "dead"
substation-b.yaml hosts 
substation-c.yaml hosts[0].id x-1
ledgerdesk.yaml address 127.20.11.1:6080
settings.yaml workers -1`
	if strings.Join(got, "\n") != want {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), want)
	}
}

// TestOtherFiles guards against accepting files of an unknown kind, incomplete
// files and unreadable paths.
func TestOtherFiles(t *testing.T) {
	rows := []struct {
		name, content string
		kind          Kind
	}{
		{"a.yaml", "colour: red\n", KindUnknown},
		{"a.yaml", "version: [\n", KindUnknown},
		{"a.yaml", "", KindUnknown},
		{"hosts.yaml", "version: 1\n", KindHosts},
		{"settings.yaml", "{}\n", KindSettings},
		{"a.yaml", "service: x\n", KindService},
	}
	for _, row := range rows {
		path := filepath.Join(t.TempDir(), row.name)
		if err := os.WriteFile(path, []byte(row.content), 0o644); err != nil {
			t.Fatal(err)
		}
		if kind, faults, err := Check(path); kind != row.kind || len(faults) == 0 || err != nil {
			t.Errorf("%q: %s %v %v", row.content, kind, faults, err)
		}
	}
	if _, _, err := Check(filepath.Join(t.TempDir(), "missing")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: %v", err)
	}
	if _, _, err := Check(t.TempDir()); err == nil {
		t.Error("an empty directory passed")
	}
}
