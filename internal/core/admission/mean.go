package admission

import (
	"math"
	"time"
)

// meanWeight is the weight of a new value in the moving mean of service time.
const meanWeight = 1.0 / 16

// outlierFactor bounds a new value, in means. A stall of the whole machine
// makes all running calls look long at once; taken as they are, they would have
// the gate refuse what waits for many times longer than the stall lasted.
const outlierFactor = 4

// observe folds a service time into the moving mean. An update lost to a
// concurrent one does no harm.
func (g *Gate) observe(took time.Duration) {
	old := g.mean.Load()
	mean := math.Float64frombits(old)
	next := took.Seconds()
	if old != 0 {
		next = min(next, mean*outlierFactor)
		next = mean + (next-mean)*meanWeight
	}
	g.mean.CompareAndSwap(old, math.Float64bits(next))
}

// MeanService is the moving mean of service time; 0 until one is known.
func (g *Gate) MeanService() time.Duration { return g.meanService() }

// meanService is the moving mean of service time; 0 until one is known.
func (g *Gate) meanService() time.Duration {
	return time.Duration(math.Float64frombits(g.mean.Load()) * float64(time.Second))
}
