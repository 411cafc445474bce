package main

import (
	"strings"
	"testing"

	"github.com/goccy/go-yaml"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// waitRefusal waits until hosts report a refusal of the service's document.
func (b *testFleet) waitRefusal(reason string, hosts ...*hostProcess) {
	b.t.Helper()
	b.waitStatus("refusal "+reason, func(st *admin.Status) bool {
		for _, r := range st.Refusals {
			if r.Key == document.ServiceKeyPrefix+b.service.Name && r.Reason == reason {
				return true
			}
		}
		return false
	}, hosts...)
}

// checkVersion reports hosts on which another version is in effect.
func (b *testFleet) checkVersion(want uint64, hosts ...*hostProcess) {
	b.t.Helper()
	for _, p := range hosts {
		st, err := p.status()
		if got := versionOf(&st, b.service.Name); err != nil || got != want {
			b.t.Errorf("%s: version %d is in force, want %d (%v)", p.host.ID, got, want, err)
		}
	}
}

// Guards against old content that replaces accepted versions when the platform
// returns with it after an outage, also on a host that starts at that time.
func TestOldPlatformContentIsNotAccepted(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 34, 3, 6)
	old := b.service
	flows := b.openFlows(&b.service, 30)
	b.publish(&b.service)
	b.waitVersion(&b.service, b.hosts...)
	b.platform.SetMode(standin.PlatformDown)
	b.put(document.ServiceKeyPrefix+old.Name, old)
	b.platform.SetMode(standin.PlatformStale)
	b.restart(b.hosts[0])
	b.checkVersion(b.service.Version, b.hosts...)
	b.platform.SetMode(standin.PlatformUp)
	b.restart(b.hosts[1])
	b.checkVersion(b.service.Version, b.hosts...)
	flows.endAndCheck()
	b.openFlows(&b.service, 20).endAndCheck()
	b.publish(&b.service)
	b.waitVersion(&b.service, b.hosts...)
}

// Guards against a host that starts with old versions while the platform is
// down: it must fetch the newest versions from its peers.
func TestHostStartsWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 36, 3, 6)
	flows := b.openFlows(&b.service, 30)
	b.publish(&b.service)
	b.waitVersion(&b.service, b.hosts...)
	b.platform.SetMode(standin.PlatformDown)
	b.restart(b.hosts[0])
	b.checkVersion(b.service.Version, b.hosts...)
	flows.endAndCheck()
}

// restart kills an entry host and waits until its replacement, which starts
// without state, serves.
func (b *testFleet) restart(p *hostProcess) {
	b.t.Helper()
	b.kill(p)
	b.start(p)
	b.waitServing(p)
	b.waitMember(p.host.ID, "alive", b.others(p)...)
}

// Guards against a document with an unknown field that replaces the one in
// effect.
func TestRefusedDocumentStaysOutOfForce(t *testing.T) {
	t.Parallel()
	b := newTestFleet(t, 35, 2, 6)
	flows := b.openFlows(&b.service, 30)
	bad := b.service
	bad.Version++
	raw, err := yaml.Marshal(bad)
	b.must(err)
	text := strings.Replace(string(raw), "port: 7001", "port: 7001\ncolour: red", 1)
	b.platform.Put(testPrefix+document.ServiceKeyPrefix+bad.Name, []byte(text))
	b.waitRefusal("unknown_field", b.hosts[0])
	b.checkVersion(b.service.Version, b.hosts...)
	b.openFlows(&b.service, 20).endAndCheck()
	flows.endAndCheck()
	b.service.Version = bad.Version
	b.publish(&b.service)
	b.waitVersion(&b.service, b.hosts...)
}
