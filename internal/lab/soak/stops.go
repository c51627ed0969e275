package soak

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/platform/standin"
)

const (
	// stopGrace is the grace period of the daemons' settings.
	stopGrace = 6 * time.Second
	// hardBound is when, after SIGTERM, a stop may break off what still runs: the
	// last sixth of the grace period. The promise is judged up to it.
	hardBound = stopGrace * 5 / 6
	// unharmedBefore is how long before a request nothing unplanned may have been
	// done to the machines on its way for the promise of a stop to be judged.
	unharmedBefore = 3 * time.Second
	// timeoutMargin is how long before a request's time is over a daemon may give it
	// up: each hop tells the next some milliseconds less than are left.
	timeoutMargin = 20 * time.Millisecond
	// promiseOfStops is the promise that stopped daemons are held to.
	promiseOfStops = "a stop cuts no request at which an upstream is at work"
)

// run is one run of a request by an upstream. Outcome 0 means that it has not
// ended.
type run struct {
	standin.Arrival
	outcome standin.RunOutcome
	endedAt time.Time
}

// span is a time during which a machine is harmed; until is zero while it lasts.
type span struct {
	from  time.Time
	until time.Time
}

// overlaps tells whether some of a time is in the span.
func (s *span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.until.IsZero() || s.until.After(from))
}

// unserved is a request whose client got no whole answer of an upstream.
type unserved struct {
	request Request
	answer  Answer
}

// Hosted notes on which machine an instance of an upstream is.
func (o *Oracle) Hosted(instance, machine string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.hosts[instance] = machine
}

// Stopped notes that a machine's daemon is sent SIGTERM now.
func (o *Oracle) Stopped(machine string, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.stops[machine] = append(o.stops[machine], at)
	o.exercised(promiseOfStops, at)
}

// Harmed notes that something unplanned is done to a machine from now on, until
// what it returns is called.
func (o *Oracle) Harmed(machine string, from time.Time) (healed func(until time.Time)) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	harm := &span{from: from}
	o.harms[machine] = append(o.harms[machine], harm)
	return func(until time.Time) {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		harm.until = until
	}
}

// Ended notes how a run of a request ended.
func (o *Oracle) Ended(ending standin.Ending) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, one := range o.runs[ending.ID] {
		if one.Instance == ending.Instance && one.Born == ending.Born && one.outcome == 0 {
			one.outcome, one.endedAt = ending.Outcome, ending.At
			return
		}
	}
}

// Lost notes that a client's connection ended without a complete answer.
func (o *Oracle) Lost(request Request, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.unserved = append(o.unserved, unserved{request: request, answer: Answer{At: at}})
}

// cutRequests judges the requests that got no answer, or one that no upstream
// signed. It is asked once all is seen: an upstream may tell of the end of a run
// after the client has seen it.
func (o *Oracle) cutRequests() []Violation {
	return lo.FilterMap(o.unserved, func(one unserved, _ int) (Violation, bool) {
		last, cut := o.cutAtWork(one)
		if !cut {
			return Violation{}, false
		}
		stop, stopped := o.stopBehind(one, last)
		return Violation{Promise: promiseOfStops, Detail: one.describe(last) + stop}, stopped
	})
}

// CalmCuts describes the requests that were broken off while an upstream was at work
// on them although no daemon on their way was stopped and nothing else done to it: no
// promise of stops is broken, but what did it may also do it beside a stop.
func (o *Oracle) CalmCuts() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return lo.FilterMap(o.unserved, func(one unserved, _ int) (string, bool) {
		last, cut := o.cutAtWork(one)
		if !cut {
			return "", false
		}
		_, stopped := o.stopBehind(one, last)
		return one.describe(last), !stopped
	})
}

// cutAtWork returns the last run of a request that was broken off before its time was
// over, and tells whether it was: not if no upstream ran it, the upstream itself ended
// or failed it, or one of the machines on its way was harmed.
func (o *Oracle) cutAtWork(one unserved) (last *run, cut bool) {
	at := one.answer.At
	runs := lo.Filter(o.runs[one.request.ID], func(known *run, _ int) bool { return !known.At.After(at) })
	if len(runs) == 0 || !at.Before(one.request.SentAt.Add(one.request.timeBound())) {
		return nil, false
	}
	last = runs[len(runs)-1]
	if last.outcome == standin.BrokenOff || last.outcome == standin.Failed {
		return nil, false
	}
	machines := append(lo.Map(runs, func(known *run, _ int) string { return o.hosts[known.Instance] }), one.request.Machine)
	return last, !lo.SomeBy(machines, func(machine string) bool {
		return o.harmedDuring(machine, one.request.SentAt.Add(-unharmedBefore), at)
	})
}

// stopBehind describes the stop of the entry or of the gate of a request that was
// under way when it was broken off, and tells whether there was one.
func (o *Oracle) stopBehind(one unserved, last *run) (string, bool) {
	on := []struct{ role, machine string }{{"entry", one.request.Machine}, {"gate", o.hosts[last.Instance]}}
	for _, stopped := range on {
		if after, under := o.sinceStop(stopped.machine, one.answer.At); under {
			return fmt.Sprintf("; %s after SIGTERM of its %s %s", after, stopped.role, stopped.machine), true
		}
	}
	return "", false
}

// sinceStop returns how long before a moment a machine got SIGTERM, if the promise
// is judged then.
func (o *Oracle) sinceStop(machine string, at time.Time) (time.Duration, bool) {
	stops := lo.Filter(o.stops[machine], func(stop time.Time, _ int) bool { return !stop.After(at) })
	if len(stops) == 0 {
		return 0, false
	}
	after := at.Sub(stops[len(stops)-1])
	return after, after < hardBound
}

// harmedDuring tells whether something unplanned was done to a machine in a time.
func (o *Oracle) harmedDuring(machine string, from, to time.Time) bool {
	return lo.SomeBy(o.harms[machine], func(harm *span) bool { return harm.overlaps(from, to) })
}

// timeBound is when a request may end without an answer: at its route's timeout
// or its client's deadline.
func (r Request) timeBound() time.Duration { return min(r.Timeout, r.Deadline) - timeoutMargin }

// describe says what the client got, and what the upstream did.
func (u unserved) describe(last *run) string {
	got := "no whole answer"
	if u.answer.Status != 0 {
		got = fmt.Sprintf("an unsigned %d", u.answer.Status)
	}
	return fmt.Sprintf("%s got %s %s after it was sent; %s", u.request.ID, got, u.answer.At.Sub(u.request.SentAt), last.describe(u.answer.At))
}

// describe says what an upstream did of a run by a moment.
func (r *run) describe(at time.Time) string {
	began := at.Sub(r.At)
	switch {
	case r.outcome == 0 || r.endedAt.After(at):
		return fmt.Sprintf("%s is at work on it since %s", r.Instance, began)
	case r.outcome == standin.Answered:
		return fmt.Sprintf("%s began %s and answered %s before", r.Instance, began, at.Sub(r.endedAt))
	}
	return fmt.Sprintf("%s began %s and was cut %s before", r.Instance, began, at.Sub(r.endedAt))
}

// MetStops counts the requests that an upstream ran and that met a stop of their
// entry or their gate with nothing else done to either: those on which the promise
// of stops is proved.
func (o *Oracle) MetStops() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return lo.CountBy(lo.Values(o.runs), func(runs []*run) bool {
		last := runs[len(runs)-1]
		request, known := o.requests[last.ID]
		end := last.endedAt
		if !known || end.IsZero() {
			return false
		}
		machines := []string{request.Machine, o.hosts[last.Instance]}
		return lo.SomeBy(machines, func(machine string) bool {
			_, stopping := o.sinceStop(machine, end)
			return stopping
		}) && !lo.SomeBy(machines, func(machine string) bool {
			return o.harmedDuring(machine, request.SentAt.Add(-unharmedBefore), end)
		})
	})
}
