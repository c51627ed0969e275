package quarantine

import (
	"slices"
	"time"
)

// Belief is what a daemon believes of a request.
type Belief int

// The beliefs.
const (
	// Trusted requests are sent like any other.
	Trusted Belief = iota
	// Suspected ones run apart from each other.
	Suspected
	// Held ones are refused.
	Held
)

// beliefNames are the names of the beliefs in logs.
var beliefNames = map[Belief]string{Trusted: "trusted", Suspected: "suspected", Held: "held"}

// String names the belief.
func (b Belief) String() string { return beliefNames[b] }

// Rules say how many ends in a row hold a request. All daemons of a mesh need the same.
type Rules struct {
	// Ends is for a request that no daemon remembers a good answer to. The first end may be
	// of any request that ran there, and at a second one it may be by chance.
	Ends int
	// EndsFamiliar is for a request that was answered well before: it must have become
	// harmful since, which is rare, and it is often at work as others end back ends.
	EndsFamiliar int
	// EachByItself leaves out that one request explains ends that others were at work at. It
	// is for comparisons only.
	EachByItself bool
}

// DefaultRules hold a request after the fewest ends of those that held no harmless one on
// drawn days with harmful requests; docs/design/harmful-requests.md has the figures.
func DefaultRules() Rules { return Rules{Ends: 3, EndsFamiliar: 4} }

// The times of suspicions and holds.
const (
	// endLimit bounds the ends that are remembered of a request, and nameLimit the length
	// of an instance's name in bytes.
	endLimit  = 8
	nameLimit = 128
	// suspicionTime is how long a request is suspected after the last end under it. Who
	// comes again later than that ends one back end more.
	suspicionTime = 2 * time.Minute
	// firstHold is how long a request is held after the end that was enough for it. It may
	// still be harmless: then it was at work at ends of several causes. After that it is
	// suspected again, and its next try, which runs apart, settles it.
	firstHold = time.Minute
	// holdTime is how long it is held after one end more, and doubles with each further one
	// up to holdLimit.
	holdTime  = 10 * time.Minute
	holdLimit = 2 * time.Hour
	// holdMemory is how long a request that was held is suspected after that.
	holdMemory = time.Hour
)

// LongestMemory is the age at which a record counts no more, whatever it says.
const LongestMemory = holdLimit + holdMemory

// Record is what daemons tell each other of one request.
type Record struct {
	Signature Signature
	// Round counts the times that the request was cleared before. A later round replaces
	// an earlier one.
	Round uint32
	// Ends are the instances that have ended under it in this round, in ascending order.
	Ends []string
	// Familiar says that a back end had answered it well before the first of these ends.
	Familiar bool
	// Cleared says that a back end has answered it well since, or that an operator has
	// released it.
	Cleared bool
	// Age is how long ago the newest end was first heard of, when the record was sent.
	Age time.Duration
}

// valid tells whether a record of a peer can be true.
func (r Record) valid() bool {
	if r.Signature.Head == (Hash{}) || r.Age < 0 || r.Age > LongestMemory {
		return false
	}
	if len(r.Ends) == 0 || len(r.Ends) > endLimit {
		return false
	}
	return !slices.ContainsFunc(r.Ends, func(name string) bool { return name == "" || len(name) > nameLimit })
}

// endsNeeded is how many ends hold the request.
func (r Rules) endsNeeded(record *Record) int {
	if record.Familiar {
		return r.EndsFamiliar
	}
	return r.Ends
}

// isHarmful tells whether enough back ends have ended under the request.
func (r Rules) isHarmful(record *Record) bool {
	return !record.Cleared && len(record.Ends) >= r.endsNeeded(record)
}

// holdTime is how long the request is held after the newest end; 0 when it is not.
func (r Rules) holdTime(record *Record) time.Duration {
	if !r.isHarmful(record) {
		return 0
	}
	more := len(record.Ends) - r.endsNeeded(record)
	if more == 0 {
		return firstHold
	}
	return min(holdTime<<(more-1), holdLimit)
}

// lifeTime is how long after the newest end the record counts.
func (r Rules) lifeTime(record *Record) time.Duration {
	if r.isHarmful(record) {
		return r.holdTime(record) + holdMemory
	}
	return suspicionTime
}

// entry is a record as a table holds it.
type entry struct {
	rules  Rules
	record Record
	// endedAt is when the newest end was first heard of by anybody, on the own clock.
	endedAt time.Duration
}

func (e *entry) expired(now time.Duration) bool { return now >= e.endedAt+e.rules.lifeTime(&e.record) }
