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

// testBackendSide is a backendSide that is not connected to a gate or mesh, with the notifications
// that it has made.
type testBackendMonitor struct {
	*backendMonitor
	now           time.Duration
	evacuated     bool
	announcements int
	coldTimes     []time.Duration
	// gateCalls holds the notifications of the gate, in order.
	gateCalls []string
}

// newTestBackendSide returns a testBackendSide with a back end that is running and warm at time 0.
func newTestBackendMonitor() *testBackendMonitor {
	side := &testBackendMonitor{}
	clock := func() time.Duration { return side.now }
	side.backendMonitor = &backendMonitor{
		config: backendMonitorConfig{hasJoinedMesh: func() bool { return false }, isZoneEvacuated: func() bool { return side.evacuated }, warmUpTime: func() time.Duration { return 3 * time.Second }},
		events: newEventLog(logging.NewTo(io.Discard, log.InfoLevel), "n", clock),
		clock:  clock,
		reportToGate: func(report proxy.BackendReport) {
			side.gateCalls = append(side.gateCalls, "state of "+report.Start.Instance)
		},
		setColdUntil: func(until time.Duration) {
			side.coldTimes = append(side.coldTimes, until)
			side.gateCalls = append(side.gateCalls, "cold until "+until.String())
		},
		announceToMesh: func(backend.View) { side.announcements++ },
		tracker:        backend.NewTracker(time.Second),
		probing:        true, // so that no probe is started
	}
	side.Heartbeat(backend.Report{Instance: "i", Sequence: 1, Slots: 6})
	side.handleProbe(side.now, backend.ProbeResult{Instance: "i", Healthy: true})
	return side
}

func TestGateReceivesWarmthBeforeBackendState(t *testing.T) {
	check := is.New(t)
	side := newTestBackendMonitor()
	check.Equal(side.gateCalls, []string{"cold until 0s", "state of i"})
}

func TestBackendIsAssumedColdWhenEvacuationEnds(t *testing.T) {
	check := is.New(t)
	side := newTestBackendMonitor()
	side.config.onEvacuationEnd = side.assumeColdLocked
	side.evacuated = true
	side.publishView()
	side.evacuated = false
	side.gateCalls = nil
	side.publishView()
	check.Equal(side.gateCalls, []string{"cold until 3s", "state of i"})
	check.Equal(side.publishedView.State, protocol.EndpointWarming)
	side.handleProbe(side.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.Equal(side.publishedView.State, protocol.EndpointReady)
}

func TestGateReceivesWarmthOfNewInstanceBeforeItsState(t *testing.T) {
	check := is.New(t)
	side := newTestBackendMonitor()
	side.gateCalls = nil
	side.Heartbeat(backend.Report{Instance: "j", Sequence: 1, Slots: 6, WarmUp: time.Second})
	side.handleProbe(side.now, backend.ProbeResult{Instance: "j", Healthy: true})
	check.Equal(side.gateCalls, []string{"cold until 1s", "state of j"})
}

func TestMeshIsNotifiedOnlyOfStateChanges(t *testing.T) {
	check := is.New(t)
	side := newTestBackendMonitor()
	before := side.announcements
	for beat := range 3 {
		side.now = time.Duration(beat) * time.Second
		warmUpLeft := 3*time.Second - side.now + time.Duration(beat)*time.Millisecond // the back end's clock differs by 1 ms per heartbeat
		side.Heartbeat(backend.Report{Instance: "i", Sequence: uint64(2 + beat), Slots: 6, WarmUp: warmUpLeft})
	}
	check.Equal(side.announcements, before+1)
	check.Equal(side.coldTimes[len(side.coldTimes)-1], 3*time.Second+2*time.Millisecond)
}

func TestAssumedColdBackendIsColdUntilProbeFindsItWarm(t *testing.T) {
	check := is.New(t)
	side := newTestBackendMonitor()
	side.now = time.Second
	side.assumeCold()
	check.Equal(side.coldTimes[len(side.coldTimes)-1], 4*time.Second)
	side.now = 2 * time.Second
	side.handleProbe(side.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.Equal(side.coldTimes[len(side.coldTimes)-1], time.Duration(0))
}

func TestProbeSentBeforeColdAssumptionDoesNotEndIt(t *testing.T) {
	check := is.New(t)
	side := newTestBackendMonitor()
	side.now = time.Second
	side.assumeCold()
	done := side.handleProbe(side.now-1, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.True(!done)
	check.Equal(side.coldTimes[len(side.coldTimes)-1], 4*time.Second)
}

// startProbing makes the back end answer probes with the given result, and returns the number of
// probes.
func (s *testBackendMonitor) answerProbes(probe backend.ProbeResult) (probeCount *int) {
	probeCount = new(int)
	s.probing = false
	s.config.hasJoinedMesh = func() bool { return true }
	s.config.healthPath = func() string { return "/health" }
	s.config.prober = func(string, string, time.Duration) backend.ProbeResult {
		*probeCount++
		return probe
	}
	return probeCount
}

func TestAssumedColdBackendIsProbedOnNextHeartbeat(t *testing.T) {
	check := is.New(t)
	side := newTestBackendMonitor()
	side.now = time.Second
	side.assumeCold() // no probe is sent
	side.answerProbes(backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	side.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6})
	side.running.Wait()
	check.Equal(side.coldTimes[len(side.coldTimes)-1], time.Duration(0))
}

func TestBackendIsProbedWhenHeartbeatContradictsLastProbe(t *testing.T) {
	check := is.New(t)
	side := newTestBackendMonitor()
	side.handleProbe(side.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true, WarmUp: time.Hour})
	side.answerProbes(backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	side.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6})
	side.running.Wait()
	check.Equal(side.coldTimes[len(side.coldTimes)-1], time.Duration(0))
}

func TestBackendIsNotProbedWhenHeartbeatReportsItCold(t *testing.T) {
	check := is.New(t)
	side := newTestBackendMonitor()
	side.handleProbe(side.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true, WarmUp: time.Second})
	probeCount := side.answerProbes(backend.ProbeResult{})
	side.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6, WarmUp: time.Second / 2})
	side.running.Wait()
	check.Equal(*probeCount, 0)
}
