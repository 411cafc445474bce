package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// maxPages bounds a full reading: 40,000 backend servers are 80 pages.
const maxPages = 1000

// Result is the result of a call to the store.
type Result struct {
	Updates  []registry.Update
	Revision uint64 // up to which the updates are complete
}

// Page is a part of the whole contents.
type Page struct {
	Updates  []registry.Update
	Revision uint64 // of the store
	Next     string // where the next page begins; "" after the last one
}

// Source reads the published store. Its methods are called by one goroutine at a time.
type Source interface {
	// ReadPage returns a page of the contents. The first one begins at "".
	ReadPage(ctx context.Context, from string) (Page, error)
	// Watch returns the changes after a revision, as soon as there is one or when the wait has passed.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Result, error)
}

// Errors of a Source that a follower answers in a way of its own.
var (
	ErrHistoryLost = errors.New("the store no longer keeps the changes after this revision")
	ErrRefused     = errors.New("the store refused the call")
)

// Do makes a call. The reading is empty unless the outcome is Done.
func Do(ctx context.Context, source Source, c Call) (Result, Outcome, error) {
	if c.Kind == ReadAll {
		return readAll(ctx, source, c)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	reading, err := source.Watch(ctx, c.After, c.Wait)
	if err != nil {
		return Result{}, outcomeOf(err), err
	}
	return reading, Done, nil
}

// readAll reads page after page, each with a timeout of its own, as the contents of a large deployment have many. Pages
// are no snapshot, so the reading is complete only up to the first page's revision.
func readAll(ctx context.Context, source Source, c Call) (Result, Outcome, error) {
	var reading Result
	from := ""
	for n := 0; ; n++ {
		if n >= maxPages {
			return Result{}, Failed, errors.Newf("more than %d pages", maxPages)
		}
		page, err := readPage(ctx, source, from, c.Timeout)
		if err != nil {
			return Result{}, outcomeOf(err), err
		}
		if n == 0 {
			reading.Revision = page.Revision
		}
		reading.Updates = append(reading.Updates, page.Updates...)
		if page.Next == "" {
			return reading, Done, nil
		}
		if c.FirstPageOnly {
			return Result{}, Incomplete, nil
		}
		from = page.Next
	}
}

func readPage(ctx context.Context, source Source, from string, timeout time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return source.ReadPage(ctx, from)
}

func outcomeOf(err error) Outcome {
	switch {
	case errors.Is(err, ErrHistoryLost):
		return HistoryLost
	case errors.Is(err, ErrRefused):
		return Refused
	}
	return Failed
}
