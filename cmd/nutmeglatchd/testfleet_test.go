package main

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

const (
	testPrefix     = "nutmeglatch/"
	testKey        = "000102030405060708090a0b0c0d0e0f"
	testRetention  = 2 * time.Second
	testRamp       = 2 * time.Second
	conditionLimit = 30 * time.Second
)

// testFleet is a platform, a fabric, backend servers, a caller and entry hosts on
// loopback addresses of one network number.
type testFleet struct {
	t           testing.TB
	network     byte
	platform    *standin.Platform
	fabric      *standin.Fabric
	caller      *standin.Caller
	backends    []*standin.Backend // including those that were replaced
	hosts       []*hostProcess
	list        document.HostList
	service     document.Service // with commands
	datacentres document.DataCentres

	instance    uint64
	nextSource  atomic.Uint64
	nextCommand atomic.Uint64
}

func (b *testFleet) addr(c, d byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, b.network, c, d}), port)
}

var dataCentreNames = []string{"dc-a", "dc-b", "dc-c"}

// newTestFleet starts the environment and the entry hosts, and waits until they
// serve.
func newTestFleet(t testing.TB, network byte, hosts, backends int, adjust ...func(*standin.BackendConfig)) *testFleet {
	t.Helper()
	b := newTestEnvironment(t, network, backends, adjust...)
	b.publishHostList(hosts)
	for _, h := range b.list.Hosts {
		b.hosts = append(b.hosts, b.newHost(h))
	}
	b.setFabricHosts()
	for _, h := range b.hosts {
		b.waitServing(h)
	}
	return b
}

// newTestEnvironment starts the platform, fabric, caller and backend servers.
func newTestEnvironment(t testing.TB, network byte, backends int, adjust ...func(*standin.BackendConfig)) *testFleet {
	t.Helper()
	b := &testFleet{t: t, network: network + networkOffset, instance: uint64(time.Now().UnixMilli())}
	var err error
	b.platform, err = standin.NewPlatform(b.addr(0, 1, 8500).String())
	b.must(err)
	t.Cleanup(b.platform.Close)
	b.fabric, err = standin.NewFabric(b.addr(0, 2, 6080).String(), 1)
	b.must(err)
	t.Cleanup(b.fabric.Close)
	b.caller, err = standin.NewCaller(b.addr(0, 3, 6080).String(), b.fabric.Addr())
	b.must(err)
	t.Cleanup(b.caller.Close)
	b.newService(backends, adjust...)
	return b
}

func (b *testFleet) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}

func (b *testFleet) newService(backends int, adjust ...func(*standin.BackendConfig)) {
	b.service = document.Service{
		Name: "gridwatch", Team: "team", Region: "region",
		Address: netip.MustParseAddr("198.51.100.10"), Port: 7001, Protocol: document.TCP,
		Commands: &document.Commands{
			Address: netip.MustParseAddr("198.51.100.10"), Port: 7002,
			Deadline: document.Duration(time.Second), IdempotentMethods: []string{methodStatus},
		},
		FlowIdle: document.Duration(time.Minute),
	}
	for _, dc := range dataCentreNames {
		b.service.DataCentres = append(b.service.DataCentres, document.DataCentre{Name: dc})
	}
	for i := range backends {
		b.addBackend(&b.service, i%len(dataCentreNames), byte(i+1), adjust...)
	}
	b.publish(&b.service)
}

// addBackend adds a backend server to a service's document and starts it.
func (b *testFleet) addBackend(svc *document.Service, dc int, number byte, adjust ...func(*standin.BackendConfig)) *standin.Backend {
	b.t.Helper()
	load := b.addr(20, number, 6081).String()
	server := document.BackendServer{
		Address: b.addr(20, number, 6080).Addr(), Port: 6080, LoadURL: "http://" + load + "/load",
		Connections: 2000, Slots: 2,
		Cold: document.Cold{Connections: 50, Slots: 1, Ramp: document.Duration(testRamp)},
	}
	b.instance++
	cfg := standin.BackendConfig{
		Addr: server.AddrPort(), LoadAddr: load, Service: svc.Name, DataCentre: svc.DataCentres[dc].Name,
		FlowAddr:    netip.AddrPortFrom(svc.Address, svc.Port),
		Connections: server.Connections, Slots: server.Slots, Cold: server.Cold, WarmStart: true,
		CommandTime: 20 * time.Millisecond, Instance: b.instance,
	}
	if svc.Commands != nil {
		cfg.CommandAddr = netip.AddrPortFrom(svc.Commands.Address, svc.Commands.Port)
	}
	for _, f := range adjust {
		f(&cfg)
	}
	server.Connections, server.Slots, server.Cold = cfg.Connections, cfg.Slots, cfg.Cold
	svc.DataCentres[dc].BackendServers = append(svc.DataCentres[dc].BackendServers, server)
	backend, err := standin.NewBackend(cfg)
	b.must(err)
	b.t.Cleanup(backend.Close)
	b.backends = append(b.backends, backend)
	return backend
}

// publish publishes the next version of a service's document.
func (b *testFleet) publish(svc *document.Service) {
	svc.Version++
	b.put(document.ServiceKeyPrefix+svc.Name, *svc)
}

// publishOut publishes which data centres are out of service.
func (b *testFleet) publishOut(out ...string) {
	b.datacentres.Version++
	b.datacentres.Out = append([]string{}, out...)
	b.put(document.DataCentresKey, b.datacentres)
}

func (b *testFleet) put(key string, v any) {
	b.t.Helper()
	raw, err := yaml.Marshal(v)
	b.must(err)
	b.platform.Put(testPrefix+key, raw)
}

// publishHostList publishes a list of n entry hosts, and that no data centre is out.
func (b *testFleet) publishHostList(n int) {
	b.list.Version = 1
	for i := range n {
		addr := b.addr(10, byte(i+1), 0).Addr()
		b.list.Hosts = append(b.list.Hosts, document.Host{
			ID: fmt.Sprintf("host-%d", i+1), DataCentre: dataCentreNames[i%len(dataCentreNames)], Region: "region",
			Address: addr, PeerPort: 6090, GUEPort: 6080, State: document.HostLive,
		})
	}
	b.put(document.HostsKey, b.list)
	b.publishOut()
}

// setFabricHosts makes the fabric send packets to all entry hosts except those named.
func (b *testFleet) setFabricHosts(except ...string) {
	var addrs []netip.AddrPort
	for _, h := range b.list.Hosts {
		skip := false
		for _, id := range except {
			skip = skip || id == h.ID
		}
		if !skip {
			addrs = append(addrs, netip.AddrPortFrom(h.Address, h.GUEPort))
		}
	}
	b.fabric.SetHosts(addrs)
}

// wait polls a condition until it holds, and fails the test after conditionLimit.
func (b *testFleet) wait(what string, condition func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(conditionLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	b.t.Fatalf("not reached: %s", what)
}
