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

// run executes the steps and returns the index of the first one after which open
// and admissible flows exceed the allowance of the backend server, or -1.
func (sim *simulation) run(steps []int64) int {
	for i, seed := range steps {
		sim.step(rand.New(rand.NewSource(seed)))
		if sim.admissible() > sim.limit() {
			return i
		}
	}
	return -1
}

// Guards against more flows to a backend server than its allowance, when reports
// are lost, duplicated or delayed and hosts learn of bucket changes in any order.
// The flows that hosts may still admit count as well as the open ones.
func TestAllowanceIsNeverExceeded(t *testing.T) {
	properties := gopter.NewProperties(propertyParameters(300))
	properties.Property("open and admissible flows stay within the allowance", prop.ForAllNoShrink(
		func(hosts, connections int, steps []int64) bool {
			sim := newSimulation(hosts, connections, connections)
			sim.settle(10)
			return sim.run(steps) < 0
		},
		gen.IntRange(2, 6), gen.IntRange(3, 300), gen.SliceOfN(propertySteps, gen.Int64()),
	))
	properties.TestingRun(t)
}

// Guards against more flows than the cold ramp allows, when each host learns of
// the start of the backend server at a different time.
func TestRampIsNeverExceeded(t *testing.T) {
	properties := gopter.NewProperties(propertyParameters(200))
	properties.Property("open and admissible flows stay within the ramp", prop.ForAllNoShrink(
		func(hosts, cold, delay int, steps []int64) bool {
			sim := newSimulation(hosts, 400, cold)
			sim.cold = sim.now
			for i, h := range sim.hosts {
				h.coldDelay = time.Duration(i*delay) * time.Millisecond
				sim.sync(i)
			}
			sim.settle(10)
			return sim.run(steps) < 0
		},
		gen.IntRange(2, 6), gen.IntRange(1, 60), gen.IntRange(0, 2000), gen.SliceOfN(propertySteps, gen.Int64()),
	))
	properties.TestingRun(t)
}
