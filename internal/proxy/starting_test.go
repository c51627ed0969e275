package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// startEmptyCaller starts a second callers' side for a mesh. It has no configuration and no
// members yet.
func startEmptyCaller(t *testing.T, source *mesh, clock func() time.Duration) *mesh {
	t.Helper()
	limits := Limits{StartWait: time.Hour, DrainLinger: time.Millisecond}
	copied := *source
	copied.caller = New(Config{Clock: clock, NodeID: "late", Incarnation: 4, Region: "r", Zone: "z", Limits: limits})
	t.Cleanup(copied.caller.Close)
	copied.address = startServer(t, copied.caller.CallerHandler(), limits)
	copied.caller.ExtendServing(1 << 62)
	return &copied
}

// startWaitingCall makes a call and blocks until the call waits for the daemon's start. It
// returns the channel of the call's answer.
func (m *mesh) startWaitingCall(t *testing.T) <-chan callResult {
	t.Helper()
	answer := make(chan callResult, 1)
	go func() { answer <- m.call(t, http.MethodGet, "/", "", headerTimeout, "60000") }()
	m.awaitStartWait(t)
	return answer
}

// awaitStartWait blocks until a call waits for the daemon's start.
func (m *mesh) awaitStartWait(t *testing.T) {
	t.Helper()
	for began := time.Now(); m.caller.Counters().StartWaits == 0; runtime.Gosched() {
		if time.Since(began) > awaitTimeout {
			t.Fatal("no call waits for the start")
		}
	}
}

func TestCallWaitsForConfigurationDuringStart(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	running := startMesh(t, meshOptions{}, countingBackend(&runs))
	starting := startEmptyCaller(t, running, testClock)
	answer := starting.startWaitingCall(t)
	starting.caller.Swap(running.snapshot)
	check.Equal((<-answer).status, http.StatusOK)
	check.Equal(runs.Load(), int64(1))
}

func TestCallWaitsForBackEndsDuringStart(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	running := startMesh(t, meshOptions{}, countingBackend(&runs))
	starting := startEmptyCaller(t, running, testClock)
	starting.caller.Swap(testSnapshot(meshOptions{}, nil))
	answer := starting.startWaitingCall(t)
	starting.caller.Swap(running.snapshot)
	check.Equal((<-answer).status, http.StatusOK)
	check.Equal(runs.Load(), int64(1))
}

func TestStartWaitCountsAgainstTimeout(t *testing.T) {
	check := is.New(t)
	timeouts := make(chan string, 1)
	running := startMesh(t, meshOptions{}, backendSpec{handler: func(_ http.ResponseWriter, request *http.Request) {
		timeouts <- request.Header.Get(headerTimeout)
	}})
	var now atomic.Int64
	starting := startEmptyCaller(t, running, func() time.Duration { return time.Duration(now.Load()) })
	answer := starting.startWaitingCall(t)
	now.Store(int64(10 * time.Second))
	starting.caller.Swap(running.snapshot)
	check.Equal((<-answer).status, http.StatusOK)
	remaining, err := strconv.Atoi(<-timeouts)
	check.NoErr(err)
	check.True(remaining <= 50_000)
}

func TestStartWaitIsBoundedByShareOfTimeout(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	starting := startEmptyCaller(t, startMesh(t, meshOptions{}, countingBackend(&runs)), testClock)
	expectRefusal(check, starting.call(t, http.MethodGet, "/", "", headerTimeout, "40"), result.NotServing, result.RanNo)
	check.Equal(runs.Load(), int64(0))
}

func TestNoCallWaitsAfterStart(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	var now atomic.Int64
	running := startMesh(t, meshOptions{}, countingBackend(&runs))
	starting := startEmptyCaller(t, running, func() time.Duration { return time.Duration(now.Load()) })
	now.Store(int64(time.Hour))
	expectRefusal(check, starting.call(t, http.MethodGet, "/", ""), result.NotServing, result.RanNo)
	check.Equal(starting.caller.Counters().StartWaits, uint64(0))
}

// TestUnsuccessfulStartWaitReducesTimeout: if no back end becomes known within a quarter of
// a call's time, the call is accepted with at most the other three quarters.
func TestUnsuccessfulStartWaitReducesTimeout(t *testing.T) {
	check := is.New(t)
	starting := startEmptyCaller(t, startMesh(t, meshOptions{}), testClock)
	starting.caller.Swap(testSnapshot(meshOptions{}, nil))
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil)
	request.Header.Set(headerTimeout, "400")
	call, _, accepted := starting.caller.acceptDuringStart(request, nil)
	check.True(accepted)
	check.True(call.timeout <= 300*time.Millisecond)
}

// TestStartWaitIsBoundedByRouteTimeout: a call without a timeout header waits for a quarter
// of its route's timeout.
func TestStartWaitIsBoundedByRouteTimeout(t *testing.T) {
	check := is.New(t)
	options := meshOptions{changeRoute: func(route *resource.Route) { route.Timeout = 200 * time.Millisecond }}
	starting := startEmptyCaller(t, startMesh(t, options), testClock)
	starting.caller.Swap(testSnapshot(options, nil))
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	_, _, accepted := starting.caller.acceptDuringStart(httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil), nil)
	check.True(accepted)
	check.NoErr(ctx.Err())
}

// TestViewPublishedDuringAcceptIsNotMissed: the first view may be published while acceptCall
// refuses a call. In this case the earlier view is found incomplete, so that acceptCall
// is called again with the new view.
func TestViewPublishedDuringAcceptIsNotMissed(t *testing.T) {
	check := is.New(t)
	running := startMesh(t, meshOptions{})
	starting := startEmptyCaller(t, running, testClock)
	earlierView := starting.caller.view.Load()
	starting.caller.Swap(running.snapshot)
	check.True(earlierView.isIncompleteFor(nil, Refusal{Code: result.NotServing}, false))
	check.True(!starting.caller.view.Load().isIncompleteFor(nil, Refusal{Code: result.NotServing}, false))
}

// TestCallerDisconnectEndsStartWait: a call no longer waits once its caller has
// disconnected, also if its request has a body.
func TestCallerDisconnectEndsStartWait(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	running := startMesh(t, meshOptions{}, countingBackend(&runs))
	starting := startEmptyCaller(t, running, testClock)
	conn, err := net.Dial("tcp", starting.address)
	check.NoErr(err)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nSpringstack-Timeout-Ms: 3600000\r\n\r\nbody")
	check.NoErr(err)
	starting.awaitStartWait(t)
	check.NoErr(conn.Close())
	for began := time.Now(); starting.caller.runningCallerCalls.Load() > 0; runtime.Gosched() {
		if time.Since(began) > awaitTimeout {
			t.Fatal("the call still waits")
		}
	}
	starting.caller.Swap(running.snapshot)
	check.Equal(runs.Load(), int64(0))
}

// TestRegionBoundCallWaitsForMembersDuringStart: before any other daemon is known, no region
// has a back end. A call that is restricted to regions waits instead of being refused.
func TestRegionBoundCallWaitsForMembersDuringStart(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	running := startMesh(t, optionsWithRegions([]string{"r"}), countingBackend(&runs))
	starting := startEmptyCaller(t, running, testClock)
	starting.caller.Swap(testSnapshot(optionsWithRegions([]string{"r"}), nil))
	answer := starting.startWaitingCall(t)
	starting.caller.Swap(running.snapshot)
	check.Equal((<-answer).status, http.StatusOK)
	check.Equal(runs.Load(), int64(1))
}

// TestStopRefusesCallsThatWaitForStart: calls that wait for the start do not delay a drain.
func TestStopRefusesCallsThatWaitForStart(t *testing.T) {
	check := is.New(t)
	starting := startEmptyCaller(t, startMesh(t, meshOptions{}), testClock)
	answer := starting.startWaitingCall(t)
	starting.caller.StartDrain()
	expectRefusal(check, await(t, answer, "a refusal"), result.Draining, result.RanNo)
	await(t, starting.caller.Drained(), "the drain's end")
}
