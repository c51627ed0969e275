package hang

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// hungEvidence returns evidence that meets all conditions of a hung call.
func hungEvidence() Evidence {
	return Evidence{
		Age: 600 * time.Millisecond, Long: 500 * time.Millisecond, Longest: time.Second,
		Seen: minAnsweredCalls, Overtaken: minOvertaken,
		Told: true, Missing: 1, Rank: 1,
	}
}

func TestACallThatTheBackEndDoesNotHoldIsHung(t *testing.T) {
	is.New(t).True(hungEvidence().IsHung())
}

// If the back end reports that it holds all calls in flight, none is considered hung, whatever its
// age.
func TestALongCallThatTheBackEndHoldsIsNotHung(t *testing.T) {
	evidence := hungEvidence()
	evidence.Missing = 0
	evidence.Age = time.Minute
	is.New(t).True(!evidence.IsHung())
}

// With one missing call, only the call of rank 1 is considered hung.
func TestNoMoreCallsAreHungThanAreMissing(t *testing.T) {
	evidence := hungEvidence()
	evidence.Rank = 2
	is.New(t).True(!evidence.IsHung())
}

func TestACallWithinTheUsualServiceTimeIsNotHung(t *testing.T) {
	evidence := hungEvidence()
	evidence.Age = evidence.Long
	is.New(t).True(!evidence.IsHung())
}

func TestWithoutAReportOfHeldCallsTheAgeMustExceedTwiceTheLongestTime(t *testing.T) {
	check := is.New(t)
	evidence := hungEvidence()
	evidence.Told = false
	evidence.Age = 2 * evidence.Longest
	check.True(!evidence.IsHung())
	evidence.Age = 2*evidence.Longest + 1
	check.True(evidence.IsHung())
}

// If fewer than minOvertaken later calls have been answered, the whole back end may be paused, so
// no call is considered hung.
func TestNoCallIsHungBeforeEnoughLaterCallsAreAnswered(t *testing.T) {
	evidence := hungEvidence()
	evidence.Overtaken = minOvertaken - 1
	is.New(t).True(!evidence.IsHung())
}

func TestNoCallIsHungInAClassWithFewAnswers(t *testing.T) {
	evidence := hungEvidence()
	evidence.Seen = minAnsweredCalls - 1
	is.New(t).True(!evidence.IsHung())
}

func TestOnlyAnswersToCallsSentLaterCount(t *testing.T) {
	check := is.New(t)
	var answers RecentAnswers
	for second := range 5 {
		answers.Record(time.Duration(second+1) * time.Second)
	}
	check.Equal(answers.CountSentAfter(2*time.Second), 3)
	for range keptAnswers {
		answers.Record(9 * time.Second)
	}
	check.Equal(answers.CountSentAfter(2*time.Second), keptAnswers)
}

// Calls on their way to the back end are missing in some reports, but not in all of them.
func TestBrieflyMissingCallsAreNotCounted(t *testing.T) {
	check := is.New(t)
	var missing MissingCalls
	missing.Record(0, 5, 3)
	missing.Record(100*time.Millisecond, 5, 5)
	missing.Record(missingPeriod, 6, 3)
	count, found := missing.Count(missingPeriod)
	check.True(found)
	check.Equal(count, 0)
}

func TestPermanentlyMissingCallsAreCounted(t *testing.T) {
	check := is.New(t)
	var missing MissingCalls
	for report := range minReportsPerPeriod {
		missing.Record(time.Duration(report)*missingPeriod/2, 5, 3)
	}
	count, found := missing.Count(missingPeriod)
	check.True(found)
	check.Equal(count, 2)
}

func TestAnOldResultIsNotUsed(t *testing.T) {
	check := is.New(t)
	var missing MissingCalls
	_, found := missing.Count(0)
	check.True(!found)
	for report := range minReportsPerPeriod {
		missing.Record(time.Duration(report)*missingPeriod/2, 5, 3)
	}
	_, found = missing.Count(missingPeriod + maxResultAge + 1)
	check.True(!found)
	missing.Reset()
	_, found = missing.Count(missingPeriod)
	check.True(!found)
}
