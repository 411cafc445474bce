package follower

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

func testConfig() Config {
	return Config{
		WatchWait:   1200 * time.Millisecond,
		CallTimeout: 500 * time.Millisecond,
		StaleAfter:  2 * time.Second,
		RetryMin:    100 * time.Millisecond,
		RetryMax:    time.Second,
	}
}

// States of the fleet as seen by the reader, by another host and by a host without peers.
var (
	reader = Fleet{Reader: true, PeerAlive: true}
	other  = Fleet{PeerAlive: true}
	alone  = Fleet{Reader: true}
)

// at returns a version of a store that states no era.
func at(revision uint64) registry.Version { return registry.Version{Revision: revision} }

func newFollower() *Follower { return New(testConfig(), false, rand.New(rand.NewPCG(1, 2))) }

// readFull makes the first full read.
func readFull(t *testing.T, f *Follower, now time.Duration) {
	t.Helper()
	if c := f.Next(at(0), other, now); c.Kind != ReadAll {
		t.Fatalf("first call %+v, want a full read", c)
	}
	f.CallEnded(Done, false, now+4*time.Millisecond)
}

// Guards against two concurrent calls, and against a host that starts a watch before a full read.
func TestFirstCall(t *testing.T) {
	f := newFollower()
	if c := f.Next(at(0), reader, 0); c.Kind != ReadAll || c.Timeout <= 0 {
		t.Fatalf("first call %+v", c)
	}
	if c := f.Next(at(0), reader, time.Second); c.Kind != None {
		t.Fatalf("%+v started while a call is in flight", c)
	}
}

// Guards against a watch without a timeout, which would never end when its connection is silent.
func TestWatchTimeout(t *testing.T) {
	f := newFollower()
	readFull(t, f, 0)
	c := f.Next(at(7), reader, 10*time.Millisecond)
	if c.Kind != Watch || c.After != 7 || c.Wait != 1200*time.Millisecond || c.Timeout != 1700*time.Millisecond {
		t.Fatalf("call of a reader: %+v", c)
	}
}

// Guards against hosts other than the reader that call the store while their copy is fresh, and against ones that do not
// call it when the copy is stale.
func TestOtherHostsReadOnlyWhenStale(t *testing.T) {
	f := newFollower()
	readFull(t, f, 0)
	if c := f.Next(at(7), other, time.Second); c.Kind != None {
		t.Fatalf("%+v although the copy is fresh", c)
	}
	f.Confirm(1500 * time.Millisecond)
	if c := f.Next(at(7), other, 3*time.Second); c.Kind != None {
		t.Fatalf("%+v although another host has confirmed the copy", c)
	}
	c := f.Next(at(7), other, 3600*time.Millisecond)
	if c.Kind != Watch || c.Wait != 0 {
		t.Fatalf("call for a stale copy: %+v, want a watch without a wait", c)
	}
}

// Guards against a confirmation later than the time at which the store is certain to have had the contents.
func TestConfirmation(t *testing.T) {
	for _, test := range []struct {
		name    string
		changed bool
		ended   time.Duration // after the call's start
		want    time.Duration // confirmed, after the call's start
	}{
		{"change seen early", true, 700 * time.Millisecond, 0},
		{"change handled late by a slow host", true, 1400 * time.Millisecond, 0},
		{"answered early without a change", false, 700 * time.Millisecond, 0},
		{"no change within the wait", false, 1210 * time.Millisecond, 1200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFollower()
			readFull(t, f, 0)
			start := 100 * time.Millisecond
			f.Next(at(7), reader, start)
			now := start + test.ended
			f.CallEnded(Done, test.changed, now)
			if at, ok := f.Confirmed(); !ok || at != start+test.want {
				t.Fatalf("confirmed at %v after the start, want %v", at-start, test.want)
			}
		})
	}
}

// Guards against hosts that overload a store that is down or busy, and against a backoff above the maximum.
func TestRetries(t *testing.T) {
	f := newFollower()
	now := time.Duration(0)
	var last time.Duration
	for i := range 12 {
		if c := f.Next(at(0), other, now); c.Kind != ReadAll {
			t.Fatalf("attempt %d: %+v, want a full read", i, c)
		}
		f.CallEnded(Failed, false, now)
		last = f.notBefore - now
		if last <= 0 || last > time.Second {
			t.Fatalf("backoff %v after %d failures, want more than 0 and at most 1s", last, i+1)
		}
		if c := f.Next(at(0), other, now+last-time.Millisecond); c.Kind != None {
			t.Fatal("a call started before the backoff was over")
		}
		now += last
	}
	if last < 500*time.Millisecond {
		t.Fatalf("backoff %v after 12 failures, want half a second or more", last)
	}
	f.Next(at(0), other, now)
	f.CallEnded(Done, false, now)
	f.Next(at(1), reader, now)
	f.CallEnded(Refused, false, now)
	if backoff := f.notBefore - now; backoff > 100*time.Millisecond {
		t.Fatalf("backoff %v after the first failure since a success, want at most 100ms", backoff)
	}
}

// Guards against a host that keeps watching from a revision whose changes the store no longer keeps.
func TestHistoryLost(t *testing.T) {
	f := newFollower()
	readFull(t, f, 0)
	f.Next(at(7), reader, 10*time.Millisecond)
	f.CallEnded(HistoryLost, false, 20*time.Millisecond)
	if c := f.Next(at(7), reader, 20*time.Millisecond); c.Kind != ReadAll {
		t.Fatalf("%+v, want a full read at once", c)
	}
}

// Guards against an outage that counts as over at the last failed call. The store may have recovered at any time up to the
// next answered call.
func TestOutageEndsWithTheFirstAnswer(t *testing.T) {
	f := newFollower()
	readFull(t, f, 0)
	if _, ok := f.OutageAt(); ok {
		t.Fatal("a store that has answered each call counts as unavailable")
	}
	f.Next(at(7), reader, time.Second)
	f.CallEnded(Failed, false, 2*time.Second)
	if at, ok := f.OutageAt(); !ok || at != 2*time.Second {
		t.Fatalf("outage at %v, %v after a failed call, want 2s", at, ok)
	}
	f.Next(at(7), reader, 3*time.Second)
	f.CallEnded(Done, false, 5*time.Second)
	f.Next(at(7), reader, 5*time.Second)
	f.CallEnded(Done, false, 6*time.Second)
	if at, _ := f.OutageAt(); at != 5*time.Second {
		t.Fatalf("outage until %v, want the first answer at 5s", at)
	}
}

// Guards against an outage between two answers that goes unnoticed because no call failed (soak seed 6402: a watch was
// answered, the store became unavailable, and other hosts reached it again before the next watch failed).
func TestConfirmationGapIsAPossibleOutage(t *testing.T) {
	f := newFollower()
	readFull(t, f, 0)
	for _, tt := range []struct{ at, want time.Duration }{
		{1200 * time.Millisecond, -1}, {2450 * time.Millisecond, -1}, {4200 * time.Millisecond, 4200 * time.Millisecond},
		{5400 * time.Millisecond, 4200 * time.Millisecond},
	} {
		f.Confirm(tt.at)
		if got := f.PossibleOutageAt(); got != tt.want {
			t.Errorf("after the confirmation at %v: possible outage at %v, want %v", tt.at, got, tt.want)
		}
	}
	if _, ok := f.OutageAt(); ok {
		t.Error("a late confirmation is reported to other hosts as an outage")
	}
}

// Guards against a full read by a host that has received a complete copy from another host.
func TestNoReadAfterCopyFromAnotherHost(t *testing.T) {
	f := newFollower()
	f.Next(at(0), other, 0)
	f.CallEnded(Failed, false, 0)
	f.CopyReceived()
	f.Confirm(10 * time.Millisecond)
	if c := f.Next(at(7), other, 500*time.Millisecond); c.Kind != None {
		t.Fatalf("%+v although the copy is complete and fresh", c)
	}
}

type fakeSource struct{ err error }

func (s fakeSource) ReadPage(context.Context, string) (Page, error) { return Page{Revision: 3}, s.err }

func (s fakeSource) Watch(ctx context.Context, _ uint64, _ time.Duration) (Result, error) {
	<-ctx.Done()
	return Result{}, ctx.Err()
}

// Guards against errors that are mapped to a wrong outcome, and against calls that never end.
func TestDo(t *testing.T) {
	for _, test := range []struct {
		err  error
		want Outcome
	}{
		{nil, Done},
		{errors.Wrap(ErrRefused, "busy"), Refused},
		{errors.Mark(errors.New("410"), ErrHistoryLost), HistoryLost},
		{errors.New("reset"), Failed},
	} {
		if _, got, _ := Do(t.Context(), fakeSource{test.err}, Call{Kind: ReadAll, Timeout: time.Second}); got != test.want {
			t.Errorf("%v: outcome %v, want %v", test.err, got, test.want)
		}
	}
	_, got, err := Do(t.Context(), fakeSource{}, Call{Kind: Watch, Timeout: time.Millisecond})
	if got != Failed || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("watch without an answer: %v, %v", got, err)
	}
}

// Guards against a slow store that is never read because each call times out before the answer.
func TestTimeoutGrowsWhileCallsFail(t *testing.T) {
	f := newFollower()
	now := time.Duration(0)
	for i, want := range []time.Duration{500, 1000, 2000, 2000} {
		c := f.Next(at(0), other, now)
		if c.Timeout != want*time.Millisecond {
			t.Fatalf("timeout %v after %d failures, want %v", c.Timeout, i, want*time.Millisecond)
		}
		f.CallEnded(Failed, false, now)
		now = f.notBefore
	}
	f.Next(at(0), other, now)
	f.CallEnded(Done, false, now)
	if c := f.Next(at(1), reader, now); c.Timeout != c.Wait+500*time.Millisecond {
		t.Fatalf("timeout %v after a success", c.Timeout)
	}
}
