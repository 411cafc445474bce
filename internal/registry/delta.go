package registry

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// configHistory is the number of configurations kept as bases for deltas, including the one in force.
const configHistory = 8

// ConfigDelta is the difference between two configurations. Most changes affect a few of many routes, and transferring a
// whole configuration would saturate the link of a small host for a good part of a second.
type ConfigDelta struct {
	Base        uint64           `json:"base"` // version that the delta applies to
	Version     uint64           `json:"version"`
	Routes      []Route          `json:"routes,omitempty"` // added or changed
	Removed     []netip.AddrPort `json:"removed,omitempty"`
	Services    []Service        `json:"services,omitempty"` // all of them
	IdleTimeout time.Duration    `json:"idle_timeout"`
}

// Diff returns the delta from an older to a newer configuration.
func Diff(older, newer *Config) *ConfigDelta {
	d := &ConfigDelta{Base: older.Version, Version: newer.Version, Services: newer.Services, IdleTimeout: newer.IdleTimeout}
	before := routesByAddr(older)
	for _, r := range newer.Routes {
		if old, ok := before[r.Addr]; !ok || !sameRoute(&old, &r) {
			d.Routes = append(d.Routes, r)
		}
		delete(before, r.Addr)
	}
	d.Removed = slices.SortedFunc(maps.Keys(before), netip.AddrPort.Compare)
	return d
}

// Apply returns the newer configuration, or nil if older is not the base of the delta.
func (d *ConfigDelta) Apply(older *Config) *Config {
	if older == nil || older.Version != d.Base {
		return nil
	}
	routes := routesByAddr(older)
	for _, r := range d.Routes {
		routes[r.Addr] = r
	}
	for _, addr := range d.Removed {
		delete(routes, addr)
	}
	newer := &Config{Version: d.Version, Services: d.Services, IdleTimeout: d.IdleTimeout}
	newer.Routes = slices.SortedFunc(maps.Values(routes), func(a, b Route) int { return a.Addr.Compare(b.Addr) })
	return newer
}

func routesByAddr(c *Config) map[netip.AddrPort]Route {
	routes := make(map[netip.AddrPort]Route, len(c.Routes))
	for _, r := range c.Routes {
		routes[r.Addr] = r
	}
	return routes
}

func sameRoute(a, b *Route) bool {
	return a.Name == b.Name && a.Addr == b.Addr && a.Idempotent == b.Idempotent && a.Priority == b.Priority &&
		a.TargetLatency == b.TargetLatency &&
		slices.Equal(a.Targets, b.Targets) && slices.Equal(a.Regions, b.Regions)
}

// EncodeDeltas returns updates with whole configurations replaced by deltas, for a receiver that has the given version.
// Updates that cannot be encoded as a delta are returned unchanged. The argument is not modified.
func (s *State) EncodeDeltas(updates []Update, version uint64) []Update {
	if s.config == nil || version == 0 {
		return updates
	}
	older := s.configVersion(version)
	if older == nil {
		return updates
	}
	encoded := slices.Clone(updates)
	for i := range encoded {
		if c := encoded[i].Config; c != nil && c.Version > version {
			encoded[i].Delta, encoded[i].Config = Diff(older, c), nil
		}
	}
	return encoded
}

// configVersion returns the configuration of a version from the history, or nil.
func (s *State) configVersion(version uint64) *Config {
	for _, c := range s.history {
		if c.Version == version {
			return c
		}
	}
	return nil
}

// resolveDeltas returns updates with deltas replaced by whole configurations. It returns false if the base of a delta is
// not in the history.
func (s *State) resolveDeltas(updates []Update) ([]Update, bool) {
	if !slices.ContainsFunc(updates, func(u Update) bool { return u.Delta != nil }) {
		return updates, true
	}
	whole := slices.Clone(updates)
	for i := range whole {
		d := whole[i].Delta
		if d == nil {
			continue
		}
		older := s.configVersion(d.Base)
		if whole[i].Config = d.Apply(older); whole[i].Config == nil {
			return nil, false
		}
		whole[i].Delta = nil
	}
	return whole, true
}
