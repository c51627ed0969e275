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

// The rules by which a request is held.
const (
	// endsToHold is how many ends in a row hold a request that no daemon remembers a good
	// answer to. The first one may be of any request that ran there; the second one is of a
	// request that ran apart.
	endsToHold = 2
	// endsToHoldFamiliar is the same for a request that was answered well before: it must
	// have become harmful since, which is rare, and it is often at work as others end
	// back ends.
	endsToHoldFamiliar = 4
	// endLimit bounds the ends that are remembered of a request, and nameLimit the length
	// of an instance's name in bytes.
	endLimit  = 8
	nameLimit = 128
	// suspicionTime is how long a request is suspected after the last end under it. Who
	// comes again later than that ends one back end more.
	suspicionTime = 2 * time.Minute
	// holdTime is how long a request is held after the end that was enough for it, and
	// doubles with each further one up to holdLimit. Then it is suspected again: its next
	// try runs apart and settles it.
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
func (r Record) endsNeeded() int {
	if r.Familiar {
		return endsToHoldFamiliar
	}
	return endsToHold
}

// isHarmful tells whether enough back ends have ended under the request.
func (r Record) isHarmful() bool { return !r.Cleared && len(r.Ends) >= r.endsNeeded() }

// holdTime is how long the request is held after the newest end; 0 when it is not.
func (r Record) holdTime() time.Duration {
	if !r.isHarmful() {
		return 0
	}
	return min(holdTime<<(len(r.Ends)-r.endsNeeded()), holdLimit)
}

// lifeTime is how long after the newest end the record counts.
func (r Record) lifeTime() time.Duration {
	if r.isHarmful() {
		return r.holdTime() + holdMemory
	}
	return suspicionTime
}

// entry is a record as a table holds it.
type entry struct {
	record Record
	// endedAt is when the newest end was first heard of by anybody, on the own clock.
	endedAt time.Duration
}

// belief is what follows from the entry.
func (e entry) belief(now time.Duration) Belief {
	switch {
	case e.record.Cleared || e.expired(now):
		return Trusted
	case now < e.heldUntil():
		return Held
	}
	return Suspected
}

// heldUntil is when the request is not held any more.
func (e entry) heldUntil() time.Duration { return e.endedAt + e.record.holdTime() }

func (e entry) expired(now time.Duration) bool { return now >= e.endedAt+e.record.lifeTime() }
