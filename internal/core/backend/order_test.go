package backend

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/protocol"
	_ "github.com/springstack/springstack/internal/fixedseed"
)

// world simulates a back end that restarts repeatedly under one of two instance names at one
// address, with its reports that are still to be delivered.
type world struct {
	now      time.Duration
	instance string
	born     int64
	sequence uint64
	draining bool
	up       bool
	pending  []Report
	// gone holds the starts whose drain or leave the daemon has acknowledged.
	gone map[protocol.BackendStart]bool
}

func (w *world) start(t *rapid.T) {
	w.instance = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "instance")
	w.born++
	w.sequence, w.draining, w.up = 0, false, true
}

func (w *world) say() Report {
	w.sequence++
	return Report{Instance: w.instance, Born: w.born, Sequence: w.sequence, Draining: w.draining, Slots: 6}
}

// deliver passes a report to the daemon, and answers the probe that results from it.
func (w *world) deliver(tracker *Tracker, report Report) {
	if tracker.HandleReport(w.now, report) && w.up {
		tracker.HandleProbe(w.now, ProbeResult{Instance: w.instance, Healthy: true}) // whether or not the instance drains
	}
	if report.Draining {
		w.gone[report.Start()] = true
	}
}

// step draws and runs the next event.
func (w *world) step(t *rapid.T, tracker *Tracker) {
	w.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		w.up = false
	case 1:
		w.start(t)
	case 2:
		w.draining = w.up
	case 3:
		if w.up && len(w.pending) < persistentBeats-1 { // more of them would look like a running start
			w.pending = append(w.pending, w.say())
		}
	case 4:
		if w.up {
			w.deliver(tracker, w.say())
		}
	case 5:
		if w.up && w.draining {
			start := protocol.BackendStart{Instance: w.instance, Born: w.born}
			tracker.HandleLeave(start, 0)
			w.gone[start] = true
		}
	default:
		w.deliverLate(t, tracker)
	}
}

// deliverLate delivers one of the pending reports, which may be delivered again later.
func (w *world) deliverLate(t *rapid.T, tracker *Tracker) {
	if len(w.pending) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.pending)-1).Draw(t, "late")
	w.deliver(tracker, w.pending[at])
	if rapid.Bool().Draw(t, "last") {
		w.pending = append(w.pending[:at], w.pending[at+1:]...)
	}
}

func drawnWorld(t *rapid.T) (*world, *Tracker) {
	made := &world{gone: map[protocol.BackendStart]bool{}}
	made.start(t)
	return made, NewTracker(interval)
}

// Reports that arrive late, repeatedly or out of order never bring back a start whose end was
// acknowledged.
func TestNoOrderOfReportsBringsAnEndedStartBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		made, tracker := drawnWorld(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			made.step(t, tracker)
			view := tracker.View(made.now)
			if view.State.AcceptsCalls() && made.gone[view.Start] {
				t.Fatalf("%s takes work after its end was acknowledged", view.Start)
			}
		}
	})
}

// After any sequence of reports, a back end that runs and reports receives work by its second
// report.
func TestAfterAnyOrderOfReportsTheLivingStartIsTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		made, tracker := drawnWorld(t)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			made.step(t, tracker)
		}
		made.start(t)
		for range 2 {
			made.now += interval
			made.deliver(tracker, made.say())
		}
		view := tracker.View(made.now)
		living := protocol.BackendStart{Instance: made.instance, Born: made.born}
		if !view.State.AcceptsCalls() || view.Start != living {
			t.Fatalf("%s is %s while %s runs", view.Start, view.State, living)
		}
	})
}

// Reports that arrive late never replace the newer of two starts of an instance by the older one.
func TestNoOrderOfReportsGoesBackToAnOlderStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		made, tracker := drawnWorld(t)
		newest := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			made.step(t, tracker)
			start := tracker.View(made.now).Start
			if start.Born < newest[start.Instance] {
				t.Fatalf("%s is taken after %d", start, newest[start.Instance])
			}
			newest[start.Instance] = max(newest[start.Instance], start.Born)
		}
	})
}
