// Package fuzz runs campaigns of simulated meshes: many seeds in parallel, a
// report, and a shrunk list of steps for each seed that failed.
package fuzz

import (
	"context"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/springstack/springstack/internal/sim/script"
)

// Settings says how large a campaign is.
type Settings struct {
	// Seed is the first seed; run i uses Seed + i.
	Seed uint64
	Runs int
	// Actions is how many actions each run draws.
	Actions int
	// Parallel bounds the processor cores used; 0 means half of them.
	Parallel int
	// Simulations are run one after the other with each seed.
	Simulations []script.Simulation
	// KeepFailures bounds how many failures are shrunk and reported.
	KeepFailures int
}

// Report is the result of a campaign. Its JSON form is the last line of the
// fuzz command.
type Report struct {
	Runs int `json:"runs"`
	// Steps counts messages, replies and actions; ticks are not counted.
	Steps        int            `json:"steps"`
	Ticks        int            `json:"ticks"`
	FaultsByKind map[string]int `json:"faults_by_kind"`
	Violations   int            `json:"violations"`
	// StepsPerSecond is over all cores used.
	StepsPerSecond float64        `json:"steps_per_second"`
	Seconds        float64        `json:"seconds"`
	Accepted       uint64         `json:"accepted_versions"`
	SettledMaxMs   int64          `json:"settled_max_ms"`
	Answers        map[string]int `json:"answers"`
	// Failing lists failing runs, at most MaxFailing of them; Failures holds
	// the first of them shrunk.
	Failing  []Failing `json:"failing"`
	Failures []Failure `json:"failures"`
}

// MaxFailing bounds the list of failing runs in a report.
const MaxFailing = 100

// Failing names a failing run and the first thing that it broke.
type Failing struct {
	Simulation string `json:"simulation"`
	Seed       uint64 `json:"seed"`
	Violation  string `json:"violation"`
}

// Failure is one failing seed.
type Failure struct {
	Simulation string   `json:"simulation"`
	Seed       uint64   `json:"seed"`
	Violations []string `json:"violations"`
	// Steps are the shrunk actions that still fail.
	Steps []string `json:"steps"`
	// FailedAfter is how many steps the unshrunk run took to fail.
	FailedAfter int `json:"failed_after"`
}

// failed is a script that broke an invariant, and its simulation.
type failed struct {
	simulation script.Simulation
	script     script.Script
}

// collector gathers outcomes from parallel runs.
type collector struct {
	mutex    sync.Mutex
	report   Report
	failures []failed
	keep     int
}

// Campaign runs all seeds and calls progress after each run.
func Campaign(ctx context.Context, settings Settings, progress func(done int)) Report {
	if settings.Parallel <= 0 {
		settings.Parallel = max(1, runtime.NumCPU()/2)
	}
	gathered := &collector{keep: settings.KeepFailures, report: Report{
		FaultsByKind: map[string]int{},
		Answers:      map[string]int{},
		Failing:      []Failing{},
		Failures:     []Failure{},
	}}
	started := time.Now()
	runAll(ctx, settings, gathered, progress)
	report := gathered.report
	report.Seconds = time.Since(started).Seconds()
	report.StepsPerSecond = float64(report.Steps) / report.Seconds
	for _, failure := range gathered.failures {
		report.Failures = append(report.Failures, describe(failure))
	}
	return report
}

func runAll(ctx context.Context, settings Settings, gathered *collector, progress func(done int)) {
	var group errgroup.Group
	group.SetLimit(settings.Parallel)
	for run := range settings.Runs {
		group.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			for _, simulation := range settings.Simulations {
				drawn := simulation.Table.Generate(settings.Seed+uint64(run), settings.Actions)
				gathered.add(failed{simulation: simulation, script: drawn}, simulation.Run(drawn))
			}
			progress(gathered.endRun())
			return nil
		})
	}
	_ = group.Wait() // no run returns an error
}

// endRun counts a run and returns how many there are.
func (c *collector) endRun() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report.Runs++
	return c.report.Runs
}

// add takes one outcome.
func (c *collector) add(run failed, outcome script.Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report.Steps += outcome.Steps
	c.report.Ticks += outcome.Ticks
	c.report.Violations += len(outcome.Violations)
	c.report.Accepted += outcome.Accepted
	c.report.SettledMaxMs = max(c.report.SettledMaxMs, outcome.Settled.Milliseconds())
	for kind, count := range outcome.Faults {
		c.report.FaultsByKind[kind] += count
	}
	for name, count := range outcome.Answers {
		c.report.Answers[name] += count
	}
	if len(outcome.Violations) == 0 {
		return
	}
	if len(c.report.Failing) < MaxFailing {
		c.report.Failing = append(c.report.Failing, Failing{
			Simulation: run.simulation.Name, Seed: run.script.Seed, Violation: outcome.Violations[0].String(),
		})
	}
	if len(c.failures) < c.keep {
		c.failures = append(c.failures, run)
	}
}

// describe shrinks a failing script and tells what it does.
func describe(run failed) Failure {
	whole := run.simulation.Run(run.script)
	shrunk := Shrink(run.simulation, run.script)
	outcome := run.simulation.Run(shrunk)
	failure := Failure{Simulation: run.simulation.Name, Seed: run.script.Seed, FailedAfter: whole.Steps}
	for _, violation := range outcome.Violations {
		failure.Violations = append(failure.Violations, violation.String())
	}
	for _, action := range shrunk.Actions {
		failure.Steps = append(failure.Steps, action.String())
	}
	return failure
}
