package hang

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// hung returns evidence that meets all conditions of a hung call.
func hung() Evidence {
	return Evidence{
		Age: 600 * time.Millisecond, Long: 500 * time.Millisecond, Longest: time.Second,
		Seen: seenNeeded, Overtaken: overtakenNeeded,
		Told: true, Missing: 1, Rank: 1,
	}
}

func TestACallThatTheBackEndDoesNotHoldHangs(t *testing.T) {
	is.New(t).True(hung().IsHung())
}

// A call that the back end reports as held is still running, whatever its age.
func TestALongRunThatTheBackEndHoldsDoesNotHang(t *testing.T) {
	evidence := hung()
	evidence.Missing = 0
	evidence.Age = time.Minute
	is.New(t).True(!evidence.IsHung())
}

// Missing calls are attributed first to the one that is longest overdue.
func TestOnlyAsManyHangAsAreMissing(t *testing.T) {
	evidence := hung()
	evidence.Rank = 2
	is.New(t).True(!evidence.IsHung())
}

func TestACallThatIsNoOlderThanOthersOfItsClassDoesNotHang(t *testing.T) {
	evidence := hung()
	evidence.Age = evidence.Long
	is.New(t).True(!evidence.IsHung())
}

func TestAgeAloneMustBeTwiceTheLongest(t *testing.T) {
	check := is.New(t)
	evidence := hung()
	evidence.Told = false
	evidence.Age = 2 * evidence.Longest
	check.True(!evidence.IsHung())
	evidence.Age = 2*evidence.Longest + 1
	check.True(evidence.IsHung())
}

// If the back end answers no call, it may be paused as a whole, and no call can be singled out.
func TestNothingHangsWhileTheBackEndAnswersNobody(t *testing.T) {
	evidence := hung()
	evidence.Overtaken = overtakenNeeded - 1
	is.New(t).True(!evidence.IsHung())
}

func TestAClassThatIsHardlyKnownSaysNothing(t *testing.T) {
	evidence := hung()
	evidence.Seen = seenNeeded - 1
	is.New(t).True(!evidence.IsHung())
}

func TestOnlyAnswersToLaterCallsCount(t *testing.T) {
	check := is.New(t)
	var answers RecentAnswers
	for sent := range 5 {
		answers.Record(time.Duration(sent+1) * time.Second)
	}
	check.Equal(answers.CountSentAfter(2*time.Second), 3)
	for range answersKept {
		answers.Record(9 * time.Second)
	}
	check.Equal(answers.CountSentAfter(2*time.Second), answersKept)
}

// Calls on their way to the back end are missing in some reports, but not in all of them.
func TestWhatIsMissingForAMomentIsNotMissing(t *testing.T) {
	check := is.New(t)
	var balance MissingCalls
	balance.Record(0, 5, 3)
	balance.Record(100*time.Millisecond, 5, 5)
	balance.Record(balanceSpan, 6, 3)
	count, told := balance.Count(balanceSpan)
	check.True(told)
	check.Equal(count, 0)
}

func TestWhatStaysMissingIsCounted(t *testing.T) {
	check := is.New(t)
	var balance MissingCalls
	for at := range balanceReports {
		balance.Record(time.Duration(at)*balanceSpan/2, 5, 3)
	}
	count, told := balance.Count(balanceSpan)
	check.True(told)
	check.Equal(count, 2)
}

func TestAnOldReportTellsNothing(t *testing.T) {
	check := is.New(t)
	var balance MissingCalls
	_, told := balance.Count(0)
	check.True(!told)
	for at := range balanceReports {
		balance.Record(time.Duration(at)*balanceSpan/2, 5, 3)
	}
	_, told = balance.Count(balanceSpan + balanceAge + 1)
	check.True(!told)
	balance.Reset()
	_, told = balance.Count(balanceSpan)
	check.True(!told)
}
