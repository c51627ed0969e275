package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/fuzz"
	"github.com/springstack/springstack/internal/sim/calls"
	"github.com/springstack/springstack/internal/sim/script"
	"github.com/springstack/springstack/internal/sim/world"
)

// progressEvery is how often a long campaign tells how far it is.
const progressEvery = 5 * time.Second

// fuzzCommand returns the command that runs a campaign of simulated meshes.
func fuzzCommand() *cli.Command {
	return &cli.Command{
		Name:  "fuzz",
		Usage: "simulate meshes under drawn faults and judge them by the oracle",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed; run i uses seed+i"},
			&cli.IntFlag{Name: "runs", Value: 100, Usage: "number of runs"},
			&cli.IntFlag{Name: "actions", Value: 60, Usage: "actions drawn in a run"},
			&cli.StringFlag{Name: "only", Usage: "one simulation: mesh or calls; both when empty"},
			&cli.IntFlag{Name: "parallel", Usage: "processor cores used at most; 0 means half of them"},
			&cli.IntFlag{Name: "failures", Value: 5, Usage: "failures that are shrunk and shown"},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
		},
		Action: runFuzz,
	}
}

func runFuzz(ctx context.Context, command *cli.Command) error {
	settings := fuzz.Settings{
		Seed:         command.Uint64("seed"),
		Runs:         command.Int("runs"),
		Actions:      command.Int("actions"),
		Parallel:     command.Int("parallel"),
		Simulations:  simulations(command.String("only")),
		KeepFailures: command.Int("failures"),
	}
	last := time.Now()
	report := fuzz.Campaign(ctx, settings, func(done int) {
		if time.Since(last) >= progressEvery {
			last = time.Now()
			_, _ = fmt.Fprintf(command.ErrWriter, "event=fuzz_progress runs=%d of=%d\n", done, settings.Runs)
		}
	})
	printFailures(command.Writer, report.Failures)
	if err := printReport(command.Writer, command.String("output"), report); err != nil {
		return errors.Trace(err)
	}
	if report.Violations > 0 {
		return cli.Exit("the oracle found violations", 1)
	}
	return nil
}

// simulations returns what each seed of a campaign is run with.
func simulations(only string) []script.Simulation {
	all := []script.Simulation{world.Simulation(world.DefaultShape()), calls.Simulation()}
	return lo.Filter(all, func(one script.Simulation, _ int) bool { return only == "" || one.Name == only })
}

// printFailures prints each failing seed with its shrunk steps.
func printFailures(out io.Writer, failures []fuzz.Failure) {
	for _, failure := range failures {
		_, _ = fmt.Fprintf(out, "event=fuzz_failure simulation=%s seed=%d steps=%d\n", failure.Simulation, failure.Seed, failure.FailedAfter)
		for _, violation := range failure.Violations {
			_, _ = fmt.Fprintf(out, "  violation: %s\n", violation)
		}
		for index, step := range failure.Steps {
			_, _ = fmt.Fprintf(out, "  step %d: %s\n", index, step)
		}
	}
}

// printReport prints a report as one JSON object on the last line, or as text.
func printReport(out io.Writer, format string, report any) error {
	encoded, err := json.Marshal(report)
	if format == "text" {
		encoded, err = json.MarshalIndent(report, "", "  ")
	}
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintln(out, string(encoded))
	return errors.Trace(err)
}
