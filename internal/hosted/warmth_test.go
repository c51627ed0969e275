package hosted

import (
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/proxy"
)

// side is a back end's side that calls nobody, with what it has told.
type testBackendSide struct {
	*backendMonitor
	now           time.Duration
	evacuated     bool
	announcements int
	coldTimes     []time.Duration
	// order is what the gate was told, in order.
	gateCalls []string
}

// newSide is a side whose back end runs and is warm at the time 0.
func newTestBackendSide() *testBackendSide {
	made := &testBackendSide{}
	clock := func() time.Duration { return made.now }
	made.backendMonitor = &backendMonitor{
		config: backendMonitorConfig{hasJoinedMesh: func() bool { return false }, isZoneEvacuated: func() bool { return made.evacuated }, warmUpTime: func() time.Duration { return 3 * time.Second }},
		events: newEventLog(logging.NewTo(io.Discard, log.InfoLevel), "n", clock),
		clock:  clock,
		reportToGate: func(report proxy.BackendReport) {
			made.gateCalls = append(made.gateCalls, "state of "+report.Start.Instance)
		},
		setColdUntil: func(until time.Duration) {
			made.coldTimes = append(made.coldTimes, until)
			made.gateCalls = append(made.gateCalls, "cold until "+until.String())
		},
		announceToMesh: func(backend.View) { made.announcements++ },
		tracker:        backend.NewTracker(time.Second),
		probing:        true, // no loop runs
	}
	made.Heartbeat(backend.Report{Instance: "i", Sequence: 1, Slots: 6})
	made.handleProbe(made.now, backend.ProbeResult{Instance: "i", Healthy: true})
	return made
}

func TestGateReceivesWarmthBeforeBackendState(t *testing.T) {
	check := is.New(t)
	made := newTestBackendSide()
	check.Equal(made.gateCalls, []string{"cold until 0s", "state of i"})
}

func TestBackendIsAssumedColdWhenEvacuationEnds(t *testing.T) {
	check := is.New(t)
	made := newTestBackendSide()
	made.config.onEvacuationEnd = made.assumeColdLocked
	made.evacuated = true
	made.publishView()
	made.evacuated = false
	made.gateCalls = nil
	made.publishView()
	check.Equal(made.gateCalls, []string{"cold until 3s", "state of i"})
	check.Equal(made.publishedView.State, protocol.EndpointWarming)
	made.handleProbe(made.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.Equal(made.publishedView.State, protocol.EndpointReady)
}

func TestGateReceivesWarmthOfNewInstanceBeforeItsState(t *testing.T) {
	check := is.New(t)
	made := newTestBackendSide()
	made.gateCalls = nil
	made.Heartbeat(backend.Report{Instance: "j", Sequence: 1, Slots: 6, WarmUp: time.Second})
	made.handleProbe(made.now, backend.ProbeResult{Instance: "j", Healthy: true})
	check.Equal(made.gateCalls, []string{"cold until 1s", "state of j"})
}

func TestMeshIsNotifiedOnlyOfStateChanges(t *testing.T) {
	check := is.New(t)
	made := newTestBackendSide()
	before := made.announcements
	for beat := range 3 {
		made.now = time.Duration(beat) * time.Second
		left := 3*time.Second - made.now + time.Duration(beat)*time.Millisecond // not on the clock of this daemon
		made.Heartbeat(backend.Report{Instance: "i", Sequence: uint64(2 + beat), Slots: 6, WarmUp: left})
	}
	check.Equal(made.announcements, before+1)
	check.Equal(made.coldTimes[len(made.coldTimes)-1], 3*time.Second+2*time.Millisecond)
}

func TestAssumedColdBackendIsColdUntilProbeFindsItWarm(t *testing.T) {
	check := is.New(t)
	made := newTestBackendSide()
	made.now = time.Second
	made.assumeCold()
	check.Equal(made.coldTimes[len(made.coldTimes)-1], 4*time.Second)
	made.now = 2 * time.Second
	made.handleProbe(made.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.Equal(made.coldTimes[len(made.coldTimes)-1], time.Duration(0))
}

func TestProbeSentBeforeColdAssumptionDoesNotEndIt(t *testing.T) {
	check := is.New(t)
	made := newTestBackendSide()
	made.now = time.Second
	made.assumeCold()
	done := made.handleProbe(made.now-1, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.True(!done)
	check.Equal(made.coldTimes[len(made.coldTimes)-1], 4*time.Second)
}

// answers has the back end answer its health path, and counts how often it was asked.
func (s *testBackendSide) startProbing(probe backend.ProbeResult) (asked *int) {
	asked = new(int)
	s.probing = false
	s.config.hasJoinedMesh = func() bool { return true }
	s.config.healthPath = func() string { return "/health" }
	s.config.prober = func(string, string, time.Duration) backend.ProbeResult {
		*asked++
		return probe
	}
	return asked
}

func TestAssumedColdBackendIsProbedOnNextHeartbeat(t *testing.T) {
	check := is.New(t)
	made := newTestBackendSide()
	made.now = time.Second
	made.assumeCold() // nobody answers
	made.startProbing(backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	made.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6})
	made.running.Wait()
	check.Equal(made.coldTimes[len(made.coldTimes)-1], time.Duration(0))
}

func TestBackendIsProbedWhenHeartbeatContradictsLastProbe(t *testing.T) {
	check := is.New(t)
	made := newTestBackendSide()
	made.handleProbe(made.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true, WarmUp: time.Hour})
	made.startProbing(backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	made.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6})
	made.running.Wait()
	check.Equal(made.coldTimes[len(made.coldTimes)-1], time.Duration(0))
}

func TestBackendIsNotProbedWhenHeartbeatReportsItCold(t *testing.T) {
	check := is.New(t)
	made := newTestBackendSide()
	made.handleProbe(made.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true, WarmUp: time.Second})
	asked := made.startProbing(backend.ProbeResult{})
	made.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6, WarmUp: time.Second / 2})
	made.running.Wait()
	check.Equal(*asked, 0)
}
