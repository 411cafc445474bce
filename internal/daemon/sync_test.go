package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/configsync"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/platform"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
)

// pair is the environment of two stepped daemons. Calls wait until run.
type pair struct {
	now   time.Time
	hosts map[string]*Stepper
	calls map[string]int
	cut   bool
	queue []func()
}

// run carries out the calls that wait.
func (p *pair) run() {
	for len(p.queue) > 0 {
		f := p.queue[0]
		p.queue = p.queue[1:]
		f()
	}
}

func (p *pair) Now() time.Time { return p.now }
func (p *pair) Go(f func())    { p.queue = append(p.queue, f) }

func (p *pair) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}

func (p *pair) Call(_ context.Context, id, method string, params, result any) error {
	host := p.hosts[id]
	if host == nil || p.cut {
		return errors.New("not reached")
	}
	p.calls[method]++
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	host.Call("other", method, raw, func(v any, failed error) {
		if err = failed; err == nil && result != nil {
			raw, _ = json.Marshal(v)
			err = json.Unmarshal(raw, result)
		}
	})
	return err
}

func newPair(t *testing.T) *pair {
	p := &pair{now: time.Unix(1_000_000, 0), hosts: map[string]*Stepper{}, calls: map[string]int{}}
	for i := range 2 {
		s, self := settings.Default(), benchHost(i)
		s.HostID, s.DataCentre, s.Region = self.ID, self.DataCentre, self.Region
		s.Peer = self.PeerAddr()
		s.PeerKey = make(settings.Key, settings.MinKeyBytes)
		host, err := NewStepper(Options{Settings: &s, Network: benchNetwork{&captureConn{}}}, p)
		if err != nil {
			t.Fatal(err)
		}
		p.hosts[self.ID] = host
	}
	return p
}

// hostListOf returns a host list above the size that is announced.
func hostListOf(version int) []byte {
	raw := fmt.Appendf(nil, "version: %d\nhosts:\n", version)
	for i := range 50 {
		h := benchHost(i)
		raw = fmt.Appendf(raw, "  - {id: %s, data_centre: %s, region: %s, address: %s, peer_port: 6090, gue_port: 6080, state: live}\n", h.ID, h.DataCentre, h.Region, h.Address)
	}
	return raw
}

// Guards against an announced value that is fetched more than once, is not
// fetched at all, or blocks later fetches after a failure.
func TestAnnouncedValueIsFetched(t *testing.T) {
	p := newPair(t)
	sender, receiver := p.hosts["host-0"], p.hosts["host-1"]
	announce := func(version int) {
		waiting := p.queue
		sender.Platform(platform.Update{Values: []platform.KeyValue{{Key: document.HostsKey, Value: hostListOf(version)}}})
		p.queue = waiting // without the pushes of the sender
		m, _ := sender.d.control.config.PushOf([]string{document.HostsKey})
		raw, err := json.Marshal(m)
		if err != nil || len(raw) > 512 {
			t.Fatalf("push of %d bytes, error %v", len(raw), err)
		}
		receiver.Call("host-0", configsync.MethodPush, raw, func(_ any, err error) {
			if err != nil {
				t.Error(err)
			}
		})
	}
	inEffect := func() uint64 {
		v, _ := receiver.d.control.config.Get(document.HostsKey)
		return v.Version
	}
	announce(1)
	announce(1)
	p.run()
	if inEffect() != 1 || p.calls[configsync.MethodFetch] != 1 {
		t.Errorf("version %d after %d fetches", inEffect(), p.calls[configsync.MethodFetch])
	}
	p.cut = true
	announce(2)
	p.run()
	p.cut = false
	announce(2)
	p.run()
	if inEffect() != 2 {
		t.Errorf("version %d after a failed fetch and another announcement", inEffect())
	}
}

// Guards against a list of one data centre that removes the hosts of another.
func TestHostListsOfDataCentres(t *testing.T) {
	host := newPair(t).hosts["host-0"]
	list := func(i int) platform.KeyValue {
		h := benchHost(i)
		raw := fmt.Appendf(nil, "version: 1\nhosts:\n  - {id: %s, data_centre: %s, region: r, address: %s, peer_port: 6090, gue_port: 6080, state: live}\n", h.ID, h.DataCentre, h.Address)
		return platform.KeyValue{Key: document.HostsKeyPrefix + h.DataCentre, Value: raw}
	}
	for _, values := range [][]platform.KeyValue{{list(0), list(1)}, {list(2)}} {
		host.Platform(platform.Update{Values: values})
	}
	for _, id := range []string{"host-1", "host-2"} {
		if !host.Lists(id) {
			t.Errorf("%s is not listed", id)
		}
	}
}
