package document

import (
	"fmt"
	"strings"
	"testing"

	"github.com/nutmeglatch/nutmeglatch/internal/strictyaml"
)

const validService = `service: gridwatch
version: 7
team: peachtree-hollow
address: 198.51.100.10
port: 7001
protocol: tcp
region: ga-north
commands:
  address: 198.51.100.10
  port: 7002
  deadline: 5s
  idempotent_methods: [status]
flow_idle: 10m
data_centres:
  - name: substation-a
    backend_servers:
      - address: 127.0.10.1
        port: 6080
        load_url: http://127.0.10.1:6081/load
        connections: 2000
        slots: 2
        cold: {connections: 50, slots: 1, ramp: 60s}
        draining: false
`

const validHosts = `version: 2
hosts:
  - {id: sub-a-1, data_centre: substation-a, region: ga-north, address: 127.0.1.1, peer_port: 6090, gue_port: 6080, state: live}
leaving_backend_servers: ["127.0.10.1:6080"]
`

const validDataCentres = "{version: 3, out: [substation-b]}\n"

// parsers holds the parsers by kind of value; each returns only the error.
var parsers = map[string]func([]byte) error{
	"service": func(b []byte) error { _, err := ParseService(b); return err },
	"hosts":   func(b []byte) error { _, err := ParseHostList(b); return err },
	"list of": func(b []byte) error { _, err := ParseHostListOf("substation-a", b); return err },
	"state":   func(b []byte) error { _, err := ParseDataCentres(b); return err },
}

var validInputs = map[string]string{"service": validService, "hosts": validHosts, "list of": validHosts, "state": validDataCentres}

func TestValidDocuments(t *testing.T) {
	for kind, raw := range validInputs {
		if err := parsers[kind]([]byte(raw)); err != nil {
			t.Errorf("%s: valid document was rejected: %v", kind, err)
		}
	}
	s, err := ParseService([]byte(validService))
	if err != nil {
		t.Fatal(err)
	}
	b := s.DataCentres[0].BackendServers[0]
	if b.AddrPort().String() != "127.0.10.1:6080" || b.Cold.Ramp.Std().String() != "1m0s" || s.Version != 7 {
		t.Errorf("parsed values differ from the text: %+v", s)
	}
}

// TestFaults guards against invalid fields that are accepted, or reported
// without field and value. Each row invalidates one field of a valid document.
func TestFaults(t *testing.T) {
	rows := []struct {
		kind, old, new string
		field, value   string
		reason         strictyaml.Kind
	}{
		{"service", "service: gridwatch", "service: Grid_Watch", "service", "Grid_Watch", strictyaml.InvalidValue},
		{"service", "service: gridwatch\n", "", "service", "", strictyaml.InvalidValue},
		{"service", "version: 7", "version: 0", "version", "0", strictyaml.InvalidValue},
		{"service", "version: 7", "version: -1", "version", "-1", strictyaml.InvalidValue},
		{"service", "version: 7", "version: 18446744073709551616", "version", "18446744073709551616", strictyaml.InvalidValue},
		{"service", "version: 7", "version: 7.5", "version", "7.5", strictyaml.InvalidValue},
		{"service", "version: 7", "version: 7\nversion: 8", "version", "8", strictyaml.InvalidValue},
		{"service", "team: peachtree-hollow", "team: -x", "team", "-x", strictyaml.InvalidValue},
		{"service", "address: 198.51.100.10\nport", "address: 198.51.100.300\nport", "address", "198.51.100.300", strictyaml.InvalidValue},
		{"service", "address: 198.51.100.10\nport", "address: 224.0.0.1\nport", "address", "224.0.0.1", strictyaml.InvalidValue},
		{"service", "port: 7001", "port: 0", "port", "0", strictyaml.InvalidValue},
		{"service", "port: 7001", "port: 65536", "port", "65536", strictyaml.InvalidValue},
		{"service", "protocol: tcp", "protocol: sctp", "protocol", "sctp", strictyaml.InvalidValue},
		{"service", "region: ga-north", "region: [a]", "region", "a list", strictyaml.InvalidValue},
		{"service", "deadline: 5s", "deadline: 16s", "commands.deadline", "16s", strictyaml.InvalidValue},
		{"service", "deadline: 5s", "deadline: 5", "commands.deadline", "5", strictyaml.InvalidValue},
		{"service", "[status]", "[status, status]", "commands.idempotent_methods[1]", "status", strictyaml.InvalidValue},
		{"service", "protocol: tcp", "protocol: udp\nteam2: x", "team2", "x", strictyaml.UnknownField},
		{"service", "port: 7002", "port: 0", "commands.port", "0", strictyaml.InvalidValue},
		{"service", "flow_idle: 10m", "flow_idle: 10ms", "flow_idle", "10ms", strictyaml.InvalidValue},
		{"service", "substation-a", "\"\"", "data_centres[0].name", "", strictyaml.InvalidValue},
		{"service", "address: 127.0.10.1\n", "address: 198.51.100.10\n", "data_centres[0].backend_servers[0].address", "198.51.100.10", strictyaml.InvalidValue},
		{"service", "http://127", "ftp://127", "data_centres[0].backend_servers[0].load_url", "ftp://127.0.10.1:6081/load", strictyaml.InvalidValue},
		{"service", "connections: 2000", "connections: 0", "data_centres[0].backend_servers[0].connections", "0", strictyaml.InvalidValue},
		{"service", "slots: 2", "slots: 0", "data_centres[0].backend_servers[0].slots", "0", strictyaml.InvalidValue},
		{"service", "connections: 50", "connections: 2001", "data_centres[0].backend_servers[0].cold.connections", "2001", strictyaml.InvalidValue},
		{"service", "ramp: 60s", "ramp: 0s", "data_centres[0].backend_servers[0].cold.ramp", "0s", strictyaml.InvalidValue},
		{"service", "draining: false", "draining: maybe", "data_centres[0].backend_servers[0].draining", "maybe", strictyaml.InvalidValue},
		{"service", "draining: false", "drain: false", "data_centres[0].backend_servers[0].drain", "false", strictyaml.UnknownField},
		{"hosts", "sub-a-1", "sub a 1", "hosts[0].id", "sub a 1", strictyaml.InvalidValue},
		{"hosts", "state: live", "state: dead", "hosts[0].state", "dead", strictyaml.InvalidValue},
		{"hosts", "gue_port: 6080", "gue_port: 6090", "hosts[0].gue_port", "127.0.1.1:6090", strictyaml.InvalidValue},
		{"hosts", "127.0.10.1:6080", "127.0.10.1", "leaving_backend_servers[0]", "127.0.10.1", strictyaml.InvalidValue},
		{"hosts", "127.0.10.1:6080", "127.0.10.1:0", "leaving_backend_servers[0]", "127.0.10.1:0", strictyaml.InvalidValue},
		{"hosts", "version: 2", "version: 2\nextra: 1", "extra", "1", strictyaml.UnknownField},
		{"state", "substation-b", "substation-b, substation-b", "out[1]", "substation-b", strictyaml.InvalidValue},
		{"state", "[substation-b]", "substation-b", "out", "substation-b", strictyaml.InvalidValue},
		{"state", "version: 3", "version: x", "version", "x", strictyaml.InvalidValue},
	}
	for _, row := range rows {
		raw := strings.Replace(validInputs[row.kind], row.old, row.new, 1)
		if raw == validInputs[row.kind] {
			t.Fatalf("%q does not occur in the document", row.old)
		}
		faults, ok := strictyaml.AsFaults(parsers[row.kind]([]byte(raw)))
		if !ok || len(faults) != 1 {
			t.Errorf("%q: got faults %v, want exactly one", row.new, faults)
			continue
		}
		f := faults[0]
		if f.Field != row.field || !strings.Contains(f.Value, row.value) || f.Allowed == "" || f.Kind != row.reason {
			t.Errorf("%q: got %+v, want field %s, value %s, kind %s", row.new, f, row.field, row.value, row.reason)
		}
	}
}

// TestAllFaultsAtOnce guards against a parser that stops at the first fault.
func TestAllFaultsAtOnce(t *testing.T) {
	raw := strings.NewReplacer("version: 7", "version: 0", "port: 7002", "port: seven", "slots: 2", "slot: 2", "tcp", "sctp").Replace(validService)
	faults, _ := strictyaml.AsFaults(parsers["service"]([]byte(raw)))
	var fields []string
	for _, f := range faults {
		fields = append(fields, f.Field)
	}
	got := strings.Join(fields, " ")
	want := "commands.port data_centres[0].backend_servers[0].slot version protocol data_centres[0].backend_servers[0].slots"
	if got != want {
		t.Errorf("fields with faults:\n got %s\nwant %s", got, want)
	}
	if faults.Kind() != strictyaml.UnknownField {
		t.Errorf("kind %s, want unknown_field", faults.Kind())
	}
}

// TestMalformedInput guards against inputs that exhaust memory or the stack of
// the YAML parser, and against inputs that are accepted after a partial parse.
func TestMalformedInput(t *testing.T) {
	rows := map[string]struct {
		raw  string
		kind strictyaml.Kind
	}{
		"empty":           {"", strictyaml.Malformed},
		"comment only":    {"# nothing\n", strictyaml.Malformed},
		"open bracket":    {"version: [", strictyaml.Malformed},
		"two documents":   {validDataCentres + "---\n" + validDataCentres, strictyaml.Malformed},
		"binary":          {"\x00\x01\xff\xfe", strictyaml.Malformed},
		"anchor":          {"version: &a 1\nout: []", strictyaml.Malformed},
		"tag":             {"version: !!int 1", strictyaml.Malformed},
		"merge key":       {"<<: {version: 1}", strictyaml.Malformed},
		"flow nesting":    {strings.Repeat("[", 1<<14), strictyaml.Malformed},
		"map nesting":     {strings.Repeat("{a: ", 1<<13), strictyaml.Malformed},
		"entry nesting":   {strings.Repeat("- ", 1<<14) + "a", strictyaml.Malformed},
		"many keys":       {strings.Repeat("k: |\n", 1<<14), strictyaml.Malformed},
		"key nesting":     {strings.Repeat("a: ", 1<<15), strictyaml.Malformed},
		"empty entries":   {"out:\n" + strings.Repeat("- \n", 1<<15), strictyaml.Malformed},
		"closing bracket": {strings.Repeat("]", 1<<15), strictyaml.Malformed},
		"scalar":          {"7", strictyaml.Malformed},
		"list":            {"[1, 2]", strictyaml.Malformed},
		"over a megabyte": {"# " + strings.Repeat("x", MaxValueBytes), strictyaml.TooLarge},
	}
	for name, row := range rows {
		for kind, parse := range parsers {
			faults, ok := strictyaml.AsFaults(parse([]byte(row.raw)))
			if !ok || faults.Kind() != row.kind {
				t.Errorf("%s as %s: got %v, want kind %s", name, kind, faults, row.kind)
			}
		}
	}
}

// TestManyFaults guards against an unbounded list of faults for a hostile input,
// which would fill memory and the log.
func TestManyFaults(t *testing.T) {
	raw := "version: 1\nout: [" + strings.Repeat("{x: 1},", 1<<14) + "]"
	faults, _ := strictyaml.AsFaults(parsers["state"]([]byte(raw)))
	if len(faults) < 1000 || len(faults) > 1010 {
		t.Errorf("%d faults, want about 1000", len(faults))
	}
}

// FuzzParse guards against values that panic a parser, that are accepted without
// a version, or whose faults do not state what is allowed.
func FuzzParse(f *testing.F) {
	for _, raw := range validInputs {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		for kind, parse := range parsers {
			err := parse(raw)
			faults, ok := strictyaml.AsFaults(err)
			if err != nil && (!ok || len(faults) == 0 || faults[0].Allowed == "") {
				t.Errorf("%s: error without faults: %v", kind, err)
			}
		}
		if s, err := ParseService(raw); err == nil && (s.Version == 0 || s.Port == 0 || len(s.DataCentres) == 0) {
			t.Errorf("accepted %+v", s)
		}
	})
}

func BenchmarkParseService(b *testing.B) {
	for _, n := range []int{1, 6, 14, 1000} {
		server := validService[strings.Index(validService, "      - address"):]
		var raw strings.Builder
		raw.WriteString(strings.TrimSuffix(validService, server))
		for i := range n {
			address := fmt.Sprintf("127.1.%d.%d", i/250, i%250+1)
			raw.WriteString(strings.ReplaceAll(server, "127.0.10.1", address))
		}
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			text := []byte(raw.String())
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ParseService(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkParseHostList measures parsing the list of all hosts, and the list of
// one of seven data centres.
func BenchmarkParseHostList(b *testing.B) {
	for _, n := range []int{7, 100, 1900, 5700, 1, 14, 271, 814} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			raw := []byte("version: 3\nhosts:\n")
			for i := range n {
				raw = fmt.Appendf(raw, "  - {id: lhr-gulberg-%d, data_centre: lhr-gulberg, region: pk-punjab, address: 10.0.%d.%d, peer_port: 6090, gue_port: 6080, state: live}\n", i, i/250, i%250+1)
			}
			b.SetBytes(int64(len(raw)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ParseHostList(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "list-B")
		})
	}
}

// Guards against faults as large as the input: each is logged and kept with the refused value.
func TestFaultsOfLongFieldsAreShort(t *testing.T) {
	const limit = 1 << 10
	long := strings.Repeat("k", MaxValueBytes/2)
	for name, text := range map[string]string{
		"unknown field":           long + ": 1",
		"unknown field, nested":   "service: {" + long + ": 1}",
		"field with a long value": long + ": " + long[:MaxValueBytes/2-2],
		"text of colons":          strings.Repeat(":", MaxValueBytes),
	} {
		_, err := ParseHostList([]byte(text))
		if err == nil || len(err.Error()) > limit {
			t.Errorf("%s: error of %d bytes, want one of at most %d", name, len(fmt.Sprint(err)), limit)
		}
	}
}
