package proxy

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/routing"
	"github.com/springstack/springstack/internal/result"
)

// ending is how a back end ends a run.
type failureKind int

const (
	succeeds failureKind = iota
	respondsWithError
	resetsConnection
	// endsMidway resets the connection after a part of the answer.
	breaksMidAnswer
	// endsUnbegun sheds the call: the back end says that it has not begun it.
	shedsCall
)

// stepped is a back end whose runs end as the test says.
type steppedBackend struct {
	entered   chan struct{}
	outcomes  chan failureKind
	cancelled chan struct{}
}

func newSteppedBackend() *steppedBackend {
	return &steppedBackend{entered: make(chan struct{}, 9), outcomes: make(chan failureKind, 9), cancelled: make(chan struct{}, 9)}
}

func (s *steppedBackend) spec(name string) backendSpec {
	return backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		s.entered <- struct{}{}
		select {
		case how := <-s.outcomes:
			failCall(writer, how, name)
		case <-request.Context().Done():
			s.cancelled <- struct{}{}
		}
	}}
}

func failCall(writer http.ResponseWriter, how failureKind, name string) {
	switch how {
	case succeeds:
		_, _ = io.WriteString(writer, name)
	case respondsWithError:
		writer.WriteHeader(http.StatusInternalServerError)
	case shedsCall:
		writer.Header().Set(headerBackendRan, string(result.RanNo))
		writer.WriteHeader(http.StatusServiceUnavailable)
	case breaksMidAnswer:
		writer.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(writer, "part")
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

// breakAll breaks the runs of all attempts that a call may make.
func (s *steppedBackend) resetAllAttempts() {
	for range routing.DefaultAttempts {
		s.outcomes <- resetsConnection
	}
}

// hedging is a mesh of two back ends with a call under way at one of them.
type hedgedCall struct {
	*mesh
	first, second *steppedBackend
	// silent is the gate of the first.
	firstGate *Proxy
	answers   chan callResult
}

// startHedging starts a repeatable call and waits until it runs.
func startHedgedCall(t *testing.T, change func(*Config)) *hedgedCall {
	t.Helper()
	one, other := newSteppedBackend(), newSteppedBackend()
	made := &hedgedCall{answers: make(chan callResult, 1)}
	made.mesh = startMesh(t, meshOptions{changeCaller: func(config *Config) {
		config.OnSilent = func(protocol.NodeID) {} // calls may be hedged
		change(config)
	}}, one.spec("a"), other.spec("b"))
	go func() { made.answers <- made.call(t, "GET", "/", "") }()
	select {
	case <-one.entered:
		made.first, made.second, made.firstGate = one, other, made.gates[0]
	case <-other.entered:
		made.first, made.second, made.firstGate = other, one, made.gates[1]
	}
	return made
}

// fallSilent tells the caller's side that the daemon of the first does not answer.
func (o *hedgedCall) silenceFirstGate() {
	o.mesh.caller.SetReachable(o.firstGate.config.NodeID, false)
	o.mesh.caller.GiveUp(o.firstGate.config.NodeID)
}

// closeOther has the other gate refuse all calls.
func (o *hedgedCall) closeSecondGate() {
	for _, gate := range o.gates {
		if gate != o.firstGate {
			gate.StartDrain()
			<-gate.Drained()
		}
	}
}

// awaitLimit bounds the waits for what must come.
const awaitTimeout = 5 * time.Second

// await waits for one thing on a channel.
func await[Thing any](t *testing.T, from <-chan Thing, what string) Thing {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(awaitTimeout):
		t.Fatal("never: " + what)
		panic("unreachable")
	}
}

// settleTime is how long a wrong answer, which comes at once, is waited for.
const noAnswerPeriod = 60 * time.Millisecond

// stayOpen fails when the caller is answered while the first attempt runs.
func (o *hedgedCall) requireUnanswered(t *testing.T, when string) {
	t.Helper()
	select {
	case got := <-o.answers:
		t.Fatalf("%s: the caller got %d %q while its call ran", when, got.status, got.body)
	case <-o.first.cancelled:
		t.Fatalf("%s: the run was cut", when)
	case <-time.After(noAnswerPeriod):
	}
}

// A daemon that was told to stop once cut a request which a back end was working on, and
// answered it with 502 in its own name. The daemon beside that back end had been slow to
// answer two questions, so the attempt there was broken off and another one made, which
// all others refused. That nothing is broken off by a daemon that stops did not help: the
// process learnt of its stop a moment after. So an attempt that was sent ends by its own
// answer or connection, its caller, its time or the drain's hard bound, at any moment
// around a stop, and never because its daemon is silent.
func TestCallIsNotFailedWhileHedgedAttemptRuns(t *testing.T) {
	ends := map[string]failureKind{"breaks": resetsConnection, "is refused": succeeds}
	for name, how := range ends {
		for _, moment := range []string{"never", "before the silence", "before the other ends", "after the other ended"} {
			t.Run("the other "+name+", stop "+moment, func(t *testing.T) { testNoCallFailed(t, how, moment) })
		}
	}
}

func testNoCallFailed(t *testing.T, how failureKind, stop string) {
	check := is.New(t)
	mesh := startHedgedCall(t, func(*Config) {})
	stopAt := func(moment string) {
		if moment == stop {
			mesh.caller.StartDrain()
		}
	}
	if how != resetsConnection {
		mesh.closeSecondGate()
	}
	stopAt("before the silence")
	mesh.silenceFirstGate()
	if how == resetsConnection {
		await(t, mesh.second.entered, "another attempt")
	}
	stopAt("before the other ends")
	if how == resetsConnection {
		mesh.second.resetAllAttempts()
	}
	mesh.requireUnanswered(t, "after the other attempt")
	stopAt("after the other ended")
	mesh.requireUnanswered(t, "after the stop")
	check.Equal(len(mesh.first.entered), 0) // what keeps the call open is its first attempt alone
	check.Equal(len(mesh.caller.Counters().Abandoned), 0)
	mesh.first.outcomes <- succeeds
	got := await(t, mesh.answers, "an answer")
	check.Equal(got.status, http.StatusOK)
	check.Equal(len(got.body), 1)
}

// A failure that the first back end answers does not end the attempt that runs at the
// other one.
func TestFailureOfHedgedAttemptDoesNotEndSecondAttempt(t *testing.T) {
	check := is.New(t)
	mesh := startHedgedCall(t, func(*Config) {})
	mesh.silenceFirstGate()
	await(t, mesh.second.entered, "another attempt")
	mesh.first.outcomes <- respondsWithError
	select {
	case got := <-mesh.answers:
		t.Fatalf("the caller got %d while its call ran", got.status)
	case <-time.After(noAnswerPeriod):
	}
	mesh.second.outcomes <- succeeds
	check.Equal(await(t, mesh.answers, "an answer").status, http.StatusOK)
}

// A back end's own answer of failure is delivered rather than a failure of our own.
func TestBackEndFailureIsPreferredToOwnRefusal(t *testing.T) {
	check := is.New(t)
	mesh := startHedgedCall(t, func(config *Config) { config.Limits.CollectBytes = 1 << 10 })
	mesh.silenceFirstGate()
	await(t, mesh.second.entered, "another attempt")
	mesh.first.outcomes <- respondsWithError
	time.Sleep(noAnswerPeriod)
	mesh.second.resetAllAttempts()
	mesh.first.resetAllAttempts() // further attempts
	got := await(t, mesh.answers, "an answer")
	check.Equal(got.status, http.StatusInternalServerError)
	check.Equal(got.code(), "")
}

// An answer of the first that breaks off leaves the caller with a whole answer of our own.
func TestTruncatedHedgedAnswerIsReplacedByRefusal(t *testing.T) {
	check := is.New(t)
	mesh := startHedgedCall(t, func(config *Config) { config.Limits.CollectBytes = 1 << 10 })
	mesh.closeSecondGate()
	mesh.caller.GiveUp(mesh.firstGate.config.NodeID)
	mesh.requireUnanswered(t, "after the other attempt")
	mesh.first.outcomes <- breaksMidAnswer
	got := await(t, mesh.answers, "an answer")
	check.True(!got.truncated)
	check.Equal(got.ran(), string(result.RanUnknown))
}

// A hedged attempt that is proved not to have run leaves no doubt: its caller is told that
// nothing ran, and with a status that says so.
func TestHedgedCallShedLastIsRefusedAsNotRun(t *testing.T) {
	check := is.New(t)
	mesh := startHedgedCall(t, func(*Config) {})
	mesh.closeSecondGate()
	mesh.silenceFirstGate()
	mesh.requireUnanswered(t, "after the other attempt")
	mesh.first.outcomes <- shedsCall
	got := await(t, mesh.answers, "an answer")
	check.Equal(got.ran(), string(result.RanNo))
	check.Equal(got.status, http.StatusServiceUnavailable)
}

// The same where the proof comes first.
func TestHedgedCallShedFirstIsRefusedAsNotRun(t *testing.T) {
	check := is.New(t)
	mesh := startHedgedCall(t, func(*Config) {})
	mesh.silenceFirstGate()
	await(t, mesh.second.entered, "another attempt")
	mesh.first.outcomes <- shedsCall
	select {
	case got := <-mesh.answers:
		t.Fatalf("the caller got %d while its call ran", got.status)
	case <-time.After(noAnswerPeriod):
	}
	for range routing.DefaultAttempts {
		mesh.first.outcomes <- shedsCall // further attempts
		mesh.second.outcomes <- shedsCall
	}
	got := await(t, mesh.answers, "an answer")
	check.Equal(got.ran(), string(result.RanNo))
}

// A suspicion takes no attempt away, whatever the other attempt ends with: the first back
// end is at work, and its answer is of success.
func TestFailureOfSecondAttemptDoesNotEndHedgedAttempt(t *testing.T) {
	check := is.New(t)
	mesh := startHedgedCall(t, func(*Config) {})
	mesh.silenceFirstGate()
	await(t, mesh.second.entered, "another attempt")
	mesh.second.outcomes <- respondsWithError
	mesh.requireUnanswered(t, "after the other failed")
	mesh.first.outcomes <- succeeds
	check.Equal(await(t, mesh.answers, "an answer").status, http.StatusOK)
}

// The attempt that is waited for is the first one, and not a second one at the same place.
func TestCallIsNotResentToHedgedEndpoint(t *testing.T) {
	check := is.New(t)
	mesh := startHedgedCall(t, func(*Config) {})
	mesh.silenceFirstGate()
	await(t, mesh.second.entered, "another attempt")
	mesh.second.resetAllAttempts()
	mesh.requireUnanswered(t, "after the other attempt")
	check.Equal(len(mesh.first.entered), 0) // a second run where the first one is at work
	mesh.first.outcomes <- succeeds
	check.Equal(await(t, mesh.answers, "an answer").status, http.StatusOK)
}

// A hedged attempt whose answer stops midway holds no answer up that is whole.
func TestStalledHedgedAnswerDoesNotDelayCompleteAnswer(t *testing.T) {
	check := is.New(t)
	began := make(chan string, 9)
	head := make(chan struct{})
	finish := make(chan struct{})
	var first atomic.Pointer[string]
	spec := func(name string) backendSpec {
		return backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
			mine := first.CompareAndSwap(nil, &name)
			began <- name
			if !mine {
				<-finish
				_, _ = io.WriteString(writer, name)
				return
			}
			<-head
			writer.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(writer, "part")
			_ = http.NewResponseController(writer).Flush()
			<-request.Context().Done()
		}}
	}
	limits := Limits{CollectBytes: 1 << 10}
	mesh := startMesh(t, meshOptions{limits: limits, changeCaller: func(config *Config) {
		config.OnSilent = func(protocol.NodeID) {}
	}}, spec("a"), spec("b"))
	for _, gate := range mesh.gates {
		gate.limits.CollectBytes = 0 // the gate's machine is cut off midway
	}
	got := make(chan callResult, 1)
	go func() { got <- mesh.call(t, "GET", "/", "", "Springstack-Timeout-Ms", "2000") }()
	name := await(t, began, "a run")
	silent := mesh.gates[name[0]-'a'].config.NodeID
	mesh.caller.SetReachable(silent, false)
	mesh.caller.GiveUp(silent)
	await(t, began, "another attempt")
	close(head)
	time.Sleep(noAnswerPeriod)
	close(finish)
	select {
	case one := <-got:
		check.Equal(one.status, http.StatusOK)
	case <-time.After(500 * time.Millisecond):
		t.Fatal("a whole answer has been there for 500 ms; the call waits for the rest of the other one")
	}
}
