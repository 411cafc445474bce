package settings

import (
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/entry"
	"github.com/nutmeglatch/nutmeglatch/internal/overload"
	"github.com/nutmeglatch/nutmeglatch/internal/strictyaml"
)

// Bounds of the settings of entry hosts that identify flows by tokens.
const (
	maxFlowLogLines = 10_000 // per second
	minInterval     = 10 * time.Millisecond
	maxInterval     = time.Minute
	maxFloor        = 0.5  // part of a limit that each less urgent priority may always use
	minWeight       = 0.01 // turns of a route
	maxWeight       = 100
)

// entryFile is the settings file of an entry host that identifies flows by tokens. Fields that are not set keep their
// defaults, which depend on the deployment.
type entryFile struct {
	Entry entrySettings `yaml:"entry"`
}

type entrySettings struct {
	MaxFlows       int               `yaml:"max_flows"`
	FlowIdle       document.Duration `yaml:"flow_idle"`
	FlowLogLines   int               `yaml:"flow_log_lines"` // per second
	GossipInterval document.Duration `yaml:"gossip_interval"`
	Choice         string            `yaml:"choice"`
	Store          entryStore        `yaml:"store"`
	Admission      entryAdmission    `yaml:"admission"`
}

type entryAdmission struct {
	Enabled bool               `yaml:"enabled"`
	Floor   float64            `yaml:"floor"`
	Weights map[string]float64 `yaml:"weights"` // by route name
}

type entryStore struct {
	WatchWait   document.Duration `yaml:"watch_wait"`
	CallTimeout document.Duration `yaml:"call_timeout"`
	StaleAfter  document.Duration `yaml:"stale_after"`
	RetryMin    document.Duration `yaml:"retry_min"`
	RetryMax    document.Duration `yaml:"retry_max"`
}

// LoadEntry reads a settings file and returns the defaults overridden by the limits that it sets. On an error it returns
// the defaults.
func LoadEntry(path string, defaults entry.Limits) (entry.Limits, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return defaults, errors.Wrap(err, "read settings")
	}
	return ParseEntry(raw, defaults)
}

// ParseEntry decodes and checks settings and returns the defaults overridden by the limits that they set. All faults are
// reported at once; on an error it returns the defaults.
func ParseEntry(raw []byte, defaults entry.Limits) (entry.Limits, error) {
	file := entryFile{Entry: entrySettingsOf(&defaults)}
	faults := strictyaml.Decode(raw, MaxBytes, &file)
	if len(faults) > 0 && (faults.Kind() == strictyaml.Malformed || faults.Kind() == strictyaml.TooLarge) {
		return defaults, faults
	}
	faults.Merge(file.Entry.check())
	if len(faults) > 0 {
		return defaults, faults
	}
	return file.Entry.limits(), nil
}

func entrySettingsOf(l *entry.Limits) entrySettings {
	return entrySettings{
		MaxFlows:       l.MaxFlows,
		FlowIdle:       document.Duration(l.FlowIdle),
		FlowLogLines:   l.FlowLinesPerS,
		GossipInterval: document.Duration(l.GossipInterval),
		Choice:         string(l.Choice),
		Store: entryStore{
			WatchWait:   document.Duration(l.Follower.WatchWait),
			CallTimeout: document.Duration(l.Follower.CallTimeout),
			StaleAfter:  document.Duration(l.Follower.StaleAfter),
			RetryMin:    document.Duration(l.Follower.RetryMin),
			RetryMax:    document.Duration(l.Follower.RetryMax),
		},
		Admission: entryAdmission{Enabled: l.Admission.Enabled, Floor: l.Admission.Floor, Weights: l.Admission.Weights},
	}
}

// EntryRestartSettings returns the limits that take effect only with a restart, by the name of their field.
func EntryRestartSettings(l entry.Limits) map[string]string {
	return map[string]string{
		"entry.max_flows":      strconv.Itoa(l.MaxFlows),
		"entry.flow_idle":      l.FlowIdle.String(),
		"entry.flow_log_lines": strconv.Itoa(l.FlowLinesPerS),
	}
}

func (e *entrySettings) limits() entry.Limits {
	var l entry.Limits
	l.MaxFlows = e.MaxFlows
	l.FlowIdle = e.FlowIdle.Std()
	l.FlowLinesPerS = e.FlowLogLines
	l.GossipInterval = e.GossipInterval.Std()
	l.Choice = entry.Choice(e.Choice)
	l.Follower.WatchWait = e.Store.WatchWait.Std()
	l.Follower.CallTimeout = e.Store.CallTimeout.Std()
	l.Follower.StaleAfter = e.Store.StaleAfter.Std()
	l.Follower.RetryMin = e.Store.RetryMin.Std()
	l.Follower.RetryMax = e.Store.RetryMax.Std()
	l.Admission = overload.Config{Enabled: e.Admission.Enabled, Floor: e.Admission.Floor, Weights: e.Admission.Weights}
	return l
}

func (e *entrySettings) check() strictyaml.Faults {
	c := &strictyaml.Checker{}
	c.Between("entry.max_flows", e.MaxFlows, MinMaxFlows, MaxMaxFlows)
	c.Duration("entry.flow_idle", e.FlowIdle.Std(), time.Second, time.Hour)
	c.Between("entry.flow_log_lines", e.FlowLogLines, 0, maxFlowLogLines)
	c.Duration("entry.gossip_interval", e.GossipInterval.Std(), minInterval, time.Second)
	choice := entry.Choice(e.Choice)
	c.Require(choice == entry.ChooseByFlows || choice == entry.ChooseByWork, "entry.choice", strictyaml.Quote(e.Choice),
		string(entry.ChooseByFlows)+" or "+string(entry.ChooseByWork))
	c.Duration("entry.store.watch_wait", e.Store.WatchWait.Std(), minInterval, maxInterval)
	c.Duration("entry.store.call_timeout", e.Store.CallTimeout.Std(), minInterval, maxInterval)
	// A confirmation by the reader arrives within a watch wait and a gossip interval. With a shorter stale_after, a
	// host would read the store all the time.
	c.Duration("entry.store.stale_after", e.Store.StaleAfter.Std(), e.Store.WatchWait.Std()+e.GossipInterval.Std(), maxInterval)
	c.Duration("entry.store.retry_min", e.Store.RetryMin.Std(), minInterval, maxInterval)
	c.Duration("entry.store.retry_max", e.Store.RetryMax.Std(), e.Store.RetryMin.Std(), maxInterval)
	e.Admission.check(c)
	return c.Faults
}

func (a *entryAdmission) check(c *strictyaml.Checker) {
	number := func(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
	c.Require(a.Floor >= 0 && a.Floor <= maxFloor, "entry.admission.floor", number(a.Floor), "0 to "+number(maxFloor))
	for _, route := range slices.Sorted(maps.Keys(a.Weights)) {
		w := a.Weights[route]
		c.Require(w >= minWeight && w <= maxWeight, "entry.admission.weights."+route, number(w), number(minWeight)+" to "+number(maxWeight))
	}
}
