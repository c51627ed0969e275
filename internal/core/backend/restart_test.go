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

// answers has the back end answer a probe under its name.
func answers(tracker *Tracker, now time.Duration) {
	tracker.HandleProbe(now, ProbeResult{Instance: "a", Healthy: true})
}

// runningSince returns a tracker of a back end that runs since a time.
func runningSince(t *testing.T, born int64) *Tracker {
	t.Helper()
	tracker := NewTracker(interval)
	is.New(t).True(tracker.HandleReport(0, reportOf(born, 7)))
	answers(tracker, 0)
	is.New(t).Equal(tracker.View(0), View{Start: startOf(born), Slots: 6, State: protocol.EndpointReady})
	return tracker
}

func TestANewerStartReplacesTheOlderOne(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 100)
	check.True(tracker.HandleReport(interval, reportOf(200, 1))) // its counts begin anew
	check.Equal(tracker.View(interval).Start, startOf(200))
	check.Equal(tracker.View(interval).State, protocol.EndpointDown) // nothing before it has answered
	answers(tracker, interval)
	check.Equal(tracker.View(interval).State, protocol.EndpointReady)
	check.True(!tracker.HandleReport(interval, reportOf(200, 2)))
}

func TestANewerStartEndsTheDrainOfTheOlderOne(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 100)
	tracker.HandleLeave(startOf(100), 0)
	check.True(tracker.HandleReport(interval, reportOf(200, 1)))
	answers(tracker, interval)
	check.Equal(tracker.View(interval).State, protocol.EndpointReady)
	tracker.HandleLeave(startOf(100), 0) // told twice, late
	check.Equal(tracker.View(interval).State, protocol.EndpointReady)
}

func TestANewerStartEndsTheEjectionOfTheOlderOne(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 100)
	for range failureCalls {
		tracker.RecordFailure(0, startOf(100), 0)
	}
	check.Equal(tracker.View(0).State, protocol.EndpointDegraded)
	tracker.HandleReport(0, reportOf(200, 1))
	answers(tracker, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
	for range failureCalls {
		check.True(!tracker.RecordFailure(0, startOf(100), 0)) // calls lost with the older one
	}
	tracker.MarkUnreachable(startOf(100))
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
}

func TestANewerStartHasItsOwnWarmUp(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 100)
	cold := reportOf(100, 8)
	cold.WarmUp = time.Minute
	tracker.HandleReport(0, cold)
	check.Equal(tracker.View(0).State, protocol.EndpointWarming)
	tracker.HandleReport(0, reportOf(200, 1))
	answers(tracker, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
}

func TestAnOlderStartsReportsCountForNothing(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 200)
	check.True(!tracker.HandleReport(0, reportOf(100, 99)))
	drained := reportOf(100, 100)
	drained.Draining = true
	check.True(!tracker.HandleReport(0, drained))
	tracker.HandleLeave(startOf(100), 0)
	check.Equal(tracker.View(0), View{Start: startOf(200), Slots: 6, State: protocol.EndpointReady})
	check.True(!tracker.HasCandidates())
}

func TestANewerStartThatDrainsGetsNothingAtOnce(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 100)
	drained := reportOf(200, 1)
	drained.Draining = true
	check.True(!tracker.HandleReport(0, drained))
	check.Equal(tracker.View(0), View{Start: startOf(200), Slots: 6, State: protocol.EndpointDraining})
	check.True(!tracker.HandleReport(0, reportOf(200, 2))) // it denies that
	answers(tracker, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
}

// A leave call need not say when the start began: it is that of the newest one heard of.
func TestALeaveWithoutATimeBindsTheNewestStart(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 100)
	tracker.HandleLeave(startOf(0), 5000)
	check.Equal(tracker.View(0), View{Start: startOf(100), Slots: 6, State: protocol.EndpointDraining})
	check.True(!tracker.HandleReport(0, reportOf(100, 9)))
	check.True(tracker.HandleReport(0, reportOf(200, 1)))
}

// A daemon that knows nothing yet can't tell which start leaves: whichever had begun by then.
func TestALeaveWithoutATimeOfAnUnknownStartBindsAllBefore(t *testing.T) {
	check := is.New(t)
	tracker := NewTracker(interval)
	tracker.HandleLeave(startOf(0), 5000)
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	for beat := range uint64(4 * persistentBeats) { // it denies that, for long
		now := time.Duration(beat) * interval
		check.True(!tracker.HandleReport(now, reportOf(4000, beat)))
		answers(tracker, now)
		check.Equal(tracker.View(now).State, protocol.EndpointDraining)
	}
	check.True(tracker.HandleReport(0, reportOf(6000, 1)))
	answers(tracker, 0)
	check.Equal(tracker.View(0).State, protocol.EndpointReady)
}

func TestWhatPeersRememberOfAStartDoesNotBindANewerOne(t *testing.T) {
	check := is.New(t)
	tracker := NewTracker(interval)
	tracker.RestoreLeave(startOf(100))
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
	check.True(!tracker.HandleReport(0, reportOf(100, 9)))
	check.True(!tracker.HandleReport(0, reportOf(50, 9)))
	check.True(tracker.HandleReport(0, reportOf(200, 1)))
	answers(tracker, 0)
	tracker.RestoreLeave(startOf(100)) // told late
	check.Equal(tracker.View(0), View{Start: startOf(200), Slots: 6, State: protocol.EndpointReady})
}

// The clock by which starts tell their time may be set back, or another writer may have told
// a time that never comes: the start that lives is taken in the end.
func TestAnAbsurdTimeLocksNobodyOut(t *testing.T) {
	for _, absurd := range []int64{300, 1 << 62} {
		check := is.New(t)
		tracker := runningSince(t, absurd)
		taken := 0
		for beat := 1; beat <= 2*persistentBeats && taken == 0; beat++ {
			now := time.Duration(beat) * interval
			if tracker.HandleReport(now, reportOf(200, uint64(beat))) {
				answers(tracker, now)
				taken = beat
			}
		}
		check.Equal(taken, persistentBeats+1)
		check.Equal(tracker.View((persistentBeats+1)*interval).Start, startOf(200))
		check.True(tracker.HandleReport(0, reportOf(201, 1))) // the next one as ever
	}
}

// Reports that were held up come together, however many they are.
func TestABurstOfOldReportsIsNoLife(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 200)
	for beat := range uint64(4 * persistentBeats) {
		check.True(!tracker.HandleReport(time.Minute, reportOf(100, beat)))
	}
}

// While the newer start reports, an older one is never taken.
func TestAnOlderStartWaitsForTheSilenceOfTheNewerOne(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 200)
	for beat := 1; beat <= 4*persistentBeats; beat++ {
		now := time.Duration(beat) * interval
		tracker.HandleReport(now, reportOf(200, uint64(beat+7)))
		check.True(!tracker.HandleReport(now, reportOf(100, uint64(beat))))
	}
}

// An instance that does not tell when it started is told apart by its name alone.
func TestAnInstanceWithoutATimeNeverComesBack(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 0)
	tracker.HandleLeave(startOf(0), 5000)
	check.True(!tracker.HandleReport(0, reportOf(0, 99)))
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
}

// What an unconfirmed start has had acknowledged binds although a later report denies it.
func TestACandidateThatDrainsIsTakenAsDraining(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 100)
	tracker.HandleReport(0, Report{Instance: "b", Born: 1, Sequence: 1, Draining: true})
	tracker.HandleReport(0, Report{Instance: "b", Born: 1, Sequence: 2})
	tracker.HandleProbe(0, ProbeResult{Instance: "b", Healthy: true})
	check.Equal(tracker.View(0).State, protocol.EndpointDraining)
}

// A start that is taken after all, since a clock was wrong, is the one that the probe confirms.
func TestAPersistentStartReplacesAnUnconfirmedAbsurdOne(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 100)
	tracker.HandleReport(0, reportOf(1<<62, 1)) // its health was bad then
	for beat := 1; beat <= persistentBeats+1; beat++ {
		now := time.Duration(beat) * interval
		if tracker.HandleReport(now, reportOf(200, uint64(beat))) {
			answers(tracker, now)
		}
	}
	check.Equal(tracker.View((persistentBeats+1)*interval), View{
		Start: startOf(200), Slots: 6, State: protocol.EndpointReady, EarlierCrashed: true,
	})
}

// A drain that an unconfirmed start has had acknowledged binds also after a newer start left.
func TestALeaveForgetsNoDrainOfAnOlderCandidate(t *testing.T) {
	check := is.New(t)
	tracker := NewTracker(interval)
	tracker.HandleReport(0, Report{Instance: "b", Born: 1, Sequence: 1})
	tracker.HandleProbe(0, ProbeResult{Instance: "b", Healthy: true})
	drained := reportOf(100, 1)
	drained.Draining = true
	tracker.HandleReport(0, drained)
	tracker.HandleLeave(startOf(200), 0)
	for beat := 1; beat <= 2*persistentBeats; beat++ {
		now := time.Duration(beat) * interval
		check.True(!tracker.HandleReport(now, reportOf(100, uint64(beat+1))))
	}
}

// A start that seems older than the one in force but alone reports may be the one that runs:
// once its drain is acknowledged nothing is sent there under the name of the other one.
func TestADrainOfAPersistentOlderStartEndsCalls(t *testing.T) {
	drained := reportOf(200, 9)
	drained.Draining = true
	for name, say := range map[string]func(*Tracker){
		"leave":              func(tracker *Tracker) { tracker.HandleLeave(startOf(200), 0) },
		"draining heartbeat": func(tracker *Tracker) { tracker.HandleReport(3*interval, drained) },
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			tracker := runningSince(t, 300)
			for beat := 1; beat <= 2; beat++ {
				tracker.HandleReport(time.Duration(beat)*interval, reportOf(200, uint64(beat)))
			}
			say(tracker)
			tracker.RecordAnswer(3 * interval)
			check.True(!tracker.View(3 * interval).State.AcceptsCalls())
			tracker.HandleReport(3*interval, reportOf(300, 8)) // it was late only, and runs
			check.Equal(tracker.View(3*interval).State, protocol.EndpointReady)
		})
	}
}

// A living start that is taken in spite of an absurd time is probed with each report, as any
// other one.
func TestAPersistentStartIsProbedUntilItAnswers(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 100)
	tracker.HandleLeave(startOf(1<<62), 0) // another writer's word
	probes := 0
	for beat := 1; beat <= persistentBeats+3; beat++ {
		if tracker.HandleReport(time.Duration(beat)*interval, reportOf(200, uint64(beat))) {
			probes++ // its health is bad
		}
	}
	check.Equal(probes, 3)
}

// A peer's memory of a drain, or a leave without a time, may tell a time by a clock that was
// set back since: the next start is late, but not locked out.
func TestAClockSetBackAfterALeaveLocksNobodyOut(t *testing.T) {
	for name, leave := range map[string]func(*Tracker){
		"remembered": func(tracker *Tracker) { tracker.RestoreLeave(startOf(5000)) },
		"left":       func(tracker *Tracker) { tracker.HandleLeave(startOf(0), 5000) },
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			tracker := NewTracker(interval)
			leave(tracker)
			now := time.Duration(0)
			for beat := range uint64(leavingBeats + 1) {
				check.True(!tracker.View(now).State.AcceptsCalls())
				now += interval
				if tracker.HandleReport(now, reportOf(200, beat+1)) {
					answers(tracker, now)
				}
			}
			check.Equal(tracker.View(now).Start, startOf(200))
			check.Equal(tracker.View(now).State, protocol.EndpointReady)
			check.True(!tracker.HandleReport(now, reportOf(5000, 1))) // the one that left stays away
		})
	}
}

// A drain that was acknowledged binds although a report with a higher sequence came before it.
func TestADrainThatComesLateBinds(t *testing.T) {
	for name, before := range map[string]func(*Tracker){
		"running":     func(tracker *Tracker) { answers(tracker, 0) },
		"unconfirmed": func(*Tracker) {},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			tracker := NewTracker(interval)
			tracker.HandleReport(0, Report{Instance: "b", Born: 1, Sequence: 1})
			tracker.HandleProbe(0, ProbeResult{Instance: "b", Healthy: true})
			tracker.HandleReport(0, reportOf(200, 9))
			before(tracker)
			drained := reportOf(200, 8)
			drained.Draining = true
			tracker.HandleReport(0, drained)
			answers(tracker, 0)
			check.Equal(tracker.View(0).Start, startOf(200))
			check.Equal(tracker.View(0).State, protocol.EndpointDraining)
		})
	}
}

// A start that seems older than the one in force but alone reports may be the one that runs: the back
// end counts as cold once it tells that it has become so, until the running one reports or answers.
func TestAPersistentOlderStartThatBecomesColdIsHeard(t *testing.T) {
	check := is.New(t)
	tracker := runningSince(t, 300)
	cold := reportOf(200, 3)
	cold.WarmUp = time.Second
	tracker.HandleReport(interval, cold) // a single one may have been held up
	check.Equal(tracker.View(interval).ColdUntil, time.Duration(0))
	cold.Sequence++
	tracker.HandleReport(2*interval, cold)
	check.Equal(tracker.View(2*interval).ColdUntil, 2*interval+time.Second)
	check.True(tracker.NeedsWarmthProbe(2 * interval)) // so it is probed
	tracker.HandleProbe(2*interval, ProbeResult{Instance: "a", Healthy: true, TellsWarmUp: true})
	check.Equal(tracker.View(2*interval).ColdUntil, time.Duration(0))
}
