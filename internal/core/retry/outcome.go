package retry

import (
	"time"

	"github.com/springstack/springstack/internal/result"
)

// OutcomeKind is the way in which an attempt ended.
type OutcomeKind int

// How an attempt can end.
const (
	// Answered means that the header of the back end's response was received.
	Answered OutcomeKind = iota + 1
	// Refused means that the gate answered with a code; Outcome.Ran states whether the call ran.
	Refused
	// NotSent means that no byte of the request was written, so it did not run.
	NotSent
	// Broken means that the connection broke before an answer, after a byte of the request may
	// have been written.
	Broken
	// Expired means that the deadline passed after a byte of the request may have been written.
	Expired
	// CallerGone means that the caller closed its connection.
	CallerGone
	// NoEndpoint means that there was no endpoint to send to; nothing was written.
	NoEndpoint
)

// Outcome is the result of one attempt.
type Outcome struct {
	Kind OutcomeKind
	// Code, Ran and RetryAfter are those of the gate's refusal, if Kind is Refused.
	Code       result.Code
	Ran        result.Execution
	RetryAfter time.Duration
	// Replayable is set if the request body can be sent again from its start.
	Replayable bool
	// Others is set if an untried endpoint can receive the call.
	Others bool
	// Failed is set if the answer is a failure of the back end.
	Failed bool
	// Arrived is set if an attempt that did not run reached the back end, so that
	// resending it adds load.
	Arrived bool
}

// refusesAllCalls reports whether the endpoint accepts no calls for now, so that retrying there
// is useless.
func refusesAllCalls(outcome Outcome) bool {
	if outcome.Kind != Refused {
		return false
	}
	switch outcome.Code {
	case result.Draining, result.WrongBackend, result.ZoneEvacuated, result.WarmingUp,
		result.BackendLimited, result.RegionNotAllowed:
		return true
	}
	return false
}

// refusedForStarts reports whether the gate refused the call because it limits the starts at its back
// end.
func refusedForStarts(outcome Outcome) bool {
	return outcome.Kind == Refused && LimitsStarts(outcome.Code)
}

// LimitsStarts reports whether a gate refuses with the code while it limits the starts of calls at its
// back end: the back end is cold, or states how many calls a second it accepts.
func LimitsStarts(code result.Code) bool {
	return code == result.WarmingUp || code == result.BackendLimited
}

// impliesNotRun reports whether the code states that the call did not run. Unknown codes
// are treated as if they did.
func impliesNotRun(code result.Code) bool {
	entry, found := result.Lookup(code)
	return !found || entry.Ran == result.RanNo
}
