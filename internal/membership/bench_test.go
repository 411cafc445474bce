package membership

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
)

var benchSizes = []int{7, 100, 1000, 5700}

// benchState returns a State in which all listed hosts are confirmed.
func benchState(n int) (*State, []document.Host) {
	hosts := make([]document.Host, n)
	for i := range hosts {
		hosts[i] = host(i)
		hosts[i].ID = fmt.Sprintf("lhr-gulberg-%d", i)
	}
	s := New(Config{Self: hosts[0], Boot: 1764824465123}, start)
	s.SetDigest(math.MaxUint64)
	s.SetListed(start, hosts)
	for _, h := range hosts[1:] {
		for _, o := range s.Merge(start, []Update{{ID: h.ID, Boot: 1764824465123}}) {
			if m, ok := o.(Send); ok {
				s.Receive(start, Sender{ID: m.To, Boot: 1764824465123}, Message{Kind: Ack, Seq: m.Message.Seq})
			}
		}
	}
	return s, hosts
}

// exchange simulates one probe interval of a host: it probes a host, which
// answers, and answers a probe from another host. It returns the number of bytes
// in the datagrams that it sent.
func exchange(b *testing.B, s *State, now time.Time, from Sender) (sent int) {
	out := s.Tick(now)
	out = append(out, s.Receive(now, from, Message{Kind: Probe, Seq: math.MaxUint32})...)
	for _, o := range out {
		m, ok := o.(Send)
		if !ok {
			continue
		}
		body, err := m.Message.Encode()
		if err != nil {
			b.Fatal(err)
		}
		sent += len(peer.SealDatagram(nil, new([16]byte), "lhr-gulberg-1", from.Boot, 1, body))
		s.Receive(now, Sender{ID: m.To, Boot: from.Boot}, Message{Kind: Ack, Seq: m.Message.Seq})
	}
	return sent
}

// BenchmarkProbeInterval measures probe intervals without updates and with
// MaxUpdates updates per message.
func BenchmarkProbeInterval(b *testing.B) {
	for _, busy := range []bool{false, true} {
		for _, n := range benchSizes {
			b.Run(fmt.Sprintf("busy=%v/hosts=%d", busy, n), func(b *testing.B) {
				s, hosts := benchState(n)
				now, bytes := start, 0
				b.ReportAllocs()
				for rounds := 0; b.Loop(); rounds++ {
					if busy {
						for _, h := range hosts[1:min(n, 1+MaxUpdates)] {
							s.updates.add(h.ID)
						}
					}
					now = now.Add(DefaultProbeInterval)
					bytes += exchange(b, s, now, Sender{ID: hosts[1+rounds%(n-1)].ID, Boot: 1764824465123})
				}
				b.ReportMetric(float64(bytes)/(float64(b.N)*DefaultProbeInterval.Seconds()), "sent-B/s")
			})
		}
	}
}

// BenchmarkStateBytes measures the heap use of a State per listed host.
func BenchmarkStateBytes(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var total uint64
			for b.Loop() {
				before := heapBytes()
				s, hosts := benchState(n)
				s.Tick(start.Add(DefaultProbeInterval))
				total += heapBytes() - before
				runtime.KeepAlive(s)
				runtime.KeepAlive(hosts)
			}
			b.ReportMetric(float64(total)/float64(b.N*n), "state-B/host")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMembers measures the methods that the control loop calls.
func BenchmarkMembers(b *testing.B) {
	for _, n := range benchSizes {
		s, hosts := benchState(n)
		b.Run(fmt.Sprintf("members/hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				s.Members()
			}
		})
		b.Run(fmt.Sprintf("majority/hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				s.Majority(nil)
			}
		})
		b.Run(fmt.Sprintf("voters/hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				Voters("gridwatch", hosts)
			}
		})
		// In the target deployment a host owns buckets of ten services.
		services := make([]string, 10)
		for i := range services {
			services[i] = fmt.Sprintf("s%d", i)
			s.SetQuorum(start, services[i], []string{hosts[0].ID}, Voters(services[i], hosts))
		}
		b.Run(fmt.Sprintf("quorum/hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				for _, service := range services {
					s.Quorum(service)
				}
			}
		})
		b.Run(fmt.Sprintf("list/hosts=%d", n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				s.SetListed(start, hosts[:n-i%2])
			}
		})
	}
}
