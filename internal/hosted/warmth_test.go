package hosted

import (
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/proxy"
)

// side is a back end's side that calls nobody, with what it has told.
type side struct {
	*backendSide
	now       time.Duration
	evacuated bool
	announced int
	cold      []time.Duration
	// order is what the gate was told, in order.
	order []string
}

// newSide is a side whose back end runs and is warm at the time 0.
func newSide() *side {
	made := &side{}
	clock := func() time.Duration { return made.now }
	made.backendSide = &backendSide{
		settings: hostedBackend{joined: func() bool { return false }, evacuated: func() bool { return made.evacuated }, warmUp: func() time.Duration { return 3 * time.Second }},
		events:   newEventLog(logging.NewTo(io.Discard, log.InfoLevel), "n", clock),
		clock:    clock,
		gate: func(report proxy.BackendReport) {
			made.order = append(made.order, "state of "+report.Start.Instance)
		},
		cold: func(until time.Duration) {
			made.cold = append(made.cold, until)
			made.order = append(made.order, "cold until "+until.String())
		},
		announce: func(backend.View) { made.announced++ },
		tracker:  backend.NewTracker(time.Second),
		probing:  true, // no loop runs
	}
	made.Heartbeat(backend.Report{Instance: "i", Sequence: 1, Slots: 6})
	made.probed(made.now, backend.ProbeResult{Instance: "i", Healthy: true})
	return made
}

func TestAGateIsToldThatItsBackEndIsWarmBeforeItIsOpened(t *testing.T) {
	check := is.New(t)
	made := newSide()
	check.Equal(made.order, []string{"cold until 0s", "state of i"})
}

func TestABackEndWhoseZoneIsTakenBackIsColdUntilItSaysOtherwise(t *testing.T) {
	check := is.New(t)
	made := newSide()
	made.settings.takenBack = made.doubtWarmth
	made.evacuated = true
	made.show()
	made.evacuated = false
	made.order = nil
	made.show()
	check.Equal(made.order, []string{"cold until 3s", "state of i"})
	check.Equal(made.shown.State, protocol.EndpointWarming)
	made.probed(made.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.Equal(made.shown.State, protocol.EndpointReady)
}

func TestAGateIsToldThatAnotherInstanceIsColdBeforeItSendsItCalls(t *testing.T) {
	check := is.New(t)
	made := newSide()
	made.order = nil
	made.Heartbeat(backend.Report{Instance: "j", Sequence: 1, Slots: 6, WarmUp: time.Second})
	made.probed(made.now, backend.ProbeResult{Instance: "j", Healthy: true})
	check.Equal(made.order, []string{"cold until 1s", "state of j"})
}

func TestOnlyAChangeOfStateIsNewsToTheMesh(t *testing.T) {
	check := is.New(t)
	made := newSide()
	before := made.announced
	for beat := range 3 {
		made.now = time.Duration(beat) * time.Second
		left := 3*time.Second - made.now + time.Duration(beat)*time.Millisecond // not on the clock of this daemon
		made.Heartbeat(backend.Report{Instance: "i", Sequence: uint64(2 + beat), Slots: 6, WarmUp: left})
	}
	check.Equal(made.announced, before+1)
	check.Equal(made.cold[len(made.cold)-1], 3*time.Second+2*time.Millisecond)
}

func TestABackEndThatMayHaveTurnedColdCountsAsCold(t *testing.T) {
	check := is.New(t)
	made := newSide()
	made.now = time.Second
	made.confirmWarmth()
	check.Equal(made.cold[len(made.cold)-1], 4*time.Second)
	made.now = 2 * time.Second
	made.probed(made.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.Equal(made.cold[len(made.cold)-1], time.Duration(0))
}

func TestAnAnswerToAnEarlierQuestionTellsNothingOfADoubt(t *testing.T) {
	check := is.New(t)
	made := newSide()
	made.now = time.Second
	made.confirmWarmth()
	done := made.probed(made.now-1, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	check.True(!done)
	check.Equal(made.cold[len(made.cold)-1], 4*time.Second)
}

// answers has the back end answer its health path, and counts how often it was asked.
func (s *side) answers(probe backend.ProbeResult) (asked *int) {
	asked = new(int)
	s.probing = false
	s.settings.joined = func() bool { return true }
	s.settings.healthPath = func() string { return "/health" }
	s.settings.probe = func(string, string, time.Duration) backend.ProbeResult {
		*asked++
		return probe
	}
	return asked
}

func TestABackEndThatDidNotAnswerADoubtIsAskedAgainWithItsNextReport(t *testing.T) {
	check := is.New(t)
	made := newSide()
	made.now = time.Second
	made.confirmWarmth() // nobody answers
	made.answers(backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	made.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6})
	made.running.Wait()
	check.Equal(made.cold[len(made.cold)-1], time.Duration(0))
}

func TestABackEndThatReportsOtherwiseThanItAnsweredIsAskedAgain(t *testing.T) {
	check := is.New(t)
	made := newSide()
	made.probed(made.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true, WarmUp: time.Hour})
	made.answers(backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true})
	made.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6})
	made.running.Wait()
	check.Equal(made.cold[len(made.cold)-1], time.Duration(0))
}

func TestABackEndThatIsColdByItsReportsIsNotAsked(t *testing.T) {
	check := is.New(t)
	made := newSide()
	made.probed(made.now, backend.ProbeResult{Instance: "i", Healthy: true, TellsWarmUp: true, WarmUp: time.Second})
	asked := made.answers(backend.ProbeResult{})
	made.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6, WarmUp: time.Second / 2})
	made.running.Wait()
	check.Equal(*asked, 0)
}
