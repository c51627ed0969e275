// Package hang distinguishes calls that their back end will never answer from calls that take long.
// It uses what the gate next to the back end observes: the age of the call compared with the
// service times of its class, answers to calls that were sent later, and the back end's own count
// of the calls it holds. It performs no input or output and reads no clock.
package hang

import "time"

const (
	// minAnsweredCalls is the number of answered calls of a class below which no call of the class
	// is considered hung. With fewer, on average at least one in twenty healthy calls takes longer
	// than all answered calls.
	minAnsweredCalls = 20
	// minOvertaken is the number of calls of any class that must have been sent later than a call
	// and been answered. They show that the back end is answering, so the call is not merely
	// delayed by a pause of the whole back end.
	minOvertaken = 3
	// ageOnlyFactor is the multiple of the longest service time that the age of a call must exceed
	// if the back end does not report how many calls it holds.
	ageOnlyFactor = 2
)

// Evidence holds the observations about one call in flight.
type Evidence struct {
	// Age is the time since the call was sent to the back end.
	Age time.Duration
	// Long is the service time that few calls of the class exceed, and Longest the longest recent
	// one; Seen is the total number of answered calls of the class.
	Long    time.Duration
	Longest time.Duration
	Seen    int
	// Overtaken is the number of answered calls that were sent after this one.
	Overtaken int
	// Told is true if the back end reports the number of calls it holds, running or queued. Missing
	// is the number of calls in flight there minus that number.
	Told    bool
	Missing int
	// Rank is the position of the call among those in flight, starting at 1 for the one with the
	// highest ratio of its age to the mean service time of its class.
	Rank int
}

// IsHung reports whether the call is considered hung. A back end that reports holding all calls is
// still running this one, however long it takes. A call that is considered hung is not cancelled:
// the only cost of a wrong result is another attempt, if one is allowed.
func (e Evidence) IsHung() bool {
	if e.Seen < minAnsweredCalls || e.Overtaken < minOvertaken {
		return false
	}
	if !e.Told {
		return e.Age > ageOnlyFactor*e.Longest
	}
	// Missing calls are lost for certain, and they are probably the most overdue ones. Waiting
	// until it is certain which ones are lost would leave no time to run them elsewhere within
	// their latency target.
	return e.Rank <= e.Missing && e.Age > e.Long
}
