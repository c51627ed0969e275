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

// failureKind is how a back end ends a call.
type failureKind int

const (
	succeeds failureKind = iota
	respondsWithError
	resetsConnection
	// breaksMidAnswer resets the connection after a part of the answer.
	breaksMidAnswer
	// shedsCall answers that the back end has not begun the call.
	shedsCall
)

// steppedBackend is a back end that ends each call in the way that the test sends to outcomes.
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
		case kind := <-s.outcomes:
			failCall(writer, kind, name)
		case <-request.Context().Done():
			s.cancelled <- struct{}{}
		}
	}}
}

func failCall(writer http.ResponseWriter, kind failureKind, name string) {
	switch kind {
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

// resetAllAttempts has the back end reset the connections of as many attempts as a call may make.
func (s *steppedBackend) resetAllAttempts() {
	for range routing.DefaultAttempts {
		s.outcomes <- resetsConnection
	}
}

// hedgedCall is a mesh of two back ends with a call under way at the first of them.
type hedgedCall struct {
	*mesh
	first, second *steppedBackend
	// firstGate is the gate of the back end that runs the first attempt.
	firstGate *Proxy
	answers   chan callResult
}

// startHedgedCall starts a repeatable call and waits until it runs.
func startHedgedCall(t *testing.T, change func(*Config)) *hedgedCall {
	t.Helper()
	a, b := newSteppedBackend(), newSteppedBackend()
	started := &hedgedCall{answers: make(chan callResult, 1)}
	started.mesh = startMesh(t, meshOptions{changeCaller: func(config *Config) {
		config.OnSilent = func(protocol.NodeID) {} // enables hedging
		change(config)
	}}, a.spec("a"), b.spec("b"))
	go func() { started.answers <- started.call(t, "GET", "/", "") }()
	select {
	case <-a.entered:
		started.first, started.second, started.firstGate = a, b, started.gates[0]
	case <-b.entered:
		started.first, started.second, started.firstGate = b, a, started.gates[1]
	}
	return started
}

// silenceFirstGate marks the daemon of the first back end as unreachable at the caller's daemon.
func (h *hedgedCall) silenceFirstGate() {
	h.mesh.caller.SetReachable(h.firstGate.config.NodeID, false)
	h.mesh.caller.GiveUp(h.firstGate.config.NodeID)
}

// closeSecondGate has the second gate refuse all calls.
func (h *hedgedCall) closeSecondGate() {
	for _, gate := range h.gates {
		if gate != h.firstGate {
			gate.StartDrain()
			<-gate.Drained()
		}
	}
}

// awaitTimeout bounds the wait for an expected event.
const awaitTimeout = 5 * time.Second

// await receives one value from a channel.
func await[Thing any](t *testing.T, channel <-chan Thing, event string) Thing {
	t.Helper()
	select {
	case value := <-channel:
		return value
	case <-time.After(awaitTimeout):
		t.Fatal("timed out waiting for " + event)
		panic("unreachable")
	}
}

// noAnswerPeriod is how long a test waits for an answer that must not arrive; a wrong answer would
// arrive at once.
const noAnswerPeriod = 60 * time.Millisecond

// requireUnanswered fails the test if the caller gets an answer, or the first attempt is cancelled,
// within noAnswerPeriod.
func (h *hedgedCall) requireUnanswered(t *testing.T, moment string) {
	t.Helper()
	select {
	case got := <-h.answers:
		t.Fatalf("%s: the caller got %d %q while its call ran", moment, got.status, got.body)
	case <-h.first.cancelled:
		t.Fatalf("%s: the first attempt was cancelled", moment)
	case <-time.After(noAnswerPeriod):
	}
}

// A stopping daemon must not answer 502 for a call that a back end is still running. This happened
// if the gate's daemon missed two reachability probes, the caller's daemon cancelled the attempt
// there, and all other gates refused the next attempt. Attempts must not be cancelled shortly
// before the stop either, because the process receives its stop signal late. So a silent gate never
// ends an attempt: only its answer, its connection, its caller, its deadline or the drain's
// deadline does.
func TestCallIsNotFailedWhileHedgedAttemptRuns(t *testing.T) {
	secondOutcomes := map[string]failureKind{"breaks": resetsConnection, "is refused": succeeds}
	for name, outcome := range secondOutcomes {
		for _, moment := range []string{"never", "before the silence", "before the other ends", "after the other ended"} {
			t.Run("the other "+name+", stop "+moment, func(t *testing.T) { testNoCallFailed(t, outcome, moment) })
		}
	}
}

func testNoCallFailed(t *testing.T, outcome failureKind, stopMoment string) {
	check := is.New(t)
	hedged := startHedgedCall(t, func(*Config) {})
	stopAt := func(moment string) {
		if moment == stopMoment {
			hedged.caller.StartDrain()
		}
	}
	if outcome != resetsConnection {
		hedged.closeSecondGate()
	}
	stopAt("before the silence")
	hedged.silenceFirstGate()
	if outcome == resetsConnection {
		await(t, hedged.second.entered, "another attempt")
	}
	stopAt("before the other ends")
	if outcome == resetsConnection {
		hedged.second.resetAllAttempts()
	}
	hedged.requireUnanswered(t, "after the other attempt")
	stopAt("after the other ended")
	hedged.requireUnanswered(t, "after the stop")
	check.Equal(len(hedged.first.entered), 0) // only the first attempt keeps the call open
	check.Equal(len(hedged.caller.Counters().Abandoned), 0)
	hedged.first.outcomes <- succeeds
	got := await(t, hedged.answers, "an answer")
	check.Equal(got.status, http.StatusOK)
	check.Equal(len(got.body), 1)
}

// An error answer to the first attempt must not cancel the attempt at the second back end.
func TestFailureOfHedgedAttemptDoesNotEndSecondAttempt(t *testing.T) {
	check := is.New(t)
	hedged := startHedgedCall(t, func(*Config) {})
	hedged.silenceFirstGate()
	await(t, hedged.second.entered, "another attempt")
	hedged.first.outcomes <- respondsWithError
	select {
	case got := <-hedged.answers:
		t.Fatalf("the caller got %d while its call ran", got.status)
	case <-time.After(noAnswerPeriod):
	}
	hedged.second.outcomes <- succeeds
	check.Equal(await(t, hedged.answers, "an answer").status, http.StatusOK)
}

// A back end's error answer is delivered in preference to a refusal by the caller's daemon.
func TestBackEndFailureIsPreferredToOwnRefusal(t *testing.T) {
	check := is.New(t)
	hedged := startHedgedCall(t, func(config *Config) { config.Limits.CollectBytes = 1 << 10 })
	hedged.silenceFirstGate()
	await(t, hedged.second.entered, "another attempt")
	hedged.first.outcomes <- respondsWithError
	time.Sleep(noAnswerPeriod)
	hedged.second.resetAllAttempts()
	hedged.first.resetAllAttempts() // for further attempts at the first back end
	got := await(t, hedged.answers, "an answer")
	check.Equal(got.status, http.StatusInternalServerError)
	check.Equal(got.code(), "")
}

// If the first attempt's answer breaks off, the caller gets a complete refusal.
func TestTruncatedHedgedAnswerIsReplacedByRefusal(t *testing.T) {
	check := is.New(t)
	hedged := startHedgedCall(t, func(config *Config) { config.Limits.CollectBytes = 1 << 10 })
	hedged.closeSecondGate()
	hedged.caller.GiveUp(hedged.firstGate.config.NodeID)
	hedged.requireUnanswered(t, "after the other attempt")
	hedged.first.outcomes <- breaksMidAnswer
	got := await(t, hedged.answers, "an answer")
	check.True(!got.truncated)
	check.Equal(got.ran(), string(result.RanUnknown))
}

// If the hedged attempt ends last and is proved not to have run, the refusal must state that the
// call did not run, with the status 503.
func TestCallIsRefusedAsNotRunIfHedgedAttemptIsShedLast(t *testing.T) {
	check := is.New(t)
	hedged := startHedgedCall(t, func(*Config) {})
	hedged.closeSecondGate()
	hedged.silenceFirstGate()
	hedged.requireUnanswered(t, "after the other attempt")
	hedged.first.outcomes <- shedsCall
	got := await(t, hedged.answers, "an answer")
	check.Equal(got.ran(), string(result.RanNo))
	check.Equal(got.status, http.StatusServiceUnavailable)
}

// If the hedged attempt is proved not to have run, and then all other attempts are too, the refusal
// must state that the call did not run.
func TestCallIsRefusedAsNotRunIfHedgedAttemptIsShedFirst(t *testing.T) {
	check := is.New(t)
	hedged := startHedgedCall(t, func(*Config) {})
	hedged.silenceFirstGate()
	await(t, hedged.second.entered, "another attempt")
	hedged.first.outcomes <- shedsCall
	select {
	case got := <-hedged.answers:
		t.Fatalf("the caller got %d while its call ran", got.status)
	case <-time.After(noAnswerPeriod):
	}
	for range routing.DefaultAttempts {
		hedged.first.outcomes <- shedsCall // for further attempts
		hedged.second.outcomes <- shedsCall
	}
	got := await(t, hedged.answers, "an answer")
	check.Equal(got.ran(), string(result.RanNo))
}

// An error answer to the second attempt must not cancel the first one. The first back end still
// runs the call and succeeds.
func TestFailureOfSecondAttemptDoesNotEndHedgedAttempt(t *testing.T) {
	check := is.New(t)
	hedged := startHedgedCall(t, func(*Config) {})
	hedged.silenceFirstGate()
	await(t, hedged.second.entered, "another attempt")
	hedged.second.outcomes <- respondsWithError
	hedged.requireUnanswered(t, "after the other failed")
	hedged.first.outcomes <- succeeds
	check.Equal(await(t, hedged.answers, "an answer").status, http.StatusOK)
}

// The call waits for its first attempt and must not be sent to the same back end again.
func TestCallIsNotResentToHedgedEndpoint(t *testing.T) {
	check := is.New(t)
	hedged := startHedgedCall(t, func(*Config) {})
	hedged.silenceFirstGate()
	await(t, hedged.second.entered, "another attempt")
	hedged.second.resetAllAttempts()
	hedged.requireUnanswered(t, "after the other attempt")
	check.Equal(len(hedged.first.entered), 0) // no second run at the first back end
	hedged.first.outcomes <- succeeds
	check.Equal(await(t, hedged.answers, "an answer").status, http.StatusOK)
}

// A hedged attempt that stalls in the middle of its answer must not delay a complete answer of the
// other attempt.
func TestStalledHedgedAnswerDoesNotDelayCompleteAnswer(t *testing.T) {
	check := is.New(t)
	startedBackEnds := make(chan string, 9)
	writeHead := make(chan struct{})
	answerSecond := make(chan struct{})
	var first atomic.Pointer[string]
	spec := func(name string) backendSpec {
		return backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
			isFirst := first.CompareAndSwap(nil, &name)
			startedBackEnds <- name
			if !isFirst {
				<-answerSecond
				_, _ = io.WriteString(writer, name)
				return
			}
			<-writeHead
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
		gate.limits.CollectBytes = 0 // the gate must forward the partial answer, as if it then lost its connection
	}
	results := make(chan callResult, 1)
	go func() { results <- mesh.call(t, "GET", "/", "", "Springstack-Timeout-Ms", "2000") }()
	firstName := await(t, startedBackEnds, "a run")
	silent := mesh.gates[firstName[0]-'a'].config.NodeID
	mesh.caller.SetReachable(silent, false)
	mesh.caller.GiveUp(silent)
	await(t, startedBackEnds, "another attempt")
	close(writeHead)
	time.Sleep(noAnswerPeriod)
	close(answerSecond)
	select {
	case got := <-results:
		check.Equal(got.status, http.StatusOK)
	case <-time.After(500 * time.Millisecond):
		t.Fatal("no answer within 500 ms of a complete one: the call waits for the stalled answer")
	}
}
