// Package strictyaml decodes YAML into structs and reports every fault of the
// input at once, each with its field, its value and what is allowed.
package strictyaml

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Kind classifies a fault.
type Kind string

// Kinds of faults.
const (
	Malformed    Kind = "malformed"
	UnknownField Kind = "unknown_field"
	InvalidValue Kind = "invalid_value"
	TooLarge     Kind = "too_large"
)

// maxValueText bounds the part of a value that a fault quotes, in bytes.
const maxValueText = 80

// maxFaults bounds the list of faults of a hostile input.
const maxFaults = 1000

// Fault is one reason why an input is rejected.
type Fault struct {
	Kind    Kind   `json:"kind"`
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// String returns the field, the kind, the rejected value and what is allowed.
func (f Fault) String() string {
	field := f.Field
	if field == "" {
		field = "input"
	}
	if f.Value == "" {
		return field + ": " + string(f.Kind) + ": not set; allowed: " + f.Allowed
	}
	return field + ": " + string(f.Kind) + ": " + f.Value + "; allowed: " + f.Allowed
}

// Faults is a non-empty list of faults, used as an error.
type Faults []Fault

// Error lists every fault.
func (fs Faults) Error() string {
	parts := make([]string, len(fs))
	for i, f := range fs {
		parts[i] = f.String()
	}
	return strings.Join(parts, "\n")
}

// Kind returns the most severe kind among the faults: TooLarge, Malformed,
// UnknownField, InvalidValue. An input that is too large or malformed may have
// further faults that were not found.
func (fs Faults) Kind() Kind {
	for _, kind := range []Kind{TooLarge, Malformed, UnknownField} {
		for _, f := range fs {
			if f.Kind == kind {
				return kind
			}
		}
	}
	return InvalidValue
}

// Err returns the faults as an error, or nil when there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Invalid adds a fault of an invalid value.
func (fs *Faults) Invalid(field, value, allowed string) {
	*fs = append(*fs, Fault{InvalidValue, field, Abbreviate(value), allowed})
}

// Merge adds the faults of more, except those of fields that already have one. A
// field that could not be decoded holds its zero value, which would fail the
// checks a second time.
func (fs *Faults) Merge(more Faults) {
	seen := make(map[string]bool, len(*fs))
	for _, f := range *fs {
		seen[f.Field] = true
	}
	for _, f := range more {
		if !containedIn(seen, f.Field) {
			*fs = append(*fs, f)
		}
	}
	fs.limit()
}

// limit replaces the faults beyond maxFaults by one fault that states their
// number.
func (fs *Faults) limit() {
	if more := len(*fs) - maxFaults; more > 0 {
		*fs = (*fs)[:maxFaults]
		fs.Invalid("", fmt.Sprintf("%d further faults", more), "input without faults")
	}
}

// containedIn reports whether the field or one that contains it is in seen.
func containedIn(seen map[string]bool, field string) bool {
	for field != "" {
		if seen[field] {
			return true
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			return false
		}
		field = field[:i]
	}
	return false
}

// AsFaults returns the faults in the error chain of err.
func AsFaults(err error) (Faults, bool) {
	var fs Faults
	ok := errors.As(err, &fs)
	return fs, ok
}

// Abbreviate shortens text for use in a message, at a rune boundary.
func Abbreviate(text string) string {
	if len(text) <= maxValueText {
		return text
	}
	cut := maxValueText
	for cut > 0 && !utf8.RuneStart(text[cut]) {
		cut--
	}
	return text[:cut] + "..."
}
