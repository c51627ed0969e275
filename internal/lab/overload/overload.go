// Package overload offers a service more calls than it can run and measures
// what is still answered in time, which calls are lost, how partners share,
// and how far retries multiply down a chain of calls.
package overload

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/host"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
	"github.com/springstack/springstack/internal/lab/scenario"
	"github.com/springstack/springstack/internal/proxy"
)

// Options bound the experiment. A zero field means its default.
type Options struct {
	Seed uint64
	// Baseline leaves out protections, for comparison.
	Baseline proxy.Baseline
	// BaselineName is the name of the baseline in the figures.
	BaselineName string
	// Step is how long each point of the curve is loaded; 0 means 6 s.
	Step time.Duration
	// Progress is told what the experiment does; nil tells nobody.
	Progress func(event string)
}

// The service under load. One of its back ends is slow, and two mislead with
// their load reports.
const (
	upstreams   = 7
	slowFactor  = 3
	slowNumber  = 0
	zeroNumber  = 1
	drawnNumber = 2
	meanService = 200 * time.Millisecond
	// callBound is when calls are no use any more: the route's timeout.
	callBound = 2 * time.Second
	// callerBound is when callers give up, after the route did.
	callerBound = 2500 * time.Millisecond
	defaultStep = 6 * time.Second
	// settle is left out at the start of each step.
	settle = time.Second
	// highShare is the percentage of calls with high priority.
	highShare = 25
	idleWait  = 5 * time.Second
)

// Figures are what the experiment gives.
type Figures struct {
	Experiment string          `json:"experiment"`
	Seed       uint64          `json:"seed"`
	Baseline   string          `json:"baseline"`
	Conditions host.Conditions `json:"conditions"`
	// Capacity is what the slots can run, in calls a second.
	Capacity float64 `json:"capacity_calls_per_second"`
	Curve    []Point `json:"curve"`
	// GoodputRatioAt3x is goodput at three times capacity over that at capacity.
	GoodputRatioAt3x float64 `json:"goodput_ratio_at_3x"`
	// PriorityLossRatio is the share of high-priority calls lost over the share
	// of low-priority calls lost, at three times capacity.
	PriorityLossRatio float64 `json:"priority_loss_ratio"`
	// PartnerShareError is how far the smaller partner's share of goodput is
	// from the half that both are due, relative to that half.
	PartnerShareError float64 `json:"partner_share_error"`
	// RetryAmplificationDepth7 is how often the leaf of calls seven deep runs for
	// each call when every failure breaks the connection, which is the worst.
	RetryAmplificationDepth7 float64 `json:"retry_amplification_depth_7"`
	// AmplificationAnswered is the same when the leaf answers 503.
	AmplificationAnswered float64 `json:"retry_amplification_answered_503"`
	Calls                 int     `json:"calls"`
	// SlotsExceeded counts calls that a gate started while all slots were taken.
	SlotsExceeded int          `json:"slots_exceeded"`
	Verdict       load.Verdict `json:"verdict"`
	Violations    int          `json:"violations"`
}

// Point is one load of the curve.
type Point struct {
	// Offered is the load in capacities, Goodput the good answers likewise.
	Offered  float64     `json:"offered"`
	Goodput  float64     `json:"goodput"`
	HighLoss float64     `json:"high_loss"`
	LowLoss  float64     `json:"low_loss"`
	GoodP50  float64     `json:"good_p50_ms"`
	GoodP99  float64     `json:"good_p99_ms"`
	NotSent  int         `json:"not_sent"`
	Counts   load.Counts `json:"counts"`
}

// capacity is what the slots can run, in calls a second.
func capacity() float64 {
	return (upstreams - 1 + 1.0/slowFactor) * scenario.Slots / meanService.Seconds()
}

// uneven gives the back ends their differences.
func uneven(number int, config *backend.Config) {
	switch number {
	case slowNumber:
		config.MeanService *= slowFactor
	case zeroNumber:
		config.LoadMode = backend.ReportZero
	case drawnNumber:
		config.LoadMode = backend.ReportRandom
	}
}

// deployment is one service of Windhoek's zones, without emulated latency.
func deployment() scenario.Deployment {
	made := scenario.Windhoek()
	made.Applications = []scenario.Application{{Name: serviceName, Upstreams: upstreams}}
	made.Calls = []scenario.Call{
		mixed(made.Calls[0], 100-highShare),
		mixed(made.Calls[1], highShare),
	}
	made.RouteTimeout = callBound
	return made
}

// serviceName is the service under load.
const serviceName = "subscriber"

// Indexes of the kinds of calls.
const (
	kindLow = iota
	kindHigh
)

// mixed gives a call its weight and the callers' bound.
func mixed(call scenario.Call, weight int) scenario.Call {
	call.Weight = weight
	call.Timeout = callerBound
	return call
}

// Run carries the experiment out.
func Run(ctx context.Context, options Options) (*Figures, error) {
	if options.Step == 0 {
		options.Step = defaultStep
	}
	if options.Progress == nil {
		options.Progress = func(string) {}
	}
	figures := &Figures{
		Experiment: "overload",
		Seed:       options.Seed,
		Baseline:   options.BaselineName,
		Conditions: host.Now(),
		Capacity:   capacity(),
	}
	phases := []func(context.Context, Options, *Figures) error{
		measureCurve, measureShares, measureAmplification,
	}
	for _, phase := range phases {
		if err := phase(ctx, options, figures); err != nil {
			return nil, errors.Trace(err)
		}
	}
	figures.Violations = figures.Verdict.Violations() + figures.SlotsExceeded
	return figures, nil
}

// startRig starts the service with a fresh mesh.
func startRig(options Options, config backend.Config, change func(*rig.Options)) (*rig.Rig, error) {
	rigOptions := rig.Options{
		Deployment:   deployment(),
		Backend:      config,
		Tune:         uneven,
		WithoutLinks: true,
		Configure:    func(config *proxy.Config) { config.Baseline = options.Baseline },
		Seed:         options.Seed,
	}
	if change != nil {
		change(&rigOptions)
	}
	started, err := rig.Start(rigOptions)
	return started, errors.Trace(err)
}

// check adds what must hold after some load.
func (f *Figures) check(ctx context.Context, kinds []load.Kind, results []load.Result, started *rig.Rig) {
	f.Calls += len(results)
	f.Verdict = f.Verdict.Add(load.Judge(kinds, results, started.Records()))
	for _, name := range started.WaitIdle(ctx, idleWait) {
		f.Verdict.Leaked++
		f.Verdict.Note("leaked slot or queue place at " + name)
	}
	for _, machine := range started.Machines {
		f.SlotsExceeded += backend.StartsBeyondSlots(machine.Backend.Runs(), scenario.Slots)
	}
}
