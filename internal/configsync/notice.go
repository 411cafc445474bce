package configsync

import "time"

// noticeBytes is the size above which a value is announced to peers instead of
// being sent. A pushed value arrives 3.9 times on average. An announced one is
// fetched once, which takes one more round trip and one more call: at smaller
// sizes the calls outweigh the copies that are saved.
const noticeBytes = 4 << 10

// fetchLimit is the time after which another announcement of a value starts
// another fetch although the first one has not ended.
const fetchLimit = 2 * time.Second

// fetching is a fetch in progress of an announced value.
type fetching struct {
	version uint64
	until   time.Time
}

// announced reports whether a value is announced. Data centre state never is,
// because it must arrive soonest.
func (e *entry) announced() bool { return len(e.Raw) > noticeBytes && priority(e.Key) > 0 }

// PushMessageFor returns the message that pushes the values of keys, up to the size of
// one message, and the number of keys that it covers.
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

// AnnouncedToFetch returns the keys of announced versions that are to be fetched from
// the peer: those that are newer than the values here, unless a fetch of them
// is in progress. The caller reports the end of the fetch with Fetched.
func (s *State) AnnouncedToFetch(now time.Time, src Source, notices []Version) []string {
	versions := make(map[string]uint64, len(notices))
	for _, v := range notices {
		versions[v.Key] = v.Version
	}
	var keys []string
	for _, key := range s.Compare(now, src, nil, notices).Fetch {
		f, found := s.fetches[key]
		if found && f.version >= versions[key] && now.Before(f.until) {
			continue
		}
		s.fetches[key] = fetching{versions[key], now.Add(fetchLimit)}
		keys = append(keys, key)
	}
	return keys
}

// DeltaBases returns the digests of the values of keys that are large enough to be
// sent as a difference from them.
func (s *State) DeltaBases(keys []string) map[string]uint64 {
	have := map[string]uint64{}
	for _, key := range keys {
		if e := s.values[key]; e != nil && e.announced() {
			have[key] = e.Digest
		}
	}
	return have
}

// Fetch returns the values that a peer asks for, up to the size of one message,
// and large ones as the difference from the version that it has.
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

// FetchEnded ends the fetch of keys. When it failed, the next announcement or the
// comparison of digests starts another one.
func (s *State) FetchEnded(keys []string) {
	for _, key := range keys {
		delete(s.fetches, key)
	}
}
