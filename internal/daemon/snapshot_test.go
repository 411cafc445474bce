package daemon

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/configsync"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// describe returns the fields of every service that the packet path uses.
func describe(s *route.Snapshot) map[string]string {
	out := map[string]string{}
	for name, svc := range s.ByName.All() {
		text := fmt.Sprint(svc.Addr, svc.CommandAddr, svc.FlowIdle, svc.Epochs())
		for _, o := range svc.Owners() {
			text += fmt.Sprint(hostID(s, o[0]), hostID(s, o[1]))
		}
		for _, b := range svc.Backends {
			text += fmt.Sprint(b.Addr, b.DataCentre, b.Instance, b.DataCentreOut, b.Draining, b.Stable, b.Unusable, b.Weight, s.Backends.Get(b.Addr) == b)
		}
		out[name] = text
	}
	return out
}

// Guards against an outdated service in the snapshot after a change, since only
// the changed services are rebuilt.
func TestSnapshotFollowsEveryChange(t *testing.T) {
	c := newTestControl(t, 200, testDocuments(60, 1))
	offer := func(candidate configsync.Candidate) {
		r := c.config.OfferParsed(c.clock, configsync.Platform, candidate)
		if !r.Accepted {
			t.Fatalf("not accepted: %v", r.Err)
		}
		c.handleOfferResult(c.clock, "", r)
	}
	target := c.limits.health.Targets()[0].Backend
	load := health.LoadReport{Service: c.d.snapshot.Load().Backends.Get(target).Service.Name, Instance: 3}
	hostList := "version: 1\nleaving_backend_servers: [10.17.0.10:6080]\nhosts:\n"
	for _, h := range c.hosts[:150] {
		hostList += fmt.Sprintf("  - {id: %s, data_centre: %s, region: %s, address: %s, peer_port: 6090, gue_port: 6080, state: live}\n", h.ID, h.DataCentre, h.Region, h.Address)
	}
	steps := []struct {
		name string
		do   func()
	}{
		{"document", func() { offer(testDocument(7, 2)) }},
		{"new document", func() { offer(testDocument(60, 1)) }},
		{"restart", func() { c.restart(3) }},
		{"draining", func() { load.Draining = true }},
		{"other service", func() { load.Service = "other" }},
		{"data centre out", func() { offer(configsync.Parse("datacentres", []byte("version: 1\nout: [dc-3]\n"))) }},
		{"hosts removed", func() { offer(configsync.Parse("hosts", []byte(hostList))) }},
		{"data centre back", func() { offer(configsync.Parse("datacentres", []byte("version: 2\nout: []\n"))) }},
		{"leaving", func() { c.leave(c.clock) }},
	}
	for _, s := range steps {
		s.do()
		c.limits.health.Report(c.clock, target, load)
		for range 2 * time.Second / tickInterval {
			c.step()
		}
		got := describe(c.d.snapshot.Load())
		c.builder = route.NewBuilder(c.d.settings.HostID, c.d.settings.DataCentre, c.d.settings.Limits.GroupSize)
		want := describe(c.buildSnapshot(changes{hosts: true, all: true}))
		if len(got) == 0 || !reflect.DeepEqual(got, want) {
			for name := range want {
				if got[name] != want[name] {
					t.Errorf("%s: service %s differs from a complete build", s.name, name)
				}
			}
		}
	}
}
