package configsync

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// sizes are today's scale, a middle one and the two-year target's addresses.
var sizes = []int{10, 1000, 6900}

// benchDocument returns document i with six backend servers, the target's mean.
func benchDocument(i, version int) (string, []byte) {
	var addresses []string
	for j := range 6 {
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.%d", j+1, i/250, i%250+1))
	}
	name := fmt.Sprintf("s%04d", i)
	raw := strings.Replace(string(service(name, version, addresses...)), "port: 7001", fmt.Sprintf("port: %d", 1000+i), 1)
	return "services/" + name, []byte(raw)
}

func filled(b *testing.B, n int) *State {
	s := started()
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
				s := filled(b, n)
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
			s := filled(b, n)
			for b.Loop() {
				s.Summary()
			}
		})
	}
}

func BenchmarkCurrentAfterChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("documents=%d", n), func(b *testing.B) {
			s := filled(b, n)
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
				s := filled(b, n)
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
