package command

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// pair connects a primary, its secondary and an admitting host without network
// delays.
type pair struct {
	primary, secondary *State
	runner             *Runner
	bytes              int // JSON bytes of the messages, if counting is set
	counting           bool
}

func newPair(retention time.Duration, claims int) *pair {
	cfg := func(id string) Config {
		return Config{Self: id, Retention: retention, MaxClaims: claims, MaxClaimBytes: 1 << 30}
	}
	p := &pair{New(cfg("a"), testStart), New(cfg("b"), testStart), NewRunner(cfg("c"), &freeSlots{}), 0, false}
	for _, s := range []*State{p.primary, p.secondary} {
		s.SetConditions(testStart, Conditions{Majority: true, Serving: true})
		s.SetOwners(testStart, testService, allBuckets(ab))
		s.advance(testStart.Add(time.Second))
	}
	return p
}

func (p *pair) count(messages ...any) {
	if !p.counting {
		return
	}
	for _, m := range messages {
		b, _ := json.Marshal(m)
		p.bytes += len(b)
	}
}

func (p *pair) command(now time.Time, id int, answer string) {
	body := fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"shutoff","params":{"meter":"GA-%d","reason":"unpaid"}}`, id, id)
	req, _ := ParseRequest(body)
	in := testInput([]Candidate{{backendOne, "c"}})
	stored := p.primary.Request(now, in, req)[0].(StoreClaim)
	reply := p.secondary.Claim(now, "a", stored.Message)
	run := p.primary.ClaimResult(now, "b", stored.Ref, reply, CallDone)[0].(Run)
	sent := p.runner.Run(now, 1, run.Message, true)[0].(SendBackend)
	answerBody := fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"result":%q}`, id, answer)
	finish := p.runner.Reply(now, sent.Backend, sent.Flow, answerBody, false)[0].(Finish)
	p.count(stored.Message, reply, run.Message, finish.Reply)
	for _, o := range p.primary.RunResult(now, "c", run.Ref, finish.Reply, CallDone) {
		if c, ok := o.(Complete); ok {
			p.count(c.Message)
			p.secondary.Complete(now, "a", c.Message)
		}
	}
}

// commands runs one command per millisecond, so that the claim tables reach their
// size under a steady load.
func (p *pair) commands(b *testing.B) {
	now, i := testStart.Add(time.Second), 0
	for ; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		p.command(now, i, "done")
		if i%128 == 0 {
			p.primary.Expire(now)
			p.secondary.Expire(now)
			p.runner.Expire(now)
		}
	}
	if p.counting {
		b.ReportMetric(float64(p.bytes)/float64(i), "bytes/command")
	}
}

func BenchmarkCommand(b *testing.B) {
	b.ReportAllocs()
	newPair(time.Second, 1<<20).commands(b)
}

func BenchmarkBytesBetweenHosts(b *testing.B) {
	p := newPair(time.Second, 1<<20)
	p.counting = true
	p.commands(b)
}

func BenchmarkBytesPerClaim(b *testing.B) {
	const claims = 20000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := newPair(time.Millisecond, claims)
		for i := range claims {
			p.command(testStart.Add(time.Second), i, "done")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		_, estimate := p.primary.Claims()
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "bytes/claim+copy+run")
		b.ReportMetric(float64(estimate)/claims, "estimate-bytes/claim")
		runtime.KeepAlive(p)
	}
}

// BenchmarkHandOver measures in simulated time, up to the retention period, how
// long a planned stop waits if the other owner has just joined.
func BenchmarkHandOver(b *testing.B) {
	for _, claims := range []int{0, 50, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			for b.Loop() {
				waited, sent := startHandover(claims)
				b.ReportMetric(waited.Seconds(), "s-waited")
				b.ReportMetric(float64(sent), "bytes")
			}
		})
	}
}

func startHandover(claims int) (waited time.Duration, sent int) {
	p := newPair(DefaultRetention, 20000)
	now := testStart.Add(time.Second)
	for ; now.Sub(testStart) < DefaultRetention+time.Second; now = now.Add(500 * time.Millisecond) {
		p.primary.SetConditions(now, Conditions{Majority: true, Serving: true})
		p.secondary.SetConditions(now, Conditions{Majority: true, Serving: true})
	}
	for i := range claims {
		p.command(now, i, "done")
	}
	next := New(Config{Self: "c", MaxClaims: 20000}, now)
	next.SetConditions(now, Conditions{Majority: true, Serving: true})
	next.SetOwners(now, testService, allBuckets(ac))
	p.primary.SetOwners(now, testService, allBuckets(ac))
	joined := now
	out := p.primary.StartHandover(now)
	for p.primary.UnconfirmedBuckets(now) > 0 {
		for ; len(out) > 0; out = out[1:] {
			switch o := out[0].(type) {
			case Transfer:
				raw, _ := json.Marshal(o.Message)
				sent += len(raw)
				reply, _ := next.Transfer(now, "a", o.Message)
				out = append(out, p.primary.TransferResult(now, o.Seq, reply, CallDone)...)
			case QueryCoverage:
				raw, _ := json.Marshal(o.Message)
				sent += len(raw)
				out = append(out, p.primary.CoverageResult(now, "c", o.Message, next.Coverage(now, "a", o.Message), CallDone)...)
			}
		}
		now = now.Add(50 * time.Millisecond)
		next.SetConditions(now, Conditions{Majority: true, Serving: true})
		out = p.primary.Expire(now)
	}
	return now.Sub(joined), sent
}
