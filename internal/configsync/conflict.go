package configsync

import (
	"net/netip"
	"slices"
	"time"
)

// conflictsOf returns the addresses of e that accepted documents of other
// services claim.
func (s *State) conflictsOf(e *entry) []conflict {
	var found []conflict
	for _, addr := range e.parsed.claims() {
		for _, key := range s.claims[addr] {
			if key != e.Key {
				found = append(found, conflict{addr, key})
			}
		}
	}
	return found
}

// acceptsConflict decides on a document that conflicts with accepted ones.
//
// A document that another entry host accepted, for instance on the other side
// of a partition, is accepted although it conflicts: otherwise the two sides
// would keep different versions for ever and send packets of two services to
// one address. At a start the documents that are first read together are all
// accepted, unless a peer already uses the other document. In both cases no
// service sends to the shared address. An unconfirmed document does not
// spread to hosts that have left their start phase.
func (s *State) acceptsConflict(src Source, conflicts []conflict) bool {
	if src.Peer != "" && !src.Unconfirmed {
		return true
	}
	if !s.starting {
		return false
	}
	return src.Peer != "" || !slices.ContainsFunc(conflicts, func(c conflict) bool { return s.values[c.other].fromPeer })
}

// markUnconfirmed marks the documents of a conflict that this host accepted
// only because it read them together at its start. The mark does not depend
// on which of them was read first.
func (s *State) markUnconfirmed(src Source, e *entry, conflicts []conflict) {
	if src.Peer != "" && !src.Unconfirmed {
		return
	}
	e.Unconfirmed = true
	for _, c := range conflicts {
		if other := s.values[c.other]; !other.fromPeer {
			other.Unconfirmed = true
		}
	}
}

// export returns a value as it is sent to peers. The mark of a document at the
// start ends with its conflict.
func (s *State) export(e *entry) Value {
	v := e.Value
	v.Unconfirmed = v.Unconfirmed && len(s.conflictsOf(e)) > 0
	return v
}

// holdBack rejects e and keeps it for another check when one of the documents
// it conflicts with changes.
func (s *State) holdBack(now time.Time, src Source, e *entry, conflicts []conflict) Result {
	if held := s.pending[e.Key]; held == nil || held.Version < e.Version {
		s.pending[e.Key] = e
	}
	if keys := s.settle(); slices.Contains(keys, e.Key) {
		return Result{Accepted: true, Push: true, Keys: keys}
	}
	return s.refuse(now, src, e.Key, RefusalAddressConflict, e.Raw, e.Version, conflictError(conflicts))
}

// settle accepts the largest set of pending documents that conflict neither
// with each other nor with the documents that stay in effect, and returns
// their keys. Taking them together lets two services exchange an address.
func (s *State) settle() []string {
	if len(s.pending) == 0 {
		return nil
	}
	candidates := make(map[string]*entry, len(s.pending))
	for key, e := range s.pending {
		candidates[key] = e
	}
	for {
		blocked := s.blocked(candidates)
		if len(blocked) == 0 {
			break
		}
		for _, key := range blocked {
			delete(candidates, key)
		}
	}
	keys := sortedKeys(candidates)
	for _, key := range keys {
		s.accept(candidates[key])
	}
	return keys
}

// blocked returns the candidates that could not take effect together with the
// other candidates and the accepted documents of the remaining services.
func (s *State) blocked(candidates map[string]*entry) []string {
	wanted := map[netip.AddrPort]string{}
	blocked := map[string]bool{}
	for _, key := range sortedKeys(candidates) {
		for _, addr := range candidates[key].parsed.claims() {
			if first, taken := wanted[addr]; taken && first != key {
				blocked[first], blocked[key] = true, true
			}
			wanted[addr] = key
			for _, holder := range s.claims[addr] {
				if holder != key && candidates[holder] == nil {
					blocked[key] = true
				}
			}
		}
	}
	return sortedKeys(blocked)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (s *State) addClaims(e *entry) {
	for _, addr := range e.parsed.claims() {
		if slices.Contains(s.claims[addr], e.Key) {
			continue
		}
		s.claims[addr] = append(s.claims[addr], e.Key)
		if len(s.claims[addr]) > 1 {
			s.conflicts[addr] = true
		}
	}
}

func (s *State) releaseClaims(e *entry) {
	for _, addr := range e.parsed.claims() {
		rest := slices.DeleteFunc(s.claims[addr], func(key string) bool { return key == e.Key })
		if len(rest) == 0 {
			delete(s.claims, addr)
		} else {
			s.claims[addr] = rest
		}
		if len(rest) < 2 {
			delete(s.conflicts, addr)
		}
	}
}
