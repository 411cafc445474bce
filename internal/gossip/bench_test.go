package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// BenchmarkSent reports the bytes that a host sends to others in a second, without packet headers.
func BenchmarkSent(b *testing.B) {
	for _, n := range []int{7, 90, 1000, 5700} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newFleet(n)
			m := f.members[0]
			var loads []Load
			for i := range min(maxLoads, 3*n) {
				loads = append(loads, Load{Place: uint32(i) << 20, Flows: 1000})
			}
			bytes, seconds := 0, 0
			for b.Loop() {
				for round := range 4 {
					msg := &Message{From: m.self, Revision: 1 << 30, AgeMs: 1000, Reader: m.self.Addr}
					if round == 0 {
						msg.Hosts, msg.Loads = m.Sample(), loads
					}
					text, err := Encode(msg)
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(text) * len(receivers(m))
				}
				seconds++
			}
			b.ReportMetric(float64(bytes)/float64(seconds), "bytes/s")
		})
	}
}

func receivers(m *Members) []netip.AddrPort { return m.Receivers(time.Second) }
