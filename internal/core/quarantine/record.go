package quarantine

import (
	"slices"
	"time"
)

// Belief is what a daemon believes of a request.
type State int

// The beliefs.
const (
	// Trusted requests are sent like any other.
	Trusted State = iota
	// Suspected ones run apart from each other.
	Suspected
	// Held ones are refused.
	Held
)

// beliefNames are the names of the beliefs in logs.
var beliefNames = map[State]string{Trusted: "trusted", Suspected: "suspected", Held: "held"}

// String names the belief.
func (b State) String() string { return beliefNames[b] }

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
	// IgnoresCompany holds a request that was never at work alone as well. It is for
	// comparisons only.
	IgnoresCompany bool
	// IgnoresTrials counts each end, also of runs that began before any was known. It is for
	// comparisons only.
	IgnoresTrials bool
	// LeastShare, when it is above 0, divides each end among all that were at work, and holds
	// a request whose parts come to so many ends. It is for comparisons only.
	LeastShare float64
}

// DefaultRules hold a request after the fewest ends of those that held no harmless one on
// drawn days with harmful requests; docs/design/harmful-requests.md has the figures.
func DefaultRules() Rules { return Rules{Ends: 3, EndsFamiliar: 4} }

// The times of suspicions and holds.
const (
	// endLimit bounds the ends that are remembered of a request, nameLimit the length of an
	// instance's name in bytes, and companionLimit the requests that are remembered beside
	// it at one end.
	endLimit       = 16
	nameLimit      = 128
	companionLimit = 24
	// trialLimit bounds the trials that a record can tell of: more than come in its life.
	trialLimit = 1 << 20
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
const MaxRecordAge = holdLimit + holdMemory

// Isolation is how a request that may run is kept apart at its gate.
type Isolation int

// The isolations.
const (
	// Beside lets it run while others do that are not suspected.
	AlongsideTrusted Isolation = iota
	// AloneIfPossible has it run alone, so that the next end is of it and no other, unless
	// others keep the back end busy for too long.
	AlonePreferred
	// AloneOnly has it run alone or not at all: it has been at enough ends to be held.
	AloneRequired
)

// isolationNames are the names of the isolations in logs.
var isolationNames = map[Isolation]string{AlongsideTrusted: "none", AlonePreferred: "if_possible", AloneRequired: "always"}

// String names the isolation.
func (i Isolation) String() string { return isolationNames[i] }

// Companion is a request that was at work at an end beside another one.
type Companion struct {
	// Key is the short form of its signature; 0 stands for one that is not known.
	Key uint64
	// Round is the round of its record at the end.
	Round uint32
}

// EndDetail is what is known of one end under a request.
type EndDetail struct {
	Instance string
	// Trial is which trial of the request the run was that met the end, from 1. Runs that
	// began before any end was known are one trial: a rack that fails ends all of them. 0 is
	// not known, and stands for a trial of its own.
	Trial uint32
	// Beside are the other requests at work there, in ascending order of their keys, each
	// once.
	Beside []Companion
}

// Record is what daemons tell each other of one request.
type Record struct {
	Signature Signature
	// Round counts the times that the request was cleared before. A later round replaces
	// an earlier one.
	Round uint32
	// Ends are the instances that have ended under it in this round, in ascending order.
	Ends []string
	// Details are what is known of the ends, in the same order; some may be missing.
	Details []EndDetail
	// Proven is the round before which the request was found harmful: ends of earlier rounds
	// are of no request that was at work beside it.
	Proven uint32
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
	if r.Signature.Head == (Hash{}) || r.Age < 0 || r.Age > MaxRecordAge {
		return false
	}
	if len(r.Ends) == 0 || len(r.Ends) > endLimit {
		return false
	}
	if slices.ContainsFunc(r.Ends, func(name string) bool { return name == "" || len(name) > nameLimit }) {
		return false
	}
	return len(r.Details) <= len(r.Ends) && !slices.ContainsFunc(r.Details, func(one EndDetail) bool {
		return len(one.Beside) > companionLimit || one.Trial > trialLimit || !slices.Contains(r.Ends, one.Instance)
	})
}

// detail is what is known of an end.
func (r Record) detail(end string) EndDetail {
	for _, one := range r.Details {
		if one.Instance == end {
			return one
		}
	}
	return EndDetail{Instance: end}
}

// trials counts the trials that met some of the ends.
func (r Record) trials(ends []string) int {
	unknown := 0
	known := map[uint32]bool{}
	for _, end := range ends {
		if trial := r.detail(end).Trial; trial > 0 {
			known[trial] = true
		} else {
			unknown++
		}
	}
	return unknown + len(known)
}

// lastTrial is the newest trial, past all that are not known; 0 without ends.
func (r Record) lastTrial() uint32 {
	last, unknown := uint32(0), uint32(len(r.Ends))
	for _, one := range r.Details {
		if one.Trial > 0 {
			last = max(last, one.Trial)
			unknown--
		}
	}
	return last + unknown
}

// Beside counts the ends at which other requests were at work too.
func (r Record) CountSharedEnds() int {
	count := 0
	for _, one := range r.Details {
		if len(one.Beside) > 0 {
			count++
		}
	}
	return count
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
	more := record.trials(record.Ends) - r.endsNeeded(record)
	if more <= 0 {
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
