package backend

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/protocol"
	_ "github.com/springstack/springstack/internal/fixedseed"
)

// simulatedBackend simulates a back end that restarts repeatedly under one of two instance names at
// one address, with its reports that are still to be delivered.
type simulatedBackend struct {
	now      time.Duration
	instance string
	born     int64
	sequence uint64
	draining bool
	isUp     bool
	pending  []Report
	// acknowledgedEnds holds the starts whose drain or leave the daemon has acknowledged.
	acknowledgedEnds map[protocol.BackendStart]bool
}

func (s *simulatedBackend) start(t *rapid.T) {
	s.instance = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "instance")
	s.born++
	s.sequence, s.draining, s.isUp = 0, false, true
}

func (s *simulatedBackend) nextReport() Report {
	s.sequence++
	return Report{Instance: s.instance, Born: s.born, Sequence: s.sequence, Draining: s.draining, Slots: 6}
}

// deliver passes a report to the daemon, and answers the probe that results from it.
func (s *simulatedBackend) deliver(tracker *Tracker, report Report) {
	if tracker.HandleReport(s.now, report) && s.isUp {
		tracker.HandleProbeResult(s.now, ProbeResult{Instance: s.instance, Healthy: true}) // whether or not the instance drains
	}
	if report.Draining {
		s.acknowledgedEnds[report.Start()] = true
	}
}

// step draws and runs the next event.
func (s *simulatedBackend) step(t *rapid.T, tracker *Tracker) {
	s.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		s.isUp = false
	case 1:
		s.start(t)
	case 2:
		s.draining = s.isUp
	case 3:
		if s.isUp && len(s.pending) < olderStartHeartbeats-1 { // more of them would look like a running start
			s.pending = append(s.pending, s.nextReport())
		}
	case 4:
		if s.isUp {
			s.deliver(tracker, s.nextReport())
		}
	case 5:
		if s.isUp && s.draining {
			start := protocol.BackendStart{Instance: s.instance, Born: s.born}
			tracker.HandleLeave(start, 0)
			s.acknowledgedEnds[start] = true
		}
	default:
		s.deliverLate(t, tracker)
	}
}

// deliverLate delivers one of the pending reports, which may be delivered again later.
func (s *simulatedBackend) deliverLate(t *rapid.T, tracker *Tracker) {
	if len(s.pending) == 0 {
		return
	}
	index := rapid.IntRange(0, len(s.pending)-1).Draw(t, "late")
	s.deliver(tracker, s.pending[index])
	if rapid.Bool().Draw(t, "last") {
		s.pending = append(s.pending[:index], s.pending[index+1:]...)
	}
}

func newSimulation(t *rapid.T) (*simulatedBackend, *Tracker) {
	simulated := &simulatedBackend{acknowledgedEnds: map[protocol.BackendStart]bool{}}
	simulated.start(t)
	return simulated, NewTracker(interval)
}

// Reports that arrive late, repeatedly or out of order never bring back a start whose end was
// acknowledged.
func TestNoOrderOfReportsBringsAnEndedStartBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulated, tracker := newSimulation(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			simulated.step(t, tracker)
			view := tracker.View(simulated.now)
			if view.State.AcceptsCalls() && simulated.acknowledgedEnds[view.Start] {
				t.Fatalf("%s takes work after its end was acknowledged", view.Start)
			}
		}
	})
}

// After any sequence of reports, a back end that runs and reports receives work by its second
// report.
func TestTheRunningStartReceivesWorkAfterAnyOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulated, tracker := newSimulation(t)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			simulated.step(t, tracker)
		}
		simulated.start(t)
		for range 2 {
			simulated.now += interval
			simulated.deliver(tracker, simulated.nextReport())
		}
		view := tracker.View(simulated.now)
		running := protocol.BackendStart{Instance: simulated.instance, Born: simulated.born}
		if !view.State.AcceptsCalls() || view.Start != running {
			t.Fatalf("%s is %s while %s runs", view.Start, view.State, running)
		}
	})
}

// Reports that arrive late never replace the newer of two starts of an instance by the older one.
func TestNoOrderOfReportsRestoresAnOlderStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulated, tracker := newSimulation(t)
		newest := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			simulated.step(t, tracker)
			start := tracker.View(simulated.now).Start
			if start.Born < newest[start.Instance] {
				t.Fatalf("%s became the running start after one that began at %d", start, newest[start.Instance])
			}
			newest[start.Instance] = max(newest[start.Instance], start.Born)
		}
	})
}
