// Package configsync holds the accepted versions of the platform's values and
// decides how entry hosts compare and exchange them. It does no I/O and does not
// read the clock. A State must be used by one goroutine at a time.
package configsync

import (
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Config configures a State.
type Config struct {
	// Fanout is the number of random peers to which a newly accepted value is
	// pushed. Default 4.
	Fanout int
	// MaxRefusals bounds the number of records of rejections. Default 64.
	MaxRefusals int
	// MaxMessage bounds the encoded size of the values in one message, in
	// bytes. Default 1.5 MiB, which leaves room below the peers' limit of 2 MB.
	MaxMessage int
	// Seed is the seed of the random choice of peers for pushes.
	Seed uint64
	// Metrics is the set to which the counters are added. Default a new set,
	// which is not exported.
	Metrics *metrics.Set
}

// Defaults of Config.
const (
	DefaultFanout      = 4
	DefaultMaxRefusals = 64
	DefaultMaxMessage  = 3 << 19
)

// Source identifies where a value came from. The zero value is the platform.
type Source struct {
	// Peer is the id of the entry host that sent the value.
	Peer string
	// Unconfirmed is set if that host accepted the value in its start phase
	// although it conflicts with another one.
	Unconfirmed bool
}

// Platform is the source of values read from the platform.
var Platform = Source{}

// FromPeer returns the source of a value that an entry host sent.
func FromPeer(id string, v Value) Source {
	return Source{Peer: id, Unconfirmed: v.Unconfirmed}
}

// String returns the id of the peer or "platform", for records and logs.
func (s Source) String() string {
	if s.Peer == "" {
		return "platform"
	}
	return s.Peer
}

// Refusal is the reason why a value is rejected.
type Refusal string

// Reasons of rejections. RefusalNone is the reason of accepted values and of
// values that are in effect already.
const (
	RefusalNone            Refusal = ""
	RefusalMalformed       Refusal = "malformed"
	RefusalUnknownField    Refusal = "unknown_field"
	RefusalInvalidValue    Refusal = "invalid_value"
	RefusalOlderVersion    Refusal = "older_version"
	RefusalSameVersion     Refusal = "same_version_different_content"
	RefusalAddressConflict Refusal = "address_conflict"
	RefusalTooLarge        Refusal = "too_large"
)

// Result is the outcome of an Offer.
type Result struct {
	Accepted bool
	Refusal  Refusal
	// Err describes every fault of a rejected value.
	Err error
	// Push is set if there are newly accepted values to push to peers.
	Push bool
	// Keys are the keys whose values changed: the offered one and those of
	// pending documents whose address conflict is resolved.
	Keys []string
}

// Value is an accepted value, as it is sent to peers.
type Value struct {
	Key         string `json:"key"`
	Version     uint64 `json:"version"`
	Digest      uint64 `json:"digest"`
	Raw         []byte `json:"raw,omitempty"`
	Packed      []byte `json:"packed,omitempty"` // compressed content in place of Raw
	Delta       *Delta `json:"delta,omitempty"`  // difference from an earlier version in place of Raw
	Unconfirmed bool   `json:"unconfirmed,omitempty"`
}

// Accepted holds the values in effect. It is immutable.
type Accepted struct {
	Services    map[string]*document.Service
	DataCentres *document.DataCentres // nil until the first one is accepted
	Hosts       *document.HostList    // all lists merged; nil until the first one is accepted
	// HostLists names the data centres that have a host list of their own.
	HostLists []string
	// Conflicted holds the addresses that several accepted services claim.
	// No service sends to them until a newer version resolves the conflict.
	Conflicted map[netip.AddrPort]bool
}

// entry is an accepted or a pending value.
type entry struct {
	Value
	parsed   parsed
	delta    *Delta // from the previous version; only of announced values
	fromPeer bool   // a peer sent it without marking it as unconfirmed
}

// State holds the accepted values.
type State struct {
	cfg      Config
	starting bool
	values   map[string]*entry
	// pending holds, by key, the newest document that was rejected because it
	// claims an address of another service. It is accepted once the conflict
	// is resolved.
	pending map[string]*entry
	// claims holds, by address, the keys of the accepted documents that
	// claim it.
	claims    map[netip.AddrPort][]string
	index     index
	refusals  refusals
	pushes    pushQueue
	fetches   map[string]activeFetch // fetches of announced values in progress, by key
	current   *Accepted              // cache of Current; nil after a change
	hosts     *hostLists             // cache of mergeHostLists; nil after a change of a list
	conflicts map[netip.AddrPort]bool
}

// New returns a State without values, in its start phase.
func New(cfg Config) *State {
	if cfg.Fanout <= 0 {
		cfg.Fanout = DefaultFanout
	}
	if cfg.MaxRefusals <= 0 {
		cfg.MaxRefusals = DefaultMaxRefusals
	}
	if cfg.MaxMessage <= 0 {
		cfg.MaxMessage = DefaultMaxMessage
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &State{
		cfg:       cfg,
		starting:  true,
		values:    map[string]*entry{},
		pending:   map[string]*entry{},
		claims:    map[netip.AddrPort][]string{},
		conflicts: map[netip.AddrPort]bool{},
		refusals:  newRefusals(cfg.MaxRefusals),
		pushes:    newPushQueue(cfg.Seed),
		fetches:   map[string]activeFetch{},
	}
}

// EndStartPhase ends the start phase. It is called when the first values of the
// peers or of the platform have been offered. From then on a document from the
// platform that conflicts with an accepted one is rejected.
func (s *State) EndStartPhase() { s.starting = false }

// Offer parses and validates a value that was read under key. It accepts a valid
// value that is newer than the one in effect, unless an address conflict
// prevents it.
func (s *State) Offer(now time.Time, src Source, key string, raw []byte) Result {
	if s.inEffect(key, raw) {
		s.confirm(key, src)
		return Result{}
	}
	return s.OfferParsed(now, src, Parse(key, raw))
}

// OfferParsed is like Offer, for a value that Parse or UnparsedCandidate returned.
func (s *State) OfferParsed(now time.Time, src Source, c Candidate) Result {
	key, raw := c.key, c.raw
	if s.inEffect(key, raw) {
		s.confirm(key, src)
		return Result{}
	}
	if c.unparsed { // was in effect when the candidate was created
		c = Parse(key, raw)
	}
	if c.err != nil {
		return s.refuse(now, src, key, refusalReason(c.err), raw, 0, c.err)
	}
	e := &entry{
		Value:    Value{Key: key, Version: c.parsed.version, Digest: document.Digest(raw), Raw: slices.Clone(raw)},
		parsed:   c.parsed,
		fromPeer: src.Peer != "" && !src.Unconfirmed,
	}
	if refusal, err := s.checkVersion(e); err != nil {
		return s.refuse(now, src, key, refusal, raw, e.Version, err)
	}
	if conflicts := s.conflictsOf(e); len(conflicts) > 0 {
		if !s.acceptsConflict(src, conflicts) {
			return s.rejectPending(now, src, e, conflicts)
		}
		s.markUnconfirmed(src, e, conflicts)
	}
	s.accept(e)
	keys := append([]string{key}, s.acceptPending()...)
	return Result{Accepted: true, Push: true, Keys: keys}
}

// inEffect reports whether raw is the accepted value of key. Most reads of the
// platform return values that are in effect and need no parsing.
func (s *State) inEffect(key string, raw []byte) bool {
	e := s.values[key]
	return e != nil && len(raw) == len(e.Raw) && document.Digest(raw) == e.Digest
}

// confirm marks the accepted value of key as confirmed, unless src is the
// platform or a peer that marked the value as unconfirmed.
func (s *State) confirm(key string, src Source) {
	if src.Peer != "" && !src.Unconfirmed {
		s.values[key].Unconfirmed = false
		s.values[key].fromPeer = true
	}
}

// Current returns the values in effect.
func (s *State) Current() *Accepted {
	if s.current != nil {
		return s.current
	}
	a := &Accepted{
		Services:   make(map[string]*document.Service, len(s.values)),
		Conflicted: make(map[netip.AddrPort]bool, len(s.conflicts)),
	}
	for _, e := range s.values {
		switch {
		case e.parsed.service != nil:
			a.Services[e.parsed.service.Name] = e.parsed.service
		case e.parsed.dataCentres != nil:
			a.DataCentres = e.parsed.dataCentres
		}
	}
	if s.hosts == nil {
		s.hosts = s.mergeHostLists()
	}
	a.Hosts, a.HostLists = s.hosts.merged, s.hosts.withOwnList
	for addr := range s.conflicts {
		a.Conflicted[addr] = true
	}
	s.current = a
	return a
}

// Get returns the accepted value of key.
func (s *State) Get(key string) (Value, bool) {
	e := s.values[key]
	if e == nil {
		return Value{}, false
	}
	return s.export(e), true
}

// accept puts e into effect in place of the previous value of its key.
func (s *State) accept(e *entry) {
	if old := s.values[e.Key]; old != nil {
		s.index.remove(old.Value)
		s.releaseClaims(old)
		e.delta = deltaFrom(old, e)
	}
	if held := s.pending[e.Key]; held != nil && held.Version <= e.Version {
		delete(s.pending, e.Key)
	}
	s.cfg.Metrics.GetOrCreateCounter("nutmeglatch_configsync_accepted_total").Inc()
	s.values[e.Key] = e
	s.index.add(e.Value)
	s.addClaims(e)
	s.refusals.resolve(e.Key, e.Version)
	s.pushes.add(e.Key)
	s.current = nil
	if e.parsed.hosts != nil {
		s.hosts = nil
	}
}

// hostLists holds the accepted host lists, merged into one.
type hostLists struct {
	merged      *document.HostList
	withOwnList []string // data centres with a list of their own, sorted
}

func (s *State) mergeHostLists() *hostLists {
	var all *document.HostList
	byDataCentre := map[string]*document.HostList{}
	for key, e := range s.values {
		if e.parsed.hosts == nil {
			continue
		}
		if dc, _ := document.HostListKey(key); dc != "" {
			byDataCentre[dc] = e.parsed.hosts
		} else {
			all = e.parsed.hosts
		}
	}
	return &hostLists{document.MergeHostLists(all, byDataCentre), sortedKeys(byDataCentre)}
}
