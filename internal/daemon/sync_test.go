package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/configsync"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/kvstore"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
)

// callQueue is the environment of stepped daemons. It queues background work
// until run, and sends every call to host, or fails it if host is nil.
type callQueue struct {
	host    *Stepper
	fetches int
	bytes   int  // of the last result
	damage  bool // whether to corrupt the deltas in results
	queue   []func()
}

func (e *callQueue) Now() time.Time { return time.Unix(1_000_000, 0) }
func (e *callQueue) Go(f func())    { e.queue = append(e.queue, f) }

func (e *callQueue) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}

func (e *callQueue) Call(_ context.Context, _, method string, params, result any) (err error) {
	if e.host == nil {
		return errors.New("not reached")
	}
	if method == configsync.MethodFetch {
		e.fetches++
	}
	raw, _ := json.Marshal(params)
	e.host.Call("other", method, raw, func(v any, failed error) {
		raw, _ = json.Marshal(v)
		if e.damage {
			raw = bytes.Replace(raw, []byte(`"length":`), []byte(`"length":9`), 1)
		}
		e.bytes = len(raw)
		err = errors.CombineErrors(failed, json.Unmarshal(raw, result))
	})
	return err
}

func (e *callQueue) run() {
	for ; len(e.queue) > 0; e.queue = e.queue[1:] {
		e.queue[0]()
	}
}

func newStepped(t *testing.T, i int, e Environment) *Stepper {
	s, self := settings.Default(), testHost(i)
	s.HostID, s.DataCentre, s.Region, s.Peer = self.ID, self.DataCentre, self.Region, self.PeerAddr()
	s.PeerKey = make(settings.Key, settings.MinKeyBytes)
	host, err := NewStepper(Options{Settings: &s, Network: testNetwork{&captureConn{}}}, e)
	if err != nil {
		t.Fatal(err)
	}
	return host
}

// hostListUpdate returns a platform update with a list of the test hosts from
// index from up to, but not including, to.
func hostListUpdate(key string, version, from, to int) kvstore.Update {
	raw := fmt.Appendf(nil, "version: %d\nhosts:\n", version)
	for i := from; i < to; i++ {
		h := testHost(i)
		raw = fmt.Appendf(raw, "  - {id: %s, data_centre: %s, region: r, address: %s, peer_port: 6090, gue_port: 6080, state: live}\n", h.ID, h.DataCentre, h.Address)
	}
	return kvstore.Update{Values: []kvstore.KeyValue{{Key: key, Value: raw}}}
}

// Guards against an announced value that is fetched more than once, in full
// instead of as a delta, not at all, or not again after a failure.
func TestAnnouncedValueIsFetched(t *testing.T) {
	sender, e := newStepped(t, 0, &callQueue{}), &callQueue{}
	receiver := newStepped(t, 1, e)
	for _, row := range []struct {
		version, announced, fetches, bytes int
		reached, damage                    bool
	}{
		{1, 2, 1, 4096, true, false}, {2, 1, 1, 4096, false, false}, {2, 1, 2, 512, true, false}, {3, 1, 4, 4096, true, true},
	} {
		sender.HandlePlatformUpdate(hostListUpdate(document.HostsKey, row.version, 0, 50))
		m, _ := sender.d.control.config.PushMessageFor([]string{document.HostsKey})
		raw, err := json.Marshal(m)
		if err != nil || len(raw) > 512 {
			t.Fatalf("push of %d bytes, error %v", len(raw), err)
		}
		e.host, e.damage = nil, row.damage
		if row.reached {
			e.host = sender
		}
		for range row.announced {
			receiver.Call("host-0", configsync.MethodPush, raw, func(_ any, err error) {
				if err != nil {
					t.Error(err)
				}
			})
		}
		e.run()
		v, _ := receiver.d.control.config.Get(document.HostsKey)
		if v.Version == uint64(row.version) != row.reached || e.fetches != row.fetches || e.bytes > row.bytes {
			t.Errorf("%+v: version %d, %d fetches, %d bytes", row, v.Version, e.fetches, e.bytes)
		}
	}
}

// Guards against a list of one data centre that removes the hosts of another.
func TestHostListsOfDataCentres(t *testing.T) {
	host := newStepped(t, 0, &callQueue{})
	for i := range 3 {
		host.HandlePlatformUpdate(hostListUpdate(document.HostsKeyPrefix+testHost(i).DataCentre, 1, i, i+1))
	}
	for _, id := range []string{"host-1", "host-2"} {
		if !host.IsListed(id) {
			t.Errorf("%s is not listed", id)
		}
	}
}

// Guards against values that are lost because the same update reports that
// others could not be read. The source does not send them again.
func TestValuesBesideAnErrorAreAccepted(t *testing.T) {
	host := newStepped(t, 0, &callQueue{})
	u := hostListUpdate(document.HostsKey, 1, 0, 2)
	u.Err = errors.New("another file cannot be read")
	host.HandlePlatformUpdate(u)
	if !host.IsListed("host-1") || host.d.control.config.Current().Hosts == nil || host.d.control.platformError == "" {
		t.Error("the value was not accepted, or the error not kept")
	}
}
