package configsync

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// sizes are numbers of documents: the present scale, a medium one, and the number
// of addresses of the two-year target.
var sizes = []int{10, 1000, 6900}

// benchDocument returns the key and content of document i. It has six backend
// servers, the mean of the two-year target.
func benchDocument(i, version int) (string, []byte) {
	var addresses []string
	for j := range 6 {
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.%d", j+1, i/250, i%250+1))
	}
	name := fmt.Sprintf("s%04d", i)
	raw := strings.Replace(string(service(name, version, addresses...)), "port: 7001", fmt.Sprintf("port: %d", 1000+i), 1)
	return "services/" + name, []byte(raw)
}

func filledState(b *testing.B, n int) *State {
	s := startedState()
	for i := range n {
		key, raw := benchDocument(i, 1)
		if r := s.Offer(now, Platform, key, raw); !r.Accepted {
			b.Fatal(r.Err)
		}
	}
	return s
}

func BenchmarkOffer(b *testing.B) {
	for _, n := range sizes {
		for _, kind := range []string{"unchanged", "newer"} {
			b.Run(fmt.Sprintf("%s/documents=%d", kind, n), func(b *testing.B) {
				s := filledState(b, n)
				key, raw := benchDocument(0, 1)
				b.ReportAllocs()
				for version := 2; b.Loop(); version++ {
					if kind == "newer" {
						key, raw = benchDocument(0, version)
					}
					s.Offer(now, Platform, key, raw)
				}
			})
		}
	}
}

func BenchmarkSummary(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("documents=%d", n), func(b *testing.B) {
			s := filledState(b, n)
			for b.Loop() {
				s.Summary()
			}
		})
	}
}

func BenchmarkCurrentAfterChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("documents=%d", n), func(b *testing.B) {
			s := filledState(b, n)
			b.ReportAllocs()
			for b.Loop() {
				s.current = nil
				s.Current()
			}
		})
	}
}

// BenchmarkStateBytes reports the live heap per accepted document.
func BenchmarkStateBytes(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("documents=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := liveHeap()
				s := filledState(b, n)
				s.Current()
				b.ReportMetric(float64(liveHeap()-before)/float64(n), "B/document")
				runtime.KeepAlive(s)
			}
		})
	}
}

func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMessages reports the encoded bytes of each message of a comparison
// after one document has changed, and of the push of that document.
func BenchmarkMessages(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("documents=%d", n), func(b *testing.B) {
			s := filledState(b, n)
			key, _ := benchDocument(0, 1)
			part := []uint8{partOf(key)}
			encoded := func(v any) float64 {
				raw, err := json.Marshal(v)
				if err != nil {
					b.Fatal(err)
				}
				return float64(len(raw))
			}
			for b.Loop() {
				b.ReportMetric(encoded(PushMessage{Values: s.Values([]string{key})}), "push-B")
				b.ReportMetric(encoded(PartialMessage{Summary: s.Summary(), Parts: s.PartialDigests()}), "partial-B")
				b.ReportMetric(encoded(VersionsResponse{Versions: s.Versions(part)}), "versions-B")
			}
		})
	}
}

// BenchmarkTakePushes measures how long it takes to choose the receivers of a change.
func BenchmarkTakePushes(b *testing.B) {
	for _, hosts := range []int{7, 100, 1900, 5700} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			s := filledState(b, 10)
			key, _ := benchDocument(0, 1)
			peers := make([]string, hosts)
			for i := range peers {
				peers[i] = fmt.Sprintf("lhr-gulberg-%d", i)
			}
			for b.Loop() {
				s.pushes.add(key)
				s.TakePushes(peers[:min(8, hosts)], peers)
			}
		})
	}
}

// BenchmarkPushRounds simulates the spread of a change that starts at one host.
// Every host pushes once, when it first accepts the change. It reports the rounds
// until no host pushes any more and the share of hosts that no push reached.
func BenchmarkPushRounds(b *testing.B) {
	for _, hosts := range []int{7, 100, 1900, 5700} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			q := newPushQueue(1)
			ids := make([]string, hosts)
			for i := range ids {
				ids[i] = fmt.Sprint(i)
			}
			rounds, missed, runs := 0, 0, 0
			for b.Loop() {
				reached := map[string]bool{ids[0]: true}
				for front := ids[:1]; len(front) > 0; rounds++ {
					var next []string
					for range front {
						for _, id := range q.pick(ids, DefaultFanout) {
							if !reached[id] {
								reached[id] = true
								next = append(next, id)
							}
						}
					}
					front = next
				}
				missed += hosts - len(reached)
				runs++
			}
			b.ReportMetric(float64(rounds)/float64(runs), "rounds")
			b.ReportMetric(100*float64(missed)/float64(runs*hosts), "missed-%")
		})
	}
}

// benchHostList returns a host list of seven data centres.
func benchHostList(hosts int) []byte { return benchHostListOf(hosts, 0, 1) }

// benchHostListOf returns the list of every step-th host from first on. With a
// step of 7 these are the hosts of one data centre.
func benchHostListOf(hosts, first, step int) []byte {
	raw := []byte("version: 1\nhosts:\n")
	for i := first; i < hosts; i += step {
		random := xxhash.Sum64String(fmt.Sprint(i)) // ids in order would compress better than those in use
		raw = fmt.Appendf(raw, "  - {id: host-%d-%04x, data_centre: dc-%d, region: r, address: 10.%d.%d.%d, peer_port: 6090, gue_port: 6080, state: live}\n", i, uint16(random), i%7, i/250, uint8(random>>16), i%250+1)
	}
	return raw
}

// copiesPerPush is the mean number of copies of a push that a host receives;
// callOverheadBytes is the size of a call without its parameters and result.
const (
	copiesPerPush     = 3.9
	callOverheadBytes = 330
)

// BenchmarkHostListChange reports the bytes that each host receives for a change
// of the host list: if it were pushed as a value, and as it is sent in fact, with
// an announcement and a delta if the list is large. The list is that of all hosts
// or of one of seven data centres.
func BenchmarkHostListChange(b *testing.B) {
	for _, hosts := range []int{7, 100, 1900, 5700} {
		benchmarkListChange(b, fmt.Sprintf("all/hosts=%d", hosts), document.HostsKey, benchHostList(hosts))
		benchmarkListChange(b, fmt.Sprintf("data-centre/hosts=%d", hosts), document.HostsKeyPrefix+"dc-0", benchHostListOf(hosts, 0, 7))
	}
}

func benchmarkListChange(b *testing.B, name, key string, raw []byte) {
	b.Run(name, func(b *testing.B) {
		s := startedState()
		if r := s.Offer(now, Platform, key, raw); !r.Accepted {
			b.Fatal(r.Err)
		}
		keys := []string{key}
		have := s.DeltaBases(keys)
		next := bytes.Replace(bytes.Replace(raw, []byte("version: 1"), []byte("version: 2"), 1), []byte("live"), []byte("leaving"), 1)
		if r := s.Offer(now, Platform, key, next); !r.Accepted {
			b.Fatal(r.Err)
		}
		var push, fetch []byte
		for b.Loop() {
			m, _ := s.PushMessageFor(keys)
			push, _ = json.Marshal(m)
			fetch = nil
			if len(m.Announcements) > 0 {
				fetch, _ = json.Marshal(FetchResponse{Values: []Value{s.Fetch(FetchRequest{Keys: keys, DeltaBases: have})[0].Pack()}})
			}
		}
		value, _ := json.Marshal(PushMessage{Values: s.Values(keys)})
		received := copiesPerPush * float64(len(push)+callOverheadBytes)
		if fetch != nil {
			received += float64(len(fetch) + callOverheadBytes)
		}
		b.ReportMetric(copiesPerPush*float64(len(value)+callOverheadBytes), "as-values-B")
		b.ReportMetric(received, "received-B")
	})
}

// BenchmarkHostListMerge measures the merge of the lists after a change of one of
// seven.
func BenchmarkHostListMerge(b *testing.B) {
	for _, hosts := range []int{7, 100, 1900, 5700} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			s := startedState()
			for dc := range 7 {
				s.Offer(now, Platform, fmt.Sprintf("hosts/dc-%d", dc), benchHostListOf(hosts, dc, 7))
			}
			for b.Loop() {
				if merged := s.mergeHostLists().merged; len(merged.Hosts) != hosts {
					b.Fatalf("%d hosts", len(merged.Hosts))
				}
			}
		})
	}
}

// BenchmarkDelta measures the computation of the delta of two versions, which
// happens once per change.
func BenchmarkDelta(b *testing.B) {
	for _, hosts := range []int{7, 100, 1900, 5700} {
		raw := benchHostList(hosts)
		next := bytes.Replace(raw, []byte("live"), []byte("leaving"), 1)
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				newDelta(raw, next)
			}
		})
	}
}

// BenchmarkHostListCopy measures the offer of a host list that is in effect.
// Pushes deliver about four copies of each value.
func BenchmarkHostListCopy(b *testing.B) {
	for _, hosts := range []int{7, 100, 1900, 5700} {
		raw := benchHostList(hosts)
		s := New(Config{})
		if r := s.Offer(time.Time{}, Platform, document.HostsKey, raw); !r.Accepted {
			b.Fatal(r.Err)
		}
		b.Run(fmt.Sprintf("parsed/%d", hosts), func(b *testing.B) {
			for b.Loop() {
				s.OfferParsed(time.Time{}, Platform, Parse(document.HostsKey, raw))
			}
		})
		b.Run(fmt.Sprintf("known/%d", hosts), func(b *testing.B) {
			for b.Loop() {
				c, _ := s.UnparsedCandidate(document.HostsKey, raw)
				s.OfferParsed(time.Time{}, Platform, c)
			}
		})
	}
}
