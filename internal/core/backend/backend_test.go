package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

const interval = time.Second

func started(t *testing.T) *Tracker {
	t.Helper()
	tracker := NewTracker(interval)
	is.New(t).True(tracker.Reported(0, Report{Instance: "a", Sequence: 3, Slots: 6}))
	tracker.Probed(0, Probe{Instance: "a", Healthy: true})
	is.New(t).Equal(tracker.View(0), View{Start: protocol.BackendStart{Instance: "a"}, Slots: 6, State: protocol.EndpointReady})
	return tracker
}

func TestAnInstanceIsTakenOnlyOnceItHasAnsweredItself(t *testing.T) {
	check := is.New(t)
	tracker := NewTracker(interval)
	tracker.Reported(0, Report{Instance: "a", Sequence: 1, Slots: 6})
	check.Equal(tracker.View(0).State, protocol.EndpointNone)
	tracker.Probed(0, Probe{Instance: "b", Healthy: true})
	check.Equal(tracker.View(0).State, protocol.EndpointNone)
	tracker.Probed(0, Probe{})
	check.Equal(tracker.View(0).State, protocol.EndpointNone)
	tracker.Probed(0, Probe{Instance: "a"}) // it is leaving
	check.Equal(tracker.View(0).State, protocol.EndpointNone)
	check.True(tracker.Unconfirmed())
	tracker.Probed(0, Probe{Instance: "a", Healthy: true})
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
}

func TestDrainingOutlivesLateReports(t *testing.T) {
	check := is.New(t)
	tracker := started(t)
	tracker.Reported(0, Report{Instance: "a", Sequence: 5, Draining: true})
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	tracker.Reported(0, Report{Instance: "a", Sequence: 4})
	tracker.Reported(0, Report{Instance: "a", Sequence: 6}) // a daemon that was restarted in between may hear this
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
}

func TestALateReportOfAnEndedInstanceIsNotANewOne(t *testing.T) {
	check := is.New(t)
	tracker := started(t)
	check.True(tracker.Reported(0, Report{Instance: "b", Sequence: 1, Slots: 4}))
	tracker.Probed(0, Probe{Instance: "b", Healthy: true})
	check.Equal(tracker.View(0), View{
		Start: protocol.BackendStart{Instance: "b"}, Slots: 4, State: protocol.EndpointReady, EarlierCrashed: true,
	})
	check.True(!tracker.Reported(0, Report{Instance: "a", Sequence: 9}))
	check.Equal(tracker.View(0).Start.Instance, "b")
	check.True(!tracker.Unconfirmed())
}

func TestLeavingWithoutDrainingEndsWork(t *testing.T) {
	check := is.New(t)
	tracker := started(t)
	tracker.Left(protocol.BackendStart{Instance: "b"}, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
	tracker.Left(protocol.BackendStart{Instance: "a"}, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	check.True(!tracker.Reported(0, Report{Instance: "a", Sequence: 9}))
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
}

func TestDownEndsWithTheNextReport(t *testing.T) {
	check := is.New(t)
	tracker := started(t)
	tracker.Unreachable(protocol.BackendStart{Instance: "b"})
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
	tracker.Unreachable(protocol.BackendStart{Instance: "a"})
	check.Equal(tracker.View(0).State, protocol.EndpointDown)
	tracker.Reported(interval, Report{Instance: "a", Sequence: 4, Slots: 6, WarmUp: interval})
	check.Equal(tracker.View(interval).State, protocol.EndpointWarming)
	check.Equal(tracker.View(2*interval).State, protocol.EndpointReady)
}

func TestSilenceCountsOnlyWithoutAnsweredCalls(t *testing.T) {
	check := is.New(t)
	tracker := started(t)
	late := silentBeats*interval + 1
	check.Equal(tracker.View(late).State, protocol.EndpointDown)
	tracker.Answered(interval)
	check.Equal(tracker.View(late).State, protocol.EndpointReady)
}

func TestEndedInstancesAreBounded(t *testing.T) {
	tracker := started(t)
	for index := range 3 * endedLimit {
		tracker.Left(protocol.BackendStart{Instance: string(rune('A' + index))}, 0)
	}
	is.New(t).Equal(len(tracker.ended), endedLimit)
}

func TestWhatPeersRememberOfALeavingInstanceStands(t *testing.T) {
	check := is.New(t)
	tracker := NewTracker(time.Second)
	tracker.Remembered(protocol.BackendStart{Instance: "one"})
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	check.True(!tracker.Reported(0, Report{Instance: "one", Sequence: 9, Slots: 6})) // it denies that, in vain
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	check.True(tracker.Reported(0, Report{Instance: "two", Sequence: 1, Slots: 6}))
	tracker.Probed(0, Probe{Instance: "two", Healthy: true})
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
	tracker.Remembered(protocol.BackendStart{Instance: "one"}) // told late: the newer instance works on
	check.Equal(tracker.View(0), View{Start: protocol.BackendStart{Instance: "two"}, Slots: 6, State: protocol.EndpointReady})
}

// A heartbeat that was held up comes from an instance that has crashed, after the first one of
// its successor: the successor is taken as soon as it answers itself.
func TestALateReportDoesNotHoldItsSuccessorUp(t *testing.T) {
	check := is.New(t)
	for _, before := range []string{"", "a"} { // the daemon may have known the crashed one, or not
		tracker := NewTracker(time.Second)
		if before != "" {
			tracker.Reported(0, Report{Instance: before, Sequence: 1, Slots: 6})
			tracker.Probed(0, Probe{Instance: before, Healthy: true})
		}
		check.True(tracker.Reported(time.Second, Report{Instance: "b", Sequence: 1, Slots: 6}))
		tracker.Reported(2*time.Second, Report{Instance: "a", Sequence: 9, Slots: 6})
		tracker.Probed(2*time.Second, Probe{Instance: "b", Healthy: true})
		check.Equal(tracker.View(2*time.Second).Start.Instance, "b")
		check.Equal(tracker.View(2*time.Second).State, protocol.EndpointReady)
		tracker.Reported(3*time.Second, Report{Instance: "a", Sequence: 10, Slots: 6}) // later still
		tracker.Probed(3*time.Second, Probe{Instance: "b", Healthy: true})
		check.Equal(tracker.View(3*time.Second).Start.Instance, "b")
	}
}

// A daemon that has had no heartbeat since its start tells of what it acknowledges: were it
// killed then, nobody else would know.
func TestALeaveBeforeTheFirstHeartbeatIsTold(t *testing.T) {
	check := is.New(t)
	leave := map[string]func(*Tracker){
		"leave":              func(tracker *Tracker) { tracker.Left(protocol.BackendStart{Instance: "a"}, 0) },
		"draining heartbeat": func(tracker *Tracker) { tracker.Reported(0, Report{Instance: "a", Sequence: 1, Draining: true}) },
	}
	for name, say := range leave {
		tracker := NewTracker(time.Second)
		say(tracker)
		t.Log(name)
		check.Equal(tracker.View(0).Start.Instance, "a")
		check.Equal(tracker.View(0).State, protocol.EndpointDraining)
		tracker.Reported(0, Report{Instance: "a", Sequence: 9, Slots: 6}) // it denies that
		tracker.Probed(0, Probe{Instance: "a", Healthy: true})
		check.Equal(tracker.View(0).State, protocol.EndpointDraining)
		tracker.Reported(0, Report{Instance: "b", Sequence: 1, Slots: 6}) // its successor
		tracker.Probed(0, Probe{Instance: "b", Healthy: true})
		check.Equal(tracker.View(0).State, protocol.EndpointReady)
	}
}

// Two reports may cross, and both are acknowledged: an instance that is leaving stays so.
func TestADrainThatALaterReportOvertookCounts(t *testing.T) {
	check := is.New(t)
	tracker := started(t)
	tracker.Reported(0, Report{Instance: "a", Sequence: 5, Slots: 6})
	tracker.Reported(0, Report{Instance: "a", Sequence: 4, Slots: 2, Draining: true})
	check.Equal(tracker.View(0), View{Start: protocol.BackendStart{Instance: "a"}, Slots: 6, State: protocol.EndpointDraining})
}
