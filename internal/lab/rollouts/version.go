package rollouts

import (
	"math/rand/v2"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
	"github.com/springstack/springstack/internal/core/rollout"
)

// classMeans are the mean service times of the classes of calls, from short look-ups to
// long reads.
var classMeans = []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, 780 * time.Millisecond}

// slowness is how many times longer a slow answer takes.
const slowness = 4

// version is how one software version answers.
type version struct {
	// Failing and Slow are the shares of answers that fail and that take longer.
	Failing float64
	Slow    float64
	// OnlyClass is the one class that this holds for; -1 for all.
	OnlyClass int
	// From is when it begins, after the order.
	From time.Duration
}

// good tells whether the version answers as the old one does.
func (v version) good() bool { return v.Failing == 0 && v.Slow == 0 }

// drawVersion draws a target version: one in three is good.
func drawVersion(random *rand.Rand, duration time.Duration) version {
	drawn := version{OnlyClass: -1}
	switch random.IntN(6) {
	case 0, 1:
		return drawn
	case 2:
		drawn.Failing = 0.2 + 0.6*random.Float64()
	case 3:
		drawn.Slow = 0.4 + 0.5*random.Float64()
	case 4:
		drawn.Failing = 0.4 + 0.5*random.Float64()
		drawn.OnlyClass = random.IntN(len(classMeans))
	case 5:
		drawn.Failing = 0.3 + 0.5*random.Float64()
		drawn.From = time.Duration(random.Float64() * 0.25 * float64(duration))
	}
	return drawn
}

// answer draws one answer into evidence and tells whether it was bad. Trouble is the
// share of answers that fail whatever the version.
func (v version) answer(random *rand.Rand, now time.Duration, evidence rollout.Evidence, trouble float64) (bad bool) {
	class := random.IntN(len(classMeans))
	touched := now >= v.From && (v.OnlyClass < 0 || v.OnlyClass == class)
	took := time.Duration(float64(classMeans[class]) * (0.4 + 0.6*random.ExpFloat64()))
	slow := touched && random.Float64() < v.Slow
	if slow {
		took *= slowness
	}
	failed := random.Float64() < trouble || (touched && random.Float64() < v.Failing)
	counts := evidence[callclass.Class(class)]
	counts.Record(failed, took)
	evidence[callclass.Class(class)] = counts
	return failed || slow
}
