package replay

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/nutmeglatch/nutmeglatch/internal/strictyaml"
)

// Limits of traces.
const (
	maxTraceBytes = 1 << 18
	maxDuration   = 10 * time.Minute
	maxHosts      = 64
	maxBackends   = 200
	maxEvents     = 1000
	maxCount      = 20000 // flows or commands of one event
)

// ParseError lists the faults of an invalid trace.
type ParseError struct {
	File   string
	Faults []LineFault
}

// LineFault is a fault with the line number of its field, 0 if that is unknown.
type LineFault struct {
	Line int
	strictyaml.Fault
}

// Error has one line for each fault.
func (e *ParseError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = e.File + ": " + f.String()
		if f.Line > 0 {
			lines[i] = fmt.Sprintf("%s:%d: %s", e.File, f.Line, f.Fault)
		}
	}
	return strings.Join(lines, "\n")
}

// Load reads and parses the trace in a file.
func Load(path string) (*Trace, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse parses a trace. The error is a *ParseError and names file.
func Parse(file string, raw []byte) (*Trace, error) {
	var t Trace
	faults := strictyaml.Decode(raw, maxTraceBytes, &t)
	if faults.Err() == nil || faults.Kind() != strictyaml.Malformed && faults.Kind() != strictyaml.TooLarge {
		faults.Merge(t.check())
	}
	if faults.Err() == nil {
		return &t, nil
	}
	return nil, &ParseError{File: file, Faults: withLines(raw, faults)}
}

func withLines(raw []byte, faults strictyaml.Faults) []LineFault {
	out := make([]LineFault, len(faults))
	var tree *ast.File
	if k := faults.Kind(); k != strictyaml.Malformed && k != strictyaml.TooLarge {
		tree, _ = parser.ParseBytes(raw, 0)
	}
	for i, f := range faults {
		out[i] = LineFault{Fault: f}
		if tree != nil {
			out[i].Line = lineOf(tree, f.Field)
		}
	}
	return out
}

// lineOf returns the line of a field. If the field is not set, it returns the
// line of the nearest enclosing field that is.
func lineOf(tree *ast.File, field string) int {
	for field != "" {
		if path, err := yaml.PathString("$." + field); err == nil {
			if node, err := path.FilterFile(tree); err == nil && node != nil && node.GetToken() != nil {
				return startLine(node)
			}
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 1
}

// startLine returns the line on which a node starts. For a mapping that is the
// line of its first key, since the token of a mapping node is the separator.
func startLine(node ast.Node) int {
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return m.Values[0].Key.GetToken().Position.Line
	}
	return node.GetToken().Position.Line
}

// action describes an event action: the required fields, and the function that
// executes it.
type action struct {
	fields []string
	states []string // allowed values of state
	run    func(f *fleet, e *Event)
}

var actions map[string]action

func init() {
	actions = map[string]action{
		"flows":           {fields: []string{"service", "count", "life", "interval"}, run: (*fleet).startFlows},
		"commands":        {fields: []string{"service", "count", "method"}, run: (*fleet).startCommands},
		"publish_old":     {fields: []string{"service", "version"}, run: (*fleet).publishOld},
		"publish":         {fields: []string{"service"}, run: (*fleet).publishAgain},
		"drain":           {fields: []string{"backend_server"}, run: (*fleet).drain},
		"join":            {fields: []string{"backend_server"}, run: (*fleet).join},
		"remove":          {fields: []string{"backend_server"}, run: (*fleet).remove},
		"restart":         {fields: []string{"backend_server"}, run: (*fleet).restart},
		"end":             {fields: []string{"backend_server"}, run: (*fleet).endProcess},
		"cold":            {fields: []string{"backend_server"}, run: (*fleet).resetToCold},
		"reassign":        {fields: []string{"backend_server", "service"}, run: (*fleet).reassign},
		"answers":         {fields: []string{"backend_server", "state"}, states: []string{"normal", "late", "crossed", "duplicated"}, run: (*fleet).setAnswerMode},
		"load_reports":    {fields: []string{"backend_server", "state"}, states: []string{"normal", "stale", "none"}, run: (*fleet).setReportMode},
		"data_centre_out": {fields: []string{"data_centre"}, run: (*fleet).dataCentreOut},
		"data_centre_in":  {fields: []string{"data_centre"}, run: (*fleet).dataCentreIn},
		"kill":            {fields: []string{"host"}, run: (*fleet).killHost},
		"start":           {fields: []string{"host"}, run: (*fleet).startHost},
		"stop":            {fields: []string{"host"}, run: (*fleet).stopHost},
		"pause":           {fields: []string{"host"}, run: (*fleet).pauseHost},
		"resume":          {fields: []string{"host"}, run: (*fleet).resumeHost},
		"list":            {fields: []string{"host", "state"}, states: []string{"live", "leaving", "absent"}, run: (*fleet).listHost},
		"lag":             {fields: []string{"host", "delay"}, run: (*fleet).lagHost},
		"silent":          {fields: []string{"host", "peer"}, run: (*fleet).silenceConnections},
		"partition":       {fields: []string{"data_centre"}, run: (*fleet).partition},
		"heal":            {run: (*fleet).heal},
		"platform":        {fields: []string{"state"}, states: []string{"up", "down", "stale"}, run: (*fleet).setPlatform},
		"network":         {run: (*fleet).setNetwork},
	}
}

func actionNames() string {
	names := make([]string, 0, len(actions))
	for name := range actions {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// names holds the names that events may refer to.
type names struct {
	hosts, services, backends, dataCentres []string
}

func (t *Trace) check() strictyaml.Faults {
	var c strictyaml.Checker
	c.Name("trace", t.Name)
	c.Name("region", t.Region)
	c.Duration("duration", t.Duration.Std(), time.Second, maxDuration)
	c.Between("entry_hosts", len(t.EntryHosts), 1, maxHosts)
	c.Require(len(t.Services) > 0, "services", "", "at least one service")
	c.Between("events", len(t.Events), 1, maxEvents)
	n := t.checkNames(&c)
	for i := range t.Events {
		t.checkEvent(&c, &n, i)
	}
	for i, v := range t.Outcomes.Versions {
		field := fmt.Sprintf("outcomes.versions[%d]", i)
		known := v.Key == "hosts" || v.Key == "datacentres" || slices.Contains(n.services, strings.TrimPrefix(v.Key, "services/"))
		c.Require(known, field+".key", strictyaml.Quote(v.Key), "hosts, datacentres or services/ and the name of a service of this trace")
	}
	c.Between("outcomes.served_share_at_least", t.Outcomes.ServedShareAtLeast, 0, 100)
	return c.Faults
}

func (t *Trace) checkNames(c *strictyaml.Checker) names {
	var n names
	unique := func(field, value string, list *[]string) {
		c.Name(field, value)
		c.Require(!slices.Contains(*list, value), field, strictyaml.Quote(value), "a name that is used once")
		*list = append(*list, value)
	}
	for i, h := range t.EntryHosts {
		field := fmt.Sprintf("entry_hosts[%d]", i)
		unique(field+".id", h.ID, &n.hosts)
		c.Name(field+".data_centre", h.DataCentre)
		n.dataCentres = append(n.dataCentres, h.DataCentre)
	}
	for i := range t.Services {
		s := &t.Services[i]
		field := fmt.Sprintf("services[%d]", i)
		unique(field+".name", s.Name, &n.services)
		c.Require(s.Protocol == "tcp" || s.Protocol == "udp", field+".protocol", strictyaml.Quote(s.Protocol), "tcp or udp")
		if s.Deadline != 0 {
			c.Duration(field+".deadline", s.Deadline.Std(), time.Second, 15*time.Second)
		}
		c.Between(field+".backend_servers", len(s.Backends), 1, maxBackends)
		for j := range s.Backends {
			b := &s.Backends[j]
			field := fmt.Sprintf("%s.backend_servers[%d]", field, j)
			unique(field+".name", b.Name, &n.backends)
			c.Name(field+".data_centre", b.DataCentre)
			c.Between(field+".connections", b.Connections, 1, 1<<20)
			c.Between(field+".slots", b.Slots, 1, 1<<10)
			c.Between(field+".cold_connections", b.ColdConnections, 1, b.Connections)
			c.Between(field+".cold_slots", b.ColdSlots, 1, b.Slots)
			c.Duration(field+".ramp", b.Ramp.Std(), time.Second, maxDuration)
			n.dataCentres = append(n.dataCentres, b.DataCentre)
		}
	}
	return n
}

func (t *Trace) checkEvent(c *strictyaml.Checker, n *names, i int) {
	e := &t.Events[i]
	field := fmt.Sprintf("events[%d]", i)
	c.Duration(field+".at", e.At.Std(), 0, t.Duration.Std())
	a, known := actions[e.Action]
	c.Require(known, field+".action", strictyaml.Quote(e.Action), actionNames())
	c.Between(field+".count", e.Count, 0, maxCount)
	for name, v := range map[string]int{"loss": e.Loss, "duplicate": e.Duplicate, "reorder": e.Reorder} {
		c.Between(field+"."+name, v, 0, 100)
	}
	refer := func(name, value string, list []string) {
		required := slices.Contains(a.fields, name)
		c.Require(value == "" && !required || slices.Contains(list, value), field+"."+name, strictyaml.Quote(value), "one of "+strings.Join(slices.Compact(slices.Sorted(slices.Values(list))), ", "))
	}
	refer("host", e.Host, n.hosts)
	refer("peer", e.Peer, n.hosts)
	refer("service", e.Service, n.services)
	refer("backend_server", e.Backend, n.backends)
	refer("data_centre", e.DataCentre, n.dataCentres)
	if a.states != nil {
		refer("state", e.State, a.states)
	}
	set := map[string]bool{
		"count": e.Count > 0, "life": e.Life > 0, "interval": e.Interval > 0, "delay": e.Delay > 0 || e.Action == "lag",
		"method": e.Method != "", "version": e.Version > 0,
	}
	for _, name := range a.fields {
		if ok, checked := set[name]; checked {
			c.Require(ok, field+"."+name, "", "a value, for the action "+e.Action)
		}
	}
}
