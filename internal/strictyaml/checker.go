package strictyaml

import (
	"fmt"
	"strconv"
	"time"
)

// MaxNameBytes is the length of the longest name.
const MaxNameBytes = 63

// ValidName reports whether s may name a service, team, region, data centre
// or host.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// Checker collects the faults of a decoded value.
type Checker struct{ Faults Faults }

// Require adds a fault of field unless ok is true.
func (c *Checker) Require(ok bool, field, value, allowed string) {
	if !ok {
		c.Faults.Invalid(field, value, allowed)
	}
}

// Name requires a valid name.
func (c *Checker) Name(field, value string) {
	c.Require(ValidName(value), field, Quote(value), "1 to 63 lower-case letters, digits and hyphens, starting and ending with a letter or digit")
}

// Between requires an integer within bounds.
func (c *Checker) Between(field string, value, low, high int) {
	c.Require(value >= low && value <= high, field, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high))
}

// Duration requires a duration within bounds.
func (c *Checker) Duration(field string, value, low, high time.Duration) {
	c.Require(value >= low && value <= high, field, value.String(), fmt.Sprintf("%v to %v", low, high))
}

// Quote quotes text for a fault. Empty text stays empty, which a fault reports
// as not set.
func Quote(text string) string {
	if text == "" {
		return ""
	}
	return strconv.Quote(text)
}
