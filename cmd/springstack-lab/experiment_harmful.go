package main

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/harmful"
)

// harmfulCommand returns the experiment on requests that end the back ends that run them.
func harmfulCommand() *cli.Command {
	return &cli.Command{
		Name:  "harmful",
		Usage: "ways to hold requests that end their back ends, on the same drawn days in virtual time",
		Flags: experimentFlags(
			&cli.IntFlag{Name: "runs", Value: 200, Usage: "days that each way plays"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "length of a day"},
			&cli.IntFlag{Name: "harmful", Value: 4, Usage: "most harmful requests of a day; 0 for ends of other causes only"},
		),
		Action: runHarmful,
	}
}

func runHarmful(ctx context.Context, command *cli.Command) error {
	if command.Int("runs") < 1 || command.Int("harmful") < 0 || command.Duration("length") <= 0 {
		return errors.BadRequestf("--runs and --length must be above 0, --harmful not below")
	}
	report, err := harmful.Run(ctx, harmful.Options{
		Seed: command.Uint64("seed"), Runs: command.Int("runs"), Length: command.Duration("length"), Harmful: command.Int("harmful"),
	})
	if err != nil {
		return errors.Trace(err)
	}
	daemons := report.Ways[0]
	return finishExperiment(command, report, daemons.SentLater+daemons.HeldDays)
}
