package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// hangPath is a path on which the back ends of startHangingMesh never answer the first call.
const hangPath = "/hang"

// startHangingMesh starts two back ends. Whichever gets the first call to hangPath never answers
// it, nor anything else on its connection. All other calls are answered at once.
func startHangingMesh(t *testing.T, timeout time.Duration, arrived *atomic.Int64) *mesh {
	t.Helper()
	spec := backendSpec{handler: func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == hangPath && arrived.Add(1) == 1 {
			<-request.Context().Done()
		}
	}}
	options := meshOptions{
		changeRoute: func(route *resource.Route) {
			route.Timeout = timeout
			route.RetryAttempts = 3
		},
		changeCaller: func(config *Config) { config.OnSilent = func(protocol.NodeID) {} },
	}
	hangingMesh := startMesh(t, options, spec, spec)
	for range 100 { // so that the gates have measured the usual service time
		hangingMesh.call(t, http.MethodGet, "/", "")
	}
	return hangingMesh
}

// callThroughSecondGate makes a call to hangPath while other calls are answered.
func (m *mesh) callThroughSecondGate(t *testing.T, method string) callResult {
	t.Helper()
	results := make(chan callResult, 1)
	go func() { results <- m.call(t, method, hangPath, "") }()
	for {
		select {
		case got := <-results:
			return got
		default:
			m.call(t, http.MethodGet, "/", "")
		}
	}
}

func (m *mesh) hungCalls() uint64 {
	return m.gates[0].Counters().HungCalls + m.gates[1].Counters().HungCalls
}

func TestHungRepeatableCallIsAnsweredElsewhere(t *testing.T) {
	check := is.New(t)
	var arrived atomic.Int64
	mesh := startHangingMesh(t, time.Minute, &arrived)
	check.Equal(mesh.callThroughSecondGate(t, http.MethodGet).status, http.StatusOK)
	check.Equal(arrived.Load(), int64(2))
	check.Equal(mesh.hungCalls(), uint64(1))
}

// The call may still run: nothing proves that it never will.
func TestHungUnrepeatableCallWaitsForDeadline(t *testing.T) {
	check := is.New(t)
	var arrived atomic.Int64
	mesh := startHangingMesh(t, time.Second, &arrived)
	expectRefusal(check, mesh.callThroughSecondGate(t, http.MethodPost), result.DeadlineInFlight, result.RanUnknown)
	check.Equal(arrived.Load(), int64(1))
	check.Equal(mesh.hungCalls(), uint64(1))
}

// newWatchedCall returns a proxy with a call that was sent a minute ago, and the time on the
// proxy's clock. Three calls that were sent later have been answered, and all earlier calls took 10
// ms.
func newWatchedCall(t *testing.T) (*Proxy, time.Duration) {
	t.Helper()
	const now = 2 * time.Minute
	proxy := New(Config{Clock: func() time.Duration { return now }, NodeID: "gate", Reported: true})
	t.Cleanup(proxy.Close)
	call := &gateCall{proxy: proxy, request: &http.Request{Header: http.Header{}}, ticket: &admission.Ticket{}}
	for range 20 {
		proxy.gate.RecordServiceTime(&call.ticket.Call, 10*time.Millisecond)
	}
	proxy.hangDetector.watch(&dispatch{call: call, sentAt: now - time.Minute})
	for range 3 {
		proxy.hangDetector.recentAnswers.Record(now - time.Second)
	}
	return proxy, now
}

func TestCallThatBackEndReportsIsNotHung(t *testing.T) {
	check := is.New(t)
	proxy, now := newWatchedCall(t)
	for ago := range 3 {
		proxy.hangDetector.missingCalls.Record(now-time.Duration(3-ago)*time.Second/4, 1, 1)
	}
	proxy.findHung(now)
	check.Equal(proxy.Counters().HungCalls, uint64(0))
}

// A back end that leaves many calls unanswered must be ejected before these calls reach their
// deadlines.
func TestHungCallIsReportedAsBackEndFailure(t *testing.T) {
	check := is.New(t)
	proxy, now := newWatchedCall(t)
	failures := make(chan protocol.BackendStart, 2)
	proxy.config.OnBackendFailed = func(start protocol.BackendStart, _ uint64) { failures <- start }
	for range 2 {
		proxy.findHung(now)
	}
	check.Equal(len(failures), 1)
}

func TestCallMissingAtBackEndIsHung(t *testing.T) {
	check := is.New(t)
	proxy, now := newWatchedCall(t)
	for ago := range 3 {
		proxy.hangDetector.missingCalls.Record(now-time.Duration(3-ago)*time.Second/4, 1, 0)
	}
	proxy.findHung(now)
	check.Equal(proxy.Counters().HungCalls, uint64(1))
}

// The slot of a cancelled call must not become free while the call may still run.
func TestCancelledCallKeepsSlotUntilDeadline(t *testing.T) {
	check := is.New(t)
	gate := startReportedGate(t, Limits{CancelWait: time.Millisecond}, 2, func(call *backendCall) { <-call.released })
	const timeout = 400 * time.Millisecond
	startedAt := testClock()
	call := gate.startCall(t, timeout)
	gate.await(func() bool { return gate.arrivedCount.Load() == 1 })
	call.cancel()
	gate.await(func() bool { return gate.proxy.gate.Load().Running == 0 })
	check.True(testClock()-startedAt >= timeout)
}

// A killed daemon leaves its calls running at the back end. The restarted daemon must not add more
// calls than the back end can run.
func TestOneCallProbesForOrphanedCallsAfterDaemonRestart(t *testing.T) {
	check := is.New(t)
	gate := startReportedGate(t, Limits{}, 4, func(call *backendCall) { <-call.released })
	restarted := gate.restart(t)
	for range 3 {
		restarted.startCall(t, time.Minute)
	}
	restarted.await(func() bool { return restarted.proxy.gate.Load().Queued == 2 })
	restarted.await(func() bool { return restarted.arrivedCount.Load() == 1 })
	check.Equal(restarted.proxy.gate.Load().Running, 4) // 3 of 4 slots are reserved for orphaned calls, and one call runs
}

// A call that was sent to a start of the back end that crashed must end, since it can't be running.
func TestCallToCrashedStartEndsWhenNextStartReports(t *testing.T) {
	check := is.New(t)
	gate := startReportedGate(t, Limits{}, 2, func(call *backendCall) { <-call.released })
	call := gate.startCall(t, time.Minute)
	gate.await(func() bool { return gate.arrivedCount.Load() == 1 })
	gate.proxy.ReportBackend(BackendReport{
		Start: protocol.BackendStart{Instance: "next"}, Slots: 2, State: protocol.EndpointReady, EarlierCrashed: true,
	})
	expectRefusal(check, <-call.answer, result.BrokenInFlight, result.RanUnknown)
	gate.await(func() bool { return gate.proxy.gate.Load().Running == 0 })
}

// The running calls of a draining back end must continue, and their connections must carry no
// further calls.
func TestCallToDrainingStartIsAnswered(t *testing.T) {
	check := is.New(t)
	gate := startReportedGate(t, Limits{}, 2, func(call *backendCall) { <-call.released; call.answer() })
	call := gate.startCall(t, time.Minute)
	gate.await(func() bool { return gate.arrivedCount.Load() == 1 })
	gate.proxy.ReportBackend(BackendReport{
		Start: protocol.BackendStart{Instance: "next"}, Slots: 2, State: protocol.EndpointReady,
	})
	gate.releaseCalls()
	check.Equal((<-call.answer).status, http.StatusOK)
	gate.await(func() bool { return gate.proxy.Counters().BackendOpen == 0 })
}

func TestCallsAreLimitedByBackEndConnections(t *testing.T) {
	check := is.New(t)
	gate := startReportedGate(t, Limits{}, 9, func(call *backendCall) { <-call.released })
	gate.proxy.Swap(testSnapshot(meshOptions{service: resource.Service{MaxConnections: reservedConnections + 2}}, nil))
	for range 4 {
		gate.startCall(t, time.Minute)
	}
	gate.await(func() bool { return gate.proxy.gate.Load().Queued == 2 })
	gate.await(func() bool { return gate.arrivedCount.Load() == 2 })
	check.Equal(gate.proxy.Counters().BackendOpen, 2)
}

// A back end may report before the configuration arrives, which defines how long calls, and thus
// orphaned calls, may run.
func TestOrphanedCallsAreExpectedWhenRoutesArriveLater(t *testing.T) {
	check := is.New(t)
	proxy := New(Config{Clock: testClock, NodeID: "gate", Service: testService, Reported: true})
	t.Cleanup(proxy.Close)
	proxy.ReportBackend(BackendReport{
		Start: protocol.BackendStart{Instance: "i", Born: 1}, Slots: 4, State: protocol.EndpointReady,
	})
	proxy.Swap(testSnapshot(meshOptions{}, nil))
	check.Equal(proxy.gate.Load().Running, 3)
}

// A hung call does not run at the next start of the back end, so all slots must be free there.
func TestSlotOfHungCallIsFreedByNextStart(t *testing.T) {
	gate := startReportedGate(t, Limits{HungWait: time.Hour}, 2, func(call *backendCall) { <-call.released })
	call := gate.startCall(t, time.Minute)
	gate.await(func() bool { return gate.arrivedCount.Load() == 1 })
	gate.hangCall()
	call.cancel()
	gate.proxy.ReportBackend(BackendReport{
		Start: protocol.BackendStart{Instance: "next"}, Slots: 2, State: protocol.EndpointReady, EarlierCrashed: true,
	})
	gate.await(func() bool { return gate.proxy.gate.Load().Running == 0 })
}

// If a call marked as hung is answered after all, its slot must become free
// when the back end closes the connection, even if the answer was not read to its end.
func TestSlotOfHungCallIsFreedByAnswer(t *testing.T) {
	gate := startReportedGate(t, Limits{HungWait: time.Hour}, 2, func(call *backendCall) { <-call.released; call.sendAnswerHead() })
	call := gate.startCall(t, time.Minute)
	gate.await(func() bool { return gate.arrivedCount.Load() == 1 })
	gate.hangCall()
	gate.releaseCalls()
	gate.await(func() bool { return gate.proxy.hangDetector.callCount.Load() == 0 })
	call.cancel()
	gate.await(func() bool { return gate.proxy.gate.Load().Running == 0 })
}

// hangCall marks all calls under way as hung.
func (g *reportedGate) hangCall() {
	for index := range g.proxy.hangDetector.cells {
		if watched := g.proxy.hangDetector.cells[index].Load(); watched != nil {
			watched.isHung.Store(true)
		}
	}
}
