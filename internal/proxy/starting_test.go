package proxy

import (
	"net/http"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/result"
)

// startLate makes a callers' side of a mesh that knows nothing yet.
func startLate(t *testing.T, made *mesh, clock func() time.Duration) *mesh {
	t.Helper()
	limits := Limits{StartWait: time.Hour}
	late := *made
	late.caller = New(Config{Clock: clock, NodeID: "late", Incarnation: 4, Region: "r", Zone: "z", Limits: limits})
	t.Cleanup(late.caller.Close)
	late.address = serve(t, late.caller.CallerHandler(), limits)
	late.caller.ExtendServing(1 << 62)
	return &late
}

// awaitWaits waits until calls have begun to wait for the daemon's start as often as that.
func (m *mesh) awaitWaits(count uint64) {
	for m.caller.Counters().StartWaits < count {
		runtime.Gosched()
	}
}

func TestACallThatComesBeforeTheConfigurationWaitsForIt(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	made := startMesh(t, meshOptions{}, counting(&runs))
	late := startLate(t, made, testClock)
	answer := make(chan answered, 1)
	go func() { answer <- late.call(t, http.MethodGet, "/", "", headerTimeout, "60000") }()
	late.awaitWaits(1)
	late.caller.Swap(made.held)
	check.Equal((<-answer).status, http.StatusOK)
	check.Equal(runs.Load(), int64(1))
}

func TestACallThatComesBeforeTheBackEndsAreKnownWaitsForThem(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	made := startMesh(t, meshOptions{}, counting(&runs))
	late := startLate(t, made, testClock)
	late.caller.Swap(testSnapshot(meshOptions{}, nil))
	answer := make(chan answered, 1)
	go func() { answer <- late.call(t, http.MethodGet, "/", "", headerTimeout, "60000") }()
	late.awaitWaits(1)
	late.caller.Swap(made.held)
	check.Equal((<-answer).status, http.StatusOK)
	check.Equal(runs.Load(), int64(1))
}

func TestWhatACallHasWaitedForTheStartIsTakenOffItsTime(t *testing.T) {
	check := is.New(t)
	told := make(chan string, 1)
	made := startMesh(t, meshOptions{}, backendSpec{handler: func(_ http.ResponseWriter, request *http.Request) {
		told <- request.Header.Get(headerTimeout)
	}})
	var now atomic.Int64
	late := startLate(t, made, func() time.Duration { return time.Duration(now.Load()) })
	answer := make(chan answered, 1)
	go func() { answer <- late.call(t, http.MethodGet, "/", "", headerTimeout, "60000") }()
	late.awaitWaits(1)
	now.Store(int64(10 * time.Second))
	late.caller.Swap(made.held)
	check.Equal((<-answer).status, http.StatusOK)
	left, err := strconv.Atoi(<-told)
	check.NoErr(err)
	check.True(left <= 50_000)
}

func TestACallWaitsForTheStartForAPartOfItsTimeOnly(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	late := startLate(t, startMesh(t, meshOptions{}, counting(&runs)), testClock)
	expectRefusal(check, late.call(t, http.MethodGet, "/", "", headerTimeout, "40"), result.NotServing, result.RanNo)
	check.Equal(runs.Load(), int64(0))
}

func TestNoCallWaitsOnceTheDaemonHasStarted(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	var now atomic.Int64
	made := startMesh(t, meshOptions{}, counting(&runs))
	late := startLate(t, made, func() time.Duration { return time.Duration(now.Load()) })
	now.Store(int64(time.Hour))
	expectRefusal(check, late.call(t, http.MethodGet, "/", ""), result.NotServing, result.RanNo)
	check.Equal(late.caller.Counters().StartWaits, uint64(0))
}
