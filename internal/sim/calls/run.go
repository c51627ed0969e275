package calls

import (
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/result"
)

// runBackend passes a started call from the gate to the back end.
func (w *world) runBackend(a *attempt) {
	g := a.gate
	if g.life != a.life || a.cancelled || !a.life.attempts[a] {
		return
	}
	a.reached = true
	admitted := g.model.Arrive(w.now(), backend.RequestID(a.call.id))
	switch admitted.Outcome {
	case backend.OutcomeDown:
		w.backendDown(a, admitted.Crash)
	case backend.OutcomeShed:
		w.releaseSlot(a, false)
		w.finish(a, ending{answered: true, status: statusUnavailable, code: result.Shed})
	case backend.OutcomeStarted:
		a.run = admitted.Run
		g.runs[a] = true
		w.oracle.BackendStarted(w.now(), g.name(), a.call.id)
		w.work(a, admitted)
	}
}

// HTTP statuses that the simulation uses.
const (
	statusOK          = 200
	statusUnavailable = 503
)

// backendDown ends an attempt at a dead back end: not a byte was written,
// unless it died at this very request.
func (w *world) backendDown(a *attempt, crash backend.CrashPoint) {
	if crash == backend.CrashNone {
		w.releaseSlot(a, false)
		w.finish(a, ending{code: result.ConnectFailed})
		return
	}
	w.crashBackend(a.gate)
	w.releaseSlot(a, true)
	w.finish(a, ending{code: result.BrokenInFlight})
}

// work lets the back end work on a run and end it, or crash in it.
func (w *world) work(a *attempt, admitted backend.Admission) {
	service := admitted.Service
	if admitted.Crash == backend.CrashMidWork {
		service /= 2
	}
	w.timeline.After(service, func() {
		if !a.gate.runs[a] {
			return
		}
		if admitted.Crash == backend.CrashMidWork {
			w.crashBackend(a.gate)
			return
		}
		w.endRun(a, true)
		end := ending{answered: true, status: statusOK, body: answerTo(a.call.id), whole: true}
		switch admitted.Crash {
		case backend.CrashBeforeAnswering:
			end = ending{code: result.BrokenInFlight}
			w.crashBackend(a.gate)
		case backend.CrashMidAnswer:
			end.body = end.body[:len(end.body)/2]
			end.whole = false
			w.crashBackend(a.gate)
		}
		w.releaseSlot(a, true)
		w.finish(a, end)
	})
}

// endRun ends a run at the back end.
func (w *world) endRun(a *attempt, completed bool) {
	delete(a.gate.runs, a)
	a.gate.model.Finish(w.now(), a.run, completed)
	w.oracle.BackendEnded(a.gate.name(), a.call.id)
}

// stopRun cancels a run, if the back end works on it.
func (w *world) stopRun(a *attempt) {
	if a.gate.runs[a] {
		w.endRun(a, false)
	}
}

// crashBackend kills a back end; the gate sees its connections break.
func (w *world) crashBackend(g *gate) {
	w.oracle.BackendCrashed(g.name())
	g.model.Crash(w.now())
	for _, a := range sortedAttempts(g.runs) {
		delete(g.runs, a)
		w.releaseSlot(a, true)
		w.finish(a, ending{code: result.BrokenInFlight})
	}
	const restart = 2 * time.Second
	w.timeline.After(restart, func() {
		if g.model.Down() {
			g.model.Restart(w.now())
			w.oracle.BackendReturned(g.name())
		}
	})
}

func answerTo(id string) string { return "the whole answer to " + id }

// sortedAttempts returns the attempts of a set in a fixed order.
func sortedAttempts(set map[*attempt]bool) []*attempt {
	attempts := make([]*attempt, 0, len(set))
	for a := range set {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(one, other *attempt) int {
		if one.call.id != other.call.id {
			return strings.Compare(one.call.id, other.call.id)
		}
		return one.number - other.number
	})
	return attempts
}
