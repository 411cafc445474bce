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

// BenchmarkRestore measures a restore of the store at the size of the largest deployment, with a tenth of the entries missing
// from the copy.
func BenchmarkRestore(b *testing.B) {
	const servers = 40000
	updates := []Update{configUpdate(1, 1)}
	for i := range servers {
		updates = append(updates, serverUpdate(fmt.Sprintf("s%d", i), uint64(i+2)))
	}
	s := NewState()
	s.Replace(updates, servers+2, 0)
	b.ReportAllocs()
	for era := uint64(1); b.Loop(); era++ {
		s.Restore(updates[:servers*9/10], Version{era, servers + 1}, servers+1, 0)
	}
}
