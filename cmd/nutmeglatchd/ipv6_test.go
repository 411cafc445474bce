package main

import (
	"net/netip"
	"testing"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Guards against flows of IPv6 callers to an IPv6 service that break when an
// entry host dies. They share tables, owners and the addresses of backend servers
// with IPv4 flows.
func TestIPv6Flows(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 45, 3, 3)
	for _, protocol := range []document.Protocol{document.TCP, document.UDP} {
		svc := b.service
		svc.Name, svc.Commands, svc.Version, svc.DataCentres = "gridwatch-"+string(protocol), nil, 0, nil
		svc.Protocol, svc.Port = protocol, 7003
		svc.Address = netip.MustParseAddr("2001:db8::10")
		if protocol == document.UDP {
			svc.Port++
		}
		for dc, name := range dataCentreNames {
			svc.DataCentres = append(svc.DataCentres, document.DataCentre{Name: name})
			b.addBackend(&svc, dc, byte(20+dc)+byte(svc.Port-7003)*10)
		}
		b.publish(&svc)
		flows := b.openFlows(&svc, 40)
		b.kill(b.hosts[0])
		b.waitMember(b.hosts[0].host.ID, "dead", b.others(b.hosts[0])...)
		flows.endAndCheck()
		b.start(b.hosts[0])
		b.waitServing(b.hosts[0])
	}
	b.checkService()
}
