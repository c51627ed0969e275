package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

// failing records calls, one every 50 ms, of which every nth fails, until the back end is ejected
// or the given number of calls is reached. It returns the time and the count of successful calls.
func failing(tracker *Tracker, from time.Duration, answered uint64, calls, every int) (time.Duration, uint64) {
	now := from
	for call := 1; call <= calls; call++ {
		now += 50 * time.Millisecond
		tracker.RecordAnswer(now)
		if call%every != 0 {
			answered++
			continue
		}
		if tracker.RecordFailure(now, protocol.BackendStart{Instance: "a"}, answered) {
			return now, answered
		}
	}
	return now, answered
}

func TestABackEndThatFailsManyCallsIsEjectedForAWhile(t *testing.T) {
	check := is.New(t)
	tracker := started(t)
	now, answered := failing(tracker, 0, 0, 100, 2)
	check.Equal(tracker.View(now).State, protocol.EndpointDegraded)
	check.True(now < time.Second)
	check.Equal(tracker.View(now+ejectionUnit-1).State, protocol.EndpointDegraded)
	check.Equal(tracker.View(now+ejectionUnit).State, protocol.EndpointReady)
	again, _ := failing(tracker, now+ejectionUnit, answered, 100, 2)
	tracker.RecordAnswer(again + 2*ejectionUnit)
	check.Equal(tracker.View(again+2*ejectionUnit-1).State, protocol.EndpointDegraded) // twice as long
	check.Equal(tracker.View(again+2*ejectionUnit).State, protocol.EndpointReady)
}

func TestOrdinaryFailuresEjectNobody(t *testing.T) {
	check := is.New(t)
	tracker := started(t)
	now, answered := failing(tracker, 0, 0, 1000, 10)
	check.Equal(tracker.View(now).State, protocol.EndpointReady)
	check.Equal(answered, uint64(900))
	few := started(t)
	for call := range failureCalls - 1 {
		check.True(!few.RecordFailure(time.Duration(call)*time.Millisecond, protocol.BackendStart{Instance: "a"}, 0)) // too few failures
	}
}

func TestFailuresOfAnEarlierInstanceDoNotCount(t *testing.T) {
	check := is.New(t)
	tracker := started(t)
	now, answered := failing(tracker, 0, 0, 100, 1)
	check.Equal(tracker.View(now).State, protocol.EndpointDegraded)
	tracker.HandleReport(now, Report{Instance: "b", Sequence: 1, Slots: 6})
	tracker.HandleProbe(now, ProbeResult{Instance: "b", Healthy: true})
	check.Equal(tracker.View(now).State, protocol.EndpointReady)
	for range 100 {
		check.True(!tracker.RecordFailure(now, protocol.BackendStart{Instance: "a"}, answered))
	}
	check.Equal(tracker.View(now).State, protocol.EndpointReady)
}

func TestADegradedBackEndThatDrainsIsDraining(t *testing.T) {
	check := is.New(t)
	tracker := started(t)
	now, _ := failing(tracker, 0, 0, 100, 1)
	tracker.HandleLeave(protocol.BackendStart{Instance: "a"}, 0)
	check.Equal(tracker.View(now).State, protocol.EndpointDraining)
}
