// Package requestpath measures what the mesh adds to calls: the same calls go
// through the mesh and straight to the back ends in one run, so that the
// figures are differences within one run.
package requestpath

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

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
	// Rate is the calls a second of each of the two ways; 0 means 250.
	Rate float64
	// Duration is how long added time is measured; 0 means 15 s.
	Duration time.Duration
	// ThroughputDuration is how long each closed loop runs; 0 means 3 s.
	ThroughputDuration time.Duration
	// Workers is the number of callers of the closed loops; 0 means 48.
	Workers int
	// Depth adds the measurement of nested calls.
	Depth bool
	// Progress is told what the experiment does; nil tells nobody.
	Progress func(event string)
}

// Defaults of Options.
const (
	defaultRate       = 250
	defaultDuration   = 15 * time.Second
	defaultThroughput = 3 * time.Second
	defaultWorkers    = 48
	warmUp            = 2 * time.Second
	serviceTime       = 2 * time.Millisecond
)

// Figures are what the experiment gives.
type Figures struct {
	Experiment string          `json:"experiment"`
	Deployment string          `json:"deployment"`
	Seed       uint64          `json:"seed"`
	Conditions host.Conditions `json:"conditions"`
	// Calls counts the calls through the mesh, in all phases.
	Calls int `json:"calls"`
	// AddedP50 and AddedP99 are the differences of the quantiles of both ways.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// AddedP99Strict is the mesh's 99th percentile above the direct median.
	AddedP99Strict float64 `json:"added_p99_over_direct_p50_ms"`
	// DirectJitter is the same for the direct calls: what the machine alone does.
	DirectJitter float64       `json:"direct_p99_over_direct_p50_ms"`
	MeshP50      float64       `json:"mesh_p50_ms"`
	MeshP99      float64       `json:"mesh_p99_ms"`
	DirectP50    float64       `json:"direct_p50_ms"`
	DirectP99    float64       `json:"direct_p99_ms"`
	Kinds        []KindFigures `json:"kinds"`
	// CallsPerSecond is the closed loop's rate through the mesh, all of whose
	// processes, callers and back ends share this machine.
	CallsPerSecond       float64        `json:"calls_per_second"`
	DirectCallsPerSecond float64        `json:"direct_calls_per_second"`
	Processor            ProcessorUse   `json:"processor_us_per_call"`
	Depths               []DepthFigures `json:"depths,omitempty"`
	Uploads              UploadFigures  `json:"uploads"`
	Counts               load.Counts    `json:"counts"`
	Verdict              load.Verdict   `json:"verdict"`
	Violations           int            `json:"violations"`
}

// KindFigures are the added times of one kind of call.
type KindFigures struct {
	Name     string  `json:"name"`
	Service  string  `json:"service"`
	Calls    int     `json:"calls"`
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
}

// experimentName is the name of the experiment in its output.
const experimentName = "request-path"

// Run carries the experiment out.
func Run(ctx context.Context, options Options) (*Figures, error) {
	options = withDefaults(options)
	figures := &Figures{
		Experiment: experimentName,
		Deployment: options.Deployment.Name,
		Seed:       options.Seed,
		Conditions: host.Now(),
	}
	if err := measureAdded(ctx, options, figures); err != nil {
		return nil, errors.Annotate(err, "added time")
	}
	if err := measureThroughput(ctx, options, figures); err != nil {
		return nil, errors.Annotate(err, "throughput")
	}
	if err := measureUploads(ctx, options, figures); err != nil {
		return nil, errors.Annotate(err, "uploads")
	}
	if options.Depth {
		if err := measureDepths(ctx, options, figures); err != nil {
			return nil, errors.Annotate(err, "depth")
		}
	}
	figures.Violations = figures.Verdict.Violations() + figures.Verdict.Cut
	return figures, nil
}

// withDefaults fills the zero fields.
func withDefaults(options Options) Options {
	if options.Rate == 0 {
		options.Rate = defaultRate
	}
	if options.Duration == 0 {
		options.Duration = defaultDuration
	}
	if options.ThroughputDuration == 0 {
		options.ThroughputDuration = defaultThroughput
	}
	if options.Workers == 0 {
		options.Workers = defaultWorkers
	}
	if options.Progress == nil {
		options.Progress = func(string) {}
	}
	return options
}

// measureAdded runs both ways side by side over the deployment's links.
func measureAdded(ctx context.Context, options Options, figures *Figures) error {
	options.Progress("added_time")
	started, err := rig.Start(rig.Options{
		Deployment: options.Deployment,
		Backend:    backend.Config{MeanService: serviceTime, Distribution: backend.DistributionConstant},
		Seed:       options.Seed,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer started.Close()
	plans := bothWays(started, options)
	if _, _, err := runBoth(ctx, plans, warmUp, "warm"); err != nil {
		return errors.Trace(err)
	}
	mesh, direct, err := runBoth(ctx, plans, options.Duration, "call")
	if err != nil {
		return errors.Trace(err)
	}
	kinds := plans.mesh.Kinds
	figures.judge(kinds, mesh.Results, started)
	figures.judge(kinds, direct.Results, started)
	figures.Counts = load.Count(mesh.Results, load.All)
	figures.Calls += len(mesh.Results)
	figures.compare(options.Deployment, mesh.Results, direct.Results)
	figures.checkIdle(ctx, started)
	return nil
}

// compare fills in the added times.
func (f *Figures) compare(deployment scenario.Deployment, mesh, direct []load.Result) {
	meshed := load.Latencies(mesh, load.Result.Good)
	straight := load.Latencies(direct, load.Result.Good)
	f.MeshP50 = load.Milliseconds(meshed, 50)
	f.MeshP99 = load.Milliseconds(meshed, 99)
	f.DirectP50 = load.Milliseconds(straight, 50)
	f.DirectP99 = load.Milliseconds(straight, 99)
	f.AddedP50 = f.MeshP50 - f.DirectP50
	f.AddedP99 = f.MeshP99 - f.DirectP99
	var above, jitter []float64
	for index, call := range deployment.Calls {
		ofKind := func(outcome load.Result) bool { return outcome.Kind == index && outcome.Good() }
		meshed := load.Latencies(mesh, ofKind)
		straight := load.Latencies(direct, ofKind)
		median := load.Milliseconds(straight, 50)
		above = append(above, distances(mesh, ofKind, median)...)
		jitter = append(jitter, distances(direct, ofKind, median)...)
		f.Kinds = append(f.Kinds, KindFigures{
			Name:     call.Name,
			Service:  call.Service,
			Calls:    int(meshed.TotalCount()),
			AddedP50: load.Milliseconds(meshed, 50) - load.Milliseconds(straight, 50),
			AddedP99: load.Milliseconds(meshed, 99) - load.Milliseconds(straight, 99),
		})
	}
	f.AddedP99Strict = quantile(above, strictQuantile)
	f.DirectJitter = quantile(jitter, strictQuantile)
}

// distances are the latencies above a median, in milliseconds.
func distances(results []load.Result, include func(load.Result) bool, median float64) []float64 {
	var above []float64
	for _, outcome := range results {
		if include(outcome) {
			above = append(above, outcome.Latency().Seconds()*millisecondsPerSecond-median)
		}
	}
	return above
}

// Constants of the strict figure.
const (
	strictQuantile        = 0.99
	millisecondsPerSecond = 1000
)

// quantile returns the empirical quantile (0 to 1) of some values.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(fraction*float64(len(values)-1))]
}

// judge adds the verdict on some results.
func (f *Figures) judge(kinds []load.Kind, results []load.Result, started *rig.Rig) {
	f.Verdict = f.Verdict.Add(load.Judge(kinds, results, started.Records()))
}

// idleWait bounds the wait for slots and queues to return to zero.
const idleWait = 5 * time.Second

// checkIdle counts a violation for each gate whose slots or queue did not
// return to zero after the last call.
func (f *Figures) checkIdle(ctx context.Context, started *rig.Rig) {
	for _, name := range started.WaitIdle(ctx, idleWait) {
		f.Verdict.Leaked++
		f.Verdict.Note("leaked slot or queue place at " + name)
	}
}
