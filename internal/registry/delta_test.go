package registry

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"
)

func configWith(version uint64, ports ...uint16) *Config {
	c := &Config{Version: version, Services: []Service{{Name: "meter"}}, IdleTimeout: time.Duration(version) * time.Second}
	for _, p := range ports {
		c.Routes = append(c.Routes, Route{Name: fmt.Sprint(p), Addr: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), p), Targets: []Target{{Service: "meter", Weight: 1}}})
	}
	return c
}

// Guards against differences that lose or keep what they should not.
func TestDelta(t *testing.T) {
	older, newer := configWith(1, 80, 443, 8080), configWith(4, 80, 443, 9000)
	newer.Routes[1].Targets = []Target{{Service: "bill", Weight: 2}}
	d := Diff(older, newer)
	if len(d.Routes) != 2 || len(d.Removed) != 1 {
		t.Fatalf("difference %+v, want two routes and one removed", d)
	}
	if got := d.Apply(older); !reflect.DeepEqual(got, newer) {
		t.Fatalf("applied %+v, want %+v", got, newer)
	}
	if d.Apply(newer) != nil || d.Apply(nil) != nil {
		t.Fatal("a difference was applied to another version")
	}
}

// Guards against whole configurations that fill the links of small hosts when one of many routes changes, and against
// hosts that stay behind because a difference does not fit.
func TestHostsPassDifferencesOn(t *testing.T) {
	var ports []uint16
	for p := range uint16(600) {
		ports = append(ports, 1000+p)
	}
	giver, receiver, stranger := NewState(), NewState(), NewState()
	for _, s := range []*State{giver, receiver} {
		s.Replace([]Update{{Key: "config", Revision: 1, Config: configWith(1, ports...)}}, 1, 0)
	}
	stranger.Replace([]Update{{Key: "config", Revision: 1, Config: configWith(0, 80)}}, 1, 0)
	changed, _ := giver.Apply([]Update{{Key: "config", Revision: 2, Config: configWith(5, ports[1:]...)}}, 1, 2, 0)
	short := giver.EncodeDeltas(changed, 1)
	if short[0].Config != nil || short[0].Delta == nil || len(short[0].Delta.Routes) != 0 || len(short[0].Delta.Removed) != 1 {
		t.Fatalf("update %+v, want the difference only", short[0])
	}
	if changed[0].Config == nil {
		t.Fatal("the update itself was changed")
	}
	if _, ok := receiver.Apply(short, 1, 2, 0); !ok || receiver.ConfigVersion() != 5 || len(receiver.View().Config.Routes) != 599 {
		t.Fatalf("version %d with %d routes", receiver.ConfigVersion(), len(receiver.View().Config.Routes))
	}
	if _, ok := stranger.Apply(short, 1, 2, 0); ok || stranger.Revision() != 1 {
		t.Fatal("a difference from a version that this host does not have was accepted")
	}
	whole, _ := giver.Since(1)
	if whole = giver.EncodeDeltas(whole, 99); whole[0].Config == nil {
		t.Fatal("a host with an unknown version was given a difference")
	}
}
