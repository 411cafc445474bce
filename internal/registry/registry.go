// Package registry holds what a host knows of published routes, backend servers and data centres taken out.
//
// Updates arrive from the publisher's store and from other hosts, in any order and more than once. Each carries the
// revision of its item, so that an older update never replaces a newer one.
package registry

import (
	"net/netip"
	"time"
)

// BackendServer is one registered process of a service.
type BackendServer struct {
	ID         string         `json:"id"`
	Identity   uint64         `json:"identity"` // number by which forwarded packets name their receiver; never 0
	Service    string         `json:"service"`
	Addr       netip.AddrPort `json:"addr"`
	DataCentre string         `json:"data_centre"`
	Region     string         `json:"region"`
	Slots      int            `json:"slots"` // requests that it processes concurrently
	Draining   bool           `json:"draining,omitempty"`
	ColdFor    time.Duration  `json:"cold_for,omitempty"` // how long it stays cold, counted from the report
	StartedMs  int64          `json:"started_ms,omitempty"`
}

// Token returns the value that the ends of a flow return to name their backend server.
// It is never 0, which stands for no token.
func (b *BackendServer) Token() uint32 {
	if low := uint32(b.Identity); low != 0 {
		return low
	}
	return uint32(b.Identity>>32) | 1
}

// Target is a service that a route sends new flows to.
type Target struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// Route says where new flows to an address go.
type Route struct {
	Name    string         `json:"name"`
	Addr    netip.AddrPort `json:"addr"`
	Targets []Target       `json:"targets"`
	Regions []string       `json:"regions,omitempty"` // that new flows may go to; none: all
}

// Service holds the limits that a configuration states for a service.
type Service struct {
	Name       string        `json:"name"`
	ColdPeriod time.Duration `json:"cold_period"` // how long a backend server is cold after its start
	ColdRate   float64       `json:"cold_rate"`   // requests a second that a cold backend server can bear
}

// Config is one version of the whole configuration.
type Config struct {
	Version     uint64        `json:"version"`
	Routes      []Route       `json:"routes"`
	Services    []Service     `json:"services"`
	IdleTimeout time.Duration `json:"idle_timeout"` // after which an idle flow may be forgotten
}

// Update is a change of one published item. Exactly one of Server, Config, Delta and OutDataCentre is set unless the item was
// removed or refused.
type Update struct {
	Key           string         `json:"key"` // the publisher's name of the item, opaque here
	Revision      uint64         `json:"revision"`
	Created       uint64         `json:"created,omitempty"` // revision at which the item appeared
	Removed       bool           `json:"removed,omitempty"`
	Server        *BackendServer `json:"server,omitempty"`
	Config        *Config        `json:"config,omitempty"`
	Delta         *ConfigDelta   `json:"delta,omitempty"` // in place of Config, between hosts
	OutDataCentre string         `json:"out_data_centre,omitempty"`
}

// Server is a backend server as a View shows it. Its entry is shared between views and never changed.
type Server struct {
	*BackendServer
	Created   uint64        // revision at which the item appeared; orders two servers with one token or address
	ColdUntil time.Duration // on the host's clock
	Lapsed    bool          // its item went while the store was disturbed and may come back
}

// View is an immutable picture of the registry, or what has changed since the one before.
type View struct {
	Revision uint64
	Config   *Config // nil until a configuration is known
	// Partial views follow the one before, which has the same configuration. They hold the servers that have changed.
	Partial        bool
	Servers        []Server
	Removed        []string        // of a partial view: IDs of the servers that went
	OutDataCentres map[string]bool // data centres taken out
	// RestoredColdUntil holds, for each data centre that was brought back, until when its backend servers count as cold.
	RestoredColdUntil map[string]time.Duration
}
