package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

// recordCalls records calls, one every 50 ms, of which every nth fails, until the back end is
// ejected or the given number of calls is reached. It returns the time and the count of successful
// calls.
func recordCalls(tracker *Tracker, from time.Duration, succeeded uint64, calls, every int) (time.Duration, uint64) {
	now := from
	for call := 1; call <= calls; call++ {
		now += 50 * time.Millisecond
		tracker.RecordAnswer(now)
		if call%every != 0 {
			succeeded++
			continue
		}
		if tracker.RecordFailure(now, protocol.BackendStart{Instance: "a"}, succeeded) {
			return now, succeeded
		}
	}
	return now, succeeded
}

func TestABackEndThatFailsManyCallsIsEjectedTemporarily(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	now, succeeded := recordCalls(tracker, 0, 0, 100, 2)
	check.Equal(tracker.View(now).State, protocol.EndpointDegraded)
	check.True(now < time.Second)
	check.Equal(tracker.View(now+firstEjection-1).State, protocol.EndpointDegraded)
	check.Equal(tracker.View(now+firstEjection).State, protocol.EndpointReady)
	ejectedAgainAt, _ := recordCalls(tracker, now+firstEjection, succeeded, 100, 2)
	tracker.RecordAnswer(ejectedAgainAt + 2*firstEjection)
	check.Equal(tracker.View(ejectedAgainAt+2*firstEjection-1).State, protocol.EndpointDegraded) // the second ejection lasts twice as long
	check.Equal(tracker.View(ejectedAgainAt+2*firstEjection).State, protocol.EndpointReady)
}

func TestOrdinaryFailuresDoNotEject(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	now, succeeded := recordCalls(tracker, 0, 0, 1000, 10)
	check.Equal(tracker.View(now).State, protocol.EndpointReady)
	check.Equal(succeeded, uint64(900))
	otherTracker := newReadyTracker(t)
	for call := range minCalls - 1 {
		check.True(!otherTracker.RecordFailure(time.Duration(call)*time.Millisecond, protocol.BackendStart{Instance: "a"}, 0)) // too few calls
	}
}

func TestFailuresOfAnEarlierInstanceAreIgnored(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	now, succeeded := recordCalls(tracker, 0, 0, 100, 1)
	check.Equal(tracker.View(now).State, protocol.EndpointDegraded)
	tracker.HandleReport(now, Report{Instance: "b", Sequence: 1, Slots: 6})
	tracker.HandleProbeResult(now, ProbeResult{Instance: "b", Healthy: true})
	check.Equal(tracker.View(now).State, protocol.EndpointReady)
	for range 100 {
		check.True(!tracker.RecordFailure(now, protocol.BackendStart{Instance: "a"}, succeeded))
	}
	check.Equal(tracker.View(now).State, protocol.EndpointReady)
}

func TestADegradedBackEndThatDrainsIsDraining(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	now, _ := recordCalls(tracker, 0, 0, 100, 1)
	tracker.HandleLeave(protocol.BackendStart{Instance: "a"}, 0)
	check.Equal(tracker.View(now).State, protocol.EndpointDraining)
}
