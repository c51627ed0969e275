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

// scriptedReads makes the calls of a test; each answers after its time, in order.
type scriptedReads struct {
	hedgedReads
	answerDelays []time.Duration
	callCount    atomic.Int64
	renewals     int
	deadReports  atomic.Int64
}

func newScriptedReads(waits ...time.Duration) *scriptedReads {
	made := &scriptedReads{answerDelays: waits}
	began := time.Now()
	made.clock = func() time.Duration { return time.Since(began) }
	made.running = &sync.WaitGroup{}
	made.calls = &storeCalls{}
	made.renewConnections = func() { made.renewals++ }
	made.onDeadConnection = func(time.Duration) { made.deadReports.Add(1) }
	return made
}

// read makes one reading call, and tells by which try it was answered.
func (s *scriptedReads) read(t *testing.T) (try int64, err error) {
	return readStore(&s.hedgedReads, t.Context(), purposePoll, storeReadTimeout, func(ctx context.Context) (int64, error) {
		try := s.callCount.Add(1)
		select {
		case <-time.After(s.answerDelays[try-1]):
			return try, nil
		case <-ctx.Done():
			return 0, result.New(result.PlatformUnknown, "no answer")
		}
	})
}

// A read whose connection says nothing is answered over a new one, and the old one is dead.
func TestReadOverDeadConnectionIsHedgedOverNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		reads := newScriptedReads(time.Hour, time.Millisecond)
		try, err := reads.read(t)
		check.NoErr(err)
		check.Equal(try, int64(2))
		check.Equal(reads.clock(), minSilence+time.Millisecond)
		reads.running.Wait()
		check.Equal(reads.renewals, 1)
		check.Equal(reads.deadReports.Load(), int64(1))
	})
}

// A store that stood still answers over both connections; neither is dead.
func TestSlowStoreIsNotReportedAsDeadConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		reads := newScriptedReads(minSilence+20*time.Millisecond, 10*time.Millisecond)
		_, err := reads.read(t)
		check.NoErr(err)
		reads.running.Wait()
		check.Equal(reads.deadReports.Load(), int64(0))
	})
}

// While the store answers nothing, each read is one call.
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
		check.Equal(reads.deadReports.Load(), int64(0))
	})
}
