package follower

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// eraSource is a Source of three pages. The nth call is answered in the nth era, the last one also afterwards.
type eraSource struct {
	eras  []uint64
	calls int
	err   error
}

func (s *eraSource) era() uint64 {
	s.calls++
	return s.eras[min(s.calls, len(s.eras))-1]
}

func (s *eraSource) ReadPage(_ context.Context, from string) (Page, error) {
	era := s.era()
	page := Page{Era: era, Revision: 10 * era, Next: from + "k", Updates: []registry.Update{{Revision: era}}}
	if from == "kk" {
		page.Next = ""
	}
	return page, s.err
}

func (s *eraSource) Watch(context.Context, uint64, time.Duration) (Result, error) {
	return Result{Updates: make([]registry.Update, 2), Revision: 8, Era: s.era(), Changed: true}, s.err
}

// Guards against a full read that mixes pages of two eras, that counts pages of an older one as current, or that never ends.
func TestFullReadAcrossEras(t *testing.T) {
	for _, tt := range []struct {
		name    string
		known   uint64
		eras    []uint64
		outcome Outcome
		era     uint64
		calls   int
	}{
		{"one era", 1, []uint64{1}, Done, 1, 3},
		{"newer from the first page on", 1, []uint64{2}, Done, 2, 3},
		{"newer from the second page on", 1, []uint64{1, 2}, Done, 2, 5},
		{"newer twice", 1, []uint64{1, 1, 2, 2, 3}, Done, 3, 8},
		{"each read", 1, []uint64{1, 2, 2, 3, 3, 4}, Failed, 4, 6},
		{"older page", 2, []uint64{2, 1}, Failed, 2, 2},
		{"older from the first page on", 2, []uint64{1}, Failed, 2, 1},
	} {
		source := &eraSource{eras: tt.eras}
		got, outcome, err := Do(t.Context(), source, Call{Kind: ReadAll, Era: tt.known, Timeout: time.Second})
		if outcome != tt.outcome || got.Era != tt.era || source.calls != tt.calls || (err == nil) != (outcome == Done) {
			t.Errorf("%s: %v of era %d after %d calls, %v; want %v of era %d after %d", tt.name, outcome, got.Era, source.calls, err, tt.outcome, tt.era, tt.calls)
		}
		if outcome == Done && (len(got.Updates) != 3 || got.Revision != 10*tt.era || got.Updates[0].Revision != tt.era) {
			t.Errorf("%s: %+v, want the pages of era %d", tt.name, got, tt.era)
		}
		if outcome != Done && len(got.Updates) > 0 {
			t.Errorf("%s: %+v, want no updates", tt.name, got)
		}
	}
}

// Guards against the changes of another era being applied, and against an era that is not noticed in an answer of any kind.
func TestWatchAcrossEras(t *testing.T) {
	for _, tt := range []struct {
		name    string
		era     uint64
		err     error
		outcome Outcome
		updates int
	}{
		{"same era", 2, nil, Done, 2},
		{"newer", 3, nil, EraChanged, 0},
		{"newer, truncated", 3, ErrTruncated, EraChanged, 0},
		{"newer, history lost", 3, ErrHistoryLost, HistoryLost, 0},
		{"newer, refused", 3, ErrRefused, Refused, 0},
		{"newer, failed", 3, errors.New("bad gateway"), Failed, 0},
		{"older", 1, nil, Failed, 0},
		{"older, truncated", 1, ErrTruncated, Failed, 0},
		{"truncated", 2, ErrTruncated, Truncated, 2},
	} {
		got, outcome, _ := Do(t.Context(), &eraSource{eras: []uint64{tt.era}, err: tt.err}, Call{Kind: Watch, Era: 2, After: 7, Timeout: time.Second})
		if outcome != tt.outcome || len(got.Updates) != tt.updates || got.Era != tt.era {
			t.Errorf("%s: %v, %+v; want %v, %d updates, era %d", tt.name, outcome, got, tt.outcome, tt.updates, tt.era)
		}
	}
}

// Guards against a host that watches on in the former era, and against a wave of full reads: hosts other than the reader read
// one page and wait for a copy.
func TestFullReadAfterAnEraChange(t *testing.T) {
	for _, tt := range []struct {
		name      string
		fleet     Fleet
		firstPage bool
	}{{"reader", reader, false}, {"other host", other, true}} {
		f := newFollower()
		readFull(t, f, 0)
		now := 10 * time.Second
		if c := f.Next(registry.Version{Era: 1, Revision: 7}, tt.fleet, now); c.Kind != Watch || c.Era != 1 {
			t.Fatalf("%s: %+v, want a watch in era 1", tt.name, c)
		}
		f.CallEnded(EraChanged, false, now)
		if c := f.Next(registry.Version{Era: 1, Revision: 7}, tt.fleet, now); c.Kind != ReadAll || c.FirstPageOnly != tt.firstPage {
			t.Errorf("%s: %+v, want a full read of the first page only: %v", tt.name, c, tt.firstPage)
		}
	}
}

// Guards against full reads in place of watches, for ever, after a truncated watch at a revision that is above all of a new era.
func TestTruncatedWatchOfAnOlderEra(t *testing.T) {
	f := newFollower()
	readFull(t, f, 0)
	f.Next(registry.Version{Era: 1, Revision: 1000}, reader, time.Second)
	f.CallEnded(Truncated, false, time.Second)
	f.CopyReceived()
	if c := f.Next(registry.Version{Era: 2, Revision: 900}, reader, 3*time.Second); c.Kind != Watch {
		t.Errorf("%+v, want a watch", c)
	}
}

// Guards against an era in a refusal that is forgotten.
func TestEraInARefusal(t *testing.T) {
	f := newFollower()
	readFull(t, f, 0)
	f.Next(registry.Version{Era: 1, Revision: 7}, reader, time.Second)
	f.CallEnded(Refused, false, time.Second)
	f.EraChanged(2)
	if c := f.Next(registry.Version{Era: 1, Revision: 7}, reader, time.Second); c.Kind != None {
		t.Errorf("%+v at once after a refusal", c)
	}
	if c := f.Next(registry.Version{Era: 1, Revision: 7}, reader, 3*time.Second); c.Kind != ReadAll {
		t.Errorf("%+v, want a full read", c)
	}
}

// disagreeingSource is a store of which the part that answers watches is ahead of the one that answers reads.
type disagreeingSource struct {
	calls    int
	watchErr error
}

func (s *disagreeingSource) ReadPage(context.Context, string) (Page, error) {
	s.calls++
	return Page{Era: 1, Revision: 20}, nil
}

func (s *disagreeingSource) Watch(context.Context, uint64, time.Duration) (Result, error) {
	s.calls++
	return Result{Era: 2, Revision: 10}, s.watchErr
}

// Guards against calls without a pause, and contents of an older era that count as confirmed, while parts of the store disagree
// about the era.
func TestPartsOfTheStoreDisagreeAboutTheEra(t *testing.T) {
	for _, watchErr := range []error{nil, ErrHistoryLost} {
		f, s := newFollower(), &disagreeingSource{watchErr: watchErr}
		readFull(t, f, 0)
		confirmed, _ := f.Confirmed()
		at := registry.Version{Era: 1, Revision: 20}
		for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
			c := f.Next(at, reader, now)
			if c.Kind == None {
				continue
			}
			result, outcome, _ := Do(t.Context(), s, c)
			if result.Era > at.Era && outcome != Done {
				f.EraChanged(result.Era)
			}
			f.CallEnded(outcome, result.Changed, now)
		}
		if s.calls > 40 {
			t.Errorf("%v: %d calls in 10 s", watchErr, s.calls)
		}
		if at, _ := f.Confirmed(); at != confirmed {
			t.Errorf("%v: confirmed as of %v by reads of an older era, before %v", watchErr, at, confirmed)
		}
	}
}
