package oracle

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/result"
)

// NewWorkBound is how long after it starts to leave a back end may still
// receive new work.
const NewWorkBound = 5 * time.Second

// Outcome is what a caller got.
type Outcome struct {
	Code result.Code
	Ran  result.Execution
	// Body is the answer's body as received; Whole is set when the answer
	// ended cleanly.
	Body  string
	Whole bool
}

type call struct {
	id         string
	repeatable bool
	// regions are where it may run; nil for anywhere.
	regions []string
	// expected is the answer that the back end gives to this call.
	expected string
	runs     int
	lastRun  time.Duration
	backend  string
	ended    bool
	outcome  Outcome
}

type backend struct {
	name string
	// leaving is set while the back end drains, since the given time.
	leaving bool
	since   time.Duration
	inside  map[string]bool
}

// CallSent records a caller's request and the whole answer it must get.
func (o *Oracle) CallSent(id string, repeatable bool, expected string) {
	o.calls[id] = &call{id: id, repeatable: repeatable, expected: expected}
}

// CallKeptTo records in which regions alone a call may run.
func (o *Oracle) CallKeptTo(id string, regions []string) { o.calls[id].regions = regions }

// BackendIn records the region of a back end.
func (o *Oracle) BackendIn(name, region string) { o.regions[name] = region }

// BackendStarted records that a back end began to run a call.
func (o *Oracle) BackendStarted(at time.Duration, name, id string) {
	known, found := o.calls[id]
	if !found {
		o.violate(at, OwnWholeAnswer, "back end %s ran %s, which nobody sent", name, id)
		return
	}
	known.runs++
	known.lastRun = at
	known.backend = name
	if known.runs > 1 && !known.repeatable {
		o.violate(at, AtMostOnce, "call %s ran %d times", id, known.runs)
	}
	if known.ended && known.outcome.Ran == result.RanNo {
		o.violate(at, RefusalIsTrue, "call %s ran after its caller was told %s, did not run",
			id, known.outcome.Code.Name())
	}
	if known.regions != nil && !slices.Contains(known.regions, o.regions[name]) {
		o.violate(at, KeepsToRegions, "call %s, allowed in %v, ran on %s in %s", id, known.regions, name, o.regions[name])
	}
	target := o.backend(name)
	target.inside[id] = true
	if target.leaving && at > target.since+NewWorkBound {
		o.violate(at, LeavingTakesNone, "%s got new work %v after it began to leave",
			name, at-target.since)
	}
}

// BackendEnded records that a back end ended a call by itself.
func (o *Oracle) BackendEnded(name, id string) {
	delete(o.backend(name).inside, id)
}

// BackendLeaving records that a back end starts a planned stop.
func (o *Oracle) BackendLeaving(at time.Duration, name string) {
	target := o.backend(name)
	if !target.leaving {
		target.leaving = true
		target.since = at
	}
}

// BackendStopped records that a planned stop ended the back end. Calls that
// it is still running are cut.
func (o *Oracle) BackendStopped(at time.Duration, name string) {
	target := o.backend(name)
	for id := range target.inside {
		o.violate(at, PlannedStopIsSoft, "planned stop of %s cut call %s", name, id)
	}
	o.BackendCrashed(name)
}

// BackendCrashed records an unplanned end of a back end.
func (o *Oracle) BackendCrashed(name string) {
	o.backends[name] = &backend{name: name, inside: map[string]bool{}}
}

// BackendReturned records that a back end is back after a stop.
func (o *Oracle) BackendReturned(name string) { o.BackendCrashed(name) }

// CallEnded records what a caller got.
func (o *Oracle) CallEnded(at time.Duration, id string, outcome Outcome) {
	known, found := o.calls[id]
	if !found || known.ended {
		o.violate(at, OwnWholeAnswer, "second or unasked answer to call %s", id)
		return
	}
	known.ended = true
	known.outcome = outcome
	if outcome.Whole && outcome.Code == result.OK && outcome.Body != known.expected {
		o.violate(at, OwnWholeAnswer, "call %s got %q in place of %q", id, outcome.Body, known.expected)
	}
	if outcome.Code == result.OK && !outcome.Whole {
		o.violate(at, OwnWholeAnswer, "call %s got a part of its answer as if it were whole", id)
	}
	if outcome.Ran == result.RanNo && known.runs > 0 {
		o.violate(at, RefusalIsTrue, "call %s told %s, did not run; it ran %d times on %s",
			id, outcome.Code.Name(), known.runs, known.backend)
	}
}

// Idle judges, once all calls have ended, that nothing still counts as
// running or waiting: a slot that was leaked shows here.
func (o *Oracle) Idle(at time.Duration, name string, running, queued int) {
	if running != 0 || queued != 0 {
		o.violate(at, Liveness, "%s counts %d running and %d waiting though all calls have ended",
			name, running, queued)
	}
}

// CallsSettled judges liveness of calls: each has an answer.
func (o *Oracle) CallsSettled(at time.Duration) {
	open := 0
	for _, known := range o.calls {
		if !known.ended {
			open++
		}
	}
	if open > 0 {
		o.violate(at, Liveness, "%d calls never got an answer", open)
	}
}

func (o *Oracle) backend(name string) *backend {
	known, found := o.backends[name]
	if !found {
		known = &backend{name: name, inside: map[string]bool{}}
		o.backends[name] = known
	}
	return known
}
