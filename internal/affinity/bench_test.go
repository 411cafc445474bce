package affinity

import (
	"fmt"
	"testing"
	"time"
)

// backendServerCounts are today's size, a large deployment, and the target.
var backendServerCounts = []int{18, 1000, 40000}

// BenchmarkDecide measures the decision about a packet of an open flow, beside BenchmarkPacket of the flow owners.
func BenchmarkDecide(b *testing.B) {
	for _, n := range backendServerCounts {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			w, callers := loadedWorld(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c := callers[i%len(callers)]
				c.seq += 100
				c.ack += 500
				w.now += time.Microsecond
				if v := c.request(); v.Action != Forward {
					b.Fatal(v.Reason)
				}
			}
		})
	}
}

// BenchmarkSetView measures the change of the registry's view.
func BenchmarkSetView(b *testing.B) {
	for _, n := range backendServerCounts {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			w, _ := loadedWorld(b, n)
			for b.Loop() {
				w.show()
			}
		})
	}
}

// loadedWorld returns a world with n backend servers and 1,000 open flows.
func loadedWorld(b *testing.B, n int) (*world, []*caller) {
	w := newWorld(b)
	for range n {
		w.server("meter", "a")
	}
	w.show()
	var callers []*caller
	for range 1000 {
		c := w.caller(meterAddr)
		c.connect()
		callers = append(callers, c)
	}
	return w, callers
}

// Guards against allocations on the way of each packet.
func TestDecideAllocatesNothing(t *testing.T) {
	w := newWorld(t)
	w.server("meter", "a")
	w.show()
	c := w.caller(meterAddr)
	c.connect()
	allocations := testing.AllocsPerRun(1000, func() {
		c.seq += 100
		c.ack += 500
		c.request()
	})
	if allocations != 0 {
		t.Fatalf("%v allocations for each packet, want 0", allocations)
	}
}
