package configsync

import "time"

// announceThresholdBytes is the size above which a value is announced to peers
// instead of being sent. A pushed value arrives 3.9 times on average. An
// announced one is fetched once, which takes one more round trip and one more
// call: at smaller sizes the calls cost more than the copies that they save.
const announceThresholdBytes = 4 << 10

// fetchTimeout is the time after which another announcement of a value starts
// another fetch although the first one has not ended.
const fetchTimeout = 2 * time.Second

// activeFetch is a fetch of an announced value that is in progress.
type activeFetch struct {
	version uint64
	expires time.Time // from then on another fetch may start
}

// announced reports whether a value is announced to peers instead of being sent.
// Data centre state never is, because it must arrive soonest.
func (e *entry) announced() bool { return len(e.Raw) > announceThresholdBytes && priority(e.Key) > 0 }

// PushMessageFor returns a message that pushes the values of keys, and the number
// of keys that it covers: those at the start of the list that fit into one
// message. Keys without a value count as covered.
func (s *State) PushMessageFor(keys []string) (m PushMessage, covered int) {
	size := 0
	for _, key := range keys {
		e := s.values[key]
		if e == nil {
			covered++
			continue
		}
		v := s.export(e)
		if e.announced() {
			size += valueOverhead
		} else {
			size += encodedSize(v)
		}
		if size > s.cfg.MaxMessage && len(m.Values)+len(m.Announcements) > 0 {
			break
		}
		if e.announced() {
			m.Announcements = append(m.Announcements, Version{v.Key, v.Version, v.Digest, v.Unconfirmed})
		} else {
			m.Values = append(m.Values, v)
		}
		covered++
	}
	return m, covered
}

// AnnouncedToFetch returns the keys of announced versions to fetch from the
// peer: those that are newer than the accepted ones, unless a fetch of the same
// or a newer version is in progress. The caller reports the end of the fetch
// with FetchEnded.
func (s *State) AnnouncedToFetch(now time.Time, src Source, announcements []Version) []string {
	versions := make(map[string]uint64, len(announcements))
	for _, v := range announcements {
		versions[v.Key] = v.Version
	}
	var keys []string
	for _, key := range s.Compare(now, src, nil, announcements).Fetch {
		f, found := s.fetches[key]
		if found && f.version >= versions[key] && now.Before(f.expires) {
			continue
		}
		s.fetches[key] = activeFetch{versions[key], now.Add(fetchTimeout)}
		keys = append(keys, key)
	}
	return keys
}

// DeltaBases returns, by key, the digests of the accepted values of keys that
// are large enough to be the base of a delta.
func (s *State) DeltaBases(keys []string) map[string]uint64 {
	bases := map[string]uint64{}
	for _, key := range keys {
		if e := s.values[key]; e != nil && e.announced() {
			bases[key] = e.Digest
		}
	}
	return bases
}

// Fetch returns the values that a peer requests, up to the size of one message.
// Large values are returned as deltas if the peer has the base.
func (s *State) Fetch(r FetchRequest) []Value {
	values := s.Values(r.Keys)
	for i := range values {
		v := &values[i]
		delta, base := s.values[v.Key].delta, r.DeltaBases[v.Key]
		if delta != nil && delta.Base == base {
			v.Raw, v.Delta = nil, delta
		}
	}
	return values
}

// FetchEnded records that the fetch of keys has ended. If it failed, the next
// announcement or the comparison of digests starts another one.
func (s *State) FetchEnded(keys []string) {
	for _, key := range keys {
		delete(s.fetches, key)
	}
}
