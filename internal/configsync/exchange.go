package configsync

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// JSON-RPC methods of the messages between entry hosts.
const (
	MethodPush     = "config.push"
	MethodPartial  = "config.partial"
	MethodVersions = "config.versions"
	MethodFetch    = "config.fetch"
)

// ReadersPerDataCentre is the number of hosts per data centre that keep a
// blocking read of the platform open.
const ReadersPerDataCentre = 2

// PushMessage carries newly accepted values and announces large ones, which the
// receiver fetches. It has no result.
type PushMessage struct {
	Values        []Value   `json:"values"`
	Announcements []Version `json:"notices,omitempty"`
}

// PartialMessage is the result of config.partial, which has no parameters.
type PartialMessage struct {
	Summary uint64      `json:"summary"` // digest of all accepted versions
	Parts   [256]uint64 `json:"parts"`   // partial digests
}

// VersionsRequest requests the versions of the parts that differ. JSON encodes
// the parts as base64, like every byte slice.
type VersionsRequest struct {
	Parts []uint8 `json:"parts"`
}

// VersionsResponse is the result of config.versions.
type VersionsResponse struct {
	Versions []Version `json:"versions"`
}

// FetchRequest requests values.
type FetchRequest struct {
	Keys []string `json:"keys"`
	// Packed is set by callers that can unpack values. Callers of an earlier
	// release do not set it.
	Packed bool `json:"packed,omitempty"`
	// DeltaBases holds, by key, the digests of the versions that the caller has
	// of large values. The caller accepts deltas from them.
	DeltaBases map[string]uint64 `json:"have,omitempty"`
}

// FetchResponse is the result of config.fetch. It holds fewer values than were
// requested if they exceed the size of one message; the caller then requests
// the rest.
type FetchResponse struct {
	Values []Value `json:"values"`
}

// Comparison lists the keys of the values that two hosts should exchange.
type Comparison struct {
	Fetch []string // newer at the peer, in the order in which to fetch them
	Send  []string // newer here
}

// Compare compares the versions of a peer with those that this host has accepted
// in the given parts. Versions that were rejected before are not fetched again.
// An equal version with different content is recorded as rejected.
func (s *State) Compare(now time.Time, src Source, parts []uint8, theirs []Version) Comparison {
	var c Comparison
	listed := make(map[string]bool, len(theirs))
	for _, v := range theirs {
		listed[v.Key] = true
		mine := s.values[v.Key]
		switch {
		case mine == nil || v.Version > mine.Version:
			if !s.knownRefusal(v) {
				c.Fetch = append(c.Fetch, v.Key)
			}
		case v.Version < mine.Version:
			c.Send = append(c.Send, v.Key)
		case v.Digest != mine.Digest:
			s.countRefusal(RefusalSameVersion)
			err := sameVersionError(v.Version, v.Digest, mine.Digest)
			s.refusals.add(now, src, truncate(v.Key, maxKeyBytes), RefusalSameVersion, v.Digest, v.Version, err)
		}
	}
	for _, v := range s.Versions(parts) {
		if !listed[v.Key] {
			c.Send = append(c.Send, v.Key)
		}
	}
	sortByPriority(c.Fetch, identity)
	sortByPriority(c.Send, identity)
	return c
}

// knownRefusal reports whether v would only be rejected again if it were
// fetched. A document that was rejected for an address conflict is fetched if
// the peer has confirmed it, because it is then accepted here too.
func (s *State) knownRefusal(v Version) bool {
	reason, known := s.refusals.find(v.Key, v.Digest)
	return known && (reason != RefusalAddressConflict || v.Unconfirmed)
}

// Values returns the accepted values of keys, in the order in which they are
// sent. It returns at least one, and no more than fit into one message.
func (s *State) Values(keys []string) []Value {
	ordered := slices.Clone(keys)
	sortByPriority(ordered, identity)
	ordered = slices.Compact(ordered)
	var values []Value
	size := 0
	for _, key := range ordered {
		e := s.values[key]
		if e == nil {
			continue
		}
		size += encodedSize(e.Value)
		if len(values) > 0 && size > s.cfg.MaxMessage {
			break
		}
		values = append(values, s.export(e))
	}
	return values
}

// valueOverhead bounds the JSON encoding of a value without its content, in bytes.
const valueOverhead = 256

// encodedSize returns an upper bound of the size of a value in a message, in
// bytes. Base64 encodes three bytes of content as four.
func encodedSize(v Value) int { return valueOverhead + (len(v.Raw)+2)/3*4 }

// Push is a push message and the ids of its receivers.
type Push struct {
	To []string
	PushMessage
}

// pushQueue holds the keys of accepted values that have not been pushed yet.
type pushQueue struct {
	keys map[string]bool
	rand *rand.Rand
}

func newPushQueue(seed uint64) pushQueue {
	return pushQueue{keys: map[string]bool{}, rand: rand.New(rand.NewPCG(seed, seed))}
}

func (q *pushQueue) add(key string) { q.keys[key] = true }

// TakePushes returns the pushes of the values accepted since the last call,
// in the order in which they are sent. Data centre state is sent first, to every
// host of group and to random hosts of peers; the other values are sent to
// random hosts of peers. Neither list may contain this host.
func (s *State) TakePushes(group, peers []string) []Push {
	keys := sortedKeys(s.pushes.keys)
	s.pushes.keys = map[string]bool{}
	sortByPriority(keys, identity)
	var pushes []Push
	if len(keys) > 0 && priority(keys[0]) == 0 {
		to := append(slices.Clone(group), s.pushes.pick(peers, s.cfg.Fanout)...)
		message, _ := s.PushMessageFor(keys[:1])
		pushes = appendPush(pushes, unique(to), message)
		keys = keys[1:]
	}
	to := s.pushes.pick(peers, s.cfg.Fanout)
	for len(keys) > 0 {
		message, covered := s.PushMessageFor(keys)
		pushes = appendPush(pushes, to, message)
		keys = keys[covered:]
	}
	return pushes
}

func appendPush(pushes []Push, to []string, m PushMessage) []Push {
	if len(to) == 0 || len(m.Values)+len(m.Announcements) == 0 {
		return pushes
	}
	return append(pushes, Push{To: to, PushMessage: m})
}

// pick returns n random hosts of peers, or all of them if there are fewer.
func (q *pushQueue) pick(peers []string, n int) []string {
	picked := slices.Clone(peers)
	q.rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(n, len(picked))]
}

// unique removes repeated ids in place and keeps the order.
func unique(ids []string) []string {
	seen := make(map[string]bool, len(ids))
	return slices.DeleteFunc(ids, func(id string) bool {
		repeated := seen[id]
		seen[id] = true
		return repeated
	})
}

// Readers returns the hosts of a data centre that keep a blocking read of the
// platform open: the highest-ranked of its live hosts by rendezvous hash.
func Readers(dataCentre string, live []string) []string {
	ranked := slices.Clone(live)
	rank := func(id string) uint64 { return xxhash.Sum64String(dataCentre + "\x00" + id) }
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	return ranked[:min(ReadersPerDataCentre, len(ranked))]
}

func identity(s string) string { return s }
