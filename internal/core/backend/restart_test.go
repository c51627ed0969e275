package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

func startOf(born int64) protocol.BackendStart {
	return protocol.BackendStart{Instance: "a", Born: born}
}

func reportOf(born int64, sequence uint64) Report {
	return Report{Instance: "a", Born: born, Sequence: sequence, Slots: 6}
}

// answerProbe passes a healthy answer of the instance to the tracker.
func answerProbe(tracker *Tracker, now time.Duration) {
	tracker.HandleProbeResult(now, ProbeResult{Instance: "a", Healthy: true})
}

// newTrackerRunning returns a tracker whose running start began at the given time.
func newTrackerRunning(t *testing.T, born int64) *Tracker {
	t.Helper()
	tracker := NewTracker(interval)
	is.New(t).True(tracker.HandleReport(0, reportOf(born, 7)))
	answerProbe(tracker, 0)
	is.New(t).Equal(tracker.View(0), View{Start: startOf(born), Slots: 6, State: protocol.EndpointReady})
	return tracker
}

func TestANewerStartReplacesTheOlderOne(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	check.True(tracker.HandleReport(interval, reportOf(200, 1))) // the sequence restarts
	check.Equal(tracker.View(interval).Start, startOf(200))
	check.Equal(tracker.View(interval).State, protocol.EndpointDown) // a new start receives no calls before it has answered a probe
	answerProbe(tracker, interval)
	check.Equal(tracker.View(interval).State, protocol.EndpointReady)
	check.True(!tracker.HandleReport(interval, reportOf(200, 2)))
}

func TestANewerStartEndsTheDrainOfTheOlderOne(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	tracker.HandleLeave(startOf(100), 0)
	check.True(tracker.HandleReport(interval, reportOf(200, 1)))
	answerProbe(tracker, interval)
	check.Equal(tracker.View(interval).State, protocol.EndpointReady)
	tracker.HandleLeave(startOf(100), 0) // a repeated leave of the older start
	check.Equal(tracker.View(interval).State, protocol.EndpointReady)
}

func TestANewerStartEndsTheEjectionOfTheOlderOne(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	for range minCalls {
		tracker.RecordFailure(0, startOf(100), 0)
	}
	check.Equal(tracker.View(0).State, protocol.EndpointDegraded)
	tracker.HandleReport(0, reportOf(200, 1))
	answerProbe(tracker, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
	for range minCalls {
		check.True(!tracker.RecordFailure(0, startOf(100), 0)) // failed calls of the older start
	}
	tracker.MarkUnreachable(startOf(100))
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
}

func TestANewerStartHasItsOwnWarmUp(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	coldReport := reportOf(100, 8)
	coldReport.WarmUp = time.Minute
	tracker.HandleReport(0, coldReport)
	check.Equal(tracker.View(0).State, protocol.EndpointWarming)
	tracker.HandleReport(0, reportOf(200, 1))
	answerProbe(tracker, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
}

func TestReportsOfAnOlderStartAreIgnored(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 200)
	check.True(!tracker.HandleReport(0, reportOf(100, 99)))
	draining := reportOf(100, 100)
	draining.Draining = true
	check.True(!tracker.HandleReport(0, draining))
	tracker.HandleLeave(startOf(100), 0)
	check.Equal(tracker.View(0), View{Start: startOf(200), Slots: 6, State: protocol.EndpointReady})
	check.True(!tracker.HasCandidates())
}

func TestANewerStartThatDrainsReceivesNoCalls(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	draining := reportOf(200, 1)
	draining.Draining = true
	check.True(!tracker.HandleReport(0, draining))
	check.Equal(tracker.View(0), View{Start: startOf(200), Slots: 6, State: protocol.EndpointDraining})
	check.True(!tracker.HandleReport(0, reportOf(200, 2))) // contradicts the drain
	answerProbe(tracker, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
}

// A leave without a start time applies to the newest known start.
func TestALeaveWithoutAStartTimeAppliesToTheNewestStart(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	tracker.HandleLeave(startOf(0), 5000)
	check.Equal(tracker.View(0), View{Start: startOf(100), Slots: 6, State: protocol.EndpointDraining})
	check.True(!tracker.HandleReport(0, reportOf(100, 9)))
	check.True(tracker.HandleReport(0, reportOf(200, 1)))
}

// A daemon that knows no start of the instance applies a leave without a start time to all
// starts that began before the leave was sent.
func TestALeaveOfAnUnknownStartAppliesToAllEarlierOnes(t *testing.T) {
	check := is.New(t)
	tracker := NewTracker(interval)
	tracker.HandleLeave(startOf(0), 5000)
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	for beat := range uint64(4 * olderStartHeartbeats) { // contradicts the leave repeatedly
		now := time.Duration(beat) * interval
		check.True(!tracker.HandleReport(now, reportOf(4000, beat)))
		answerProbe(tracker, now)
		check.Equal(tracker.View(now).State, protocol.EndpointDraining)
	}
	check.True(tracker.HandleReport(0, reportOf(6000, 1)))
	answerProbe(tracker, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
}

func TestARestoredLeaveDoesNotApplyToANewerStart(t *testing.T) {
	check := is.New(t)
	tracker := NewTracker(interval)
	tracker.RestoreLeave(startOf(100))
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	check.True(!tracker.HandleReport(0, reportOf(100, 9)))
	check.True(!tracker.HandleReport(0, reportOf(50, 9)))
	check.True(tracker.HandleReport(0, reportOf(200, 1)))
	answerProbe(tracker, 0)
	tracker.RestoreLeave(startOf(100)) // arrives late
	check.Equal(tracker.View(0), View{Start: startOf(200), Slots: 6, State: protocol.EndpointReady})
}

// The clock that provides the start times may be set back, or another sender may have reported an
// implausible time. The start that runs is accepted eventually.
func TestAnImplausibleStartTimeDoesNotLockOutTheRunningStart(t *testing.T) {
	for _, implausible := range []int64{300, 1 << 62} {
		check := is.New(t)
		tracker := newTrackerRunning(t, implausible)
		acceptedAtBeat := 0
		for beat := 1; beat <= 2*olderStartHeartbeats && acceptedAtBeat == 0; beat++ {
			now := time.Duration(beat) * interval
			if tracker.HandleReport(now, reportOf(200, uint64(beat))) {
				answerProbe(tracker, now)
				acceptedAtBeat = beat
			}
		}
		check.Equal(acceptedAtBeat, olderStartHeartbeats+1)
		check.Equal(tracker.View((olderStartHeartbeats+1)*interval).Start, startOf(200))
		check.True(tracker.HandleReport(0, reportOf(201, 1))) // the next start is accepted as usual
	}
}

// Delayed reports that arrive together do not show that the start runs, however many they are.
func TestABurstOfDelayedReportsDoesNotReplaceTheRunningStart(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 200)
	for beat := range uint64(4 * olderStartHeartbeats) {
		check.True(!tracker.HandleReport(time.Minute, reportOf(100, beat)))
	}
}

// While the newer start reports, an older one never replaces it.
func TestAnOlderStartDoesNotReplaceANewerOneThatReports(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 200)
	for beat := 1; beat <= 4*olderStartHeartbeats; beat++ {
		now := time.Duration(beat) * interval
		tracker.HandleReport(now, reportOf(200, uint64(beat+7)))
		check.True(!tracker.HandleReport(now, reportOf(100, uint64(beat))))
	}
}

// An instance that reports no start time is identified by its name alone.
func TestAnInstanceWithoutAStartTimeNeverReturns(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 0)
	tracker.HandleLeave(startOf(0), 5000)
	check.True(!tracker.HandleReport(0, reportOf(0, 99)))
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
}

// The acknowledged drain of an unconfirmed start remains binding although a later report
// contradicts it.
func TestADrainOfACandidateIsBinding(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	tracker.HandleReport(0, Report{Instance: "b", Born: 1, Sequence: 1, Draining: true})
	tracker.HandleReport(0, Report{Instance: "b", Born: 1, Sequence: 2})
	tracker.HandleProbeResult(0, ProbeResult{Instance: "b", Healthy: true})
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
}

// If a start that appears to be older is accepted because a clock was wrong, it replaces the
// unconfirmed newer one as the candidate for the probe.
func TestAnOlderStartThatKeepsReportingReplacesAnUnconfirmedOne(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	tracker.HandleReport(0, reportOf(1<<62, 1)) // its probe failed
	for beat := 1; beat <= olderStartHeartbeats+1; beat++ {
		now := time.Duration(beat) * interval
		if tracker.HandleReport(now, reportOf(200, uint64(beat))) {
			answerProbe(tracker, now)
		}
	}
	check.Equal(tracker.View((olderStartHeartbeats+1)*interval), View{
		Start: startOf(200), Slots: 6, State: protocol.EndpointReady, EarlierCrashed: true,
	})
}

// The acknowledged drain of an unconfirmed start remains binding after a newer start has left.
func TestALeaveKeepsTheDrainOfAnOlderCandidate(t *testing.T) {
	check := is.New(t)
	tracker := NewTracker(interval)
	tracker.HandleReport(0, Report{Instance: "b", Born: 1, Sequence: 1})
	tracker.HandleProbeResult(0, ProbeResult{Instance: "b", Healthy: true})
	draining := reportOf(100, 1)
	draining.Draining = true
	tracker.HandleReport(0, draining)
	tracker.HandleLeave(startOf(200), 0)
	for beat := 1; beat <= 2*olderStartHeartbeats; beat++ {
		now := time.Duration(beat) * interval
		check.True(!tracker.HandleReport(now, reportOf(100, uint64(beat+1))))
	}
}

// If only a start that appears to be older than the tracker's running start reports, calls may
// reach the older one. Once its drain is acknowledged, the back end therefore receives no more
// calls.
func TestADrainOfAnOlderStartThatKeepsReportingStopsCalls(t *testing.T) {
	draining := reportOf(200, 9)
	draining.Draining = true
	for name, announce := range map[string]func(*Tracker){
		"leave":              func(tracker *Tracker) { tracker.HandleLeave(startOf(200), 0) },
		"draining heartbeat": func(tracker *Tracker) { tracker.HandleReport(3*interval, draining) },
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			tracker := newTrackerRunning(t, 300)
			for beat := 1; beat <= 2; beat++ {
				tracker.HandleReport(time.Duration(beat)*interval, reportOf(200, uint64(beat)))
			}
			announce(tracker)
			tracker.RecordAnswer(3 * interval)
			check.True(!tracker.View(3 * interval).State.AcceptsCalls())
			tracker.HandleReport(3*interval, reportOf(300, 8)) // the tracked start was only late, and runs
			check.Equal(tracker.View(3*interval).State, protocol.EndpointReady)
		})
	}
}

// A start that has reported for long enough, although a leave with an implausible start time makes
// it appear older, is probed after each report, like any other start.
func TestAStartAcceptedAfterALeaveIsProbedAtEachReport(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 100)
	tracker.HandleLeave(startOf(1<<62), 0) // sent by another process
	probes := 0
	for beat := 1; beat <= olderStartHeartbeats+3; beat++ {
		if tracker.HandleReport(time.Duration(beat)*interval, reportOf(200, uint64(beat))) {
			probes++ // its probe fails
		}
	}
	check.Equal(probes, 3)
}

// A leave restored by a peer, or one without a start time, may have a time from a clock that has
// been set back since. The next start is accepted late, but it is accepted.
func TestAClockSetBackAfterALeaveDoesNotLockOutTheNextStart(t *testing.T) {
	for name, leave := range map[string]func(*Tracker){
		"remembered": func(tracker *Tracker) { tracker.RestoreLeave(startOf(5000)) },
		"left":       func(tracker *Tracker) { tracker.HandleLeave(startOf(0), 5000) },
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			tracker := NewTracker(interval)
			leave(tracker)
			now := time.Duration(0)
			for beat := range uint64(olderStartHeartbeatsAfterLeave + 1) {
				check.True(!tracker.View(now).State.AcceptsCalls())
				now += interval
				if tracker.HandleReport(now, reportOf(200, beat+1)) {
					answerProbe(tracker, now)
				}
			}
			check.Equal(tracker.View(now).Start, startOf(200))
			check.Equal(tracker.View(now).State, protocol.EndpointReady)
			check.True(!tracker.HandleReport(now, reportOf(5000, 1))) // the start that left stays ended
		})
	}
}

// An acknowledged drain is binding although a report with a higher sequence arrived before it.
func TestALateDrainIsBinding(t *testing.T) {
	for name, confirm := range map[string]func(*Tracker){
		"running":     func(tracker *Tracker) { answerProbe(tracker, 0) },
		"unconfirmed": func(*Tracker) {},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			tracker := NewTracker(interval)
			tracker.HandleReport(0, Report{Instance: "b", Born: 1, Sequence: 1})
			tracker.HandleProbeResult(0, ProbeResult{Instance: "b", Healthy: true})
			tracker.HandleReport(0, reportOf(200, 9))
			confirm(tracker)
			draining := reportOf(200, 8)
			draining.Draining = true
			tracker.HandleReport(0, draining)
			answerProbe(tracker, 0)
			check.Equal(tracker.View(0).Start, startOf(200))
			check.Equal(tracker.View(0).State, protocol.EndpointDraining)
		})
	}
}

// If only a start that appears to be older than the tracker's running start reports, calls may
// reach the older one. When the older one reports that it is cold, the back end counts as cold until it
// answers a probe.
func TestAnOlderStartThatKeepsReportingMayReportThatItIsCold(t *testing.T) {
	check := is.New(t)
	tracker := newTrackerRunning(t, 300)
	coldReport := reportOf(200, 3)
	coldReport.WarmUp = time.Second
	tracker.HandleReport(interval, coldReport) // a single report may have been delayed
	check.Equal(tracker.View(interval).ColdUntil, time.Duration(0))
	coldReport.Sequence++
	tracker.HandleReport(2*interval, coldReport)
	check.Equal(tracker.View(2*interval).ColdUntil, 2*interval+time.Second)
	check.True(tracker.NeedsWarmthProbe(2 * interval)) // so a probe is due
	tracker.HandleProbeResult(2*interval, ProbeResult{Instance: "a", Healthy: true, TellsWarmUp: true})
	check.Equal(tracker.View(2*interval).ColdUntil, time.Duration(0))
}
