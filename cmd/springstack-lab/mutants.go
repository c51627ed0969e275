package main

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/fuzz"
)

// mutantsCommand returns the command that shows that the oracle bites.
func mutantsCommand() *cli.Command {
	return &cli.Command{
		Name:  "mutants",
		Usage: "build the simulator with one-line faults and count the steps to catch each; needs the go tool and the source",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "runs", Value: 2000, Usage: "most runs of a mutant"},
			&cli.DurationFlag{Name: "limit", Value: 4 * time.Minute, Usage: "longest time of a mutant"},
			&cli.IntFlag{Name: "parallel", Value: 3, Usage: "mutants built and run at once"},
			&cli.StringFlag{Name: "root", Value: ".", Usage: "directory of the source"},
			&cli.StringFlag{Name: "only", Usage: "name of one mutant"},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
		},
		Action: runMutants,
	}
}

func runMutants(ctx context.Context, command *cli.Command) error {
	settings := fuzz.MutantSettings{
		Root:     command.String("root"),
		Seed:     command.Uint64("seed"),
		Runs:     command.Int("runs"),
		Limit:    command.Duration("limit"),
		Parallel: command.Int("parallel"),
		Only:     command.String("only"),
	}
	report, err := fuzz.Mutants(ctx, settings, func(result fuzz.MutantResult) {
		_, _ = fmt.Fprintf(command.ErrWriter, "event=mutant name=%s breaks=%s caught=%t by=%s steps=%d seed=%d error=%q\n",
			result.Name, result.Breaks, result.Caught, result.By, result.Steps, result.Seed, result.Error)
	})
	if err != nil {
		return errors.Trace(err)
	}
	if err := printReport(command.Writer, command.String("output"), report); err != nil {
		return errors.Trace(err)
	}
	if len(report.Missed) > 0 {
		return cli.Exit("the oracle missed mutants", 1)
	}
	return nil
}
