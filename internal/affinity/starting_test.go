package affinity

import (
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// All hosts of a data centre start at once while every backend server of a service is cold. Guards against hosts that know
// only their seeds and each rank themselves among the two that send to a cold server: 35 hosts would send 35 flows per
// second where five are allowed.
func TestStartingHostsSendNothingToColdServers(t *testing.T) {
	const (
		hosts   = 35
		allowed = 5
	)
	opened := 0
	for i := range hosts {
		h := newHarness(t)
		h.server("meter", "a", func(s *registry.Server) { s.ColdUntil = h.now + 10*time.Second })
		h.applyView()
		self := Host{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 7000), DataCentre: "a"}
		seeds := []Host{{Addr: addrOfHost(1), DataCentre: "a"}, {Addr: addrOfHost(2), DataCentre: "b"}, {Addr: addrOfHost(3), DataCentre: "c"}}
		h.router.SetFleet(Fleet{Self: self, Hosts: seeds, Size: len(seeds) + 1, Starting: true})
		if h.caller(meterAddr).open(0).Action == Forward {
			opened++
		}
	}
	if opened > allowed {
		t.Errorf("%d flows within a second to one cold server, allowed %d", opened, allowed)
	}
}
