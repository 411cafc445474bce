// Package registry holds a host's copy of the published routes, backend servers and data centres that are taken out.
//
// Updates arrive from the publisher's store and from other hosts, in any order and possibly more than once. Each carries
// the revision of its item, so that an older update never replaces a newer one.
package registry

import (
	"net/netip"
	"time"
)

// BackendServer is one registered process of a service.
type BackendServer struct {
	ID         string         `json:"id"`
	Identity   uint64         `json:"identity"` // identifies the receiver in forwarded packets; never 0
	Service    string         `json:"service"`
	Addr       netip.AddrPort `json:"addr"`
	DataCentre string         `json:"data_centre"`
	Region     string         `json:"region"`
	Slots      int            `json:"slots"` // number of requests that it processes concurrently
	Draining   bool           `json:"draining,omitempty"`
	ColdFor    time.Duration  `json:"cold_for,omitempty"` // remaining cold period, counted from the report
	StartedMs  int64          `json:"started_ms,omitempty"`
}

// Token returns the value that both ends of a flow write into its packets to identify the backend server.
// It is never 0, which means no token.
func (b *BackendServer) Token() uint32 { return tokenOf(b.Identity) }

func tokenOf(identity uint64) uint32 {
	if low := uint32(identity); low != 0 {
		return low
	}
	return uint32(identity>>32) | 1
}

// Target is a service that a route sends new flows to.
type Target struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// Route defines which services get the new flows to an address.
type Route struct {
	Name    string         `json:"name"`
	Addr    netip.AddrPort `json:"addr"`
	Targets []Target       `json:"targets"`
	Regions []string       `json:"regions,omitempty"` // regions that new flows may go to; empty: all
	// Idempotent states that callers may repeat the requests of the route. Others run at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Priority orders routes that share a service when it has too little capacity; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// TargetLatency is the time within which callers expect an answer; 0: not stated.
	TargetLatency time.Duration `json:"target_latency,omitempty"`
}

// Service holds the limits that a configuration sets for a service.
type Service struct {
	Name       string        `json:"name"`
	ColdPeriod time.Duration `json:"cold_period"` // how long a backend server is cold after its start
	ColdRate   float64       `json:"cold_rate"`   // requests per second that a cold backend server can bear
}

// Config is one version of the whole configuration.
type Config struct {
	Version     uint64        `json:"version"`
	Routes      []Route       `json:"routes"`
	Services    []Service     `json:"services"`
	IdleTimeout time.Duration `json:"idle_timeout"` // time without packets after which the state of a flow may be removed
}

// Update is a change of one published item. Exactly one of Server, Config, Delta and OutDataCentre is set unless the item
// was removed or can't be read.
type Update struct {
	Key           string         `json:"key"` // the publisher's key of the item; opaque to this package
	Revision      uint64         `json:"revision"`
	Created       uint64         `json:"created,omitempty"` // revision at which the item was created
	Removed       bool           `json:"removed,omitempty"`
	Server        *BackendServer `json:"server,omitempty"`
	Config        *Config        `json:"config,omitempty"`
	Delta         *ConfigDelta   `json:"delta,omitempty"` // replaces Config in messages between hosts
	OutDataCentre string         `json:"out_data_centre,omitempty"`
	// Unreadable states that the entry of a backend server exists but can't be read. Server is then its last readable entry,
	// or nil if the sender knows none.
	Unreadable   bool   `json:"unreadable,omitempty"`
	Identity     uint64 `json:"identity,omitempty"`      // of the backend server; set if Unreadable is
	ReadRevision uint64 `json:"read_revision,omitempty"` // of the last readable entry; set if Unreadable and Server are
	Older        *Older `json:"older,omitempty"`         // only in full copies of other hosts
}

// Server is a backend server in a View. The embedded BackendServer is shared between views and never modified.
type Server struct {
	*BackendServer
	Created   uint64        // revision at which the item was created; orders two servers with the same token or address
	ColdUntil time.Duration // time on this host's clock
	Lapsed    bool          // its item was removed shortly after a store failure and may return
	// Unreadable states that its item exists but can't be read, so that it gets no new flows. BackendServer is its last
	// readable entry.
	Unreadable bool
}

// Version returns the version up to which the view has all updates.
func (v *View) Version() Version { return Version{v.Era, v.Revision} }

// View is an immutable snapshot of the registry, or the changes since the previous one.
type View struct {
	Era      uint64
	Revision uint64
	Config   *Config // nil until a configuration is known
	// Partial marks a view that has the same configuration as the previous one and contains only the servers that have
	// changed.
	Partial        bool
	Servers        []Server
	Removed        []string        // of a partial view: IDs of the removed servers
	OutDataCentres map[string]bool // data centres taken out
	// UnreadableTokens are the tokens of backend servers whose items exist but which this host has never been able to read.
	UnreadableTokens map[uint32]bool
	// RestoredColdUntil holds, for each data centre that was brought back into use, the time until which its backend
	// servers count as cold.
	RestoredColdUntil map[string]time.Duration
}
