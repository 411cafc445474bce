package gossip

import (
	"context"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Guards against an era that is lost between hosts, that makes messages larger than they may be, or that changes the messages
// of hosts whose store states none.
func TestEraOfAMessage(t *testing.T) {
	plain := &Message{From: host(1, "a"), Revision: 9, Reader: host(1, "a").Addr, NumKnown: 1}
	without, err := Encode(plain)
	if err != nil {
		t.Fatal(err)
	}
	for _, era := range []uint64{1, 23, 24, 300, 1 << 40} {
		m := *plain
		m.Era, m.Holding = era, era > 24
		b, err := Encode(&m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || got.Version() != (registry.Version{Era: era, Revision: 9}) || got.Holding != m.Holding {
			t.Errorf("era %d: decoded %+v, %v", era, got, err)
		}
		if more := len(b) - len(without); more < 3 || more > 11 {
			t.Errorf("era %d takes %d bytes", era, more)
		}
	}
	for _, rest := range []string{"\x00", "\x82\x00\xf4", "\x82\x01\xf4\x00", "\x82\x20\xf4", "\x81\x01", "\xff"} {
		if m, err := Decode(append(without[:len(without):len(without)], rest...)); err == nil {
			t.Errorf("%x after a message decoded as %+v", rest, m)
		}
	}
	if m, err := Decode(without); err != nil || m.Era != 0 {
		t.Errorf("message without an era: %+v, %v", m, err)
	}
}

// Guards against a packed copy of an older era, or one that contains what a sender keeps for a while, being sent later.
func TestCachedCopiesOfEras(t *testing.T) {
	p := &packer{}
	parts := func(c *Copy) *parts {
		t.Helper()
		got, err := p.partsOf(c)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	first := parts(&Copy{Full: true, Revision: 9, Era: 1})
	if second := parts(&Copy{Full: true, Revision: 9, Era: 2}); second == first {
		t.Error("the copy of era 1 is sent in era 2")
	}
	holding := parts(&Copy{Full: true, Revision: 10, Era: 2, Holding: true})
	if v, holds := p.cachedVersion(); v != (registry.Version{Era: 2, Revision: 10}) || !holds {
		t.Errorf("cached %v, with knowledge of an older era: %v", v, holds)
	}
	p.packedAt = p.packedAt.Add(-time.Minute)
	again := &Copy{Full: true, Revision: 10, Era: 2, Holding: true, Cached: true}
	if parts(again) != holding || again.PackedMs < time.Minute.Milliseconds() {
		t.Errorf("a copy for the next host is packed again, or its age is %d ms", again.PackedMs)
	}
	if parts(&Copy{Full: true, Revision: 10, Era: 2}) == holding {
		t.Error("a copy that contains what the sender kept for a while is sent afterwards")
	}
	if _, err := p.partsOf(&Copy{Full: true, Revision: 10, Era: 2, Holding: true, Cached: true}); err == nil {
		t.Error("a copy that is no longer cached is sent")
	}
}

// Guards against what a host keeps of an older era being lost in a copy, and against a malformed one being applied.
func TestOlderKnowledgeInACopy(t *testing.T) {
	l, addr := listen(t)
	sent := change("s1")
	sent.Older = &registry.Older{Server: change("s1").Server, Lapsed: true, Remaining: time.Second, ColdFor: time.Minute}
	go Serve(t.Context(), l, func(_ context.Context, q Query) (*Copy, error) {
		return &Copy{Loaded: true, Full: true, Revision: 9, Era: q.Era, Began: 5, Holding: true, Updates: []registry.Update{sent}}, nil
	})
	c, err := Fetch(t.Context(), addr, Query{Era: 3})
	if err != nil || c.Era != 3 || c.Began != 5 || !c.Holding || len(c.Updates) != 1 {
		t.Fatalf("%+v, %v", c, err)
	}
	if o := c.Updates[0].Older; o == nil || *o.Server != *sent.Older.Server || o.Remaining > time.Second || o.Remaining < time.Second/2 || !o.Lapsed || o.ColdFor != time.Minute {
		t.Errorf("%+v, want %+v", o, sent.Older)
	}
	packed := time.Now()
	for range 2 {
		time.Sleep(20 * time.Millisecond)
		c, err := Fetch(t.Context(), addr, Query{Era: 3})
		if err != nil || c.Updates[0].Older.Remaining > time.Second-time.Since(packed)+30*time.Millisecond {
			t.Errorf("%+v, %v; want the time that is left, %v after it was packed", c.Updates[0].Older, err, time.Since(packed))
		}
	}
	sent.Older.Server.Slots = 0
	if _, err := Fetch(t.Context(), addr, Query{}); err == nil {
		t.Error("an incomplete backend server of an older era was accepted")
	}
}
