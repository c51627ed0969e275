package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/roundtrip"
	"github.com/springstack/springstack/internal/result"
)

// storeReads has reading calls to the store made once more, over new connections, when the
// connection says nothing. It may be used by several goroutines.
type hedgedReads struct {
	clock   func() time.Duration
	running *sync.WaitGroup
	// calls counts the calls, each try by itself.
	calls *storeCalls
	// renew has calls to the store made over new connections from now on; nil where there is no
	// telling them apart.
	renewConnections func()
	// dead is told of a connection that was found dead, with a time at which it stood.
	onDeadConnection func(opened time.Duration)
	// answers estimates how long answers take.
	answerTimes roundtrip.Estimator
	// failing is set while the store answers nothing, also over new connections.
	storeFailing atomic.Bool
}

// storeAnswer is the outcome of a call to the store.
type storeAnswer[Value any] struct {
	value Value
	err   error
}

// readStore makes a reading call to the store for a purpose, within a bound. Where its connection says nothing for
// long, the call is made once more over a new one, and the first answer counts.
func readStore[Value any](
	s *hedgedReads, parent context.Context, purpose storePurpose, bound time.Duration, call func(context.Context) (Value, error),
) (Value, error) {
	ctx, cancel := context.WithTimeout(parent, bound)
	began := s.clock()
	first := startRead(s, ctx, purpose, call)
	silence := time.NewTimer(silenceTimeout(&s.answerTimes))
	defer silence.Stop()
	select {
	case got := <-first:
		cancel()
		return got.value, s.recordOutcome(began, got.err)
	case <-silence.C:
	}
	if s.renewConnections == nil || s.storeFailing.Load() {
		got := <-first
		cancel()
		return got.value, s.recordOutcome(began, got.err)
	}
	s.renewConnections()
	got, bySecond := awaitEitherRead(first, startRead(s, ctx, purpose, call))
	if !bySecond {
		cancel()
		return got.value, s.recordOutcome(began, got.err)
	}
	s.storeFailing.Store(false)
	s.running.Go(func() {
		defer cancel()
		reportIfDead(s, ctx, first, began)
	})
	return got.value, got.err
}

// judgeFirst finds out whether the connection of a first call is dead, once the second call has been
// answered.
func reportIfDead[Value any](s *hedgedReads, ctx context.Context, first <-chan storeAnswer[Value], began time.Duration) {
	late := time.NewTimer(oldConnectionGrace)
	defer late.Stop()
	select {
	case <-first:
	case <-ctx.Done():
	case <-late.C:
		s.onDeadConnection(began)
	}
}

// startRead begins a call.
func startRead[Value any](
	s *hedgedReads, ctx context.Context, purpose storePurpose, call func(context.Context) (Value, error),
) <-chan storeAnswer[Value] {
	answered := make(chan storeAnswer[Value], 1)
	s.running.Go(func() {
		value, err := call(ctx)
		s.calls.recordError(purpose, err)
		answered <- storeAnswer[Value]{value, err}
	})
	return answered
}

// eitherRead waits for the first answer of two calls, and tells whether it is that of the second.
// A failure of the second tells nothing of the first.
func awaitEitherRead[Value any](first, second <-chan storeAnswer[Value]) (got storeAnswer[Value], bySecond bool) {
	select {
	case got = <-first:
		return got, false
	case got = <-second:
	}
	if isStoreAvailable(got.err) {
		return got, true
	}
	return <-first, false
}

// note keeps what a call's end tells of the store, and returns its error.
func (s *hedgedReads) recordOutcome(began time.Duration, err error) error {
	s.storeFailing.Store(!isStoreAvailable(err))
	if isStoreAvailable(err) {
		s.answerTimes.Observe(s.clock() - began)
	}
	return err
}

// storeAnswered tells whether a call was answered by a store that is in order.
func isStoreAvailable(err error) bool {
	switch codeOf(err) {
	case result.PlatformUnknown, result.PlatformUnavailable, result.PlatformTooManyReaders:
		return false
	}
	return true
}
