package overload

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
)

// offeredLoads are the points of the curve, in capacities.
var offeredLoads = []float64{0.5, 1, 1.5, 2, 3}

// Points of the curve that the figures are read from.
const (
	atCapacity = 1.0
	atTriple   = 3.0
)

// measureCurve loads the service step by step.
func measureCurve(ctx context.Context, options Options, figures *Figures) error {
	started, err := startRig(options, backend.Config{MeanService: meanService}, nil)
	if err != nil {
		return errors.Trace(err)
	}
	defer started.Close()
	kinds := deployment().Kinds()
	var results []load.Result
	for _, offered := range offeredLoads {
		options.Progress(fmt.Sprintf("load_%.1fx", offered))
		report, err := step(ctx, options, started, kinds, offered, fmt.Sprintf("curve-%.1f", offered))
		if err != nil {
			return errors.Trace(err)
		}
		results = append(results, report.Results...)
		figures.Curve = append(figures.Curve, pointOf(report, offered, options.Step))
	}
	figures.check(ctx, kinds, results, started)
	figures.readCurve()
	return nil
}

// step offers one load for the time of a step.
func step(ctx context.Context, options Options, started *rig.Rig, kinds []load.Kind, offered float64, prefix string) (*load.Report, error) {
	report, err := load.Run(ctx, load.Plan{
		Kinds:    kinds,
		Targets:  started.Targets(),
		Rate:     offered * capacity(),
		Duration: options.Step,
		Prefix:   prefix,
		Seed:     options.Seed,
		Origin:   started.Origin,
	})
	return report, errors.Trace(err)
}

// steady passes the calls that started after the load had settled.
func steady(report *load.Report) func(load.Result) bool {
	first := time.Duration(0)
	for index, outcome := range report.Results {
		if index == 0 || outcome.Intended < first {
			first = outcome.Intended
		}
	}
	return func(outcome load.Result) bool { return outcome.Intended >= first+settle }
}

// pointOf sums one step up.
func pointOf(report *load.Report, offered float64, lasted time.Duration) Point {
	include := steady(report)
	counts := load.Count(report.Results, include)
	good := load.Latencies(report.Results, func(outcome load.Result) bool { return include(outcome) && outcome.Good() })
	return Point{
		Offered:  offered,
		Goodput:  float64(counts.Good) / (lasted - settle).Seconds() / capacity(),
		HighLoss: loss(report, include, kindHigh),
		LowLoss:  loss(report, include, kindLow),
		GoodP50:  load.Milliseconds(good, 50),
		GoodP99:  load.Milliseconds(good, 99),
		NotSent:  report.NotSent,
		Counts:   counts,
	}
}

// loss is the share of the calls of a kind that got no good answer.
func loss(report *load.Report, include func(load.Result) bool, kind int) float64 {
	counts := load.Count(report.Results, func(outcome load.Result) bool {
		return include(outcome) && outcome.Kind == kind
	})
	if counts.Calls == 0 {
		return 0
	}
	return 1 - float64(counts.Good)/float64(counts.Calls)
}

// readCurve takes the ratios from the points.
func (f *Figures) readCurve() {
	var atOne, atThree Point
	for _, point := range f.Curve {
		switch point.Offered {
		case atCapacity:
			atOne = point
		case atTriple:
			atThree = point
		}
	}
	if atOne.Goodput > 0 {
		f.GoodputRatioAt3x = atThree.Goodput / atOne.Goodput
	}
	if atThree.LowLoss > 0 {
		f.PriorityLossRatio = atThree.HighLoss / atThree.LowLoss
	}
}
