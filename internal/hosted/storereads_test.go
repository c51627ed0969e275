package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/result"
)

// scriptedReads makes read calls to a simulated store that answers each call after a given delay.
type scriptedReads struct {
	hedgedReads
	answerDelays          []time.Duration
	callCount             atomic.Int64
	renewals              int
	deadConnectionReports atomic.Int64
}

func newScriptedReads(delays ...time.Duration) *scriptedReads {
	reads := &scriptedReads{answerDelays: delays}
	began := time.Now()
	reads.clock = func() time.Duration { return time.Since(began) }
	reads.running = &sync.WaitGroup{}
	reads.calls = &storeCalls{}
	reads.renewConnections = func() { reads.renewals++ }
	reads.onDeadConnection = func(time.Duration) { reads.deadConnectionReports.Add(1) }
	return reads
}

// read makes one hedged read and returns the number of the call that answered it, counted from 1.
func (s *scriptedReads) read(t *testing.T) (callNumber int64, err error) {
	return readStore(&s.hedgedReads, t.Context(), purposePoll, storeReadTimeout, func(ctx context.Context) (int64, error) {
		callNumber := s.callCount.Add(1)
		select {
		case <-time.After(s.answerDelays[callNumber-1]):
			return callNumber, nil
		case <-ctx.Done():
			return 0, result.New(result.PlatformUnknown, "no answer")
		}
	})
}

// A read that gets no answer is made again over a new connection, and the old one is reported dead.
func TestReadOverDeadConnectionIsHedgedOverNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		reads := newScriptedReads(time.Hour, time.Millisecond)
		callNumber, err := reads.read(t)
		check.NoErr(err)
		check.Equal(callNumber, int64(2))
		check.Equal(reads.clock(), minSilence+time.Millisecond)
		reads.running.Wait()
		check.Equal(reads.renewals, 1)
		check.Equal(reads.deadConnectionReports.Load(), int64(1))
	})
}

// A store that was only stalled answers over both connections, so none is reported dead.
func TestSlowStoreIsNotReportedAsDeadConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		reads := newScriptedReads(minSilence+20*time.Millisecond, 10*time.Millisecond)
		_, err := reads.read(t)
		check.NoErr(err)
		reads.running.Wait()
		check.Equal(reads.deadConnectionReports.Load(), int64(0))
	})
}

// After a read that the store did not answer, the next read makes only one call.
func TestReadIsNotHedgedWhileStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		reads := newScriptedReads(time.Hour, time.Hour, time.Hour)
		_, err := reads.read(t)
		check.True(err != nil)
		check.Equal(reads.callCount.Load(), int64(2))
		_, err = reads.read(t)
		check.True(err != nil)
		check.Equal(reads.callCount.Load(), int64(3))
		reads.running.Wait()
		check.Equal(reads.deadConnectionReports.Load(), int64(0))
	})
}
