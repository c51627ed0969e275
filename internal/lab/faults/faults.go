// Package faults breaks back ends, gates and connections at drawn points while
// callers call, and judges that no call which may not be repeated ran twice,
// that "did not run" was true, and that every answer was whole and the
// caller's own.
package faults

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/host"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
	"github.com/springstack/springstack/internal/lab/scenario"
)

// Options bound the experiment. A zero field means its default.
type Options struct {
	Deployment scenario.Deployment
	Seed       uint64
	// Rate is the calls a second; 0 means 300.
	Rate float64
	// Duration is how long faults are injected; 0 means 20 s.
	Duration time.Duration
	// Progress is told what the experiment does; nil tells nobody.
	Progress func(event string)
}

// Sizes and times of the experiment.
const (
	defaultRate     = 300
	defaultDuration = 20 * time.Second
	meanService     = 10 * time.Millisecond
	routeTimeout    = 2 * time.Second
	callerTimeout   = 4 * time.Second
	idleWait        = 10 * time.Second
	uploadBytes     = 64 << 10
)

// Figures are what the experiment gives.
type Figures struct {
	Experiment string          `json:"experiment"`
	Deployment string          `json:"deployment"`
	Seed       uint64          `json:"seed"`
	Conditions host.Conditions `json:"conditions"`
	Calls      int             `json:"calls"`
	Good       int             `json:"good"`
	// Faults counts what was injected, by kind.
	Faults         map[string]int `json:"faults"`
	RanTwice       int            `json:"ran_twice"`
	FalseDidNotRun int            `json:"false_did_not_run"`
	WrongAnswer    int            `json:"wrong_answer"`
	NotCompleted   int            `json:"not_completed"`
	Leaked         int            `json:"leaked"`
	SlotsExceeded  int            `json:"slots_exceeded"`
	// UnknownShare is the share of calls whose outcome the caller can't know.
	UnknownShare float64      `json:"unknown_share"`
	Counts       load.Counts  `json:"counts"`
	Verdict      load.Verdict `json:"verdict"`
	Violations   int          `json:"violations"`
}

// Run carries the experiment out.
func Run(ctx context.Context, options Options) (*Figures, error) {
	options = withDefaults(options)
	figures := &Figures{
		Experiment: "faults",
		Deployment: options.Deployment.Name,
		Seed:       options.Seed,
		Conditions: host.Now(),
	}
	started, err := rig.Start(rig.Options{
		Deployment: options.Deployment,
		Backend:    backend.Config{MeanService: meanService},
		Seed:       options.Seed,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer started.Close()
	kinds := options.Deployment.Kinds()
	report, injected, err := callUnderFaults(ctx, options, started, kinds)
	if err != nil {
		return nil, errors.Trace(err)
	}
	figures.Faults = injected
	figures.fill(ctx, kinds, report, started)
	return figures, nil
}

// withDefaults fills the zero fields and bounds the deployment's calls.
func withDefaults(options Options) Options {
	if options.Rate == 0 {
		options.Rate = defaultRate
	}
	if options.Duration == 0 {
		options.Duration = defaultDuration
	}
	if options.Progress == nil {
		options.Progress = func(string) {}
	}
	options.Deployment.RouteTimeout = routeTimeout
	calls := make([]scenario.Call, len(options.Deployment.Calls))
	copy(calls, options.Deployment.Calls)
	for index := range calls {
		calls[index].Timeout = callerTimeout
		calls[index].BodyBytes = min(calls[index].BodyBytes, uploadBytes)
	}
	options.Deployment.Calls = calls
	return options
}

// callUnderFaults runs the load and the injector side by side.
func callUnderFaults(ctx context.Context, options Options, started *rig.Rig, kinds []load.Kind) (*load.Report, map[string]int, error) {
	options.Progress("faults")
	faults := newInjector(options.Seed, started)
	var report *load.Report
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		report, err = load.Run(ctx, load.Plan{
			Kinds:    kinds,
			Targets:  started.Targets(),
			Rate:     options.Rate,
			Duration: options.Duration,
			Prefix:   "faults",
			Seed:     options.Seed,
			Origin:   started.Origin,
		})
		return errors.Trace(err)
	})
	group.Go(func() error { return errors.Trace(faults.run(ctx, options.Duration)) })
	err := group.Wait()
	return report, faults.counts, errors.Trace(err)
}

// fill judges the run. A cut call is no violation here, as failures were
// injected; a slot that is never given back is one.
func (f *Figures) fill(ctx context.Context, kinds []load.Kind, report *load.Report, started *rig.Rig) {
	f.Calls = len(report.Results)
	f.Counts = load.Count(report.Results, load.All)
	f.Good = f.Counts.Good
	f.Verdict = load.Judge(kinds, report.Results, started.Records())
	for _, name := range started.WaitIdle(ctx, idleWait) {
		f.Verdict.Leaked++
		f.Verdict.Note("leaked slot or queue place at " + name)
	}
	for _, machine := range started.Machines {
		f.SlotsExceeded += backend.StartsBeyondSlots(machine.Backend.Runs(), scenario.Slots)
	}
	if f.Calls > 0 {
		f.UnknownShare = float64(f.Verdict.Cut) / float64(f.Calls)
	}
	f.RanTwice = f.Verdict.RanTwice
	f.FalseDidNotRun = f.Verdict.FalseDidNotRun
	f.WrongAnswer = f.Verdict.WrongAnswer
	f.NotCompleted = f.Verdict.NotCompleted
	f.Leaked = f.Verdict.Leaked
	f.Violations = f.Verdict.Violations()
}
