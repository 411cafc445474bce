package platform

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
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

// BenchmarkRead measures a read of the whole prefix: first, when every value
// is new, and again, when none differs from what was read before.
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
					if _, err := r.changed(&http.Response{Body: io.NopCloser(bytes.NewReader(body))}, index); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(body)), "body-B")
			})
		}
	}
}
