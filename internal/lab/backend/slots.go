package backend

import "time"

// CancelNotice is how long a back end may take to notice that a call was
// cancelled by the closing of its connection.
const CancelNotice = 250 * time.Millisecond

// StartsBeyondSlots counts the runs that started while all slots were truly
// taken. A running call that ends without completing within CancelNotice of
// the start is taken as cancelled before: the gate has freed its slot and the
// back end had only not noticed yet.
func StartsBeyondSlots(runs []Run, slots int) int {
	beyond := 0
	var active []Run
	for _, started := range runs {
		active = stillRunning(active, started.Start)
		held := 0
		for _, running := range active {
			if !cancelledBy(running, started.Start+CancelNotice) {
				held++
			}
		}
		if held >= slots {
			beyond++
		}
		active = append(active, started)
	}
	return beyond
}

// stillRunning keeps the runs that have not ended at a time.
func stillRunning(active []Run, at time.Duration) []Run {
	kept := active[:0]
	for _, run := range active {
		if !run.Ended || run.End > at {
			kept = append(kept, run)
		}
	}
	return kept
}

// cancelledBy tells whether a run had ended without completing by a time.
func cancelledBy(run Run, at time.Duration) bool {
	return run.Ended && !run.Completed && run.End <= at
}
