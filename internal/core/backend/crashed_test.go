package backend

import (
	"testing"

	"github.com/matryer/is"
)

// Calls of a start that has left may still run while the next start does.
func TestAStartThatLeftHasNotCrashed(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	tracker.HandleLeave(startOf(100), 0)
	tracker.HandleReport(0, reportOf(200, 1))
	answerProbe(tracker, 0)
	check.Equal(tracker.View(0).Start, startOf(200))
	check.True(!tracker.View(0).EarlierCrashed)
}

func TestAStartCountsAsCrashedAfterTheNextOneAnswers(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	tracker.HandleReport(0, reportOf(200, 1))
	check.True(!tracker.View(0).EarlierCrashed)
	answerProbe(tracker, 0)
	check.True(tracker.View(0).EarlierCrashed)
}

// EarlierCrashed refers to the last confirmed start, even if an unconfirmed one reported in
// between.
func TestAnUnconfirmedStartDoesNotHideAnEarlierLeave(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	tracker.HandleLeave(startOf(100), 0)
	tracker.HandleReport(0, reportOf(200, 1))
	tracker.HandleReport(0, reportOf(300, 1))
	answerProbe(tracker, 0)
	check.Equal(tracker.View(0).Start, startOf(300))
	check.True(!tracker.View(0).EarlierCrashed)
}
