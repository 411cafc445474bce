package entry

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// BenchmarkLiveHeap reports the live heap of a host's registry, two views and router, with the number of open flows that a
// host has in the target deployment.
func BenchmarkLiveHeap(b *testing.B) {
	const flows = 35_088
	for _, n := range []int{18, 1000, 40000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := liveHeap()
				state, router := loadedHost(b, n, flows)
				views := [2]*registry.View{state.View(), state.View()}
				b.ReportMetric(float64(liveHeap()-before)/(1<<20), "MB")
				runtime.KeepAlive(state)
				runtime.KeepAlive(router)
				runtime.KeepAlive(views)
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

func loadedHost(b *testing.B, servers, flows int) (*registry.State, *affinity.Router) {
	route := netip.MustParseAddrPort("198.18.0.1:443")
	updates := []registry.Update{{Key: "config", Revision: 1, Config: &registry.Config{
		Version:  1,
		Routes:   []registry.Route{{Name: "meter", Addr: route, Targets: []registry.Target{{Service: "meter", Weight: 1}}}},
		Services: []registry.Service{{Name: "meter"}},
	}}}
	for i := range servers {
		updates = append(updates, registry.Update{
			Key: fmt.Sprintf("item-%010x", i+1), Revision: uint64(i + 2), Created: uint64(i + 2),
			Server: &registry.BackendServer{
				ID: fmt.Sprintf("i-%010x", i+1), Identity: uint64(i + 1), Service: "meter", DataCentre: "substation-a", Region: "r",
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8000), Slots: 2,
			},
		})
	}
	state := registry.NewState()
	state.Replace(updates, uint64(servers+2), 0)
	self := affinity.Host{Addr: netip.MustParseAddrPort("10.0.0.1:7000"), DataCentre: "substation-a", Region: "r"}
	router := affinity.NewRouter(affinity.Config{MaxFlows: flows, IdleTimeout: time.Minute}, self)
	router.SetView(state.View(), time.Second)
	for i := range flows {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1024)
		packet := affinity.Packet{Caller: caller, Service: route, Token: uint32(i%servers + 1), Seq: 1, Ack: 1}
		if v := router.Decide(&packet, time.Second); v.Action != affinity.Forward {
			b.Fatal(v.Reason)
		}
	}
	return state, router
}
