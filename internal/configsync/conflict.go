package configsync

import (
	"net/netip"
	"slices"
	"time"
)

// conflictsOf returns the addresses of e that accepted documents of other
// services claim too.
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

// acceptsConflict reports whether a document that conflicts with accepted ones
// is accepted all the same.
//
// A document that another entry host accepted, for instance on the other side
// of a partition, is accepted: otherwise the two sides would keep different
// versions for ever and send packets of two services to one address. In the
// start phase, documents of the platform that are read together are all
// accepted, unless a peer has already accepted the conflicting one. In both
// cases no service sends to the shared address. Hosts that have left their
// start phase reject an unconfirmed document with a conflict.
func (s *State) acceptsConflict(src Source, conflicts []conflict) bool {
	if src.Peer != "" && !src.Unconfirmed {
		return true
	}
	if !s.starting {
		return false
	}
	return src.Peer != "" || !slices.ContainsFunc(conflicts, func(c conflict) bool { return s.values[c.other].fromPeer })
}

// markUnconfirmed marks the documents of a conflict that this host accepts
// only because it reads them together in its start phase. Which of them was
// read first makes no difference.
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

// export returns a value as it is sent to peers. A document is sent as
// unconfirmed only while its conflict lasts.
func (s *State) export(e *entry) Value {
	v := e.Value
	v.Unconfirmed = v.Unconfirmed && len(s.conflictsOf(e)) > 0
	return v
}

// rejectPending rejects e but keeps it as pending, so that it is checked again
// when one of the documents it conflicts with changes. It accepts e at once if
// e and other pending documents together have no conflict.
func (s *State) rejectPending(now time.Time, src Source, e *entry, conflicts []conflict) Result {
	if held := s.pending[e.Key]; held == nil || held.Version < e.Version {
		s.pending[e.Key] = e
	}
	if keys := s.acceptPending(); slices.Contains(keys, e.Key) {
		return Result{Accepted: true, Push: true, Keys: keys}
	}
	return s.refuse(now, src, e.Key, RefusalAddressConflict, e.Raw, e.Version, conflictError(conflicts))
}

// acceptPending accepts the largest set of pending documents that conflict
// neither with each other nor with the documents that stay in effect, and
// returns their keys. Accepting them together lets two services swap addresses.
func (s *State) acceptPending() []string {
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

// blocked returns the candidates that conflict with another candidate or with
// the accepted document of a service that has no candidate.
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
