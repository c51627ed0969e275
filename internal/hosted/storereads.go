package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/roundtrip"
	"github.com/springstack/springstack/internal/result"
)

// hedgedReads holds the state for hedging read calls to the store: a call that gets no answer for
// some time is made again over a new connection. It is safe for concurrent use.
type hedgedReads struct {
	clock   func() time.Duration
	running *sync.WaitGroup
	// calls counts the calls; the two attempts of a hedged read count as two.
	calls *storeCalls
	// renewConnections makes later calls to the store use new connections. It is nil if the
	// platform's adapter can't do so; reads are then not hedged.
	renewConnections func()
	// onDeadConnection is called when a connection was found dead. opened is a time at which the
	// connection was already open.
	onDeadConnection func(opened time.Duration)
	// answerTimes estimates how long the store takes to answer.
	answerTimes roundtrip.Estimator
	// storeFailing is set while the store answers no calls, not even over new connections.
	storeFailing atomic.Bool
}

// storeAnswer is the outcome of a call to the store.
type storeAnswer[Value any] struct {
	value Value
	err   error
}

// readStore makes a read call to the store with a timeout. If there is no answer within the usual
// time (see silenceTimeout), it makes the call once more over a new connection, and returns the first
// answer. It makes only one call while the store answers none.
func readStore[Value any](
	s *hedgedReads, parent context.Context, purpose storePurpose, timeout time.Duration, call func(context.Context) (Value, error),
) (Value, error) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	began := s.clock()
	first := startRead(s, ctx, purpose, call)
	silenceTimer := time.NewTimer(silenceTimeout(&s.answerTimes))
	defer silenceTimer.Stop()
	select {
	case answer := <-first:
		cancel()
		return answer.value, s.recordOutcome(began, answer.err)
	case <-silenceTimer.C:
	}
	if s.renewConnections == nil || s.storeFailing.Load() {
		answer := <-first
		cancel()
		return answer.value, s.recordOutcome(began, answer.err)
	}
	s.renewConnections()
	answer, bySecond := awaitEitherRead(first, startRead(s, ctx, purpose, call))
	if !bySecond {
		cancel()
		return answer.value, s.recordOutcome(began, answer.err)
	}
	s.storeFailing.Store(false)
	s.running.Go(func() {
		defer cancel()
		reportIfDead(s, ctx, first, began)
	})
	return answer.value, answer.err
}

// reportIfDead is called when the second call of a hedged read has been answered. It reports the
// connection of the first call as dead if that call does not end within oldConnectionGrace.
func reportIfDead[Value any](s *hedgedReads, ctx context.Context, first <-chan storeAnswer[Value], began time.Duration) {
	graceTimer := time.NewTimer(oldConnectionGrace)
	defer graceTimer.Stop()
	select {
	case <-first:
	case <-ctx.Done():
	case <-graceTimer.C:
		s.onDeadConnection(began)
	}
}

// startRead starts a call and returns a channel that receives its outcome.
func startRead[Value any](
	s *hedgedReads, ctx context.Context, purpose storePurpose, call func(context.Context) (Value, error),
) <-chan storeAnswer[Value] {
	answer := make(chan storeAnswer[Value], 1)
	s.running.Go(func() {
		value, err := call(ctx)
		s.calls.recordError(purpose, err)
		answer <- storeAnswer[Value]{value, err}
	})
	return answer
}

// awaitEitherRead waits for the first answer of two calls, and reports whether it is that of the
// second call. If the second call fails, it waits for the first one, because the failure of the
// second says nothing about the first.
func awaitEitherRead[Value any](first, second <-chan storeAnswer[Value]) (answer storeAnswer[Value], bySecond bool) {
	select {
	case answer = <-first:
		return answer, false
	case answer = <-second:
	}
	if isStoreAvailable(answer.err) {
		return answer, true
	}
	return <-first, false
}

// recordOutcome records whether the store has answered a call that began at a given time, and how
// long it took. It returns the call's error.
func (s *hedgedReads) recordOutcome(began time.Duration, err error) error {
	s.storeFailing.Store(!isStoreAvailable(err))
	if isStoreAvailable(err) {
		s.answerTimes.Observe(s.clock() - began)
	}
	return err
}

// isStoreAvailable reports whether the error of a call, which may be nil, shows that the store
// answered it and works.
func isStoreAvailable(err error) bool {
	switch codeOf(err) {
	case result.PlatformUnknown, result.PlatformUnavailable, result.PlatformTooManyReaders:
		return false
	}
	return true
}
