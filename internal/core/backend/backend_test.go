package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

const interval = time.Second

func newReadyTracker(t *testing.T) *Tracker {
	t.Helper()
	tracker := NewTracker(interval)
	is.New(t).True(tracker.HandleReport(0, Report{Instance: "a", Sequence: 3, Slots: 6}))
	tracker.HandleProbeResult(0, ProbeResult{Instance: "a", Healthy: true})
	is.New(t).Equal(tracker.View(0), View{Start: protocol.BackendStart{Instance: "a"}, Slots: 6, State: protocol.EndpointReady})
	return tracker
}

func TestAnInstanceIsConfirmedOnlyByItsOwnAnswer(t *testing.T) {
	check := is.New(t)
	tracker := NewTracker(interval)
	tracker.HandleReport(0, Report{Instance: "a", Sequence: 1, Slots: 6})
	check.Equal(tracker.View(0).State, protocol.EndpointNone)
	tracker.HandleProbeResult(0, ProbeResult{Instance: "b", Healthy: true})
	check.Equal(tracker.View(0).State, protocol.EndpointNone)
	tracker.HandleProbeResult(0, ProbeResult{})
	check.Equal(tracker.View(0).State, protocol.EndpointNone)
	tracker.HandleProbeResult(0, ProbeResult{Instance: "a"}) // it is leaving
	check.Equal(tracker.View(0).State, protocol.EndpointNone)
	check.True(tracker.HasCandidates())
	tracker.HandleProbeResult(0, ProbeResult{Instance: "a", Healthy: true})
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
}

func TestDrainingSurvivesLateReports(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	tracker.HandleReport(0, Report{Instance: "a", Sequence: 5, Draining: true})
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	tracker.HandleReport(0, Report{Instance: "a", Sequence: 4})
	tracker.HandleReport(0, Report{Instance: "a", Sequence: 6}) // may arrive if the daemon was restarted in between
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
}

func TestALateReportOfAnEndedInstanceIsIgnored(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	check.True(tracker.HandleReport(0, Report{Instance: "b", Sequence: 1, Slots: 4}))
	tracker.HandleProbeResult(0, ProbeResult{Instance: "b", Healthy: true})
	check.Equal(tracker.View(0), View{
		Start: protocol.BackendStart{Instance: "b"}, Slots: 4, State: protocol.EndpointReady, EarlierCrashed: true,
	})
	check.True(!tracker.HandleReport(0, Report{Instance: "a", Sequence: 9}))
	check.Equal(tracker.View(0).Start.Instance, "b")
	check.True(!tracker.HasCandidates())
}

func TestALeaveWithoutADrainStopsWork(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	tracker.HandleLeave(protocol.BackendStart{Instance: "b"}, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
	tracker.HandleLeave(protocol.BackendStart{Instance: "a"}, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	check.True(!tracker.HandleReport(0, Report{Instance: "a", Sequence: 9}))
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
}

func TestANewReportEndsTheDownState(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	tracker.MarkUnreachable(protocol.BackendStart{Instance: "b"})
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
	tracker.MarkUnreachable(protocol.BackendStart{Instance: "a"})
	check.Equal(tracker.View(0).State, protocol.EndpointDown)
	tracker.HandleReport(interval, Report{Instance: "a", Sequence: 4, Slots: 6, WarmUp: interval})
	check.Equal(tracker.View(interval).State, protocol.EndpointWarming)
	check.Equal(tracker.View(2*interval).State, protocol.EndpointReady)
}

func TestMissedHeartbeatsCountOnlyWithoutAnsweredCalls(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	late := maxMissedHeartbeats*interval + 1
	check.Equal(tracker.View(late).State, protocol.EndpointDown)
	tracker.RecordAnswer(interval)
	check.Equal(tracker.View(late).State, protocol.EndpointReady)
}

func TestEndedStartsAreBounded(t *testing.T) {
	tracker := newReadyTracker(t)
	for index := range 3 * endedLimit {
		tracker.HandleLeave(protocol.BackendStart{Instance: string(rune('A' + index))}, 0)
	}
	is.New(t).Equal(len(tracker.endedStarts), endedLimit)
}

func TestARestoredLeaveIsBinding(t *testing.T) {
	check := is.New(t)
	tracker := NewTracker(time.Second)
	tracker.RestoreLeave(protocol.BackendStart{Instance: "one"})
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	check.True(!tracker.HandleReport(0, Report{Instance: "one", Sequence: 9, Slots: 6})) // contradicts the leave, without effect
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	check.True(tracker.HandleReport(0, Report{Instance: "two", Sequence: 1, Slots: 6}))
	tracker.HandleProbeResult(0, ProbeResult{Instance: "two", Healthy: true})
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
	tracker.RestoreLeave(protocol.BackendStart{Instance: "one"}) // arrives late: the newer instance keeps running
	check.Equal(tracker.View(0), View{Start: protocol.BackendStart{Instance: "two"}, Slots: 6, State: protocol.EndpointReady})
}

// A delayed heartbeat of an instance that has crashed arrives after the first one of its successor.
// The successor replaces it as soon as it answers a probe itself.
func TestALateReportDoesNotDelayTheSuccessor(t *testing.T) {
	check := is.New(t)
	for _, earlier := range []string{"", "a"} { // the daemon may have known the crashed instance or not
		tracker := NewTracker(time.Second)
		if earlier != "" {
			tracker.HandleReport(0, Report{Instance: earlier, Sequence: 1, Slots: 6})
			tracker.HandleProbeResult(0, ProbeResult{Instance: earlier, Healthy: true})
		}
		check.True(tracker.HandleReport(time.Second, Report{Instance: "b", Sequence: 1, Slots: 6}))
		tracker.HandleReport(2*time.Second, Report{Instance: "a", Sequence: 9, Slots: 6})
		tracker.HandleProbeResult(2*time.Second, ProbeResult{Instance: "b", Healthy: true})
		check.Equal(tracker.View(2*time.Second).Start.Instance, "b")
		check.Equal(tracker.View(2*time.Second).State, protocol.EndpointReady)
		tracker.HandleReport(3*time.Second, Report{Instance: "a", Sequence: 10, Slots: 6}) // even later
		tracker.HandleProbeResult(3*time.Second, ProbeResult{Instance: "b", Healthy: true})
		check.Equal(tracker.View(3*time.Second).Start.Instance, "b")
	}
}

// A daemon that has received no heartbeat since it started publishes the leaves it acknowledges.
// Otherwise they would be lost if it were killed.
func TestALeaveBeforeTheFirstHeartbeatIsPublished(t *testing.T) {
	check := is.New(t)
	announcements := map[string]func(*Tracker){
		"leave":              func(tracker *Tracker) { tracker.HandleLeave(protocol.BackendStart{Instance: "a"}, 0) },
		"draining heartbeat": func(tracker *Tracker) { tracker.HandleReport(0, Report{Instance: "a", Sequence: 1, Draining: true}) },
	}
	for name, announce := range announcements {
		tracker := NewTracker(time.Second)
		announce(tracker)
		t.Log(name)
		check.Equal(tracker.View(0).Start.Instance, "a")
		check.Equal(tracker.View(0).State, protocol.EndpointDraining)
		tracker.HandleReport(0, Report{Instance: "a", Sequence: 9, Slots: 6}) // contradicts the leave
		tracker.HandleProbeResult(0, ProbeResult{Instance: "a", Healthy: true})
		check.Equal(tracker.View(0).State, protocol.EndpointDraining)
		tracker.HandleReport(0, Report{Instance: "b", Sequence: 1, Slots: 6}) // the successor
		tracker.HandleProbeResult(0, ProbeResult{Instance: "b", Healthy: true})
		check.Equal(tracker.View(0).State, protocol.EndpointReady)
	}
}

// Two reports may arrive in reverse order, and both are acknowledged. An instance that is leaving
// stays in that state.
func TestADrainOvertakenByALaterReportIsBinding(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	tracker.HandleReport(0, Report{Instance: "a", Sequence: 5, Slots: 6})
	tracker.HandleReport(0, Report{Instance: "a", Sequence: 4, Slots: 2, Draining: true})
	check.Equal(tracker.View(0), View{Start: protocol.BackendStart{Instance: "a"}, Slots: 6, State: protocol.EndpointDraining})
}
