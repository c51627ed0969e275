package load

import (
	"fmt"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/result"
)

// Verdict counts what callers saw that the back ends' records contradict.
type Verdict struct {
	// RanTwice counts calls that may not be repeated and started more than once.
	RanTwice int `json:"ran_twice"`
	// FalseDidNotRun counts refusals that said "did not run" of a call that did.
	FalseDidNotRun int `json:"false_did_not_run"`
	// WrongAnswer counts answers that were not the caller's own.
	WrongAnswer int `json:"wrong_answer"`
	// NotCompleted counts good answers without a completed run behind them.
	NotCompleted int `json:"not_completed"`
	// Cut counts calls broken in flight, or with an outcome that is unknown. It
	// is a violation only where no failure was injected.
	Cut int `json:"cut"`
	// Leaked counts gates whose slots or queue did not return to zero.
	Leaked int `json:"leaked"`
	// Examples describe some of the above.
	Examples []string `json:"examples,omitempty"`
}

// Bounds of the examples of a verdict.
const (
	maxExamples    = 8
	maxCutExamples = 3
)

// whatCut names the examples of calls that were cut.
const whatCut = "cut"

// Violations counts what must never happen, whatever fails.
func (v Verdict) Violations() int {
	return v.RanTwice + v.FalseDidNotRun + v.WrongAnswer + v.NotCompleted + v.Leaked
}

// Add sums two verdicts.
func (v Verdict) Add(other Verdict) Verdict {
	v.RanTwice += other.RanTwice
	v.FalseDidNotRun += other.FalseDidNotRun
	v.WrongAnswer += other.WrongAnswer
	v.NotCompleted += other.NotCompleted
	v.Cut += other.Cut
	v.Leaked += other.Leaked
	for _, example := range other.Examples {
		v.Note(example)
	}
	return v
}

// Runs groups the records of several back ends by request.
func Runs(records ...[]backend.Run) map[backend.RequestID][]backend.Run {
	grouped := make(map[backend.RequestID][]backend.Run)
	for _, runs := range records {
		for _, run := range runs {
			grouped[run.Request] = append(grouped[run.Request], run)
		}
	}
	return grouped
}

// Judge compares what callers saw with what ran.
func Judge(kinds []Kind, results []Result, runs map[backend.RequestID][]backend.Run) Verdict {
	verdict := Verdict{}
	for _, outcome := range results {
		verdict.judgeOne(kinds[outcome.Kind], outcome, runs[outcome.Request])
	}
	return verdict
}

// judgeOne judges one call.
func (v *Verdict) judgeOne(kind Kind, outcome Result, runs []backend.Run) {
	if !kind.MayRepeat && len(runs) > 1 {
		v.RanTwice++
		v.explain("ran_twice", outcome, runs)
	}
	saidNo := outcome.Code != 0 && outcome.Ran == result.RanNo
	if (saidNo || outcome.Fault == FaultConnect) && len(runs) > 0 {
		v.FalseDidNotRun++
		v.explain("false_did_not_run", outcome, runs)
	}
	if outcome.Fault == FaultWrongAnswer {
		v.WrongAnswer++
		v.explain("wrong_answer", outcome, runs)
	}
	if outcome.Good() && outcome.Code == 0 && !anyCompleted(runs) {
		v.NotCompleted++
		v.explain("not_completed", outcome, runs)
	}
	if outcome.ranUnknown() {
		v.Cut++
		v.explain(whatCut, outcome, runs)
	}
}

// anyCompleted tells whether one of the runs had its whole effect.
func anyCompleted(runs []backend.Run) bool {
	for _, run := range runs {
		if run.Completed {
			return true
		}
	}
	return false
}

// explain keeps an example. Cut calls must not crowd out violations.
func (v *Verdict) explain(what string, outcome Result, runs []backend.Run) {
	if what == whatCut && v.Cut > maxCutExamples {
		return
	}
	v.Note(fmt.Sprintf("%s request=%s status=%d code=%d ran=%s fault=%s at=%s runs=%d %s",
		what, outcome.Request, outcome.Status, outcome.Code, outcome.Ran, outcome.Fault, outcome.Done, len(runs), outcome.Detail))
}

// Note keeps an example while there is room.
func (v *Verdict) Note(example string) {
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, example)
	}
}
