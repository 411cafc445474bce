package follower

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

// Hosts of a fleet.
var (
	reader = Fleet{Reader: true, PeerAlive: true}
	other  = Fleet{PeerAlive: true}
	alone  = Fleet{Reader: true}
)

func newFollower() *Follower { return New(testConfig(), false, rand.New(rand.NewPCG(1, 2))) }

// read makes the first full reading.
func read(t *testing.T, f *Follower, now time.Duration) {
	t.Helper()
	if c := f.Next(0, other, now); c.Kind != ReadAll {
		t.Fatalf("first call %+v, want a full reading", c)
	}
	f.CallEnded(Done, now+4*time.Millisecond)
}

// Guards against two calls at once, and against a host that watches before it has read everything.
func TestFirstCall(t *testing.T) {
	f := newFollower()
	if c := f.Next(0, reader, 0); c.Kind != ReadAll || c.Timeout <= 0 {
		t.Fatalf("first call %+v", c)
	}
	if c := f.Next(0, reader, time.Second); c.Kind != None {
		t.Fatalf("%+v started beside a call in flight", c)
	}
}

// Guards against a watch that is waited for without end when its connection is silent.
func TestWatchHasADeadline(t *testing.T) {
	f := newFollower()
	read(t, f, 0)
	c := f.Next(7, reader, 10*time.Millisecond)
	if c.Kind != Watch || c.After != 7 || c.Wait != 1200*time.Millisecond || c.Timeout != 1700*time.Millisecond {
		t.Fatalf("call of a reader: %+v", c)
	}
}

// Guards against store calls of every host, and against hosts that rely on nobody.
func TestOtherHostsReadOnlyWhenTheirCopyIsOld(t *testing.T) {
	f := newFollower()
	read(t, f, 0)
	if c := f.Next(7, other, time.Second); c.Kind != None {
		t.Fatalf("%+v though the copy is fresh", c)
	}
	f.Confirm(1500 * time.Millisecond)
	if c := f.Next(7, other, 3*time.Second); c.Kind != None {
		t.Fatalf("%+v though another host has confirmed the copy", c)
	}
	c := f.Next(7, other, 3600*time.Millisecond)
	if c.Kind != Watch || c.Wait != 0 {
		t.Fatalf("call for an old copy: %+v, want a watch that does not wait", c)
	}
}

// Guards against a copy that counts as confirmed later than the store can have been looked at.
func TestConfirmation(t *testing.T) {
	for _, test := range []struct {
		name  string
		ended time.Duration // after the call's start
		want  time.Duration // confirmed, after the call's start
	}{
		{"change seen early", 700 * time.Millisecond, 0},
		{"waited in vain", 1210 * time.Millisecond, 1200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFollower()
			read(t, f, 0)
			start := 100 * time.Millisecond
			f.Next(7, reader, start)
			now := start + test.ended
			f.CallEnded(Done, now)
			if at, ok := f.Confirmed(); !ok || at != start+test.want {
				t.Fatalf("confirmed at %v after the start, want %v", at-start, test.want)
			}
		})
	}
}

// Guards against hosts that press a store which is down or busy, and against pauses so long that bounds are missed.
func TestRetries(t *testing.T) {
	f := newFollower()
	now := time.Duration(0)
	var last time.Duration
	for i := range 12 {
		if c := f.Next(0, other, now); c.Kind != ReadAll {
			t.Fatalf("try %d: %+v", i, c)
		}
		f.CallEnded(Failed, now)
		last = f.notBefore - now
		if last <= 0 || last > time.Second {
			t.Fatalf("pause %v after %d failures, want more than 0 and at most 1s", last, i+1)
		}
		if c := f.Next(0, other, now+last-time.Millisecond); c.Kind != None {
			t.Fatal("a call started before the pause was over")
		}
		now += last
	}
	if last < 500*time.Millisecond {
		t.Fatalf("pause %v after 12 failures, want half a second or more", last)
	}
	f.Next(0, other, now)
	f.CallEnded(Done, now)
	f.Next(1, reader, now)
	f.CallEnded(Refused, now)
	if pause := f.notBefore - now; pause > 100*time.Millisecond {
		t.Fatalf("pause %v after the first failure since a success", pause)
	}
}

// Guards against a host that goes on watching from a revision whose changes are lost.
func TestHistoryLost(t *testing.T) {
	f := newFollower()
	read(t, f, 0)
	f.Next(7, reader, 10*time.Millisecond)
	f.CallEnded(HistoryLost, 20*time.Millisecond)
	if c := f.Next(7, reader, 20*time.Millisecond); c.Kind != ReadAll {
		t.Fatalf("%+v, want a full reading at once", c)
	}
}

// Guards against a store that counts as back when a call fails for the last time: it may return at any moment until the
// next one is answered.
func TestAwayUntilTheFirstAnswer(t *testing.T) {
	f := newFollower()
	read(t, f, 0)
	if _, ok := f.OutageAt(); ok {
		t.Fatal("a store that has answered each call counts as away")
	}
	f.Next(7, reader, time.Second)
	f.CallEnded(Failed, 2*time.Second)
	if at, ok := f.OutageAt(); !ok || at != 2*time.Second {
		t.Fatalf("away at %v, %v after a failed call", at, ok)
	}
	f.Next(7, reader, 3*time.Second)
	f.CallEnded(Done, 5*time.Second)
	f.Next(7, reader, 5*time.Second)
	f.CallEnded(Done, 6*time.Second)
	if at, _ := f.OutageAt(); at != 5*time.Second {
		t.Fatalf("away until %v, want the first answer at 5s", at)
	}
}

// Guards against a store that was away between two answers without a failed call (soak seed 6402: a watch was answered, the
// store went away, and other hosts found it well again before the next watch failed).
func TestMissingConfirmationsMayBeAnOutage(t *testing.T) {
	f := newFollower()
	read(t, f, 0)
	for _, tt := range []struct{ at, want time.Duration }{
		{1200 * time.Millisecond, -1}, {2450 * time.Millisecond, -1}, {4200 * time.Millisecond, 4200 * time.Millisecond},
		{5400 * time.Millisecond, 4200 * time.Millisecond},
	} {
		f.Confirm(tt.at)
		if got := f.PossibleOutageAt(); got != tt.want {
			t.Errorf("after the confirmation at %v: unsettled at %v, want %v", tt.at, got, tt.want)
		}
	}
	if _, ok := f.OutageAt(); ok {
		t.Error("a late confirmation is told to others as an outage")
	}
}

// Guards against a full reading of a host that already has everything from another one.
func TestCopyFromAnotherHost(t *testing.T) {
	f := newFollower()
	f.Next(0, other, 0)
	f.CallEnded(Failed, 0)
	f.CopyReceived()
	f.Confirm(10 * time.Millisecond)
	if c := f.Next(7, other, 500*time.Millisecond); c.Kind != None {
		t.Fatalf("%+v though the copy is complete and fresh", c)
	}
}

type fakeSource struct{ err error }

func (s fakeSource) ReadPage(context.Context, string) (Page, error) { return Page{Revision: 3}, s.err }

func (s fakeSource) Watch(ctx context.Context, _ uint64, _ time.Duration) (Result, error) {
	<-ctx.Done()
	return Result{}, ctx.Err()
}

// Guards against errors that are taken for others, and against calls without an end.
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
		t.Errorf("watch that is silent: %v, %v", got, err)
	}
}

// Guards against a store that is only slow and never read, as each call ends before its answer.
func TestTimeoutGrowsWhileCallsFail(t *testing.T) {
	f := newFollower()
	now := time.Duration(0)
	for i, want := range []time.Duration{500, 1000, 2000, 2000} {
		c := f.Next(0, other, now)
		if c.Timeout != want*time.Millisecond {
			t.Fatalf("timeout %v after %d failures, want %v", c.Timeout, i, want*time.Millisecond)
		}
		f.CallEnded(Failed, now)
		now = f.notBefore
	}
	f.Next(0, other, now)
	f.CallEnded(Done, now)
	if c := f.Next(1, reader, now); c.Timeout != c.Wait+500*time.Millisecond {
		t.Fatalf("timeout %v after a success", c.Timeout)
	}
}
