package requestpath

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/host"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
)

// ProcessorUse is processor time a call in microseconds, by subtraction of
// closed loops that leave out one hop after the other.
type ProcessorUse struct {
	// CallerSide is what the caller's daemon uses.
	CallerSide float64 `json:"caller_side"`
	// Gate is what the daemon beside the back end uses.
	Gate float64 `json:"gate"`
	// Ends is what the caller and the emulated back end use.
	Ends float64 `json:"ends"`
}

// loop is the outcome of one closed loop.
type loop struct {
	results   []load.Result
	perSecond float64
	// processor is microseconds a call.
	processor float64
}

// measureThroughput runs closed loops of lookups without emulated latency or
// service time: straight, to the gate only, and through the whole mesh.
func measureThroughput(ctx context.Context, options Options, figures *Figures) error {
	started, err := rig.Start(rig.Options{
		Deployment:   options.Deployment,
		Backend:      backend.Config{MeanService: backend.NoService},
		WithoutLinks: true,
		Seed:         options.Seed,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer started.Close()
	kind := options.Deployment.Calls[0].Kind
	service := options.Deployment.Calls[0].Service
	straight, err := closedLoop(ctx, options, started, "straight", kind, started.DirectTargets(service))
	if err != nil {
		return errors.Trace(err)
	}
	gated, err := gateLoop(ctx, options, started, kind, service)
	if err != nil {
		return errors.Trace(err)
	}
	meshed, err := closedLoop(ctx, options, started, "mesh", kind, started.Targets())
	if err != nil {
		return errors.Trace(err)
	}
	figures.Calls += len(meshed.results)
	figures.CallsPerSecond = meshed.perSecond
	figures.DirectCallsPerSecond = straight.perSecond
	figures.Processor = ProcessorUse{
		CallerSide: meshed.processor - gated.processor,
		Gate:       gated.processor - straight.processor,
		Ends:       straight.processor,
	}
	figures.judge([]load.Kind{kind}, meshed.results, started)
	figures.checkIdle(ctx, started)
	return nil
}

// closedLoop runs one closed loop of a kind of calls.
func closedLoop(ctx context.Context, options Options, started *rig.Rig, name string, kind load.Kind, targets []load.Target) (loop, error) {
	options.Progress("throughput_" + name)
	plan := load.Plan{
		Kinds:    []load.Kind{kind},
		Targets:  targets,
		Workers:  options.Workers,
		Duration: options.ThroughputDuration,
		Prefix:   "throughput-" + name,
		Seed:     options.Seed,
		Origin:   started.Origin,
	}
	before := host.ProcessorTime()
	report, err := load.Run(ctx, plan)
	if err != nil {
		return loop{}, errors.Trace(err)
	}
	used := host.ProcessorTime() - before
	good := load.Count(report.Results, load.All).Good
	if good == 0 {
		return loop{}, errors.Errorf("no good answer of %d calls in the loop %s: %+v", len(report.Results), name, load.Count(report.Results, load.All))
	}
	return loop{
		results:   report.Results,
		perSecond: float64(good) / report.Elapsed.Seconds(),
		processor: float64(used) / float64(time.Microsecond) / float64(good),
	}, nil
}

// gateLoop calls the gates as the callers' side of a daemon does.
func gateLoop(ctx context.Context, options Options, started *rig.Rig, kind load.Kind, service string) (loop, error) {
	var sequence atomic.Int64
	byAddress := make(map[string]*rig.Machine)
	var targets []load.Target
	for _, machine := range started.Machines {
		if machine.Upstream.Service == service {
			targets = append(targets, load.Target{Name: machine.Upstream.Name, Address: machine.GateAddress})
			byAddress[machine.GateAddress] = machine
		}
	}
	kind.Prepare = func(request *http.Request) {
		attempt := fmt.Sprintf("lab-%d", sequence.Add(1))
		byAddress[request.URL.Host].PrepareGateCall(request, attempt)
	}
	return closedLoop(ctx, options, started, "gate", kind, targets)
}
