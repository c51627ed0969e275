// Package rolling restarts every back end and every daemon of a deployment in
// turn, under load of calls that may not be repeated, and judges whether a
// planned stop cut a call, ran one twice or lied about one.
package rolling

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/host"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/scenario"
	"github.com/springstack/springstack/internal/pause"
)

// Options bound the experiment. A zero field means its default.
type Options struct {
	Deployment scenario.Deployment
	Seed       uint64
	// Rate is the calls a second; 0 means 300.
	Rate float64
	// WithoutNews keeps changes of endpoints from spreading, as when the tree is
	// cut: the gates' refusals alone must then keep the promises.
	WithoutNews bool
	// Static leaves out the control plane: data paths get their configuration
	// from the experiment. WithoutNews implies it.
	Static bool
	// Progress is told what the experiment does; nil tells nobody.
	Progress func(event string)
}

// Sizes and times of the experiment.
const (
	defaultRate = 300
	meanService = 20 * time.Millisecond
	coldFor     = time.Second
	// drainNotice is how long a back end goes on after it signalled its drain.
	drainNotice = 2 * time.Second
	readyWait   = 10 * time.Second
	// stopBound bounds the planned stop of one process.
	stopBound = 20 * time.Second
	// settle passes between two restarts.
	settle = 200 * time.Millisecond
	// runBound ends the load if restarts take too long.
	runBound = 3 * time.Minute
	idleWait = 5 * time.Second
	// lateBound is how long after its notice a leaving back end may get work.
	lateBound = 5 * time.Second
)

// Figures are what the experiment gives.
type Figures struct {
	Experiment  string          `json:"experiment"`
	Deployment  string          `json:"deployment"`
	Seed        uint64          `json:"seed"`
	WithoutNews bool            `json:"without_news"`
	Static      bool            `json:"static"`
	Conditions  host.Conditions `json:"conditions"`
	Calls       int             `json:"calls"`
	Good        int             `json:"good"`
	// DaemonRestarts and BackendRestarts count what was restarted.
	DaemonRestarts  int `json:"daemon_restarts"`
	BackendRestarts int `json:"backend_restarts"`
	// Cut counts calls broken in flight or with an unknown outcome.
	Cut            int `json:"cut"`
	RanTwice       int `json:"ran_twice"`
	FalseDidNotRun int `json:"false_did_not_run"`
	// LateNewWork is how long after the notice of a stop the last call started
	// on the back end that was leaving, at most.
	LateNewWork float64 `json:"late_new_work_max_ms"`
	// RefusedShare is the share of calls refused with "did not run".
	RefusedShare float64      `json:"refused_share"`
	LatencyP50   float64      `json:"latency_p50_ms"`
	LatencyP99   float64      `json:"latency_p99_ms"`
	Seconds      float64      `json:"seconds"`
	Counts       load.Counts  `json:"counts"`
	Verdict      load.Verdict `json:"verdict"`
	Violations   int          `json:"violations"`
}

// departure is one planned stop.
type departure struct {
	unit   unit
	notice time.Duration
	gone   time.Duration
}

// Run carries the experiment out.
func Run(ctx context.Context, options Options) (*Figures, error) {
	if options.Rate == 0 {
		options.Rate = defaultRate
	}
	if options.Progress == nil {
		options.Progress = func(string) {}
	}
	options.Static = options.Static || options.WithoutNews
	figures := &Figures{
		Experiment:  "rolling-restart",
		Deployment:  options.Deployment.Name,
		Seed:        options.Seed,
		WithoutNews: options.WithoutNews,
		Static:      options.Static,
		Conditions:  host.Now(),
	}
	options.Progress("start")
	started, err := start(ctx, options)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer started.close()
	plan := nonRepeatable(options, started)
	report, departures, err := restartUnderLoad(ctx, options, started, plan)
	if err != nil {
		return nil, errors.Trace(err)
	}
	figures.fill(plan.Kinds, report, started, departures)
	for _, name := range started.busy(ctx) {
		figures.Verdict.Leaked++
		figures.Verdict.Note("leaked slot or queue place at " + name)
	}
	figures.sumUp()
	return figures, nil
}

// start starts what the options ask for.
func start(ctx context.Context, options Options) (system, error) {
	config := backend.Config{MeanService: meanService, ColdFor: coldFor}
	if options.Static {
		return startStatic(options, config)
	}
	return startReal(ctx, options, config)
}

// nonRepeatable plans an open loop of the deployment's calls that may not be
// repeated.
func nonRepeatable(options Options, started system) load.Plan {
	var kinds []load.Kind
	for _, kind := range options.Deployment.Kinds() {
		if !kind.MayRepeat {
			kinds = append(kinds, kind)
		}
	}
	return load.Plan{
		Kinds:    kinds,
		Targets:  started.targets(),
		Rate:     options.Rate,
		Duration: runBound,
		Prefix:   "rolling",
		Seed:     options.Seed,
		Origin:   started.origin(),
	}
}

// restartUnderLoad runs the load until everything was restarted once.
func restartUnderLoad(ctx context.Context, options Options, started system, plan load.Plan) (*load.Report, []departure, error) {
	stop := make(chan struct{})
	plan.Stop = stop
	var report *load.Report
	var departures []departure
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		report, err = load.Run(ctx, plan)
		return errors.Trace(err)
	})
	group.Go(func() (err error) {
		defer close(stop)
		departures, err = restartAll(ctx, options, started)
		return errors.Trace(err)
	})
	err := group.Wait()
	return report, departures, errors.Trace(err)
}

// restartAll restarts every daemon in turn and then every back end, one of
// each application at a time.
func restartAll(ctx context.Context, options Options, started system) ([]departure, error) {
	pause.For(ctx, time.Second)
	var departures []departure
	for number, each := range started.units() {
		options.Progress("restart_daemon_" + each.name)
		leaving := departure{unit: each, notice: time.Since(started.origin())}
		if err := started.stopDaemon(ctx, number); err != nil {
			return nil, errors.Trace(err)
		}
		leaving.gone = time.Since(started.origin())
		departures = append(departures, leaving)
		if err := started.startDaemon(ctx, number); err != nil {
			return nil, errors.Trace(err)
		}
		pause.For(ctx, settle)
	}
	group, ctx := errgroup.WithContext(ctx)
	byApplication := make([][]departure, len(options.Deployment.Applications))
	for index, application := range options.Deployment.Applications {
		group.Go(func() (err error) {
			byApplication[index], err = restartBackends(ctx, options, started, application.Name)
			return errors.Trace(err)
		})
	}
	err := group.Wait()
	for _, some := range byApplication {
		departures = append(departures, some...)
	}
	return departures, errors.Trace(err)
}

// restartBackends restarts the back ends of one application in turn.
func restartBackends(ctx context.Context, options Options, started system, application string) ([]departure, error) {
	var departures []departure
	for number, each := range started.units() {
		if each.service != application {
			continue
		}
		options.Progress("restart_backend_" + each.name)
		leaving := departure{unit: each, notice: time.Since(started.origin())}
		if err := restartBackend(ctx, each.server); err != nil {
			return nil, errors.Trace(err)
		}
		leaving.gone = time.Since(started.origin())
		departures = append(departures, leaving)
		if !started.waitReady(ctx, number) {
			return nil, errors.Errorf("back end %s was not called ready again within %s", each.name, readyWait)
		}
		pause.For(ctx, settle)
	}
	return departures, nil
}

// fill takes the figures from the run.
func (f *Figures) fill(kinds []load.Kind, report *load.Report, started system, departures []departure) {
	f.Calls = len(report.Results)
	f.Counts = load.Count(report.Results, load.All)
	f.Good = f.Counts.Good
	f.Seconds = report.Elapsed.Seconds()
	f.Verdict = load.Judge(kinds, report.Results, records(started))
	latencies := load.Latencies(report.Results, load.Result.Good)
	f.LatencyP50 = load.Milliseconds(latencies, 50)
	f.LatencyP99 = load.Milliseconds(latencies, 99)
	f.DaemonRestarts = len(started.units())
	f.BackendRestarts = len(departures) - len(started.units())
	if f.Calls > 0 {
		f.RefusedShare = float64(f.Calls-f.Good-f.Verdict.Cut) / float64(f.Calls)
	}
	for _, leaving := range departures {
		late := leaving.lateness()
		f.LateNewWork = max(f.LateNewWork, late.Seconds()*millisecondsPerSecond)
		if late > lateBound {
			f.Verdict.Note(fmt.Sprintf("late_new_work backend=%s late=%s", leaving.unit.name, late))
		}
	}
}

// records are the runs of all back ends by request.
func records(started system) map[backend.RequestID][]backend.Run {
	var runs [][]backend.Run
	for _, each := range started.units() {
		runs = append(runs, each.server.Runs())
	}
	return load.Runs(runs...)
}

const millisecondsPerSecond = 1000

// lateness is how long after its notice the back end last got a call before
// it was gone.
func (d departure) lateness() time.Duration {
	var latest time.Duration
	for _, run := range d.unit.server.Runs() {
		if run.Start > d.notice && run.Start < d.gone {
			latest = max(latest, run.Start-d.notice)
		}
	}
	return latest
}

// sumUp counts the violations: no failure was injected, so a cut call is one.
func (f *Figures) sumUp() {
	f.Cut = f.Verdict.Cut
	f.RanTwice = f.Verdict.RanTwice
	f.FalseDidNotRun = f.Verdict.FalseDidNotRun
	f.Violations = f.Verdict.Violations() + f.Cut
	if f.LateNewWork > lateBound.Seconds()*millisecondsPerSecond {
		f.Violations++
	}
}
