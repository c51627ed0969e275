package main

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/faults"
	"github.com/springstack/springstack/internal/lab/scenario"
)

// faultsCommand returns the experiment on at most once under failures.
func faultsCommand() *cli.Command {
	return &cli.Command{
		Name:  "faults",
		Usage: "break back ends, daemons and connections under load and judge every answer",
		Flags: experimentFlags(
			&cli.StringFlag{Name: "deployment", Value: "windhoek", Usage: "windhoek or accra"},
			&cli.FloatFlag{Name: "rate", Usage: "calls a second; 0 means the default"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "how long faults are injected"},
		),
		Action: runFaults,
	}
}

func runFaults(ctx context.Context, command *cli.Command) error {
	deployment, err := scenario.ByName(command.String("deployment"))
	if err != nil {
		return errors.Trace(err)
	}
	figures, err := faults.Run(ctx, faults.Options{
		Deployment: deployment,
		Seed:       command.Uint64("seed"),
		Rate:       command.Float("rate"),
		Duration:   command.Duration("duration"),
		Progress:   progressTo(command.ErrWriter, command.Name),
	})
	if err != nil {
		return errors.Trace(err)
	}
	return finishExperiment(command, figures, figures.Violations)
}
