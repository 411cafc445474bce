package flow

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// benchSizes are numbers of entries. The largest is the number per host at the
// two-year target: two owner copies and one cached copy of 200 million flows
// over 5,700 hosts.
var benchSizes = []int{10_000, 30_000, 105_000}

func benchTable(flows int) *Table {
	t := NewTable(1 << 20)
	for i := range flows {
		k := packet.Key{DstPort: 7001, Proto: packet.ProtoTCP}
		binary.BigEndian.PutUint32(k.Src[12:], uint32(i))
		t.Put(k, k.Hash(), Entry{Port: 6080, Service: 1, State: Settled})
	}
	return t
}

// BenchmarkSweep measures one pass over a table without idle entries.
func BenchmarkSweep(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			t := benchTable(n)
			idle := func(packet.Key, Entry) uint32 { return 600 }
			counted := 0
			for b.Loop() {
				t.Sweep(1, idle, func(packet.Key, Entry) { counted++ })
			}
		})
	}
}

// BenchmarkTableBytes reports the live heap per entry.
func BenchmarkTableBytes(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := benchTable(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/flow")
				runtime.KeepAlive(t)
			}
		})
	}
}
