package retry

import (
	"time"

	"github.com/springstack/springstack/internal/result"
)

// Kind tells how an attempt ended.
type OutcomeKind int

// The ends of an attempt.
const (
	// Answered: the head of the back end's answer has arrived.
	Answered OutcomeKind = iota + 1
	// Refused: the gate answered with a code; Outcome.Ran is its word.
	Refused
	// NotSent: not a byte of the request was written, so it did not run.
	NotSent
	// Broken: the connection broke after a byte may have been written and
	// before an answer.
	Broken
	// Expired: the deadline passed after a byte may have been written.
	Expired
	// CallerGone: the caller hung up.
	CallerGone
	// NoEndpoint: there was no endpoint to send to; nothing was written.
	NoEndpoint
)

// Outcome is what became of one attempt.
type Outcome struct {
	Kind OutcomeKind
	// Code, Ran and RetryAfter are the gate's, for Refused.
	Code       result.Code
	Ran        result.Execution
	RetryAfter time.Duration
	// Replayable tells whether the request's body can be sent from its start.
	Replayable bool
	// Others tells whether an endpoint that was not tried yet can take it.
	Others bool
	// Failed says that an answer is the back end's own failure.
	Failed bool
	// Arrived says that the back end itself has seen an attempt that did not
	// run, so that sending it again adds to its load.
	Arrived bool
}

// turnsAway tells whether the endpoint takes no calls any more or for a while, so that
// asking it again is of no use.
func turnsAway(outcome Outcome) bool {
	if outcome.Kind != Refused {
		return false
	}
	switch outcome.Code {
	case result.Draining, result.WrongBackend, result.ZoneEvacuated, result.WarmingUp,
		result.RegionNotAllowed:
		return true
	}
	return false
}

// isCold tells whether the endpoint is cold and has no start for the call.
func isCold(outcome Outcome) bool {
	return outcome.Kind == Refused && outcome.Code == result.WarmingUp
}

func meansNotRun(code result.Code) bool {
	entry, found := result.Lookup(code)
	return !found || entry.Ran == result.RanNo
}
