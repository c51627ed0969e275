package main

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/requestpath"
	"github.com/springstack/springstack/internal/lab/scenario"
)

// requestPathCommand returns the experiment on what the mesh adds to calls.
func requestPathCommand() *cli.Command {
	return &cli.Command{
		Name:  "request-path",
		Usage: "time added to calls, against the same calls straight to the back ends",
		Flags: experimentFlags(
			&cli.StringFlag{Name: "deployment", Value: "windhoek", Usage: "windhoek or accra"},
			&cli.FloatFlag{Name: "rate", Usage: "calls a second of each way; 0 means the default"},
			&cli.DurationFlag{Name: "duration", Value: 15 * time.Second, Usage: "how long added time is measured"},
			&cli.BoolFlag{Name: "depth", Usage: "also measure calls 1 to 7 deep"},
		),
		Action: runRequestPath,
	}
}

func runRequestPath(ctx context.Context, command *cli.Command) error {
	deployment, err := scenario.ByName(command.String("deployment"))
	if err != nil {
		return errors.Trace(err)
	}
	figures, err := requestpath.Run(ctx, requestpath.Options{
		Deployment: deployment,
		Seed:       command.Uint64("seed"),
		Rate:       command.Float("rate"),
		Duration:   command.Duration("duration"),
		Depth:      command.Bool("depth"),
		Progress:   progressTo(command.ErrWriter, command.Name),
	})
	if err != nil {
		return errors.Trace(err)
	}
	return finishExperiment(command, figures, figures.Violations)
}
