package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// platformStore holds the published values and the indexes of deletions.
type platformStore struct {
	index   uint64 // of the last change of any key
	values  map[string]platformValue
	deleted map[string]uint64 // index of the deletion by key
}

func newPlatformStore() platformStore {
	return platformStore{index: 1, values: map[string]platformValue{}, deleted: map[string]uint64{}}
}

func (s *platformStore) clone() platformStore {
	return platformStore{s.index, maps.Clone(s.values), maps.Clone(s.deleted)}
}

func (s *platformStore) put(key string, index uint64, raw []byte) {
	s.index = max(s.index, index)
	s.values[key] = platformValue{index: index, raw: slices.Clone(raw)}
	delete(s.deleted, key)
}

func (s *platformStore) remove(key string) {
	s.index++
	delete(s.values, key)
	s.deleted[key] = s.index
}

// platformQuery is a read of the Consul KV HTTP API.
type platformQuery struct {
	path    string
	recurse bool          // all keys with the prefix path, which may end within a path segment
	keys    bool          // like recurse, but returns only the names
	after   uint64        // blocks until the index is greater; 0 does not block
	wait    time.Duration // limit of a blocking read
}

func parsePlatformQuery(u *url.URL) platformQuery {
	params := u.Query()
	q := platformQuery{path: strings.TrimPrefix(u.Path, "/v1/kv/"), recurse: params.Has("recurse"), keys: params.Has("keys")}
	q.after, _ = strconv.ParseUint(params.Get("index"), 10, 64)
	wait, err := time.ParseDuration(params.Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	q.wait = wait
	return q
}

func (q *platformQuery) covers(key string) bool {
	return key == q.path || (q.recurse || q.keys) && strings.HasPrefix(key, q.path)
}

// platformAnswer is the result of a read.
type platformAnswer struct {
	index   uint64
	entries []kvEntry
}

// read answers a query. The index of the answer is the highest one under the path,
// deletions included. If there are neither values nor deletions under the path, it
// is the index of the whole store, so that each change ends a blocking read.
func (s *platformStore) read(q platformQuery) platformAnswer {
	var a platformAnswer
	for key, v := range s.values {
		if q.covers(key) {
			a.index = max(a.index, v.index)
			a.entries = append(a.entries, kvEntry{Key: key, ModifyIndex: v.index, CreateIndex: 1, Value: v.raw})
		}
	}
	for key, index := range s.deleted {
		if q.covers(key) {
			a.index = max(a.index, index)
		}
	}
	if a.index == 0 {
		a.index = s.index
	}
	slices.SortFunc(a.entries, func(x, y kvEntry) int { return strings.Compare(x.Key, y.Key) })
	return a
}

// kvEntry is one element of a response of the Consul KV HTTP API.
type kvEntry struct {
	Key         string
	ModifyIndex uint64
	CreateIndex uint64
	LockIndex   uint64
	Flags       uint64
	Value       []byte
}

// write sends the answer and returns the length of its body in bytes.
func (a *platformAnswer) write(w http.ResponseWriter, q platformQuery) int64 {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Consul-Index", strconv.FormatUint(a.index, 10))
	if len(a.entries) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return 0
	}
	body, err := json.Marshal(a.body(q))
	if err != nil {
		return 0
	}
	n, _ := w.Write(body)
	return int64(n)
}

func (a *platformAnswer) body(q platformQuery) any {
	if !q.keys {
		return a.entries
	}
	names := make([]string, len(a.entries))
	for i, e := range a.entries {
		names[i] = e.Key
	}
	return names
}
