package admission

import (
	"cmp"
	"math"
	"sync/atomic"
	"time"
)

// meanWeight is the weight of a new value in the moving mean of service time.
const meanWeight = 1.0 / 16

// outlierFactor bounds a new value, in means. A stall of the whole machine
// makes all running calls look long at once; taken as they are, they would have
// the gate refuse what waits for many times longer than the stall lasted.
const outlierFactor = 4

// movingMean is the moving mean of durations, as float64 bits of seconds; 0 until
// one is known.
type movingMean struct {
	bits atomic.Uint64
}

// observe folds a duration into the mean. An update lost to a concurrent one does no
// harm.
func (m *movingMean) observe(took time.Duration) {
	old := m.bits.Load()
	mean := math.Float64frombits(old)
	next := took.Seconds()
	if old != 0 {
		next = min(next, mean*outlierFactor)
		next = mean + (next-mean)*meanWeight
	}
	m.bits.CompareAndSwap(old, math.Float64bits(next))
}

func (m *movingMean) value() time.Duration {
	return time.Duration(math.Float64frombits(m.bits.Load()) * float64(time.Second))
}

// classOf returns what is known of the calls of a class, which is nothing at first.
func (g *Gate) classOf(call *Call) *classService {
	return g.classes.Get(call.Class)
}

// observe folds the service time of a call into the means.
func (g *Gate) observe(call *Call, took time.Duration) {
	g.mean.observe(took)
	one := g.classOf(call)
	if mean := one.mean.value(); mean > 0 {
		one.deviation.observe(max(took-mean, mean-took))
	}
	one.mean.observe(took)
}

// serviceOf is how long a call is expected to run: as others of its class do, or
// else as all do.
func (g *Gate) serviceOf(call *Call) time.Duration {
	return cmp.Or(g.classOf(call).mean.value(), g.MeanServiceTime())
}

// LongServiceOf is how long a call may well run: somewhat longer than others of its
// class in the mean; 0 when that is not known.
func (g *Gate) LongServiceTime(call *Call) time.Duration {
	return g.serviceOf(call) + g.classOf(call).deviation.value()
}

// delayLimit bounds by how much a wait is believed to exceed what the queue alone
// makes expect.
const delayLimit = 4

// delayOf is by how much calls of a class wait longer than the calls ahead of them
// alone make expect: others come later and go first. At least 1.
func (g *Gate) delayOf(call *Call) float64 {
	return min(max(g.classOf(call).delay.value().Seconds(), 1), delayLimit)
}

// observeDelay learns how long a call has waited or will have, against what was
// expected when it came.
func (g *Gate) observeDelay(ticket *Ticket, waited time.Duration) {
	if ticket.expectedWait > 0 {
		ratio := min(float64(waited)/float64(ticket.expectedWait), delayLimit)
		g.classOf(&ticket.Call).delay.observe(time.Duration(ratio * float64(time.Second)))
	}
}

// longestWeight is how much of its distance to the mean the longest service time loses with
// each answer: a run that was longer than all others is forgotten after some hundred.
const longestWeight = 1.0 / 128

// NoteAnswer takes the time from the sending of a call to the back end's answer.
func (g *Gate) RecordServiceTime(call *Call, took time.Duration) {
	one := g.classOf(call)
	one.seen.Add(1)
	one.answered.observe(took)
	mean := one.answered.value()
	one.spread.observe(max(took-mean, mean-took))
	old := one.longest.Load()
	faded := old - int64(float64(old-int64(mean))*longestWeight)
	one.longest.CompareAndSwap(old, max(faded, int64(took)))
}

// longDeviations is by how many mean deviations a long service time exceeds the mean: of runs
// whose times spread as widely as their mean one in ten or so is longer.
const longDeviations = 2

// ServiceTimes are what is known of the service times of a class, by answered calls alone.
type ServiceTimes struct {
	Mean time.Duration
	// Long is what few calls take, Longest the longest lately.
	Long    time.Duration
	Longest time.Duration
	// Seen is how many answers tell that.
	Seen int
}

// ServiceTimes are those of a call's class.
func (g *Gate) ServiceTimes(call *Call) ServiceTimes {
	one := g.classOf(call)
	mean := one.answered.value()
	return ServiceTimes{
		Mean: mean, Long: mean + longDeviations*one.spread.value(),
		Longest: time.Duration(one.longest.Load()), Seen: int(one.seen.Load()),
	}
}

// classService are the service times of one class of calls.
type classService struct {
	mean movingMean
	// answered and spread are the mean and the mean deviation of answered calls alone: to
	// those that hang, the slots that they take would be service time.
	answered movingMean
	spread   movingMean
	// longest is the longest of them lately, in nanoseconds, of seen in all.
	longest atomic.Int64
	seen    atomic.Int64
	// deviation is the mean distance from the mean.
	deviation movingMean
	// delay is the mean of waits by expected waits, in seconds.
	delay movingMean
}

// MeanService is the moving mean of service time; 0 until one is known.
func (g *Gate) MeanServiceTime() time.Duration { return g.mean.value() }
