package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// maxPages bounds the number of pages of a full read. 40,000 backend servers take 80 pages.
const maxPages = 1000

// Result is the result of a call to the store.
type Result struct {
	Updates  []registry.Update
	Revision uint64 // revision up to which the updates are complete
	// Era is the era of the store, also of an answer that ends the call as failed; 0: the store states none, or there was no
	// answer.
	Era uint64
	// Changed is set if a watch was answered with changes, of which Updates may lack unknown items.
	Changed bool
	// Interrupted is set if answers to a full read broke off and were continued: the store may have been unavailable.
	Interrupted bool
}

// Version returns the version up to which the updates are complete.
func (r *Result) Version() registry.Version {
	return registry.Version{Era: r.Era, Revision: r.Revision}
}

// Page is a part of the full contents.
type Page struct {
	Updates   []registry.Update
	Revision  uint64 // of the store when the page was read
	Era       uint64 // of the store, also if the page could not be read
	Next      string // start of the next page; "" after the last one
	Truncated error  // the answer broke off; the page ends before the fault, and Revision may be lower than the store's
}

// Source reads the published store. Its methods are called by one goroutine at a time.
type Source interface {
	// ReadPage returns the page of the contents that starts at from. The first page starts at "".
	ReadPage(ctx context.Context, from string) (Page, error)
	// Watch returns the changes after a revision as soon as there is one, or none when the wait is over. With ErrTruncated
	// it returns the changes that are complete and the revision up to which they are.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Result, error)
}

// Errors of a Source that have an Outcome of their own. All others give Failed.
var (
	ErrHistoryLost = errors.New("the store no longer keeps the changes after this revision")
	ErrRefused     = errors.New("the store refused the call")
	ErrStaleEra    = errors.New("the answer of the store is of an older era")
	ErrTruncated   = errors.New("the answer of the store broke off or is invalid")
)

// Do makes a call. The result has only the era unless the outcome is Done, or Truncated: then it has the changes that are
// complete.
func Do(ctx context.Context, source Source, c Call) (Result, Outcome, error) {
	if c.Kind == ReadAll {
		return readAll(ctx, source, c)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	result, err := source.Watch(ctx, c.After, c.Wait)
	truncated := errors.Is(err, ErrTruncated)
	switch {
	case err != nil && !truncated:
		return Result{Era: result.Era}, outcomeOf(err), err
	case result.Era > c.Era:
		return Result{Era: result.Era}, EraChanged, err
	case result.Era < c.Era:
		return Result{Era: result.Era}, Failed, errors.Wrapf(ErrStaleEra, "watch of era %d in era %d", result.Era, c.Era)
	case truncated:
		return result, Truncated, err
	}
	return result, Done, nil
}

// maxEraRestarts is the number of attempts at a full read that the store interrupts by entering a newer era.
const maxEraRestarts = 3

// readAll reads all pages. It begins anew when a page is of a newer era than those before.
func readAll(ctx context.Context, source Source, c Call) (Result, Outcome, error) {
	era := c.Era
	for range maxEraRestarts {
		result, outcome, err := readEra(ctx, source, c, era)
		if outcome != EraChanged {
			return result, outcome, err
		}
		era = result.Era
	}
	return Result{Era: era}, Failed, errors.Newf("the store entered new eras during %d full reads", maxEraRestarts)
}

// readEra reads all pages, each with a timeout of its own, because the contents of a large deployment have many pages. The
// pages are not a consistent snapshot, so the result is complete only up to the revision of the first page. era is the newest
// that is known. The read ends as EraChanged when a page after the first one is of a newer era than those before.
func readEra(ctx context.Context, source Source, c Call, era uint64) (Result, Outcome, error) {
	result := Result{Era: era}
	from := ""
	for n := 0; ; n++ {
		if n >= maxPages {
			return Result{Era: result.Era}, Failed, errors.Newf("store returned more than %d pages", maxPages)
		}
		page, err := readPage(ctx, source, from, c.Timeout)
		switch {
		case n > 0 && page.Era > result.Era:
			return Result{Era: page.Era}, EraChanged, nil
		case err != nil:
			return Result{Era: max(result.Era, page.Era)}, outcomeOf(err), err
		case page.Era < result.Era:
			return Result{Era: result.Era}, Failed, errors.Wrapf(ErrStaleEra, "page of era %d in era %d", page.Era, result.Era)
		}
		if n == 0 {
			result.Era, result.Revision = page.Era, page.Revision
		}
		result.Updates = append(result.Updates, page.Updates...)
		result.Interrupted = result.Interrupted || page.Truncated != nil
		if page.Next == "" {
			return result, Done, nil
		}
		if c.FirstPageOnly {
			return Result{Era: result.Era}, Incomplete, nil
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
