package follower

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Guards against a watch that is repeated after a truncated answer, against a truncated answer that confirms the contents,
// and against pages with too short a timeout for a slow link.
func TestTruncatedWatch(t *testing.T) {
	f := newFollower()
	readFull(t, f, 0)
	confirmed, _ := f.Confirmed()
	f.Next(at(7), reader, time.Second)
	now := 1500 * time.Millisecond
	f.CallEnded(Truncated, false, now)
	if at, _ := f.Confirmed(); at != confirmed {
		t.Errorf("confirmed as of %v by a truncated answer, want %v", at, confirmed)
	}
	if at, ok := f.OutageAt(); !ok || at != now {
		t.Errorf("outage at %v, %v; want %v", at, ok, now)
	}
	c := f.Next(at(9), reader, now)
	if c.Kind != ReadAll || c.FirstPageOnly || c.Timeout != 2*time.Second {
		t.Fatalf("%+v, want a read of all pages at once with the longest timeout", c)
	}
	f.CallEnded(Done, false, now)
	if c := f.Next(at(9), reader, now); c.Kind != Watch || c.After != 9 {
		t.Fatalf("%+v at a newer revision, want a watch", c)
	}
	f.CallEnded(Done, false, now)
	if c := f.Next(at(7), reader, now+time.Second); c.Kind != Watch {
		t.Fatalf("%+v after a watch that was answered in full, want a watch", c)
	}
}

// Guards against a repeated watch if the full read after a truncated one has found nothing new, and against full reads
// without a pause in its place.
func TestTruncatedWatchIsNotRepeated(t *testing.T) {
	f := newFollower()
	readFull(t, f, 0)
	f.Next(at(7), reader, 10*time.Millisecond)
	now := 20 * time.Millisecond
	f.CallEnded(Truncated, false, now)
	reads := 0
	for ; now < 10*time.Second; now += 5 * time.Millisecond {
		switch c := f.Next(at(7), reader, now); c.Kind {
		case Watch:
			t.Fatalf("%+v at %v, want full reads only", c, now)
		case ReadAll:
			reads++
			f.CallEnded(Done, false, now)
		}
	}
	if reads < 9 || reads > 11 {
		t.Errorf("%d full reads in 10s, want one a second", reads)
	}
	if c := f.Next(at(8), reader, now); c.Kind != Watch || c.After != 8 {
		t.Errorf("%+v at a newer revision, want a watch", c)
	}
}

// Guards against calls without a pause when each watch is truncated while the contents change.
func TestTruncatedWatchesBackOff(t *testing.T) {
	f := newFollower()
	readFull(t, f, 0)
	calls, last := map[Kind]int{}, time.Duration(0)
	revision := uint64(7)
	for now := time.Duration(0); now < 20*time.Second; now += 5 * time.Millisecond {
		c := f.Next(at(revision), reader, now)
		if c.Kind == None {
			continue
		}
		calls[c.Kind]++
		last = now
		if c.Kind == Watch {
			f.CallEnded(Truncated, false, now)
			continue
		}
		f.CallEnded(Done, false, now)
		revision++
	}
	if calls[Watch] > 45 || calls[ReadAll] > 45 || last < 18*time.Second {
		t.Errorf("calls %v in 20s, the last at %v; want at most 45 of each, until the end", calls, last)
	}
}

// cutSource is a Source whose watch is truncated and whose first page breaks off.
type cutSource struct{}

func (cutSource) Watch(context.Context, uint64, time.Duration) (Result, error) {
	return Result{Updates: make([]registry.Update, 2), Revision: 8}, errors.Wrap(ErrTruncated, "too large")
}

func (cutSource) ReadPage(_ context.Context, from string) (Page, error) {
	if from == "" {
		return Page{Revision: 5, Next: "k", Truncated: errors.New("connection lost")}, nil
	}
	return Page{Revision: 9}, nil
}

// Guards against the loss of the changes that a truncated answer contains, and against a full read that starts again, or
// counts as undisturbed, after a page that broke off.
func TestDoTruncated(t *testing.T) {
	got, outcome, err := Do(t.Context(), cutSource{}, Call{Kind: Watch, Timeout: time.Second})
	if outcome != Truncated || err == nil || len(got.Updates) != 2 || got.Revision != 8 {
		t.Errorf("watch: %+v, %v, %v; want two updates up to revision 8, truncated", got, outcome, err)
	}
	got, outcome, err = Do(t.Context(), cutSource{}, Call{Kind: ReadAll, Timeout: time.Second})
	if outcome != Done || err != nil || got.Revision != 5 || !got.Interrupted {
		t.Errorf("full read: %+v, %v, %v; want revision 5, disturbed", got, outcome, err)
	}
}
