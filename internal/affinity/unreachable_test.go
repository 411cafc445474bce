package affinity

import (
	"testing"
	"time"
)

// newCutOffHost returns a host that receives no messages from data centre b, and six callers with open flows of a route to
// servers there.
func newCutOffHost(t *testing.T, command bool) (*harness, []*caller) {
	t.Helper()
	h := newHarness(t)
	service, addr := "meter", meterAddr
	if command {
		service, addr = "bill", billAddr
	}
	for range 6 {
		h.server(service, "b")
	}
	h.applyView()
	var callers []*caller
	for range 6 {
		c := h.caller(addr)
		c.connect()
		callers = append(callers, c)
	}
	h.router.fleet.Unreachable = map[string]bool{"b": true}
	h.advance(100 * time.Millisecond)
	return h, callers
}

// A data centre is cut off, and its callers reach the hosts of another one. Guards against idempotent requests that their
// callers repeat on a flow to a lost server until the deadline, and against resets of flows whose server may be at work.
func TestFlowsToDataCentreCutOffAreReset(t *testing.T) {
	for _, command := range []bool{false, true} {
		h, callers := newCutOffHost(t, command)
		for _, c := range callers {
			expect(t, c.request(), Forward, KnownFlow)
		}
		h.advance(200 * time.Millisecond)
		for _, c := range callers {
			expect(t, c.request(), Forward, KnownFlow) // the silence is still short
		}
		h.advance(400 * time.Millisecond)
		for _, c := range callers {
			if command {
				expect(t, c.request(), Forward, KnownFlow)
				continue
			}
			expect(t, c.request(), Reject, DataCentreCutOff)
		}
	}
}

// Only the hosts of a data centre have failed, and their callers reach its servers through other hosts. Guards against resets
// of flows that wait for a long request while other servers of the data centre answer, or while only a few flows wait.
func TestFlowsToDataCentreWithoutHostsStayOpen(t *testing.T) {
	t.Run("others answer", func(t *testing.T) {
		h, callers := newCutOffHost(t, false)
		for _, c := range callers {
			c.request()
		}
		for range 8 {
			h.advance(100 * time.Millisecond)
			callers[0].answered()
			for _, c := range callers {
				expect(t, c.request(), Forward, KnownFlow)
			}
		}
	})
	t.Run("few wait", func(t *testing.T) {
		h, callers := newCutOffHost(t, false)
		for range 8 {
			for _, c := range callers[:minSilentFlows-1] {
				expect(t, c.request(), Forward, KnownFlow)
			}
			h.advance(100 * time.Millisecond)
		}
	})
	t.Run("reachable", func(t *testing.T) {
		h, callers := newCutOffHost(t, false)
		h.router.fleet.Unreachable = nil
		for range 8 {
			for _, c := range callers {
				expect(t, c.request(), Forward, KnownFlow)
			}
			h.advance(100 * time.Millisecond)
		}
	})
}

// newArrivals returns the callers of six open flows to servers of data centre b that this host has not seen yet.
func newArrivals(h *harness) []*caller {
	var callers []*caller
	for _, s := range h.view.Servers {
		c := h.caller(meterAddr)
		c.token = s.Token()
		callers = append(callers, c)
	}
	return callers
}

// The hosts of a data centre have failed, and its callers' open flows move to this host, which has had no answer of its servers
// for long. Guards against silence that counts from before this host had an answer to wait for: a request of 0.2 s would be
// enough for a reset, or packets that waited in the socket's buffer of a slow host.
func TestSilenceBeginsWithTheFirstRequest(t *testing.T) {
	for _, tt := range []struct {
		name    string
		repeats []time.Duration // after the first transmission; the last one is reset
	}{
		{"repeats in time", []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond}},
		{"first repeat handled with the first transmission", []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h, _ := newCutOffHost(t, false)
			h.advance(5 * time.Second)
			callers, startedAt := newArrivals(h), h.now
			for _, c := range callers {
				expect(t, c.request(), Forward, KnownFlow)
			}
			for n, after := range tt.repeats {
				h.advance(startedAt + after - h.now)
				for _, c := range callers {
					if n < len(tt.repeats)-1 {
						expect(t, c.request(), Forward, KnownFlow)
					} else {
						expect(t, c.request(), Reject, DataCentreCutOff)
					}
				}
			}
		})
	}
}

// A data centre was cut off for a while, and its hosts are still down when its servers are back in reach. Guards against flows
// that are reset at their first repeat by evidence from long before they were opened.
func TestSilenceExpires(t *testing.T) {
	for _, tt := range []struct {
		quiet time.Duration // without packets to the data centre
		want  Action
	}{{time.Second, Reject}, {retransmitWindow + 500*time.Millisecond, Forward}} {
		h, callers := newCutOffHost(t, false)
		h.advance(5 * time.Second)
		for range 4 {
			for _, c := range callers {
				expect(t, c.request(), Forward, KnownFlow)
			}
			h.advance(100 * time.Millisecond)
		}
		expect(t, callers[0].request(), Reject, DataCentreCutOff)
		h.advance(tt.quiet)
		callers = newArrivals(h)
		for _, c := range callers {
			expect(t, c.request(), Forward, KnownFlow)
		}
		h.advance(200 * time.Millisecond)
		for _, c := range callers {
			if v := c.request(); v.Action != tt.want {
				t.Errorf("after %v without packets: first repeat %v %v, want action %v", tt.quiet, v.Action, v.Reason, tt.want)
			}
		}
	}
}
