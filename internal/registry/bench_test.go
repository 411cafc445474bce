package registry

import (
	"fmt"
	"testing"
)

// BenchmarkView measures taking a whole view of the registry at the sizes of the present deployment, of a large one, and of
// the largest one planned.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{18, 1000, 40000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := NewState()
			updates := []Update{configUpdate(1, 1)}
			for i := range n {
				updates = append(updates, serverUpdate(fmt.Sprintf("s%d", i), uint64(i+2)))
			}
			s.Replace(updates, uint64(n+2), 0)
			b.ReportAllocs()
			for b.Loop() {
				s.View()
			}
		})
	}
}
