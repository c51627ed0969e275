// Package hang tells a call that its back end will never answer from one that runs long. It
// weighs what the gate beside the back end sees: the age of the call against the service
// times of its class, answers to calls that were sent after it, and the back end's own count
// of what it holds. It does no input or output and reads no clock.
package hang

import "time"

const (
	// seenNeeded is how many calls of a class must have been answered before its longest
	// service time says anything: with fewer, one in twenty sound calls is longer.
	seenNeeded = 20
	// overtakenNeeded is how many calls that were sent later must have been answered: the
	// back end answers, and the call has not just met a pause of it.
	overtakenNeeded = 3
	// untoldFactor is by how much a call must exceed the longest service time where the back
	// end does not tell what it holds, so that age is the only evidence against it.
	untoldFactor = 2
)

// Evidence is what is known of one call that is under way.
type Evidence struct {
	// Age is how long ago the call was sent to the back end.
	Age time.Duration
	// Long is what few calls of its class take, and Longest the longest service time lately, of
	// Seen calls in all.
	Long    time.Duration
	Longest time.Duration
	Seen    int
	// Overtaken is how many calls that were sent after it have been answered.
	Overtaken int
	// Told says that the back end tells how many calls it holds, and Missing how many fewer
	// these are than are under way there.
	Told    bool
	Missing int
	// Rank is the place of the call among those under way, the one longest overdue being 1.
	Rank int
}

// Hangs tells whether the call is taken for one that is never answered. A back end that tells
// that it holds all calls works on this one as well, however long it takes. No call is
// ended for it: that only costs another attempt where one is allowed.
func (e Evidence) IsHung() bool {
	if e.Seen < seenNeeded || e.Overtaken < overtakenNeeded {
		return false
	}
	if !e.Told {
		return e.Age > untoldFactor*e.Longest
	}
	// That calls are missing is certain here. Which ones is likely those that are overdue; to
	// wait until it is certain leaves no time to answer them elsewhere within their target.
	return e.Rank <= e.Missing && e.Age > e.Long
}
