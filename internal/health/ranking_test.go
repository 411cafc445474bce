package health

import (
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// bestTwo computes the observers without a cache.
func bestTwo(addr netip.AddrPort, dc string, hosts []document.Host) []string {
	rank := func(all bool) (ids []string) {
		for _, h := range hosts {
			if h.State != document.HostLeaving && (all || h.DataCentre == dc) {
				ids = append(ids, h.ID)
			}
		}
		slices.SortFunc(ids, func(a, b string) int {
			if xxhash.Sum64String(addr.String()+"\x00observer\x00"+a) > xxhash.Sum64String(addr.String()+"\x00observer\x00"+b) {
				return -1
			}
			return 1
		})
		return ids[:min(2, len(ids))]
	}
	if local := rank(false); len(local) > 0 {
		return local
	}
	return rank(true)
}

// Guards against cached observers that are outdated after the hosts have changed,
// which would leave backend servers without an observer or admitting host.
func TestRankingFollowsHosts(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	r := NewRanking()
	for round := range 300 {
		var hosts []document.Host
		for i := range 12 {
			h := document.Host{ID: fmt.Sprintf("host-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3)}
			if rng.Intn(8) == 0 {
				h.State = document.HostLeaving
			}
			if rng.Intn(4) > 0 && (round%5 > 0 || h.DataCentre != "dc-1") {
				hosts = append(hosts, h)
			}
		}
		r.SetHosts(hosts)
		for i := range 20 {
			dc := fmt.Sprintf("dc-%d", i%4)
			got, want := r.Observers(addr(i), dc), bestTwo(addr(i), dc, hosts)
			if !slices.Equal(got, want) {
				t.Fatalf("round %d, backend server %d: got %v, want %v", round, i, got, want)
			}
		}
	}
}
