package quarantine

import (
	"slices"
	"time"
)

// State determines how daemons treat a request.
type State int

// The states, in order of severity.
const (
	// Trusted requests are sent without restriction.
	Trusted State = iota
	// Suspected requests run separately from each other.
	Suspected
	// Held requests are refused.
	Held
)

// stateNames holds the names of the states in logs.
var stateNames = map[State]string{Trusted: "trusted", Suspected: "suspected", Held: "held"}

// String returns the name of the state in logs.
func (s State) String() string { return stateNames[s] }

// Rules define how many ends a request needs to be held. All daemons of a mesh must use the same
// rules.
type Rules struct {
	// Ends is the number of ends from which a request is held if no back end answered it
	// successfully before its first end. One end may be due to any request that ran on the
	// instance, and a second end of the same request to coincidence.
	Ends int
	// EndsFamiliar replaces Ends if the request was answered successfully before its first end.
	// Such a request rarely becomes harmful, and it often runs while other requests end back ends.
	EndsFamiliar int
	// EachByItself classifies each request by its own ends alone, without attributing shared ends
	// to another request. It is used for comparisons only.
	EachByItself bool
	// IgnoresCompany also holds a request that never ran alone at an end. It is used for
	// comparisons only.
	IgnoresCompany bool
	// IgnoresTrials counts every end, including those of attempts that began before an earlier end
	// was known. It is used for comparisons only.
	IgnoresTrials bool
	// LeastShare, when above 0, divides each end equally among all requests that ran at it, and
	// holds a request whose shares add up to at least this number of ends. It is used for
	// comparisons only.
	LeastShare float64
}

// DefaultRules returns the rules that daemons use. Of the rules compared in simulations with harmful
// requests, they require the fewest ends without holding a harmless request (see
// docs/design/harmful-requests.md).
func DefaultRules() Rules { return Rules{Ends: 3, EndsFamiliar: 4} }

// Limits of records, and the durations of suspicions and holds.
const (
	// endLimit bounds the ends recorded for a request, nameLimit the length of an instance name in
	// bytes, and companionLimit the companions recorded for one end.
	endLimit       = 16
	nameLimit      = 128
	companionLimit = 24
	// trialLimit is the highest trial number accepted in a record. It exceeds the number of trials
	// possible in the lifetime of a record.
	trialLimit = 1 << 20
	// suspicionTime is how long a request stays suspected after its latest end. A harmful request
	// that is sent at longer intervals is never held and ends one back end each time.
	suspicionTime = 2 * time.Minute
	// firstHold is how long a request is held after the end with which it has the required number
	// of ends. It is short because the request may still be harmless, if its ends had several
	// causes. After the hold the request is suspected again, and its next attempt, which runs
	// separately, decides.
	firstHold = time.Minute
	// repeatedHold is how long a request is held after an end in one further trial. It doubles with
	// each further trial in which an end occurs, up to holdLimit.
	repeatedHold = 10 * time.Minute
	holdLimit    = 2 * time.Hour
	// suspicionAfterHold is how long a request stays suspected after its hold has expired.
	suspicionAfterHold = time.Hour
)

// MaxRecordAge is the longest time for which any record is kept after its latest end.
const MaxRecordAge = holdLimit + suspicionAfterHold

// Isolation defines how a gate separates a request from the other requests on its back end.
type Isolation int

// The isolation levels, in ascending order.
const (
	// AlongsideTrusted allows the request to run concurrently with requests that are not suspected.
	AlongsideTrusted Isolation = iota
	// AlonePreferred runs the request alone, so that the next end can be attributed to it with
	// certainty. If other requests keep the back end busy for too long, it runs concurrently with
	// them.
	AlonePreferred
	// AloneRequired refuses the request unless it can run alone: it already has enough ends to be
	// held.
	AloneRequired
)

// isolationNames holds the names of the isolation levels in logs.
var isolationNames = map[Isolation]string{AlongsideTrusted: "none", AlonePreferred: "if_possible", AloneRequired: "always"}

// String returns the name of the isolation level in logs.
func (i Isolation) String() string { return isolationNames[i] }

// Companion identifies a request that was in flight together with another request at an end.
type Companion struct {
	// Key is the key of the companion's signature (see Signature.Key); 0 if the companion is
	// unidentified.
	Key uint64
	// Round is the round of the companion's record at the time of the end.
	Round uint32
}

// EndDetail holds the circumstances of one end of a request.
type EndDetail struct {
	Instance string
	// Trial is the number, starting at 1, of the trial in which the end occurred. All attempts that
	// began before any end was known belong to the same trial, since the failure of a rack ends all
	// of them at once. 0 means unknown, and counts as a separate trial.
	Trial uint32
	// Beside holds the companions at this end, in ascending order of their keys and without
	// duplicates.
	Beside []Companion
}

// Record is the state of one request as daemons exchange it.
type Record struct {
	Signature Signature
	// Round is the number of times that the request was cleared before. A record of a later round
	// replaces one of an earlier round.
	Round uint32
	// Ends holds the names of the instances that ended while they ran the request in this round, in
	// ascending order.
	Ends []string
	// Details holds the circumstances of the ends, in the same order. Ends without known
	// circumstances have no entry.
	Details []EndDetail
	// Proven is one more than the last round in which the request was found harmful; 0 if there was
	// none. Ends that it shared with other requests in an earlier round than Proven are attributed
	// to it.
	Proven uint32
	// Familiar is true if a back end answered the request successfully before the first of these
	// ends.
	Familiar bool
	// Cleared is true if a back end has answered the request successfully since these ends, or if
	// an operator has released it.
	Cleared bool
	// Age is the time since the latest end was first recorded by any daemon, measured when the
	// record was sent.
	Age time.Duration
}

// valid reports whether a record received from a peer is well-formed and within the limits.
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
	return len(r.Details) <= len(r.Ends) && !slices.ContainsFunc(r.Details, func(detail EndDetail) bool {
		return len(detail.Beside) > companionLimit || detail.Trial > trialLimit || !slices.Contains(r.Ends, detail.Instance)
	})
}

// detail returns the circumstances of an end.
func (r Record) detail(end string) EndDetail {
	for _, detail := range r.Details {
		if detail.Instance == end {
			return detail
		}
	}
	return EndDetail{Instance: end}
}

// countTrials returns the number of distinct trials in which the given ends occurred, counting each
// end of an unknown trial as one more trial.
func (r Record) countTrials(ends []string) int {
	unknownTrials := 0
	knownTrials := map[uint32]bool{}
	for _, end := range ends {
		if trial := r.detail(end).Trial; trial > 0 {
			knownTrials[trial] = true
		} else {
			unknownTrials++
		}
	}
	return unknownTrials + len(knownTrials)
}

// lastTrial returns the highest trial number, counting each end of an unknown trial as one more
// trial; 0 without ends.
func (r Record) lastTrial() uint32 {
	last, unknown := uint32(0), uint32(len(r.Ends))
	for _, detail := range r.Details {
		if detail.Trial > 0 {
			last = max(last, detail.Trial)
			unknown--
		}
	}
	return last + unknown
}

// CountSharedEnds returns the number of ends at which other requests ran too.
func (r Record) CountSharedEnds() int {
	count := 0
	for _, detail := range r.Details {
		if len(detail.Beside) > 0 {
			count++
		}
	}
	return count
}

// requiredEnds returns the number of ends after which the request is held.
func (r Rules) requiredEnds(record *Record) int {
	if record.Familiar {
		return r.EndsFamiliar
	}
	return r.Ends
}

// hasEnoughEnds reports whether the request has enough ends to be held and was not cleared.
func (r Rules) hasEnoughEnds(record *Record) bool {
	return !record.Cleared && len(record.Ends) >= r.requiredEnds(record)
}

// holdDuration returns how long the request is held after its latest end; 0 if it has too few ends.
func (r Rules) holdDuration(record *Record) time.Duration {
	if !r.hasEnoughEnds(record) {
		return 0
	}
	furtherTrials := record.countTrials(record.Ends) - r.requiredEnds(record)
	if furtherTrials <= 0 {
		return firstHold
	}
	return min(repeatedHold<<(furtherTrials-1), holdLimit)
}

// lifetime returns how long the record is valid after its latest end.
func (r Rules) lifetime(record *Record) time.Duration {
	if r.hasEnoughEnds(record) {
		return r.holdDuration(record) + suspicionAfterHold
	}
	return suspicionTime
}

// entry is a record in a table.
type entry struct {
	rules  Rules
	record Record
	// latestEndAt is the time, on this daemon's clock, at which the latest end was first recorded
	// by any daemon.
	latestEndAt time.Duration
}

func (e *entry) isExpired(now time.Duration) bool {
	return now >= e.latestEndAt+e.rules.lifetime(&e.record)
}
