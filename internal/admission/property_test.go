package admission

import (
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const propertySteps = 250

func propertyParameters(tests int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = tests
	p.Workers = 1
	return p
}

// run executes the steps and returns the first one after which more could be
// admitted than the backend server allows, or -1.
func (w *world) run(steps []int64) int {
	for i, seed := range steps {
		w.step(rand.New(rand.NewSource(seed)))
		if w.admissible() > w.limit() {
			return i
		}
	}
	return -1
}

// Guards the allowance of a backend server: whatever reports are lost,
// duplicated and delayed, and in whatever order hosts learn of changes of the
// buckets, what is open and what hosts may still admit never exceeds it.
func TestAllowanceIsNeverExceeded(t *testing.T) {
	properties := gopter.NewProperties(propertyParameters(300))
	properties.Property("open and admissible flows stay within the allowance", prop.ForAllNoShrink(
		func(hosts, connections int, steps []int64) bool {
			w := newWorld(hosts, connections, connections)
			w.settle(10)
			return w.run(steps) < 0
		},
		gen.IntRange(2, 6), gen.IntRange(3, 300), gen.SliceOfN(propertySteps, gen.Int64()),
	))
	properties.TestingRun(t)
}

// Guards a backend server that has just started: the same holds for its ramp,
// although each host learns of the start at another time.
func TestRampIsNeverExceeded(t *testing.T) {
	properties := gopter.NewProperties(propertyParameters(200))
	properties.Property("open and admissible flows stay within the ramp", prop.ForAllNoShrink(
		func(hosts, cold, delay int, steps []int64) bool {
			w := newWorld(hosts, 400, cold)
			w.cold = w.now
			for i, h := range w.hosts {
				h.learns = time.Duration(i*delay) * time.Millisecond
				w.sync(i)
			}
			w.settle(10)
			return w.run(steps) < 0
		},
		gen.IntRange(2, 6), gen.IntRange(1, 60), gen.IntRange(0, 2000), gen.SliceOfN(propertySteps, gen.Int64()),
	))
	properties.TestingRun(t)
}
