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
type ending int

const (
	endsWell ending = iota
	endsWithFailure
	endsByReset
	// endsMidway resets the connection after a part of the answer.
	endsMidway
	// endsUnbegun sheds the call: the back end says that it has not begun it.
	endsUnbegun
)

// stepped is a back end whose runs end as the test says.
type stepped struct {
	entered   chan struct{}
	ends      chan ending
	cancelled chan struct{}
}

func newStepped() *stepped {
	return &stepped{entered: make(chan struct{}, 9), ends: make(chan ending, 9), cancelled: make(chan struct{}, 9)}
}

func (s *stepped) spec(name string) backendSpec {
	return backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		s.entered <- struct{}{}
		select {
		case how := <-s.ends:
			end(writer, how, name)
		case <-request.Context().Done():
			s.cancelled <- struct{}{}
		}
	}}
}

func end(writer http.ResponseWriter, how ending, name string) {
	switch how {
	case endsWell:
		_, _ = io.WriteString(writer, name)
	case endsWithFailure:
		writer.WriteHeader(http.StatusInternalServerError)
	case endsUnbegun:
		writer.Header().Set(headerBackendRan, string(result.RanNo))
		writer.WriteHeader(http.StatusServiceUnavailable)
	case endsMidway:
		writer.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(writer, "part")
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

// breakAll breaks the runs of all attempts that a call may make.
func (s *stepped) breakAll() {
	for range routing.DefaultAttempts {
		s.ends <- endsByReset
	}
}

// hedging is a mesh of two back ends with a call under way at one of them.
type hedging struct {
	*mesh
	first, second *stepped
	// silent is the gate of the first.
	silent  *Proxy
	answers chan answered
}

// startHedging starts a repeatable call and waits until it runs.
func startHedging(t *testing.T, change func(*Config)) *hedging {
	t.Helper()
	one, other := newStepped(), newStepped()
	made := &hedging{answers: make(chan answered, 1)}
	made.mesh = startMesh(t, meshOptions{caller: func(config *Config) {
		config.OnSilent = func(protocol.NodeID) {} // calls may be hedged
		change(config)
	}}, one.spec("a"), other.spec("b"))
	go func() { made.answers <- made.call(t, "GET", "/", "") }()
	select {
	case <-one.entered:
		made.first, made.second, made.silent = one, other, made.gates[0]
	case <-other.entered:
		made.first, made.second, made.silent = other, one, made.gates[1]
	}
	return made
}

// fallSilent tells the caller's side that the daemon of the first does not answer.
func (o *hedging) fallSilent() {
	o.mesh.caller.SetReachable(o.silent.config.NodeID, false)
	o.mesh.caller.GiveUp(o.silent.config.NodeID)
}

// closeOther has the other gate refuse all calls.
func (o *hedging) closeOther() {
	for _, gate := range o.gates {
		if gate != o.silent {
			gate.StartDrain()
			<-gate.Drained()
		}
	}
}

// awaitLimit bounds the waits for what must come.
const awaitLimit = 5 * time.Second

// await waits for one thing on a channel.
func await[Thing any](t *testing.T, from <-chan Thing, what string) Thing {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(awaitLimit):
		t.Fatal("never: " + what)
		panic("unreachable")
	}
}

// settleTime is how long a wrong answer, which comes at once, is waited for.
const settleTime = 60 * time.Millisecond

// stayOpen fails when the caller is answered while the first attempt runs.
func (o *hedging) stayOpen(t *testing.T, when string) {
	t.Helper()
	select {
	case got := <-o.answers:
		t.Fatalf("%s: the caller got %d %q while its call ran", when, got.status, got.body)
	case <-o.first.cancelled:
		t.Fatalf("%s: the run was cut", when)
	case <-time.After(settleTime):
	}
}

// A daemon that was told to stop once cut a request which a back end was working on, and
// answered it with 502 in its own name. The daemon beside that back end had been slow to
// answer two questions, so the attempt there was broken off and another one made, which
// all others refused. That nothing is broken off by a daemon that stops did not help: the
// process learnt of its stop a moment after. So an attempt that was sent ends by its own
// answer or connection, its caller, its time or the drain's hard bound, at any moment
// around a stop, and never because its daemon is silent.
func TestNoCallIsFailedWhileAnAttemptIsUnderWay(t *testing.T) {
	ends := map[string]ending{"breaks": endsByReset, "is refused": endsWell}
	for name, how := range ends {
		for _, moment := range []string{"never", "before the silence", "before the other ends", "after the other ended"} {
			t.Run("the other "+name+", stop "+moment, func(t *testing.T) { failsNoCallUnderWay(t, how, moment) })
		}
	}
}

func failsNoCallUnderWay(t *testing.T, how ending, stop string) {
	check := is.New(t)
	mesh := startHedging(t, func(*Config) {})
	stopAt := func(moment string) {
		if moment == stop {
			mesh.caller.StartDrain()
		}
	}
	if how != endsByReset {
		mesh.closeOther()
	}
	stopAt("before the silence")
	mesh.fallSilent()
	if how == endsByReset {
		await(t, mesh.second.entered, "another attempt")
	}
	stopAt("before the other ends")
	if how == endsByReset {
		mesh.second.breakAll()
	}
	mesh.stayOpen(t, "after the other attempt")
	stopAt("after the other ended")
	mesh.stayOpen(t, "after the stop")
	check.Equal(len(mesh.first.entered), 0) // what keeps the call open is its first attempt alone
	check.Equal(len(mesh.caller.Counters().Abandoned), 0)
	mesh.first.ends <- endsWell
	got := await(t, mesh.answers, "an answer")
	check.Equal(got.status, http.StatusOK)
	check.Equal(len(got.body), 1)
}

// A failure that the first back end answers does not end the attempt that runs at the
// other one.
func TestAFailureOfTheFirstDoesNotCutTheOther(t *testing.T) {
	check := is.New(t)
	mesh := startHedging(t, func(*Config) {})
	mesh.fallSilent()
	await(t, mesh.second.entered, "another attempt")
	mesh.first.ends <- endsWithFailure
	select {
	case got := <-mesh.answers:
		t.Fatalf("the caller got %d while its call ran", got.status)
	case <-time.After(settleTime):
	}
	mesh.second.ends <- endsWell
	check.Equal(await(t, mesh.answers, "an answer").status, http.StatusOK)
}

// A back end's own answer of failure is delivered rather than a failure of our own.
func TestAFailureOfABackEndGoesBeforeOneOfOurOwn(t *testing.T) {
	check := is.New(t)
	mesh := startHedging(t, func(config *Config) { config.Limits.CollectBytes = 1 << 10 })
	mesh.fallSilent()
	await(t, mesh.second.entered, "another attempt")
	mesh.first.ends <- endsWithFailure
	time.Sleep(settleTime)
	mesh.second.breakAll()
	mesh.first.breakAll() // further attempts
	got := await(t, mesh.answers, "an answer")
	check.Equal(got.status, http.StatusInternalServerError)
	check.Equal(got.code(), "")
}

// An answer of the first that breaks off leaves the caller with a whole answer of our own.
func TestABrokenLateAnswerIsAnsweredForWhole(t *testing.T) {
	check := is.New(t)
	mesh := startHedging(t, func(config *Config) { config.Limits.CollectBytes = 1 << 10 })
	mesh.closeOther()
	mesh.caller.GiveUp(mesh.silent.config.NodeID)
	mesh.stayOpen(t, "after the other attempt")
	mesh.first.ends <- endsMidway
	got := await(t, mesh.answers, "an answer")
	check.True(!got.cut)
	check.Equal(got.ran(), string(result.RanUnknown))
}

// A hedged attempt that is proved not to have run leaves no doubt: its caller is told that
// nothing ran, and with a status that says so.
func TestAHedgedCallThatRanNowhereIsToldSo(t *testing.T) {
	check := is.New(t)
	mesh := startHedging(t, func(*Config) {})
	mesh.closeOther()
	mesh.fallSilent()
	mesh.stayOpen(t, "after the other attempt")
	mesh.first.ends <- endsUnbegun
	got := await(t, mesh.answers, "an answer")
	check.Equal(got.ran(), string(result.RanNo))
	check.Equal(got.status, http.StatusServiceUnavailable)
}

// The same where the proof comes first.
func TestAHedgedCallThatIsLaterRefusedElsewhereIsToldThatItRanNowhere(t *testing.T) {
	check := is.New(t)
	mesh := startHedging(t, func(*Config) {})
	mesh.fallSilent()
	await(t, mesh.second.entered, "another attempt")
	mesh.first.ends <- endsUnbegun
	select {
	case got := <-mesh.answers:
		t.Fatalf("the caller got %d while its call ran", got.status)
	case <-time.After(settleTime):
	}
	for range routing.DefaultAttempts {
		mesh.first.ends <- endsUnbegun // further attempts
		mesh.second.ends <- endsUnbegun
	}
	got := await(t, mesh.answers, "an answer")
	check.Equal(got.ran(), string(result.RanNo))
}

// A suspicion takes no attempt away, whatever the other attempt ends with: the first back
// end is at work, and its answer is of success.
func TestAFailureOfTheOtherDoesNotCutTheFirst(t *testing.T) {
	check := is.New(t)
	mesh := startHedging(t, func(*Config) {})
	mesh.fallSilent()
	await(t, mesh.second.entered, "another attempt")
	mesh.second.ends <- endsWithFailure
	mesh.stayOpen(t, "after the other failed")
	mesh.first.ends <- endsWell
	check.Equal(await(t, mesh.answers, "an answer").status, http.StatusOK)
}

// The attempt that is waited for is the first one, and not a second one at the same place.
func TestNoCallIsSentAgainToWhereItRuns(t *testing.T) {
	check := is.New(t)
	mesh := startHedging(t, func(*Config) {})
	mesh.fallSilent()
	await(t, mesh.second.entered, "another attempt")
	mesh.second.breakAll()
	mesh.stayOpen(t, "after the other attempt")
	check.Equal(len(mesh.first.entered), 0) // a second run where the first one is at work
	mesh.first.ends <- endsWell
	check.Equal(await(t, mesh.answers, "an answer").status, http.StatusOK)
}

// A hedged attempt whose answer stops midway holds no answer up that is whole.
func TestALateAnswerThatStopsMidwayHoldsNothingUp(t *testing.T) {
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
	mesh := startMesh(t, meshOptions{limits: limits, caller: func(config *Config) {
		config.OnSilent = func(protocol.NodeID) {}
	}}, spec("a"), spec("b"))
	for _, gate := range mesh.gates {
		gate.limits.CollectBytes = 0 // the gate's machine is cut off midway
	}
	got := make(chan answered, 1)
	go func() { got <- mesh.call(t, "GET", "/", "", "Springstack-Timeout-Ms", "2000") }()
	name := await(t, began, "a run")
	silent := mesh.gates[name[0]-'a'].config.NodeID
	mesh.caller.SetReachable(silent, false)
	mesh.caller.GiveUp(silent)
	await(t, began, "another attempt")
	close(head)
	time.Sleep(settleTime)
	close(finish)
	select {
	case one := <-got:
		check.Equal(one.status, http.StatusOK)
	case <-time.After(500 * time.Millisecond):
		t.Fatal("a whole answer has been there for 500 ms; the call waits for the rest of the other one")
	}
}
