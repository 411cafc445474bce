package gossip

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

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

// Guards against a copy whose age overflows, so that it counts as confirmed for ever.
func TestFetchValidatesTheAge(t *testing.T) {
	for age, valid := range map[int64]bool{NeverConfirmed: true, 0: true, 3_600_000: true, NeverConfirmed - 1: false, 13e12: false, math.MaxInt64: false} {
		l, addr := listen(t)
		go Serve(t.Context(), l, func(context.Context, Query) (*Copy, error) { return &Copy{Loaded: true, Revision: 9, AgeMs: age}, nil })
		if c, err := Fetch(t.Context(), addr, Query{}); (err == nil) != valid {
			t.Errorf("age %d: %+v, %v; want valid %v", age, c, err, valid)
		}
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
		c := &Copy{Loaded: true, Revision: 9, Full: true, Cached: q.Cached == registry.Version{Revision: 9}}
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

// serveOneConn answers the requests of one connection with the given handler.
func serveOneConn(t *testing.T, handler func(q partQuery) (any, error)) netip.AddrPort {
	l, addr := listen(t)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		rpc := newRPCConn(t.Context(), conn, jsonrpc2.HandlerWithError(func(_ context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
			var q partQuery
			if err := json.Unmarshal(*r.Params, &q); err != nil {
				return nil, err
			}
			answer, err := handler(q)
			if answer == nil && err == nil {
				conn.Close()
			}
			return answer, err
		}))
		defer rpc.Close()
		<-rpc.DisconnectNotify()
	}()
	return addr
}

// Guards against a copy that ends between two parts, or whose parts belong to different copies, and is taken for a whole
// one. Entries that it lacks would count as removed.
func TestIncompleteCopyIsRefused(t *testing.T) {
	packed, err := pack(manyServers(3))
	if err != nil {
		t.Fatal(err)
	}
	part := func(revision uint64, numParts int) *copyPart {
		return &copyPart{Copy: Copy{Loaded: true, Full: true, Revision: revision}, NumParts: numParts, Packed: packed}
	}
	for name, second := range map[string]*copyPart{
		"connection closed": nil, "another revision": part(10, 2), "another number of parts": part(9, 3), "nothing packed": {Copy: Copy{Full: true, Revision: 9}, NumParts: 2},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveOneConn(t, func(q partQuery) (any, error) {
				if q.Part > 0 {
					if second == nil {
						return nil, nil
					}
					return second, nil
				}
				return part(9, 2), nil
			})
			if c, err := Fetch(t.Context(), addr, Query{}); err == nil {
				t.Errorf("accepted %d updates", len(c.Updates))
			}
		})
	}
}

// Guards against a copy without parts, or with so many that the memory of the fetching host does not suffice.
func TestNumberOfPartsIsBounded(t *testing.T) {
	packed, err := pack(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, numParts := range []int{-1, 0, maxParts + 1} {
		addr := serveOneConn(t, func(partQuery) (any, error) {
			return &copyPart{Copy: Copy{Loaded: true, Full: true, Revision: 9}, NumParts: numParts, Packed: packed}, nil
		})
		if _, err := Fetch(t.Context(), addr, Query{}); !errors.Is(err, ErrMalformed) {
			t.Errorf("%d parts: %v, want ErrMalformed", numParts, err)
		}
	}
}

// Guards against a request for a part that the copy does not have, or before any copy was requested.
func TestUnknownPartIsRefused(t *testing.T) {
	for _, part := range []int{-1, 1, 7} {
		tr := &transfer{packer: &packer{}, answer: func(context.Context, Query) (*Copy, error) { return &Copy{Revision: 9}, nil }}
		text, err := json.Marshal(partQuery{Part: part})
		if err != nil {
			t.Fatal(err)
		}
		params := json.RawMessage(text)
		if answer, err := tr.handle(t.Context(), &jsonrpc2.Request{Method: methodCopy, Params: &params}); err == nil {
			t.Errorf("part %d: answered %+v", part, answer)
		}
	}
}
