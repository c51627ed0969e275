package retry

import (
	"sync/atomic"
	"time"
)

// windowSlots is the number of slots of a window. More slots make the sums more accurate
// at the window's edges.
const windowSlots = 10

// window sums amounts over a sliding time window. It is lock-free. The zero value is
// empty.
type window struct {
	// slots is a ring with one slot more than a window has, for the interval that has
	// just begun. Each slot holds its interval number, counted from time 0, in the upper
	// half and the amount in the lower half.
	slots [windowSlots + 1]atomic.Uint64
}

// amountBits is the width of a slot's amount in bits.
const amountBits = 32

// amountMask selects the amount of a slot.
const amountMask = 1<<amountBits - 1

// intervalOf returns the number of the interval that contains a time.
func intervalOf(now, span time.Duration) uint64 { return uint64(now / (span / windowSlots)) }

// add adds an amount. A negative amount reverses one that was added in the same interval;
// see subtract for earlier ones.
func (w *window) add(now, span time.Duration, amount int64) {
	interval := intervalOf(now, span)
	slot := &w.slots[interval%uint64(len(w.slots))]
	for {
		current := slot.Load()
		sum := amount
		if current>>amountBits == interval&amountMask {
			sum += int64(current & amountMask)
		}
		next := interval<<amountBits | uint64(min(max(sum, 0), amountMask))
		if slot.CompareAndSwap(current, next) {
			return
		}
	}
}

// subtract subtracts an amount that was added at an earlier time. It does nothing once
// that time's slot has been reused.
func (w *window) subtract(addedAt, span time.Duration, amount int64) {
	interval := intervalOf(addedAt, span)
	slot := &w.slots[interval%uint64(len(w.slots))]
	for {
		current := slot.Load()
		if current>>amountBits != interval&amountMask {
			return
		}
		remainingAmount := max(int64(current&amountMask)-amount, 0)
		if slot.CompareAndSwap(current, interval<<amountBits|uint64(remainingAmount)) {
			return
		}
	}
}

// sum returns the total of the current interval and a number of earlier intervals.
func (w *window) sum(now, span time.Duration, earlierIntervals uint64) int64 {
	interval := intervalOf(now, span)
	total := int64(0)
	for index := range w.slots {
		current := w.slots[index].Load()
		// Masking the difference to the width of a slot's interval number makes an
		// interval later than now, which a delayed reader may see, count as old.
		if age := (interval - current>>amountBits) & amountMask; age <= earlierIntervals {
			total += int64(current & amountMask)
		}
	}
	return total
}

// upperBound returns a total that is at least the true one of the last span: the interval
// in which the span began counts in full.
func (w *window) upperBound(now, span time.Duration) int64 { return w.sum(now, span, windowSlots) }

// lowerBound returns a total that is at most the true one of the last span: the interval
// in which the span began is excluded.
func (w *window) lowerBound(now, span time.Duration) int64 { return w.sum(now, span, windowSlots-1) }
