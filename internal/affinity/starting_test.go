package affinity

import (
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Answers all hosts of a data centre that start at once while every backend server of a service is cold. Guards against
// hosts that know only their seeds, each of which takes itself for one of the two that send to a cold server: 35 hosts
// would send 35 flows a second where five are allowed.
func TestStartingHostsSpareColdServers(t *testing.T) {
	const (
		hosts   = 35
		allowed = 5
	)
	opened := 0
	for i := range hosts {
		w := newWorld(t)
		w.server("meter", "a", func(s *registry.Server) { s.ColdUntil = w.now + 10*time.Second })
		w.show()
		self := Host{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 7000), DataCentre: "a"}
		seeds := []Host{{Addr: addrOfHost(1), DataCentre: "a"}, {Addr: addrOfHost(2), DataCentre: "b"}, {Addr: addrOfHost(3), DataCentre: "c"}}
		w.router.SetFleet(Fleet{Self: self, Hosts: seeds, Size: len(seeds) + 1, Starting: true})
		if w.caller(meterAddr).open(0).Action == Forward {
			opened++
		}
	}
	if opened > allowed {
		t.Errorf("%d flows within a second to one cold server, allowed %d", opened, allowed)
	}
}
