// Package convergence measures how long an accepted change takes to every
// daemon and how many control bytes it costs, against two baselines: whole
// snapshots in place of deltas, and every daemon reading the platform itself.
package convergence

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/catalogue"
	"github.com/springstack/springstack/internal/lab/hollow"
	"github.com/springstack/springstack/internal/lab/host"
)

// Mode selects how configuration is distributed.
type Mode string

// The modes: springstack's own, and two baselines.
const (
	ModeDelta  Mode = "delta"
	ModeFull   Mode = "full"
	ModeDirect Mode = "direct"
)

// Options describes a run.
type Options struct {
	Daemons  int
	Changes  int
	Services int
	Seed     uint64
	Mode     Mode
	// Progress is told each phase.
	Progress func(phase string)
}

// Report is the result of a run.
type Report struct {
	Mode    Mode `json:"mode"`
	Daemons int  `json:"daemons"`
	Changes int  `json:"changes"`
	// ConvergenceP50 and P99 are from the platform's answer to the head's
	// update to the last proxy's swap, over the changes, in milliseconds.
	ConvergenceP50 float64 `json:"convergence_p50_ms"`
	ConvergenceP99 float64 `json:"convergence_p99_ms"`
	// ControlBytes is all that daemons received while the changes were made,
	// heartbeats and membership included, by daemon and change.
	ControlBytes float64 `json:"control_bytes_per_daemon_per_change"`
	// FullSnapshotBytes is one whole snapshot, compressed.
	FullSnapshotBytes  int `json:"full_snapshot_bytes"`
	PlatformReadersMax int `json:"platform_readers_max"`
	// PlatformBytes is what the platform sent during the changes, by change.
	PlatformBytes float64         `json:"platform_bytes_per_change"`
	Violations    int             `json:"violations"`
	Examples      []string        `json:"examples,omitempty"`
	Seconds       float64         `json:"seconds"`
	Conditions    host.Conditions `json:"conditions"`
}

// The bounds of one run.
const (
	// formBound bounds the forming of the mesh and the first catalogue.
	formBound = 2 * time.Minute
	// changeBound bounds one change.
	changeBound = 30 * time.Second
)

// bench is what a mode measures: something that takes changes to proxies.
type bench struct {
	cluster *hollow.Cluster
	// received returns the control bytes that proxies have received so far.
	received func() uint64
	close    func()
}

// Run carries out one run.
func Run(ctx context.Context, options Options) (*Report, error) {
	began := time.Now()
	built, err := build(options)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer built.close()
	options.Progress("forming")
	if err := load(ctx, built.cluster); err != nil {
		return nil, errors.Trace(err)
	}
	size, err := snapshotBytes(built.cluster)
	if err != nil {
		return nil, errors.Trace(err)
	}
	report := &Report{
		Mode:              options.Mode,
		Daemons:           options.Daemons,
		Changes:           options.Changes,
		FullSnapshotBytes: size,
		Conditions:        host.Now(),
	}
	if err := measure(ctx, options, built, report); err != nil {
		return nil, errors.Trace(err)
	}
	report.PlatformReadersMax = built.cluster.Platform.Counters().ReadersMax
	report.Violations, report.Examples = built.cluster.Observer.Violations()
	report.Seconds = time.Since(began).Seconds()
	return report, nil
}

// build starts the daemons of a mode.
func build(options Options) (*bench, error) {
	if options.Mode == ModeDirect {
		return buildDirect(options)
	}
	settings := hollow.Options{
		Daemons: options.Daemons,
		Shape:   catalogue.DefaultShape(options.Services),
		Seed:    options.Seed,
	}
	if options.Mode == ModeFull {
		baseline := newWholes()
		settings.Wrap = baseline.wrap
		settings.OnSwap = baseline.see
	}
	cluster, err := hollow.New(settings)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := cluster.Start(); err != nil {
		cluster.Close()
		return nil, errors.Trace(err)
	}
	received := func() uint64 { return cluster.Traffic().BytesIn }
	return &bench{cluster: cluster, received: received, close: cluster.Close}, nil
}

// load submits every file and waits until all proxies hold all of them.
func load(ctx context.Context, cluster *hollow.Cluster) error {
	for _, file := range cluster.Files {
		if _, err := cluster.Submit(ctx, file); err != nil {
			return errors.Trace(err)
		}
	}
	newest := cluster.Observer.Newest()
	if _, done := cluster.Observer.Converged(newest, formBound); !done {
		return errors.Errorf("%d of the proxies hold version %d after %v",
			cluster.Observer.Holding(newest), newest, formBound)
	}
	return nil
}

// progressEvery is how many changes pass between two lines of progress.
const progressEvery = 20

// Scale of the histogram, in microseconds.
const (
	histogramLowest  = 1
	histogramHighest = int64(time.Hour / time.Microsecond)
	histogramDigits  = 3
	microsPerMilli   = 1000.0
)

// measure makes the changes one after the other.
func measure(ctx context.Context, options Options, built *bench, report *Report) error {
	random := rand.New(rand.NewPCG(options.Seed, 2))
	times := hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
	received := built.received()
	platform := built.cluster.Platform.Counters().BytesOut
	for change := range options.Changes {
		if change%progressEvery == 0 {
			options.Progress(fmt.Sprintf("change_%d_of_%d", change, options.Changes))
		}
		file := built.cluster.Files[random.IntN(len(built.cluster.Files))]
		file.Change(random)
		version, err := built.cluster.Submit(ctx, file)
		if err != nil {
			return errors.Trace(err)
		}
		took, done := built.cluster.Observer.Converged(version, changeBound)
		if !done {
			return errors.Errorf("%d of %d proxies hold version %d after %v",
				built.cluster.Observer.Holding(version), options.Daemons, version, changeBound)
		}
		if err := times.RecordValue(took.Microseconds()); err != nil {
			return errors.Trace(err)
		}
	}
	perDaemon := float64(options.Daemons) * float64(options.Changes)
	report.ControlBytes = float64(built.received()-received) / perDaemon
	report.PlatformBytes = float64(built.cluster.Platform.Counters().BytesOut-platform) / float64(options.Changes)
	report.ConvergenceP50 = float64(times.ValueAtQuantile(50)) / microsPerMilli
	report.ConvergenceP99 = float64(times.ValueAtQuantile(99)) / microsPerMilli
	return nil
}
