package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/platform/standin"
)

// The promise of stated limits is broken by one request too many in its span, and by none that comes
// before the limit binds, or at another statement.
func TestAStatedLimitIsKept(t *testing.T) {
	check := is.New(t)
	limited := func(arrival *standin.Arrival) {
		arrival.Limit, arrival.LimitedSince = 2.5, start
	}
	const allowed = 20 // 1.5 * 4 * 2.5 + 5
	oracle, arrive := arrivals()
	for range 2 * allowed {
		arrive(0, limitLearned, limited)
	}
	for count := range allowed {
		arrive(0, limitLearned+time.Duration(count+1)*time.Millisecond, limited)
	}
	check.Equal(len(oracle.Violations()), 0)
	arrive(0, limitLearned+limitSpan, limited)
	check.Equal(len(oracle.Violations()), 1)
	check.Equal(oracle.Violations()[0].Promise, promiseOfLimits)
}

// The promise of leaving in answers is broken by a request that is sent too long after its own machine has
// passed on such an answer.
func TestAnUpstreamThatLeavesInAnswersGetsNoNewWork(t *testing.T) {
	check := is.New(t)
	leaving := func(arrival *standin.Arrival) { arrival.SaysLeaving = true }
	oracle, arrive := arrivals()
	arrive(0, time.Millisecond, leaving)
	arrive(time.Hour, time.Hour, leaving) // nothing was passed on yet
	check.Equal(len(oracle.Violations()), 0)
	run := oracle.runs["q1"][0]
	oracle.passedOn(charge().Machine, run, start.Add(time.Hour))
	arrive(time.Hour+drainBound, time.Hour+drainBound, leaving)
	check.Equal(len(oracle.Violations()), 0)
	arrive(time.Hour+drainBound+time.Millisecond, time.Hour+drainBound+time.Millisecond, leaving)
	check.Equal(len(oracle.Violations()), 1)
	check.Equal(oracle.Violations()[0].Promise, promiseOfLeaving)
}
