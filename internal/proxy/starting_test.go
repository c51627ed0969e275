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
func startEmptyCaller(t *testing.T, made *mesh, clock func() time.Duration) *mesh {
	t.Helper()
	limits := Limits{StartWait: time.Hour, DrainLinger: time.Millisecond}
	late := *made
	late.caller = New(Config{Clock: clock, NodeID: "late", Incarnation: 4, Region: "r", Zone: "z", Limits: limits})
	t.Cleanup(late.caller.Close)
	late.address = startServer(t, late.caller.CallerHandler(), limits)
	late.caller.ExtendServing(1 << 62)
	return &late
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
	made := startMesh(t, meshOptions{}, countingBackend(&runs))
	late := startEmptyCaller(t, made, testClock)
	answer := late.startWaitingCall(t)
	late.caller.Swap(made.snapshot)
	check.Equal((<-answer).status, http.StatusOK)
	check.Equal(runs.Load(), int64(1))
}

func TestCallWaitsForBackEndsDuringStart(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	made := startMesh(t, meshOptions{}, countingBackend(&runs))
	late := startEmptyCaller(t, made, testClock)
	late.caller.Swap(testSnapshot(meshOptions{}, nil))
	answer := late.startWaitingCall(t)
	late.caller.Swap(made.snapshot)
	check.Equal((<-answer).status, http.StatusOK)
	check.Equal(runs.Load(), int64(1))
}

func TestStartWaitCountsAgainstTimeout(t *testing.T) {
	check := is.New(t)
	told := make(chan string, 1)
	made := startMesh(t, meshOptions{}, backendSpec{handler: func(_ http.ResponseWriter, request *http.Request) {
		told <- request.Header.Get(headerTimeout)
	}})
	var now atomic.Int64
	late := startEmptyCaller(t, made, func() time.Duration { return time.Duration(now.Load()) })
	answer := late.startWaitingCall(t)
	now.Store(int64(10 * time.Second))
	late.caller.Swap(made.snapshot)
	check.Equal((<-answer).status, http.StatusOK)
	left, err := strconv.Atoi(<-told)
	check.NoErr(err)
	check.True(left <= 50_000)
}

func TestStartWaitIsBoundedByShareOfTimeout(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	late := startEmptyCaller(t, startMesh(t, meshOptions{}, countingBackend(&runs)), testClock)
	expectRefusal(check, late.call(t, http.MethodGet, "/", "", headerTimeout, "40"), result.NotServing, result.RanNo)
	check.Equal(runs.Load(), int64(0))
}

func TestNoCallWaitsAfterStart(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	var now atomic.Int64
	made := startMesh(t, meshOptions{}, countingBackend(&runs))
	late := startEmptyCaller(t, made, func() time.Duration { return time.Duration(now.Load()) })
	now.Store(int64(time.Hour))
	expectRefusal(check, late.call(t, http.MethodGet, "/", ""), result.NotServing, result.RanNo)
	check.Equal(late.caller.Counters().StartWaits, uint64(0))
}

// TestUnsuccessfulStartWaitReducesTimeout: a call that was not sent after its wait of a
// quarter of its time has at most the remaining three quarters left.
func TestUnsuccessfulStartWaitReducesTimeout(t *testing.T) {
	check := is.New(t)
	late := startEmptyCaller(t, startMesh(t, meshOptions{}), testClock)
	late.caller.Swap(testSnapshot(meshOptions{}, nil))
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil)
	request.Header.Set(headerTimeout, "400")
	call, _, accepted := late.caller.acceptDuringStart(request, nil)
	check.True(accepted)
	check.True(call.timeout <= 300*time.Millisecond)
}

// TestStartWaitIsBoundedByRouteTimeout: a call without a timeout header has the timeout of
// its route.
func TestStartWaitIsBoundedByRouteTimeout(t *testing.T) {
	check := is.New(t)
	options := meshOptions{changeRoute: func(route *resource.Route) { route.Timeout = 200 * time.Millisecond }}
	late := startEmptyCaller(t, startMesh(t, options), testClock)
	late.caller.Swap(testSnapshot(options, nil))
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	_, _, accepted := late.caller.acceptDuringStart(httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil), nil)
	check.True(accepted)
	check.NoErr(ctx.Err())
}

// TestViewPublishedDuringAcceptIsNotMissed: the first view may be published while a call is
// being accepted. The refusal is then compared with the earlier view, so that the call is
// accepted again with the new one.
func TestViewPublishedDuringAcceptIsNotMissed(t *testing.T) {
	check := is.New(t)
	made := startMesh(t, meshOptions{})
	late := startEmptyCaller(t, made, testClock)
	before := late.caller.view.Load()
	late.caller.Swap(made.snapshot)
	check.True(before.isIncompleteFor(nil, Refusal{Code: result.NotServing}, false))
	check.True(!late.caller.view.Load().isIncompleteFor(nil, Refusal{Code: result.NotServing}, false))
}

// TestCallerDisconnectEndsStartWait: a call no longer waits once its caller has
// disconnected, also if its request has a body.
func TestCallerDisconnectEndsStartWait(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	made := startMesh(t, meshOptions{}, countingBackend(&runs))
	late := startEmptyCaller(t, made, testClock)
	conn, err := net.Dial("tcp", late.address)
	check.NoErr(err)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nSpringstack-Timeout-Ms: 3600000\r\n\r\nbody")
	check.NoErr(err)
	late.awaitStartWait(t)
	check.NoErr(conn.Close())
	for began := time.Now(); late.caller.runningCallerCalls.Load() > 0; runtime.Gosched() {
		if time.Since(began) > awaitTimeout {
			t.Fatal("the call still waits")
		}
	}
	late.caller.Swap(made.snapshot)
	check.Equal(runs.Load(), int64(0))
}

// TestRegionBoundCallWaitsForMembersDuringStart: before any other daemon is known, no region
// has a back end. A call that is restricted to regions waits instead of being refused.
func TestRegionBoundCallWaitsForMembersDuringStart(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	made := startMesh(t, optionsWithRegions([]string{"r"}), countingBackend(&runs))
	late := startEmptyCaller(t, made, testClock)
	late.caller.Swap(testSnapshot(optionsWithRegions([]string{"r"}), nil))
	answer := late.startWaitingCall(t)
	late.caller.Swap(made.snapshot)
	check.Equal((<-answer).status, http.StatusOK)
	check.Equal(runs.Load(), int64(1))
}

// TestStopRefusesCallsThatWaitForStart: calls that wait for the start do not delay a drain.
func TestStopRefusesCallsThatWaitForStart(t *testing.T) {
	check := is.New(t)
	late := startEmptyCaller(t, startMesh(t, meshOptions{}), testClock)
	answer := late.startWaitingCall(t)
	late.caller.StartDrain()
	expectRefusal(check, await(t, answer, "a refusal"), result.Draining, result.RanNo)
	await(t, late.caller.Drained(), "the drain's end")
}
