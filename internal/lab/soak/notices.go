package soak

import (
	"math/rand/v2"
	"time"

	"github.com/springstack/springstack/platform/standin"
)

// What upstreams state in their answers, and the rules about it.
const (
	// limitTime is how long an upstream states a limit, limitLearned the time from its first statement
	// until the limit binds.
	limitTime    = 8 * time.Second
	limitLearned = time.Second
	// In any limitSpan an upstream gets at most limitOverage times what it states, and limitSlack
	// requests.
	limitSpan    = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// promiseOfLimits is the promise of upstreams that state a limit, promiseOfLeaving that of upstreams
	// that state in their answers that they leave.
	promiseOfLimits  = "a back end gets no more than it states"
	promiseOfLeaving = "a back end that says in answers that it leaves gets no new work"
)

// statedLimits are the limits that upstreams state, in requests a second.
var statedLimits = []float64{0.7, 2.5, 5.3, 12}

// stateLimit has the upstream of a machine state a limit for a while.
func stateLimit(_ *soak, on *machine, random *rand.Rand) func() {
	on.currentUpstream().StateLimit(statedLimits[random.IntN(len(statedLimits))], limitTime)
	return nil
}

// leaveInAnswers has the upstream of a machine say in its answers alone that it leaves. It is replaced in the
// end.
func leaveInAnswers(s *soak, on *machine, _ *rand.Rand) func() {
	on.currentUpstream().Say(standin.LeavingHeader, "1")
	return func() { s.replaceUpstream(on) }
}

// limitedStart holds the arrivals of the last limitSpan at a start since it has stated a limit.
type limitedStart struct {
	since    time.Time
	arrivals []time.Time
}

// checkLimit judges an arrival at an upstream that states a limit, run or not; the lock is held.
func (o *Oracle) checkLimit(arrival standin.Arrival) {
	if arrival.Limit == 0 || arrival.At.Sub(arrival.LimitedSince) <= limitLearned {
		return
	}
	o.exercised(promiseOfLimits, arrival.At)
	start := startOf(arrival.Instance, arrival.Born)
	limited := o.atLimited[start]
	if limited.since != arrival.LimitedSince {
		limited = limitedStart{since: arrival.LimitedSince}
	}
	limited.arrivals = append(standin.Lately(limited.arrivals, limitSpan, arrival.At), arrival.At)
	o.atLimited[start] = limited
	allowed := limitOverage*limitSpan.Seconds()*arrival.Limit + limitSlack
	if float64(len(limited.arrivals)) > allowed {
		o.violateTimed(promiseOfLimits, "%s got %d requests in %s and states %v a second, the last of them %s",
			start, len(limited.arrivals), limitSpan, arrival.Limit, arrival.ID)
	}
}

// toldLeaving identifies a machine that has passed on a notice of leaving, and the start that leaves.
type toldLeaving struct{ machine, start string }

// passedOn notes that a machine has passed on the answer of a run; the lock is held.
func (o *Oracle) passedOn(machine string, of *run, at time.Time) {
	told := toldLeaving{machine: machine, start: startOf(of.Instance, of.Born)}
	if _, known := o.toldLeaving[told]; of.SaysLeaving && !known {
		o.toldLeaving[told] = at
	}
}

// checkLeaving judges a request to an upstream that has said in an answer that it leaves, which the
// machine of the request has passed on; the lock is held.
func (o *Oracle) checkLeaving(request Request, arrival standin.Arrival) {
	told, known := o.toldLeaving[toldLeaving{machine: request.Machine, start: startOf(arrival.Instance, arrival.Born)}]
	if !known || arrival.At.Sub(o.disturbed[request.Machine]) <= calmBefore {
		return
	}
	if late := request.SentAt.Sub(told); late > drainBound {
		o.violateTimed(promiseOfLeaving, "%s, sent %s after %s had passed on that %s leaves, reached it",
			request.ID, late, request.Machine, arrival.Instance)
	}
}
