package gossip

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a fetch that fails or loses fields of the copy.
func TestFetch(t *testing.T) {
	l, addr := listen(t)
	answer := func(_ context.Context, q Query) (*Copy, error) {
		return &Copy{Loaded: true, After: q.After, Revision: 9, Updates: []registry.Update{change("s1")}}, nil
	}
	go Serve(t.Context(), l, answer)
	c, err := Fetch(t.Context(), addr, Query{After: 5})
	if err != nil || c.After != 5 || c.Revision != 9 || len(c.Updates) != 1 || c.Updates[0].Server.ID != "s1" {
		t.Fatalf("copy %+v, %v", c, err)
	}
}

// Guards against a fetch that accepts updates with invalid values.
func TestFetchValidatesTheCopy(t *testing.T) {
	l, addr := listen(t)
	answer := func(context.Context, Query) (*Copy, error) {
		return &Copy{Loaded: true, Revision: 9, Updates: []registry.Update{{Revision: 3}}}, nil
	}
	go Serve(t.Context(), l, answer)
	if c, err := Fetch(t.Context(), addr, Query{After: 5}); err == nil {
		t.Fatalf("accepted %+v", c)
	}
}

// Guards against a fetch that never ends when the other host accepts the connection but does not answer.
func TestFetchFromSilentHost(t *testing.T) {
	_, addr := listen(t) // connections stay in the accept queue of the kernel and get no answer
	start := time.Now()
	if _, err := Fetch(t.Context(), addr, Query{After: 5}); err == nil {
		t.Fatal("no error")
	}
	if took := time.Since(start); took > idleTimeout+time.Second {
		t.Fatalf("took %v, allowed %v", took, idleTimeout)
	}
}

// Guards against full copies that never arrive over a slow link, where the transfer takes longer than idleTimeout although
// it makes progress.
func TestFetchOverASlowLink(t *testing.T) {
	l, addr := listen(t)
	updates := manyServers(40_000)
	go Serve(t.Context(), l, func(context.Context, Query) (*Copy, error) {
		return &Copy{Loaded: true, Revision: 9, Full: true, Updates: updates}, nil
	})
	slow, slowAddr := listen(t)
	go func() {
		client, err := slow.Accept()
		if err != nil {
			return
		}
		defer client.Close()
		server, err := net.Dial("tcp4", addr.String())
		if err != nil {
			return
		}
		defer server.Close()
		go io.Copy(server, client)
		for {
			if _, err := io.CopyN(client, server, 200<<10); err != nil {
				return
			}
			time.Sleep(idleTimeout / 3)
		}
	}()
	start := time.Now()
	c, err := Fetch(t.Context(), slowAddr, Query{})
	if err != nil || len(c.Updates) != len(updates) {
		t.Fatalf("no whole copy after %v: %v", time.Since(start), err)
	}
	if took := time.Since(start); took <= idleTimeout {
		t.Errorf("the copy took %v, want more than idleTimeout for the test to be meaningful", took)
	}
}

// Guards against a full copy that is listed and sorted again for each of many hosts that start at once.
func TestFullCopyIsListedOnce(t *testing.T) {
	l, addr := listen(t)
	var listed atomic.Int32
	go Serve(t.Context(), l, func(_ context.Context, q Query) (*Copy, error) {
		c := &Copy{Loaded: true, Revision: 9, Full: true, Cached: q.CachedRevision == 9}
		if !c.Cached {
			listed.Add(1)
			c.Updates = manyServers(100)
		}
		return c, nil
	})
	for range 3 {
		c, err := Fetch(t.Context(), addr, Query{})
		if err != nil || len(c.Updates) != 100 {
			t.Fatalf("copy %+v, %v", c, err)
		}
	}
	if listed.Load() != 1 {
		t.Errorf("listed %d times, want once", listed.Load())
	}
}

// Guards against malformed requests that stop the server or are not counted.
func TestServeSurvivesMalformedRequests(t *testing.T) {
	l, addr := listen(t)
	go Serve(t.Context(), l, func(context.Context, Query) (*Copy, error) { return &Copy{Revision: 1}, nil })
	for _, text := range []string{"x", "Content-Length: 9999999999\r\n\r\n", "Content-Length: 2\r\n\r\n{}", "\x00\x01\x02"} {
		conn, err := net.Dial("tcp4", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	if _, err := Fetch(t.Context(), addr, Query{}); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(2 * time.Second); protocolErrorCount.Get() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("malformed messages were not counted")
		}
	}
}
