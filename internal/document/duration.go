package document

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written in YAML as text such as "5s" or "10m".
type Duration time.Duration

// UnmarshalText parses the form that time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(err, "duration %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// AllowedText describes the accepted form in error messages.
func (Duration) AllowedText() string { return "a duration with a unit, such as 5s or 10m" }
