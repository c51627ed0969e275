package main

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/rollouts"
)

// rolloutsCommand returns the experiment on roll-outs of good and bad versions.
func rolloutsCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollouts",
		Usage: "roll-outs of good and bad versions in virtual time, with kills, pauses and a failing store",
		Flags: experimentFlags(
			&cli.IntFlag{Name: "runs", Value: 1000, Usage: "orders that are played"},
			&cli.IntFlag{Name: "daemons", Value: 83, Usage: "daemons of the mesh"},
			&cli.IntFlag{Name: "calls", Value: 60, Usage: "calls to the service in a tenth of a second"},
			&cli.FloatFlag{Name: "exposure-share", Value: 0.1, Usage: "share of the calls that a bad version may get"},
			&cli.FloatFlag{Name: "exposure-slack", Value: 50, Usage: "calls that it may get beside that"},
			&cli.DurationFlag{Name: "rollback-within", Value: 5 * time.Second, Usage: "how long after its 50th bad answer it may get calls"},
		),
		Action: runRollouts,
	}
}

func runRollouts(ctx context.Context, command *cli.Command) error {
	figures, err := rollouts.Run(ctx, rollouts.Options{
		Seed:           command.Uint64("seed"),
		Runs:           command.Int("runs"),
		Daemons:        command.Int("daemons"),
		Calls:          command.Int("calls"),
		ExposureShare:  command.Float("exposure-share"),
		ExposureSlack:  command.Float("exposure-slack"),
		RollbackWithin: command.Duration("rollback-within"),
	})
	if err != nil {
		return errors.Trace(err)
	}
	return finishExperiment(command, figures, figures.Violations())
}
