package requestpath

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
)

// DepthFigures are the added times of calls that are that many deep.
type DepthFigures struct {
	Depth     int     `json:"depth"`
	Calls     int     `json:"calls"`
	AddedP50  float64 `json:"added_p50_ms"`
	AddedP99  float64 `json:"added_p99_ms"`
	DirectP50 float64 `json:"direct_p50_ms"`
}

// Bounds of the measurement of nested calls.
const (
	maximumDepth  = 7
	callsPerDepth = 200
	depthWorkers  = 2
)

// measureDepths runs nested calls both ways: each back end calls the next one
// through the daemon beside it, or straight.
func measureDepths(ctx context.Context, options Options, figures *Figures) error {
	started, err := rig.Start(rig.Options{
		Deployment: options.Deployment,
		Backend:    backend.Config{MeanService: backend.NoService},
		Seed:       options.Seed,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer started.Close()
	for depth := 1; depth <= maximumDepth; depth++ {
		options.Progress(fmt.Sprintf("depth_%d", depth))
		if err := measureDepth(ctx, options, started, depth, figures); err != nil {
			return errors.Annotatef(err, "depth %d", depth)
		}
	}
	figures.checkIdle(ctx, started)
	return nil
}

// measureDepth compares both ways at one depth.
func measureDepth(ctx context.Context, options Options, started *rig.Rig, depth int, figures *Figures) error {
	call := options.Deployment.Calls[0]
	kind := call.Kind
	kind.Depth = depth - 1
	mesh, err := runDepth(ctx, options, started, kind, "mesh", started.Targets())
	if err != nil {
		return errors.Trace(err)
	}
	kind.Prepare = func(request *http.Request) { request.Header.Set(rig.HeaderStraight, "true") }
	direct, err := runDepth(ctx, options, started, kind, "direct", started.DirectTargets(call.Service))
	if err != nil {
		return errors.Trace(err)
	}
	figures.judge([]load.Kind{kind}, mesh.Results, started)
	figures.Calls += len(mesh.Results)
	meshed := load.Latencies(mesh.Results, load.Result.Good)
	straight := load.Latencies(direct.Results, load.Result.Good)
	figures.Depths = append(figures.Depths, DepthFigures{
		Depth:     depth,
		Calls:     int(meshed.TotalCount()),
		AddedP50:  load.Milliseconds(meshed, 50) - load.Milliseconds(straight, 50),
		AddedP99:  load.Milliseconds(meshed, 99) - load.Milliseconds(straight, 99),
		DirectP50: load.Milliseconds(straight, 50),
	})
	return nil
}

// runDepth runs the calls of one way, after some that open connections.
func runDepth(ctx context.Context, options Options, started *rig.Rig, kind load.Kind, way string, targets []load.Target) (*load.Report, error) {
	plan := load.Plan{
		Kinds:    []load.Kind{kind},
		Targets:  targets,
		Workers:  depthWorkers,
		Seed:     options.Seed,
		Origin:   started.Origin,
		Client:   load.NewClient(),
		Duration: time.Minute,
	}
	defer plan.Client.Close()
	plan.Calls = 2 * len(targets)
	plan.Prefix = fmt.Sprintf("warm-%s-%d", way, kind.Depth)
	if _, err := load.Run(ctx, plan); err != nil {
		return nil, errors.Trace(err)
	}
	plan.Calls = callsPerDepth
	plan.Prefix = fmt.Sprintf("depth-%s-%d", way, kind.Depth)
	report, err := load.Run(ctx, plan)
	return report, errors.Trace(err)
}
