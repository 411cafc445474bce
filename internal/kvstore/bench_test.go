package kvstore

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// benchBody returns a response with n documents of 1,000 bytes, about the size
// of a document of six backend servers.
func benchBody(n int) []byte {
	var body bytes.Buffer
	body.WriteByte('[')
	for i := range n {
		if i > 0 {
			body.WriteByte(',')
		}
		value := append(fmt.Appendf(nil, "service: s%04d\n", i), bytes.Repeat([]byte("x"), 985)...)
		fmt.Fprintf(&body, `{"LockIndex":0,"Key":"nutmeglatch/services/s%04d","Flags":0,"Value":"%s","CreateIndex":%d,"ModifyIndex":%d}`, i, base64.StdEncoding.EncodeToString(value), i+1, i+1)
	}
	body.WriteByte(']')
	return body.Bytes()
}

// BenchmarkRead measures a read of the whole prefix: a first read, in which
// every value is new, and a repeated one, in which no value has changed.
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{10, 1000, 6900} {
		body := benchBody(n)
		for _, first := range []bool{true, false} {
			b.Run(fmt.Sprintf("first=%v/documents=%d", first, n), func(b *testing.B) {
				r := NewHTTP(HTTPConfig{Metrics: metrics.NewSet()}).(*httpSource).newReader("poll", "nutmeglatch/", nil, nil)
				b.ReportAllocs()
				for index := uint64(1); b.Loop(); index++ {
					if first || r.seen == nil {
						r.seen = &digests{byKey: map[string]uint64{}}
					}
					if _, err := r.readBody(&http.Response{Body: io.NopCloser(bytes.NewReader(body))}, index); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(body)), "body-B")
			})
		}
	}
}

// countingConn counts the bytes that a connection receives.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// BenchmarkShardRead measures one read of the platform stand-in over loopback
// after a document below it has changed, as a watch and a poll perform it, and
// reports the received bytes, including headers. The names of the documents
// begin with random characters. Depth 0 reads the whole prefix.
func BenchmarkShardRead(b *testing.B) {
	const characters = "abcdefghijklmnopqrstuvwxyz0123456789"
	for _, n := range []int{10, 1000, 6900} {
		p, err := standin.NewPlatform("127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		random := rand.New(rand.NewPCG(1, 1))
		value := bytes.Repeat([]byte("x"), 1000)
		plan := &Plan{}
		var names []string
		for i := range n {
			name := fmt.Sprintf("%c%c%04d", characters[random.IntN(36)], characters[random.IntN(36)], i)
			names = append(names, name)
			plan.Shards = append(plan.Shards, Shard{Prefix: "services/" + name[:2]})
			p.Put("n/services/"+name, value)
		}
		var received atomic.Int64
		h := NewHTTP(HTTPConfig{URL: p.URL(), Plan: func() *Plan { return plan }, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return countingConn{c, &received}, err
		}}).(*httpSource)
		for _, row := range []struct {
			name  string
			shard func(name string) Shard
		}{
			{"depth=0", func(string) Shard { return Shard{} }},
			{"depth=1", func(name string) Shard { return Shard{Prefix: "services/" + name[:1]} }},
			{"depth=2", func(name string) Shard { return Shard{Prefix: "services/" + name[:2]} }},
			{"names", func(name string) Shard { return Shard{"services/" + name[:1], ScopeNames} }},
		} {
			b.Run(fmt.Sprintf("%s/documents=%d", row.name, n), func(b *testing.B) {
				r := h.newReader("watch", "n/", &digests{byKey: map[string]uint64{}}, nil)
				reads := 0
				start := received.Load()
				for ; b.Loop(); reads++ {
					name := names[random.IntN(n)]
					p.Put("n/services/"+name, value)
					r.shard = row.shard(name)
					if _, err := r.read(b.Context(), false); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(received.Load()-start)/float64(reads), "received-B")
			})
		}
		p.Close()
	}
}
