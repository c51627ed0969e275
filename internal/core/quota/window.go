package quota

import "time"

// windowSlots is the number of slots of a window of leases.
const windowSlots = 25

// leaseWindow sums the leases of a sliding window. It is not safe for concurrent use.
type leaseWindow struct {
	slotLength time.Duration
	// slots is a ring; intervals holds the number of the interval that each slot sums.
	slots     [windowSlots + 1]float64
	intervals [windowSlots + 1]int64
}

func newLeaseWindow(length time.Duration) leaseWindow {
	return leaseWindow{slotLength: max(length/windowSlots, time.Millisecond)}
}

// add adds a lease.
func (w *leaseWindow) add(now time.Duration, tokens float64) {
	interval := int64(now / w.slotLength)
	index := interval % int64(len(w.slots))
	if w.intervals[index] != interval {
		w.slots[index], w.intervals[index] = 0, interval
	}
	w.slots[index] += tokens
}

// sum returns the leases of the window that ends now. The interval in which the window began counts
// in full.
func (w *leaseWindow) sum(now time.Duration) float64 {
	interval := int64(now / w.slotLength)
	total := 0.0
	for index, tokens := range w.slots {
		if interval-w.intervals[index] <= windowSlots {
			total += tokens
		}
	}
	return total
}
