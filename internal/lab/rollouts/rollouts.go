package rollouts

import (
	"context"
	"time"
)

// Options describe an experiment.
type Options struct {
	Seed uint64
	// Runs is how many orders are played.
	Runs int
	// Daemons is the size of the mesh, Calls what all of it sends in a tenth of a second.
	Daemons int
	Calls   int
	// ExposureShare and ExposureSlack bound what a bad version may get until its order
	// is due, RollbackWithin how long after its 50th bad answer it may get anything.
	ExposureShare  float64
	ExposureSlack  float64
	RollbackWithin time.Duration
}

// Result is what became of one order.
type Result struct {
	Good      bool
	Completed bool
	InTime    bool
	// CutRisk says that calls may still have run at the old version when it was told to
	// stop.
	CutRisk bool
	// CutRiskInTouch says so of calls of daemons that had not been cut off shortly before.
	CutRiskInTouch bool
	// Calls and Exposed are all calls until the order was due, and those that the target
	// got; LastAfter is how long after its 50th bad answer it got the last one.
	Calls     int
	Exposed   int
	LastAfter time.Duration
	// Contradictions are outcomes that were written over another one.
	Contradictions int
	StoreCalls     int

	outcomeAt  time.Duration
	fiftiethAt time.Duration
}

// Figures are the outcome of an experiment.
type Figures struct {
	Runs    int `json:"runs"`
	Daemons int `json:"daemons"`
	Good    int `json:"good_versions"`
	Bad     int `json:"bad_versions"`
	// CompletedInTime are good versions, RolledBack bad ones.
	CompletedInTime int `json:"good_completed_in_time"`
	FalseRollbacks  int `json:"good_rolled_back"`
	RolledBack      int `json:"bad_rolled_back"`
	CutRisks        int `json:"completed_with_calls_at_the_old_version"`
	CutRisksInTouch int `json:"completed_with_calls_of_daemons_in_touch"`
	Contradictions  int `json:"contradicting_outcomes"`
	ExposureBroken  int `json:"exposure_broken"`
	RollbackTooLate int `json:"rollback_too_late"`
	// ExposureMost is the largest share of the allowed exposure that a bad version got.
	ExposureMost float64 `json:"exposure_most"`
	// LastAfterMost is the longest time from a 50th bad answer to the last call, in seconds.
	LastAfterMost float64 `json:"last_call_after_50th_most_s"`
	StoreCalls    float64 `json:"store_calls_mean"`
}

// Run plays orders.
func Run(ctx context.Context, options Options) (*Figures, error) {
	figures := &Figures{Runs: options.Runs, Daemons: options.Daemons}
	for number := range options.Runs {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		figures.add(options, newRun(options, uint64(number)).play())
	}
	figures.StoreCalls /= float64(max(options.Runs, 1))
	return figures, nil
}

// add counts the result of one order.
func (f *Figures) add(options Options, result Result) {
	f.Contradictions += result.Contradictions
	f.StoreCalls += float64(result.StoreCalls)
	if result.Good {
		f.addGood(result)
		return
	}
	f.Bad++
	if !result.Completed && result.outcomeAt > 0 {
		f.RolledBack++
	}
	allowed := options.ExposureShare*float64(result.Calls) + options.ExposureSlack
	f.ExposureMost = max(f.ExposureMost, float64(result.Exposed)/allowed)
	if float64(result.Exposed) > allowed {
		f.ExposureBroken++
	}
	f.LastAfterMost = max(f.LastAfterMost, result.LastAfter.Seconds())
	if result.LastAfter > options.RollbackWithin {
		f.RollbackTooLate++
	}
}

func (f *Figures) addGood(result Result) {
	f.Good++
	switch {
	case result.Completed && result.InTime:
		f.CompletedInTime++
	case !result.Completed:
		f.FalseRollbacks++
	}
	if result.CutRisk {
		f.CutRisks++
	}
	if result.CutRiskInTouch {
		f.CutRisksInTouch++
	}
}

// Violations counts what must never happen: contradicting outcomes, bad versions that got
// too much or for too long or were not rolled back, and completions with calls of daemons in
// touch at the old version.
func (f *Figures) Violations() int {
	overlooked := f.Bad - f.RolledBack
	return f.Contradictions + f.ExposureBroken + f.RollbackTooLate + overlooked + f.CutRisksInTouch
}
