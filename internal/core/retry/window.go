package retry

import (
	"sync/atomic"
	"time"
)

// windowSlots is how many parts a window is counted in. The more, the less a sum
// errs at its edges.
const windowSlots = 10

// window sums up amounts of the last span of time. It takes no lock. The zero
// value is empty.
type window struct {
	// slots are the parts in turn; one more than a span has, for the part that has
	// just begun. Each holds the number of its part since the clock's start in the
	// upper half and the amount in the lower half.
	slots [windowSlots + 1]atomic.Uint64
}

// amountBits is the width of a slot's amount.
const amountBits = 32

const amountMask = 1<<amountBits - 1

// part is the number of the part that a time lies in.
func part(now, span time.Duration) uint64 { return uint64(now / (span / windowSlots)) }

// add counts an amount, which may be negative to take back what was added in the
// same part; see takeBack.
func (w *window) add(now, span time.Duration, amount int64) {
	number := part(now, span)
	slot := &w.slots[number%uint64(len(w.slots))]
	for {
		held := slot.Load()
		sum := amount
		if held>>amountBits == number&amountMask {
			sum += int64(held & amountMask)
		}
		next := number<<amountBits | uint64(min(max(sum, 0), amountMask))
		if slot.CompareAndSwap(held, next) {
			return
		}
	}
}

// takeBack takes back what was added at an earlier time. Once that time's part has left
// the window there is nothing to take back.
func (w *window) takeBack(addedAt, span time.Duration, amount int64) {
	number := part(addedAt, span)
	slot := &w.slots[number%uint64(len(w.slots))]
	for {
		held := slot.Load()
		if held>>amountBits != number&amountMask {
			return
		}
		left := max(int64(held&amountMask)-amount, 0)
		if slot.CompareAndSwap(held, number<<amountBits|uint64(left)) {
			return
		}
	}
}

// sum is what was added in the present part and a number of parts before it.
func (w *window) sum(now, span time.Duration, before uint64) int64 {
	number := part(now, span)
	total := int64(0)
	for index := range w.slots {
		held := w.slots[index].Load()
		// The difference is taken in the width of a slot's number, so that a part
		// of the future, of a reader that was late, counts as old.
		if age := (number - held>>amountBits) & amountMask; age <= before {
			total += int64(held & amountMask)
		}
	}
	return total
}

// upperBound is what was added in the last span or somewhat more: the part in which it
// began counts whole.
func (w *window) upperBound(now, span time.Duration) int64 { return w.sum(now, span, windowSlots) }

// lowerBound is the same or somewhat less: the part in which the span began is left out.
func (w *window) lowerBound(now, span time.Duration) int64 { return w.sum(now, span, windowSlots-1) }
