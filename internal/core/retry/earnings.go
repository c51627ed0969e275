package retry

import (
	"sync/atomic"
	"time"
)

// earnings sums up what calls have added to a budget lately, in two halves of a
// window. It takes no lock: an addition that meets the turn of a half may be
// counted in either or be lost, which allows less.
type earnings struct {
	// half is the length of a half window; 0 counts nothing.
	half time.Duration
	// turn is the number of the present half since the clock's start.
	turn    atomic.Int64
	present atomic.Int64
	before  atomic.Int64
}

// add counts an amount.
func (e *earnings) add(now time.Duration, amount int64) {
	if e.half == 0 {
		return
	}
	e.advance(now)
	e.present.Add(amount)
}

// recent is what was added in the present half and the one before it.
func (e *earnings) recent(now time.Duration) int64 {
	if e.half == 0 {
		return 0
	}
	e.advance(now)
	return e.present.Load() + e.before.Load()
}

// advance turns to the half that a time lies in.
func (e *earnings) advance(now time.Duration) {
	turn := int64(now / e.half)
	known := e.turn.Load()
	if turn <= known || !e.turn.CompareAndSwap(known, turn) {
		return
	}
	ended := e.present.Swap(0)
	if turn > known+1 {
		ended = 0 // nothing came in the half before
	}
	e.before.Store(ended)
}
