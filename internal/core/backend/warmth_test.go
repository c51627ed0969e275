package backend

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

// coldUntil returns the time until which the running instance is cold, as seen at the given time.
func coldUntil(t *Tracker, now time.Duration) time.Duration { return t.View(now).ColdUntil }

func TestAWarmInstanceMayReportThatItIsColdAgain(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	check.Equal(coldUntil(tracker, 0), time.Duration(0))
	tracker.HandleReport(interval, Report{Instance: "a", Sequence: 4, Slots: 6, WarmUp: 3 * interval})
	check.Equal(coldUntil(tracker, interval), 4*interval)
	check.Equal(tracker.View(interval).State, protocol.EndpointWarming)
	check.Equal(coldUntil(tracker, 4*interval), time.Duration(0))
}

func TestAProbeMayReportThatTheInstanceIsCold(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	tracker.HandleProbeResult(0, ProbeResult{Instance: "a", Healthy: true, TellsWarmUp: true, WarmUp: 2 * interval})
	check.Equal(coldUntil(tracker, 0), 2*interval)
}

func TestTheLongestReportedWarmUpApplies(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	tracker.HandleReport(0, Report{Instance: "a", Sequence: 4, Slots: 6, WarmUp: 3 * interval})
	tracker.HandleProbeResult(0, ProbeResult{Instance: "a", Healthy: true, TellsWarmUp: true})
	check.Equal(coldUntil(tracker, 0), 3*interval)
	tracker.HandleProbeResult(0, ProbeResult{Instance: "a", TellsWarmUp: true, WarmUp: 5 * interval})
	check.Equal(coldUntil(tracker, 0), 5*interval)
}

func TestAFailedProbeDoesNotChangeTheWarmUp(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	tracker.AssumeCold(0, 3*interval)
	tracker.HandleProbeResult(0, ProbeResult{})
	tracker.HandleProbeResult(0, ProbeResult{Instance: "a", Healthy: true})
	tracker.HandleProbeResult(0, ProbeResult{Instance: "b", Healthy: true, TellsWarmUp: true})
	check.Equal(coldUntil(tracker, 0), 3*interval)
	check.True(tracker.IsAssumedCold(0))
}

func TestAnAnsweredProbeEndsAnAssumption(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	tracker.AssumeCold(0, 3*interval)
	tracker.HandleProbeResult(0, ProbeResult{Instance: "a", Healthy: true, TellsWarmUp: true})
	check.Equal(coldUntil(tracker, 0), time.Duration(0))
	check.True(!tracker.IsAssumedCold(0))
}

func TestAHeartbeatDoesNotEndAnAssumption(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	tracker.AssumeCold(0, 3*interval)
	tracker.HandleReport(0, Report{Instance: "a", Sequence: 4, Slots: 6}) // it may have been delayed
	check.Equal(coldUntil(tracker, 0), 3*interval)
}

func TestAnotherInstanceHasItsOwnWarmUp(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	tracker.HandleReport(0, Report{Instance: "a", Sequence: 4, Slots: 6, WarmUp: 9 * interval})
	tracker.HandleReport(0, Report{Instance: "b", Sequence: 1, Slots: 6, WarmUp: interval})
	tracker.HandleProbeResult(0, ProbeResult{Instance: "b", Healthy: true, TellsWarmUp: true, WarmUp: 2 * interval})
	check.Equal(coldUntil(tracker, 0), 2*interval)
}

func TestAnImplausibleWarmUpIsBounded(t *testing.T) {
	check := is.New(t)
	tracker := newReadyTracker(t)
	tracker.HandleReport(0, Report{Instance: "a", Sequence: 4, Slots: 6, WarmUp: -interval})
	check.Equal(coldUntil(tracker, 0), time.Duration(0))
	tracker.HandleReport(interval, Report{Instance: "a", Sequence: 5, Slots: 6, WarmUp: math.MaxInt64})
	check.Equal(coldUntil(tracker, interval), interval+maxColdTime)
	tracker.HandleReport(interval, Report{Instance: "a", Sequence: 6, Slots: 6})
	check.Equal(coldUntil(tracker, interval), time.Duration(0))
}
