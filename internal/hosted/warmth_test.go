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

// testBackendMonitor is a backendMonitor that is not connected to a gate or mesh, and records the
// notifications that it would send to them.
type testBackendMonitor struct {
	*backendMonitor
	now           time.Duration
	evacuated     bool
	announcements int
	coldTimes     []time.Duration
	// gateCalls holds the notifications sent to the gate, in order.
	gateCalls []string
}

// newTestBackendMonitor returns a testBackendMonitor with a back end that is running and warm at
// time 0.
func newTestBackendMonitor() *testBackendMonitor {
	monitor := &testBackendMonitor{}
	clock := func() time.Duration { return monitor.now }
	monitor.backendMonitor = &backendMonitor{
		config: backendMonitorConfig{knowsPeersAndOrders: func() bool { return false }, isZoneEvacuated: func() bool { return monitor.evacuated }, warmUpTime: func() time.Duration { return 3 * time.Second }},
		events: newEventLog(logging.NewTo(io.Discard, log.InfoLevel), "n", clock),
		clock:  clock,
		reportToGate: func(report proxy.BackendReport) {
			monitor.gateCalls = append(monitor.gateCalls, "state of "+report.Start.Instance)
		},
		setColdUntil: func(until time.Duration) {
			monitor.coldTimes = append(monitor.coldTimes, until)
			monitor.gateCalls = append(monitor.gateCalls, "cold until "+until.String())
		},
		announceToMesh: func(backend.View) { monitor.announcements++ },
		tracker:        backend.NewTracker(time.Second),
		probing:        true, // so that no probe is started
	}
	monitor.Heartbeat(backend.Report{Instance: "i", Sequence: 1, Slots: 6})
	monitor.handleProbe(monitor.now, backend.ProbeResult{Instance: "i", Healthy: true})
	return monitor
}

func TestGateReceivesWarmthBeforeBackendState(t *testing.T) {
	check := is.New(t)
	monitor := newTestBackendMonitor()
	check.Equal(monitor.gateCalls, []string{"cold until 0s", "state of i"})
}

func TestBackendIsAssumedColdWhenEvacuationEnds(t *testing.T) {
	check := is.New(t)
	monitor := newTestBackendMonitor()
	monitor.config.onEvacuationEnd = monitor.assumeColdLocked
	monitor.evacuated = true
	monitor.publishView()
	monitor.evacuated = false
	monitor.gateCalls = nil
	monitor.publishView()
	check.Equal(monitor.gateCalls, []string{"cold until 3s", "state of i"})
	check.Equal(monitor.publishedView.State, protocol.EndpointWarming)
	monitor.handleProbe(monitor.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.Equal(monitor.publishedView.State, protocol.EndpointReady)
}

func TestGateReceivesWarmthOfNewInstanceBeforeItsState(t *testing.T) {
	check := is.New(t)
	monitor := newTestBackendMonitor()
	monitor.gateCalls = nil
	monitor.Heartbeat(backend.Report{Instance: "j", Sequence: 1, Slots: 6, WarmUp: time.Second})
	monitor.handleProbe(monitor.now, backend.ProbeResult{Instance: "j", Healthy: true})
	check.Equal(monitor.gateCalls, []string{"cold until 1s", "state of j"})
}

func TestMeshIsNotifiedOnlyOfStateChanges(t *testing.T) {
	check := is.New(t)
	monitor := newTestBackendMonitor()
	before := monitor.announcements
	for beat := range 3 {
		monitor.now = time.Duration(beat) * time.Second
		warmUpLeft := 3*time.Second - monitor.now + time.Duration(beat)*time.Millisecond // the back end's clock differs by 1 ms per heartbeat
		monitor.Heartbeat(backend.Report{Instance: "i", Sequence: uint64(2 + beat), Slots: 6, WarmUp: warmUpLeft})
	}
	check.Equal(monitor.announcements, before+1)
	check.Equal(monitor.coldTimes[len(monitor.coldTimes)-1], 3*time.Second+2*time.Millisecond)
}

func TestAssumedColdBackendIsColdUntilProbeFindsItWarm(t *testing.T) {
	check := is.New(t)
	monitor := newTestBackendMonitor()
	monitor.now = time.Second
	monitor.assumeCold()
	check.Equal(monitor.coldTimes[len(monitor.coldTimes)-1], 4*time.Second)
	monitor.now = 2 * time.Second
	monitor.handleProbe(monitor.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.Equal(monitor.coldTimes[len(monitor.coldTimes)-1], time.Duration(0))
}

func TestProbeSentBeforeColdAssumptionDoesNotEndIt(t *testing.T) {
	check := is.New(t)
	monitor := newTestBackendMonitor()
	monitor.now = time.Second
	monitor.assumeCold()
	done := monitor.handleProbe(monitor.now-1, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.True(!done)
	check.Equal(monitor.coldTimes[len(monitor.coldTimes)-1], 4*time.Second)
}

// answerProbes makes the back end answer probes with the given result, and returns the number of
// probes.
func (s *testBackendMonitor) answerProbes(probe backend.ProbeResult) (probeCount *int) {
	probeCount = new(int)
	s.probing = false
	s.config.knowsPeersAndOrders = func() bool { return true }
	s.config.healthPath = func() string { return "/health" }
	s.config.prober = func(string, string, time.Duration) backend.ProbeResult {
		*probeCount++
		return probe
	}
	return probeCount
}

func TestAssumedColdBackendIsProbedOnNextHeartbeat(t *testing.T) {
	check := is.New(t)
	monitor := newTestBackendMonitor()
	monitor.now = time.Second
	monitor.assumeCold() // no probe is sent
	monitor.answerProbes(backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	monitor.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6})
	monitor.running.Wait()
	check.Equal(monitor.coldTimes[len(monitor.coldTimes)-1], time.Duration(0))
}

func TestBackendIsProbedWhenHeartbeatContradictsLastProbe(t *testing.T) {
	check := is.New(t)
	monitor := newTestBackendMonitor()
	monitor.handleProbe(monitor.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true, WarmUp: time.Hour})
	monitor.answerProbes(backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	monitor.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6})
	monitor.running.Wait()
	check.Equal(monitor.coldTimes[len(monitor.coldTimes)-1], time.Duration(0))
}

func TestBackendIsNotProbedWhenHeartbeatReportsItCold(t *testing.T) {
	check := is.New(t)
	monitor := newTestBackendMonitor()
	monitor.handleProbe(monitor.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true, WarmUp: time.Second})
	probeCount := monitor.answerProbes(backend.ProbeResult{})
	monitor.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6, WarmUp: time.Second / 2})
	monitor.running.Wait()
	check.Equal(*probeCount, 0)
}
