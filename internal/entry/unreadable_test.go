package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/nutmeglatch/nutmeglatch/internal/follower"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Guards against a log line for each time that another writer writes an entry which can't be read, and against none for an entry
// that becomes unreadable again.
func TestUnreadableEntryIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	c := idleControl()
	c.conn = listenUDP(t)
	c.logger = log.NewLogfmtLogger(&out)
	c.state.Replace([]registry.Update{{Key: "config", Revision: 1, Config: &registry.Config{Version: 1}}}, 1, 0)
	revision := uint64(1)
	change := func(u registry.Update) {
		revision++
		u.Key, u.Revision = "i-1", revision
		call := follower.Call{Kind: follower.Watch, After: revision - 1}
		c.onCallEnd(callEnd{call: call, result: follower.Result{Updates: []registry.Update{u}, Revision: revision}})
	}
	unreadable := registry.Update{Unreadable: true, Identity: 1}
	readable := registry.Update{Server: &registry.BackendServer{ID: "i-1", Identity: 1, Service: "meter", Slots: 1}}
	for step, before := range []registry.Update{readable, {Removed: true}, readable} {
		change(before)
		for range 100 {
			change(unreadable)
		}
		if lines := strings.Count(out.String(), "can't be read"); lines != step+1 {
			t.Fatalf("%d lines about an unreadable entry, want %d", lines, step+1)
		}
	}
	if c.state.Revision() != revision {
		t.Errorf("revision %d, want %d", c.state.Revision(), revision)
	}
}
