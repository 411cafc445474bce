package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Reading is the result of a call to the store.
type Reading struct {
	Updates  []registry.Update
	Revision uint64 // up to which the updates are complete
}

// Source reads the published store. Its methods are called by one goroutine at a time.
type Source interface {
	// ReadAll returns the whole contents.
	ReadAll(ctx context.Context) (Reading, error)
	// Watch returns the changes after a revision, as soon as there is one or when the wait has passed.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Reading, error)
}

// Errors of a Source that a follower answers in a way of its own.
var (
	ErrHistoryLost = errors.New("the store no longer keeps the changes after this revision")
	ErrRefused     = errors.New("the store refused the call")
)

// Do makes a call. The reading is empty unless the outcome is Done.
func Do(ctx context.Context, source Source, c Call) (Reading, Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var reading Reading
	var err error
	if c.Kind == ReadAll {
		reading, err = source.ReadAll(ctx)
	} else {
		reading, err = source.Watch(ctx, c.After, c.Wait)
	}
	switch {
	case err == nil:
		return reading, Done, nil
	case errors.Is(err, ErrHistoryLost):
		return Reading{}, HistoryLost, err
	case errors.Is(err, ErrRefused):
		return Reading{}, Refused, err
	}
	return Reading{}, Failed, err
}
