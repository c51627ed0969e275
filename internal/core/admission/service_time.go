package admission

import (
	"cmp"
	"math"
	"sync/atomic"
	"time"
)

// meanWeight is the weight of a new value in an exponential moving mean.
const meanWeight = 1.0 / 16

// outlierFactor limits a new value to this multiple of the mean. A stall of the
// whole machine makes all running calls look long at once; without the limit the
// gate would go on refusing queued calls for many times the duration of the stall.
const outlierFactor = 4

// movingMean is an exponential moving mean of durations. It holds the float64 bits
// of the mean in seconds, 0 until the first value.
type movingMean struct {
	bits atomic.Uint64
}

// observe adds a duration to the mean. If two updates race, one is lost, which the
// mean tolerates.
func (m *movingMean) observe(duration time.Duration) {
	old := m.bits.Load()
	mean := math.Float64frombits(old)
	next := duration.Seconds()
	if old != 0 {
		next = min(next, mean*outlierFactor)
		next = mean + (next-mean)*meanWeight
	}
	m.bits.CompareAndSwap(old, math.Float64bits(next))
}

func (m *movingMean) value() time.Duration {
	return time.Duration(math.Float64frombits(m.bits.Load()) * float64(time.Second))
}

// classStatsOf returns the statistics of a call's class, which are empty at first.
func (g *Gate) classStatsOf(call *Call) *classStats {
	return g.classes.Get(call.Class)
}

// observeServiceTime adds the service time of a call to the means of all calls and of its class.
func (g *Gate) observeServiceTime(call *Call, duration time.Duration) {
	g.meanServiceTime.observe(duration)
	stats := g.classStatsOf(call)
	if mean := stats.mean.value(); mean > 0 {
		stats.deviation.observe(max(duration-mean, mean-duration))
	}
	stats.mean.observe(duration)
}

// expectedServiceTimeOf returns the expected service time of a call: the mean of its class, or
// the mean of all calls if the class has none yet.
func (g *Gate) expectedServiceTimeOf(call *Call) time.Duration {
	return cmp.Or(g.classStatsOf(call).mean.value(), g.MeanServiceTime())
}

// CautiousServiceTime returns a cautious estimate of a call's service time, the expected
// service time plus the mean deviation of its class; 0 if unknown.
func (g *Gate) CautiousServiceTime(call *Call) time.Duration {
	return g.expectedServiceTimeOf(call) + g.classStatsOf(call).deviation.value()
}

// maxDelayRatio is the largest ratio of actual to expected waits that is taken into
// account.
const maxDelayRatio = 4

// delayRatioOf returns the mean ratio of actual to expected waits of a call's class,
// from 1 to maxDelayRatio. Calls wait longer than the queue ahead of them suggests when
// later arrivals overtake them.
func (g *Gate) delayRatioOf(call *Call) float64 {
	return min(max(g.classStatsOf(call).delayRatio.value().Seconds(), 1), maxDelayRatio)
}

// observeDelay records the ratio of a call's actual (or newly estimated) wait to the
// wait that was expected when it was queued.
func (g *Gate) observeDelay(ticket *Ticket, waited time.Duration) {
	if ticket.expectedWait > 0 {
		ratio := min(float64(waited)/float64(ticket.expectedWait), maxDelayRatio)
		g.classStatsOf(&ticket.Call).delayRatio.observe(time.Duration(ratio * float64(time.Second)))
	}
}

// longestServiceTimeDecay is the fraction of its distance to the mean by which the longest service
// time decays with each answer, so that a single outlier loses its effect after a few hundred answers.
const longestServiceTimeDecay = 1.0 / 128

// RecordServiceTime records the time from sending a call to the back end's answer.
func (g *Gate) RecordServiceTime(call *Call, duration time.Duration) {
	stats := g.classStatsOf(call)
	stats.answerCount.Add(1)
	stats.answeredMean.observe(duration)
	mean := stats.answeredMean.value()
	stats.answeredDeviation.observe(max(duration-mean, mean-duration))
	old := stats.longestServiceTime.Load()
	decayed := old - int64(float64(old-int64(mean))*longestServiceTimeDecay)
	stats.longestServiceTime.CompareAndSwap(old, max(decayed, int64(duration)))
}

// longDeviations is the number of mean deviations by which ServiceTimes.Long exceeds the mean. If
// the mean deviation is as large as the mean, about one call in ten takes longer than Long.
const longDeviations = 2

// ServiceTimes summarises the service times of the answered calls of one class.
type ServiceTimes struct {
	Mean time.Duration
	// Long is a duration that few calls exceed; Longest is the recent maximum.
	Long    time.Duration
	Longest time.Duration
	// Seen is the number of answers on which these values are based.
	Seen int
}

// ServiceTimes returns the service times of a call's class.
func (g *Gate) ServiceTimes(call *Call) ServiceTimes {
	stats := g.classStatsOf(call)
	mean := stats.answeredMean.value()
	return ServiceTimes{
		Mean: mean, Long: mean + longDeviations*stats.answeredDeviation.value(),
		Longest: time.Duration(stats.longestServiceTime.Load()), Seen: int(stats.answerCount.Load()),
	}
}

// classStats holds the service time statistics of one class of calls.
type classStats struct {
	// mean is the mean time from start to Done of the class's calls, without Unmeasured ones and
	// those that did not reach the back end.
	mean movingMean
	// answeredMean and answeredDeviation are the mean and the mean deviation of answered calls
	// only. Hung calls are left out: the time for which they hold a slot is not service time.
	answeredMean      movingMean
	answeredDeviation movingMean
	// longestServiceTime is the decaying maximum of the service times of answered calls, in
	// nanoseconds; answerCount is the number of these calls.
	longestServiceTime atomic.Int64
	answerCount        atomic.Int64
	// deviation is the mean deviation from mean.
	deviation movingMean
	// delayRatio is the mean ratio of actual to expected waits; a movingMean holds durations, so
	// a ratio of 1 is stored as 1 s.
	delayRatio movingMean
}

// MeanServiceTime returns the moving mean of the service times of all calls; 0 if unknown.
func (g *Gate) MeanServiceTime() time.Duration { return g.meanServiceTime.value() }
